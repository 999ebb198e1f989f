#pragma once

#include "http_framer_p.h"
#include "http_server_p.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace agatedrum {

/// Decodes %XX. Nothing when an escape is incomplete.
/// @param plusIsSpace as in a query.
std::optional<std::string> decodePercent(std::string_view text, bool plusIsSpace);

/// A refusal by the HTTP layer, in the shape that the entry's own refusals have. Below 500 it says "not run".
HttpResponse httpRefusal(int status, const std::string &code, const std::string &message);

/// Finds the handler of a request. Immutable and thread-safe once all routes are added.
class HttpRouter
{
public:
    struct Match
    {
        HttpRequest request;
        const HttpHandler *handler = nullptr;
    };

    /// @param pattern path whose parts may be ":name".
    void add(const std::string &method, const std::string &pattern, HttpHandler handler);
    /// Takes what no pattern matches, in place of the refusals 404 and 405.
    void setFallback(HttpHandler handler);
    /// @return the handler with its request, or the refusal: 400, 404 or 405.
    std::variant<Match, HttpResponse> find(FramedRequest &&framed) const;

private:
    struct Route
    {
        std::string method;
        std::vector<std::string> parts;
        HttpHandler handler;
    };
    std::vector<Route> routes;
    HttpHandler fallback;
};

} // namespace agatedrum
