#pragma once

#include "base_clock_p.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace agatedrum {

/// A task that must stop at a host. It may still run there until the host reports its end.
struct StoppingTask
{
    std::string job;
    std::int32_t index = 0;
    std::string host; ///< process name of the host
};

/// Keeps the stops that hosts have not confirmed. Not thread-safe.
///
/// A stop message may be lost, so it is repeated until the host reports the end or all leases under which the task
/// could run have expired. Until then the task is not placed again, so that no two runs of it overlap.
class DispatchStops
{
public:
    /// @param retention time after which all leases of the task have expired
    DispatchStops(Millis repeatInterval, Millis retention);

    void add(std::int64_t order, StoppingTask task, Time now);
    /// Handles a host's report that the order has ended: removes its stop.
    void confirm(std::int64_t order);
    bool isPending(const std::string &job, std::int32_t index) const;
    /// Returns the stops to send now: new ones, and those not confirmed within the repeat interval. Drops stops whose
    /// retention has expired.
    std::vector<StoppingTask> takeDue(Time now);

private:
    struct Entry
    {
        StoppingTask task;
        Time addedAt;
        Time lastSentAt; ///< Time {} before the first send
    };

    const Millis repeatInterval;
    const Millis retention;
    std::map<std::int64_t, Entry> entries; ///< keyed by order number
};

} // namespace agatedrum
