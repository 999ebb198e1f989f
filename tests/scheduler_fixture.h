#pragma once

#include "cell_scheduler_p.h"

#include <algorithm>
#include <numeric>
#include <string>
#include <vector>

namespace agatedrum::test {

/// Returns a configuration with the service "visits" only, which may queue 1000 tasks per cell.
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

/// Returns a job of several tasks with the same declared run time.
inline ScheduledJob jobOf(JobNumber number, std::size_t tasks, Micros declared = Millis(100),
                          const std::string &team = "")
{
    ScheduledJob job;
    job.number = number;
    job.team = team;
    job.declared.assign(tasks, declared);
    return job;
}

/// Test fixture: a scheduler of the service "visits" with a manual clock.
class SchedulerFixture
{
public:
    explicit SchedulerFixture(const ClusterConfig &config = configOf())
        : scheduler(config, "visits", 1)
    {
    }

    /// Queues all tasks of a job.
    void add(const ScheduledJob &job)
    {
        std::vector<int> tasks(job.declared.size());
        std::iota(tasks.begin(), tasks.end(), 0);
        this->scheduler.add(job, tasks, this->clock.now());
    }

    /// Adds servers s0, s1 and so on, or announces them again. Their usage is unknown.
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

    /// Starts all tasks that may start now.
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

    /// Advances the clock in steps of 10 ms and calls tick() after each step.
    void advanceTime(Millis time)
    {
        for (Millis done {0}; done < time; done += Millis(10)) {
            this->clock.advance(Millis(10));
            this->scheduler.tick(this->clock.now());
        }
    }

    /// Returns a field of a server in the state dump, or null if the server is unknown.
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

/// Returns how many of the tasks are assigned to a server.
inline long countOnServer(const std::vector<Assignment> &assignments, const std::string &server)
{
    return std::count_if(assignments.begin(), assignments.end(),
                         [&server](const Assignment &a) { return a.server == server; });
}

/// Returns how many of the tasks belong to a job.
inline long countOfJob(const std::vector<Assignment> &assignments, JobNumber job)
{
    return std::count_if(assignments.begin(), assignments.end(),
                         [job](const Assignment &a) { return a.task.job == job; });
}

} // namespace agatedrum::test
