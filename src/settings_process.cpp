#include "settings_process_p.h"

#include <arpa/inet.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <set>
#include <sstream>
#include <utility>

namespace agatedrum {

namespace {

constexpr int maxPort = 65535;
constexpr int maxThreads = 256;
constexpr int maxShards = 1024;
constexpr int maxConcurrency = 1000000;
constexpr std::int64_t maxDurationMs = 3600000;

const std::array<std::pair<const char *, wire::Role::type>, 4> roleNames {{{"entry", wire::Role::ENTRY},
                                                                           {"owner", wire::Role::OWNER},
                                                                           {"agent", wire::Role::AGENT},
                                                                           {"control", wire::Role::CONTROL}}};
const std::array<std::pair<const char *, LogLevel>, 4> levelNames {
    {{"debug", LogLevel::Debug}, {"info", LogLevel::Info}, {"warning", LogLevel::Warning}, {"error", LogLevel::Error}}};

template<typename Table>
auto readChoice(YamlReader &reader, const std::string &key, const std::string &fallback, const Table &table)
{
    std::vector<std::string> names;
    names.reserve(table.size());
    for (const auto &row : table) {
        names.emplace_back(row.first);
    }
    const auto name = reader.choice(key, fallback, names);
    return std::find_if(table.begin(), table.end(), [&name](const auto &row) { return name == row.first; })->second;
}

wire::Endpoint readEndpoint(YamlReader &parent, const std::string &key)
{
    wire::Endpoint endpoint;
    if (!parent.has(key)) {
        parent.map(key);
        parent.addError(key, "is required: a map of host (IP address) and port");
        return endpoint;
    }
    auto reader = parent.map(key);
    endpoint.host = reader.requiredText("host");
    in_addr address {};
    if (!endpoint.host.empty() && inet_pton(AF_INET, endpoint.host.c_str(), &address) != 1) {
        reader.addError("host", "must be an IPv4 address");
    }
    endpoint.port = static_cast<int>(reader.requiredInteger("port", 1, maxPort));
    reader.reportUnknownKeys();
    return endpoint;
}

std::vector<ControlPeer> readControlPeers(YamlReader &parent)
{
    std::vector<ControlPeer> peers;
    std::set<std::string> usedNames;
    for (auto &reader : parent.list("control")) {
        ControlPeer peer;
        peer.name = reader.requiredText("name");
        peer.address = readEndpoint(reader, "address");
        if (!usedNames.insert(peer.name).second) {
            reader.addError("name", "appears twice");
        }
        reader.reportUnknownKeys();
        peers.push_back(std::move(peer));
    }
    if (peers.empty()) {
        parent.addError("control", "must list the control processes");
    }
    return peers;
}

int readInt(YamlReader &reader, const std::string &key, int fallback, int maxValue)
{
    return static_cast<int>(reader.integer(key, fallback, 1, maxValue));
}

/// Reads a number of losses. A key without a value has the default.
int readCount(YamlReader &reader, const std::string &key, int fallback)
{
    constexpr double maxLosses = 100;
    return static_cast<int>(reader.real(key, fallback, 0, maxLosses));
}

/// Reads an address of the form "IP:PORT".
wire::Endpoint readAddress(YamlReader &reader, const std::string &key)
{
    const auto text = reader.requiredText(key);
    const auto address = parseEndpoint(text);
    if (!address && !text.empty()) {
        reader.addError(key, "must be an IPv4 address and a port, such as 10.0.0.1:7000");
    }
    return address.value_or(wire::Endpoint());
}

/// Reads the addresses from which the control processes are discovered. Their ports are replaced by controlPort, since
/// all control processes listen for peers on the same port.
std::vector<ControlPeer> readControlSeeds(YamlReader &reader)
{
    std::vector<ControlPeer> seeds;
    const auto port = static_cast<int>(reader.requiredInteger("controlPort", 1, maxPort));
    for (const auto &text : reader.textList("controlSeeds")) {
        auto address = parseEndpoint(text);
        if (!address) {
            reader.addError("controlSeeds", "must list IPv4 addresses with a port");
            continue;
        }
        address->port = port;
        seeds.push_back({fmt::format("{}:{}", address->host, port), *address});
    }
    if (seeds.empty()) {
        reader.addError("controlSeeds", "must list at least one address");
    }
    return seeds;
}

/// Reads the time after which callers submit a lost job again, and derives the terms of a host's leases from it.
HostLeaseTerms readLeaseTerms(YamlReader &reader)
{
    const auto *const key = "callerRetryMs";
    if (!reader.has(key)) {
        reader.requiredInteger(key, 1, maxDurationMs);
        return {};
    }
    const auto minRetry = HostLeaseTerms::minCallerRetry();
    const auto terms = HostLeaseTerms::forCallerRetry(Millis(reader.integer(key, minRetry.count(), 1, maxDurationMs)));
    if (!terms) {
        reader.addError(
            key, fmt::format("must be at least {}, since runs of a lost entry may last until then", minRetry.count()));
    }
    return terms.value_or(HostLeaseTerms());
}

/// Returns the time without contact after which a voter is replaced, for the time within which that must be done. An
/// election may come before the replacement, and two changes of the membership belong to it.
Millis replacementTimeout(double repairSeconds)
{
    constexpr Millis maxTimeout(6000);
    constexpr double shareOfRepair = 0.375;
    return std::min(maxTimeout, Millis(static_cast<std::int64_t>(repairSeconds * 1000 * shareOfRepair)));
}

void readPlatformKeys(YamlReader &reader, ProcessSettings &settings)
{
    constexpr double defaultRepairSeconds = 4;
    constexpr double maxRepairSeconds = 3600;
    constexpr double maxFarFactor = 100;
    constexpr double maxGraceSeconds = 3600;
    /// Time for sending the last messages and joining the threads before the platform kills the process.
    constexpr Millis exitMargin(700);
    settings.control = readControlSeeds(reader);
    const auto graceSeconds = reader.real("graceSeconds", 0, 0, maxGraceSeconds);
    if (graceSeconds > 0) {
        settings.stopTimeout = std::max(Millis(0), Millis(static_cast<std::int64_t>(graceSeconds * 1000)) - exitMargin);
    }
    switch (settings.role) {
    case wire::Role::ENTRY:
        settings.callers = readAddress(reader, "callers");
        settings.readiness = readAddress(reader, "readiness");
        settings.farFactor = reader.real("farFactor", 1.0, 1.0, maxFarFactor);
        break;
    case wire::Role::AGENT:
        settings.registrations = readAddress(reader, "registrations");
        settings.hostLease = readLeaseTerms(reader);
        settings.heedsPriority = reader.choice("overloadPolicy", "deadline", {"deadline", "priority"}) == "priority";
        break;
    case wire::Role::CONTROL:
        settings.operators = readAddress(reader, "operators");
        settings.mayFormGroup = reader.boolean("mayFormGroup", true);
        settings.failureDomains = reader.textList("failureDomains");
        settings.tolerance.machines = readCount(reader, "toleratedMachines", LossTolerance().machines);
        settings.tolerance.domains = readCount(reader, "toleratedDomains", LossTolerance().domains);
        settings.voterReplacementTimeout
            = replacementTimeout(reader.real("repairSeconds", defaultRepairSeconds, 1, maxRepairSeconds));
        break;
    default:
        reader.addError("interface", "this role has no platform interface");
        break;
    }
}

void readEntryKeys(YamlReader &reader, ProcessSettings &settings)
{
    settings.maxConnections = readInt(reader, "maxConnections", settings.maxConnections, maxConcurrency);
    settings.maxInFlight = readInt(reader, "maxInFlight", settings.maxInFlight, maxConcurrency);
    settings.requestTimeout
        = Millis(reader.integer("requestTimeoutMs", settings.requestTimeout.count(), 100, maxDurationMs));
}

void readRoleKeys(YamlReader &reader, ProcessSettings &settings)
{
    switch (settings.role) {
    case wire::Role::ENTRY:
        readEntryKeys(reader, settings);
        break;
    case wire::Role::OWNER:
        settings.shards = readInt(reader, "shards", settings.shards, maxShards);
        break;
    case wire::Role::AGENT:
        settings.maxBackendConnections
            = readInt(reader, "maxBackendConnections", settings.maxBackendConnections, maxConcurrency);
        break;
    case wire::Role::CONTROL:
        settings.dataFolder
            = settings.isOnPlatform ? reader.optionalText("dataFolder") : reader.requiredText("dataFolder");
        break;
    default:
        break;
    }
}

} // namespace

std::string SettingsError::text() const
{
    return describeYamlErrors(this->errors);
}

Result<ProcessSettings, SettingsError> parseSettings(const std::string &text)
{
    auto document = parseYaml(text);
    if (!isOk(document)) {
        return SettingsError {error(document)};
    }
    SettingsError settingsError;
    YamlReader reader(value(document), "", settingsError.errors);
    ProcessSettings settings;
    if (!reader.has("role")) {
        reader.addError("role", "is required: entry, owner, agent or control");
    }
    settings.role = readChoice(reader, "role", "entry", roleNames);
    settings.name = reader.requiredText("name");
    settings.failureDomain = reader.requiredText("failureDomain");
    settings.peers = readEndpoint(reader, "peers");
    settings.http = readEndpoint(reader, "http");
    settings.isOnPlatform = reader.choice("interface", "own", {"own", "platform"}) == "platform";
    if (!settings.isOnPlatform) {
        settings.control = readControlPeers(reader);
    }
    settings.logLevel = readChoice(reader, "logLevel", "info", levelNames);
    settings.stopTimeout = Millis(reader.integer("stopTimeoutMs", settings.stopTimeout.count(), 0, maxDurationMs));
    settings.busThreads = readInt(reader, "busThreads", settings.busThreads, maxThreads);
    settings.httpThreads = readInt(reader, "httpThreads", settings.httpThreads, maxThreads);
    readRoleKeys(reader, settings);
    if (settings.isOnPlatform) {
        readPlatformKeys(reader, settings);
    }
    reader.reportUnknownKeys();
    if (settings.role == wire::Role::CONTROL && !settings.isOnPlatform
        && std::none_of(settings.control.begin(), settings.control.end(),
                        [&settings](const ControlPeer &peer) { return peer.name == settings.name; })) {
        reader.addError("control", "must list this process under its own name");
    }
    if (!settingsError.errors.empty()) {
        return settingsError;
    }
    return settings;
}

Result<ProcessSettings, SettingsError> readSettingsFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        return SettingsError {{{0, "", "cannot read " + path}}};
    }
    std::stringstream text;
    text << file.rdbuf();
    return parseSettings(text.str());
}

