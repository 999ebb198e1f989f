#include "agent_api_p.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <optional>
#include <string_view>
#include <utility>

namespace agatedrum {

namespace {

constexpr int maxSlots = 10000;
constexpr int maxConnections = 10000;
constexpr std::size_t maxTextBytes = 128;
constexpr std::array<std::string_view, 7> knownFieldNames
    = {"name", "service", "slots", "connections", "url", "leaving", "usage"};

using Json = nlohmann::json;
using OptionalError = std::optional<AnnouncementError>;

OptionalError makeError(const std::string &field, const std::string &message)
{
    return AnnouncementError {field, message};
}

OptionalError readString(const Json &body, const char *field, std::string &target)
{
    const auto found = body.find(field);
    if (found == body.end() || !found->is_string() || found->get_ref<const std::string &>().empty()
        || found->get_ref<const std::string &>().size() > maxTextBytes) {
        return makeError(field, "must be a string of 1 to " + std::to_string(maxTextBytes) + " bytes");
    }
    target = found->get<std::string>();
    return {};
}

OptionalError readCount(const Json &body, const char *field, int maximum, int &target)
{
    const auto found = body.find(field);
    if (found == body.end() || !found->is_number_unsigned() || found->get<std::uint64_t>() < 1
        || found->get<std::uint64_t>() > static_cast<std::uint64_t>(maximum)) {
        return makeError(field, "must be a whole number from 1 to " + std::to_string(maximum));
    }
    target = found->get<int>();
    return {};
}

OptionalError readUrl(const Json &body, std::string &target)
{
    auto problem = readString(body, "url", target);
    if (problem) {
        return problem;
    }
    if (target.rfind("http://", 0) != 0 && target.rfind("https://", 0) != 0) {
        return makeError("url", "must start with http:// or https://");
    }
    return {};
}

OptionalError readLeaving(const Json &body, bool &target)
{
    const auto found = body.find("leaving");
    if (found == body.end()) {
        return {};
    }
    if (!found->is_boolean()) {
        return makeError("leaving", "must be true or false");
    }
    target = found->get<bool>();
    return {};
}

OptionalError readUsage(const Json &body, double &target)
{
    const auto found = body.find("usage");
    if (found == body.end()) {
        return {};
    }
    if (!found->is_number() || found->get<double>() < 0 || found->get<double>() > 1) {
        return makeError("usage", "must be a number from 0 to 1");
    }
    target = found->get<double>();
    return {};
}

OptionalError checkFieldNames(const Json &body)
{
    for (const auto &[key, value] : body.items()) {
        if (std::find(knownFieldNames.begin(), knownFieldNames.end(), key) == knownFieldNames.end()) {
            return makeError(key, "unknown field");
        }
    }
    return {};
}

HttpResponse refusal(const AnnouncementError &error)
{
    const Json body = {{"error", {{"code", "invalid"}, {"field", error.field}, {"message", error.message}}}};
    HttpResponse response;
    response.status = 400;
    response.body = body.dump(-1, ' ', false, Json::error_handler_t::replace);
    return response;
}

} // namespace

Result<Announcement, AnnouncementError> parseAnnouncement(const std::string &body)
{
    const auto parsed = Json::parse(body, nullptr, false);
    if (!parsed.is_object()) {
        return AnnouncementError {"", "body must be a JSON object"};
    }
    Announcement result;
    for (const auto &problem :
         {checkFieldNames(parsed), readString(parsed, "name", result.name),
          readString(parsed, "service", result.service), readCount(parsed, "slots", maxSlots, result.slots),
          readCount(parsed, "connections", maxConnections, result.connections), readUrl(parsed, result.url),
          readLeaving(parsed, result.isLeaving), readUsage(parsed, result.usage)}) {
        if (problem) {
            return *problem;
        }
    }
    return result;
}

void registerAgentRoutes(HttpServer &server, AgentCore &core)
{
    server.route("POST", "/v1/announce", [&core](const HttpRequest &request, const HttpReply &reply) {
        const auto parsed = parseAnnouncement(request.body);
        if (!isOk(parsed)) {
            reply(refusal(error(parsed)));
            return;
        }
        core.announce(value(parsed));
        HttpResponse response;
        response.body = Json {{"accepted", true}}.dump();
        reply(std::move(response));
    });
}

} // namespace agatedrum
