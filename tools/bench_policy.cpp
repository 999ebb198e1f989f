#include "bench_p.h"
#include "bench_workload.h"
#include "cell_scheduler_p.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <deque>
#include <functional>
#include <numeric>
#include <optional>
#include <queue>
#include <set>

namespace agatedrum::bench {

namespace {

constexpr Micros oneWay {1000};
constexpr Micros tickInterval {10000};
constexpr Micros deadline {10000000};

struct Policy
{
    std::string order;
    std::string placement;
};

const std::vector<Policy> policies = {
    {"leastWork", "fastestFree"}, {"firstCome", "fastestFree"}, {"leastWork", "random"},
    {"leastWork", "roundRobin"},  {"leastWork", "leastLoaded"}, {"leastWork", "twoProbes"},
};

/// Responses of the answered jobs in their order of arrival; none for a refused job.
struct Outcome
{
    std::vector<std::optional<Micros>> responses;
    Micros usefulWork {0}; ///< of jobs that were answered within their deadline
    std::size_t late = 0;
    std::size_t admitted = 0;
};

/// First-come central queue that knows true speeds and sizes and exchanges no messages.
class IdealQueue
{
public:
    Outcome run(const std::vector<WorkloadJob> &jobs)
    {
        const auto &speeds = serverSpeeds();
        for (std::size_t server = 0; server < speeds.size(); ++server) {
            for (int slot = 0; slot < slotsPerServer; ++slot) {
                this->freeSlots.emplace(-speeds[server], static_cast<int>(server) * slotsPerServer + slot);
            }
        }
        Outcome outcome;
        for (const auto &job : jobs) {
            outcome.responses.emplace_back(this->finishOf(job) - job.arrival);
        }
        return outcome;
    }

private:
    // Tasks start in the order of arrival, so the schedule of a job is final once all earlier jobs are placed.
    Micros finishOf(const WorkloadJob &job)
    {
        auto sizes = job.sizes;
        std::sort(sizes.begin(), sizes.end(), std::greater<>());
        Micros finish {0};
        this->clock = std::max(this->clock, job.arrival);
        for (const auto size : sizes) {
            this->freeUntil(this->clock);
            if (this->freeSlots.empty()) {
                this->clock = this->busySlots.top().first;
                this->freeUntil(this->clock);
            }
            const auto [negativeSpeed, slot] = *this->freeSlots.begin();
            this->freeSlots.erase(this->freeSlots.begin());
            const auto end
                = this->clock + Micros(static_cast<std::int64_t>(static_cast<double>(size.count()) / -negativeSpeed));
            this->busySlots.emplace(end, slot);
            finish = std::max(finish, end);
        }
        return finish;
    }

    void freeUntil(Micros time)
    {
        while (!this->busySlots.empty() && this->busySlots.top().first <= time) {
            const int slot = this->busySlots.top().second;
            this->freeSlots.emplace(-serverSpeeds()[static_cast<std::size_t>(slot / slotsPerServer)], slot);
            this->busySlots.pop();
        }
    }

    using Busy = std::pair<Micros, int>;
    Micros clock {0};
    std::set<std::pair<double, int>> freeSlots;
    std::priority_queue<Busy, std::vector<Busy>, std::greater<>> busySlots;
};

/// Runs a workload through a CellScheduler. One job takes four messages beside its tasks' starts and results.
class PolicyTrial
{
public:
    PolicyTrial(const Policy &policy, const std::vector<WorkloadJob> &jobs, bool hasDeadlines)
        : jobs(jobs)
        , hasDeadlines(hasDeadlines)
        , scheduler(configOf(policy), "trial", 1)
        , left(jobs.size())
    {
        for (std::size_t server = 0; server < serverSpeeds().size(); ++server) {
            this->scheduler.setServer(std::to_string(server), slotsPerServer, 64, -1, this->start);
        }
        this->outcome.responses.resize(jobs.size());
    }

