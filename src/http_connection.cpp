#include "http_connection_p.h"

#include "base_log_p.h"

#include <fmt/format.h>
#include <pistache/peer.h>

#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace agatedrum {

namespace {

constexpr auto part = "http";
// After the last answer, the caller gets this long to read it and to close.
constexpr std::chrono::seconds lingerTime {2};
// Connections above the bound that may wait to read their refusal, as a share of the bound: an eighth.
constexpr std::size_t refusedShare = 8;
// Pistache copies all that is left of a write each time the socket is full.
constexpr std::size_t sliceBytes = 256UL * 1024;

/// The bytes of an answer.
std::string serialize(const HttpResponse &response, bool mustClose)
{
    const auto *reason = Pistache::Http::codeString(static_cast<Pistache::Http::Code>(response.status));
    auto bytes = fmt::format("HTTP/1.1 {} {}\r\nContent-Type: {}\r\nContent-Length: {}\r\n", response.status, reason,
                             response.contentType, response.body.size());
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

HttpResponse faultResponse(const FrameFault &fault)
{
    return httpRefusal(fault.status, "INVALID", fault.message);
}

} // namespace

HttpShared::HttpShared(HttpServerOptions options)
    : options(std::move(options))
    , currentLimits(this->options.limits)
{
}

void HttpShared::setLimits(const HttpLimits &limits)
{
    const std::lock_guard lock(this->limitsMutex);
    this->currentLimits = limits;
}

HttpLimits HttpShared::limits() const
{
    const std::lock_guard lock(this->limitsMutex);
    return this->currentLimits;
}

void HttpShared::closeIdle()
{
    const auto limits = this->limits();
    const auto now = std::chrono::steady_clock::now();
    const std::lock_guard lock(this->mutex);
    for (auto *connection : this->open) {
        connection->closeIfIdle(now, limits);
    }
}

void HttpShared::abandonAll()
{
    const std::lock_guard lock(this->mutex);
    for (auto *connection : this->open) {
        connection->abandon();
    }
}

WriteMark::WriteMark(std::shared_ptr<HttpShared> shared)
    : shared(std::move(shared))
{
    ++this->shared->openRequests;
}

WriteMark::~WriteMark()
{
    --this->shared->openRequests;
}

/// Right to answer one request once.
struct HttpConnection::Ticket
{
    Ticket(std::shared_ptr<HttpConnection> connection, bool closeAfter)
        : connection(std::move(connection))
        , mark(std::make_shared<WriteMark>(this->connection->shared))
        , closeAfter(closeAfter)
    {
    }
    ~Ticket()
    {
        try {
            this->answer(httpRefusal(500, "INTERNAL", "the request was dropped without an answer"));
        } catch (const std::exception &failure) {
            this->connection->abandon();
        }
    }
    Ticket(const Ticket &) = delete;
    Ticket &operator=(const Ticket &) = delete;

    void answer(const HttpResponse &response)
    {
        if (!this->isAnswered.exchange(true)) {
            this->connection->write(response, this->mark, this->closeAfter);
            this->mark.reset();
        }
    }

