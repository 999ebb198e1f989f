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

AgentTask *AgentTasks::findCall(std::int64_t call)
{
    const auto found = this->calls.find(call);
    return found == this->calls.end() ? nullptr : &this->tasks.at(found->second);
}

void AgentTasks::add(AgentTask task)
{
    auto id = toTaskId(task.ref);
    this->calls.emplace(task.call, id);
    this->tasks.emplace(std::move(id), std::move(task));
}

void AgentTasks::finish(AgentTask &task, wire::TaskResult result, Time repeatAt)
{
    this->calls.erase(task.call);
    task.isRunning = false;
    task.result = std::move(result);
    this->bytes += task.result.body.size();
    task.repeatAt = repeatAt;
    this->nextDue = std::min(this->nextDue, repeatAt);
}

void AgentTasks::remove(const AgentTask &task)
{
    this->calls.erase(task.call);
    this->bytes -= task.result.body.size();
    this->tasks.erase(toTaskId(task.ref));
}

std::vector<const AgentTask *> AgentTasks::takeDue(Time now, Time repeatAt)
{
    std::vector<const AgentTask *> due;
    if (now < this->nextDue) {
        return due;
    }
    this->nextDue = Time::max();
    for (auto &[id, task] : this->tasks) {
        if (task.isRunning) {
            continue;
        }
        if (task.repeatAt <= now) {
            task.repeatAt = repeatAt;
            due.push_back(&task);
        }
        this->nextDue = std::min(this->nextDue, task.repeatAt);
    }
    return due;
}

std::vector<const AgentTask *> AgentTasks::ofCell(std::int32_t cell) const
{
    std::vector<const AgentTask *> found;
    for (const auto &[id, task] : this->tasks) {
        if (task.cell == cell) {
            found.push_back(&task);
        }
    }
    return found;
}

std::size_t AgentTasks::running() const
{
    return this->calls.size();
}

std::size_t AgentTasks::unacknowledged() const
{
    return this->tasks.size() - this->calls.size();
}

std::size_t AgentTasks::unacknowledgedBytes() const
{
    return this->bytes;
}

} // namespace agatedrum