    Outcome run()
    {
        this->push(Micros(0), Event::Tick, 0);
        for (std::size_t job = 0; job < this->jobs.size(); ++job) {
            this->push(this->jobs[job].arrival + oneWay, Event::Arrival, job);
        }
        while (!this->events.empty() && this->open + this->arrivalsLeft() > 0) {
            const auto event = this->events.top();
            this->events.pop();
            this->now = event.time;
            this->handle(event);
            while (const auto assignment = this->scheduler.next(this->start + this->now)) {
                this->startTask(*assignment);
            }
        }
        return std::move(this->outcome);
    }

private:
    struct Event
    {
        enum Kind { Tick, Arrival, Recorded, Result };
        Micros time;
        Kind kind;
        std::size_t number; ///< of the job, or of the assignment
        std::size_t sequence;
        bool operator>(const Event &other) const
        {
            return std::tie(this->time, this->sequence) > std::tie(other.time, other.sequence);
        }
    };

    static ClusterConfig configOf(const Policy &policy)
    {
        ServiceConfig service;
        service.name = "trial";
        service.order = policy.order;
        service.placement = policy.placement;
        ClusterConfig config;
        config.services = {service};
        return config;
    }

    std::size_t arrivalsLeft() const
    {
        return this->jobs.size() - this->arrived;
    }

    void push(Micros time, Event::Kind kind, std::size_t number)
    {
        this->events.push({time, kind, number, this->sequence++});
    }

    ScheduledJob jobOf(std::size_t number) const
    {
        ScheduledJob job;
        job.number = static_cast<JobNumber>(number);
        job.declared = this->jobs[number].declared;
        if (this->hasDeadlines) {
            job.deadline = this->start + this->jobs[number].arrival + deadline;
        }
        return job;
    }

    void handle(const Event &event)
    {
        switch (event.kind) {
        case Event::Tick:
            this->scheduler.tick(this->start + this->now);
            this->push(this->now + tickInterval, Event::Tick, 0);
            break;
        case Event::Arrival:
            this->arrived++;
            if (!this->scheduler.admit(this->jobOf(event.number), this->start + this->now)) {
                this->open++;
                this->outcome.admitted++;
                this->left[event.number] = this->jobs[event.number].sizes.size();
                this->push(this->now + 2 * oneWay, Event::Recorded, event.number);
            }
            break;
        case Event::Recorded: {
            std::vector<int> tasks(this->jobs[event.number].sizes.size());
            std::iota(tasks.begin(), tasks.end(), 0);
            this->scheduler.add(this->jobOf(event.number), tasks, this->start + this->now);
            break;
        }
        case Event::Result:
            this->finishTask(event.number);
            break;
        }
    }

    void startTask(const Assignment &assignment)
    {
        const double speed = serverSpeeds()[static_cast<std::size_t>(std::stoi(assignment.server))];
        const auto &job = this->jobs[static_cast<std::size_t>(assignment.task.job)];
        const auto size = job.sizes[static_cast<std::size_t>(assignment.task.index)];
        const Micros runTime(static_cast<std::int64_t>(static_cast<double>(size.count()) / speed));
        this->push(this->now + oneWay + runTime + oneWay, Event::Result, this->running.size());
        this->running.emplace_back(assignment, runTime);
    }

    void finishTask(std::size_t number)
    {
        const auto [assignment, runTime] = this->running[number];
        this->scheduler.finished(assignment, wire::Outcome::FINISHED, runTime, this->start + this->now);
        const auto job = static_cast<std::size_t>(assignment.task.job);
        if (--this->left[job] > 0) {
            return;
        }
        this->open--;
        const auto response = this->now + oneWay - this->jobs[job].arrival;
        this->outcome.responses[job] = response;
        if (response <= deadline) {
            const auto &sizes = this->jobs[job].sizes;
            this->outcome.usefulWork = std::accumulate(sizes.begin(), sizes.end(), this->outcome.usefulWork);
        } else {
            this->outcome.late++;
        }
    }

