#pragma once

#include "agatedrum/result.h"
#include "base_log_p.h"
#include "base_yaml_p.h"
#include "control_tolerance_p.h"
#include "host_lease_terms_p.h"
#include "member_link_p.h"

#include <string>
#include <vector>

namespace agatedrum {

/// Settings of one process. Immutable after parsing. A setting whose comment begins with a role is accepted only
/// for that role.
struct ProcessSettings
{
    wire::Role::type role = wire::Role::TOOL;
    std::string name;
    std::string failureDomain;
    wire::Endpoint peers; ///< address for connections from other processes
    wire::Endpoint http; ///< address for callers, operators and metrics
    std::vector<ControlPeer> control;
    LogLevel logLevel = LogLevel::Info;
    Millis stopTimeout {60000};
    int busThreads = 2;
    int httpThreads = 2;
    int maxConnections = 10000; ///< entry
    int maxInFlight = 20000; ///< entry: requests that await an answer
    Millis requestTimeout {60000}; ///< entry
    int shards = 8; ///< owner
    int maxBackendConnections = 64; ///< agent
    std::string dataFolder; ///< control; empty on a platform for a process without a disk, which never votes
    /// True if callers, operators and backend servers use the interface of a platform instead of agatedrum's own.
    bool isOnPlatform = false;
    bool mayFormGroup = true; ///< control on a platform: whether a process with an empty disk may bootstrap a group
    /// control on a platform: failure domains that exist, also while no process of theirs is known
    std::vector<std::string> failureDomains;
    LossTolerance tolerance; ///< control on a platform: losses that the group has to bear at the same time
    Millis voterReplacementTimeout {0}; ///< control on a platform: time without contact until a voter is replaced
    double farFactor = 1.0; ///< entry on a platform: factor on the run time of a task that runs remote from its data
    wire::Endpoint callers; ///< entry on a platform: address for callers
    wire::Endpoint readiness; ///< entry on a platform: address for readiness checks
    wire::Endpoint registrations; ///< agent on a platform: address for the registration of its backend server
    bool heedsPriority = false; ///< agent on a platform: whether priorities decide what waits, see priorityPolicy
    HostLeaseTerms hostLease; ///< agent on a platform: follows from the time after which callers submit a job again
    wire::Endpoint operators; ///< control on a platform: address for operators
};

struct SettingsError
{
    std::vector<YamlError> errors;
    std::string text() const;
};

/// Parses and validates the text of a settings file. Thread-safe.
Result<ProcessSettings, SettingsError> parseSettings(const std::string &text);

/// Reads, parses and validates a settings file.
Result<ProcessSettings, SettingsError> readSettingsFile(const std::string &path);

/// Key of the settings file. Used to check that the documentation is complete.
struct SettingsKey
{
    std::string name;
    std::string roles; ///< "all" or the roles that accept the key
};

/// Returns all keys that parseSettings() accepts.
const std::vector<SettingsKey> &settingsKeys();

} // namespace agatedrum
