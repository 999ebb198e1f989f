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

/// Number of a job within one cell, given by the owner of the cell. Never used twice in an epoch.
using JobNumber = std::int64_t;

/// One task for the scheduler.
struct ScheduledTask
{
    JobNumber job = 0;
    int index = 0;
};

/// What the scheduler needs to know of a job.
struct ScheduledJob
{
    JobNumber number = 0;
    std::string team;
    std::vector<Micros> declared; ///< one for each task; zero when the caller declared nothing
    std::optional<Time> deadline;
    bool idempotent = false;
};

struct Assignment
{
    ScheduledTask task;
    std::string server;
};

/// Decides which task of one cell runs where and when: order, placement, learned speeds, teams, admission, health.
/// Knows nothing of messages, records or epochs. Not thread-safe; guarded by the lock of its cell.
class CellScheduler
{
public:
    /// Preconditions: config names the service; seed makes random strategies repeatable.
    CellScheduler(const ClusterConfig &config, const std::string &service, std::uint64_t seed);
    ~CellScheduler();
    CellScheduler(const CellScheduler &) = delete;
    CellScheduler &operator=(const CellScheduler &) = delete;

    /// Takes over a new accepted configuration. Admitted jobs stay.
    void configure(const ClusterConfig &config);

    /// Adds a backend server, available at first, or takes over what it announced. usage below zero means unknown.
    void setServer(const std::string &server, int slots, int connections, double usage, Time now);
    /// No new task goes there until setAvailable(true): silent, leaving or drained.
    void setAvailable(const std::string &server, bool isAvailable, Time now);
    /// Forgets a backend server. Tasks that it held must have been reported by finished() or requeue() before.
    void removeServer(const std::string &server);

    /// Whether a new job may enter: bounds, quotas, deadline, whether it can run at all. Charges nothing: add() does.
    /// Each refusal is notRun; retryAfterMs is 0 when the same job would never be accepted.
    std::optional<wire::Refusal> admit(const ScheduledJob &job, Time now);
    /// Queues the tasks of a job and charges them to its team. tasks holds the indices that still have to run.
    void add(const ScheduledJob &job, const std::vector<int> &tasks, Time now);

    /// Next task to start and where, or nothing. The slot counts as taken from then on.
    std::optional<Assignment> next(Time now);
    /// Frees the slot and learns from the run. runTime as measured at the agent; zero for a task whose agent was lost,
    /// which says nothing of the backend server's health.
    void finished(const Assignment &assignment, wire::Outcome::type outcome, Micros runTime, Time now);
    /// Frees the slot and queues the task again: the agent certified that it did not start.
    void requeue(const Assignment &assignment, Time now);
    /// Counts a slot as taken by a task that a new owner found running.
    void adopt(const ScheduledJob &job, const Assignment &assignment, Time now);
    /// Drops the queued tasks of a job and returns their indices. Started ones are not touched.
    std::vector<int> dropQueued(JobNumber job);

    /// Ejects and returns backend servers, ends their holds after fast failures. Call every few milliseconds.
    void tick(Time now);

    std::size_t queuedTasks() const;
    std::size_t runningTasks() const;
    /// State for an operator.
    nlohmann::json dump(Time now) const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace agatedrum
