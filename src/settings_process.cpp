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
constexpr int maxOpen = 1000000;
constexpr std::int64_t maxDurationMs = 3600000;

const std::array<std::pair<const char *, wire::Role::type>, 4> roleNames {{{"entry", wire::Role::ENTRY},
                                                                           {"owner", wire::Role::OWNER},
                                                                           {"agent", wire::Role::AGENT},
                                                                           {"control", wire::Role::CONTROL}}};
const std::array<std::pair<const char *, LogLevel>, 4> levelNames {
    {{"debug", LogLevel::Debug}, {"info", LogLevel::Info}, {"warning", LogLevel::Warning}, {"error", LogLevel::Error}}};

template<typename Table>
auto chooseFrom(YamlReader &reader, const std::string &key, const std::string &fallback, const Table &table)
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
        parent.fault(key, "is required: a map of host (IP address) and port");
        return endpoint;
    }
    auto reader = parent.map(key);
    endpoint.host = reader.requiredText("host");
    in_addr address {};
    if (!endpoint.host.empty() && inet_pton(AF_INET, endpoint.host.c_str(), &address) != 1) {
        reader.fault("host", "must be an IPv4 address");
    }
    endpoint.port = static_cast<int>(reader.requiredInteger("port", 1, maxPort));
    reader.finish();
    return endpoint;
}

std::vector<ControlPeer> readControl(YamlReader &parent)
{
    std::vector<ControlPeer> peers;
    std::set<std::string> names;
    for (auto &reader : parent.list("control")) {
        ControlPeer peer;
        peer.name = reader.requiredText("name");
        peer.address = readEndpoint(reader, "address");
        if (!names.insert(peer.name).second) {
            reader.fault("name", "appears twice");
        }
        reader.finish();
        peers.push_back(std::move(peer));
    }
    if (peers.empty()) {
        parent.fault("control", "must list the control processes");
    }
    return peers;
}

int readInt(YamlReader &reader, const std::string &key, int fallback, int highest)
{
    return static_cast<int>(reader.integer(key, fallback, 1, highest));
}

/// Reads "IP:PORT".
wire::Endpoint readAddress(YamlReader &reader, const std::string &key)
{
    const auto text = reader.requiredText(key);
    const auto address = parseEndpoint(text);
    if (!address && !text.empty()) {
        reader.fault(key, "must be an IPv4 address and a port, such as 10.0.0.1:7000");
    }
    return address.value_or(wire::Endpoint());
}

/// Control processes are found from the hosts of these addresses; all listen for their peers on one port.
std::vector<ControlPeer> readSeeds(YamlReader &reader)
{
    std::vector<ControlPeer> seeds;
    const auto port = static_cast<int>(reader.requiredInteger("controlPort", 1, maxPort));
    for (const auto &text : reader.texts("controlSeeds")) {
        auto address = parseEndpoint(text);
        if (!address) {
            reader.fault("controlSeeds", "must list IPv4 addresses with a port");
            continue;
        }
        address->port = port;
        seeds.push_back({fmt::format("{}:{}", address->host, port), *address});
    }
    if (seeds.empty()) {
        reader.fault("controlSeeds", "must list at least one address");
    }
    return seeds;
}

void readPlatformKeys(YamlReader &reader, ProcessSettings &settings)
{
    constexpr double highestFactor = 100;
    constexpr double highestGrace = 3600;
    /// For the last messages and the end of the threads, before the platform kills the process.
    constexpr Millis graceMargin(700);
    settings.control = readSeeds(reader);
    const auto grace = reader.real("graceSeconds", 0, 0, highestGrace);
    if (grace > 0) {
        settings.stopTimeout = std::max(Millis(0), Millis(static_cast<std::int64_t>(grace * 1000)) - graceMargin);
    }
    switch (settings.role) {
    case wire::Role::ENTRY:
        settings.callers = readAddress(reader, "callers");
        settings.readiness = readAddress(reader, "readiness");
        settings.farFactor = reader.real("farFactor", 1.0, 1.0, highestFactor);
        break;
    case wire::Role::AGENT:
        settings.registrations = readAddress(reader, "registrations");
        break;
    case wire::Role::CONTROL:
        settings.operators = readAddress(reader, "operators");
        settings.mayFormGroup = reader.boolean("mayFormGroup", true);
        settings.maxVoters = readInt(reader, "maxVoters", 3, maxThreads);
        break;
    default:
        reader.fault("interface", "this role has none on a platform");
        break;
    }
}

void readEntryKeys(YamlReader &reader, ProcessSettings &settings)
{
    settings.maxConnections = readInt(reader, "maxConnections", settings.maxConnections, maxOpen);
    settings.maxInFlight = readInt(reader, "maxInFlight", settings.maxInFlight, maxOpen);
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
            = readInt(reader, "maxBackendConnections", settings.maxBackendConnections, maxOpen);
        break;
    case wire::Role::CONTROL:
        settings.dataFolder = reader.requiredText("dataFolder");
        break;
    default:
        break;
    }
}

} // namespace

std::string SettingsError::text() const
{
    return describeFaults(this->faults);
}

Result<ProcessSettings, SettingsError> parseSettings(const std::string &text)
{
    auto document = parseYaml(text);
    if (!isOk(document)) {
        return SettingsError {error(document)};
    }
    SettingsError faults;
    YamlReader reader(value(document), "", faults.faults);
    ProcessSettings settings;
    if (!reader.has("role")) {
        reader.fault("role", "is required: entry, owner, agent or control");
    }
    settings.role = chooseFrom(reader, "role", "entry", roleNames);
    settings.name = reader.requiredText("name");
    settings.failureDomain = reader.requiredText("failureDomain");
    settings.peers = readEndpoint(reader, "peers");
    settings.http = readEndpoint(reader, "http");
    settings.isOnPlatform = reader.choice("interface", "own", {"own", "platform"}) == "platform";
    if (!settings.isOnPlatform) {
        settings.control = readControl(reader);
    }
    settings.logLevel = chooseFrom(reader, "logLevel", "info", levelNames);
    settings.stopTimeout = Millis(reader.integer("stopTimeoutMs", settings.stopTimeout.count(), 0, maxDurationMs));
    settings.busThreads = readInt(reader, "busThreads", settings.busThreads, maxThreads);
    settings.httpThreads = readInt(reader, "httpThreads", settings.httpThreads, maxThreads);
    readRoleKeys(reader, settings);
    if (settings.isOnPlatform) {
        readPlatformKeys(reader, settings);
    }
    reader.finish();
    if (settings.role == wire::Role::CONTROL && !settings.isOnPlatform
        && std::none_of(settings.control.begin(), settings.control.end(),
                        [&settings](const ControlPeer &peer) { return peer.name == settings.name; })) {
        reader.fault("control", "must list this process under its own name");
    }
    if (!faults.faults.empty()) {
        return faults;
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
                                                {"operators", "control"},
                                                {"mayFormGroup", "control"},
                                                {"maxVoters", "control"}};
    return keys;
}

} // namespace agatedrum
