#pragma once

#include "http_framer_p.h"
#include "http_router_p.h"
#include "http_server_p.h"

#include <pistache/http.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>
#include <set>
#include <string_view>

namespace agatedrum {

class HttpConnection;

/// What the connections of one server share. Thread-safe; the router does not change once the server has started.
struct HttpShared
{
    explicit HttpShared(HttpServerOptions options);

    /// Ends connections that have been idle too long; all idle ones when the server stops.
    void closeIdle();
    /// Ends all connections; later answers are dropped.
    void abandonAll();

    void setLimits(const HttpLimits &limits);
    HttpLimits limits() const;

    const HttpServerOptions options;
    HttpRouter router;
    std::atomic<bool> isStopping {false};
    std::atomic<bool> isDraining {false};
    std::atomic<std::size_t> openRequests {0};
    std::atomic<int> connections {0}; ///< that were taken

    std::mutex mutex;
    std::set<HttpConnection *> open; ///< guarded by mutex

private:
    mutable std::mutex limitsMutex;
    HttpLimits currentLimits;
};

/// Lives as long as Pistache holds the write of an answer. Counts as an open request.
struct WriteMark
{
    explicit WriteMark(std::shared_ptr<HttpShared> shared);
    ~WriteMark();
    WriteMark(const WriteMark &) = delete;
    WriteMark &operator=(const WriteMark &) = delete;

    std::shared_ptr<HttpShared> shared;
    /// Writes handed to Pistache that have not ended. The mark itself may outlive them on an answering thread's stack.
    std::atomic<int> pendingWrites {0};
};

/// One caller's connection: passes on one request at a time, the next after the answer was written.
/// Thread-safe: input arrives on the connection's Pistache thread, answers on any thread.
class HttpConnection : public std::enable_shared_from_this<HttpConnection>
{
public:
    /// Precondition: transport outlives every call before abandon() or close().
    HttpConnection(std::shared_ptr<HttpShared> shared, int descriptor, Pistache::Tcp::Transport &transport);
    ~HttpConnection();
    HttpConnection(const HttpConnection &) = delete;
    HttpConnection &operator=(const HttpConnection &) = delete;

    /// Registers the connection. Refuses it when the server takes no more.
    /// @param isStale a write for an earlier connection with this descriptor may still be under way, so this one
    /// cannot be used.
    void open(bool isStale);
    /// Takes bytes from the caller.
    void takeInput(std::string_view bytes);
    /// Notes that the caller has gone. @return the write that Pistache may still hold.
    std::weak_ptr<WriteMark> close();

    /// Ends the connection if nothing has happened on it for too long, or if it is idle and the server stops.
    void closeIfIdle(std::chrono::steady_clock::time_point now, const HttpLimits &limits);
    /// Whether the caller has gone or the connection was abandoned.
    bool isGone();
    /// Ends the connection at once. No answer is sent after the call.
    void abandon();

private:
    struct Ticket;

    void refuse();
    void passOn();
    void dispatch(FramedRequest &&framed);
    void write(const HttpResponse &response, const std::shared_ptr<WriteMark> &mark, bool closeAfter);
    /// Writes a part of an answer and, when that has ended, the next one.
    void writeSlice(const std::shared_ptr<const std::string> &bytes, std::size_t start,
                    const std::shared_ptr<WriteMark> &mark, bool mustClose);
    void finishWrite(bool isWritten, bool closeAfter);
    /// Precondition: mutex is held.
    void sendContinue();
    /// Whether no part of a request has arrived, not even unread. Precondition: mutex is held.
    bool isUnused() const;

    const std::shared_ptr<HttpShared> shared;
    const int descriptor;
    Pistache::Tcp::Transport &transport;

    std::mutex mutex; ///< guards all below
    HttpFramer framer;
    bool isAlive = true; ///< the descriptor is this connection's while true
    bool isCounted = false; ///< among the server's taken connections
    bool isBusy = false; ///< a request was passed on and its answer is not written
    bool isClosing = false; ///< the last answer was written
    std::weak_ptr<WriteMark> lastWrite;
    std::chrono::steady_clock::time_point lastActivity;
    std::chrono::steady_clock::time_point headBegan; ///< when the first byte of an incomplete header section came
};

} // namespace agatedrum
