#include "dispatch_admission_p.h"

#include "overload_policy_p.h"

#include <algorithm>

namespace agatedrum {

namespace {

/// Jobs that are resubmitted earlier would meet the same backlog again.
constexpr Millis minRetryDelay {1000};
constexpr Millis maxRetryDelay {10000};

Millis retryDelay(Micros excess)
{
    return std::clamp(std::chrono::duration_cast<Millis>(excess), minRetryDelay, maxRetryDelay);
}

} // namespace

Micros objectiveOf(const RouteConfig &route, const std::vector<TaskRequest> &tasks)
{
    Micros maxEstimate {0};
    for (const auto &task : tasks) {
        maxEstimate = std::max(maxEstimate, task.estimate);
    }
    return Micros(static_cast<std::int64_t>(route.stretch * static_cast<double>(maxEstimate.count())))
        + route.latencyObjective;
}

Admission::Admission(double maxLateness)
    : maxLateness(maxLateness)
{
}

bool Admission::isHopeless(const std::vector<Placement> &placements, Micros timeLeft)
{
    return std::any_of(placements.begin(), placements.end(), [timeLeft](const Placement &placement) {
        return placement.host >= 0
            && placement.start + (placement.end - placement.start) / estimateTolerance > timeLeft;
    });
}

std::optional<AdmissionRefusal> Admission::evaluate(const RouteConfig &route, const std::vector<TaskRequest> &tasks,
                                                    const std::vector<Placement> &placements, Micros timeLeft) const
{
    Micros jobEnd {0};
    Micros wait {0};
    for (const auto &placement : placements) {
        if (placement.host < 0) {
            return AdmissionRefusal {"no backend server that can run a task of the job is accepting tasks",
                                     minRetryDelay};
        }
        jobEnd = std::max(jobEnd, placement.end);
        wait = std::max(wait, placement.start);
    }
    // Estimates are rough: while there is free capacity, a job is tried even if its estimated end is past the
    // deadline.
    if (jobEnd > (wait > Micros(0) ? timeLeft : estimateTolerance * timeLeft)) {
        return AdmissionRefusal {"the job cannot end before the caller's deadline", retryDelay(jobEnd - timeLeft)};
    }
    const auto objective = objectiveOf(route, tasks);
    const auto latestEnd
        = Micros(static_cast<std::int64_t>(static_cast<double>(objective.count()) * (1 + this->maxLateness)));
    if (wait > Micros(0) && jobEnd > latestEnd) {
        return AdmissionRefusal {"the backlog is too long for the job to meet its objective",
                                 retryDelay(jobEnd - latestEnd)};
    }
    return std::nullopt;
}

} // namespace agatedrum
