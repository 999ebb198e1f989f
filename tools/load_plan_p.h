#pragma once

#include "base_clock_p.h"
#include "workload_p.h"

#include <cstddef>
#include <string>
#include <vector>

namespace agatedrum::tools {

/// A deployment that the load resembles.
struct LoadProfile
{
    std::string name;
    std::string service;
    std::vector<std::string> teams;
    std::vector<double> speeds;
    int slots = 8;
    double singleShare = 0.55;
};

/// @return nullptr when there is no such profile.
const LoadProfile *findProfile(const std::string &name);
/// Names of all profiles, separated by commas.
std::string profileNames();

struct LoadOptions
{
    std::vector<std::string> entries; ///< such as http://127.0.0.1:8101
    LoadProfile profile;
    WorkloadOptions workload;
    double resubmitShare = 0; ///< share of the jobs that are submitted again while they run
    double cancelShare = 0; ///< share of the jobs that are cancelled
    int deadlineMs = 0; ///< 0 for none
    std::string runId; ///< part of every submission id, so that runs do not meet in the ledger
    std::string jsonFile; ///< empty for none
};

enum class ActionKind { Submit, Resubmit, Cancel };

struct Action
{
    Micros at {0}; ///< from the start of the run
    ActionKind kind = ActionKind::Submit;
    std::size_t job = 0;
    std::size_t entry = 0;
};

/// Everything that a run does and when, whatever the answers are.
struct LoadPlan
{
    std::vector<WorkloadJob> jobs;
    std::vector<Action> actions; ///< in the order of their times
};

/// The same plan for the same options. Precondition: there is at least one entry.
LoadPlan makePlan(const LoadOptions &options);

std::string submissionOf(const LoadOptions &options, std::size_t job);
/// Body of the task, which names its true size to the backend server.
std::string taskBody(const WorkloadJob &job, std::size_t task);
/// JSON of a POST /v1/jobs. A resubmission has the same one.
std::string requestBody(const LoadOptions &options, const WorkloadJob &job, std::size_t number,
                        std::int64_t submittedAtMs);

} // namespace agatedrum::tools
