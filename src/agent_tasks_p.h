#pragma once

#include "agatedrum_types.h"
#include "base_clock_p.h"

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace agatedrum {

/// Names one task of one submission. Immutable.
struct TaskId
{
    std::string caller;
    std::string submission;
    int index = 0;

    auto tied() const
    {
        return std::tie(this->caller, this->submission, this->index);
    }
    friend bool operator==(const TaskId &a, const TaskId &b)
    {
        return a.tied() == b.tied();
    }
    friend bool operator<(const TaskId &a, const TaskId &b)
    {
        return a.tied() < b.tied();
    }
};

TaskId toTaskId(const wire::TaskRef &ref);

/// A task that was accepted here and whose result is not acknowledged.
struct AgentTask
{
    wire::TaskRef ref;
    std::int32_t cell = 0;
    std::int64_t epoch = 0; ///< of the start
    std::int64_t sequence = 0; ///< of the start
    std::int64_t call = 0; ///< number of the call to the backend server
    bool isRunning = true;
    bool isStopping = false;
    wire::TaskResult result; ///< set when not running
    Time repeatAt; ///< when the result goes out again
};

/// The accepted tasks of an agent, found by task and by call. Not thread-safe; guarded by the agent's lock.
class AgentTasks
{
public:
    /// @return nothing when the task is not known.
    AgentTask *find(const wire::TaskRef &ref);
    /// Finds a running task by its call.
    AgentTask *findCall(std::int64_t call);
    /// Precondition: the task is not known.
    void add(AgentTask task);
    /// Notes the result of a running task. Precondition: the task is known and running.
    void finish(AgentTask &task, wire::TaskResult result, Time repeatAt);
    /// Forgets a task. Precondition: the task is known.
    void remove(const AgentTask &task);

    /// Results that are due for a repetition; each is due again at the given time.
    std::vector<const AgentTask *> takeDue(Time now, Time repeatAt);
    /// All tasks of a cell.
    std::vector<const AgentTask *> ofCell(std::int32_t cell) const;

    std::size_t running() const;
    std::size_t unacknowledged() const;
    /// Bodies of the results that are not acknowledged.
    std::size_t unacknowledgedBytes() const;

private:
    std::map<TaskId, AgentTask> tasks;
    std::map<std::int64_t, TaskId> calls; ///< running tasks only
    std::size_t bytes = 0;
    Time nextDue = Time::max(); ///< no result is due before
};

} // namespace agatedrum
