#pragma once

#include "base_clock_p.h"
#include "wire_message_p.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace agatedrum {

/// One task of a best-effort job.
struct TaskRequest
{
    wire::Resources demand;
    Micros estimate {0}; ///< run time as the caller declares it
    std::string requiredLabel; ///< empty for none
    std::string dataRack; ///< label of the rack where the task is fastest; empty for none
    int group = 0; ///< tasks of one group share the bound below
    int maxPerHost = 0; ///< of the group; 0 for no bound
};

/// A best-effort job: not stored, answered when it has ended. Its tasks may run in any order.
struct JobRequest
{
    std::string id; ///< chosen by the caller; names the tasks at the backend servers
    std::string routeName;
    std::string spec;
    std::vector<TaskRequest> tasks;
    Millis timeLeft {0}; ///< the caller waits this long; 0 when it does not say
    std::function<bool()> isCallerGone = [] { return false; };
};

enum class JobEnd {
    Completed, ///< every task has ended with success
    Failed, ///< a task has failed as often as it may
    Refused, ///< no task has run and none will
    Unfinished ///< tasks have run or may have; none runs on under this request
};

struct JobOutcome
{
    JobEnd end = JobEnd::Unfinished;
    std::string reason;
    Millis retryAfter {0}; ///< with Refused: when a further try has a chance
};

using JobHandler = std::function<void(const JobOutcome &)>;

} // namespace agatedrum
