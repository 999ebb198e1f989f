#include "load_plan_p.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <random>

namespace agatedrum::tools {

namespace {

/// Speeds of the backend servers that samples/local-cluster.sh starts.
const std::vector<double> sampleSpeeds = {0.5, 0.7, 0.8, 0.9, 1.0, 1.0, 1.1, 1.2, 1.4, 1.7, 2.0};

const std::vector<LoadProfile> profiles = {
    {"authority", "visit-desk", {"bookings", "rebates"}, sampleSpeeds, 8, 0.55},
    {"co-op", "tank-planner", {"cutters", "bonding", "quotes"}, sampleSpeeds, 8, 0.25},
};

constexpr double maxResubmitDelaySeconds = 0.5;
constexpr double maxCancelDelaySeconds = 0.3;

} // namespace

const LoadProfile *findProfile(const std::string &name)
{
    const auto found = std::find_if(profiles.begin(), profiles.end(),
                                    [&name](const LoadProfile &profile) { return profile.name == name; });
    return found == profiles.end() ? nullptr : &*found;
}

std::string profileNames()
{
    std::string names;
    for (const auto &profile : profiles) {
        names += (names.empty() ? "" : ", ") + profile.name;
    }
    return names;
}

LoadPlan makePlan(const LoadOptions &options)
{
    LoadPlan plan;
    plan.jobs = makeWorkload(options.workload);
    std::mt19937_64 random(options.workload.seed + 1);
    std::uniform_real_distribution<double> unit(0, 1);
    std::uniform_int_distribution<std::size_t> entry(0, options.entries.size() - 1);
    for (std::size_t number = 0; number < plan.jobs.size(); ++number) {
        const auto arrival = plan.jobs[number].arrival;
        plan.actions.push_back({arrival, ActionKind::Submit, number, entry(random)});
        if (unit(random) < options.resubmitShare) {
            const auto delay = microsOf(maxResubmitDelaySeconds * unit(random));
            plan.actions.push_back({arrival + delay, ActionKind::Resubmit, number, entry(random)});
        }
        if (unit(random) < options.cancelShare) {
            const auto delay = microsOf(maxCancelDelaySeconds * unit(random));
            plan.actions.push_back({arrival + delay, ActionKind::Cancel, number, entry(random)});
        }
    }
    std::stable_sort(plan.actions.begin(), plan.actions.end(),
                     [](const Action &a, const Action &b) { return a.plannedAt < b.plannedAt; });
    return plan;
}

std::string submissionOf(const LoadOptions &options, std::size_t job)
{
    return fmt::format("{}-{}", options.runId, job);
}

std::string taskBody(const WorkloadJob &job, std::size_t task)
{
    return nlohmann::json {{"workUs", job.sizes[task].count()}, {"task", task}}.dump();
}

std::string requestBody(const LoadOptions &options, const WorkloadJob &job, std::size_t number,
                        std::int64_t submittedAtMs)
{
    auto tasks = nlohmann::json::array();
    for (std::size_t task = 0; task < job.sizes.size(); ++task) {
        tasks.push_back({{"id", std::to_string(task)},
                         {"body", taskBody(job, task)},
                         {"declaredMs", static_cast<double>(job.declared[task].count()) / 1000}});
    }
    nlohmann::json body
        = {{"caller", "agatedrum-load"},         {"submission", submissionOf(options, number)},
           {"service", options.profile.service}, {"team", options.profile.teams[number % options.profile.teams.size()]},
           {"submittedAt", submittedAtMs},       {"tasks", std::move(tasks)}};
    if (options.deadlineMs > 0) {
        body["deadlineMs"] = options.deadlineMs;
    }
    return body.dump();
}

} // namespace agatedrum::tools