    std::shared_ptr<HttpConnection> connection;
    std::shared_ptr<WriteMark> mark;
    const bool closeAfter;
    std::atomic<bool> isAnswered {false};
};

HttpConnection::HttpConnection(std::shared_ptr<HttpShared> shared, int descriptor, Pistache::Tcp::Transport &transport)
    : shared(std::move(shared))
    , descriptor(descriptor)
    , transport(transport)
    , framer(framerLimits(this->shared->limits()))
    , lastActivity(std::chrono::steady_clock::now())
{
}

HttpConnection::~HttpConnection()
{
    this->close();
}

void HttpConnection::open(bool isStale)
{
    std::size_t openConnections = 0;
    {
        const std::lock_guard lock(this->shared->mutex);
        this->shared->open.insert(this);
        openConnections = this->shared->open.size();
    }
    if (isStale || this->shared->isStopping) {
        log(LogLevel::Debug, part, "connection ended: {}", isStale ? "descriptor still in use" : "stopping");
        this->abandon();
        return;
    }
    const auto bound = static_cast<std::size_t>(this->shared->options.maxConnections);
    if (openConnections > bound + bound / refusedShare + 1) {
        this->abandon();
    } else if (++this->shared->connections > this->shared->options.maxConnections) {
        --this->shared->connections;
        this->refuse();
    } else {
        this->isCounted = true;
    }
}

void HttpConnection::refuse()
{
    {
        const std::lock_guard lock(this->mutex);
        this->isBusy = true;
    }
    auto response = httpRefusal(503, "QUEUE_FULL", "too many connections to this entry");
    response.retryAfterSeconds = 1;
    this->write(response, std::make_shared<WriteMark>(this->shared), true);
}

void HttpConnection::takeInput(std::string_view bytes)
{
    {
        const std::lock_guard lock(this->mutex);
        this->lastActivity = std::chrono::steady_clock::now();
        if (this->isClosing) {
            return;
        }
        this->framer.setLimits(framerLimits(this->shared->limits()));
        if (this->framer.isEmpty()) {
            this->headBegan = this->lastActivity;
        }
        this->framer.feed(bytes);
    }
    this->passOn();
}

std::weak_ptr<WriteMark> HttpConnection::close()
{
    {
        const std::lock_guard lock(this->shared->mutex);
        if (this->shared->open.erase(this) > 0 && this->isCounted) {
            --this->shared->connections;
        }
    }
    const std::lock_guard lock(this->mutex);
    this->isAlive = false;
    return this->lastWrite;
}

bool HttpConnection::isGone()
{
    const std::lock_guard lock(this->mutex);
    return !this->isAlive;
}

void HttpConnection::closeIfIdle(std::chrono::steady_clock::time_point now, const HttpLimits &limits)
{
    const std::lock_guard lock(this->mutex);
    if (!this->isAlive || this->isBusy) {
        return;
    }
    const auto limit = this->isClosing ? std::chrono::milliseconds(lingerTime) : limits.idleTimeout;
    const bool isHeadLate = this->framer.isInHead() && now - this->headBegan > limits.headerTimeout;
    if (isHeadLate || now - this->lastActivity > limit || (this->shared->isStopping && this->isUnused())) {
        ::shutdown(this->descriptor, SHUT_RDWR);
    }
}

bool HttpConnection::isUnused() const
{
    int unreadBytes = 0;
    return !this->isClosing && this->framer.isEmpty() && ::ioctl(this->descriptor, FIONREAD, &unreadBytes) == 0
        && unreadBytes == 0;
}

void HttpConnection::abandon()
{
    const std::lock_guard lock(this->mutex);
    if (this->isAlive) {
        ::shutdown(this->descriptor, SHUT_RDWR);
        this->isAlive = false;
    }
}

void HttpConnection::passOn()
{
    std::unique_lock lock(this->mutex);
    if (!this->isAlive || this->isBusy || this->isClosing) {
        return;
    }
    auto next = this->framer.next();
    if (std::holds_alternative<FrameIncomplete>(next)) {
        if (this->framer.takeContinue()) {
            this->sendContinue();
        }
        return;
    }
    this->isBusy = true;
    lock.unlock();
    if (const auto *fault = std::get_if<FrameFault>(&next)) {
        this->write(faultResponse(*fault), std::make_shared<WriteMark>(this->shared), true);
    } else {
        this->dispatch(std::get<FramedRequest>(std::move(next)));
    }
}

void HttpConnection::dispatch(FramedRequest &&framed)
{
    const auto ticket = std::make_shared<Ticket>(this->shared_from_this(), framed.closeAfter);
    auto found = this->shared->router.find(std::move(framed));
    if (const auto *refusal = std::get_if<HttpResponse>(&found)) {
        ticket->answer(*refusal);
        return;
    }
    auto &match = std::get<HttpRouter::Match>(found);
    match.request.isCallerGone = [connection = this->weak_from_this()] {
        const auto alive = connection.lock();
        return !alive || alive->isGone();
    };
    try {
        (*match.handler)(match.request, [ticket](const HttpResponse &response) { ticket->answer(response); });
    } catch (const std::exception &failure) {
        log(LogLevel::Error, part, "{} {}: {}", match.request.method, match.request.path, failure.what());
        ticket->answer(httpRefusal(500, "INTERNAL", "the request failed inside the server"));
    }
}

void HttpConnection::write(const HttpResponse &response, const std::shared_ptr<WriteMark> &mark, bool closeAfter)
{
    const bool mustClose = closeAfter || this->shared->isStopping || this->shared->isDraining;
    this->writeSlice(std::make_shared<const std::string>(serialize(response, mustClose)), 0, mark, mustClose);
}

void HttpConnection::writeSlice(const std::shared_ptr<const std::string> &bytes, std::size_t start,
                                const std::shared_ptr<WriteMark> &mark, bool mustClose)
{
    const auto size = std::min(sliceBytes, bytes->size() - start);
    std::unique_lock lock(this->mutex);
    // While isAlive is true, Pistache has not closed the descriptor, so the write cannot reach another caller.
    if (!this->isAlive) {
        return;
    }
    this->lastWrite = mark;
    ++mark->pendingWrites;
    // ResponseWriter::send() is not used: the promise that it returns is resolved without its lock, so that a callback
    // attached on another thread may never be called.
    auto written
        = this->transport.asyncWrite(this->descriptor, Pistache::RawBuffer(bytes->data() + start, size), MSG_NOSIGNAL);
    // then() calls back at once, on this thread, when the write has already ended.
    lock.unlock();
    const auto self = this->shared_from_this();
    const auto next = start + size;
    written.then(
        [self, bytes, next, mark, mustClose](ssize_t) {
            --mark->pendingWrites;
            if (next < bytes->size()) {
                self->writeSlice(bytes, next, mark, mustClose);
            } else {
                self->finishWrite(true, mustClose);
            }
        },
        [self, mark](const std::exception_ptr &) {
            --mark->pendingWrites;
            self->finishWrite(false, true);
        });
}

void HttpConnection::finishWrite(bool isWritten, bool closeAfter)
{
    {
        const std::lock_guard lock(this->mutex);
        this->isBusy = false;
        this->isClosing = closeAfter;
        this->lastActivity = std::chrono::steady_clock::now();
        if (closeAfter && this->isAlive) {
            // Reading goes on, because closing with unread bytes would reset the connection before the answer is read.
            ::shutdown(this->descriptor, isWritten ? SHUT_WR : SHUT_RDWR);
        }
    }
    this->passOn();
}

void HttpConnection::sendContinue()
{
    static const std::string line = "HTTP/1.1 100 Continue\r\n\r\n";
    const auto mark = std::make_shared<WriteMark>(this->shared);
    this->lastWrite = mark;
    ++mark->pendingWrites;
    this->transport.asyncWrite(this->descriptor, Pistache::RawBuffer(line, line.size()), MSG_NOSIGNAL)
        .then([mark](ssize_t) { --mark->pendingWrites; },
              [mark](const std::exception_ptr &) { --mark->pendingWrites; });
}

} // namespace agatedrum
