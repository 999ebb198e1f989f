#include "http_connection_p.h"

#include "base_event_p.h"
#include "base_log_p.h"

#include <fmt/format.h>
#include <pistache/peer.h>

#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <thread>
#include <utility>

namespace agatedrum {

namespace {

constexpr auto component = "http";
// Time that a caller has to read the last response and to close the connection before the server closes it.
constexpr std::chrono::seconds lingerTime {2};
// Connections above the limit that may stay open until the caller has read its refusal: one eighth of the limit.
constexpr std::size_t refusedConnectionsDivisor = 8;
// Responses are written in chunks, because Pistache copies the whole rest of a write each time the socket is full, and
// a socket with a small window is full after every few kilobytes.
constexpr std::size_t writeChunkBytes = 16UL * 1024;

/// Returns the response as HTTP/1.1 bytes.
std::string serialize(const HttpResponse &response, bool mustClose)
{
    const auto *reasonPhrase = Pistache::Http::codeString(static_cast<Pistache::Http::Code>(response.status));
    auto bytes = fmt::format("HTTP/1.1 {} {}\r\nContent-Type: {}\r\nContent-Length: {}\r\n", response.status,
                             reasonPhrase, response.contentType, response.body.size());
    if (response.retryAfterSeconds > 0) {
        bytes += fmt::format("Retry-After: {}\r\n", response.retryAfterSeconds);
    }
    if (!response.location.empty()) {
        bytes += fmt::format("Location: {}\r\n", response.location);
    }
    bytes += mustClose ? "Connection: close\r\n\r\n" : "\r\n";
    bytes += response.body;
    return bytes;
}

FramerLimits framerLimits(const HttpLimits &limits)
{
    FramerLimits result;
    result.maxHeaderBytes = limits.maxHeaderBytes;
    result.maxBodyBytes = limits.maxBodyBytes;
    return result;
}

HttpResponse errorResponse(const FrameError &error)
{
    return httpRefusal(error.status, "INVALID", error.message);
}

} // namespace

HttpServerState::HttpServerState(HttpServerOptions options)
    : options(std::move(options))
    , currentLimits(this->options.limits)
{
}

void HttpServerState::setLimits(const HttpLimits &limits)
{
    const std::lock_guard lock(this->limitsMutex);
    this->currentLimits = limits;
}

HttpLimits HttpServerState::limits() const
{
    const std::lock_guard lock(this->limitsMutex);
    return this->currentLimits;
}

void HttpServerState::closeIdle()
{
    const auto limits = this->limits();
    const auto now = std::chrono::steady_clock::now();
    const std::lock_guard lock(this->mutex);
    for (auto *connection : this->openConnections) {
        connection->closeIfIdle(now, limits);
    }
}

void HttpServerState::forceCloseAll()
{
    const std::lock_guard lock(this->mutex);
    for (auto *connection : this->openConnections) {
        connection->forceClose();
    }
}

void HttpServerState::deferDispatch(std::weak_ptr<HttpConnection> connection)
{
    {
        const std::lock_guard lock(this->deferredMutex);
        this->deferred.push_back(std::move(connection));
    }
    this->deferredChanged.notify_all();
}

void HttpServerState::dispatchDeferred(std::chrono::milliseconds maxWait)
{
    std::vector<std::weak_ptr<HttpConnection>> connections;
    {
        std::unique_lock lock(this->deferredMutex);
        this->deferredChanged.wait_for(lock, maxWait, [this] { return this->isWoken || !this->deferred.empty(); });
        connections.swap(this->deferred);
    }
    for (const auto &connection : connections) {
        if (const auto locked = connection.lock()) {
            locked->dispatchNext();
        }
    }
}

void HttpServerState::wake()
{
    {
        const std::lock_guard lock(this->deferredMutex);
        this->isWoken = true;
    }
    this->deferredChanged.notify_all();
}

WriteTracker::WriteTracker(std::shared_ptr<HttpServerState> serverState)
    : serverState(std::move(serverState))
{
    ++this->serverState->openRequests;
}

WriteTracker::~WriteTracker()
{
    --this->serverState->openRequests;
}

/// Answers one request: the first call of answer() is sent, later calls are ignored. If the request is dropped
/// unanswered, the destructor sends status 500.
struct HttpConnection::Responder
{
    Responder(std::shared_ptr<HttpConnection> connection, bool closeAfter)
        : connection(std::move(connection))
        , tracker(std::make_shared<WriteTracker>(this->connection->serverState))
        , closeAfter(closeAfter)
    {
    }
    ~Responder()
    {
        try {
            this->answer(httpRefusal(500, "INTERNAL", "the request was dropped without a response"));
        } catch (const std::exception &failure) {
            this->connection->forceClose();
        }
    }
    Responder(const Responder &) = delete;
    Responder &operator=(const Responder &) = delete;

    void answer(const HttpResponse &response)
    {
        if (!this->isAnswered.exchange(true)) {
            this->connection->write(response, this->tracker, this->closeAfter);
            this->tracker.reset();
        }
    }

