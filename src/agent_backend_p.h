#pragma once

#include "agatedrum_types.h"
#include "base_clock_p.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace agatedrum {

/// One call to a backend server.
struct BackendCall
{
    std::int64_t number = 0; ///< chosen by the agent, never used twice
    std::string url;
    std::vector<std::string> headers {}; ///< further lines "NAME: VALUE"
    std::string taskHeader; ///< caller, submission id and task id, so that the backend server can tell tasks apart
    std::string body;
    Millis timeout {30000};
};

/// How a call ended.
struct BackendOutcome
{
    std::int64_t number = 0;
    wire::Outcome::type outcome = wire::Outcome::UNKNOWN; ///< FINISHED, FAILED, NOT_RUN (never connected) or UNKNOWN
    int status = 0;
    std::string body;
    Micros runTime {0};
};

/// Calls backend servers. Implementations are thread-safe, never block, and report no outcome from within a call.
struct BackendCallerI
{
    virtual ~BackendCallerI() = default;
    virtual void start(BackendCall call) = 0;
    /// Ends a running call; its outcome is STOPPED if it was still running, and is reported like any other.
    virtual void stop(std::int64_t number) = 0;
    /// Sets the most connections that are open at once. Calls above it wait for a free connection.
    virtual void limitConnections(int connections) = 0;
};

using BackendOutcomeHandler = std::function<void(const BackendOutcome &)>;

/// Calls backend servers over HTTP/1.1 with libcurl, on one thread, with connections kept alive. Each request is sent
/// at most once. Thread-safe.
class CurlBackendCaller : public BackendCallerI
{
public:
    /// @param handler called on the caller's thread, once for each call, in any order.
    explicit CurlBackendCaller(BackendOutcomeHandler handler);
    /// Ends the thread. Calls that still run are closed without an outcome.
    ~CurlBackendCaller() override;
    CurlBackendCaller(const CurlBackendCaller &) = delete;
    CurlBackendCaller &operator=(const CurlBackendCaller &) = delete;

    void start(BackendCall call) override;
    void stop(std::int64_t number) override;
    void limitConnections(int connections) override;

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace agatedrum
