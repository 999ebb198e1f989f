#pragma once

#include "run_sim.h"

#include <array>
#include <cmath>
#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace agatedrum::test {

/// Kinds of faults that the random sequences inject.
enum class RunFault {
    HostKill,
    HostKillAfterStart, ///< after a start order was sent and before its report
    HostFreeze,
    HostClockBack, ///< the wall clock is set back, and the host is killed
    EntryKill,
    EntryFreeze,
    ConnectionReset,
    LinkLost,
    LinkHeld,
    LateOrders, ///< orders are carried out late, with their original leases
    LateGrants, ///< orders are carried out late, with leases counted from then
    ServerRestart,
    ServerReplace,
    ServerSlow,
    ServerStall
};

constexpr std::array runFaultNames {"host-kill",      "host-kill-after-start", "host-freeze", "host-clock-back",
                                    "entry-kill",     "entry-freeze",          "reset",       "link-lost",
                                    "link-held",      "late-orders",           "late-grants", "server-restart",
                                    "server-replace", "server-slow",           "server-stall"};

using RunFaults = std::set<RunFault>;

inline std::string namesOf(const RunFaults &faults)
{
    std::string text;
    for (const auto fault : faults) {
        text += (text.empty() ? "" : ",") + std::string(runFaultNames.at(static_cast<std::size_t>(fault)));
    }
    return text;
}

/// Injects faults of the given kinds at random times. Each kind has its own random numbers, so that the times of one
/// kind do not depend on the others.
class RunFaultDriver
{
public:
    RunFaultDriver(RunSim &sim, std::uint64_t seed, RunFaults kinds, int entryCount, int hostCount)
        : sim(sim)
        , kinds(std::move(kinds))
        , entryCount(entryCount)
        , hostCount(hostCount)
        , lateRandom(seed)
    {
        this->sim.servers.lateOrder = [this](OrderKind, const std::string &host) { return this->drawLateOrder(host); };
        for (const auto kind : this->kinds) {
            this->randoms.emplace(kind, RandomSource(seed * 100 + static_cast<std::uint64_t>(kind)));
            this->scheduleNext(kind);
        }
    }
    /// Injects no more faults. Those in effect end by themselves.
    void stop()
    {
        this->isStopped = true;
    }

private:
    /// Some of the orders are carried out late until a time.
    struct LateWindow
    {
        Time until;
        double share = 0;
        std::string host; ///< empty for all hosts
    };

    void scheduleNext(RunFault kind)
    {
        // With many kinds, each one is rarer, so that most of the time some of the processes work.
        const Micros longest = std::max(Millis(4000), static_cast<int>(this->kinds.size()) * Millis(1200));
        this->sim.timeline.after(this->randoms.at(kind).drawBetween(Millis(100), longest), [this, kind] {
            if (!this->isStopped) {
                this->inject(kind, this->randoms.at(kind));
                this->scheduleNext(kind);
            }
        });
    }
    void inject(RunFault kind, RandomSource &random)
    {
        const int host = random.drawBelow(this->hostCount);
        const int entry = random.drawBelow(this->entryCount);
        const auto downtime = random.drawBetween(Millis(300), Millis(2000));
        const auto duration = random.drawBetween(Millis(300), Millis(4000));
        switch (kind) {
        case RunFault::HostKill:
            this->sim.killHost(host, downtime);
            break;
        case RunFault::HostKillAfterStart:
            this->sim.killHostAfterStart(host, random.drawBetween(Micros(0), Millis(3)), downtime);
            break;
        case RunFault::HostFreeze:
            this->sim.freezeHost(host, duration);
            break;
        case RunFault::HostClockBack:
            this->sim.stepWallClockBack(host, 1000 + random.drawBelow(10000));
            this->sim.killHost(host, downtime);
            break;
        case RunFault::EntryKill:
            this->sim.killEntry(entry, downtime);
            this->loseHostsLater(random);
            break;
        case RunFault::EntryFreeze:
            this->sim.freezeEntry(entry, duration, random.drawBelow(3) == 0);
            break;
        case RunFault::ConnectionReset:
            this->sim.callers.resetConnections(entry);
            break;
        case RunFault::LinkLost:
        case RunFault::LinkHeld:
            this->cutLinks(random, entry, duration, kind == RunFault::LinkHeld);
            break;
        case RunFault::LateOrders:
        case RunFault::LateGrants:
            this->openLateWindow(kind, random);
            break;
        case RunFault::ServerRestart:
            this->sim.restartServer(host, random.drawBetween(Millis(1), Millis(500)),
                                    random.drawBetween(Millis(1), Millis(100)));
            break;
        case RunFault::ServerReplace:
            this->sim.replaceServer(host, duration);
            break;
        case RunFault::ServerSlow:
            this->sim.slowServer(host, 4.0, duration);
            break;
        case RunFault::ServerStall:
            this->sim.slowServer(host, 1e6, duration);
            break;
        }
    }
    /// Loses some hosts while the leases of the lost entry have not expired.
    void loseHostsLater(RandomSource &random)
    {
        for (int host = 0; host < this->hostCount; ++host) {
            const bool isKilled = this->kinds.count(RunFault::HostKill) > 0 && random.drawBelow(3) == 0;
            const bool isFrozen = this->kinds.count(RunFault::HostFreeze) > 0 && random.drawBelow(3) == 0;
            const auto time = random.drawBetween(Millis(500), Millis(2000));
            this->sim.timeline.after(random.drawBetween(Millis(500), Millis(900)),
                                     [this, host, isKilled, isFrozen, time] {
                                         if (isKilled) {
                                             this->sim.killHost(host, time);
                                         } else if (isFrozen) {
                                             this->sim.freezeHost(host, time);
                                         }
                                     });
        }
    }
    /// Cuts the links of an entry to some hosts.
    void cutLinks(RandomSource &random, int entry, Micros time, bool isHeld)
    {
        const int directions = random.drawBelow(3); // both, only from the entry, or only from the hosts
        for (int host = 0; host < this->hostCount; ++host) {
            if (random.drawBelow(2) == 0) {
                this->sim.cut(entry, host, time, directions != 2, directions != 1, isHeld);
            }
        }
    }
    void openLateWindow(RunFault kind, RandomSource &random)
    {
        auto &window = this->lateWindows[kind];
        window.until = this->sim.timeline.now() + random.drawBetween(Millis(500), Millis(8000));
        window.share = 0.05 + 0.85 * random.drawFraction();
        window.host = random.drawBelow(2) == 0 ? std::string() : RunSim::hostName(random.drawBelow(this->hostCount));
        this->sim.trace(fmt::format("{} with share {:.2f} at {}", runFaultNames.at(static_cast<std::size_t>(kind)),
                                    window.share, window.host.empty() ? "all hosts" : window.host));
    }
    std::optional<LateOrder> drawLateOrder(const std::string &host)
    {
        for (const auto &[kind, window] : this->lateWindows) {
            if (this->sim.timeline.now() < window.until && (window.host.empty() || window.host == host)
                && this->lateRandom.drawFraction() < window.share) {
                return LateOrder {this->lateRandom.drawBetween(Millis(2000), Millis(12000)),
                                  kind == RunFault::LateGrants};
            }
        }
        return std::nullopt;
    }

