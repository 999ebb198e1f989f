#pragma once

#include "agatedrum/result.h"
#include "base_log_p.h"
#include "base_yaml_p.h"
#include "member_link_p.h"

#include <string>
#include <vector>

namespace agatedrum {

/// Settings of one process. Immutable once parsed.
struct ProcessSettings
{
    wire::Role::type role = wire::Role::TOOL;
    std::string name;
    std::string failureDomain;
    wire::Endpoint peers; ///< where other processes reach this one
    wire::Endpoint http; ///< callers, operators, metrics
    std::vector<ControlPeer> control;
    LogLevel logLevel = LogLevel::Info;
    Millis stopTimeout {60000};
    int busThreads = 2;
    int httpThreads = 2;
    int maxConnections = 10000; ///< entry
    int maxInFlight = 20000; ///< entry: requests that wait for an answer
    Millis requestTimeout {60000}; ///< entry
    int shards = 8; ///< owner
    int maxBackendConnections = 64; ///< agent
    std::string dataFolder; ///< control
    /// Whether callers, operators and backend servers speak the product's own interface or that of a platform.
    bool isOnPlatform = false;
    bool mayFormGroup = true; ///< control on a platform: whether a fresh disk may take part in forming the group
    int maxVoters = 0; ///< control on a platform: further processes are learners
    double farFactor = 1.0; ///< entry on a platform: how much longer a task takes away from its data
    wire::Endpoint callers; ///< entry on a platform
    wire::Endpoint readiness; ///< entry on a platform
    wire::Endpoint registrations; ///< agent on a platform: of its backend server
    wire::Endpoint operators; ///< control on a platform
};

struct SettingsError
{
    std::vector<YamlFault> faults;
    std::string text() const;
};

/// Parses and checks a whole settings file. Thread-safe.
Result<ProcessSettings, SettingsError> parseSettings(const std::string &text);

/// Reads, parses and checks a settings file.
Result<ProcessSettings, SettingsError> readSettingsFile(const std::string &path);

/// One key of the settings file, for the documentation and its test.
struct SettingsKey
{
    std::string name;
    std::string roles; ///< "all" or the roles that accept it
};

/// All keys that parseSettings knows.
const std::vector<SettingsKey> &settingsKeys();

} // namespace agatedrum
