#pragma once

#include "dispatch_placement_p.h"

namespace agatedrum {

/// Estimated time until a task ends at its current host.
struct RunEstimate
{
    Micros expected {0};
    Micros minimum {0};
};

/// Decision about a task that progresses too slowly.
enum class RunDecision {
    Keep,
    Relocate, ///< stop the task, and restart it on another host
    Abandon ///< no host can end the task before the deadline any more
};

/// Decides about a running task that is expected to end late. No I/O.
///
/// Handles tasks that take several times their estimate on a slow backend server, and backend servers that become slow
/// or stall while their tasks run and faster ones have free capacity. A relocation discards the work done so far, so a
/// task is relocated only if that turns a late answer into one that meets the objective, or a missed deadline into a
/// met one. A job that cannot be answered before the caller's deadline is abandoned, which frees its capacity at once.
/// @param alternative placement of the task if it is restarted on another host, relative to now
RunDecision decideRun(const RunEstimate &estimate, const Placement &alternative, const PlacementGoal &goal);

} // namespace agatedrum
