#include "backend_emulator_p.h"
#include "base_log_p.h"

#include <popt.h>

#include <cstdio>
#include <exception>
#include <memory>
#include <string>

using namespace agatedrum;

namespace {

struct TextOption
{
    char *value = nullptr;
    ~TextOption()
    {
        std::free(this->value);
    }
    void assignTo(std::string &target) const
    {
        if (this->value != nullptr) {
            target = this->value;
        }
    }
};

/// Returns false if the options are invalid, after printing the reason.
bool parseOptions(int argc, const char **argv, tools::EmulatorOptions &options)
{
    TextOption host;
    TextOption name;
    TextOption service;
    TextOption agent;
    long long workUs = options.workUs;
    const poptOption table[]
        = {{"host", 0, POPT_ARG_STRING, &host.value, 0, "address to listen on", "IP"},
           {"port", 0, POPT_ARG_INT, &options.port, 0, "port to listen on", "PORT"},
           {"name", 0, POPT_ARG_STRING, &name.value, 0, "name of the backend server", "NAME"},
           {"service", 0, POPT_ARG_STRING, &service.value, 0, "service that the backend server runs", "NAME"},
           {"slots", 0, POPT_ARG_INT, &options.slots, 0, "maximum number of tasks at once", "N"},
           {"connections", 0, POPT_ARG_INT, &options.connections, 0, "maximum number of connections at once", "N"},
           {"speed", 0, POPT_ARG_DOUBLE, &options.speed, 0, "the run time of a task is its work divided by this", "X"},
           {"work-us", 0, POPT_ARG_LONGLONG, &workUs, 0, "work of a task whose body has no workUs", "MICROSECONDS"},
           {"agent", 0, POPT_ARG_STRING, &agent.value, 0, "agent to announce to, such as http://127.0.0.1:7300", "URL"},
           POPT_AUTOHELP POPT_TABLEEND};
    const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
        poptGetContext("agatedrum-backend", argc, argv, table, 0), &poptFreeContext);
    const int code = poptGetNextOpt(context.get());
    if (code < -1) {
        std::fprintf(stderr, "%s: %s\n", poptBadOption(context.get(), 0), poptStrerror(code));
        return false;
    }
    host.assignTo(options.host);
    name.assignTo(options.name);
    service.assignTo(options.service);
    agent.assignTo(options.agentUrl);
    options.workUs = workUs;
    if (options.port <= 0 || options.port > 65535 || options.slots <= 0 || options.connections <= 0
        || !(options.speed > 0) || options.workUs < 0) {
        std::fprintf(stderr,
                     "--port must be from 1 to 65535; --slots, --connections and --speed must be positive; "
                     "--work-us must not be negative\n");
        return false;
    }
    return true;
}

} // namespace

int main(int argc, const char **argv)
{
    tools::EmulatorOptions options;
    if (!parseOptions(argc, argv, options)) {
        return 2;
    }
    try {
        tools::Emulator emulator(options);
        log(LogLevel::Info, "backend", "{} listens on {}:{}", options.name, options.host, options.port);
        emulator.run();
    } catch (const std::exception &exception) {
        log(LogLevel::Error, "backend", "{}", exception.what());
        return 1;
    }
    return 0;
}
