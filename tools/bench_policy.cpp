#include "bench_p.h"
#include "cell_scheduler_p.h"
#include "workload_p.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <deque>
#include <functional>
#include <numeric>
#include <queue>

namespace agatedrum::bench {

namespace {

constexpr Micros oneWayDelay {1000};
constexpr Micros tickInterval {10000};
constexpr Micros deadline {10000000};
constexpr int slotsPerServer = 8;

using tools::WorkloadJob;

const std::vector<double> &serverSpeeds()
{
    static const std::vector<double> speeds = {0.5, 0.65, 0.8, 0.95, 1.1, 1.25, 1.4, 1.55, 1.7, 1.85, 2.0};
    return speeds;
}

tools::WorkloadOptions workloadOf(double load, double seconds, std::uint64_t seed)
{
    tools::WorkloadOptions options;
    options.load = load;
    options.seconds = seconds;
    options.seed = seed;
    options.speeds = serverSpeeds();
    options.slots = slotsPerServer;
    return options;
}

struct Policy
{
    std::string order;
    std::string placement;
};

const std::vector<Policy> policies = {
    {"leastWork", "fastestFree"}, {"firstCome", "fastestFree"}, {"leastWork", "random"},
    {"leastWork", "roundRobin"},  {"leastWork", "leastLoaded"}, {"leastWork", "twoProbes"},
};

struct TrialResult
{
    std::vector<Micros> responses; ///< response times of the answered jobs
    Micros usefulWork {0}; ///< work of the jobs that were answered within their deadline
    std::size_t late = 0; ///< jobs that were answered after their deadline
    std::size_t admitted = 0; ///< jobs that the scheduler accepted
};

/// Simulates a workload on a CellScheduler. Each job costs four message delays in addition to the starts and results of
/// its tasks.
class PolicyTrial
{
public:
    PolicyTrial(const Policy &policy, const std::vector<WorkloadJob> &jobs, bool hasDeadlines)
        : jobs(jobs)
        , hasDeadlines(hasDeadlines)
        , scheduler(configOf(policy), "trial", 1)
        , remainingTasks(jobs.size())
    {
        for (std::size_t server = 0; server < serverSpeeds().size(); ++server) {
            this->scheduler.setServer(std::to_string(server), slotsPerServer, 64, -1, this->start);
        }
    }

    TrialResult run()
    {
        this->push(Micros(0), Event::Tick, 0);
        for (std::size_t job = 0; job < this->jobs.size(); ++job) {
            this->push(this->jobs[job].arrival + oneWayDelay, Event::Arrival, job);
        }
        while (!this->events.empty() && this->openJobs + this->arrivalsLeft() > 0) {
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
        std::size_t number; ///< number of the job or index of the assignment
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
        return this->jobs.size() - this->arrivedJobs;
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
            this->arrivedJobs++;
            if (!this->scheduler.admit(this->jobOf(event.number), this->start + this->now)) {
                this->openJobs++;
                this->outcome.admitted++;
                this->remainingTasks[event.number] = this->jobs[event.number].sizes.size();
                this->push(this->now + 2 * oneWayDelay, Event::Recorded, event.number);
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
        this->push(this->now + oneWayDelay + runTime + oneWayDelay, Event::Result, this->running.size());
        this->running.emplace_back(assignment, runTime);
    }

    void finishTask(std::size_t number)
    {
        const auto [assignment, runTime] = this->running[number];
        this->scheduler.finished(assignment, wire::Outcome::FINISHED, runTime, this->start + this->now);
        const auto job = static_cast<std::size_t>(assignment.task.job);
        if (--this->remainingTasks[job] > 0) {
            return;
        }
        this->openJobs--;
        const auto response = this->now + oneWayDelay - this->jobs[job].arrival;
        this->outcome.responses.push_back(response);
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
    std::vector<std::size_t> remainingTasks;
    std::deque<std::pair<Assignment, Micros>> running;
    TrialResult outcome;
    Micros now {0};
    std::size_t sequence = 0;
    std::size_t arrivedJobs = 0;
    std::size_t openJobs = 0;
};

void printUnderload(double load, double seconds, std::uint64_t seed)
{
    const auto workload = workloadOf(load, seconds, seed);
    const auto jobs = tools::makeWorkload(workload);
    const auto ideal = tools::summarise(tools::IdealQueue(workload).run(jobs));
    fmt::print("\nLoad {}, {} jobs, seed {}. Ideal: mean {:.0f} ms, p50 {:.0f}, p99 {:.0f}, p99.9 {:.0f}\n\n", load,
               jobs.size(), seed, ideal.mean, ideal.p50, ideal.p99, ideal.p999);
    fmt::print("| order | placement | mean | p50 | p99 | p99.9 | refused |\n"
               "| --- | --- | --- | --- | --- | --- | --- |\n");
    for (const auto &policy : policies) {
        const auto outcome = PolicyTrial(policy, jobs, false).run();
        const auto summary = tools::summarise(outcome.responses);
        fmt::print("| {} | {} | {:.3f} | {:.3f} | {:.3f} | {:.3f} | {} |\n", policy.order, policy.placement,
                   summary.mean / ideal.mean, summary.p50 / ideal.p50, summary.p99 / ideal.p99,
                   summary.p999 / ideal.p999, jobs.size() - outcome.admitted);
    }
}

void printOverload(double load, double seconds, std::uint64_t seed)
{
    const auto workload = workloadOf(load, seconds, seed);
    const auto jobs = tools::makeWorkload(workload);
    const double offered = tools::capacityOf(workload) * seconds;
    fmt::print("\nLoad {}, {} jobs, seed {}, deadline {} s. Goodput: work answered in time as a share of the servers' "
               "capacity\n\n",
               load, jobs.size(), seed, deadline.count() / 1000000);
    fmt::print("| order | placement | goodput | admitted | late of admitted | p50 ms | p99 ms |\n"
               "| --- | --- | --- | --- | --- | --- | --- |\n");
    for (const auto &policy : policies) {
        const auto outcome = PolicyTrial(policy, jobs, true).run();
        const auto summary = tools::summarise(outcome.responses);
        fmt::print("| {} | {} | {:.3f} | {:.3f} | {:.4f} | {:.0f} | {:.0f} |\n", policy.order, policy.placement,
                   static_cast<double>(outcome.usefulWork.count()) / 1e6 / offered,
                   static_cast<double>(outcome.admitted) / static_cast<double>(jobs.size()),
                   static_cast<double>(outcome.late) / static_cast<double>(std::max<std::size_t>(1, outcome.admitted)),
                   summary.p50, summary.p99);
    }
}

double environmentNumberOr(const char *name, double fallback)
{
    const char *text = std::getenv(name);
    return text == nullptr ? fallback : std::atof(text);
}

} // namespace

int runPolicyBench()
{
    const double seconds = environmentNumberOr("BENCH_SECONDS", 1200);
    const auto seed = static_cast<std::uint64_t>(environmentNumberOr("BENCH_SEED", 1));
    for (const double load : {0.5, 0.8, 0.95}) {
        printUnderload(load, seconds, seed);
    }
    printOverload(1.5, seconds, seed);
    return 0;
}

} // namespace agatedrum::bench
