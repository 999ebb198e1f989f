#include "cli_output_p.h"
#include "cli_run_p.h"

#include <fmt/format.h>

// Commands that submit, show and cancel jobs.

namespace agatedrum {

namespace {

using Json = nlohmann::json;

/// Prints the answer of a job. Returns JobFailed if the state of the job is "failed", otherwise Done.
CliResult printJob(const CommandContext &context, const Result<Json, CliFailure> &answer)
{
    if (!isOk(answer)) {
        return error(answer);
    }
    const auto &job = value(answer);
    const auto state = job.at("state").get<std::string>();
    if (context.options.output == OutputFormat::Json) {
        printAnswer(context, job);
    } else {
        nlohmann::ordered_json rows = nlohmann::ordered_json::array();
        for (const auto &task : job.at("tasks")) {
            rows.push_back({{"id", task.at("id")},
                            {"outcome", task.at("outcome")},
                            {"status", task.at("status")},
                            {"runMs", task.at("runMs")},
                            {"server", task.at("server")}});
        }
        context.streams.out << fmt::format("{}/{}: {}\n", fieldText(job.at("caller")), fieldText(job.at("submission")),
                                           state)
                            << tableText(rows);
    }
    return state == "failed" ? ExitCode::JobFailed : ExitCode::Done;
}

CliResult submit(const CommandContext &context)
{
    const auto text = readInput(context);
    if (!isOk(text)) {
        return error(text);
    }
    return printJob(context, context.client.requestJson("POST", "/v1/jobs", value(text)));
}

CliResult requestJob(const CommandContext &context, const std::string &method)
{
    if (context.options.service.empty()) {
        return CliFailure {ExitCode::BadInput, fmt::format("{} needs --service NAME", context.options.command)};
    }
    const auto &names = context.options.arguments;
    return printJob(
        context,
        context.client.requestJson(method,
                                   fmt::format("/v1/jobs/{}/{}?service={}", encodePercent(names[0]),
                                               encodePercent(names[1]), encodePercent(context.options.service))));
}

CliResult status(const CommandContext &context)
{
    return requestJob(context, "GET");
}

CliResult cancel(const CommandContext &context)
{
    const auto result = requestJob(context, "DELETE");
    // A cancelled job is reported as failed, which is the expected result of this command.
    return isOk(result) ? CliResult(ExitCode::Done) : result;
}

} // namespace

std::vector<CliCommand> jobCommands()
{
    return {{"submit",
             "-f FILE.json",
             "run a job and show its answer",
             0,
             0,
             {"file", "entry", "output", "timeout"},
             true,
             &submit},
            {"status",
             "CALLER SUBMISSION --service NAME",
             "show a job",
             2,
             2,
             {"service", "entry", "output", "timeout"},
             true,
             &status},
            {"cancel",
             "CALLER SUBMISSION --service NAME",
             "stop a job",
             2,
             2,
             {"service", "entry", "output", "timeout"},
             true,
             &cancel}};
}

} // namespace agatedrum
