#pragma once

#include "base_core_p.h"
#include "http_server_p.h"
#include "settings_process_p.h"
#include "wire_bus_p.h"

#include <atomic>
#include <memory>
#include <string>

namespace agatedrum {

/// Builds the core of one role and adds its HTTP routes. Implementations own everything that the core needs.
struct RoleI
{
    virtual ~RoleI() = default;
    virtual CoreI &core() = 0;
    virtual void addRoutes(HttpServer &server) = 0;
    /// Starts and ends servers of the role's own, beside that of the process.
    virtual void startServers() { }
    virtual void beginStop() { }
    /// Called every few milliseconds between beginStop() and the end.
    virtual void drain() { }
    virtual std::size_t openRequests() const
    {
        return 0;
    }
    virtual void stopServers() { }
    /// Takes the settings file again. What cannot change while the process runs is left as it is.
    virtual void reload(const ProcessSettings & /*settings*/) { }
};

/// Builds the role of the settings. Throws std::runtime_error when its state cannot be read.
/// Precondition: sink and clock outlive the role.
std::unique_ptr<RoleI> makeRole(const ProcessSettings &settings, const wire::ProcessId &self, MessageSinkI &sink,
                                const ClockI &clock);

/// One running process of the daemon: bus, core, HTTP server and the loop that ticks the core.
class DaemonProcess
{
public:
    /// Throws std::runtime_error when the role's state cannot be read.
    /// @param settingsFile read again at SIGHUP
    DaemonProcess(ProcessSettings settings, std::string settingsFile);
    ~DaemonProcess();
    DaemonProcess(const DaemonProcess &) = delete;
    DaemonProcess &operator=(const DaemonProcess &) = delete;

    /// Runs until a graceful stop has ended. SIGTERM or SIGINT begins the stop; a second one, or the time limit, ends
    /// it. Precondition: both signals are blocked in all threads. Throws std::runtime_error when an address cannot be
    /// bound.
    /// @return exit code: 0 for a stop that cut nothing, 3 otherwise.
    int run();

private:
    void start();
    int stop();

    void reload();

    ProcessSettings settings;
    const std::string settingsFile;
    SystemClock clock;
    wire::ProcessId self;
    std::atomic<CoreI *> running {nullptr};
    std::unique_ptr<PeerBus> bus;
    std::unique_ptr<RoleI> role;
    std::unique_ptr<HttpServer> http;
};

} // namespace agatedrum