    RunSim &sim;
    const RunFaults kinds;
    const int entryCount;
    const int hostCount;
    RandomSource lateRandom;
    std::map<RunFault, RandomSource> randoms;
    std::map<RunFault, LateWindow> lateWindows;
    bool isStopped = false;
};

/// Draws a job with 1 to 4 tasks of 60 to 2500 ms of work and a rough estimate.
inline SimJob drawJob(RandomSource &random, int number)
{
    SimJob job;
    job.id = fmt::format("j{}", number);
    int maxWorkMs = 0;
    for (int i = random.drawBelow(4); i >= 0; --i) {
        job.workMs.push_back(static_cast<int>(60 * std::pow(2500.0 / 60.0, random.drawFraction())));
        maxWorkMs = std::max(maxWorkMs, job.workMs.back());
    }
    job.estimateMs = static_cast<int>(std::min(maxWorkMs, 1400) * (0.6 + random.drawFraction()));
    job.cpuMillis = 2000 << random.drawBelow(4);
    return job;
}

struct RunSequenceResult
{
    std::vector<std::string> violations;
    std::vector<std::string> overloads;
    std::size_t runs = 0;
    int completed = 0;
    int unfinished = 0;
    std::size_t lapsed = 0;
};

/// Changes the capacity of each backend server at random times, to less or more than at its start or to none.
class CapacityDriver
{
public:
    CapacityDriver(RunSim &sim, std::uint64_t seed, int hostCount)
        : sim(sim)
    {
        for (int host = 0; host < hostCount; ++host) {
            this->randoms.emplace_back(seed * 100 + static_cast<std::uint64_t>(host));
            this->scheduleNext(host);
        }
    }

private:
    void scheduleNext(int host)
    {
        auto &random = this->randoms[static_cast<std::size_t>(host)];
        this->sim.timeline.after(random.drawBetween(Millis(300), Millis(8000)), [this, host, &random] {
            constexpr std::array capacities {0, 2000, 4000, 8000, 12000, 16000, 16000, 24000};
            this->sim.resizeServer(host, capacities.at(static_cast<std::size_t>(random.drawBelow(capacities.size()))));
            this->scheduleNext(host);
        });
    }

    RunSim &sim;
    std::deque<RandomSource> randoms; ///< one for each host
};

/// Simulates a minute of jobs and random faults of the given kinds.
/// @param changesCapacity whether the capacities of the backend servers change as well
inline RunSequenceResult runSequence(std::uint64_t seed, const RunFaults &kinds, bool changesCapacity = false,
                                     const SimListening &listening = {})
{
    const int entryCount = 2 + static_cast<int>(seed % 2);
    const int hostCount = 3 + static_cast<int>(seed / 2 % 2);
    RunSim sim(seed, entryCount, hostCount, listening);
    sim.servers.drawStopDelay = [&sim] { return sim.random.drawBetween(Millis(1), Millis(50)); };
    RunFaultDriver driver(sim, seed, kinds, entryCount, hostCount);
    std::optional<CapacityDriver> capacityDriver;
    if (changesCapacity) {
        sim.losesLateRegistrations = true;
        capacityDriver.emplace(sim, seed, hostCount);
    }
    RandomSource callers(seed + 1000000);
    const auto endMs = sim.timeline.elapsedMs() + 60000;
    for (int i = 0; sim.timeline.elapsedMs() < endMs; ++i) {
        sim.callers.submit(drawJob(callers, i), callers.drawBelow(entryCount));
        sim.run(callers.drawBetween(Millis(40), Millis(260)));
    }
    driver.stop();
    sim.run(Millis(12000)); // longer than all submissions of one job take
    RunSequenceResult result;
    result.violations = sim.record.violations;
    result.overloads = sim.record.overloads;
    result.runs = sim.record.runs.size();
    result.completed = sim.callers.answered(JobEnd::Completed);
    result.unfinished = sim.callers.answered(JobEnd::Unfinished);
    result.lapsed = sim.record.count("lapsed");
    return result;
}

} // namespace agatedrum::test
