#include "wire_bus_p.h"

#include "Peer.h"
#include "agatedrum/config.h"
#include "base_log_p.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/thread.h>
#include <netinet/tcp.h>
#include <thrift/TOutput.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/server/TNonblockingServer.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TNonblockingServerSocket.h>

#include <deque>
#include <future>
#include <map>
#include <mutex>
#include <thread>
#include <utility>

namespace agatedrum {

namespace {

using apache::thrift::protocol::TCompactProtocolFactory;
using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::server::TNonblockingServer;
using apache::thrift::transport::TMemoryBuffer;
using apache::thrift::transport::TNonblockingServerSocket;

constexpr auto component = "bus";
constexpr Millis minRetryDelay {20};
constexpr Millis maxRetryDelay {500};
constexpr Millis connectTimeout {500};
/// Size of a connection's output buffer at which further messages stay in the peer's queue.
constexpr std::size_t highWaterBytes = 1024UL * 1024;
constexpr std::size_t maxFrameBytes = AGATEDRUM_MAX_FRAME_BYTES;
constexpr std::size_t maxEnvelopeMessages = 512; ///< maximum number of messages in one envelope

/// Makes TCP close a connection that receives no acknowledgement for the time limit, so that a new one is opened. By
/// default TCP would wait for seconds after a network partition before it retransmits, and a connection may stop
/// working without a reset.
void setSocketOptions(evutil_socket_t socket)
{
    const int on = 1;
    const int probeIntervalSeconds = 1;
    const int maxProbes = 2;
    const unsigned userTimeoutMs = AGATEDRUM_PEER_SILENT_MS;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &userTimeoutMs, sizeof(userTimeoutMs));
    setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &probeIntervalSeconds, sizeof(probeIntervalSeconds));
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &probeIntervalSeconds, sizeof(probeIntervalSeconds));
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &maxProbes, sizeof(maxProbes));
}

struct QueuedMessage
{
    Payload payload;
    Time queuedAt;
    std::size_t bytes = 0; ///< estimated size, set when the message is queued
};

class DeliverHandler : public wire::PeerIf
{
public:
    explicit DeliverHandler(PeerBus::Receiver receiver, BusCounters &counters)
        : receiver(std::move(receiver))
        , counters(counters)
    {
    }

    void deliver(const wire::Envelope &envelope) override
    {
        auto ownedEnvelope = envelope;
        for (const auto &incoming : fromEnvelope(std::move(ownedEnvelope))) {
            this->counters.messagesReceived.fetch_add(1, std::memory_order_relaxed);
            this->receiver(incoming);
        }
    }

private:
    PeerBus::Receiver receiver;
    BusCounters &counters;
};

/// Notifies the starting thread that the server is listening, or of the exception with which it failed to.
class ListenSignal : public apache::thrift::server::TServerEventHandler
{
public:
    void preServe() override
    {
        this->isSet = true;
        this->listening.set_value();
    }
    void fail(const std::exception_ptr &failure)
    {
        if (!this->isSet) {
            this->listening.set_exception(failure);
        }
    }
    std::promise<void> listening;

private:
    bool isSet = false;
};

} // namespace

struct PeerBus::Impl
{
    /// Connection and send queue of one peer. The queue is guarded by queueMutex; the connection is used by the thread
    /// of the event loop.
    struct PeerQueue
    {
        wire::Endpoint peerAddress;
        std::deque<QueuedMessage> queue;
        std::size_t queuedBytes = 0;
        bool isScheduled = false; ///< listed in scheduledPeers, whose messages the event loop sends next
        bufferevent *connection = nullptr;
        bool isConnected = false;
        Millis retryDelay = minRetryDelay;
        Time retryAt;
        Impl *bus = nullptr;
    };

    BusOptions options;
    const ClockI &clock;
    std::function<std::int64_t()> configNumber;
    BusCounters counters;

    std::mutex queueMutex;
    std::map<std::pair<std::string, int>, std::unique_ptr<PeerQueue>> peers;
    std::vector<PeerQueue *> scheduledPeers;

    event_base *eventBase = nullptr;
    event *wakeUpEvent = nullptr;
    event *retryTimer = nullptr;
    std::thread loopThread;
    std::shared_ptr<TNonblockingServer> server;
    std::thread serverThread;
    bool isStarted = false;
    bool isShutDown = false; ///< stop() has ended the threads, later messages are dropped; guarded by queueMutex
    std::atomic<bool> isLoopStopRequested {false};

