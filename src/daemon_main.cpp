#include "base_event_p.h"
#include "daemon_process_p.h"

#include <popt.h>

#include <csignal>
#include <cstdlib>
#include <memory>

namespace {

constexpr int exitFailure = 1;
constexpr int exitUsage = 2;
constexpr auto component = "daemon";

struct Arguments
{
    std::string settingsFile;
    bool wantsVersion = false;
    std::string errorText;
};

Arguments parseArguments(int argc, char **argv)
{
    char *settingsFile = nullptr;
    int wantsVersion = 0;
    const poptOption table[]
        = {{"settings", 's', POPT_ARG_STRING, &settingsFile, 0, "settings file of the process", "FILE"},
           {"version", 0, POPT_ARG_NONE, &wantsVersion, 0, "print the version and exit", nullptr},
           POPT_AUTOHELP POPT_TABLEEND};
    const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
        poptGetContext("agatedrumd", argc, const_cast<const char **>(argv), table, 0), &poptFreeContext);
    Arguments arguments;
    const int result = poptGetNextOpt(context.get());
    if (result < -1) {
        arguments.errorText = fmt::format("{}: {}", poptBadOption(context.get(), 0), poptStrerror(result));
    }
    arguments.wantsVersion = wantsVersion != 0;
    if (settingsFile != nullptr) {
        arguments.settingsFile = settingsFile;
        std::free(settingsFile); // NOLINT(cppcoreguidelines-no-malloc)
    } else if (!arguments.wantsVersion && arguments.errorText.empty()) {
        arguments.errorText = "--settings FILE is required";
    }
    return arguments;
}

/// Blocks SIGTERM, SIGINT and SIGHUP, so that only the main loop receives them, and ignores SIGPIPE. Threads that are
/// started later inherit the signal mask.
void blockSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

int runDaemon(const std::string &settingsFile)
{
    using namespace agatedrum;
    const auto settings = readSettingsFile(settingsFile);
    if (!isOk(settings)) {
        for (const auto &yamlError : error(settings).errors) {
            log(LogLevel::Error, component, "{}: {}", settingsFile, describeYamlErrors({yamlError}));
        }
        return exitUsage;
    }
    setLogLevel(value(settings).logLevel);
    blockSignals();
    startEventLog();
    const int code = DaemonProcess(value(settings), settingsFile).run();
    stopEventLog();
    return code;
}

} // namespace

int main(int argc, char **argv)
{
    const auto arguments = parseArguments(argc, argv);
    if (!arguments.errorText.empty()) {
        fmt::print(stderr, "agatedrumd: {}\n", arguments.errorText);
        return exitUsage;
    }
    if (arguments.wantsVersion) {
        fmt::print("agatedrumd {}\n", AGATEDRUM_VERSION);
        return 0;
    }
    try {
        return runDaemon(arguments.settingsFile);
    } catch (const std::exception &exception) {
        agatedrum::log(agatedrum::LogLevel::Error, component, "{}.", exception.what());
        return exitFailure;
    }
}
