#include "host_queue_p.h"

#include "host_resources_p.h"

#include <algorithm>

namespace agatedrum {

HostQueue::HostQueue(const OverloadPolicy &policy)
    : policy(policy)
{
}

void HostQueue::add(const CapacityClaim &task)
{
    const auto position = std::upper_bound(this->tasks.begin(), this->tasks.end(), task, startsBefore);
    this->tasks.insert(position, task);
}

void HostQueue::remove(std::int64_t id)
{
    this->tasks.erase(std::remove_if(this->tasks.begin(), this->tasks.end(),
                                     [id](const CapacityClaim &task) { return task.id == id; }),
                      this->tasks.end());
}

std::vector<std::int64_t> HostQueue::takeStartable(const CapacityForecast &forecast, Time now)
{
    auto free = freeResources(forecast);
    const auto order = this->policy.order(this->tasks, forecast, now);
    std::vector<std::int64_t> started;
    for (const auto *claims : {&order.onTime, &order.deferred}) {
        for (const auto &claim : *claims) {
            if (fits(withKept(claim.demand, this->policy.keptCpuMillis(forecast, claim.priority)), free)) {
                free = minus(free, claim.demand);
                started.push_back(claim.id);
            }
        }
    }
    for (const auto id : started) {
        this->remove(id);
    }
    return started;
}

std::vector<std::int64_t> HostQueue::takeGivenUp(Time now)
{
    std::vector<std::int64_t> givenUp;
    for (const auto &task : this->tasks) {
        if (this->policy.givesUp(task, now)) {
            givenUp.push_back(task.id);
        }
    }
    for (const auto id : givenUp) {
        this->remove(id);
    }
    return givenUp;
}

Micros HostQueue::startDelay(const CapacityForecast &forecast, const wire::Resources &demand, int priority,
                             Time now) const
{
    const auto needed = withKept(demand, this->policy.keptCpuMillis(forecast, priority));
    return expectedStartDelay(forecast, this->policy.ahead(this->tasks, priority, now), needed);
}

bool HostQueue::couldStart(const CapacityForecast &forecast, const wire::Resources &demand, int priority) const
{
    return fits(withKept(demand, this->policy.keptCpuMillis(forecast, priority)), freeResources(forecast));
}

} // namespace agatedrum
