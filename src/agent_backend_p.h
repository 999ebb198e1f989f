#pragma once

#include "agatedrum_types.h"
#include "base_clock_p.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace agatedrum {

/// A call to a backend server.
struct BackendCall
{
    std::int64_t number = 0; ///< chosen by the agent, never reused
    std::string url;
    std::vector<std::string> headers {}; ///< additional header lines, "NAME: VALUE"
    std::string taskHeader; ///< caller, submission id and task id, by which the backend server can identify the task
    std::string body;
    Millis timeout {30000};
};

/// The result of a call.
struct BackendOutcome
{
    std::int64_t number = 0; ///< number of the call
    /// FINISHED, FAILED, STOPPED, NOT_RUN (never connected) or UNKNOWN
    wire::Outcome::type outcome = wire::Outcome::UNKNOWN;
    int status = 0; ///< HTTP status; 0 unless the outcome is FINISHED or FAILED
    std::string body; ///< empty unless the outcome is FINISHED or FAILED
    Micros runTime {0}; ///< time since start() was called
};

/// Calls backend servers. Implementations must be thread-safe, must not block, and must not report an outcome from
/// within one of these methods.
struct BackendClientI
{
    virtual ~BackendClientI() = default;
    /// Starts a call.
    virtual void start(BackendCall call) = 0;
    /// Stops a call. If it was still running, its outcome is STOPPED, which is reported like any other outcome.
    virtual void stop(std::int64_t number) = 0;
    /// Sets the maximum number of open connections. Calls beyond it wait for a free connection.
    virtual void limitConnections(int connections) = 0;
};

using BackendOutcomeHandler = std::function<void(const BackendOutcome &)>;

/// Calls backend servers over HTTP/1.1 with libcurl, on a thread of its own, and reuses connections. Each request is
/// sent at most once. Thread-safe.
class CurlBackendClient : public BackendClientI
{
public:
    /// @param handler is called once for each call, on the thread of this object, in any order.
    explicit CurlBackendClient(BackendOutcomeHandler handler);
    /// Ends the thread. Calls that are still running are aborted, and no outcome is reported for them.
    ~CurlBackendClient() override;
    CurlBackendClient(const CurlBackendClient &) = delete;
    CurlBackendClient &operator=(const CurlBackendClient &) = delete;

    void start(BackendCall call) override;
    void stop(std::int64_t number) override;
    void limitConnections(int connections) override;

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace agatedrum
