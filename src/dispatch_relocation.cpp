#include "dispatch_relocation_p.h"

namespace agatedrum {

namespace {

constexpr Micros expectedStopTime = Millis(20); ///< usual time until the stopped run is reported as ended
/// The estimate for the other host is less certain than the progress of a run.
constexpr double safetyFactor = 1.2;

bool endsBy(const Placement &alternative, Micros limit)
{
    const auto paddedEndMicros = static_cast<double>((alternative.end + expectedStopTime).count()) * safetyFactor;
    return alternative.host >= 0 && paddedEndMicros <= static_cast<double>(limit.count());
}

} // namespace

RunDecision decideRun(const RunEstimate &estimate, const Placement &alternative, const PlacementGoal &goal)
{
    const bool missesObjective = estimate.expected > goal.objective;
    const bool missesDeadline = estimate.expected > goal.deadline;
    if ((missesObjective && endsBy(alternative, goal.objective))
        || (missesDeadline && endsBy(alternative, goal.deadline))) {
        return RunDecision::Relocate;
    }
    if (estimate.minimum <= goal.deadline) {
        return RunDecision::Keep;
    }
    // The run is lost here, so even an uncertain chance elsewhere is worth taking.
    const bool canEndElsewhere = alternative.host >= 0 && alternative.end + expectedStopTime <= goal.deadline;
    return canEndElsewhere ? RunDecision::Relocate : RunDecision::Abandon;
}

} // namespace agatedrum
