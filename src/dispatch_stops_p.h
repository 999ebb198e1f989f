#pragma once

#include "base_clock_p.h"

#include <cstdint>
#include <functional>
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
    std::int64_t hostIncarnation = 0; ///< process that received the order
    bool isStarted = false; ///< the host had reported the run
    Time startsBefore {}; ///< the host sends no start order of the task after this time
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
    /// Handles a host's report that the order has ended: removes its stop. Ignores a report on an order of an earlier
    /// process of this entry, which may have the same number.
    void confirm(std::int64_t order, const std::string &job, std::int32_t index);
    bool isPending(const std::string &job, std::int32_t index) const;
    /// Returns the stops to send now: new ones, and those not confirmed within the repeat interval. Drops stops whose
    /// retention has expired.
    std::vector<StoppingTask> takeDue(Time now);
    /// Returns the tasks of whose hosts the predicate is true now, each task once.
    std::vector<StoppingTask> takeLost(const std::function<bool(const StoppingTask &)> &isLost);
    /// Removes the stops that the predicate selects.
    void removeIf(const std::function<bool(const StoppingTask &)> &isObsolete);

private:
    struct Entry
    {
        StoppingTask task;
        Time addedAt;
        Time lastSentAt; ///< Time {} before the first send
        bool isLost = false; ///< takeLost() has returned it
    };

    const Millis repeatInterval;
    const Millis retention;
    std::map<std::int64_t, Entry> entries; ///< keyed by order number
};

} // namespace agatedrum