    std::shared_ptr<HttpConnection> connection;
    std::shared_ptr<WriteTracker> tracker;
    const bool closeAfter;
    std::atomic<bool> isAnswered {false};
};

HttpConnection::HttpConnection(std::shared_ptr<HttpServerState> serverState, int descriptor,
                               Pistache::Tcp::Transport &transport)
    : serverState(std::move(serverState))
    , descriptor(descriptor)
    , transport(transport)
    , framer(framerLimits(this->serverState->limits()))
    , lastActivity(std::chrono::steady_clock::now())
{
}

HttpConnection::~HttpConnection()
{
    this->close();
}

void HttpConnection::open(bool isDescriptorInUse)
{
    std::size_t openCount = 0;
    {
        const std::lock_guard lock(this->serverState->mutex);
        this->serverState->openConnections.insert(this);
        openCount = this->serverState->openConnections.size();
    }
    if (isDescriptorInUse || this->serverState->isStopping) {
        log(LogLevel::Debug, component, "connection closed: {}",
            isDescriptorInUse ? "a write of the previous connection on its descriptor is pending"
                              : "the server is stopping");
        this->forceClose();
        return;
    }
    const auto maxConnections = static_cast<std::size_t>(this->serverState->options.maxConnections);
    if (openCount > maxConnections + maxConnections / refusedConnectionsDivisor + 1) {
        this->forceClose();
    } else if (++this->serverState->connections > this->serverState->options.maxConnections) {
        --this->serverState->connections;
        this->refuse();
    } else {
        this->isAccepted = true;
    }
}

void HttpConnection::refuse()
{
    {
        const std::lock_guard lock(this->mutex);
        this->isResponsePending = true;
    }
    auto response = httpRefusal(503, "QUEUE_FULL", "too many connections to this entry");
    response.retryAfterSeconds = 1;
    this->write(response, std::make_shared<WriteTracker>(this->serverState), true);
}

void HttpConnection::handleInput(std::string_view bytes)
{
    {
        const std::lock_guard lock(this->mutex);
        this->lastActivity = std::chrono::steady_clock::now();
        if (this->isClosing) {
            return;
        }
        this->framer.setLimits(framerLimits(this->serverState->limits()));
        if (this->framer.isEmpty()) {
            this->headStartedAt = this->lastActivity;
        }
        this->framer.feed(bytes);
    }
    this->dispatchNext();
}

std::weak_ptr<WriteTracker> HttpConnection::close()
{
    {
        const std::lock_guard lock(this->serverState->mutex);
        if (this->serverState->openConnections.erase(this) > 0 && this->isAccepted) {
            --this->serverState->connections;
        }
    }
    const std::lock_guard lock(this->mutex);
    this->isOpen = false;
    return this->lastWrite;
}

bool HttpConnection::isDisconnected()
{
    const std::lock_guard lock(this->mutex);
    return !this->isOpen;
}

void HttpConnection::closeIfIdle(std::chrono::steady_clock::time_point now, const HttpLimits &limits)
{
    const std::lock_guard lock(this->mutex);
    if (!this->isOpen || this->isResponsePending) {
        return;
    }
    const auto limit = this->isClosing ? std::chrono::milliseconds(lingerTime) : limits.idleTimeout;
    const bool isHeadTimedOut = this->framer.isReadingHead() && now - this->headStartedAt > limits.headerTimeout;
    if (isHeadTimedOut || now - this->lastActivity > limit || (this->serverState->isStopping && this->hasNoInput())) {
        ::shutdown(this->descriptor, SHUT_RDWR);
    }
}

bool HttpConnection::hasNoInput() const
{
    int unreadBytes = 0;
    return !this->isClosing && this->framer.isEmpty() && ::ioctl(this->descriptor, FIONREAD, &unreadBytes) == 0
        && unreadBytes == 0;
}

void HttpConnection::forceClose()
{
    const std::lock_guard lock(this->mutex);
    if (this->isOpen) {
        ::shutdown(this->descriptor, SHUT_RDWR);
        this->isOpen = false;
    }
}

void HttpConnection::dispatchNext()
{
    while (this->dispatchOne()) {
    }
}

bool HttpConnection::dispatchOne()
{
    std::unique_lock lock(this->mutex);
    if (!this->isOpen || this->isResponsePending || this->isClosing) {
        return false;
    }
    auto next = this->framer.next();
    if (std::holds_alternative<FrameIncomplete>(next)) {
        if (this->framer.takeContinueExpected()) {
            this->sendContinue();
        }
        return false;
    }
    this->isResponsePending = true;
    lock.unlock();
    if (const auto *error = std::get_if<FrameError>(&next)) {
        this->write(errorResponse(*error), std::make_shared<WriteTracker>(this->serverState), true);
    } else {
        this->dispatch(std::get<FramedRequest>(std::move(next)));
    }
    return true;
}

bool HttpConnection::hasCallerClosed()
{
    const std::lock_guard lock(this->mutex);
    pollfd state {this->descriptor, POLLRDHUP, 0};
    return !this->isOpen || ::poll(&state, 1, 0) > 0;
}

void HttpConnection::dispatch(FramedRequest &&framed)
{
    // After a freeze, requests are read whose callers gave up long ago and may have submitted the job elsewhere.
    if (this->serverState->options.dropsAbandonedRequests && this->hasCallerClosed()) {
        logEvent(component, "request_abandoned", {{"method", framed.method}, {"target", framed.target}});
        this->forceClose();
        return;
    }
    const auto responder = std::make_shared<Responder>(this->shared_from_this(), framed.closeAfter);
    auto found = this->serverState->router.find(std::move(framed));
    if (const auto *refusal = std::get_if<HttpResponse>(&found)) {
        responder->answer(*refusal);
        return;
    }
    auto &match = std::get<HttpRouter::Match>(found);
    match.request.isCallerDisconnected = [connection = this->weak_from_this()] {
        const auto locked = connection.lock();
        return !locked || locked->isDisconnected();
    };
    try {
        (*match.handler)(match.request, [responder](const HttpResponse &response) { responder->answer(response); });
    } catch (const std::exception &failure) {
        log(LogLevel::Error, component, "{} {}: {}", match.request.method, match.request.path, failure.what());
        responder->answer(httpRefusal(500, "INTERNAL", "the request handler failed"));
    }
}

void HttpConnection::write(const HttpResponse &response, const std::shared_ptr<WriteTracker> &tracker, bool closeAfter)
{
    const bool mustClose = closeAfter || this->serverState->isStopping || this->serverState->isDraining;
    this->writeChunk(std::make_shared<const std::string>(serialize(response, mustClose)), 0, tracker, mustClose);
}

void HttpConnection::writeChunk(const std::shared_ptr<const std::string> &bytes, std::size_t offset,
                                const std::shared_ptr<WriteTracker> &tracker, bool mustClose)
{
    const auto size = std::min(writeChunkBytes, bytes->size() - offset);
    std::unique_lock lock(this->mutex);
    // While isOpen is true, Pistache has not closed the descriptor, so the write cannot reach another caller.
    if (!this->isOpen) {
        return;
    }
    this->lastWrite = tracker;
    ++tracker->pendingWrites;
    // ResponseWriter::send() is not used: it resolves the returned promise without taking the promise's lock, so a
    // callback that another thread attaches may never be called.
    auto written
        = this->transport.asyncWrite(this->descriptor, Pistache::RawBuffer(bytes->data() + offset, size), MSG_NOSIGNAL);
    // If the write has already ended, then() runs the callback at once on this thread, which locks the mutex again.
    lock.unlock();
    const auto self = this->shared_from_this();
    const auto nextOffset = offset + size;
    const auto thread = std::this_thread::get_id();
    // The callback may outlive this call, so it compares threads only while the flag is set.
    const auto isAttaching = std::make_shared<std::atomic<bool>>(true);
    const auto isAnswering = [isAttaching, thread] { return *isAttaching && std::this_thread::get_id() == thread; };
    written.then(
        [self, bytes, nextOffset, tracker, mustClose, isAnswering](ssize_t) {
            --tracker->pendingWrites;
            if (nextOffset < bytes->size()) {
                self->writeChunk(bytes, nextOffset, tracker, mustClose);
            } else {
                self->finishWrite(true, mustClose, isAnswering());
            }
        },
        [self, tracker, isAnswering](const std::exception_ptr &) {
            --tracker->pendingWrites;
            self->finishWrite(false, true, isAnswering());
        });
    *isAttaching = false;
}

void HttpConnection::finishWrite(bool isWritten, bool closeAfter, bool isAnswering)
{
    bool hasInput = false;
    {
        const std::lock_guard lock(this->mutex);
        this->isResponsePending = false;
        this->isClosing = closeAfter;
        hasInput = !this->framer.isEmpty();
        this->lastActivity = std::chrono::steady_clock::now();
        if (closeAfter && this->isOpen) {
            // Only the sending side is shut down: closing with unread bytes would reset the connection before the
            // caller has read the response.
            ::shutdown(this->descriptor, isWritten ? SHUT_WR : SHUT_RDWR);
        }
    }
    // The next request must not be handled within the answer to this one: its handler may take a lock that the
    // answering thread holds.
    if (!isAnswering) {
        this->dispatchNext();
    } else if (hasInput) {
        this->serverState->deferDispatch(this->weak_from_this());
    }
}

void HttpConnection::sendContinue()
{
    static const std::string continueResponse = "HTTP/1.1 100 Continue\r\n\r\n";
    const auto tracker = std::make_shared<WriteTracker>(this->serverState);
    this->lastWrite = tracker;
    ++tracker->pendingWrites;
    this->transport
        .asyncWrite(this->descriptor, Pistache::RawBuffer(continueResponse, continueResponse.size()), MSG_NOSIGNAL)
        .then([tracker](ssize_t) { --tracker->pendingWrites; },
              [tracker](const std::exception_ptr &) { --tracker->pendingWrites; });
}

} // namespace agatedrum
