#pragma once

#include "agatedrum_types.h"
#include "base_clock_p.h"

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace agatedrum {

/// Identifies a task of a submission. Usable as a key of ordered containers.
struct TaskId
{
    std::string caller;
    std::string submission;
    int index = 0;

    auto asTuple() const
    {
        return std::tie(this->caller, this->submission, this->index);
    }
    friend bool operator==(const TaskId &a, const TaskId &b)
    {
        return a.asTuple() == b.asTuple();
    }
    friend bool operator<(const TaskId &a, const TaskId &b)
    {
        return a.asTuple() < b.asTuple();
    }
};

TaskId toTaskId(const wire::TaskRef &ref);

/// A task that the agent has accepted and whose result has not been acknowledged.
struct AgentTask
{
    wire::TaskRef ref;
    std::int32_t cell = 0;
    std::int64_t epoch = 0; ///< epoch of the start message
    std::int64_t sequence = 0; ///< sequence of the start message
    std::int64_t callNumber = 0; ///< number of the call to the backend server
    bool isRunning = true;
    bool isStopping = false; ///< whether the call has been told to stop
    wire::TaskResult result; ///< valid if not running
    Time resendAt; ///< when the result is sent again
};

/// The accepted tasks of an agent, indexed by task and by call. Not thread-safe; guarded by the lock of the agent.
class AgentTasks
{
public:
    /// @return the task, or nullptr if it is not in this table.
    AgentTask *find(const wire::TaskRef &ref);
    /// @return the running task with this call number, or nullptr.
    AgentTask *findByCallNumber(std::int64_t callNumber);
    /// Adds a running task. Precondition: the task is not in this table.
    void add(AgentTask task);
    /// Stores the result of a running task. Precondition: the task is in this table and is running.
    void finish(AgentTask &task, wire::TaskResult result, Time resendAt);
    /// Removes a task. Precondition: the task is in this table.
    void remove(const AgentTask &task);

    /// Returns the tasks whose results are due to be sent again, and sets the time at which each is due next.
    std::vector<const AgentTask *> collectDueResults(Time now, Time nextResendAt);
    /// Returns all tasks of a cell.
    std::vector<const AgentTask *> tasksOfCell(std::int32_t cell) const;

    /// Returns the number of running tasks.
    std::size_t running() const;
    /// Returns the number of results that have not been acknowledged.
    std::size_t unacknowledged() const;
    /// Returns the total size of the result bodies that have not been acknowledged.
    std::size_t unacknowledgedBytes() const;

private:
    std::map<TaskId, AgentTask> tasks;
    std::map<std::int64_t, TaskId> taskIdsByCall; ///< running tasks only
    std::size_t resultBytes = 0; ///< total size of the unacknowledged result bodies
    Time earliestResendAt = Time::max(); ///< no result is due before this time
};

} // namespace agatedrum