    Impl(BusOptions busOptions, const ClockI &busClock, std::function<std::int64_t()> number)
        : options(std::move(busOptions))
        , clock(busClock)
        , configNumber(std::move(number))
    {
    }

    void enqueue(const wire::Endpoint &to, Payload &&payload)
    {
        const auto bytes = estimateBytes(payload);
        {
            const std::lock_guard lock(this->queueMutex);
            auto &peer = this->peers[{to.host, to.port}];
            if (!peer) {
                peer = std::make_unique<PeerQueue>();
                peer->peerAddress = to;
                peer->bus = this;
            }
            if (this->isShutDown || peer->queuedBytes + bytes > AGATEDRUM_PEER_QUEUE_BYTES) {
                this->counters.messagesDropped.fetch_add(1, std::memory_order_relaxed);
                return;
            }
            peer->queue.push_back({std::move(payload), this->clock.now(), bytes});
            peer->queuedBytes += bytes;
            if (!peer->isScheduled) {
                peer->isScheduled = true;
                this->scheduledPeers.push_back(peer.get());
                // The lock must still be held here, because stop() frees the event under it.
                if (this->scheduledPeers.size() == 1 && this->wakeUpEvent != nullptr) {
                    event_active(this->wakeUpEvent, EV_TIMEOUT, 0);
                }
            }
        }
    }

    /// Removes the messages for the next envelope from the queue and returns them. Drops messages that have waited too
    /// long or may no longer be sent.
    /// @param hasMore set to whether messages remain in the queue.
    std::vector<wire::Message> takeMessages(PeerQueue &peer, bool &hasMore)
    {
        std::vector<QueuedMessage> batch;
        {
            const std::lock_guard lock(this->queueMutex);
            const auto minQueuedAt = this->clock.now() - Millis(AGATEDRUM_PEER_QUEUE_AGE_MS);
            std::size_t bytes = 0;
            while (!peer.queue.empty() && batch.size() < maxEnvelopeMessages && bytes < highWaterBytes) {
                auto &next = peer.queue.front();
                peer.queuedBytes -= next.bytes;
                if (next.queuedAt < minQueuedAt) {
                    this->counters.messagesDropped.fetch_add(1, std::memory_order_relaxed);
                } else {
                    bytes += next.bytes;
                    batch.push_back(std::move(next));
                }
                peer.queue.pop_front();
            }
            hasMore = !peer.queue.empty();
        }
        std::vector<wire::Message> messages;
        messages.reserve(batch.size());
        for (auto &message : batch) {
            if (this->options.maySend(message.payload)) {
                messages.push_back(toMessage(std::move(message.payload)));
            } else {
                this->counters.messagesDropped.fetch_add(1, std::memory_order_relaxed);
            }
        }
        return messages;
    }

    void writeEnvelope(PeerQueue &peer, std::vector<wire::Message> &&messages)
    {
        wire::Envelope envelope;
        envelope.sender = this->options.self;
        envelope.role = this->options.role;
        envelope.address = this->options.address;
        envelope.configNumber = this->configNumber();
        envelope.messages = std::move(messages);
        const auto buffer = std::make_shared<TMemoryBuffer>();
        const auto protocol = std::make_shared<TCompactProtocolT<TMemoryBuffer>>(buffer);
        wire::PeerClient client(protocol);
        client.send_deliver(envelope);
        std::uint8_t *data = nullptr;
        std::uint32_t size = 0;
        buffer->getBuffer(&data, &size);
        const std::uint32_t frameSize = htonl(size);
        bufferevent_write(peer.connection, &frameSize, sizeof(frameSize));
        bufferevent_write(peer.connection, data, size);
        this->counters.messagesSent.fetch_add(envelope.messages.size(), std::memory_order_relaxed);
        this->counters.envelopesSent.fetch_add(1, std::memory_order_relaxed);
        this->counters.bytesSent.fetch_add(size + sizeof(frameSize), std::memory_order_relaxed);
    }

    void sendQueuedMessages(PeerQueue &peer)
    {
        if (!peer.isConnected) {
            this->connectPeer(peer);
            return;
        }
        while (evbuffer_get_length(bufferevent_get_output(peer.connection)) < highWaterBytes) {
            bool hasMore = false;
            auto messages = this->takeMessages(peer, hasMore);
            if (!messages.empty()) {
                this->writeEnvelope(peer, std::move(messages));
            }
            if (!hasMore) {
                return;
            }
        }
    }

