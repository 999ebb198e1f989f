#pragma once

#include "config_routing_p.h"
#include "dispatch_placement_p.h"

#include <optional>
#include <string>
#include <vector>

namespace agatedrum {

/// Why a job is refused at once.
struct AdmissionRefusal
{
    std::string reason;
    Millis retryAfter {0};
};

/// The job's latency objective: the stretch of its longest task, and the route's own share.
Micros objectiveOf(const RouteConfig &route, const std::vector<TaskRequest> &tasks);

/// Whether a job may start. No I/O.
///
/// Answers this load: for some seconds more work arrives than all backend servers can do. Work that would end after its
/// objective takes room from work that would still meet its own, so that in the end nearly everything is late. While
/// tasks have to wait for room, a job that would end too long after its objective is therefore refused at once, and may
/// come back when the present backlog is done.
class Admission
{
public:
    /// @param lateness share of the objective by which a job that has to wait for room may end late
    explicit Admission(double lateness);

    /// @param timeLeft until the caller gets an answer in any case
    /// @return nothing when the job may start
    std::optional<AdmissionRefusal> judge(const RouteConfig &route, const std::vector<TaskRequest> &tasks,
                                          const std::vector<Placement> &placements, Micros timeLeft) const;

private:
    const double lateness;
};

} // namespace agatedrum
