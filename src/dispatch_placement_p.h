#pragma once

#include "dispatch_job_p.h"

#include <string>
#include <vector>

namespace agatedrum {

/// An entry's view of one host when it places a task.
struct HostCandidate
{
    std::string name;
    wire::Resources capacity;
    wire::Resources free; ///< may be negative
    Micros startDelay {0}; ///< expected wait if the demand does not fit into the free resources
    Micros queuedTime {0}; ///< additional wait due to this entry's orders since the host's report
    double slowness = 1.0;
    double failureShare = 0.0;
    std::vector<std::string> labels;
    bool isEvacuated = false; ///< its failure domain is evacuated
    std::vector<int> groupTasks; ///< number of the job's tasks placed at the host, indexed by group
};

/// Host of one task, and its expected start and end relative to now.
struct Placement
{
    int host = -1; ///< index of the candidate; -1 if no candidate can run the task
    Micros start {0};
    Micros end {0};
};

/// Time limits of a job relative to now.
struct PlacementGoal
{
    Micros objective {0}; ///< an answer after this time is late
    Micros deadline {0}; ///< an answer after this time does not reach the caller; must be positive
};

/// Places each task at the host with the lowest expected loss. No I/O.
///
/// Designed for backend servers of mixed speed, tasks of mixed length with rough estimates, and many entries that place
/// tasks concurrently based on their own views. A task is placed where it is likely to end before the deadline and the
/// objective, and among such hosts where it ends first. The last part of a host's capacity has a higher cost, so that
/// it stays free for tasks that no other host would end in time. As a result, a long task gets a fast host, and a slow
/// host gets a task only while waiting for a faster one would take longer than it gains. The longest task of a job is
/// placed first, since it determines when the job ends.
/// @param candidates updated with the placed tasks
/// @param farFactor run time factor of a task that runs remote from its data
/// @return one placement per task, in the order of the tasks
std::vector<Placement> placeTasks(const std::vector<TaskRequest> &tasks, const PlacementGoal &goal,
                                  std::vector<HostCandidate> &candidates, double farFactor);

} // namespace agatedrum
