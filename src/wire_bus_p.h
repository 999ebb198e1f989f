#pragma once

#include "base_clock_p.h"
#include "wire_message_p.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace agatedrum {

/// Identity, address and send filter of the process that a bus belongs to.
struct BusOptions
{
    wire::ProcessId self;
    wire::Role::type role = wire::Role::TOOL;
    wire::Endpoint address; ///< address on which this process listens; with port 0 it does not listen
    int serverThreads = 2;
    /// Called for each message right before it is written, without locks held. A message for which it returns false is
    /// dropped and counted: the condition for sending it, such as a lease, may have expired while the message was
    /// queued or the process was frozen.
    std::function<bool(const Payload &)> maySend = [](const Payload &) { return true; };
};

/// Counters since the start of the bus.
struct BusCounters
{
    std::atomic<std::uint64_t> messagesSent {0};
    std::atomic<std::uint64_t> envelopesSent {0};
    std::atomic<std::uint64_t> bytesSent {0};
    std::atomic<std::uint64_t> messagesReceived {0};
    std::atomic<std::uint64_t> messagesDropped {0};
};

/// Exchanges messages with other processes. A Thrift server receives messages; one event loop sends them. Messages to a
/// peer are batched while its connection is busy. A message is dropped and counted if the peer's queue is full or the
/// message has waited too long. Thread-safe.
class PeerBus : public MessageSinkI
{
public:
    using Receiver = std::function<void(const IncomingMessage &)>;

    /// @param configNumber returns the configuration number to send; called for each envelope.
    PeerBus(BusOptions options, const ClockI &clock, std::function<std::int64_t()> configNumber);
    ~PeerBus() override;
    PeerBus(const PeerBus &) = delete;
    PeerBus &operator=(const PeerBus &) = delete;

    /// Starts the threads. Must be called once. Throws std::runtime_error if the address cannot be bound.
    /// @param receiver called for each received message, on several threads.
    void start(Receiver receiver);
    /// Waits at most the given time until the queued messages have been sent, then ends all threads. Idempotent.
    void stop(Millis maxFlushTime);

    void send(const wire::Endpoint &to, Payload payload) override;

    const BusCounters &counters() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace agatedrum
