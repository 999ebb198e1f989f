#pragma once

#include "agatedrum/result.h"
#include "base_clock_p.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace agatedrum {

/// Where the jobs of one kind of request go and what they may use. A route is found by the caller's host name and the
/// beginning of the path.
struct RouteConfig
{
    std::string name;
    std::string host;
    std::string pathPrefix;
    std::string serviceName;
    Millis timeout {0}; ///< after it the caller gets an answer in any case
    Millis latencyObjective {0}; ///< added to stretch times the job's longest task
    double stretch = 1.0;
    int priority = 0; ///< 0 comes first
    int maxAttempts = 1; ///< failed runs of a task after which the job has failed

    auto tied() const
    {
        return std::tie(this->name, this->host, this->pathPrefix, this->serviceName, this->timeout,
                        this->latencyObjective, this->stretch, this->priority, this->maxAttempts);
    }
    friend bool operator==(const RouteConfig &a, const RouteConfig &b)
    {
        return a.tied() == b.tied();
    }
};

/// A service whose backend servers take tasks with demands.
struct RoutedService
{
    std::string name;
    std::string healthPath;
    bool refusesOverload = false; ///< its backend servers refuse a task that does not fit

    auto tied() const
    {
        return std::tie(this->name, this->healthPath, this->refusesOverload);
    }
    friend bool operator==(const RoutedService &a, const RoutedService &b)
    {
        return a.tied() == b.tied();
    }
};

/// Limits of callers' requests. Zero leaves the server's own limit in force.
struct CallerLimits
{
    std::size_t maxHeaderBytes = 0;
    std::size_t maxBodyBytes = 0;
    Millis headerTimeout {0}; ///< from the first byte of a request to the end of its header section
    Millis idleTimeout {0};

    auto tied() const
    {
        return std::tie(this->maxHeaderBytes, this->maxBodyBytes, this->headerTimeout, this->idleTimeout);
    }
    friend bool operator==(const CallerLimits &a, const CallerLimits &b)
    {
        return a.tied() == b.tied();
    }
};

/// The routing part of a configuration. Immutable once parsed.
struct RoutingConfig
{
    std::int64_t number = 0;
    std::vector<RouteConfig> routes;
    std::vector<RoutedService> services;
    CallerLimits limits;
    std::string source; ///< the document that this was decoded from, kept for those who read it back

    /// @return the route whose host equals and whose prefix is the longest that the path begins with; null for none.
    const RouteConfig *find(std::string_view host, std::string_view path) const;

    friend bool operator==(const RoutingConfig &a, const RoutingConfig &b)
    {
        return std::tie(a.number, a.routes, a.services, a.limits) == std::tie(b.number, b.routes, b.services, b.limits);
    }
};

struct RoutingError
{
    std::string message;
};

/// Text that parseRouting() reads: one JSON object.
std::string renderRouting(const RoutingConfig &config);

/// Parses and checks a whole routing document. Refuses routes to unknown services, two routes with the same host and
/// prefix, and time-outs of zero. Thread-safe.
Result<RoutingConfig, RoutingError> parseRouting(const std::string &text);

/// The check that parseRouting() makes. @return an empty text when nothing is wrong.
std::string checkRouting(const RoutingConfig &config);

} // namespace agatedrum
