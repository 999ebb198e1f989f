#pragma once

#include "agatedrum_types.h"
#include "base_clock_p.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace agatedrum {

struct BackendOutcome;

/// Binds a call to one instance of a backend server: it is sent only on a connection on which that instance has
/// answered, since a later instance can have the same address and name. On a new connection, a request is sent first
/// whose answer shows the instance.
struct InstanceCheck
{
    std::string instance; ///< names the instance
    std::string url; ///< of the first request on a new connection
    std::string body;
    /// Returns whether the answer to the first request is one of the instance. Called on the client's thread.
    std::function<bool(const BackendOutcome &)> isAnswerOfInstance;
};

/// A call to a backend server.
struct BackendCall
{
    std::int64_t number = 0; ///< chosen by the agent, never reused
    std::string url;
    std::vector<std::string> headers {}; ///< additional header lines, "NAME: VALUE"
    std::string taskHeader; ///< caller, submission id and task id, by which the backend server can identify the task
    std::string body;
    Millis timeout {30000}; ///< also that of an instance check and of the wait for a connection
    std::optional<InstanceCheck> instanceCheck {};
};

/// The result of a call.
struct BackendOutcome
{
    std::int64_t number = 0; ///< number of the call
    /// FINISHED, FAILED, STOPPED, NOT_RUN (never connected) or UNKNOWN
    wire::Outcome::type outcome = wire::Outcome::UNKNOWN;
    /// True if the call was not sent for want of a connection to its instance. The other fields, but for the number and
    /// the time, then tell the outcome of the instance check: UNKNOWN if it was not answered, or not sent in time.
    bool isOfInstanceCheck = false;
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
