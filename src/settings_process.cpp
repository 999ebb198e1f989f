#include "settings_process_p.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <set>
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
    settings.control = readControl(reader);
    settings.logLevel = chooseFrom(reader, "logLevel", "info", levelNames);
    settings.stopTimeout = Millis(reader.integer("stopTimeoutMs", settings.stopTimeout.count(), 0, maxDurationMs));
    settings.busThreads = readInt(reader, "busThreads", settings.busThreads, maxThreads);
    settings.httpThreads = readInt(reader, "httpThreads", settings.httpThreads, maxThreads);
    readRoleKeys(reader, settings);
    reader.finish();
    if (settings.role == wire::Role::CONTROL
        && std::none_of(settings.control.begin(), settings.control.end(),
                        [&settings](const ControlPeer &peer) { return peer.name == settings.name; })) {
        reader.fault("control", "must list this process under its own name");
    }
    if (!faults.faults.empty()) {
        return faults;
    }
    return settings;
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
                                                {"dataFolder", "control"}};
    return keys;
}

} // namespace agatedrum
