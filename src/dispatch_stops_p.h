#pragma once

#include "base_clock_p.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace agatedrum {

/// A task that is wanted no more at a host, and which may run there until the host reports the end.
struct StoppingTask
{
    std::string job;
    std::int32_t index = 0;
    std::string host; ///< process name
};

/// Stops that hosts have not confirmed. Not thread-safe.
///
/// A stop may be lost, so it is repeated until the end is reported or every lease under which the task could run has
/// lapsed. Until then the task is not placed again, so that two runs of it never meet.
class DispatchStops
{
public:
    /// @param memory time after which no lease lets the task run any more
    DispatchStops(Millis repeatInterval, Millis memory);

    void add(std::int64_t order, StoppingTask task, Time now);
    /// The host reports that the order has ended there.
    void confirm(std::int64_t order);
    bool isPending(const std::string &job, std::int32_t index) const;
    /// Stops to send now: new ones, and those that were not confirmed for too long.
    std::vector<StoppingTask> takeDue(Time now);

private:
    struct Entry
    {
        StoppingTask task;
        Time since;
        Time sentAt; ///< default before the first time
    };

    const Millis repeatInterval;
    const Millis memory;
    std::map<std::int64_t, Entry> entries; ///< by order
};

} // namespace agatedrum
