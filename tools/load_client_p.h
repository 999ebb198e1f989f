#pragma once

#include "load_plan_p.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace agatedrum::tools {

/// Result of a job as seen by the caller.
enum class JobEnd {
    Complete,
    Failed, ///< answered, but not every task succeeded
    Refused, ///< refused with "notRun": no task was run
    Unknown, ///< refused without "notRun", or no answer
    Cancelled, ///< answered as failed or refused after it was cancelled
    Wrong ///< the answer does not belong to the request or cannot be parsed
};

struct JobRecord
{
    JobEnd end = JobEnd::Unknown;
    bool isAnswered = false;
    bool isCancelled = false;
    /// Time from the planned (not the actual) submission to the first answer, so delays of the tool are included.
    Micros response {0};
};

struct LoadResult
{
    std::vector<JobRecord> jobs; ///< in the order of the plan
    std::size_t differingAnswers = 0; ///< resubmissions with another result than the submission
    Micros maxLag {0}; ///< maximum delay of an action after its planned time
    double wallSeconds = 0;
};

/// Executes a plan over HTTP on the calling thread. Blocks until all requests are answered or timed out.
LoadResult runLoad(const LoadOptions &options, const LoadPlan &plan);

} // namespace agatedrum::tools
