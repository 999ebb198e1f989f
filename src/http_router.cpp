#include "http_router_p.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <utility>

namespace agatedrum {

namespace {

using StringMap = std::map<std::string, std::string>;

std::vector<std::string_view> split(std::string_view text, char separator)
{
    std::vector<std::string_view> parts;
    while (true) {
        const auto end = text.find(separator);
        parts.push_back(text.substr(0, end));
        if (end == std::string_view::npos) {
            return parts;
        }
        text.remove_prefix(end + 1);
    }
}

/// @return false if an escape is invalid or a name occurs twice.
bool parseQuery(std::string_view text, StringMap &query)
{
    if (text.empty()) {
        return true;
    }
    for (const auto part : split(text, '&')) {
        const auto equalsSign = part.find('=');
        const auto name = decodePercent(part.substr(0, equalsSign), true);
        const auto content = decodePercent(
            equalsSign == std::string_view::npos ? std::string_view() : part.substr(equalsSign + 1), true);
        if (!name || !content || !query.emplace(*name, *content).second) {
            return false;
        }
    }
    return true;
}

/// Matches a path against a pattern and stores the values of its ":name" segments in parameters.
/// @return false if the path does not match; parameters may then hold some values.
bool matchPath(const std::vector<std::string> &pattern, const std::vector<std::string> &path, StringMap &parameters)
{
    if (pattern.size() != path.size()) {
        return false;
    }
    for (std::size_t i = 0; i < pattern.size(); ++i) {
        const bool isParameter = !pattern[i].empty() && pattern[i].front() == ':';
        if (isParameter && !path[i].empty()) {
            parameters[pattern[i].substr(1)] = path[i];
        } else if (pattern[i] != path[i]) {
            return false;
        }
    }
    return true;
}

} // namespace

std::optional<std::string> decodePercent(std::string_view text, bool isPlusSpace)
{
    std::string decoded;
    decoded.reserve(text.size());
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%') {
            decoded += isPlusSpace && text[i] == '+' ? ' ' : text[i];
            continue;
        }
        unsigned char byte = 0;
        const auto digits = text.substr(i + 1, 2);
        const auto [end, code] = std::from_chars(digits.data(), digits.data() + digits.size(), byte, 16);
        if (digits.size() != 2 || code != std::errc() || end != digits.data() + 2) {
            return std::nullopt;
        }
        decoded += static_cast<char>(byte);
        i += 2;
    }
    return decoded;
}

HttpResponse httpRefusal(int status, const std::string &code, const std::string &message)
{
    // A request refused with a client error (status below 500) has not reached its handler. With a server error it may
    // have.
    constexpr int firstServerErrorStatus = 500;
    const nlohmann::json body = {{"error",
                                  {{"code", code},
                                   {"message", message},
                                   {"field", ""},
                                   {"notRun", status < firstServerErrorStatus},
                                   {"retryAfterMs", 0}}}};
    HttpResponse response;
    response.status = status;
    response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return response;
}

void HttpRouter::add(const std::string &method, const std::string &pattern, HttpHandler handler)
{
    Route route {method, {}, std::move(handler)};
    for (const auto part : split(pattern, '/')) {
        route.segments.emplace_back(part);
    }
    this->routes.push_back(std::move(route));
}

void HttpRouter::setFallback(HttpHandler handler)
{
    this->fallback = std::move(handler);
}

std::variant<HttpRouter::Match, HttpResponse> HttpRouter::find(FramedRequest &&framed) const
{
    Match match;
    auto &request = match.request;
    const std::string_view target = framed.target;
    const auto questionMark = std::min(target.find('?'), target.size());
    std::vector<std::string> path;
    for (const auto part : split(target.substr(0, questionMark), '/')) {
        auto decoded = decodePercent(part, false);
        if (!decoded) {
            return httpRefusal(400, "INVALID", "path contains an invalid %XX escape");
        }
        path.push_back(std::move(*decoded));
    }
    if (!parseQuery(target.substr(std::min(questionMark + 1, target.size())), request.query)) {
        return httpRefusal(400, "INVALID", "query contains an invalid %XX escape or a repeated name");
    }
    request.path = std::string(target.substr(0, questionMark));
    bool isKnownPath = false;
    for (const auto &route : this->routes) {
        request.parameters.clear();
        if (!matchPath(route.segments, path, request.parameters)) {
            continue;
        }
        isKnownPath = true;
        if (route.method == framed.method) {
            request.method = std::move(framed.method);
            request.headers = std::move(framed.headers);
            request.body = std::move(framed.body);
            match.handler = &route.handler;
            return match;
        }
    }
    if (this->fallback) {
        request.parameters.clear();
        request.method = std::move(framed.method);
        request.headers = std::move(framed.headers);
        request.body = std::move(framed.body);
        match.handler = &this->fallback;
        return match;
    }
    if (isKnownPath) {
        return httpRefusal(405, "INVALID", "method " + framed.method + " is not allowed for " + request.path);
    }
    return httpRefusal(404, "NOT_FOUND", "no such resource: " + request.path);
}

} // namespace agatedrum
