#pragma once

#include "agatedrum/result.h"
#include "base_clock_p.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace agatedrum {

/// Target service and limits for one kind of request. A request is matched to a route by its host name and by the
/// prefix of its path.
struct RouteConfig
{
    std::string name;
    std::string host;
    std::string pathPrefix;
    std::string serviceName;
    Millis timeout {0}; ///< time within which the caller receives an answer
    Millis latencyObjective {0}; ///< fixed part of a job's latency objective
    double stretch = 1.0; ///< factor on the estimate of the job's longest task, added to latencyObjective
    int priority = 0; ///< 0 is the highest priority
    int maxAttempts = 1; ///< the job fails after this many failed runs of one of its tasks

    auto asTuple() const
    {
        return std::tie(this->name, this->host, this->pathPrefix, this->serviceName, this->timeout,
                        this->latencyObjective, this->stretch, this->priority, this->maxAttempts);
    }
    friend bool operator==(const RouteConfig &a, const RouteConfig &b)
    {
        return a.asTuple() == b.asTuple();
    }
};

/// A service to which routes refer. Its backend servers run tasks with resource demands.
struct RoutedService
{
    std::string name;
    std::string healthPath;
    bool refusesOverload = false; ///< whether its backend servers refuse a task that exceeds their free capacity

    auto asTuple() const
    {
        return std::tie(this->name, this->healthPath, this->refusesOverload);
    }
    friend bool operator==(const RoutedService &a, const RoutedService &b)
    {
        return a.asTuple() == b.asTuple();
    }
};

/// Limits on callers' requests. A value of zero keeps the default limit of the HTTP server.
struct CallerLimits
{
    std::size_t maxHeaderBytes = 0;
    std::size_t maxBodyBytes = 0;
    Millis headerTimeout {0}; ///< from the first byte of a request to the end of its header section
    Millis idleTimeout {0};

    auto asTuple() const
    {
        return std::tie(this->maxHeaderBytes, this->maxBodyBytes, this->headerTimeout, this->idleTimeout);
    }
    friend bool operator==(const CallerLimits &a, const CallerLimits &b)
    {
        return a.asTuple() == b.asTuple();
    }
};

/// Routing part of a configuration. Immutable after parsing.
struct RoutingConfig
{
    std::int64_t number = 0;
    std::vector<RouteConfig> routes;
    std::vector<RoutedService> services;
    CallerLimits limits;
    std::string source; ///< document from which this was decoded; returned to clients that query it

    /// Returns the route with an equal host and the longest matching path prefix, or null if no route matches.
    const RouteConfig *findRoute(std::string_view host, std::string_view path) const;

    friend bool operator==(const RoutingConfig &a, const RoutingConfig &b)
    {
        return std::tie(a.number, a.routes, a.services, a.limits) == std::tie(b.number, b.routes, b.services, b.limits);
    }
};

struct RoutingError
{
    std::string message;
};

/// Returns the configuration as one JSON object that parseRouting() can parse.
std::string serializeRouting(const RoutingConfig &config);

/// Parses and validates a routing document with checkRouting(). Thread-safe.
Result<RoutingConfig, RoutingError> parseRouting(const std::string &text);

/// Validates a routing configuration. Rejects, among others, routes to unknown services, two routes with the same host
/// and path prefix, and timeouts of zero. Returns an empty string if the configuration is valid, else the first error.
std::string checkRouting(const RoutingConfig &config);

} // namespace agatedrum
