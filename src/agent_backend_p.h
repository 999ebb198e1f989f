#pragma once

#include "agatedrum_types.h"
#include "base_clock_p.h"

#include <cstdint>
#include <functional>
#include <string>

namespace agatedrum {

/// One call to a backend server.
struct BackendCall
{
    std::int64_t number = 0; ///< chosen by the agent, never used twice
    std::string url;
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

/// Calls backend servers. Implementations are thread-safe and never block.
struct BackendCallerI
{
    virtual ~BackendCallerI() = default;
    virtual void start(BackendCall call) = 0;
    /// Ends a running call; its outcome is STOPPED if it was still running, and is reported like any other.
    virtual void stop(std::int64_t number) = 0;
};

using BackendOutcomeHandler = std::function<void(const BackendOutcome &)>;

} // namespace agatedrum
