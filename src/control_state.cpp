#include "control_state_p.h"

#include "agatedrum/config.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <algorithm>
#include <ctime>
#include <utility>

namespace agatedrum {

namespace {

/// Maximum number of accepted files that are kept, and of those that are kept with their text.
constexpr std::size_t maxHistoryFiles = 256;
constexpr std::size_t maxHistoryTexts = 16;
constexpr std::size_t maxHistoryBytes = AGATEDRUM_CONFIG_HISTORY_BYTES;
constexpr std::int32_t noCell = -1;

const wire::ConfigFile emptyFile;

/// A copy that is cleared keeps room for the text, in each view that waits to be sent.
wire::ConfigFile withoutText(const wire::ConfigFile &file)
{
    wire::ConfigFile result;
    result.number = file.number;
    result.digest = file.digest;
    result.author = file.author;
    result.acceptedAtMs = file.acceptedAtMs;
    result.ignoreIfNotHigher = file.ignoreIfNotHigher;
    return result;
}

std::string describe(const wire::ConfigFile &file)
{
    const auto seconds = static_cast<std::time_t>(file.acceptedAtMs / 1000);
    return fmt::format("configuration {} of {} (digest {}), accepted {:%Y-%m-%dT%H:%M:%SZ}", file.number, file.author,
                       file.digest, fmt::gmtime(seconds));
}

} // namespace

std::string describeEvacuation(const wire::Evacuation &order)
{
    return fmt::format("failure domain {} is {}", order.failureDomain, order.active ? "evacuated" : "in service");
}

std::optional<ConfigDecision> ControlState::apply(std::int64_t index, const wire::Command &command)
{
    if (command.__isset.setConfig) {
        return this->setConfig(index, command.setConfig.file);
    }
    if (command.__isset.setEvacuation) {
        return this->applyEvacuation(index, command.setEvacuation);
    }
    if (command.__isset.memberJoin) {
        this->applyMemberJoin(index, command.memberJoin);
    } else if (command.__isset.memberGone) {
        this->applyMemberGone(index, command.memberGone);
    } else if (command.__isset.memberLeaving) {
        this->applyMemberLeaving(index, command.memberLeaving);
    } else if (command.__isset.holderWhole) {
        this->applyHolderWhole(index, command.holderWhole);
    } else if (command.__isset.handOver) {
        this->applyHandOver(index, command.handOver);
    }
    return std::nullopt;
}

// Configuration.

ConfigDecision ControlState::evaluate(const wire::ConfigFile &file) const
{
    return this->validate(file).decision;
}

ControlState::ValidatedConfig ControlState::validate(const wire::ConfigFile &file) const
{
    const auto &current = this->file();
    if (file.ignoreIfNotHigher && file.number <= current.number) {
        return {{true, "accepted", fmt::format("{} stays in force: its number is not lower", describe(current))}, {}};
    }
    if (file.number == current.number && current.number != 0) {
        if (file.digest == current.digest) {
            return {{true, "accepted", fmt::format("{} is in force", describe(current))}, {}};
        }
        const auto text = fmt::format("number {} is taken by {}; use a higher number", file.number, describe(current));
        return {{false, "conflict", text}, {}};
    }
    if (file.number < current.number) {
        const auto text = fmt::format("number {} is lower than that of {}", file.number, describe(current));
        return {{false, "lower-number", text}, {}};
    }
    auto next = parseConfig(file.text);
    if (!isOk(next)) {
        return {{false, "invalid", error(next).text()}, {}};
    }
    const auto change = checkConfigChange(this->parsedConfig, value(next));
    if (!isOk(change)) {
        return {{false, "invalid", error(change).text()}, {}};
    }
    return {{true, "accepted", fmt::format("configuration {} accepted", file.number)}, takeValue(std::move(next))};
}

ConfigDecision ControlState::setConfig(std::int64_t index, const wire::ConfigFile &file)
{
    auto [decision, next] = this->validate(file);
    if (!next) {
        return decision;
    }
    this->parsedConfig = std::move(*next);
    this->acceptedFiles.push_back(file);
    this->limitHistory();
    this->configVersion = index;
    this->updateCells(index);
    for (auto &[name, member] : this->memberRecords) {
        if (member.role == wire::Role::AGENT && member.cell == noCell) {
            this->assignAgentToCell(index, member);
        }
    }
    this->reconcile(index, file.acceptedAtMs);
    return decision;
}

void ControlState::limitHistory()
{
    if (this->acceptedFiles.size() > maxHistoryFiles) {
        this->acceptedFiles.erase(this->acceptedFiles.begin());
    }
    std::size_t texts = 0;
    std::size_t bytes = 0;
    for (auto file = this->acceptedFiles.rbegin(); file != this->acceptedFiles.rend() && !file->text.empty(); ++file) {
        bytes += file->text.size();
        if (++texts > 1 && (texts > maxHistoryTexts || bytes > maxHistoryBytes)) {
            std::string().swap(file->text); // unlike clear(), frees the memory
        }
    }
}

void ControlState::updateCells(std::int64_t index)
{
    std::set<std::string> servicesWithCells;
    for (auto cell = this->cellRecords.begin(); cell != this->cellRecords.end();) {
        const auto &service = cell->second.record.serviceName;
        if (this->parsedConfig.service(service)) {
            servicesWithCells.insert(service);
            ++cell;
            continue;
        }
        for (const auto &agent : cell->second.agents) {
            this->memberRecords.at(agent).cell = noCell;
            this->memberRecords.at(agent).version = index;
        }
        cell = this->cellRecords.erase(cell);
        this->routesVersion = index;
    }
    for (const auto &service : this->parsedConfig.services) {
        for (int i = 0; i < service.cells && servicesWithCells.count(service.name) == 0; ++i) {
            auto &record = this->cellRecords[this->nextCell].record;
            record.cell = this->nextCell++;
            record.serviceName = service.name;
            record.routeVersion = index;
            record.agentsVersion = index;
            this->routesVersion = index;
        }
    }
}

// Evacuations.

ConfigDecision ControlState::applyEvacuation(std::int64_t index, const wire::SetEvacuation &command)
{
    const auto &domain = command.evacuation.failureDomain;
    if (command.expectedIndex != this->evacuation(domain).orderIndex) {
        return {false, "superseded", fmt::format("another order for failure domain {} came in between", domain)};
    }
    auto &order = this->evacuationOrders[domain];
    order = command.evacuation;
    order.orderIndex = index;
    this->evacuationsVersion = index;
    return {true, "accepted", describeEvacuation(order)};
}

const std::map<std::string, wire::Evacuation> &ControlState::evacuations() const
{
    return this->evacuationOrders;
}

wire::Evacuation ControlState::evacuation(const std::string &failureDomain) const
{
    const auto found = this->evacuationOrders.find(failureDomain);
    if (found != this->evacuationOrders.end()) {
        return found->second;
    }
    wire::Evacuation none;
    none.failureDomain = failureDomain;
    return none;
}

bool ControlState::isEvacuated(const std::string &failureDomain) const
{
    const auto found = this->evacuationOrders.find(failureDomain);
    return found != this->evacuationOrders.end() && found->second.active;
}

// Members.

void ControlState::applyMemberJoin(std::int64_t index, const wire::MemberJoin &command)
{
    const auto *known = this->member(command.id.name);
    // The wall clock may have gone back between two starts of a process, so an unresponsive incarnation can be replaced
    // by any other.
    const bool isReplaced = known && command.replaces != 0 && known->id.incarnation == command.replaces;
    if (known && known->id.incarnation > command.id.incarnation && !isReplaced) {
        return;
    }
    const bool isRestarted = known && known->id.incarnation != command.id.incarnation;
    const auto service = command.__isset.server ? command.server.serviceName : std::string();
    const bool isServiceChanged = known && known->serviceName != service;
    const auto previousRole = known ? known->role : command.role;
    auto cell = known ? known->cell : noCell;
    if (isRestarted && previousRole == wire::Role::OWNER) {
        // The ledgers and replicas of the earlier process are lost.
        this->removeMember(index, command.id.name);
        this->reconcile(index, command.atMs);
    }
    if (isServiceChanged && previousRole == wire::Role::AGENT) {
        this->removeAgentFromCell(index, this->memberRecords.at(command.id.name));
        cell = noCell;
    }
    auto &member = this->memberRecords[command.id.name];
    member.id = command.id;
    member.role = command.role;
    member.address = command.address;
    member.failureDomain = command.failureDomain;
    member.serviceName = service;
    member.cell = cell;
    member.leaving = false;
    member.version = index;
    member.leaseVersion = index;
    if (member.role == wire::Role::AGENT) {
        if (member.cell == noCell) {
            this->assignAgentToCell(index, member);
        } else {
            this->cellRecords.at(member.cell).record.agentsVersion = index;
        }
    } else if (member.role == wire::Role::OWNER) {
        this->reconcile(index, command.atMs);
    } else if (member.role == wire::Role::ENTRY) {
        this->entriesVersion = index;
    }
}

void ControlState::applyMemberGone(std::int64_t index, const wire::MemberGone &command)
{
    const auto *known = this->member(command.id.name);
    if (!known || known->id != command.id) {
        return;
    }
    const bool isOwner = known->role == wire::Role::OWNER;
    this->removeMember(index, command.id.name);
    if (isOwner) {
        this->reconcile(index, command.atMs);
    }
}

void ControlState::applyMemberLeaving(std::int64_t index, const wire::MemberLeaving &command)
{
    const auto found = this->memberRecords.find(command.id.name);
    if (found == this->memberRecords.end() || found->second.id != command.id) {
        return;
    }
    found->second.leaving = true;
    if (found->second.role == wire::Role::OWNER) {
        this->reconcile(index, 0);
    }
}

void ControlState::removeMember(std::int64_t index, const std::string &name)
{
    const auto found = this->memberRecords.find(name);
    if (found->second.role == wire::Role::AGENT) {
        this->removeAgentFromCell(index, found->second);
    } else if (found->second.role == wire::Role::ENTRY) {
        this->entriesVersion = index;
    }
    this->memberRecords.erase(found);
}

void ControlState::assignAgentToCell(std::int64_t index, wire::MemberRecord &agent)
{
    ControlCell *smallestCell = nullptr;
    for (auto &[number, cell] : this->cellRecords) {
        if (cell.record.serviceName == agent.serviceName
            && (!smallestCell || cell.agents.size() < smallestCell->agents.size())) {
            smallestCell = &cell;
        }
    }
    if (!smallestCell || agent.serviceName.empty()) {
        return;
    }
    smallestCell->agents.insert(agent.id.name);
    smallestCell->record.agentsVersion = index;
    agent.cell = smallestCell->record.cell;
    agent.version = index;
}

void ControlState::removeAgentFromCell(std::int64_t index, wire::MemberRecord &agent)
{
    const auto found = this->cellRecords.find(agent.cell);
    if (found != this->cellRecords.end()) {
        found->second.agents.erase(agent.id.name);
        found->second.record.agentsVersion = index;
    }
    agent.cell = noCell;
}

// Views.

const wire::ConfigFile &ControlState::file() const
{
    return this->acceptedFiles.empty() ? emptyFile : this->acceptedFiles.back();
}

const ClusterConfig &ControlState::config() const
{
    return this->parsedConfig;
}

const std::vector<wire::ConfigFile> &ControlState::history() const
{
    return this->acceptedFiles;
}

const std::map<std::string, wire::MemberRecord> &ControlState::members() const
{
    return this->memberRecords;
}

const std::map<std::int32_t, ControlCell> &ControlState::cells() const
{
    return this->cellRecords;
}

const wire::MemberRecord *ControlState::member(const std::string &name) const
{
    const auto found = this->memberRecords.find(name);
    return found == this->memberRecords.end() ? nullptr : &found->second;
}

bool ControlState::isOwnerOrHolder(const wire::CellRecord &cell, const std::string &owner)
{
    return cell.owner == owner
        || std::any_of(cell.holders.begin(), cell.holders.end(),
                       [&owner](const wire::HolderRecord &holder) { return holder.name == owner; });
}

std::int64_t ControlState::viewVersion(const std::string &name) const
{
    const auto *found = this->member(name);
    if (!found) {
        return 0;
    }
    auto version = std::max({this->configVersion, this->evacuationsVersion, found->version});
    if (found->role == wire::Role::AGENT) {
        if (this->parsedConfig.routing) {
            version = std::max(version, this->entriesVersion);
        }
        const auto cell = this->cellRecords.find(found->cell);
        return cell == this->cellRecords.end() ? version : std::max(version, cell->second.record.routeVersion);
    }
    version = std::max(version, this->routesVersion);
    if (found->role == wire::Role::OWNER) {
        for (const auto &[number, cell] : this->cellRecords) {
            if (cell.record.agentsVersion > version && isOwnerOrHolder(cell.record, name)) {
                version = cell.record.agentsVersion;
            }
        }
    }
    return version;
}

wire::MemberRef ControlState::makeMemberRef(const std::string &name) const
{
    const auto &found = this->memberRecords.at(name);
    wire::MemberRef ref;
    ref.id = found.id;
    ref.address = found.address;
    ref.failureDomain = found.failureDomain;
    ref.evacuated = this->isEvacuated(found.failureDomain);
    return ref;
}

wire::CellView ControlState::cellView(const ControlCell &cell, bool withAgents) const
{
    wire::CellView view;
    view.cell = cell.record.cell;
    view.serviceName = cell.record.serviceName;
    view.epoch = cell.record.epoch;
    view.floorMs = cell.record.floorMs;
    if (this->member(cell.record.owner)) {
        view.__set_owner(this->makeMemberRef(cell.record.owner));
    }
    for (const auto &holder : cell.record.holders) {
        view.holders.push_back(this->makeMemberRef(holder.name));
    }
    if (withAgents) {
        for (const auto &agent : cell.agents) {
            view.agents.push_back(this->makeMemberRef(agent));
        }
    }
    return view;
}

void ControlState::addEntries(wire::ClusterView &view) const
{
    for (const auto &[name, member] : this->memberRecords) {
        if (member.role == wire::Role::ENTRY) {
            view.entries.push_back(this->makeMemberRef(name));
        }
    }
}

wire::ClusterView ControlState::view(const std::string &name) const
{
    const auto &found = this->memberRecords.at(name);
    wire::ClusterView view;
    view.version = this->viewVersion(name);
    view.config = found.role == wire::Role::AGENT ? withoutText(this->file()) : this->file();
    for (const auto &[domain, order] : this->evacuationOrders) {
        if (order.active) {
            view.evacuatedDomains.push_back(domain);
        }
    }
    if (found.role == wire::Role::AGENT) {
        if (this->parsedConfig.routing) {
            this->addEntries(view);
        }
        const auto cell = this->cellRecords.find(found.cell);
        if (cell != this->cellRecords.end()) {
            view.cells.push_back(this->cellView(cell->second, false));
        }
        return view;
    }
    for (const auto &[number, cell] : this->cellRecords) {
        view.cells.push_back(
            this->cellView(cell, found.role == wire::Role::OWNER && isOwnerOrHolder(cell.record, name)));
    }
    return view;
}

// Snapshot image.

wire::ControlImage ControlState::image() const
{
    wire::ControlImage image;
    image.history = this->acceptedFiles;
    for (const auto &[name, member] : this->memberRecords) {
        image.members.push_back(member);
    }
    for (const auto &[number, cell] : this->cellRecords) {
        image.cells.push_back(cell.record);
    }
    image.nextCell = this->nextCell;
    image.configVersion = this->configVersion;
    image.routesVersion = this->routesVersion;
    image.entriesVersion = this->entriesVersion;
    for (const auto &[domain, order] : this->evacuationOrders) {
        image.evacuations.push_back(order);
    }
    image.evacuationsVersion = this->evacuationsVersion;
    return image;
}

void ControlState::restore(const wire::ControlImage &image)
{
    *this = ControlState();
    this->acceptedFiles = image.history;
    if (!this->acceptedFiles.empty()) {
        this->parsedConfig = takeValue(parseConfig(this->acceptedFiles.back().text));
    }
    for (const auto &cell : image.cells) {
        this->cellRecords[cell.cell].record = cell;
    }
    for (const auto &member : image.members) {
        this->memberRecords[member.id.name] = member;
        if (member.role == wire::Role::AGENT && member.cell != noCell) {
            this->cellRecords.at(member.cell).agents.insert(member.id.name);
        }
    }
    this->nextCell = image.nextCell;
    this->configVersion = image.configVersion;
    this->routesVersion = image.routesVersion;
    this->entriesVersion = image.entriesVersion;
    for (const auto &order : image.evacuations) {
        this->evacuationOrders[order.failureDomain] = order;
    }
    this->evacuationsVersion = image.evacuationsVersion;
}

} // namespace agatedrum
