#include "config_routing_p.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace agatedrum {

namespace {

using Json = nlohmann::json;

// Larger values are reduced to these, whose sums and products do not overflow. No request takes that long.
constexpr std::int64_t maxTimeMs = 86400000;
constexpr std::size_t maxLimitBytes = 1UL << 30U;
constexpr double maxStretch = 1e6;

Millis readTime(const Json &json, const char *name)
{
    return Millis(std::min(json.at(name).get<std::int64_t>(), maxTimeMs));
}

std::size_t readLimit(const Json &json, const char *name)
{
    return std::min(json.at(name).get<std::size_t>(), maxLimitBytes);
}

Json toJson(const RouteConfig &route)
{
    return {{"name", route.name},
            {"host", route.host},
            {"pathPrefix", route.pathPrefix},
            {"service", route.serviceName},
            {"timeoutMs", route.timeout.count()},
            {"latencyObjectiveMs", route.latencyObjective.count()},
            {"stretch", route.stretch},
            {"priority", route.priority},
            {"maxAttempts", route.maxAttempts}};
}

RouteConfig routeFromJson(const Json &json)
{
    RouteConfig route;
    route.name = json.at("name").get<std::string>();
    route.host = json.at("host").get<std::string>();
    route.pathPrefix = json.at("pathPrefix").get<std::string>();
    route.serviceName = json.at("service").get<std::string>();
    route.timeout = readTime(json, "timeoutMs");
    route.latencyObjective = readTime(json, "latencyObjectiveMs");
    route.stretch = std::min(json.at("stretch").get<double>(), maxStretch);
    route.priority = json.at("priority").get<int>();
    route.maxAttempts = json.at("maxAttempts").get<int>();
    return route;
}

Json toJson(const RoutedService &service)
{
    return {{"name", service.name}, {"healthPath", service.healthPath}, {"refusesOverload", service.refusesOverload}};
}

RoutedService serviceFromJson(const Json &json)
{
    RoutedService service;
    service.name = json.at("name").get<std::string>();
    service.healthPath = json.at("healthPath").get<std::string>();
    service.refusesOverload = json.at("refusesOverload").get<bool>();
    return service;
}

Json toJson(const CallerLimits &limits)
{
    return {{"maxHeaderBytes", limits.maxHeaderBytes},
            {"maxBodyBytes", limits.maxBodyBytes},
            {"headerTimeoutMs", limits.headerTimeout.count()},
            {"idleTimeoutMs", limits.idleTimeout.count()}};
}

CallerLimits limitsFromJson(const Json &json)
{
    CallerLimits limits;
    limits.maxHeaderBytes = readLimit(json, "maxHeaderBytes");
    limits.maxBodyBytes = readLimit(json, "maxBodyBytes");
    limits.headerTimeout = readTime(json, "headerTimeoutMs");
    limits.idleTimeout = readTime(json, "idleTimeoutMs");
    return limits;
}

RoutingConfig routingFromJson(const Json &json)
{
    RoutingConfig config;
    config.number = json.at("number").get<std::int64_t>();
    for (const auto &route : json.at("routes")) {
        config.routes.push_back(routeFromJson(route));
    }
    for (const auto &service : json.at("services")) {
        config.services.push_back(serviceFromJson(service));
    }
    config.limits = limitsFromJson(json.at("limits"));
    config.source = json.at("source").get<std::string>();
    return config;
}

std::string checkRoute(const RouteConfig &route, const std::set<std::string> &services)
{
    if (route.name.empty() || route.host.empty()) {
        return "a route must have a name and a host";
    }
    if (route.pathPrefix.empty() || route.pathPrefix.front() != '/') {
        return fmt::format("route {}: the path prefix must begin with /", route.name);
    }
    if (services.count(route.serviceName) == 0) {
        return fmt::format("route {}: service {} is not defined", route.name, route.serviceName);
    }
    if (route.timeout <= Millis(0)) {
        return fmt::format("route {}: the timeout must be greater than 0 ms", route.name);
    }
    if (route.maxAttempts < 1 || route.stretch < 0 || route.latencyObjective < Millis(0)) {
        return fmt::format(
            "route {}: maxAttempts must be at least 1; stretch and latency objective must not be negative", route.name);
    }
    return {};
}

} // namespace

const RouteConfig *RoutingConfig::findRoute(std::string_view host, std::string_view path) const
{
    const RouteConfig *bestMatch = nullptr;
    for (const auto &route : this->routes) {
        const bool isMatch = route.host == host && path.substr(0, route.pathPrefix.size()) == route.pathPrefix;
        if (isMatch && (bestMatch == nullptr || route.pathPrefix.size() > bestMatch->pathPrefix.size())) {
            bestMatch = &route;
        }
    }
    return bestMatch;
}

std::string serializeRouting(const RoutingConfig &config)
{
    Json json = {{"number", config.number},
                 {"routes", Json::array()},
                 {"services", Json::array()},
                 {"limits", toJson(config.limits)},
                 {"source", config.source}};
    for (const auto &route : config.routes) {
        json["routes"].push_back(toJson(route));
    }
    for (const auto &service : config.services) {
        json["services"].push_back(toJson(service));
    }
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string checkRouting(const RoutingConfig &config)
{
    if (config.number < 1) {
        return "the number must be at least 1";
    }
    std::set<std::string> services;
    for (const auto &service : config.services) {
        if (service.name.empty() || !services.insert(service.name).second) {
            return fmt::format("service {} has no name or appears twice", service.name);
        }
    }
    std::set<std::pair<std::string, std::string>> hostsAndPathPrefixes;
    for (const auto &route : config.routes) {
        if (auto problemText = checkRoute(route, services); !problemText.empty()) {
            return problemText;
        }
        if (!hostsAndPathPrefixes.insert({route.host, route.pathPrefix}).second) {
            return fmt::format("route {}: another route has the same host and path prefix", route.name);
        }
    }
    return {};
}

Result<RoutingConfig, RoutingError> parseRouting(const std::string &text)
{
    try {
        auto config = routingFromJson(Json::parse(text));
        if (auto problemText = checkRouting(config); !problemText.empty()) {
            return RoutingError {std::move(problemText)};
        }
        return config;
    } catch (const Json::exception &exception) {
        return RoutingError {exception.what()};
    }
}

} // namespace agatedrum
