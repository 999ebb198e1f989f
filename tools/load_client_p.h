#pragma once

#include "load_plan_p.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace agatedrum::tools {

enum class JobEnd {
    Complete,
    Failed, ///< answered, not every task with success
    Refused, ///< certainly not run
    Unknown, ///< refused without notRun, or no answer
    Cancelled, ///< answered as failed or refused after it was cancelled
    Wrong ///< an answer that is not that of the request
};

struct JobRecord
{
    JobEnd end = JobEnd::Unknown;
    bool isAnswered = false;
    bool isCancelled = false;
    /// From the planned submission, not from the actual one, to the first answer: a delay of the tool counts as well.
    Micros response {0};
};

struct LoadResult
{
    std::vector<JobRecord> jobs; ///< as in the plan
    std::size_t differingAnswers = 0; ///< a resubmission ended otherwise than the submission
    Micros largestLag {0}; ///< latest start of an action after its planned time
    double wallSeconds = 0;
};

/// Carries out a plan over HTTP in one thread. Blocks until all answers are there or timed out.
LoadResult runLoad(const LoadOptions &options, const LoadPlan &plan);

} // namespace agatedrum::tools
