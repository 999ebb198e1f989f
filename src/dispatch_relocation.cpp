#include "dispatch_relocation_p.h"

namespace agatedrum {

namespace {

constexpr Micros stopTime = Millis(20); ///< until the stopped run is reported as ended, in most cases
/// What is known of the other host is less certain than the progress of a run.
constexpr double caution = 1.2;

bool endsBy(const Placement &other, Micros limit)
{
    const auto cautious = static_cast<double>((other.end + stopTime).count()) * caution;
    return other.host >= 0 && cautious <= static_cast<double>(limit.count());
}

} // namespace

RunVerdict judgeRun(const RunOutlook &outlook, const Placement &other, const PlacementGoal &goal)
{
    const bool isLate = outlook.expected > goal.objective;
    const bool isLost = outlook.expected > goal.deadline;
    if ((isLate && endsBy(other, goal.objective)) || (isLost && endsBy(other, goal.deadline))) {
        return RunVerdict::Move;
    }
    const bool canEndElsewhere = other.host >= 0 && other.end + stopTime <= goal.deadline;
    return outlook.least > goal.deadline && !canEndElsewhere ? RunVerdict::GiveUp : RunVerdict::Keep;
}

} // namespace agatedrum
