#pragma once

#include "cell_scheduler_p.h"

#include <algorithm>
#include <numeric>
#include <string>
#include <vector>

namespace agatedrum::test {

inline ClusterConfig configOf(const std::string &order = "leastWork", const std::string &placement = "fastestFree")
{
    ServiceConfig service;
    service.name = "visits";
    service.order = order;
    service.placement = placement;
    service.maxQueuedTasks = 1000;
    ClusterConfig config;
    config.number = 1;
    config.services = {service};
    return config;
}

inline ScheduledJob jobOf(JobNumber number, std::size_t tasks, Micros declared = Millis(100),
                          const std::string &team = "")
{
    ScheduledJob job;
    job.number = number;
    job.team = team;
    job.declared.assign(tasks, declared);
    return job;
}

/// A scheduler of the service "visits" on a manual clock.
class SchedulerRig
{
public:
    explicit SchedulerRig(const ClusterConfig &config = configOf())
        : scheduler(config, "visits", 1)
    {
    }

    void add(const ScheduledJob &job)
    {
        std::vector<int> tasks(job.declared.size());
        std::iota(tasks.begin(), tasks.end(), 0);
        this->scheduler.add(job, tasks, this->clock.now());
    }

    void addServers(int count, int slots)
    {
        for (int server = 0; server < count; ++server) {
            this->scheduler.setServer("s" + std::to_string(server), slots, 64, -1, this->clock.now());
        }
    }

    std::optional<Assignment> next()
    {
        return this->scheduler.next(this->clock.now());
    }

    /// Starts all that may start.
    std::vector<Assignment> startAll()
    {
        std::vector<Assignment> started;
        while (auto assignment = this->next()) {
            started.push_back(std::move(*assignment));
        }
        return started;
    }

    void finish(const Assignment &assignment, wire::Outcome::type outcome = wire::Outcome::FINISHED,
                Micros runTime = Millis(100))
    {
        this->scheduler.finished(assignment, outcome, runTime, this->clock.now());
    }

    /// Moves the clock in ticks of 10 ms.
    void pass(Millis time)
    {
        for (Millis done {0}; done < time; done += Millis(10)) {
            this->clock.advance(Millis(10));
            this->scheduler.tick(this->clock.now());
        }
    }

    /// Field of a server in the state dump.
    nlohmann::json serverField(const std::string &server, const std::string &field)
    {
        const auto dump = this->scheduler.dump(this->clock.now());
        for (const auto &entry : dump["servers"]) {
            if (entry["name"] == server) {
                return entry[field];
            }
        }
        return nullptr;
    }

    ManualClock clock;
    CellScheduler scheduler;
};

inline long countOn(const std::vector<Assignment> &assignments, const std::string &server)
{
    return std::count_if(assignments.begin(), assignments.end(),
                         [&server](const Assignment &a) { return a.server == server; });
}

inline long countOf(const std::vector<Assignment> &assignments, JobNumber job)
{
    return std::count_if(assignments.begin(), assignments.end(),
                         [job](const Assignment &a) { return a.task.job == job; });
}

} // namespace agatedrum::test
