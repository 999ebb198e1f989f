#pragma once

#include "base_clock_p.h"
#include "workload_p.h"

#include <cstddef>
#include <string>
#include <vector>

namespace agatedrum::tools {

/// Service, teams and backend servers of the deployment that the load simulates.
struct LoadProfile
{
    std::string name;
    std::string service;
    std::vector<std::string> teams;
    std::vector<double> speeds;
    int slots = 8;
    double singleTaskShare = 0.55;
};

/// Returns nullptr if there is no profile with this name.
const LoadProfile *findProfile(const std::string &name);
/// Returns the names of all profiles, separated by commas.
std::string profileNames();

struct LoadOptions
{
    std::vector<std::string> entries; ///< base URLs, such as http://127.0.0.1:8101
    LoadProfile profile;
    WorkloadOptions workload;
    double resubmitShare = 0; ///< share of the jobs that are submitted a second time while they run
    double cancelShare = 0; ///< share of the jobs that are cancelled
    int deadlineMs = 0; ///< deadline of each job; 0 for none
    std::string runId; ///< part of every submission id, so that two runs never use the same ledger key
    std::string jsonFile; ///< file for the JSON report; empty for none
};

enum class ActionKind { Submit, Resubmit, Cancel };

/// One request of the plan.
struct Action
{
    Micros plannedAt {0}; ///< time since the start of the run
    ActionKind kind = ActionKind::Submit;
    std::size_t job = 0;
    std::size_t entry = 0;
};

/// All requests of a run and their times. The plan does not depend on the answers.
struct LoadPlan
{
    std::vector<WorkloadJob> jobs;
    std::vector<Action> actions; ///< ordered by time
};

/// Creates the plan. The same options give the same plan. Precondition: there is at least one entry.
LoadPlan makePlan(const LoadOptions &options);

std::string submissionOf(const LoadOptions &options, std::size_t job);
/// Returns the body of a task. It contains the true size, which the emulated backend server uses as run time.
std::string taskBody(const WorkloadJob &job, std::size_t task);
/// Returns the JSON body of POST /v1/jobs. A resubmission sends the same body.
std::string requestBody(const LoadOptions &options, const WorkloadJob &job, std::size_t number,
                        std::int64_t submittedAtMs);

} // namespace agatedrum::tools
