#pragma once

#include "agatedrum_types.h"

namespace agatedrum {

inline wire::Resources plus(wire::Resources a, const wire::Resources &b)
{
    a.cpuMillis += b.cpuMillis;
    a.memoryMb += b.memoryMb;
    a.accelerators += b.accelerators;
    return a;
}

inline wire::Resources minus(wire::Resources a, const wire::Resources &b)
{
    a.cpuMillis -= b.cpuMillis;
    a.memoryMb -= b.memoryMb;
    a.accelerators -= b.accelerators;
    return a;
}

/// Returns true if the demand fits into the free resources.
inline bool fits(const wire::Resources &demand, const wire::Resources &free)
{
    return demand.cpuMillis <= free.cpuMillis && demand.memoryMb <= free.memoryMb
        && demand.accelerators <= free.accelerators;
}

} // namespace agatedrum
