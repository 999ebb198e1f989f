#pragma once

#include "dispatch_placement_p.h"

namespace agatedrum {

/// Time until a task ends where it runs.
struct RunOutlook
{
    Micros expected {0};
    Micros least {0};
};

/// What to do about a task that gets on too slowly.
enum class RunVerdict {
    Keep,
    Move, ///< stop it, and run it on another host from the start
    GiveUp ///< no host can end it in the caller's time any more
};

/// Judges a task that runs and is expected to end too late. No I/O.
///
/// Answers this load: a task turns out several times as long as its estimate on a slow backend server, or a backend
/// server turns slow or stops while its tasks run, and faster ones have room. A task is moved only when that turns a
/// late answer into one in time, or a lost one into one before the deadline, since its work so far is thrown away. A
/// job whose answer would come after the caller has gone gives its room to others at once.
/// @param other where else it could run from the start; its times count from now
RunVerdict judgeRun(const RunOutlook &outlook, const Placement &other, const PlacementGoal &goal);

} // namespace agatedrum
