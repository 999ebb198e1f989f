#pragma once

#include "base_clock_p.h"
#include "wire_message_p.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace agatedrum {

/// What a bus needs to know of its process.
struct BusOptions
{
    wire::ProcessId self;
    wire::Role::type role = wire::Role::TOOL;
    wire::Endpoint address; ///< where this process listens; port 0 listens nowhere
    int serverThreads = 2;
    /// Asked for each message right before it is written, without locks held. A message that may not leave is dropped
    /// and counted: what justified it, such as a lease, may have ended while it waited or while the process was frozen.
    std::function<bool(const Payload &)> mayLeave = [](const Payload &) { return true; };
};

/// Counters of a bus since its start.
struct BusCounters
{
    std::atomic<std::uint64_t> messagesSent {0};
    std::atomic<std::uint64_t> envelopesSent {0};
    std::atomic<std::uint64_t> bytesSent {0};
    std::atomic<std::uint64_t> messagesReceived {0};
    std::atomic<std::uint64_t> messagesDropped {0};
};

/// Carries messages between processes: a Thrift server for what arrives, one event loop for all that leaves.
/// Messages to one peer are batched while its connection is busy. A message is dropped and counted when the peer's
/// queue is full or the message has waited too long. Thread-safe.
class PeerBus : public MessageSinkI
{
public:
    using Receiver = std::function<void(const Incoming &)>;

    /// @param configNumber read for each envelope sent.
    PeerBus(BusOptions options, const ClockI &clock, std::function<std::int64_t()> configNumber);
    ~PeerBus() override;
    PeerBus(const PeerBus &) = delete;
    PeerBus &operator=(const PeerBus &) = delete;

    /// Starts the threads. Throws std::runtime_error when the address cannot be bound. Call once.
    /// @param receiver called on several threads, one call per message.
    void start(Receiver receiver);
    /// Sends what is queued for at most the given time, then ends all threads. Idempotent.
    void stop(Millis flushFor);

    void send(const wire::Endpoint &to, Payload payload) override;

    const BusCounters &counters() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace agatedrum
