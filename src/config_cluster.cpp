#include "config_cluster_p.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <limits>
#include <set>

namespace agatedrum {

namespace {

constexpr std::size_t maxNameBytes = 128;
constexpr int maxCells = 4096;
constexpr int maxRecordCopies = 3;
constexpr std::int64_t maxTaskTimeMs = 3600000;
constexpr std::int64_t maxCount = 1000000;
constexpr double maxRate = 1e7;

template<typename Item>
const Item *findByName(const std::vector<Item> &items, std::string_view name)
{
    const auto found = std::find_if(items.begin(), items.end(), [name](const Item &item) { return item.name == name; });
    return found == items.end() ? nullptr : &*found;
}

/// Returns true if the last line that is not blank is the document end marker.
bool hasEndMarker(const std::string &text)
{
    const auto lineEnd = text.find_last_not_of(" \t\r\n");
    if (lineEnd == std::string::npos) {
        return false;
    }
    const auto previousNewline = text.find_last_of('\n', lineEnd);
    const auto lineBegin = previousNewline == std::string::npos ? 0 : previousNewline + 1;
    return text.substr(lineBegin, lineEnd - lineBegin + 1) == "...";
}

std::string readName(YamlReader &reader, std::set<std::string> &usedNames)
{
    auto name = reader.requiredText("name");
    if (name.size() > maxNameBytes) {
        reader.addError("name", fmt::format("is longer than {} bytes", maxNameBytes));
    }
    if (!name.empty() && !usedNames.insert(name).second) {
        reader.addError("name", fmt::format("\"{}\" appears twice", name));
    }
    return name;
}

int readInt(YamlReader &reader, const std::string &key, int fallback, std::int64_t minValue, std::int64_t maxValue)
{
    return static_cast<int>(reader.integer(key, fallback, minValue, maxValue));
}

ServiceConfig readService(YamlReader &reader, std::set<std::string> &usedNames)
{
    ServiceConfig service;
    service.name = readName(reader, usedNames);
    service.cells = readInt(reader, "cells", service.cells, 1, maxCells);
    service.recordCopies = readInt(reader, "recordCopies", service.recordCopies, 1, maxRecordCopies);
    service.order = reader.choice("order", service.order, {"leastWork", "firstCome"});
    service.placement = reader.choice("placement", service.placement,
                                      {"fastestFree", "random", "roundRobin", "leastLoaded", "twoProbes"});
    service.maxTaskTime = Millis(reader.integer("maxTaskMs", service.maxTaskTime.count(), 1, maxTaskTimeMs));
    service.maxQueuedTasks = readInt(reader, "maxQueuedTasks", service.maxQueuedTasks, 1, AGATEDRUM_MAX_QUEUED_TASKS);
    service.maxEjectedShare = reader.real("maxEjectedShare", service.maxEjectedShare, 0.0, 1.0);
    reader.reportUnknownKeys();
    return service;
}

TeamConfig readTeam(YamlReader &reader, std::set<std::string> &usedNames)
{
    TeamConfig team;
    team.name = readName(reader, usedNames);
    team.weight = reader.real("weight", team.weight, 0.001, 1000.0);
    team.maxTasksPerSecond = reader.real("maxTasksPerSecond", team.maxTasksPerSecond, 0.0, maxRate);
    team.maxTasksInFlight = readInt(reader, "maxTasksInFlight", team.maxTasksInFlight, 0, maxCount);
    team.maxQueuedTasks = readInt(reader, "maxQueuedTasks", team.maxQueuedTasks, 0, maxCount);
    reader.reportUnknownKeys();
    return team;
}

BackendServerConfig readBackendServer(YamlReader &reader, std::set<std::string> &usedNames)
{
    BackendServerConfig server;
    server.name = readName(reader, usedNames);
    server.isDrained = reader.boolean("drain", server.isDrained);
    server.maxSlots = readInt(reader, "maxSlots", server.maxSlots, 0, maxCount);
    reader.reportUnknownKeys();
    return server;
}

template<typename Item>
std::vector<Item> readList(YamlReader &reader, const std::string &key,
                           Item (*readItem)(YamlReader &, std::set<std::string> &))
{
    std::vector<Item> items;
    std::set<std::string> usedNames;
    for (auto &child : reader.list(key)) {
        items.push_back(readItem(child, usedNames));
    }
    return items;
}

template<typename Value>
void appendChange(std::string &text, std::string_view key, const Value &before, const Value &after)
{
    if (!(before == after)) {
        text += fmt::format("{}{} {} -> {}", text.empty() ? "" : ", ", key, before, after);
    }
}

std::string describeChange(const ServiceConfig &a, const ServiceConfig &b)
{
    std::string text;
    appendChange(text, "cells", a.cells, b.cells);
    appendChange(text, "recordCopies", a.recordCopies, b.recordCopies);
    appendChange(text, "order", a.order, b.order);
    appendChange(text, "placement", a.placement, b.placement);
    appendChange(text, "maxTaskMs", a.maxTaskTime.count(), b.maxTaskTime.count());
    appendChange(text, "maxQueuedTasks", a.maxQueuedTasks, b.maxQueuedTasks);
    appendChange(text, "maxEjectedShare", a.maxEjectedShare, b.maxEjectedShare);
    return text;
}

std::string describeChange(const TeamConfig &a, const TeamConfig &b)
{
    std::string text;
    appendChange(text, "weight", a.weight, b.weight);
    appendChange(text, "maxTasksPerSecond", a.maxTasksPerSecond, b.maxTasksPerSecond);
    appendChange(text, "maxTasksInFlight", a.maxTasksInFlight, b.maxTasksInFlight);
    appendChange(text, "maxQueuedTasks", a.maxQueuedTasks, b.maxQueuedTasks);
    return text;
}

std::string describeChange(const BackendServerConfig &a, const BackendServerConfig &b)
{
    std::string text;
    appendChange(text, "drain", a.isDrained, b.isDrained);
    appendChange(text, "maxSlots", a.maxSlots, b.maxSlots);
    return text;
}

template<typename Item>
void diffLists(const std::string &kind, const std::vector<Item> &before, const std::vector<Item> &after,
               std::vector<std::string> &lines)
{
    for (const auto &item : before) {
        const auto *next = findByName(after, item.name);
        if (next == nullptr) {
            lines.push_back(fmt::format("- {} {}", kind, item.name));
        } else if (!(*next == item)) {
            lines.push_back(fmt::format("~ {} {}: {}", kind, item.name, describeChange(item, *next)));
        }
    }
    for (const auto &item : after) {
        if (findByName(before, item.name) == nullptr) {
            lines.push_back(fmt::format("+ {} {}", kind, item.name));
        }
    }
}

Result<ClusterConfig, ConfigError> parseRoutingFile(const std::string &text)
{
    auto routing = parseRouting(text);
    if (!isOk(routing)) {
        return ConfigError {{{0, "", error(routing).message}}};
    }
    ClusterConfig config;
    config.number = value(routing).number;
    config.routing = takeValue(std::move(routing));
    return config;
}

} // namespace

std::string ConfigError::text() const
{
    return describeYamlErrors(this->errors);
}

const ServiceConfig *ClusterConfig::service(std::string_view name) const
{
    return findByName(this->services, name);
}

const TeamConfig *ClusterConfig::team(std::string_view name) const
{
    return findByName(this->teams, name);
}

const BackendServerConfig *ClusterConfig::backendServer(std::string_view name) const
{
    return findByName(this->backendServers, name);
}

Result<ClusterConfig, ConfigError> parseConfig(const std::string &text)
{
    if (!text.empty() && text.front() == '{') {
        return parseRoutingFile(text);
    }
    if (!hasEndMarker(text)) {
        return ConfigError {
            {{0, "", "the last line must be the YAML document end marker \"...\"; the file may be truncated"}}};
    }
    auto document = parseYaml(text);
    if (!isOk(document)) {
        return ConfigError {error(document)};
    }
    ConfigError configError;
    YamlReader reader(value(document), "", configError.errors);
    ClusterConfig config;
    config.number = reader.requiredInteger("number", 1, std::numeric_limits<std::int64_t>::max());
    config.services = readList(reader, "services", &readService);
    config.teams = readList(reader, "teams", &readTeam);
    config.backendServers = readList(reader, "backendServers", &readBackendServer);
    reader.reportUnknownKeys();
    if (config.services.empty() && configError.errors.empty()) {
        reader.addError("services", "must list at least one service");
    }
    if (!configError.errors.empty()) {
        return configError;
    }
    return config;
}

Result<Done, ConfigError> checkConfigChange(const ClusterConfig &inForce, const ClusterConfig &next)
{
    ConfigError configError;
    for (const auto &service : next.services) {
        const auto *before = inForce.service(service.name);
        if (before != nullptr && before->cells != service.cells) {
            configError.errors.push_back(
                {0, fmt::format("services[{}].cells", service.name),
                 fmt::format("must remain {}, because job keys are assigned to the cells of a service by their hash",
                             before->cells)});
        }
    }
    if (!configError.errors.empty()) {
        return configError;
    }
    return Done {};
}

std::string configDigest(const std::string &text)
{
    const auto hash = XXH3_128bits(text.data(), text.size());
    return fmt::format("{:016x}{:016x}", hash.high64, hash.low64);
}

std::vector<std::string> diffConfigs(const ClusterConfig &before, const ClusterConfig &after)
{
    std::vector<std::string> lines;
    diffLists("service", before.services, after.services, lines);
    diffLists("team", before.teams, after.teams, lines);
    diffLists("backend server", before.backendServers, after.backendServers, lines);
    return lines;
}

} // namespace agatedrum
