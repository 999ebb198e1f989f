#pragma once

#include "http_framer_p.h"
#include "http_server_p.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace agatedrum {

/// Decodes %XX escapes.
/// @param isPlusSpace decodes '+' to a space, as in a query.
/// @return std::nullopt if an escape is incomplete or not hexadecimal.
std::optional<std::string> decodePercent(std::string_view text, bool isPlusSpace);

/// Returns a refusal by the HTTP layer, in the JSON format of the entry's own refusals. Its field notRun is true for a
/// status below 500.
HttpResponse httpRefusal(int status, const std::string &code, const std::string &message);

/// Maps requests to handlers. Thread-safe once all routes have been added, because it does not change afterwards.
class HttpRouter
{
public:
    struct Match
    {
        HttpRequest request;
        const HttpHandler *handler = nullptr;
    };

    /// Adds a route.
    /// @param pattern path in which a segment may be a parameter, written ":name".
    void add(const std::string &method, const std::string &pattern, HttpHandler handler);
    /// Sets the handler of requests that match no route. Without it they are refused with 404 or 405.
    void setFallback(HttpHandler handler);
    /// @return the handler and the decoded request, or a refusal with status 400, 404 or 405.
    std::variant<Match, HttpResponse> find(FramedRequest &&framed) const;

private:
    struct Route
    {
        std::string method;
        std::vector<std::string> segments;
        HttpHandler handler;
    };
    std::vector<Route> routes;
    HttpHandler fallback;
};

} // namespace agatedrum
