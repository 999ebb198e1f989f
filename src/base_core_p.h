#pragma once

#include "wire_message_p.h"

#include <nlohmann/json.hpp>
#include <prometheus/metric_family.h>

#include <string>
#include <vector>

namespace agatedrum {

/// Logic of one process role, without I/O. Messages are sent through the MessageSinkI that is passed to the
/// constructor of the implementation. Implementations are thread-safe.
struct CoreI
{
    virtual ~CoreI() = default;
    /// Processes one received message.
    virtual void handle(const IncomingMessage &incoming) = 0;
    /// Performs time-driven work, such as timeouts and heartbeats. Called every few milliseconds.
    virtual void tick() = 0;
    /// Returns the complete state for operators, without task bodies.
    virtual nlohmann::json dump() const = 0;
    /// Returns the latency histograms for the metrics page, without labels.
    virtual std::vector<prometheus::MetricFamily> latencyHistograms() const
    {
        return {};
    }
    /// Returns true if the process is ready to do the work of its role.
    virtual bool isReady() const = 0;
    /// Starts a graceful stop. Idempotent.
    virtual void beginStop() = 0;
    /// Returns true if the process can exit without interrupting any work. Precondition: beginStop() was called.
    virtual bool isDrained() const = 0;
    /// Returns the highest configuration number seen so far. It is sent with every envelope.
    virtual std::int64_t configNumber() const = 0;
    /// Returns true if a message that was queued earlier may still be sent. Called right before it is written.
    virtual bool maySend(const Payload & /*payload*/) const
    {
        return true;
    }
};

} // namespace agatedrum
