#pragma once

#include "base_clock_p.h"
#include "task_needs_p.h"
#include "wire_message_p.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace agatedrum {

/// One task of a best-effort job.
struct TaskRequest : TaskNeeds
{
    Micros estimate {0}; ///< run time declared by the caller
    std::string dataRack; ///< label of the rack that has the task's data; empty for none
};

/// A best-effort job. It is not persisted, and is answered when it has ended. Its tasks may run in any order.
struct JobRequest
{
    std::string id; ///< chosen by the caller; identifies the tasks at the backend servers
    std::string routeName;
    std::string spec;
    std::vector<TaskRequest> tasks;
    Millis timeLeft {0}; ///< how long the caller waits for the answer; 0 if not specified
    std::function<bool()> isCallerDisconnected = [] { return false; };
};

/// How a job ended.
enum class JobEnd {
    Completed, ///< all tasks have succeeded
    Failed, ///< a task has failed the maximum number of times
    Refused, ///< no task has run or will run
    Unfinished ///< tasks have or may have run; the remaining ones are stopped
};

struct JobOutcome
{
    JobEnd end = JobEnd::Unfinished;
    std::string reason;
    Millis retryAfter {0}; ///< delay after which a resubmission may succeed
};

using JobHandler = std::function<void(const JobOutcome &)>;

} // namespace agatedrum
