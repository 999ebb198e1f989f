#pragma once

#include "agatedrum_types.h"
#include "base_clock_p.h"
#include "config_cluster_p.h"

#include <nlohmann/json.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace agatedrum {

/// Number of a job within one cell, assigned by the owner of the cell. Unique within an epoch.
using JobNumber = std::int64_t;

/// Identifies one task of a job.
struct ScheduledTask
{
    JobNumber job = 0;
    int index = 0; ///< position in ScheduledJob::declared
};

/// Properties of a job that the scheduler needs.
struct ScheduledJob
{
    JobNumber number = 0;
    std::string team;
    std::vector<Micros> declared; ///< declared run time of each task; zero if the caller declared none
    std::optional<Time> deadline;
    bool idempotent = false;
};

/// A task and the backend server that runs it.
struct Assignment
{
    ScheduledTask task;
    std::string server;
};

/// Decides when and on which backend server each task of one cell runs. Covers the order of jobs, placement, learned
/// server speeds, shares and quotas of teams, admission and outlier detection. Doesn't depend on messages, records or
/// epochs. Not thread-safe; guarded by the lock of its cell.
class CellScheduler
{
public:
    /// Precondition: config contains the service.
    /// @param seed seed of random placement strategies.
    CellScheduler(const ClusterConfig &config, const std::string &service, std::uint64_t seed);
    ~CellScheduler();
    CellScheduler(const CellScheduler &) = delete;
    CellScheduler &operator=(const CellScheduler &) = delete;

    /// Applies a newly accepted configuration. Jobs that are already admitted are kept.
    void configure(const ClusterConfig &config);

    /// Adds a backend server, which is available at first, or updates it with the values that it announced.
    /// @param usage resource usage of the server's worker, from 0 to 1; a negative value means unknown.
    /// @param connections maximum number of connections that the server accepts; 0 if it isn't limited.
    void setServer(const std::string &server, int slots, int connections, double usage, Time now);
    /// Sets whether the backend server may get new tasks. It may not if it is unresponsive, leaving or drained. Does
    /// nothing if the server is unknown.
    void setAvailable(const std::string &server, bool isAvailable, Time now);
    /// Removes a backend server. Precondition: all its tasks were reported by finished() or requeue().
    void removeServer(const std::string &server);

    /// Checks whether a new job can be accepted: queue limits, quotas, deadline, and whether its tasks can run at all.
    /// Charges no quota; add() does that.
    /// @return std::nullopt if the job is accepted. Each refusal has notRun set; its retryAfterMs is 0 if the same job
    /// would never be accepted.
    std::optional<wire::Refusal> admit(const ScheduledJob &job, Time now);
    /// Queues tasks of a job and charges them to its team.
    /// @param tasks indices of the tasks that still have to run.
    void add(const ScheduledJob &job, const std::vector<int> &tasks, Time now);

    /// Chooses the next task to start and its backend server, and marks the slot as used.
    /// @return std::nullopt if no task can start now.
    std::optional<Assignment> next(Time now);
    /// Frees the slot of a task that ended, and updates the learned speeds and the health of the backend server.
    /// @param runTime run time as measured by the agent. Zero with an unknown outcome means that the agent was lost.
    /// A lost agent or a stopped task has no effect on the health of the backend server.
    void finished(const Assignment &assignment, wire::Outcome::type outcome, Micros runTime, Time now);
    /// Frees the slot and queues the task again. Precondition: the agent has confirmed that the task did not start.
    void requeue(const Assignment &assignment, Time now);
    /// Marks a slot as used by a task that a new owner of the cell found running.
    void adopt(const ScheduledJob &job, const Assignment &assignment, Time now);
    /// Removes the queued tasks of a job. Tasks that have started are not affected.
    /// @return indices of the removed tasks, in ascending order.
    std::vector<int> dropQueued(JobNumber job);

    /// Ejects backend servers, ends ejections, releases slots that were held after fast failures, and updates the
    /// learned speeds. Call it every few milliseconds.
    void tick(Time now);

    /// Returns the number of queued tasks of all jobs.
    std::size_t queuedTasks() const;
    /// Returns the number of running tasks of all jobs.
    std::size_t runningTasks() const;
    /// Returns the state as JSON for operators.
    nlohmann::json dump(Time now) const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace agatedrum
