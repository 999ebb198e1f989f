#pragma once

#include "wire_message_p.h"

#include <nlohmann/json.hpp>
#include <prometheus/metric_family.h>

#include <string>
#include <vector>

namespace agatedrum {

/// The decisions of one role, without I/O. Messages leave through the MessageSinkI given to the constructor.
/// Implementations are thread-safe.
struct CoreI
{
    virtual ~CoreI() = default;
    /// Takes one received message.
    virtual void handle(const IncomingMessage &incoming) = 0;
    /// Does what is due; called every few milliseconds.
    virtual void tick() = 0;
    /// Whole state for an operator, without task bodies.
    virtual nlohmann::json dump() const = 0;
    /// Latency histograms for the metrics page, without labels.
    virtual std::vector<prometheus::MetricFamily> latencies() const
    {
        return {};
    }
    /// Ready to do its role's work.
    virtual bool isReady() const = 0;
    /// Starts a graceful stop. Idempotent.
    virtual void beginStop() = 0;
    /// True when nothing would be cut by an exit. Precondition: beginStop() was called.
    virtual bool isDrained() const = 0;
    /// Highest configuration number seen; goes out with every envelope.
    virtual std::int64_t configNumber() const = 0;
    /// Whether a message that was sent earlier may still leave the process.
    virtual bool mayLeave(const Payload & /*payload*/) const
    {
        return true;
    }
};

} // namespace agatedrum
