#include "http_server_p.h"

#include "base_log_p.h"
#include "http_connection_p.h"
#include "http_router_p.h"

#include <pistache/endpoint.h>
#include <pistache/peer.h>

#include <atomic>
#include <chrono>
#include <map>
#include <thread>
#include <utility>

namespace agatedrum {

namespace {

constexpr Millis maxPendingWriteWait {100};
constexpr Micros pendingWritePollInterval {200};
constexpr auto component = "http";
constexpr std::chrono::milliseconds housekeepingInterval {250};
constexpr std::chrono::milliseconds closePollInterval {5};
constexpr int maxClosePolls = 100; ///< stop() waits at most 0.5 s for Pistache to close the connections
// Pistache's own timeouts would answer 408 to a request that waits for its job, so they are set too long to be reached.
constexpr std::chrono::hours disabledTimeout {24 * 365};

/// Waits for at most maxPendingWriteWait until the pending writes have ended. The answering thread records the end of
/// its write shortly after the caller has received the response. A write that Pistache has not started stays pending,
/// because the calling thread is the one that would perform it.
/// @return whether no write is pending.
bool waitForPendingWrites(const WriteTracker &tracker)
{
    const auto deadline = std::chrono::steady_clock::now() + maxPendingWriteWait;
    while (tracker.pendingWrites > 0 && std::chrono::steady_clock::now() < deadline) {
        std::this_thread::sleep_for(pendingWritePollInterval);
    }
    return tracker.pendingWrites == 0;
}

/// Handles the connections of one Pistache thread. Replaces Pistache's own reading and parsing.
class ConnectionHandler : public Pistache::Http::Handler
{
public:
    HTTP_PROTOTYPE(ConnectionHandler)

    explicit ConnectionHandler(std::shared_ptr<HttpServerState> serverState)
        : serverState(std::move(serverState))
    {
    }

    void onRequest(const Pistache::Http::Request & /*request*/, Pistache::Http::ResponseWriter /*response*/) override {
    }

private:
    void onConnection(const std::shared_ptr<Pistache::Tcp::Peer> &peer) override
    {
        // Pistache's check for idle connections reads this parser.
        peer->putData(ParserData, std::make_shared<Pistache::Http::RequestParser>(0));
        const auto connection = std::make_shared<HttpConnection>(this->serverState, peer->fd(), *this->transport());
        peer->putData(connectionDataKey, connection);
        const auto lastWrite = std::exchange(this->previousWrites[peer->fd()], {}).lock();
        const bool isDescriptorInUse = lastWrite && !waitForPendingWrites(*lastWrite);
        connection->open(isDescriptorInUse);
    }

    void onInput(const char *buffer, size_t length, const std::shared_ptr<Pistache::Tcp::Peer> &peer) override
    {
        connectionOf(peer)->handleInput({buffer, length});
    }

    void onDisconnection(const std::shared_ptr<Pistache::Tcp::Peer> &peer) override
    {
        this->previousWrites[peer->fd()] = connectionOf(peer)->close();
    }

    static std::shared_ptr<HttpConnection> connectionOf(const std::shared_ptr<Pistache::Tcp::Peer> &peer)
    {
        return std::static_pointer_cast<HttpConnection>(peer->getData(connectionDataKey));
    }

    static constexpr auto connectionDataKey = "agatedrum";

    std::shared_ptr<HttpServerState> serverState;
    /// By descriptor: the last write of the connection that used it before, which Pistache may still hold.
    std::map<int, std::weak_ptr<WriteTracker>> previousWrites;
};

} // namespace

struct HttpServer::Impl
{
    explicit Impl(HttpServerOptions options)
        : serverState(std::make_shared<HttpServerState>(std::move(options)))
    {
    }

    void runHousekeeping();

    std::shared_ptr<HttpServerState> serverState;
    std::unique_ptr<Pistache::Http::Endpoint> endpoint;
    std::thread housekeepingThread;
    std::atomic<bool> mustEnd {false};
};

void HttpServer::Impl::runHousekeeping()
{
    auto closedIdleAt = std::chrono::steady_clock::now();
    while (!this->mustEnd) {
        this->serverState->dispatchDeferred(housekeepingInterval);
        const auto now = std::chrono::steady_clock::now();
        if (now - closedIdleAt >= housekeepingInterval) {
            closedIdleAt = now;
            this->serverState->closeIdle();
        }
    }
}

HttpServer::HttpServer(HttpServerOptions options)
    : impl(std::make_unique<Impl>(std::move(options)))
{
}

HttpServer::~HttpServer()
{
    this->stop();
}

void HttpServer::route(const std::string &method, const std::string &pattern, HttpHandler handler)
{
    this->impl->serverState->router.add(method, pattern, std::move(handler));
}

void HttpServer::setFallback(HttpHandler handler)
{
    this->impl->serverState->router.setFallback(std::move(handler));
}

void HttpServer::setLimits(const HttpLimits &limits)
{
    this->impl->serverState->setLimits(limits);
}

void HttpServer::start()
{
    const auto &options = this->impl->serverState->options;
    const Pistache::Address address(options.address.host,
                                    Pistache::Port(static_cast<std::uint16_t>(options.address.port)));
    auto endpoint = std::make_unique<Pistache::Http::Endpoint>(address);
    endpoint->init(Pistache::Http::Endpoint::options()
                       .threads(options.threads)
                       .flags(Pistache::Tcp::Options::ReuseAddr | Pistache::Tcp::Options::NoDelay
                              | Pistache::Tcp::Options::CloseOnExec)
                       .headerTimeout(disabledTimeout)
                       .bodyTimeout(disabledTimeout)
                       .keepaliveTimeout(disabledTimeout));
    endpoint->setHandler(std::make_shared<ConnectionHandler>(this->impl->serverState));
    endpoint->serveThreaded();
    this->impl->endpoint = std::move(endpoint);
    this->impl->housekeepingThread = std::thread([this] { this->impl->runHousekeeping(); });
    log(LogLevel::Info, component, "listening on {}:{}", options.address.host, options.address.port);
}

void HttpServer::beginDrain()
{
    this->impl->serverState->isDraining = true;
}

void HttpServer::beginStop()
{
    this->impl->serverState->isStopping = true;
    this->impl->serverState->closeIdle();
}

std::size_t HttpServer::openRequests() const
{
    return this->impl->serverState->openRequests;
}

void HttpServer::stop()
{
    if (!this->impl->endpoint) {
        return;
    }
    this->impl->mustEnd = true;
    this->impl->serverState->wake();
    this->impl->housekeepingThread.join();
    this->impl->serverState->isStopping = true;
    this->impl->serverState->forceCloseAll();
    // Pistache closes descriptors only while its threads run.
    for (int i = 0; i<maxClosePolls &&this->impl->serverState->connections> 0; ++i) {
        std::this_thread::sleep_for(closePollInterval);
    }
    this->impl->endpoint->shutdown();
    this->impl->endpoint.reset();
}

} // namespace agatedrum
