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
constexpr std::size_t maxNameLength = 128;
constexpr std::array<std::string_view, 7> knownFields
    = {"name", "service", "slots", "connections", "url", "leaving", "usage"};

using Json = nlohmann::json;
using Fault = std::optional<AnnouncementError>;

Fault fault(const std::string &field, const std::string &message)
{
    return AnnouncementError {field, message};
}

Fault readText(const Json &body, const char *field, std::string &target)
{
    const auto found = body.find(field);
    if (found == body.end() || !found->is_string() || found->get_ref<const std::string &>().empty()
        || found->get_ref<const std::string &>().size() > maxNameLength) {
        return fault(field, "must be a text of 1 to " + std::to_string(maxNameLength) + " bytes");
    }
    target = found->get<std::string>();
    return {};
}

Fault readCount(const Json &body, const char *field, int most, int &target)
{
    const auto found = body.find(field);
    if (found == body.end() || !found->is_number_unsigned() || found->get<std::uint64_t>() < 1
        || found->get<std::uint64_t>() > static_cast<std::uint64_t>(most)) {
        return fault(field, "must be a whole number from 1 to " + std::to_string(most));
    }
    target = found->get<int>();
    return {};
}

Fault readUrl(const Json &body, std::string &target)
{
    auto problem = readText(body, "url", target);
    if (problem) {
        return problem;
    }
    if (target.rfind("http://", 0) != 0 && target.rfind("https://", 0) != 0) {
        return fault("url", "must begin with http:// or https://");
    }
    return {};
}

Fault readLeaving(const Json &body, bool &target)
{
    const auto found = body.find("leaving");
    if (found == body.end()) {
        return {};
    }
    if (!found->is_boolean()) {
        return fault("leaving", "must be true or false");
    }
    target = found->get<bool>();
    return {};
}

Fault readUsage(const Json &body, double &target)
{
    const auto found = body.find("usage");
    if (found == body.end()) {
        return {};
    }
    if (!found->is_number() || found->get<double>() < 0 || found->get<double>() > 1) {
        return fault("usage", "must be a number from 0 to 1");
    }
    target = found->get<double>();
    return {};
}

Fault checkFields(const Json &body)
{
    for (const auto &[key, value] : body.items()) {
        if (std::find(knownFields.begin(), knownFields.end(), key) == knownFields.end()) {
            return fault(key, "is not a known field");
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
         {checkFields(parsed), readText(parsed, "name", result.name), readText(parsed, "service", result.service),
          readCount(parsed, "slots", maxSlots, result.slots),
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
