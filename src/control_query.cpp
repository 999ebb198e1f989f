#include "control_core_p.h"

#include "agatedrum/config.h"

#include <fmt/format.h>

#include <algorithm>

// Answers to ControlQuery messages, and the state dump.

namespace agatedrum {

namespace {

/// [{"name", "incarnation", "role", "address", "failureDomain", "service", "cell", "leaving", "silentMs",
/// "configNumber"}]; service and cell only for agents, silentMs null if this leader has received no heartbeat.
nlohmann::json describeMembers(const ControlState &state, const ControlMembers &members)
{
    auto list = nlohmann::json::array();
    for (const auto &[name, member] : state.members()) {
        nlohmann::json entry = {{"name", name},
                                {"incarnation", member.id.incarnation},
                                {"role", roleName(member.role)},
                                {"address", fmt::format("{}:{}", member.address.host, member.address.port)},
                                {"failureDomain", member.failureDomain},
                                {"leaving", member.leaving},
                                {"silentMs", nullptr},
                                {"configNumber", members.configNumber(name)}};
        if (const auto timeSinceHeartbeat = members.timeSinceHeartbeat(name)) {
            entry["silentMs"] = timeSinceHeartbeat->count() / 1000;
        }
        if (member.role == wire::Role::AGENT) {
            entry["service"] = member.serviceName;
            entry["cell"] = member.cell;
        }
        list.push_back(std::move(entry));
    }
    return list;
}

/// [{"cell", "service", "epoch", "owner", "floorMs", "holders": [{"name", "whole"}], "agents": [name]}]
nlohmann::json describeCells(const ControlState &state)
{
    auto list = nlohmann::json::array();
    for (const auto &[number, cell] : state.cells()) {
        auto holders = nlohmann::json::array();
        for (const auto &holder : cell.record.holders) {
            holders.push_back({{"name", holder.name}, {"whole", holder.whole}});
        }
        list.push_back({{"cell", number},
                        {"service", cell.record.serviceName},
                        {"epoch", cell.record.epoch},
                        {"owner", cell.record.owner},
                        {"floorMs", cell.record.floorMs},
                        {"holders", std::move(holders)},
                        {"agents", cell.agents}});
    }
    return list;
}

/// Returns whether the member's heartbeats are overdue. The limit is longer for agents, whose heartbeat interval is
/// longer.
bool isUnresponsive(const wire::MemberRecord &member, const ControlMembers &members)
{
    const auto timeSinceHeartbeat = members.timeSinceHeartbeat(member.id.name);
    const auto limit = member.role == wire::Role::AGENT ? 3 * AGATEDRUM_AGENT_HEARTBEAT_MS : AGATEDRUM_MEMBER_DEAD_MS;
    return !timeSinceHeartbeat || *timeSinceHeartbeat > Millis(limit);
}

/// {ROLE: {"members": N, "silent": [name], "leaving": [name]}}
nlohmann::json countMembers(const ControlState &state, const ControlMembers &members)
{
    auto counts = nlohmann::json::object();
    for (const auto &[name, member] : state.members()) {
        auto &count = counts[roleName(member.role)];
        if (count.is_null()) {
            count = {{"members", 0}, {"silent", nlohmann::json::array()}, {"leaving", nlohmann::json::array()}};
        }
        count["members"] = count["members"].get<int>() + 1;
        if (isUnresponsive(member, members)) {
            count["silent"].push_back(name);
        }
        if (member.leaving) {
            count["leaving"].push_back(name);
        }
    }
    return counts;
}

std::string describeMissingOwner(const ControlState &state)
{
    for (const auto &[name, member] : state.members()) {
        if (member.role == wire::Role::OWNER && !member.leaving) {
            return "an owner process is available and gets the cell with the next assignment";
        }
    }
    return "no owner process has joined that is not leaving";
}

/// [{"cell", "service", "problem"}]: cells without an owner, a holder that is in sync, or an agent.
nlohmann::json describeProblems(const ControlState &state)
{
    auto list = nlohmann::json::array();
    const auto add = [&list](std::int32_t number, const wire::CellRecord &record, const std::string &problem) {
        list.push_back({{"cell", number}, {"service", record.serviceName}, {"problem", problem}});
    };
    for (const auto &[number, cell] : state.cells()) {
        if (cell.record.owner.empty()) {
            add(number, cell.record, "no owner: " + describeMissingOwner(state));
        }
        const auto isInSync = [](const wire::HolderRecord &holder) { return holder.whole; };
        const auto &holders = cell.record.holders;
        if (!holders.empty() && std::none_of(holders.begin(), holders.end(), isInSync)) {
            add(number, cell.record, "no holder is in sync yet: jobs wait until their records are replicated");
        }
        if (cell.agents.empty()) {
            add(number, cell.record, "no agent has joined: jobs wait");
        }
    }
    return list;
}

nlohmann::json describeFile(const wire::ConfigFile &file)
{
    return {
        {"number", file.number}, {"digest", file.digest}, {"author", file.author}, {"acceptedAtMs", file.acceptedAtMs}};
}

/// [{"number", "digest", "author", "acceptedAtMs"}], oldest first.
nlohmann::json describeHistory(const ControlState &state)
{
    auto list = nlohmann::json::array();
    for (const auto &file : state.history()) {
        list.push_back(describeFile(file));
    }
    return list;
}

/// {"number", "digest", "author", "acceptedAtMs", "text"} of the file with the number in the argument, or of the newest
/// file if the argument is empty. Null if the file is not known or its text is no longer kept.
nlohmann::json describeConfig(const ControlState &state, const std::string &argument)
{
    for (auto file = state.history().rbegin(); file != state.history().rend(); ++file) {
        if ((argument.empty() || std::to_string(file->number) == argument) && !file->text.empty()) {
            auto description = describeFile(*file);
            description["text"] = file->text;
            return description;
        }
    }
    return nullptr;
}

/// [{"failureDomain", "active", "author", "atMs"}]: the newest order for each failure domain that has had one.
nlohmann::json describeEvacuations(const ControlState &state)
{
    auto list = nlohmann::json::array();
    for (const auto &[domain, order] : state.evacuations()) {
        list.push_back(
            {{"failureDomain", domain}, {"active", order.active}, {"author", order.author}, {"atMs", order.atMs}});
    }
    return list;
}

} // namespace

nlohmann::json ControlCore::answer(const wire::ControlQuery &query, bool &isOk) const
{
    isOk = false;
    if (!this->log.hasLease(this->clock.now())) {
        return {{"error", "not-leader"}, {"leader", this->leaderToAsk()}};
    }
    isOk = true;
    if (query.kind == "overview") {
        // {"leader", "term", "voters", "learners", "configuration", "lagging", "members", "problems"}
        const auto number = this->stateMachine.file().number;
        return {{"leader", this->log.leaderName(this->clock.now())},
                {"term", this->log.term()},
                {"voters", this->log.voters()},
                {"learners", this->log.learners()},
                {"configuration", describeFile(this->stateMachine.file())},
                {"lagging", this->members.lagging(number)},
                {"members", countMembers(this->stateMachine, this->members)},
                {"problems", describeProblems(this->stateMachine)}};
    }
    if (query.kind == "members") {
        return describeMembers(this->stateMachine, this->members);
    }
    if (query.kind == "cells") {
        return describeCells(this->stateMachine);
    }
    if (query.kind == "history") {
        return describeHistory(this->stateMachine);
    }
    if (query.kind == "evacuations") {
        return describeEvacuations(this->stateMachine);
    }
    if (query.kind == "acknowledged") {
        // {"number", "lagging": [name]}
        const auto number = this->stateMachine.file().number;
        return {{"number", number}, {"lagging", this->members.lagging(number)}};
    }
    if (query.kind == "config") {
        auto config = describeConfig(this->stateMachine, query.argument);
        isOk = !config.is_null();
        return isOk ? config : nlohmann::json {{"error", "no such configuration, or its text is no longer kept"}};
    }
    isOk = false;
    return {
        {"error",
         fmt::format("unknown kind {}: must be overview, members, cells, history, acknowledged, evacuations or config",
                     query.kind)}};
}

nlohmann::json ControlCore::dump() const
{
    const std::lock_guard lock(this->mutex);
    const auto store = this->store.status();
    return {{"member", this->log.member()},
            {"term", this->log.term()},
            {"leader", this->log.leaderName(this->clock.now())},
            {"lease", this->log.hasLease(this->clock.now())},
            {"commitIndex", this->log.commitIndex()},
            {"lastIndex", this->log.lastIndex()},
            {"snapshotIndex", this->log.snapshotIndex()},
            {"voters", this->log.voters()},
            {"learners", this->log.learners()},
            {"diskFull", store.isFull},
            {"diskFailure", store.failure},
            {"configNumber", this->stateMachine.file().number},
            {"evacuations", describeEvacuations(this->stateMachine)},
            {"members", describeMembers(this->stateMachine, this->members)},
            {"cells", describeCells(this->stateMachine)}};
}

} // namespace agatedrum
