#include "cli_output_p.h"
#include "cli_run_p.h"
#include "config_cluster_p.h"
#include "settings_process_p.h"

#include <fmt/format.h>

#include <algorithm>
#include <thread>

// Commands that check and change the configuration.

namespace agatedrum {

namespace {

using Json = nlohmann::json;

constexpr Millis pollInterval {200};

/// Waits until every process has acknowledged the configuration with this number or a later one. Fails with TimedOut
/// when the --timeout expires first.
CliResult waitUntilAcknowledged(const CommandContext &context, std::int64_t number)
{
    const auto deadline = std::chrono::steady_clock::now() + context.options.timeout;
    std::string lagging = "?";
    while (std::chrono::steady_clock::now() < deadline) {
        const auto answer = context.client.requestJson("GET", "/v1/configuration/acknowledged");
        if (isOk(answer)) {
            const auto &names = value(answer).at("lagging");
            // A later configuration replaces this one, so a process that acknowledged the later one is up to date.
            if (value(answer).at("number").get<std::int64_t>() >= number && names.empty()) {
                context.streams.out << "acknowledged by every process\n";
                return ExitCode::Done;
            }
            lagging = fieldText(names);
        } else {
            lagging = error(answer).message;
        }
        std::this_thread::sleep_for(pollInterval);
    }
    return CliFailure {ExitCode::TimedOut,
                       fmt::format("accepted, but not yet acknowledged by all processes: {}", lagging)};
}

CliResult applyText(const CommandContext &context, const std::string &text)
{
    if (context.options.author.empty()) {
        return CliFailure {ExitCode::BadInput, "no author; give --author NAME"};
    }
    const auto target = fmt::format("/v1/configuration?author={}&dryRun={}", encodePercent(context.options.author),
                                    context.options.isDryRun ? "true" : "false");
    const auto answer = context.client.requestJson("POST", target, text);
    if (!isOk(answer)) {
        return error(answer);
    }
    if (context.options.output == OutputFormat::Json) {
        printAnswer(context, value(answer));
    } else {
        context.streams.out << fmt::format("{}: {}\n", context.options.isDryRun ? "would be accepted" : "accepted",
                                           value(answer).at("message").get<std::string>());
    }
    if (!context.options.mustWait || context.options.isDryRun) {
        return ExitCode::Done;
    }
    return waitUntilAcknowledged(context, value(answer).at("number").get<std::int64_t>());
}

CliResult apply(const CommandContext &context)
{
    const auto text = readInput(context);
    if (!isOk(text)) {
        return error(text);
    }
    // Reports all errors of an invalid file before anything is sent.
    const auto config = parseConfig(value(text));
    if (!isOk(config)) {
        return CliFailure {ExitCode::BadInput, fmt::format("{}:\n{}", context.options.file, error(config).text())};
    }
    return applyText(context, value(text));
}

/// Sets or clears "drain" of one backend server in the YAML document. Returns whether the document changed.
bool setDrain(YAML::Node document, const std::string &name, bool isDrained)
{
    auto servers = document["backendServers"];
    for (auto server : servers) {
        if (server["name"].as<std::string>() == name) {
            const bool before = server["drain"].as<bool>(false);
            server["drain"] = isDrained;
            return before != isDrained;
        }
    }
    if (isDrained) {
        YAML::Node server;
        server["name"] = name;
        server["drain"] = true;
        document["backendServers"].push_back(server);
    }
    return isDrained;
}

CliResult changeDrain(const CommandContext &context, bool isDrained)
{
    const auto inForce = context.client.requestJson("GET", "/v1/configuration");
    if (!isOk(inForce)) {
        return error(inForce);
    }
    const auto text = value(inForce).at("text").get<std::string>();
    const auto config = parseConfig(text);
    if (!isOk(config)) {
        return CliFailure {ExitCode::BadAnswer, "the current configuration is invalid: " + error(config).text()};
    }
    auto document = YAML::Load(text);
    bool hasChanged = false;
    for (const auto &name : context.options.arguments) {
        hasChanged = setDrain(document, name, isDrained) || hasChanged;
    }
    if (!hasChanged) {
        context.streams.out << "nothing to change\n";
        return ExitCode::Done;
    }
    document["number"] = value(config).number + 1;
    return applyText(context, YAML::Dump(document) + "\n...\n");
}

CliResult drain(const CommandContext &context)
{
    return changeDrain(context, true);
}

CliResult undrain(const CommandContext &context)
{
    return changeDrain(context, false);
}

CliResult orderEvacuation(const CommandContext &context, const std::string &method)
{
    if (context.options.author.empty()) {
        return CliFailure {ExitCode::BadInput, "no author; give --author NAME"};
    }
    const auto target = fmt::format("/v1/evacuations/{}?author={}", encodePercent(context.options.arguments[0]),
                                    encodePercent(context.options.author));
    const auto answer = context.client.requestJson(method, target);
    if (!isOk(answer)) {
        return error(answer);
    }
    printAnswer(context, value(answer));
    return ExitCode::Done;
}

CliResult evacuate(const CommandContext &context)
{
    return orderEvacuation(context, "POST");
}

CliResult restore(const CommandContext &context)
{
    return orderEvacuation(context, "DELETE");
}

/// Returns whether the text is the settings of a process. Settings have the key "role", a configuration does not.
bool isSettings(const std::string &text)
{
    const auto document = parseYaml(text);
    return isOk(document) && value(document).IsMap() && value(document)["role"].IsDefined();
}

CliResult check(const CommandContext &context)
{
    const auto text = readInput(context);
    if (!isOk(text)) {
        return error(text);
    }
    std::string errors;
    std::string kind;
    if (isSettings(value(text))) {
        const auto settings = parseSettings(value(text));
        errors = isOk(settings) ? "" : error(settings).text();
        kind = "settings";
    } else {
        const auto config = parseConfig(value(text));
        errors = isOk(config) ? "" : error(config).text();
        kind = "configuration";
    }
    if (!errors.empty()) {
        return CliFailure {ExitCode::BadInput, fmt::format("{}:\n{}", context.options.file, errors)};
    }
    context.streams.out << fmt::format("{}: valid {}\n", context.options.file, kind);
    return ExitCode::Done;
}

} // namespace

std::vector<CliCommand> configCommands()
{
    constexpr std::size_t maxServers = 1000;
    const std::vector<std::string> evacuationOptions {"author", "entry", "output", "timeout"};
    const std::vector<std::string> drainOptions {"dry-run", "wait", "author", "entry", "output", "timeout"};
    return {{"apply",
             "-f FILE [--dry-run] [--wait] [--author NAME]",
             "apply a configuration",
             0,
             0,
             {"file", "dry-run", "wait", "author", "entry", "output", "timeout"},
             true,
             &apply},
            {"drain", "BACKENDSERVER ... [--dry-run] [--wait] [--author NAME]",
             "stop assigning new tasks to backend servers, by a new configuration", 1, maxServers, drainOptions, true,
             &drain},
            {"undrain", "BACKENDSERVER ... [--dry-run] [--wait] [--author NAME]",
             "assign tasks to backend servers again, by a new configuration", 1, maxServers, drainOptions, true,
             &undrain},
            {"evacuate", "DOMAIN [--author NAME]", "start no more tasks in a failure domain", 1, 1, evacuationOptions,
             true, &evacuate},
            {"restore", "DOMAIN [--author NAME]", "return an evacuated failure domain to service", 1, 1,
             evacuationOptions, true, &restore},
            {"check",
             "-f FILE",
             "check a configuration or settings file without sending it",
             0,
             0,
             {"file"},
             false,
             &check}};
}

} // namespace agatedrum
