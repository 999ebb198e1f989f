#include "daemon_process_p.h"

#include "base_log_p.h"
#include "daemon_admin_p.h"

#include <csignal>
#include <utility>

namespace agatedrum {

namespace {

constexpr auto part = "daemon";
constexpr Millis ownerTickInterval {2}; ///< an owner's queue waits at most this long for a record or a fence
constexpr Millis tickInterval {20}; ///< an idle agent at 10 ms took 0.53% of a core
constexpr Millis flushTime {500}; ///< time for the last messages to leave at a stop
constexpr int exitCut = 3;

/// @return true when SIGTERM or SIGINT arrived within the interval.
bool waitForSignal(Millis interval)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    const timespec timeout {0, std::chrono::nanoseconds(interval).count()};
    return sigtimedwait(&signals, nullptr, &timeout) > 0;
}

} // namespace

DaemonProcess::DaemonProcess(ProcessSettings processSettings)
    : settings(std::move(processSettings))
{
    this->self.name = this->settings.name;
    // Rises with each start as long as the wall clock does not go back by more than the process was down.
    this->self.incarnation = this->clock.wallMs();
    BusOptions options;
    options.self = this->self;
    options.role = this->settings.role;
    options.address = this->settings.peers;
    options.serverThreads = this->settings.busThreads;
    this->bus = std::make_unique<PeerBus>(options, this->clock, [this] {
        const auto *core = this->running.load();
        return core == nullptr ? 0 : core->configNumber();
    });
    this->role = makeRole(this->settings, this->self, *this->bus, this->clock);
    HttpServerOptions httpOptions;
    httpOptions.address = this->settings.http;
    httpOptions.threads = this->settings.httpThreads;
    httpOptions.maxConnections = this->settings.maxConnections;
    this->http = std::make_unique<HttpServer>(httpOptions);
    registerAdminRoutes(*this->http,
                        {roleName(this->settings.role), this->settings.name, this->role->core(), *this->bus});
    this->role->addRoutes(*this->http);
}

DaemonProcess::~DaemonProcess() = default;

void DaemonProcess::start()
{
    this->running.store(&this->role->core());
    this->bus->start([core = &this->role->core()](const Incoming &incoming) { core->handle(incoming); });
    this->http->start();
    log(LogLevel::Info, part, "Started {} as {} (incarnation {}), peers on {}:{}, HTTP on {}:{}.", this->settings.name,
        roleName(this->settings.role), this->self.incarnation, this->settings.peers.host, this->settings.peers.port,
        this->settings.http.host, this->settings.http.port);
}

int DaemonProcess::run()
{
    this->start();
    const auto interval = this->settings.role == wire::Role::OWNER ? ownerTickInterval : tickInterval;
    while (!waitForSignal(interval)) {
        this->role->core().tick();
    }
    return this->stop();
}

int DaemonProcess::stop()
{
    log(LogLevel::Info, part, "Stopping {}.", this->settings.name);
    auto &core = this->role->core();
    core.beginStop();
    if (this->settings.role == wire::Role::ENTRY) {
        this->http->beginStop();
    }
    const auto until = this->clock.now() + this->settings.stopTimeout;
    bool isForced = false;
    while (!isForced && !(core.isDrained() && this->http->openRequests() == 0)) {
        core.tick();
        isForced = waitForSignal(tickInterval) || this->clock.now() >= until;
    }
    this->http->beginStop();
    this->bus->stop(flushTime);
    this->http->stop();
    if (isForced) {
        log(LogLevel::Error, part, "Stopped {} before it was done, with {} open HTTP requests; state: {}.",
            this->settings.name, this->http->openRequests(), core.dump().value("counters", nlohmann::json()).dump());
        return exitCut;
    }
    log(LogLevel::Info, part, "Stopped {}; nothing was cut.", this->settings.name);
    return 0;
}

} // namespace agatedrum
