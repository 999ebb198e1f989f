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

/// Configuration of one service.
struct ServiceConfig
{
    std::string name;
    int cells = 1;
    int recordCopies = 2; ///< processes, including the owner, that hold a job's record before its first start
    std::string order = "leastWork"; ///< leastWork or firstCome
    std::string placement = "fastestFree"; ///< fastestFree, random, roundRobin, leastLoaded or twoProbes
    Millis maxTaskTime {30000}; ///< a task that runs longer is stopped, and its outcome is unknown
    int maxQueuedTasks = AGATEDRUM_MAX_QUEUED_TASKS; ///< per cell
    double maxEjectedShare = 0.3; ///< maximum share of a cell's backend servers that may be ejected at the same time

    auto asTuple() const
    {
        return std::tie(this->name, this->cells, this->recordCopies, this->order, this->placement, this->maxTaskTime,
                        this->maxQueuedTasks, this->maxEjectedShare);
    }
    friend bool operator==(const ServiceConfig &a, const ServiceConfig &b)
    {
        return a.asTuple() == b.asTuple();
    }
};

/// Configuration and quotas of one team.
struct TeamConfig
{
    std::string name;
    double weight = 1.0; ///< share of the capacity relative to other teams
    double maxTasksPerSecond = 0; ///< 0 for no limit
    int maxTasksInFlight = 0; ///< started but unfinished tasks, per cell; 0 for no limit
    int maxQueuedTasks = 0; ///< per cell; 0 for no limit specific to the team

    auto asTuple() const
    {
        return std::tie(this->name, this->weight, this->maxTasksPerSecond, this->maxTasksInFlight,
                        this->maxQueuedTasks);
    }
    friend bool operator==(const TeamConfig &a, const TeamConfig &b)
    {
        return a.asTuple() == b.asTuple();
    }
};

/// Operator settings for one backend server. Backend servers that are not listed use the values that they announce.
struct BackendServerConfig
{
    std::string name;
    bool isDrained = false; ///< receives no new tasks
    int maxSlots = 0; ///< 0 for the number that the backend server announces

    auto asTuple() const
    {
        return std::tie(this->name, this->isDrained, this->maxSlots);
    }
    friend bool operator==(const BackendServerConfig &a, const BackendServerConfig &b)
    {
        return a.asTuple() == b.asTuple();
    }
};

/// Contents of a configuration file. Immutable after parsing.
struct ClusterConfig
{
    std::int64_t number = 0;
    std::vector<ServiceConfig> services;
    std::vector<TeamConfig> teams;
    std::vector<BackendServerConfig> backendServers;
    std::optional<RoutingConfig> routing; ///< set if the file is a routing document

    const ServiceConfig *service(std::string_view name) const;
    const TeamConfig *team(std::string_view name) const;
    const BackendServerConfig *backendServer(std::string_view name) const;

    auto asTuple() const
    {
        return std::tie(this->number, this->services, this->teams, this->backendServers, this->routing);
    }
    friend bool operator==(const ClusterConfig &a, const ClusterConfig &b)
    {
        return a.asTuple() == b.asTuple();
    }
};

/// All errors found in a configuration file.
struct ConfigError
{
    std::vector<YamlError> errors;
    /// Returns one line of text for each error, such as "line 3: services[0].cells: ...".
    std::string text() const;
};

/// Parses and validates a configuration file. The last line must be the YAML document end marker "...", so that a
/// truncated file is rejected. A text that begins with "{" is parsed as a routing document by parseRouting().
/// Thread-safe.
Result<ClusterConfig, ConfigError> parseConfig(const std::string &text);

/// Checks whether next may replace inForce, the configuration that is in force. The number of cells of a service must
/// not change.
Result<Done, ConfigError> checkConfigChange(const ClusterConfig &inForce, const ClusterConfig &next);

/// Returns the XXH3-128 hash of the file's bytes in hexadecimal.
std::string configDigest(const std::string &text);

/// Returns one human-readable line for each difference, such as "+ service x" or "~ team y: weight 1 -> 2".
std::vector<std::string> diffConfigs(const ClusterConfig &before, const ClusterConfig &after);

} // namespace agatedrum
