#pragma once

#include "agatedrum/result.h"
#include "cli_client_p.h"
#include "cli_options_p.h"

#include <istream>
#include <ostream>
#include <string>
#include <vector>

namespace agatedrum {

/// Streams for input, output and errors of the tool.
struct CliStreams
{
    std::istream &in;
    std::ostream &out;
    std::ostream &err;
};

/// Context of one command. The options have been checked against the command.
struct CommandContext
{
    const CliOptions &options;
    const CliClient &client;
    const CliStreams &streams;
};

using CliResult = Result<ExitCode, CliFailure>;

/// One command of the tool.
struct CliCommand
{
    std::string name;
    std::string usage; ///< arguments and options as shown in the help
    std::string help;
    std::size_t minArguments = 0;
    std::size_t maxArguments = 0;
    std::vector<std::string> options; ///< long names of the accepted options, without --help
    bool needsEntry = true;
    CliResult (*run)(const CommandContext &) = nullptr;
};

/// Commands, grouped by subject.
std::vector<CliCommand> jobCommands();
std::vector<CliCommand> configCommands();
std::vector<CliCommand> showCommands();

/// Runs the tool. Errors are written to the error stream.
/// @param arguments command line without the program name.
ExitCode runCli(const std::vector<std::string> &arguments, const Environment &environment, const CliStreams &streams);

/// Reads the whole file that the options name, or the input stream if the name is "-".
Result<std::string, CliFailure> readInput(const CommandContext &context);

/// Writes an answer in the output format of the options: as JSON, or as text with a list of objects as a table and an
/// object as one line per field.
void printAnswer(const CommandContext &context, const nlohmann::ordered_json &answer);

} // namespace agatedrum
