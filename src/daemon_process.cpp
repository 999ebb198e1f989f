#include "daemon_process_p.h"

#include "base_event_p.h"
#include "base_incarnation_p.h"
#include "base_log_p.h"
#include "daemon_admin_p.h"

#include <algorithm>
#include <csignal>
#include <utility>

namespace agatedrum {

namespace {

constexpr auto component = "daemon";
constexpr Millis ownerTickInterval {2}; ///< maximum time that an owner's queue waits for a record or a fence
constexpr Millis tickInterval {20}; ///< with 10 ms, an idle agent used 0.53% of a core
constexpr Millis flushTimeout {500}; ///< time limit for sending the last messages during a stop
constexpr int exitForced = 3;

/// Waits for a signal. Returns SIGTERM, SIGINT or SIGHUP if it arrives within the interval, else 0.
int waitForSignal(Millis interval)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    const timespec timeout {0, std::chrono::nanoseconds(interval).count()};
    return std::max(0, sigtimedwait(&signals, nullptr, &timeout));
}

} // namespace

DaemonProcess::DaemonProcess(ProcessSettings processSettings, std::string file)
    : settings(std::move(processSettings))
    , settingsFile(std::move(file))
{
    this->self.name = this->settings.name;
    this->self.incarnation = makeIncarnation(this->clock.wallMs());
    BusOptions options;
    options.self = this->self;
    options.role = this->settings.role;
    options.address = this->settings.peers;
    options.serverThreads = this->settings.busThreads;
    options.maySend = [this](const Payload &payload) {
        const auto *core = this->runningCore.load();
        return core == nullptr || core->maySend(payload);
    };
    this->bus = std::make_unique<PeerBus>(options, this->clock, [this] {
        const auto *core = this->runningCore.load();
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
    this->runningCore.store(&this->role->core());
    this->bus->start([core = &this->role->core()](const IncomingMessage &incoming) { core->handle(incoming); });
    this->http->start();
    this->role->startServers();
    logEvent(component, "started",
             {{"name", this->settings.name},
              {"role", roleName(this->settings.role)},
              {"incarnation", this->self.incarnation},
              {"failureDomain", this->settings.failureDomain},
              {"version", AGATEDRUM_VERSION}});
    log(LogLevel::Info, component, "Started {} as {} (incarnation {}), peers on {}:{}, HTTP on {}:{}.",
        this->settings.name, roleName(this->settings.role), this->self.incarnation, this->settings.peers.host,
        this->settings.peers.port, this->settings.http.host, this->settings.http.port);
}

int DaemonProcess::run()
{
    this->start();
    const auto interval = this->settings.role == wire::Role::OWNER ? ownerTickInterval : tickInterval;
    int signal = 0;
    while (signal == 0 || signal == SIGHUP) {
        if (signal == SIGHUP) {
            this->reload();
        }
        this->role->core().tick();
        signal = waitForSignal(interval);
    }
    return this->stop();
}

void DaemonProcess::reload()
{
    const auto settings = readSettingsFile(this->settingsFile);
    if (!isOk(settings)) {
        logEvent(component, "reload_refused", {{"file", this->settingsFile}, {"reason", error(settings).text()}});
        return;
    }
    logEvent(component, "reloaded", {{"file", this->settingsFile}});
    this->role->reload(value(settings));
}

int DaemonProcess::stop()
{
    logEvent(component, "stopping", {{"name", this->settings.name}});
    log(LogLevel::Info, component, "Stopping {}.", this->settings.name);
    auto &core = this->role->core();
    core.beginStop();
    if (this->settings.role == wire::Role::ENTRY) {
        this->http->beginStop();
    }
    this->role->beginStop();
    const auto deadline = this->clock.now() + this->settings.stopTimeout;
    bool isForced = false;
    while (!isForced && !(core.isDrained() && this->http->openRequests() == 0 && this->role->openRequests() == 0)) {
        core.tick();
        this->role->drain();
        const int signal = waitForSignal(tickInterval);
        isForced = (signal != 0 && signal != SIGHUP) || this->clock.now() >= deadline;
    }
    this->http->beginStop();
    this->bus->stop(flushTimeout);
    this->role->stopServers();
    this->http->stop();
    logEvent(component, "stopped", {{"name", this->settings.name}, {"cut", isForced}});
    if (isForced) {
        log(LogLevel::Error, component,
            "Forced {} to stop before it was drained, with {} open HTTP requests; counters: {}.", this->settings.name,
            this->http->openRequests(), core.dump().value("counters", nlohmann::json()).dump());
        return exitForced;
    }
    log(LogLevel::Info, component, "Stopped {} gracefully; no work was interrupted.", this->settings.name);
    return 0;
}

} // namespace agatedrum
