#pragma once

#include "soak_checks.h"
#include "soak_faults.h"
#include "soak_operators.h"

namespace agatedrum::test {

/// Findings and figures of one seed.
struct SoakResult
{
    std::uint64_t seed = 0;
    std::vector<std::string> violations;
    std::string summary;
    std::string timeline; ///< of the faults
    std::map<std::string, int> troubles; ///< what executors did to disturb their hosts, by kind
};

/// First seeds of the kinds that have a range of their own.
constexpr std::uint64_t firstLateStartsSeed = 1000;
constexpr std::uint64_t firstDeadlyTasksSeed = 2000;
constexpr std::uint64_t firstCapacitySeed = 3000;

inline SoakKind soakKindOf(std::uint64_t seed)
{
    constexpr std::uint64_t mixedKinds = 3;
    return seed >= firstCapacitySeed   ? SoakKind::Capacity
        : seed >= firstDeadlyTasksSeed ? SoakKind::DeadlyTasks
        : seed >= firstLateStartsSeed  ? SoakKind::LateStarts
                                       : static_cast<SoakKind>(seed % mixedKinds);
}

/// Submits one job to an entry. Returns true if it was completed.
inline bool isServedBy(const SoakCluster &cluster, int entry, std::mt19937_64 &random)
{
    auto job = SoakCallers::drawJob(random, 1);
    job.failures = {0};
    const auto headers = fmt::format("{}: 1500\r\n", soak_wire::timeLimitHeader);
    const auto request
        = soakRequest("POST", soak_wire::jobPath(job), soak_wire::callerHost, soak_wire::encodeJob(job), headers);
    const auto result = soakCall(cluster.callerAddress(entry), request, SoakMillis(2000));
    return result.status == 200 && soak_wire::jobState(result.body) == "completed";
}

/// Sends the first configuration until it is accepted, and then jobs until every entry has completed one.
inline bool waitUntilServing(const SoakCluster &cluster, std::mt19937_64 &random)
{
    constexpr SoakMillis limit {20000};
    const auto put = soakRequest("PUT", soak_wire::configPath, "operators", SoakOperators::configText(1));
    bool isServing
        = eventually([&] { return SoakOperators::callOperator(cluster.operatorAddress(1), put).status == 200; }, limit);
    for (int entry = 1; entry <= cluster.entryCount() && isServing; ++entry) {
        isServing = eventually([&] { return isServedBy(cluster, entry, random); }, limit);
    }
    return isServing;
}

/// One seed of the soak test: a cluster under load and faults, and all checks.
class SoakRun
{
public:
    /// @param number distinguishes runs at the same time.
    SoakRun(std::uint64_t seed, int number)
        : seed(seed)
        , kind(soakKindOf(seed))
        , random(seed)
        , record(soakNow())
        , cluster(this->record, this->clusterOptions(number))
    {
    }

    SoakResult run()
    {
        SoakResult result;
        result.seed = this->seed;
        if (!waitUntilServing(this->cluster, this->random)) {
            result.violations
                = {"the cluster did not serve a job after its start; logs in " + this->cluster.logFolder()};
            return result;
        }
        SoakFaults faults(this->record, this->cluster, this->kind, this->seed);
        SoakOperators operators(this->record, this->cluster, this->seed);
        SoakCallers callers(this->record, this->cluster, this->callerOptions());
        faults.watch(calmTime);
        faults.run(this->timeOfFaults());
        callers.spareExecutors();
        this->checkRecovery(faults);
        callers.stop();
        operators.stop();
        operators.readBack(readBackTime);
        faults.stopAll();
        this->collect(result, operators, faults);
        return result;
    }

private:
    static constexpr SoakMillis calmTime {500};
    static constexpr SoakMillis faultTime {9000};
    static constexpr SoakMillis deadlyFaultTime {4500}; ///< shorter, since the callers go on submitting deadly tasks
    static constexpr SoakMillis capacityFaultTime {16000}; ///< longer than a shrunk capacity takes to count, twice
    static constexpr SoakMillis readBackTime {1500};
    static constexpr SoakMillis recoveryTime {12000}; ///< within which jobs are served after the last fault

    SoakMillis timeOfFaults() const
    {
        return this->kind == SoakKind::Capacity   ? capacityFaultTime
            : this->kind == SoakKind::DeadlyTasks ? deadlyFaultTime
                                                  : faultTime;
    }

