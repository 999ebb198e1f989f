#pragma once

#include "config_routing_p.h"
#include "dispatch_placement_p.h"

#include <optional>
#include <string>
#include <vector>

namespace agatedrum {

/// Reason for refusing a job on arrival.
struct AdmissionRefusal
{
    std::string reason;
    Millis retryAfter {0};
};

/// Returns the job's latency objective: the estimate of its longest task times the route's stretch, plus the route's
/// latency objective.
Micros objectiveOf(const RouteConfig &route, const std::vector<TaskRequest> &tasks);

/// Decides whether a job may start. No I/O.
///
/// Handles overload that lasts for some seconds. Work that would miss its objective takes capacity from work that could
/// still meet its own, so that in the end nearly all work would be late. While tasks have to wait for capacity, a job
/// that would end too long after its objective is therefore refused on arrival, and may be resubmitted when the current
/// backlog has been processed.
class Admission
{
public:
    /// @param maxLateness fraction of the objective by which a job that has to wait for capacity may miss it
    explicit Admission(double maxLateness);

    /// @param timeLeft time until the deadline, at which the caller gets an answer in any case
    /// @return std::nullopt if the job may start
    std::optional<AdmissionRefusal> evaluate(const RouteConfig &route, const std::vector<TaskRequest> &tasks,
                                             const std::vector<Placement> &placements, Micros timeLeft) const;

    /// Returns true if a task cannot end before the deadline where it is placed, even if it takes much less time than
    /// estimated. False while no host accepts a task, since that may change at any moment.
    static bool isHopeless(const std::vector<Placement> &placements, Micros timeLeft);

private:
    const double maxLateness;
};

} // namespace agatedrum
