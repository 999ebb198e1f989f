#pragma once

#include "base_clock_p.h"
#include "wire_message_p.h"

#include <cstdint>
#include <vector>

namespace agatedrum {

/// A task that waits for capacity at a host.
struct WaitingTask
{
    std::int64_t id = 0;
    int priority = 0;
    Time latestStart; ///< a task that starts later misses the objective
    wire::Resources demand;
    Micros expectedRunTime {0}; ///< on this host
};

/// A task that has reserved capacity.
struct ReservingTask
{
    wire::Resources demand;
    Micros remaining {0}; ///< expected time until the capacity is released
};

/// Selects the waiting tasks to start next. No I/O; not thread-safe.
///
/// Entries place tasks based on views that are some milliseconds old, so one host may receive more tasks than it has
/// capacity for. The task with the earliest latest start is started first; smaller tasks may overtake one that does not
/// fit. During a burst this order alone would make all tasks late, so tasks whose latest start has passed are started
/// after those that can still start on time.
class HostQueue
{
public:
    void add(const WaitingTask &task);
    /// Removes a task. Does nothing if the task is not in the queue.
    void remove(std::int64_t id);
    /// Removes and returns the tasks that fit into the free resources, in the order in which they must be started.
    std::vector<std::int64_t> takeStartable(wire::Resources free, Time now);
    /// Returns the tasks that can still start on time, in the order in which they must be started.
    std::vector<WaitingTask> waitingOnTime(Time now) const;

    const std::vector<WaitingTask> &waiting() const
    {
        return this->tasks;
    }

private:
    std::vector<WaitingTask>::iterator firstOnTime(Time now);

    std::vector<WaitingTask> tasks; ///< sorted by ascending latest start, then by priority
};

/// Returns the expected waiting time of one more task with this demand behind all waiting tasks.
/// @param reserving tasks that currently reserve capacity
Micros expectedStartDelay(const wire::Resources &capacity, const std::vector<ReservingTask> &reserving,
                          const std::vector<WaitingTask> &waiting, const wire::Resources &demand);

} // namespace agatedrum