    SoakClusterOptions clusterOptions(int number)
    {
        SoakClusterOptions options;
        options.number = number;
        options.seed = this->seed;
        options.hasSlowExecutor = this->kind != SoakKind::Planned;
        options.hasLateCalls = this->kind != SoakKind::Planned && this->seed % 2 == 0;
        if (this->kind == SoakKind::Limits) {
            options.maxInFlight = 6;
            options.maxConnections = 10;
        }
        options.hasLateStarts = this->kind == SoakKind::LateStarts;
        options.hosts = options.hasLateStarts ? 8 : options.hosts;
        options.changesCapacity = this->kind == SoakKind::Capacity;
        return options;
    }

    SoakCallerOptions callerOptions() const
    {
        SoakCallerOptions options;
        options.seed = this->seed;
        options.threads = this->kind == SoakKind::Planned ? 8 : 14;
        if (this->kind == SoakKind::Planned) {
            options.answerSlack = SoakMillis(1000);
        }
        if (this->kind == SoakKind::Limits) {
            options.threads = 24;
            options.maxTasks = 24;
            options.maxPauseMs = 100;
            options.exceedsLimits = true;
        }
        if (this->kind == SoakKind::LateStarts) {
            options.extraTaskMs = 500;
            options.losesConnections = true;
        }
        if (this->kind == SoakKind::DeadlyTasks) {
            options.hasDeadlyTasks = true;
            options.maxAttempts = 7; // more than a deadly task may be started in all
        }
        if (this->kind == SoakKind::Capacity) {
            options.threads = 24;
            options.maxTasks = 8;
            options.maxPauseMs = 100;
        }
        return options;
    }

    /// Every entry must complete a job again in time, while the callers' load goes on.
    void checkRecovery(SoakFaults &faults)
    {
        const auto backAt = soakNow();
        for (int entry = 1; entry <= this->cluster.entryCount(); ++entry) {
            bool isServed = false;
            while (!isServed && soakNow() < backAt + recoveryTime) {
                isServed = isServedBy(this->cluster, entry, this->random);
                faults.watch(SoakMillis(50));
            }
            if (!isServed) {
                this->record.addViolation(fmt::format("entry-{} completed no job within {} ms after the last fault",
                                                      entry, recoveryTime.count()));
            }
        }
    }

    void collect(SoakResult &result, const SoakOperators &operators, const SoakFaults &faults) const
    {
        result.violations = this->record.violations();
        const SoakChecks checks(this->record, this->kind == SoakKind::Planned);
        const SoakConfigChecks configChecks(this->record, operators);
        for (const auto *found : {&checks.violations(), &configChecks.violations()}) {
            result.violations.insert(result.violations.end(), found->begin(), found->end());
        }
        result.timeline = this->record.faultTimeline();
        result.troubles = this->record.troubleCounts();
        result.summary
            = fmt::format("seed {} ({}): {} faults, {} jobs, {} runs, {} acknowledged configurations, {} "
                          "reads, {} probes;{} answers:{}",
                          this->seed, kindName(this->kind), faults.faultCount(), this->record.submissions().size(),
                          this->record.runs().size(), operators.allAcks().size(), operators.allReads().size(),
                          operators.allProbes().size(), this->troubleText(), this->answerCounts());
    }

    std::string troubleText() const
    {
        std::string text;
        for (const auto &[name, count] : this->record.troubleCounts()) {
            text += fmt::format(" {} {};", count, name);
        }
        return text;
    }

    static const char *kindName(SoakKind kind)
    {
        const char *names[] = {"planned", "crash", "limits", "late starts", "deadly tasks", "capacity"};
        return names[static_cast<int>(kind)];
    }

    std::string answerCounts() const
    {
        std::map<std::string, int> counts;
        for (const auto &submission : this->record.submissions()) {
            for (const auto &attempt : submission.attempts) {
                const auto &exchange = attempt.exchange;
                const char *ends[] = {"", "not connected", "cut", "timed out"};
                const auto state = exchange.status == 200 ? " " + soak_wire::jobState(exchange.body) : "";
                ++counts[exchange.end == SoakExchange::End::Answered ? std::to_string(exchange.status) + state
                                                                     : ends[static_cast<int>(exchange.end)]];
            }
        }
        std::string text;
        for (const auto &[name, count] : counts) {
            text += fmt::format(" {} {},", count, name);
        }
        return text;
    }

    const std::uint64_t seed;
    const SoakKind kind;
    std::mt19937_64 random;
    SoakRecord record;
    SoakCluster cluster;
};

} // namespace agatedrum::test
