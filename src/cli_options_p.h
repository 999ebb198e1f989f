#pragma once

#include "agatedrum/result.h"

#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace agatedrum {

/// Exit codes of the command-line tool. Documented in docs/api.md.
enum class ExitCode {
    Done = 0,
    JobFailed = 1, ///< the job ended, but not every task succeeded
    BadInput = 2, ///< wrong usage, or a file that cannot be read or is invalid
    NotRun = 3, ///< refused; nothing was run or changed
    Unknown = 4, ///< the request may have been carried out
    Unreachable = 5, ///< no entry accepted the request
    NotFound = 6,
    Conflict = 7, ///< another configuration is in force or another job has this key
    TimedOut = 8, ///< accepted, but --wait timed out before every process had acknowledged the configuration
    BadAnswer = 9 ///< the response cannot be parsed
};

/// Error that ends a command.
struct CliFailure
{
    ExitCode code = ExitCode::BadInput;
    std::string message;
};

enum class OutputFormat { Text, Json };

/// Parsed command line and environment defaults. Immutable once parsed.
struct CliOptions
{
    std::string command;
    std::vector<std::string> arguments;
    std::string entry; ///< URL without a trailing slash; empty if not set
    std::string file;
    std::string author;
    std::string service;
    OutputFormat output = OutputFormat::Text;
    bool isDryRun = false;
    bool mustWait = false;
    bool isHelpRequested = false;
    std::chrono::seconds timeout {120};
    std::vector<std::string> givenOptions; ///< long names of the options on the command line
};

/// Looks up an environment variable. Returns an empty string if it is not set.
using Environment = std::function<std::string(const std::string &)>;

/// Parses the options and the command name. Does not check whether the command accepts these options.
/// @param arguments command line without the program name.
Result<CliOptions, CliFailure> parseCliOptions(const std::vector<std::string> &arguments,
                                               const Environment &environment);

/// Returns the help text of all options.
std::string cliOptionsHelp();

} // namespace agatedrum