    const std::vector<WorkloadJob> &jobs;
    const bool hasDeadlines;
    const Time start {std::chrono::hours(1)};
    CellScheduler scheduler;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
    std::vector<std::size_t> left;
    std::deque<std::pair<Assignment, Micros>> running;
    Outcome outcome;
    Micros now {0};
    std::size_t sequence = 0;
    std::size_t arrived = 0;
    std::size_t open = 0;
};

struct Summary
{
    double mean = 0;
    double p50 = 0;
    double p99 = 0;
    double p999 = 0;
};

Summary summarise(const std::vector<std::optional<Micros>> &responses)
{
    std::vector<double> values;
    for (const auto &response : responses) {
        if (response) {
            values.push_back(static_cast<double>(response->count()) / 1000);
        }
    }
    if (values.empty()) {
        return {};
    }
    std::sort(values.begin(), values.end());
    const auto quantile = [&values](double share) {
        return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
    };
    return {std::accumulate(values.begin(), values.end(), 0.0) / static_cast<double>(values.size()), quantile(0.5),
            quantile(0.99), quantile(0.999)};
}

void printUnderload(double load, double seconds, std::uint64_t seed)
{
    const auto jobs = makeWorkload({load, seconds, 1, seed});
    const auto ideal = summarise(IdealQueue().run(jobs).responses);
    fmt::print("\nLoad {}, {} jobs, seed {}. Ideal: mean {:.0f} ms, p50 {:.0f}, p99 {:.0f}, p99.9 {:.0f}\n\n", load,
               jobs.size(), seed, ideal.mean, ideal.p50, ideal.p99, ideal.p999);
    fmt::print("| order | placement | mean | p50 | p99 | p99.9 | refused |\n"
               "| --- | --- | --- | --- | --- | --- | --- |\n");
    for (const auto &policy : policies) {
        const auto outcome = PolicyTrial(policy, jobs, false).run();
        const auto found = summarise(outcome.responses);
        fmt::print("| {} | {} | {:.3f} | {:.3f} | {:.3f} | {:.3f} | {} |\n", policy.order, policy.placement,
                   found.mean / ideal.mean, found.p50 / ideal.p50, found.p99 / ideal.p99, found.p999 / ideal.p999,
                   jobs.size() - outcome.admitted);
    }
}

void printOverload(double load, double seconds, std::uint64_t seed)
{
    const auto jobs = makeWorkload({load, seconds, 1, seed});
    const auto &speeds = serverSpeeds();
    const double offered = slotsPerServer * std::accumulate(speeds.begin(), speeds.end(), 0.0) * seconds;
    fmt::print(
        "\nLoad {}, {} jobs, seed {}, deadline {} s. Goodput: work answered in time of the servers' capacity\n\n", load,
        jobs.size(), seed, deadline.count() / 1000000);
    fmt::print("| order | placement | goodput | admitted | late of admitted | p50 ms | p99 ms |\n"
               "| --- | --- | --- | --- | --- | --- | --- |\n");
    for (const auto &policy : policies) {
        const auto outcome = PolicyTrial(policy, jobs, true).run();
        const auto found = summarise(outcome.responses);
        fmt::print("| {} | {} | {:.3f} | {:.3f} | {:.4f} | {:.0f} | {:.0f} |\n", policy.order, policy.placement,
                   static_cast<double>(outcome.usefulWork.count()) / 1e6 / offered,
                   static_cast<double>(outcome.admitted) / static_cast<double>(jobs.size()),
                   static_cast<double>(outcome.late) / static_cast<double>(std::max<std::size_t>(1, outcome.admitted)),
                   found.p50, found.p99);
    }
}

double settingOr(const char *name, double fallback)
{
    const char *text = std::getenv(name);
    return text == nullptr ? fallback : std::atof(text);
}

} // namespace

int runPolicyBench()
{
    const double seconds = settingOr("BENCH_SECONDS", 1200);
    const auto seed = static_cast<std::uint64_t>(settingOr("BENCH_SEED", 1));
    for (const double load : {0.5, 0.8, 0.95}) {
        printUnderload(load, seconds, seed);
    }
    printOverload(1.5, seconds, seed);
    return 0;
}

} // namespace agatedrum::bench
