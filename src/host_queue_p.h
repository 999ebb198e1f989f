#pragma once

#include "overload_policy_p.h"

#include <cstdint>
#include <vector>

namespace agatedrum {

/// The tasks that wait for capacity at a host. No I/O; not thread-safe.
///
/// Entries place tasks based on views that are some milliseconds old, so one host may receive more tasks than it has
/// capacity for. The overload policy decides which of them start first; smaller tasks may overtake one that does not
/// fit.
class HostQueue
{
public:
    /// The policy must outlive the queue.
    explicit HostQueue(const OverloadPolicy &policy);

    void add(const CapacityClaim &task);
    /// Removes a task. Does nothing if the task is not in the queue.
    void remove(std::int64_t id);
    /// Removes and returns the tasks that fit into the free resources, in the order in which they must be started.
    std::vector<std::int64_t> takeStartable(const CapacityForecast &forecast, Time now);
    /// Removes and returns the tasks that the policy gives up.
    std::vector<std::int64_t> takeGivenUp(Time now);
    /// Returns the expected waiting time of one more task.
    Micros startDelay(const CapacityForecast &forecast, const wire::Resources &demand, int priority, Time now) const;

    /// Returns whether a task could start now if no other one were waiting.
    bool couldStart(const CapacityForecast &forecast, const wire::Resources &demand, int priority) const;

    /// Returns the waiting tasks, sorted by startsBefore().
    const std::vector<CapacityClaim> &waiting() const
    {
        return this->tasks;
    }

private:
    const OverloadPolicy &policy;
    std::vector<CapacityClaim> tasks; ///< sorted by startsBefore()
};

} // namespace agatedrum
