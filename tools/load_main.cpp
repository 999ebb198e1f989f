#include "load_report_p.h"

#include <fmt/format.h>
#include <popt.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <memory>
#include <sstream>

using namespace agatedrum;
using namespace agatedrum::tools;

namespace {

struct TextOption
{
    char *value = nullptr;
    ~TextOption()
    {
        std::free(this->value);
    }
    std::string text() const
    {
        return this->value == nullptr ? "" : this->value;
    }
};

std::vector<std::string> splitList(const std::string &text)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, ',');) {
        if (!part.empty()) {
            parts.push_back(part);
        }
    }
    return parts;
}

/// Returns an error message if the options are invalid, otherwise an empty string.
std::string findOptionError(const LoadOptions &options, const std::string &profile)
{
    if (options.entries.empty()) {
        return "--entry: at least one URL is required, such as http://127.0.0.1:8101";
    }
    if (findProfile(profile) == nullptr) {
        return fmt::format("--profile: unknown profile \"{}\"; known are {}", profile, profileNames());
    }
    const auto &workload = options.workload;
    if (!(workload.load > 0) || !(workload.seconds > 0) || workload.declaredSigma < 0 || workload.burstJobs < 0
        || !(workload.burstSeconds > 0) || options.deadlineMs < 0) {
        return "--load, --seconds and --burst-seconds must be positive; the other numbers must not be negative";
    }
    const auto isShare = [](double value) { return value >= 0 && value <= 1; };
    if (!isShare(options.resubmitShare) || !isShare(options.cancelShare)) {
        return "--resubmit and --cancel must be shares from 0 to 1";
    }
    return "";
}

/// Returns false if the options are invalid, after printing the reason.
bool parseOptions(int argc, const char **argv, LoadOptions &options)
{
    TextOption entries;
    TextOption profile;
    TextOption json;
    long long seed = 1;
    auto &workload = options.workload;
    workload.seconds = 60;
    workload.load = 0.5;
    const poptOption table[]
        = {{"entry", 0, POPT_ARG_STRING, &entries.value, 0, "URLs of entries, separated by commas", "URL"},
           {"profile", 0, POPT_ARG_STRING, &profile.value, 0, "authority (default) or co-op", "NAME"},
           {"load", 0, POPT_ARG_DOUBLE, &workload.load, 0, "arrivals as a share of the capacity of the backend servers",
            "X"},
           {"seconds", 0, POPT_ARG_DOUBLE, &workload.seconds, 0, "time during which jobs arrive", "S"},
           {"seed", 0, POPT_ARG_LONGLONG, &seed, 0, "seed of the random arrivals", "N"},
           {"declared-sigma", 0, POPT_ARG_DOUBLE, &workload.declaredSigma, 0,
            "standard deviation of the logarithm of declared to true sizes", "X"},
           {"burst-jobs", 0, POPT_ARG_INT, &workload.burstJobs, 0, "number of jobs per burst", "N"},
           {"burst-seconds", 0, POPT_ARG_DOUBLE, &workload.burstSeconds, 0, "time between bursts", "S"},
           {"resubmit", 0, POPT_ARG_DOUBLE, &options.resubmitShare, 0, "share of jobs submitted twice", "X"},
           {"cancel", 0, POPT_ARG_DOUBLE, &options.cancelShare, 0, "share of jobs cancelled", "X"},
           {"deadline-ms", 0, POPT_ARG_INT, &options.deadlineMs, 0, "deadline of each job, 0 for none", "MS"},
           {"json", 0, POPT_ARG_STRING, &json.value, 0, "file to write the JSON report to", "FILE"},
           POPT_AUTOHELP POPT_TABLEEND};
    const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
        poptGetContext("agatedrum-load", argc, argv, table, 0), &poptFreeContext);
    const int code = poptGetNextOpt(context.get());
    if (code < -1) {
        fmt::print(stderr, "{}: {}\n", poptBadOption(context.get(), 0), poptStrerror(code));
        return false;
    }
    const auto name = profile.value == nullptr ? std::string("authority") : profile.text();
    options.entries = splitList(entries.text());
    options.jsonFile = json.text();
    workload.seed = static_cast<std::uint64_t>(seed);
    if (const auto optionError = findOptionError(options, name); !optionError.empty()) {
        fmt::print(stderr, "{}\n", optionError);
        return false;
    }
    options.profile = *findProfile(name);
    workload.speeds = options.profile.speeds;
    workload.slots = options.profile.slots;
    workload.singleTaskShare = options.profile.singleTaskShare;
    return true;
}

} // namespace

int main(int argc, const char **argv)
{
    LoadOptions options;
    if (!parseOptions(argc, argv, options)) {
        return 2;
    }
    try {
        options.runId
            = fmt::format("{}-{}", options.workload.seed, std::chrono::system_clock::now().time_since_epoch().count());
        const auto plan = makePlan(options);
        const auto result = runLoad(options, plan);
        const auto report = makeReport(options, plan, result);
        fmt::print("{}", reportTable(report));
        if (!options.jsonFile.empty()) {
            std::ofstream file(options.jsonFile);
            file << report.dump(2) << '\n';
            if (!file) {
                fmt::print(stderr, "cannot write {}\n", options.jsonFile);
                return 1;
            }
        }
        return report["ends"]["wrong"].get<int>() + report["differingAnswers"].get<int>() == 0 ? 0 : 1;
    } catch (const std::exception &exception) {
        fmt::print(stderr, "agatedrum-load: {}\n", exception.what());
        return 1;
    }
}
