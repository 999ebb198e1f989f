#pragma once

#include "http_framer_p.h"
#include "http_router_p.h"
#include "http_server_p.h"

#include <pistache/http.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <set>
#include <string_view>
#include <vector>

namespace agatedrum {

class HttpConnection;

/// State shared by all connections of one server. Thread-safe; the router does not change once the server has started.
struct HttpServerState
{
    explicit HttpServerState(HttpServerOptions options);

    /// Closes connections that have exceeded a timeout. While the server is stopping, closes all idle connections.
    void closeIdle();
    /// Closes all connections at once. Later responses are dropped.
    void forceCloseAll();
    /// Has the housekeeping thread dispatch the connection's next request.
    void deferDispatch(std::weak_ptr<HttpConnection> connection);
    /// Waits for a time, or until a dispatch is deferred or wake() is called, and then dispatches.
    void dispatchDeferred(std::chrono::milliseconds maxWait);
    /// Ends the wait of dispatchDeferred().
    void wake();

    void setLimits(const HttpLimits &limits);
    HttpLimits limits() const;

    const HttpServerOptions options;
    HttpRouter router;
    std::atomic<bool> isStopping {false};
    std::atomic<bool> isDraining {false};
    std::atomic<std::size_t> openRequests {0};
    std::atomic<int> connections {0}; ///< accepted connections, without those that are refused

    std::mutex mutex;
    std::set<HttpConnection *> openConnections; ///< accepted and refused connections; guarded by mutex

private:
    mutable std::mutex limitsMutex;
    HttpLimits currentLimits;
    std::mutex deferredMutex;
    std::condition_variable deferredChanged;
    bool isWoken = false; ///< guarded by deferredMutex, as is deferred
    std::vector<std::weak_ptr<HttpConnection>> deferred;
};

/// Tracks the writes of one response. Exists while the request is unanswered or Pistache holds a write of its response,
/// and counts as an open request for that time.
struct WriteTracker
{
    explicit WriteTracker(std::shared_ptr<HttpServerState> serverState);
    ~WriteTracker();
    WriteTracker(const WriteTracker &) = delete;
    WriteTracker &operator=(const WriteTracker &) = delete;

    std::shared_ptr<HttpServerState> serverState;
    /// Writes passed to Pistache that have not ended. The tracker may outlive them on the stack of an answering thread.
    std::atomic<int> pendingWrites {0};
};

/// One caller's connection. Dispatches one request at a time; the next one follows when the response has been written.
/// Thread-safe: input arrives on the connection's Pistache thread, responses on any thread.
class HttpConnection : public std::enable_shared_from_this<HttpConnection>
{
public:
    /// Precondition: transport outlives every call that is made before forceClose() or close().
    HttpConnection(std::shared_ptr<HttpServerState> serverState, int descriptor, Pistache::Tcp::Transport &transport);
    ~HttpConnection();
    HttpConnection(const HttpConnection &) = delete;
    HttpConnection &operator=(const HttpConnection &) = delete;

    /// Registers the connection. Above the server's maximum number of connections it is refused. It is closed at once
    /// if the server is stopping or too many refused connections are open.
    /// @param isDescriptorInUse a write of an earlier connection with the same descriptor may still be pending, so this
    /// connection is closed at once.
    void open(bool isDescriptorInUse);
    /// Handles bytes received from the caller.
    void handleInput(std::string_view bytes);
    /// Marks the caller as disconnected. @return the tracker of the last write, which Pistache may still hold.
    std::weak_ptr<WriteTracker> close();

    /// Closes the connection if it has exceeded a timeout, or if it is idle and the server is stopping.
    void closeIfIdle(std::chrono::steady_clock::time_point now, const HttpLimits &limits);
    /// Returns true if the caller has disconnected or the connection has been closed by forceClose().
    bool isDisconnected();
    /// Closes the connection at once. No response is sent after the call.
    void forceClose();
    /// Dispatches the next request, if one has been read and the response to the one before has been written.
    /// Precondition: the caller holds no lock that a request handler may take.
    void dispatchNext();

private:
    struct Responder;

    void refuse();
    /// Dispatches one request. @return false if there was none to dispatch.
    bool dispatchOne();
    void dispatch(FramedRequest &&framed);
    /// Returns true if the caller has closed the connection, even if Pistache has not reported it yet.
    bool hasCallerClosed();
    void write(const HttpResponse &response, const std::shared_ptr<WriteTracker> &tracker, bool closeAfter);
    /// Writes the chunk of the response that starts at the offset and, when that write has ended, the next chunk.
    void writeChunk(const std::shared_ptr<const std::string> &bytes, std::size_t offset,
                    const std::shared_ptr<WriteTracker> &tracker, bool mustClose);
    /// @param isAnswering this runs within a call that answers a request, so the calling thread may hold any lock
    void finishWrite(bool isWritten, bool closeAfter, bool isAnswering);
    /// Must be called with mutex held.
    void sendContinue();
    /// Returns true if the connection is not closing and no byte of a further request has arrived, not even one that is
    /// still unread in the socket. Must be called with mutex held.
    bool hasNoInput() const;

    const std::shared_ptr<HttpServerState> serverState;
    const int descriptor;
    Pistache::Tcp::Transport &transport;

    std::mutex mutex; ///< guards all members below
    HttpFramer framer;
    bool isOpen = true; ///< while true, the descriptor belongs to this connection
    bool isAccepted = false; ///< counted in HttpServerState::connections
    bool isResponsePending = false; ///< a request was dispatched or refused and its response has not been written
    bool isClosing = false; ///< the last response was written
    std::weak_ptr<WriteTracker> lastWrite;
    std::chrono::steady_clock::time_point lastActivity;
    /// When the first byte of an incomplete header section arrived.
    std::chrono::steady_clock::time_point headStartedAt;
};

} // namespace agatedrum
