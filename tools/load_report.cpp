#include "load_report_p.h"

#include <fmt/format.h>

#include <array>
#include <utility>

namespace agatedrum::tools {

namespace {

constexpr std::array<std::pair<JobEnd, const char *>, 6> ends = {{{JobEnd::Complete, "complete"},
                                                                  {JobEnd::Failed, "failed"},
                                                                  {JobEnd::Refused, "refused"},
                                                                  {JobEnd::Unknown, "unknown"},
                                                                  {JobEnd::Cancelled, "cancelled"},
                                                                  {JobEnd::Wrong, "wrong"}}};

nlohmann::json toJson(const ResponseSummary &summary)
{
    return {{"meanMs", summary.mean}, {"p50Ms", summary.p50}, {"p99Ms", summary.p99}, {"p99.9Ms", summary.p999}};
}

} // namespace

nlohmann::json makeReport(const LoadOptions &options, const LoadPlan &plan, const LoadResult &result)
{
    std::vector<Micros> responses;
    nlohmann::json counts;
    for (const auto &[end, name] : ends) {
        counts[name] = 0;
    }
    Micros usefulWork {0};
    for (std::size_t number = 0; number < result.jobs.size(); ++number) {
        const auto &job = result.jobs[number];
        for (const auto &[end, name] : ends) {
            counts[name] = counts[name].get<int>() + static_cast<int>(end == job.end);
        }
        if (job.end == JobEnd::Complete) {
            responses.push_back(job.response);
            const auto &sizes = plan.jobs[number].sizes;
            usefulWork = std::accumulate(sizes.begin(), sizes.end(), usefulWork);
        }
    }
    const double offered = capacityOf(options.workload) * result.wallSeconds;
    return {{"profile", options.profile.name},
            {"load", options.workload.load},
            {"seconds", options.workload.seconds},
            {"seed", options.workload.seed},
            {"jobs", plan.jobs.size()},
            {"ends", counts},
            {"differingAnswers", result.differingAnswers},
            {"largestLagMs", static_cast<double>(result.maxLag.count()) / 1000},
            {"goodput", static_cast<double>(usefulWork.count()) / 1e6 / offered},
            {"response", toJson(summarise(responses))},
            {"ideal", toJson(summarise(IdealQueue(options.workload).run(plan.jobs)))}};
}

std::string reportTable(const nlohmann::json &report)
{
    auto text = fmt::format("profile {}, load {}, {} jobs in {} s, seed {}\n", report["profile"].get<std::string>(),
                            report["load"].get<double>(), report["jobs"].get<std::size_t>(),
                            report["seconds"].get<double>(), report["seed"].get<std::uint64_t>());
    for (const auto &[name, count] : report["ends"].items()) {
        text += fmt::format("{} {}, ", name, count.get<int>());
    }
    text += fmt::format("differing answers {}, largest lag {:.1f} ms, goodput {:.3f}\n\n",
                        report["differingAnswers"].get<std::size_t>(), report["largestLagMs"].get<double>(),
                        report["goodput"].get<double>());
    text += "| | mean | p50 | p99 | p99.9 |\n| --- | --- | --- | --- | --- |\n";
    for (const auto *row : {"response", "ideal"}) {
        const auto &values = report[row];
        text += fmt::format("| {} ms | {:.1f} | {:.1f} | {:.1f} | {:.1f} |\n", row, values["meanMs"].get<double>(),
                            values["p50Ms"].get<double>(), values["p99Ms"].get<double>(),
                            values["p99.9Ms"].get<double>());
    }
    const auto ratio = [&report](const char *key) {
        const double ideal = report["ideal"][key].get<double>();
        return ideal > 0 ? report["response"][key].get<double>() / ideal : 0;
    };
    text += fmt::format("| ratio | {:.3f} | {:.3f} | {:.3f} | {:.3f} |\n", ratio("meanMs"), ratio("p50Ms"),
                        ratio("p99Ms"), ratio("p99.9Ms"));
    return text;
}

} // namespace agatedrum::tools
