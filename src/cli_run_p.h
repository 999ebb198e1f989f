#pragma once

#include "agatedrum/result.h"
#include "cli_client_p.h"
#include "cli_options_p.h"

#include <istream>
#include <ostream>
#include <string>
#include <vector>

namespace agatedrum {

/// Where the tool reads and writes.
struct CliStreams
{
    std::istream &in;
    std::ostream &out;
    std::ostream &err;
};

/// One run of the tool with checked options.
struct CliRun
{
    const CliOptions &options;
    const CliClient &client;
    const CliStreams &streams;
};

using CliResult = Result<ExitCode, CliFailure>;

/// One command word of the tool.
struct CliCommand
{
    std::string name;
    std::string usage; ///< arguments and options
    std::string help;
    std::size_t minArguments = 0;
    std::size_t maxArguments = 0;
    std::vector<std::string> options; ///< accepted beside --help
    bool needsEntry = true;
    CliResult (*run)(const CliRun &) = nullptr;
};

/// Commands by family.
std::vector<CliCommand> jobCommands();
std::vector<CliCommand> configCommands();
std::vector<CliCommand> showCommands();

/// Runs the tool. Errors go to the error stream.
/// @param arguments without the program's name.
ExitCode runCli(const std::vector<std::string> &arguments, const Environment &environment, const CliStreams &streams);

/// Reads a whole file, or the input stream for "-".
Result<std::string, CliFailure> readInput(const CliRun &run);

/// Writes JSON as the options ask: as it is, a list as a table, an object as lines.
void printAnswer(const CliRun &run, const nlohmann::ordered_json &answer);

} // namespace agatedrum