    void connectPeer(PeerQueue &peer)
    {
        if (peer.connection != nullptr || this->clock.now() < peer.retryAt) {
            return;
        }
        peer.connection = bufferevent_socket_new(this->eventBase, -1, BEV_OPT_CLOSE_ON_FREE);
        bufferevent_setcb(peer.connection, nullptr, &Impl::onWritable, &Impl::onEvent, &peer);
        bufferevent_enable(peer.connection, EV_READ | EV_WRITE);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(peer.peerAddress.port));
        const auto isAddress = inet_pton(AF_INET, peer.peerAddress.host.c_str(), &address.sin_addr) == 1;
        if (!isAddress
            || bufferevent_socket_connect(peer.connection, reinterpret_cast<sockaddr *>(&address), sizeof(address))
                != 0) {
            this->disconnectPeer(peer);
            return;
        }
        const timeval timeout {0, std::chrono::duration_cast<Micros>(connectTimeout).count()};
        bufferevent_set_timeouts(peer.connection, nullptr, &timeout);
    }

    void disconnectPeer(PeerQueue &peer)
    {
        if (peer.connection != nullptr) {
            bufferevent_free(peer.connection);
        }
        peer.connection = nullptr;
        peer.isConnected = false;
        peer.retryAt = this->clock.now() + peer.retryDelay;
        peer.retryDelay = std::min(peer.retryDelay * 2, maxRetryDelay);
    }

    static void onWritable(bufferevent *, void *context)
    {
        auto *peer = static_cast<PeerQueue *>(context);
        if (peer->isConnected) {
            peer->bus->sendQueuedMessages(*peer);
        }
    }

    static void onEvent(bufferevent *connection, short events, void *context)
    {
        auto *peer = static_cast<PeerQueue *>(context);
        if ((events & BEV_EVENT_CONNECTED) != 0) {
            setSocketOptions(bufferevent_getfd(connection));
            bufferevent_set_timeouts(connection, nullptr, nullptr);
            peer->isConnected = true;
            peer->retryDelay = minRetryDelay;
            peer->bus->sendQueuedMessages(*peer);
            return;
        }
        log(LogLevel::Debug, component, "Connection to {}:{} closed.", peer->peerAddress.host, peer->peerAddress.port);
        peer->bus->disconnectPeer(*peer);
    }

    static void onWakeUp(evutil_socket_t, short, void *context)
    {
        auto *bus = static_cast<Impl *>(context);
        if (bus->isLoopStopRequested) {
            event_base_loopbreak(bus->eventBase);
            return;
        }
        std::vector<PeerQueue *> duePeers;
        {
            const std::lock_guard lock(bus->queueMutex);
            duePeers.swap(bus->scheduledPeers);
            for (auto *peer : duePeers) {
                peer->isScheduled = false;
            }
        }
        for (auto *peer : duePeers) {
            bus->sendQueuedMessages(*peer);
        }
    }

    /// Reconnects to peers with queued messages and sends them. Drops messages that have waited too long for a peer
    /// that is not connected.
    static void onRetryTimer(evutil_socket_t, short, void *context)
    {
        auto *bus = static_cast<Impl *>(context);
        std::vector<PeerQueue *> waiting;
        {
            const std::lock_guard lock(bus->queueMutex);
            for (auto &[key, peer] : bus->peers) {
                if (!peer->queue.empty()) {
                    waiting.push_back(peer.get());
                }
            }
        }
        for (auto *peer : waiting) {
            if (!peer->isConnected) {
                bus->dropExpired(*peer);
            }
            bus->sendQueuedMessages(*peer);
        }
    }

    void dropExpired(PeerQueue &peer)
    {
        const std::lock_guard lock(this->queueMutex);
        const auto minQueuedAt = this->clock.now() - Millis(AGATEDRUM_PEER_QUEUE_AGE_MS);
        while (!peer.queue.empty() && peer.queue.front().queuedAt < minQueuedAt) {
            peer.queuedBytes -= peer.queue.front().bytes;
            peer.queue.pop_front();
            this->counters.messagesDropped.fetch_add(1, std::memory_order_relaxed);
        }
    }

    void startLoop()
    {
        evthread_use_pthreads();
        this->eventBase = event_base_new();
        this->wakeUpEvent = event_new(this->eventBase, -1, EV_PERSIST, &Impl::onWakeUp, this);
        this->retryTimer = event_new(this->eventBase, -1, EV_PERSIST, &Impl::onRetryTimer, this);
        const timeval interval {0, 20000};
        event_add(this->retryTimer, &interval);
        this->loopThread = std::thread([this] { event_base_dispatch(this->eventBase); });
    }

    void startServer(Receiver receiver)
    {
        apache::thrift::GlobalOutput.setOutputFunction(
            [](const char *line) { log(LogLevel::Debug, component, "Thrift: {}.", line); });
        const auto handler = std::make_shared<DeliverHandler>(std::move(receiver), this->counters);
        const auto processor = std::make_shared<wire::PeerProcessor>(handler);
        const auto socket
            = std::make_shared<TNonblockingServerSocket>(this->options.address.host, this->options.address.port);
        this->server
            = std::make_shared<TNonblockingServer>(processor, std::make_shared<TCompactProtocolFactory>(), socket);
        this->server->setMaxFrameSize(maxFrameBytes);
        this->server->setNumIOThreads(static_cast<std::size_t>(this->options.serverThreads));
        const auto listening = std::make_shared<ListenSignal>();
        auto isListening = listening->listening.get_future();
        this->server->setServerEventHandler(listening);
        this->serverThread = std::thread([server = this->server, listening] {
            try {
                server->serve();
            } catch (const std::exception &) {
                listening->fail(std::current_exception());
            }
        });
        try {
            isListening.get();
        } catch (const std::exception &) {
            this->serverThread.join();
            this->server.reset();
            throw;
        }
    }

    bool isFlushed()
    {
        const std::lock_guard lock(this->queueMutex);
        for (const auto &[key, peer] : this->peers) {
            if (!peer->queue.empty()
                || (peer->isConnected && evbuffer_get_length(bufferevent_get_output(peer->connection)) > 0)) {
                return false;
            }
        }
        return true;
    }

    void stop(Millis maxFlushTime)
    {
        if (!this->isStarted) {
            return;
        }
        this->isStarted = false;
        const auto flushDeadline = this->clock.now() + maxFlushTime;
        while (this->clock.now() < flushDeadline && !this->isFlushed()) {
            std::this_thread::sleep_for(Millis(5));
        }
        if (this->server) {
            this->server->stop();
            this->serverThread.join();
        }
        // event_base_loopbreak() would have no effect before the loop has started, so an event makes the loop call it.
        this->isLoopStopRequested = true;
        event_active(this->wakeUpEvent, EV_TIMEOUT, 0);
        this->loopThread.join();
        {
            // Other threads, such as the thread of a store, may call send() until the core is destroyed.
            const std::lock_guard lock(this->queueMutex);
            this->isShutDown = true;
            event_free(this->wakeUpEvent);
            this->wakeUpEvent = nullptr;
        }
        for (auto &[key, peer] : this->peers) {
            if (peer->connection != nullptr) {
                bufferevent_free(peer->connection);
            }
        }
        event_free(this->retryTimer);
        event_base_free(this->eventBase);
    }
};

PeerBus::PeerBus(BusOptions options, const ClockI &clock, std::function<std::int64_t()> configNumber)
    : impl(std::make_unique<Impl>(std::move(options), clock, std::move(configNumber)))
{
}

PeerBus::~PeerBus()
{
    this->impl->stop(Millis(0));
}

void PeerBus::start(Receiver receiver)
{
    if (this->impl->options.address.port != 0) {
        try {
            this->impl->startServer(std::move(receiver));
        } catch (const std::exception &failure) {
            throw std::runtime_error(fmt::format("cannot listen on {}:{}: {}", this->impl->options.address.host,
                                                 this->impl->options.address.port, failure.what()));
        }
    }
    this->impl->startLoop();
    this->impl->isStarted = true;
}

void PeerBus::stop(Millis maxFlushTime)
{
    this->impl->stop(maxFlushTime);
}

void PeerBus::send(const wire::Endpoint &to, Payload payload)
{
    this->impl->enqueue(to, std::move(payload));
}

const BusCounters &PeerBus::counters() const
{
    return this->impl->counters;
}

} // namespace agatedrum
