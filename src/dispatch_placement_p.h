#pragma once

#include "dispatch_job_p.h"

#include <string>
#include <vector>

namespace agatedrum {

/// What an entry believes of one host when it places a task.
struct HostChoice
{
    std::string name;
    wire::Resources capacity;
    wire::Resources free; ///< may be negative
    Micros startDelay {0}; ///< expected wait when the demand does not fit into what is free
    Micros queuedTime {0}; ///< further wait for what this entry has ordered since the host's report
    double slowness = 1.0;
    double failureShare = 0.0;
    std::vector<std::string> labels;
    std::vector<int> groupTasks; ///< tasks of the job that run there or are placed there, by group
};

/// Where one task goes and when it should end, from now.
struct Placement
{
    int host = -1; ///< index of the choice; -1 when no host can ever run it
    Micros start {0};
    Micros end {0};
};

/// Times from now that matter to the caller.
struct PlacementGoal
{
    Micros objective {0}; ///< an answer after it is late
    Micros deadline {0}; ///< an answer after it does not reach the caller; above 0
};

/// Places tasks, each where the expected loss is least. No I/O.
///
/// Answers this load: backend servers of mixed speed, tasks of mixed length with rough estimates, and many entries that
/// place at the same time by views of their own. A task goes where it is likely to end in the caller's time and before
/// the objective, and among such hosts where it ends first; the last part of a host's room costs more, so that it is
/// kept for tasks that no other host would end in time. So a long task gets a fast host, and a slow host gets a task
/// only while the wait for a faster one is longer than the gain. The longest task of a job chooses first, since it
/// decides when the job ends.
/// @param choices changed by what is placed
/// @param farFactor how much longer a task takes away from its data
/// @return one placement a task, in the order of the tasks
std::vector<Placement> placeTasks(const std::vector<TaskRequest> &tasks, const PlacementGoal &goal,
                                  std::vector<HostChoice> &choices, double farFactor);

} // namespace agatedrum
