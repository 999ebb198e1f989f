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
    JobFailed = 1, ///< the job ended, not every task with success
    BadInput = 2, ///< wrong usage, or a file that cannot be read or has faults
    NotRun = 3, ///< refused, and certainly nothing was run or changed
    Unknown = 4, ///< the request may have been carried out
    Unreachable = 5, ///< no entry took the request
    NotFound = 6,
    Conflict = 7, ///< another configuration is in force or another job has this key
    TimedOut = 8, ///< accepted, but --wait ended before every process had acknowledged
    BadAnswer = 9 ///< the answer cannot be read
};

/// Why a command ends early.
struct CliFailure
{
    ExitCode code = ExitCode::BadInput;
    std::string message;
};

enum class OutputFormat { Text, Json };

/// What the caller of the tool asked for. Immutable once parsed.
struct CliOptions
{
    std::string command;
    std::vector<std::string> arguments;
    std::string entry; ///< URL without a slash at its end; empty when none was given
    std::string file;
    std::string author;
    std::string service;
    OutputFormat output = OutputFormat::Text;
    bool isDryRun = false;
    bool mustWait = false;
    bool wantsHelp = false;
    std::chrono::seconds timeout {120};
    std::vector<std::string> given; ///< long names of the options that were given
};

/// Looks up a variable of the environment; empty when it is not set.
using Environment = std::function<std::string(const std::string &)>;

/// Parses options and the command word. Does not check them against the command.
/// @param arguments without the program's name.
Result<CliOptions, CliFailure> parseCliOptions(const std::vector<std::string> &arguments,
                                               const Environment &environment);

/// Help on the options.
std::string cliOptionsHelp();

} // namespace agatedrum
