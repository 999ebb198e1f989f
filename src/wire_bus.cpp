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

constexpr auto part = "bus";
constexpr Millis firstRetryDelay {20};
constexpr Millis lastRetryDelay {500};
constexpr Millis connectTimeout {500};
constexpr std::size_t highWater = 1024UL * 1024; ///< bytes in a connection's buffer above which messages stay queued
constexpr std::size_t maxFrameBytes = AGATEDRUM_MAX_FRAME_BYTES;
constexpr std::size_t envelopeMessages = 512; ///< most messages in one envelope

/// After a partition TCP waits for seconds before it sends again, and a connection may go silent without a reset. A
/// connection that acknowledges nothing for the time limit is closed instead, and a new one is opened.
void setSocketOptions(evutil_socket_t socket)
{
    const int on = 1;
    const int probeSeconds = 1;
    const int probes = 2;
    const unsigned silentMs = AGATEDRUM_PEER_SILENT_MS;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &silentMs, sizeof(silentMs));
    setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &probeSeconds, sizeof(probeSeconds));
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &probeSeconds, sizeof(probeSeconds));
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
}

struct QueuedMessage
{
    Payload payload;
    Time since;
    std::size_t bytes = 0; ///< estimated once, when queued
};

/// Rough size of a message, for the bound of a queue.
std::size_t estimateBytes(const Payload &payload)
{
    std::size_t bytes = 256;
    if (const auto *batch = std::get_if<wire::StartBatch>(&payload)) {
        for (const auto &start : batch->starts) {
            bytes += 128 + start.body.size();
        }
    } else if (const auto *results = std::get_if<wire::ResultBatch>(&payload)) {
        for (const auto &result : results->results) {
            bytes += 128 + result.result.body.size();
        }
    } else if (const auto *submit = std::get_if<wire::SubmitJob>(&payload)) {
        for (const auto &task : submit->spec.tasks) {
            bytes += 64 + task.body.size();
        }
    } else if (const auto *reply = std::get_if<wire::JobReply>(&payload)) {
        for (const auto &result : reply->answer.results) {
            bytes += 64 + result.body.size();
        }
    } else if (const auto *append = std::get_if<wire::AppendEntries>(&payload)) {
        for (const auto &entry : append->entries) {
            bytes += 64 + entry.command.size();
        }
    }
    return bytes;
}

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
        auto copy = envelope;
        for (const auto &incoming : fromEnvelope(std::move(copy))) {
            this->counters.messagesReceived.fetch_add(1, std::memory_order_relaxed);
            this->receiver(incoming);
        }
    }

private:
    PeerBus::Receiver receiver;
    BusCounters &counters;
};

