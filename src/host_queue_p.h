#pragma once

#include "base_clock_p.h"
#include "wire_message_p.h"

#include <cstdint>
#include <vector>

namespace agatedrum {

/// A task that waits at a host.
struct WaitingTask
{
    std::int64_t id = 0;
    int priority = 0;
    Time latestStart; ///< a start after it is late for the caller
    wire::Resources demand;
    Micros expected {0}; ///< run time on this host
};

/// A task that holds room.
struct OccupyingTask
{
    wire::Resources demand;
    Micros remaining {0}; ///< expected
};

/// Which waiting task starts next. No I/O; not thread-safe.
///
/// Answers this load: entries place tasks by views that are some ms old, so that more tasks than fit reach one host.
/// The task with the least time left starts first; one that does not fit lets smaller ones pass. In a burst that order
/// alone would make everything late, so a task whose latest start has passed yields to those that can still be in time.
class HostQueue
{
public:
    void add(const WaitingTask &task);
    /// Removes a task. Does nothing when it is not there.
    void remove(std::int64_t id);
    /// Takes those tasks that fit into what is free, in the order in which they are to start.
    std::vector<std::int64_t> takeStartable(wire::Resources free, Time now);
    /// Tasks that can still start in time, in the order in which they are to start.
    std::vector<WaitingTask> waitingInTime(Time now) const;

    const std::vector<WaitingTask> &waiting() const
    {
        return this->tasks;
    }

private:
    std::vector<WaitingTask>::iterator firstInTime(Time now);

    std::vector<WaitingTask> tasks; ///< by rising latest start
};

/// Expected wait of one more task of the demand behind all that wait.
/// @param occupying tasks that hold room now
Micros expectedStartDelay(const wire::Resources &capacity, const std::vector<OccupyingTask> &occupying,
                          const std::vector<WaitingTask> &waiting, const wire::Resources &demand);

} // namespace agatedrum
