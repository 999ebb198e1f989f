#pragma once

#include "base_core_p.h"
#include "http_server_p.h"
#include "settings_process_p.h"
#include "wire_bus_p.h"

#include <atomic>
#include <memory>
#include <string>

namespace agatedrum {

/// Interface of a process role. Creates the core of the role and adds its HTTP routes. Implementations own all objects
/// that the core needs.
struct RoleI
{
    virtual ~RoleI() = default;
    virtual CoreI &core() = 0;
    virtual void addRoutes(HttpServer &server) = 0;
    /// Starts the role's own servers, which run in addition to the HTTP server of the process.
    virtual void startServers() { }
    virtual void beginStop() { }
    /// Called every few milliseconds between beginStop() and stopServers().
    virtual void drain() { }
    /// Returns the number of requests that the role's own servers have not answered yet.
    virtual std::size_t openRequests() const
    {
        return 0;
    }
    virtual void stopServers() { }
    /// Applies reloaded settings. Settings that cannot change while the process runs are ignored.
    virtual void reload(const ProcessSettings & /*settings*/) { }
};

/// Creates the role that the settings select. Throws std::runtime_error if its state cannot be read or if the process
/// has no such role.
/// Precondition: sink and clock outlive the role.
std::unique_ptr<RoleI> makeRole(const ProcessSettings &settings, const wire::ProcessId &self, MessageSinkI &sink,
                                const ClockI &clock);

/// A daemon process: message bus, core, HTTP server and the main loop that calls the tick() of the core.
class DaemonProcess
{
public:
    /// Throws std::runtime_error if the role's state cannot be read.
    /// @param settingsFile path of the settings file, which is reloaded on SIGHUP
    DaemonProcess(ProcessSettings settings, std::string settingsFile);
    ~DaemonProcess();
    DaemonProcess(const DaemonProcess &) = delete;
    DaemonProcess &operator=(const DaemonProcess &) = delete;

    /// Runs the process until it has stopped. SIGTERM or SIGINT starts a graceful stop; a second one, or the stop
    /// timeout, forces the stop. Precondition: both signals are blocked in all threads. Throws std::runtime_error if an
    /// address cannot be bound.
    /// @return exit code: 0 if no work was interrupted, 3 if the stop was forced.
    int run();

private:
    void start();
    int stop();

    void reload();

    ProcessSettings settings;
    const std::string settingsFile;
    SystemClock clock;
    wire::ProcessId self;
    std::atomic<CoreI *> runningCore {nullptr}; ///< core of the role; null before start()
    std::unique_ptr<PeerBus> bus;
    std::unique_ptr<RoleI> role;
    std::unique_ptr<HttpServer> http;
};

} // namespace agatedrum
