#include "agent_tasks_p.h"

#include <algorithm>
#include <utility>

namespace agatedrum {

TaskId toTaskId(const wire::TaskRef &ref)
{
    return {ref.key.caller, ref.key.submission, ref.index};
}

AgentTask *AgentTasks::find(const wire::TaskRef &ref)
{
    const auto found = this->tasks.find(toTaskId(ref));
    return found == this->tasks.end() ? nullptr : &found->second;
}

AgentTask *AgentTasks::findByCallNumber(std::int64_t callNumber)
{
    const auto found = this->taskIdsByCall.find(callNumber);
    return found == this->taskIdsByCall.end() ? nullptr : &this->tasks.at(found->second);
}

void AgentTasks::add(AgentTask task)
{
    auto id = toTaskId(task.ref);
    this->taskIdsByCall.emplace(task.callNumber, id);
    this->tasks.emplace(std::move(id), std::move(task));
}

void AgentTasks::finish(AgentTask &task, wire::TaskResult result, Time resendAt)
{
    this->taskIdsByCall.erase(task.callNumber);
    task.isRunning = false;
    task.result = std::move(result);
    this->resultBytes += task.result.body.size();
    task.resendAt = resendAt;
    this->earliestResendAt = std::min(this->earliestResendAt, resendAt);
}

void AgentTasks::remove(const AgentTask &task)
{
    this->taskIdsByCall.erase(task.callNumber);
    this->resultBytes -= task.result.body.size();
    this->tasks.erase(toTaskId(task.ref));
}

std::vector<const AgentTask *> AgentTasks::collectDueResults(Time now, Time nextResendAt)
{
    std::vector<const AgentTask *> dueTasks;
    if (now < this->earliestResendAt) {
        return dueTasks;
    }
    this->earliestResendAt = Time::max();
    for (auto &[id, task] : this->tasks) {
        if (task.isRunning) {
            continue;
        }
        if (task.resendAt <= now) {
            task.resendAt = nextResendAt;
            dueTasks.push_back(&task);
        }
        this->earliestResendAt = std::min(this->earliestResendAt, task.resendAt);
    }
    return dueTasks;
}

std::vector<const AgentTask *> AgentTasks::tasksOfCell(std::int32_t cell) const
{
    std::vector<const AgentTask *> cellTasks;
    for (const auto &[id, task] : this->tasks) {
        if (task.cell == cell) {
            cellTasks.push_back(&task);
        }
    }
    return cellTasks;
}

std::size_t AgentTasks::running() const
{
    return this->taskIdsByCall.size();
}

std::size_t AgentTasks::unacknowledged() const
{
    return this->tasks.size() - this->taskIdsByCall.size();
}

std::size_t AgentTasks::unacknowledgedBytes() const
{
    return this->resultBytes;
}

} // namespace agatedrum
