#include "http_server_p.h"

#include "base_log_p.h"
#include "http_connection_p.h"
#include "http_router_p.h"

#include <pistache/endpoint.h>
#include <pistache/peer.h>

#include <condition_variable>
#include <map>
#include <thread>
#include <utility>

namespace agatedrum {

namespace {

constexpr Millis pendingWriteWait {100};
constexpr Micros pendingWriteStep {200};
constexpr auto part = "http";
constexpr std::chrono::milliseconds housekeepingInterval {250};
constexpr std::chrono::milliseconds closeStep {5};
constexpr int closeAttempts = 100; ///< stop() waits at most half a second for Pistache to close the connections
// Pistache's own timeouts would answer 408 to a request that waits for its job, so they are never reached.
constexpr std::chrono::hours unreachableTimeout {24 * 365};

/// Waits until the answering thread has noted that its write has ended, which it does a moment after the caller has
/// the answer. A write that Pistache has not begun stays pending, since this thread would be the one to do it.
bool haveWritesEnded(const WriteMark &mark)
{
    const auto until = std::chrono::steady_clock::now() + pendingWriteWait;
    while (mark.pendingWrites > 0 && std::chrono::steady_clock::now() < until) {
        std::this_thread::sleep_for(pendingWriteStep);
    }
    return mark.pendingWrites == 0;
}

/// Pistache's calls for the connections of one of its threads. Replaces Pistache's own reading and parsing.
class ConnectionHandler : public Pistache::Http::Handler
{
public:
    HTTP_PROTOTYPE(ConnectionHandler)

    explicit ConnectionHandler(std::shared_ptr<HttpShared> shared)
        : shared(std::move(shared))
    {
    }

    void onRequest(const Pistache::Http::Request & /*request*/, Pistache::Http::ResponseWriter /*response*/) override {
    }

private:
    void onConnection(const std::shared_ptr<Pistache::Tcp::Peer> &peer) override
    {
        // Pistache's check for idle connections reads this parser.
        peer->putData(ParserData, std::make_shared<Pistache::Http::RequestParser>(0));
        const auto connection = std::make_shared<HttpConnection>(this->shared, peer->fd(), *this->transport());
        peer->putData(connectionData, connection);
        const auto lastWrite = std::exchange(this->staleWrites[peer->fd()], {}).lock();
        const bool isStale = lastWrite && !haveWritesEnded(*lastWrite);
        connection->open(isStale);
    }

    void onInput(const char *buffer, size_t length, const std::shared_ptr<Pistache::Tcp::Peer> &peer) override
    {
        connectionOf(peer)->takeInput({buffer, length});
    }

    void onDisconnection(const std::shared_ptr<Pistache::Tcp::Peer> &peer) override
    {
        this->staleWrites[peer->fd()] = connectionOf(peer)->close();
    }

    static std::shared_ptr<HttpConnection> connectionOf(const std::shared_ptr<Pistache::Tcp::Peer> &peer)
    {
        return std::static_pointer_cast<HttpConnection>(peer->getData(connectionData));
    }

    static constexpr auto connectionData = "agatedrum";

    std::shared_ptr<HttpShared> shared;
    /// By descriptor: the last write to a connection that has gone, while Pistache may still hold it.
    std::map<int, std::weak_ptr<WriteMark>> staleWrites;
};

} // namespace

struct HttpServer::Impl
{
    explicit Impl(HttpServerOptions options)
        : shared(std::make_shared<HttpShared>(std::move(options)))
    {
    }

    void keepHouse();

    std::shared_ptr<HttpShared> shared;
    std::unique_ptr<Pistache::Http::Endpoint> endpoint;
    std::thread housekeeping;
    std::mutex mutex;
    std::condition_variable wake;
    bool mustEnd = false;
};

void HttpServer::Impl::keepHouse()
{
    std::unique_lock lock(this->mutex);
    while (!this->mustEnd) {
        this->wake.wait_for(lock, housekeepingInterval);
        lock.unlock();
        this->shared->closeIdle();
        lock.lock();
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
    this->impl->shared->router.add(method, pattern, std::move(handler));
}

void HttpServer::fallback(HttpHandler handler)
{
    this->impl->shared->router.setFallback(std::move(handler));
}

void HttpServer::setLimits(const HttpLimits &limits)
{
    this->impl->shared->setLimits(limits);
}

void HttpServer::start()
{
    const auto &options = this->impl->shared->options;
    const Pistache::Address address(options.address.host,
                                    Pistache::Port(static_cast<std::uint16_t>(options.address.port)));
    auto endpoint = std::make_unique<Pistache::Http::Endpoint>(address);
    endpoint->init(Pistache::Http::Endpoint::options()
                       .threads(options.threads)
                       .flags(Pistache::Tcp::Options::ReuseAddr | Pistache::Tcp::Options::NoDelay
                              | Pistache::Tcp::Options::CloseOnExec)
                       .headerTimeout(unreachableTimeout)
                       .bodyTimeout(unreachableTimeout)
                       .keepaliveTimeout(unreachableTimeout));
    endpoint->setHandler(std::make_shared<ConnectionHandler>(this->impl->shared));
    endpoint->serveThreaded();
    this->impl->endpoint = std::move(endpoint);
    this->impl->housekeeping = std::thread([this] { this->impl->keepHouse(); });
    log(LogLevel::Info, part, "listening on {}:{}", options.address.host, options.address.port);
}

void HttpServer::beginDrain()
{
    this->impl->shared->isDraining = true;
}

void HttpServer::beginStop()
{
    this->impl->shared->isStopping = true;
    this->impl->shared->closeIdle();
}

std::size_t HttpServer::openRequests() const
{
    return this->impl->shared->openRequests;
}

void HttpServer::stop()
{
    if (!this->impl->endpoint) {
        return;
    }
    {
        const std::lock_guard lock(this->impl->mutex);
        this->impl->mustEnd = true;
    }
    this->impl->wake.notify_all();
    this->impl->housekeeping.join();
    this->impl->shared->isStopping = true;
    this->impl->shared->abandonAll();
    // Pistache closes descriptors only while its threads run.
    for (int i = 0; i<closeAttempts &&this->impl->shared->connections> 0; ++i) {
        std::this_thread::sleep_for(closeStep);
    }
    this->impl->endpoint->shutdown();
    this->impl->endpoint.reset();
}

} // namespace agatedrum
