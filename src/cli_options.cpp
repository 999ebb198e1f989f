#include "cli_options_p.h"

#include <fmt/format.h>
#include <popt.h>

#include <array>
#include <cstdlib>
#include <limits>
#include <memory>
#include <utility>

namespace agatedrum {

namespace {

constexpr int maxTimeoutSeconds = 86400;

enum OptionValue { File = 1, DryRun, Wait, Author, Entry, Output, Service, Timeout, Help };

struct OptionInfo
{
    const char *name;
    char shortName;
    OptionValue value;
    const char *argument; ///< nullptr for a flag
    const char *help;
};

constexpr std::array<OptionInfo, 9> optionInfos {{
    {"file", 'f', File, "FILE", "file to send or check; - for standard input"},
    {"dry-run", '\0', DryRun, nullptr, "validate and show the changes, but do not apply them"},
    {"wait", '\0', Wait, nullptr, "wait until every process has acknowledged the configuration"},
    {"author", '\0', Author, "NAME", "who applies the configuration; $USER by default"},
    {"entry", '\0', Entry, "URL", "entry to send requests to; $AGATEDRUM_ENTRY by default"},
    {"output", 'o', Output, "json|text", "output format; text by default"},
    {"service", '\0', Service, "NAME", "service of the job"},
    {"timeout", '\0', Timeout, "SECONDS", "maximum time for one request and for --wait; 120 by default"},
    {"help", 'h', Help, nullptr, "show this help"},
}};

struct ContextDeleter
{
    void operator()(poptContext context) const
    {
        poptFreeContext(context);
    }
};
using Context = std::unique_ptr<std::remove_pointer_t<poptContext>, ContextDeleter>;

CliFailure usageFailure(std::string message)
{
    return {ExitCode::BadInput, std::move(message)};
}

bool parseTimeout(const std::string &text, std::chrono::seconds &timeout)
{
    char *end = nullptr;
    const auto seconds = std::strtol(text.c_str(), &end, 10);
    if (text.empty() || *end != '\0' || seconds < 1 || seconds > maxTimeoutSeconds) {
        return false;
    }
    timeout = std::chrono::seconds(seconds);
    return true;
}

/// Sets one option. Returns an error message if the value is invalid, otherwise an empty string.
std::string setOption(CliOptions &options, int option, const std::string &text)
{
    switch (option) {
    case File:
        options.file = text;
        break;
    case DryRun:
        options.isDryRun = true;
        break;
    case Wait:
        options.mustWait = true;
        break;
    case Author:
        options.author = text;
        break;
    case Entry:
        options.entry = text;
        break;
    case Service:
        options.service = text;
        break;
    case Help:
        options.isHelpRequested = true;
        break;
    case Output:
        if (text != "json" && text != "text") {
            return "--output must be json or text";
        }
        options.output = text == "json" ? OutputFormat::Json : OutputFormat::Text;
        break;
    case Timeout:
        if (!parseTimeout(text, options.timeout)) {
            return fmt::format("--timeout must be a whole number of seconds from 1 to {}", maxTimeoutSeconds);
        }
        break;
    default:
        break;
    }
    return {};
}

std::vector<poptOption> poptTable()
{
    std::vector<poptOption> table;
    for (const auto &info : optionInfos) {
        const unsigned kind = info.argument == nullptr ? POPT_ARG_NONE : POPT_ARG_STRING;
        table.push_back({info.name, info.shortName, kind, nullptr, info.value, info.help, info.argument});
    }
    table.push_back({nullptr, '\0', 0, nullptr, 0, nullptr, nullptr});
    return table;
}

void addDefaults(CliOptions &options, const Environment &environment)
{
    if (options.entry.empty()) {
        options.entry = environment("AGATEDRUM_ENTRY");
    }
    while (!options.entry.empty() && options.entry.back() == '/') {
        options.entry.pop_back();
    }
    if (options.author.empty()) {
        options.author = environment("USER");
    }
}

} // namespace

Result<CliOptions, CliFailure> parseCliOptions(const std::vector<std::string> &arguments,
                                               const Environment &environment)
{
    std::vector<const char *> argv {"agatedrum"};
    for (const auto &argument : arguments) {
        argv.push_back(argument.c_str());
    }
    const auto table = poptTable();
    const Context context(
        poptGetContext("agatedrum", static_cast<int>(argv.size()), argv.data(), table.data(), POPT_CONTEXT_NO_EXEC));
    CliOptions options;
    int option = 0;
    while ((option = poptGetNextOpt(context.get())) > 0) {
        const std::unique_ptr<char, decltype(&std::free)> text(poptGetOptArg(context.get()), &std::free);
        const auto message = setOption(options, option, text ? text.get() : "");
        if (!message.empty()) {
            return usageFailure(message);
        }
        options.givenOptions.emplace_back(optionInfos.at(static_cast<std::size_t>(option) - 1).name);
    }
    if (option < -1) {
        return usageFailure(
            fmt::format("{}: {}", poptBadOption(context.get(), POPT_BADOPTION_NOALIAS), poptStrerror(option)));
    }
    while (const char *argument = poptGetArg(context.get())) {
        if (options.command.empty()) {
            options.command = argument;
        } else {
            options.arguments.emplace_back(argument);
        }
    }
    addDefaults(options, environment);
    return options;
}

std::string cliOptionsHelp()
{
    std::string help;
    for (const auto &info : optionInfos) {
        const auto optionText
            = fmt::format("{}--{}{}{}", info.shortName == '\0' ? "" : fmt::format("-{}, ", info.shortName), info.name,
                          info.argument == nullptr ? "" : " ", info.argument == nullptr ? "" : info.argument);
        help += fmt::format("  {:<24} {}\n", optionText, info.help);
    }
    return help;
}

} // namespace agatedrum