const std::vector<SettingsKey> &settingsKeys()
{
    static const std::vector<SettingsKey> keys {{"role", "all"},
                                                {"name", "all"},
                                                {"failureDomain", "all"},
                                                {"peers", "all"},
                                                {"http", "all"},
                                                {"control", "all"},
                                                {"logLevel", "all"},
                                                {"stopTimeoutMs", "all"},
                                                {"busThreads", "all"},
                                                {"httpThreads", "all"},
                                                {"maxConnections", "entry"},
                                                {"maxInFlight", "entry"},
                                                {"requestTimeoutMs", "entry"},
                                                {"shards", "owner"},
                                                {"maxBackendConnections", "agent"},
                                                {"dataFolder", "control"},
                                                {"interface", "all"},
                                                {"controlSeeds", "all"},
                                                {"controlPort", "all"},
                                                {"graceSeconds", "all"},
                                                {"callers", "entry"},
                                                {"readiness", "entry"},
                                                {"farFactor", "entry"},
                                                {"registrations", "agent"},
                                                {"callerRetryMs", "agent"},
                                                {"overloadPolicy", "agent"},
                                                {"operators", "control"},
                                                {"mayFormGroup", "control"},
                                                {"failureDomains", "control"},
                                                {"toleratedMachines", "control"},
                                                {"toleratedDomains", "control"},
                                                {"repairSeconds", "control"}};
    return keys;
}

} // namespace agatedrum
