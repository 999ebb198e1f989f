#include "dispatch_admission_p.h"

#include <algorithm>

namespace agatedrum {

namespace {

/// Below this, work that is refused now would meet the same backlog again.
constexpr Millis shortestRetry {1000};
constexpr Millis longestRetry {10000};

/// Tasks seldom take less than this part of their estimate.
constexpr int roughness = 2;

Millis retryAfter(Micros excess)
{
    return std::clamp(std::chrono::duration_cast<Millis>(excess), shortestRetry, longestRetry);
}

} // namespace

Micros objectiveOf(const RouteConfig &route, const std::vector<TaskRequest> &tasks)
{
    Micros longest {0};
    for (const auto &task : tasks) {
        longest = std::max(longest, task.estimate);
    }
    return Micros(static_cast<std::int64_t>(route.stretch * static_cast<double>(longest.count())))
        + route.latencyObjective;
}

Admission::Admission(double lateness)
    : lateness(lateness)
{
}

std::optional<AdmissionRefusal> Admission::judge(const RouteConfig &route, const std::vector<TaskRequest> &tasks,
                                                 const std::vector<Placement> &placements, Micros timeLeft) const
{
    Micros end {0};
    Micros wait {0};
    for (const auto &placement : placements) {
        if (placement.host < 0) {
            return AdmissionRefusal {"no backend server that could run a task takes one now", shortestRetry};
        }
        end = std::max(end, placement.end);
        wait = std::max(wait, placement.start);
    }
    // Estimates are rough: while there is room, a job is tried even if it should end somewhat too late.
    if (end > (wait > Micros(0) ? timeLeft : roughness * timeLeft)) {
        return AdmissionRefusal {"the job cannot end in the caller's time", retryAfter(end - timeLeft)};
    }
    const auto objective = objectiveOf(route, tasks);
    const auto latest
        = Micros(static_cast<std::int64_t>(static_cast<double>(objective.count()) * (1 + this->lateness)));
    if (wait > Micros(0) && end > latest) {
        return AdmissionRefusal {"too much work waits for the job to meet its objective", retryAfter(end - latest)};
    }
    return std::nullopt;
}

} // namespace agatedrum
