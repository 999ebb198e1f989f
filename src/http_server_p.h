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
    std::string method; ///< GET, POST, DELETE
    std::string path;
    std::map<std::string, std::string> parameters; ///< values of the route's ":name" parts, decoded
    std::map<std::string, std::string> query; ///< decoded
    std::string body;
};

struct HttpResponse
{
    int status = 200;
    std::string body;
    std::string contentType = "application/json";
    long retryAfterSeconds = 0; ///< 0 for no Retry-After header
};

/// Answers one request. Call once, on any thread. Answering a caller that has gone is harmless.
using HttpReply = std::function<void(HttpResponse)>;
using HttpHandler = std::function<void(const HttpRequest &, HttpReply)>;

struct HttpServerOptions
{
    wire::Endpoint address;
    int threads = 2;
    std::size_t maxBodyBytes = AGATEDRUM_MAX_BODY_BYTES;
    int maxConnections = 10000;
    Millis idleTimeout {60000}; ///< a connection without a waiting request is closed after this long
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

    /// Throws std::runtime_error when the address cannot be bound. Call once.
    void start();
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