/// Tells the starting thread that the server listens, or why it does not.
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
    /// Connection and queue of one peer. The queue is guarded by queueMutex, the rest belongs to the loop's thread.
    struct PeerQueue
    {
        wire::Endpoint to;
        std::deque<QueuedMessage> queue;
        std::size_t queuedBytes = 0;
        bool isScheduled = false; ///< on the list of peers that the loop will look at
        bufferevent *connection = nullptr;
        bool isConnected = false;
        Millis retryDelay = firstRetryDelay;
        Time retryAt;
        Impl *bus = nullptr;
    };

    BusOptions options;
    const ClockI &clock;
    std::function<std::int64_t()> configNumber;
    BusCounters counters;

    std::mutex queueMutex;
    std::map<std::pair<std::string, int>, std::unique_ptr<PeerQueue>> peers;
    std::vector<PeerQueue *> scheduled;

    event_base *base = nullptr;
    event *wakeUp = nullptr;
    event *retryTimer = nullptr;
    std::thread loopThread;
    std::shared_ptr<TNonblockingServer> server;
    std::thread serverThread;
    bool isStarted = false;
    bool isEnded = false; ///< stop() has begun to end the threads; guarded by queueMutex
    std::atomic<bool> isLoopEnding {false};

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
                peer->to = to;
                peer->bus = this;
            }
            if (this->isEnded || peer->queuedBytes + bytes > AGATEDRUM_PEER_QUEUE_BYTES) {
                this->counters.messagesDropped.fetch_add(1, std::memory_order_relaxed);
                return;
            }
            peer->queue.push_back({std::move(payload), this->clock.now(), bytes});
            peer->queuedBytes += bytes;
            if (!peer->isScheduled) {
                peer->isScheduled = true;
                this->scheduled.push_back(peer.get());
                // Under the lock, because stop() frees the event.
                if (this->scheduled.size() == 1 && this->wakeUp != nullptr) {
                    event_active(this->wakeUp, EV_TIMEOUT, 0);
                }
            }
        }
    }

    /// Takes what may go into one envelope now. Drops what has waited too long.
    /// @param isAnyLeft set to whether more messages wait.
    std::vector<wire::Message> takeMessages(PeerQueue &peer, bool &isAnyLeft)
    {
        std::vector<QueuedMessage> taken;
        {
            const std::lock_guard lock(this->queueMutex);
            const auto oldest = this->clock.now() - Millis(AGATEDRUM_PEER_QUEUE_AGE_MS);
            std::size_t bytes = 0;
            while (!peer.queue.empty() && taken.size() < envelopeMessages && bytes < highWater) {
                auto &next = peer.queue.front();
                peer.queuedBytes -= next.bytes;
                if (next.since < oldest) {
                    this->counters.messagesDropped.fetch_add(1, std::memory_order_relaxed);
                } else {
                    bytes += next.bytes;
                    taken.push_back(std::move(next));
                }
                peer.queue.pop_front();
            }
            isAnyLeft = !peer.queue.empty();
        }
        std::vector<wire::Message> messages;
        messages.reserve(taken.size());
        for (auto &message : taken) {
            if (this->options.mayLeave(message.payload)) {
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
        const auto memory = std::make_shared<TMemoryBuffer>();
        const auto protocol = std::make_shared<TCompactProtocolT<TMemoryBuffer>>(memory);
        wire::PeerClient client(protocol);
        client.send_deliver(envelope);
        std::uint8_t *data = nullptr;
        std::uint32_t size = 0;
        memory->getBuffer(&data, &size);
        const std::uint32_t frame = htonl(size);
        bufferevent_write(peer.connection, &frame, sizeof(frame));
        bufferevent_write(peer.connection, data, size);
        this->counters.messagesSent.fetch_add(envelope.messages.size(), std::memory_order_relaxed);
        this->counters.envelopesSent.fetch_add(1, std::memory_order_relaxed);
        this->counters.bytesSent.fetch_add(size + sizeof(frame), std::memory_order_relaxed);
    }

    void drain(PeerQueue &peer)
    {
        if (!peer.isConnected) {
            this->connectPeer(peer);
            return;
        }
        while (evbuffer_get_length(bufferevent_get_output(peer.connection)) < highWater) {
            bool isAnyLeft = false;
            auto messages = this->takeMessages(peer, isAnyLeft);
            if (!messages.empty()) {
                this->writeEnvelope(peer, std::move(messages));
            }
            if (!isAnyLeft) {
                return;
            }
        }
    }

    void connectPeer(PeerQueue &peer)
    {
        if (peer.connection != nullptr || this->clock.now() < peer.retryAt) {
            return;
        }
        peer.connection = bufferevent_socket_new(this->base, -1, BEV_OPT_CLOSE_ON_FREE);
        bufferevent_setcb(peer.connection, nullptr, &Impl::onWritable, &Impl::onEvent, &peer);
        bufferevent_enable(peer.connection, EV_READ | EV_WRITE);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(peer.to.port));
        const auto isAddress = inet_pton(AF_INET, peer.to.host.c_str(), &address.sin_addr) == 1;
        if (!isAddress
            || bufferevent_socket_connect(peer.connection, reinterpret_cast<sockaddr *>(&address), sizeof(address))
                != 0) {
            this->closePeer(peer);
            return;
        }
        const timeval timeout {0, std::chrono::duration_cast<Micros>(connectTimeout).count()};
        bufferevent_set_timeouts(peer.connection, nullptr, &timeout);
    }

    void closePeer(PeerQueue &peer)
    {
        if (peer.connection != nullptr) {
            bufferevent_free(peer.connection);
        }
        peer.connection = nullptr;
        peer.isConnected = false;
        peer.retryAt = this->clock.now() + peer.retryDelay;
        peer.retryDelay = std::min(peer.retryDelay * 2, lastRetryDelay);
    }

    static void onWritable(bufferevent *, void *context)
    {
        auto *peer = static_cast<PeerQueue *>(context);
        if (peer->isConnected) {
            peer->bus->drain(*peer);
        }
    }

    static void onEvent(bufferevent *connection, short what, void *context)
    {
        auto *peer = static_cast<PeerQueue *>(context);
        if ((what & BEV_EVENT_CONNECTED) != 0) {
            setSocketOptions(bufferevent_getfd(connection));
            bufferevent_set_timeouts(connection, nullptr, nullptr);
            peer->isConnected = true;
            peer->retryDelay = firstRetryDelay;
            peer->bus->drain(*peer);
            return;
        }
        log(LogLevel::Debug, part, "Connection to {}:{} ended.", peer->to.host, peer->to.port);
        peer->bus->closePeer(*peer);
    }

    static void onWakeUp(evutil_socket_t, short, void *context)
    {
        auto *bus = static_cast<Impl *>(context);
        if (bus->isLoopEnding) {
            event_base_loopbreak(bus->base);
            return;
        }
        std::vector<PeerQueue *> due;
        {
            const std::lock_guard lock(bus->queueMutex);
            due.swap(bus->scheduled);
            for (auto *peer : due) {
                peer->isScheduled = false;
            }
        }
        for (auto *peer : due) {
            bus->drain(*peer);
        }
    }

    /// Connects again to peers for which messages wait, and drops messages that are too old.
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
                bus->dropOld(*peer);
            }
            bus->drain(*peer);
        }
    }

    void dropOld(PeerQueue &peer)
    {
        const std::lock_guard lock(this->queueMutex);
        const auto oldest = this->clock.now() - Millis(AGATEDRUM_PEER_QUEUE_AGE_MS);
        while (!peer.queue.empty() && peer.queue.front().since < oldest) {
            peer.queuedBytes -= peer.queue.front().bytes;
            peer.queue.pop_front();
            this->counters.messagesDropped.fetch_add(1, std::memory_order_relaxed);
        }
    }

    void startLoop()
    {
        evthread_use_pthreads();
        this->base = event_base_new();
        this->wakeUp = event_new(this->base, -1, EV_PERSIST, &Impl::onWakeUp, this);
        this->retryTimer = event_new(this->base, -1, EV_PERSIST, &Impl::onRetryTimer, this);
        const timeval interval {0, 20000};
        event_add(this->retryTimer, &interval);
        this->loopThread = std::thread([this] { event_base_dispatch(this->base); });
    }

    void startServer(Receiver receiver)
    {
        apache::thrift::GlobalOutput.setOutputFunction(
            [](const char *line) { log(LogLevel::Debug, part, "Thrift: {}.", line); });
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

    void stop(Millis flushFor)
    {
        if (!this->isStarted) {
            return;
        }
        this->isStarted = false;
        const auto until = this->clock.now() + flushFor;
        while (this->clock.now() < until && !this->isFlushed()) {
            std::this_thread::sleep_for(Millis(5));
        }
        if (this->server) {
            this->server->stop();
            this->serverThread.join();
        }
        // A break asked for before the loop has begun would be forgotten, so the loop breaks itself.
        this->isLoopEnding = true;
        event_active(this->wakeUp, EV_TIMEOUT, 0);
        this->loopThread.join();
        {
            // Other threads, such as that of a store, may send until the core is destroyed.
            const std::lock_guard lock(this->queueMutex);
            this->isEnded = true;
            event_free(this->wakeUp);
            this->wakeUp = nullptr;
        }
        for (auto &[key, peer] : this->peers) {
            if (peer->connection != nullptr) {
                bufferevent_free(peer->connection);
            }
        }
        event_free(this->retryTimer);
        event_base_free(this->base);
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

void PeerBus::stop(Millis flushFor)
{
    this->impl->stop(flushFor);
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
