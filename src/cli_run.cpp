#include "cli_run_p.h"

#include "cli_output_p.h"

#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <sstream>
#include <utility>

namespace agatedrum {

namespace {

constexpr int indent = 2;

std::vector<CliCommand> allCommands()
{
    std::vector<CliCommand> commands;
    for (auto &&family : {jobCommands(), configCommands(), showCommands()}) {
        commands.insert(commands.end(), family.begin(), family.end());
    }
    return commands;
}

std::string helpText(const std::vector<CliCommand> &commands)
{
    std::string text = "Usage: agatedrum COMMAND [ARGUMENT ...] [OPTION ...]\n\nCommands:\n";
    for (const auto &command : commands) {
        text += fmt::format("  {} {}\n      {}\n", command.name, command.usage, command.help);
    }
    return text + "\nOptions:\n" + cliOptionsHelp()
        + "\nExit codes: 0 done, 1 job failed, 2 wrong usage or invalid file, 3 refused and not run,\n"
          "4 outcome unknown, 5 no entry reached, 6 not found, 7 conflict, 8 --wait timed out,\n"
          "9 invalid response\n";
}

/// Returns an error message if the options or arguments do not fit the command, otherwise an empty string.
std::string checkUsage(const CliCommand &command, const CliOptions &options)
{
    for (const auto &name : options.givenOptions) {
        if (std::find(command.options.begin(), command.options.end(), name) == command.options.end()) {
            return fmt::format("{} does not accept --{}", command.name, name);
        }
    }
    const auto count = options.arguments.size();
    if (count < command.minArguments || count > command.maxArguments) {
        return fmt::format("usage: agatedrum {} {}", command.name, command.usage);
    }
    const bool takesFile = std::find(command.options.begin(), command.options.end(), "file") != command.options.end();
    if (takesFile && options.file.empty()) {
        return fmt::format("{} needs -f FILE", command.name);
    }
    if (command.needsEntry && options.entry.empty()) {
        return "no entry; give --entry URL or set AGATEDRUM_ENTRY";
    }
    return {};
}

CliResult runCommand(const CliCommand &command, const CliOptions &options, const CliStreams &streams)
{
    const auto usageError = checkUsage(command, options);
    if (!usageError.empty()) {
        return CliFailure {ExitCode::BadInput, usageError};
    }
    const CliClient client(options.entry, options.timeout);
    try {
        return command.run({options, client, streams});
    } catch (const nlohmann::json::exception &failure) {
        return CliFailure {ExitCode::BadAnswer, fmt::format("unexpected response: {}", failure.what())};
    }
}

ExitCode report(const CliResult &result, const CliStreams &streams)
{
    if (isOk(result)) {
        return value(result);
    }
    streams.err << "agatedrum: " << error(result).message << "\n";
    return error(result).code;
}

} // namespace

ExitCode runCli(const std::vector<std::string> &arguments, const Environment &environment, const CliStreams &streams)
{
    const auto options = parseCliOptions(arguments, environment);
    if (!isOk(options)) {
        return report(error(options), streams);
    }
    const auto commands = allCommands();
    if (value(options).isHelpRequested) {
        streams.out << helpText(commands);
        return ExitCode::Done;
    }
    const auto found = std::find_if(commands.begin(), commands.end(), [&options](const CliCommand &command) {
        return command.name == value(options).command;
    });
    if (found == commands.end()) {
        const auto &name = value(options).command;
        const auto message = name.empty() ? std::string("no command") : fmt::format("unknown command \"{}\"", name);
        return report(CliFailure {ExitCode::BadInput, message + "; see agatedrum --help"}, streams);
    }
    return report(runCommand(*found, value(options), streams), streams);
}

Result<std::string, CliFailure> readInput(const CommandContext &context)
{
    const auto &name = context.options.file;
    if (name == "-") {
        return std::string(std::istreambuf_iterator<char>(context.streams.in), {});
    }
    std::ifstream file(name, std::ios::binary);
    std::ostringstream content;
    if (file.peek() != std::ifstream::traits_type::eof()) {
        content << file.rdbuf();
    }
    if (!file.is_open() || file.bad()) {
        return CliFailure {ExitCode::BadInput, fmt::format("cannot read {}", name)};
    }
    return content.str();
}

void printAnswer(const CommandContext &context, const nlohmann::ordered_json &answer)
{
    const bool isList = answer.is_array()
        && std::all_of(answer.begin(), answer.end(), [](const auto &item) { return item.is_object(); });
    if (context.options.output == OutputFormat::Text && isList) {
        context.streams.out << tableText(answer);
    } else if (context.options.output == OutputFormat::Text && answer.is_object()) {
        context.streams.out << recordText(answer);
    } else {
        context.streams.out << answer.dump(indent, ' ', false, nlohmann::json::error_handler_t::replace) << "\n";
    }
}

} // namespace agatedrum
