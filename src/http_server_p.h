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
    std::map<std::string, std::string> parameters; ///< values of the route's ":name" parts, decoded
    std::map<std::string, std::string> query; ///< decoded
    std::map<std::string, std::string> headers; ///< by name in lower case
    std::string body;
    std::function<bool()> isCallerGone = [] { return false; }; ///< whether the connection has ended; on any thread
};

struct HttpResponse
{
    int status = 200;
    std::string body;
    std::string contentType = "application/json";
    long retryAfterSeconds = 0; ///< 0 for no Retry-After header
    std::string location {}; ///< Location header; empty for none
};

/// Answers one request. Call once, on any thread. Answering a caller that has gone is harmless.
using HttpReply = std::function<void(HttpResponse)>;
using HttpHandler = std::function<void(const HttpRequest &, HttpReply)>;

/// Limits that may change while a server runs.
struct HttpLimits
{
    std::size_t maxHeaderBytes = 16UL * 1024;
    std::size_t maxBodyBytes = AGATEDRUM_MAX_BODY_BYTES;
    Millis headerTimeout {10000}; ///< a connection whose header section takes longer is closed
    Millis idleTimeout {60000}; ///< a connection without a waiting request is closed after this long
};

struct HttpServerOptions
{
    wire::Endpoint address;
    int threads = 2;
    HttpLimits limits;
    int maxConnections = 10000;
};

/// HTTP/1.1 server on Pistache. Each connection gets its answers whole and in the order of its requests. Thread-safe
/// after start().
class HttpServer
{
public:
    explicit HttpServer(HttpServerOptions options);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Adds a route. Precondition: not started.
    /// @param pattern path whose parts may be ":name", such as "/v1/jobs/:caller/:submission".
    void route(const std::string &method, const std::string &pattern, HttpHandler handler);

    /// Takes all requests that no route matches. Precondition: not started.
    void fallback(HttpHandler handler);
    /// Limits for requests that have not been read yet.
    void setLimits(const HttpLimits &limits);

    /// Throws std::runtime_error when the address cannot be bound. Call once.
    void start();
    /// Closes each connection after its next answer, so that callers move to other servers; goes on taking new ones.
    /// Idempotent.
    void beginDrain();
    /// Takes no new connections and closes each connection after its answer. Idempotent.
    void beginStop();
    /// Requests that have been read and not been answered yet.
    std::size_t openRequests() const;
    /// Ends the threads. Idempotent.
    void stop();

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace agatedrum
