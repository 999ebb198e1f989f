#pragma once

#include "agatedrum/config.h"
#include "base_clock_p.h"
#include "wire_message_p.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace agatedrum {

struct HttpRequest
{
    std::string method; ///< GET, POST, PUT, DELETE
    std::string path;
    std::map<std::string, std::string> parameters; ///< decoded values of the route's ":name" segments
    std::map<std::string, std::string> query; ///< decoded query parameters
    std::map<std::string, std::string> headers; ///< by lower-case name
    std::string body;
    /// Returns true if the caller has closed the connection. Thread-safe.
    std::function<bool()> isCallerDisconnected = [] { return false; };
};

struct HttpResponse
{
    int status = 200;
    std::string body;
    std::string contentType = "application/json";
    long retryAfterSeconds = 0; ///< 0 for no Retry-After header
    std::string location {}; ///< Location header; empty for none
};

/// Sends the response to one request. Must be called once, on any thread. Has no effect if the caller has disconnected.
using HttpReply = std::function<void(HttpResponse)>;
using HttpHandler = std::function<void(const HttpRequest &, HttpReply)>;

/// Limits that may be changed while the server is running.
struct HttpLimits
{
    std::size_t maxHeaderBytes = 16UL * 1024;
    std::size_t maxBodyBytes = AGATEDRUM_MAX_BODY_BYTES;
    Millis headerTimeout {10000}; ///< a connection that takes longer to send a header section is closed
    Millis idleTimeout {60000}; ///< a connection without a pending request is closed after this time
};

struct HttpServerOptions
{
    wire::Endpoint address;
    int threads = 2;
    HttpLimits limits;
    int maxConnections = 10000;
    /// A request is not dispatched if its caller closed the connection before the request was read. Callers that only
    /// shut down their sending side get no response then.
    bool dropsAbandonedRequests = false;
};

/// HTTP/1.1 server based on Pistache. Responses on a connection are sent completely and in the order of the requests.
/// Thread-safe after start().
class HttpServer
{
public:
    explicit HttpServer(HttpServerOptions options);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Adds a route. Must be called before start().
    /// @param pattern path in which a segment may be a parameter, such as "/v1/jobs/:caller/:submission".
    void route(const std::string &method, const std::string &pattern, HttpHandler handler);

    /// Sets the handler of all requests that match no route. Must be called before start().
    void setFallback(HttpHandler handler);
    /// Sets the limits for requests that have not been read yet.
    void setLimits(const HttpLimits &limits);

    /// Starts the threads. Must be called once. Throws std::runtime_error if the address cannot be bound.
    void start();
    /// Closes each connection after its next response, so that callers reconnect to other servers. New connections are
    /// still accepted. Idempotent.
    void beginDrain();
    /// Accepts no new connections and closes each connection after its response. Idempotent.
    void beginStop();
    /// Returns the number of requests that have been read and not been answered yet.
    std::size_t openRequests() const;
    /// Closes all connections and ends the threads. Idempotent.
    void stop();

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace agatedrum
