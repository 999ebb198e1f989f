#pragma once

#include "agatedrum/config.h"
#include "agatedrum/result.h"
#include "base_clock_p.h"
#include "base_yaml_p.h"
#include "config_routing_p.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace agatedrum {

/// One service and how its jobs are handled.
struct ServiceConfig
{
    std::string name;
    int cells = 1;
    int recordCopies = 2; ///< processes that hold a job's record before its first start, the owner included
    std::string order = "leastWork"; ///< leastWork or firstCome
    std::string placement = "fastestFree"; ///< fastestFree, random, roundRobin, leastLoaded or twoProbes
    Millis maxTaskTime {30000}; ///< a task that runs longer is stopped; its outcome is unknown
    int maxQueuedTasks = AGATEDRUM_MAX_QUEUED_TASKS; ///< per cell
    double maxEjectedShare = 0.3; ///< share of a cell's backend servers that may be ejected at once

    auto tied() const
    {
        return std::tie(this->name, this->cells, this->recordCopies, this->order, this->placement, this->maxTaskTime,
                        this->maxQueuedTasks, this->maxEjectedShare);
    }
    friend bool operator==(const ServiceConfig &a, const ServiceConfig &b)
    {
        return a.tied() == b.tied();
    }
};

/// One team and its quotas.
struct TeamConfig
{
    std::string name;
    double weight = 1.0; ///< share of capacity against other teams
    double maxTasksPerSecond = 0; ///< 0 for no limit
    int maxTasksInFlight = 0; ///< started and not finished, per cell; 0 for no limit
    int maxQueuedTasks = 0; ///< per cell; 0 for no limit of its own

    auto tied() const
    {
        return std::tie(this->name, this->weight, this->maxTasksPerSecond, this->maxTasksInFlight,
                        this->maxQueuedTasks);
    }
    friend bool operator==(const TeamConfig &a, const TeamConfig &b)
    {
        return a.tied() == b.tied();
    }
};

/// What an operator sets for one backend server. Backend servers that are not listed run with what they announce.
struct BackendServerConfig
{
    std::string name;
    bool isDrained = false; ///< gets no new work
    int maxSlots = 0; ///< 0 for what it announces

    auto tied() const
    {
        return std::tie(this->name, this->isDrained, this->maxSlots);
    }
    friend bool operator==(const BackendServerConfig &a, const BackendServerConfig &b)
    {
        return a.tied() == b.tied();
    }
};

/// A whole configuration file. Immutable once parsed.
struct ClusterConfig
{
    std::int64_t number = 0;
    std::vector<ServiceConfig> services;
    std::vector<TeamConfig> teams;
    std::vector<BackendServerConfig> backendServers;
    std::optional<RoutingConfig> routing; ///< set when the file is a routing document

    const ServiceConfig *service(std::string_view name) const;
    const TeamConfig *team(std::string_view name) const;
    const BackendServerConfig *backendServer(std::string_view name) const;

    auto tied() const
    {
        return std::tie(this->number, this->services, this->teams, this->backendServers, this->routing);
    }
    friend bool operator==(const ClusterConfig &a, const ClusterConfig &b)
    {
        return a.tied() == b.tied();
    }
};

/// Everything that is wrong with a file.
struct ConfigError
{
    std::vector<YamlFault> faults;
    /// One line a fault: "line 3: services[0].cells: ...".
    std::string text() const;
};

/// Parses and checks a whole file. The last line must be the YAML document end marker "...", so that a file read half
/// way is refused. A text that begins with "{" is a routing document, as parseRouting() reads it. Thread-safe.
Result<ClusterConfig, ConfigError> parseConfig(const std::string &text);

/// Checks that a change from one accepted configuration to the next is allowed: a service keeps its number of cells.
Result<Done, ConfigError> checkChange(const ClusterConfig &inForce, const ClusterConfig &next);

/// Hexadecimal XXH3-128 of the file's bytes.
std::string configDigest(const std::string &text);

/// One line for each difference, for people: "+ service x", "~ team y: weight 1 -> 2".
std::vector<std::string> diffConfigs(const ClusterConfig &before, const ClusterConfig &after);

} // namespace agatedrum
