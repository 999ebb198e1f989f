#pragma once

#include "agatedrum_types.h"
#include "base_clock_p.h"

#include <optional>

namespace agatedrum {

/// Withholds a part of a host's processors after its failure domain has been returned to service. No I/O; not
/// thread-safe.
///
/// Handles the return of a whole failure domain: its backend servers may have restarted and run slowly, and all of them
/// become free at the same moment, so every entry would move its load there at once. The offered share rises linearly
/// from a quarter to the whole, while the first runs show the present speed.
class HostRamp
{
public:
    explicit HostRamp(Millis duration);

    void begin(Time now);
    /// Ends the ramp before its time: nothing is withheld any more.
    void cancel();
    /// Returns the part of the capacity that no task may use yet.
    wire::Resources withheld(const wire::Resources &capacity, Time now) const;
    /// Returns the time until the whole capacity is offered.
    Micros remaining(Time now) const;

private:
    const Millis duration;
    std::optional<Time> startedAt;
};

} // namespace agatedrum
