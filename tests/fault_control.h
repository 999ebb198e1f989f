#pragma once

#include "agatedrum/config.h"
#include "fakes.h"
#include "fault_network.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace agatedrum::test {

/// Simulated control group of one cell, as one process: assigns the cell's owner and holders, grants leases, and keeps
/// the epoch and the minimum submission time.
class FakeControl
{
public:
    static constexpr int port = 42000;

    FakeControl(FaultNetwork &network, const ManualClock &clock, int replicaCount, std::string placement)
        : clock(clock)
        , replicaCount(replicaCount)
        , placement(std::move(placement))
        , sink(network, processId("control-1"), wire::Role::CONTROL, port)
    {
    }

    void handle(const IncomingMessage &incoming)
    {
        if (const auto *heartbeat = std::get_if<wire::MemberHeartbeat>(&incoming.payload)) {
            this->handleHeartbeat(incoming, *heartbeat);
        }
    }
    void tick()
    {
        const auto now = this->clock.now();
        for (auto member = this->members.begin(); member != this->members.end();) {
            const bool isOwner = member->second.role == wire::Role::OWNER;
            const Millis limit(isOwner ? AGATEDRUM_MEMBER_DEAD_MS : AGATEDRUM_AGENT_FORGET_MS);
            if (now - member->second.acceptedAt < limit) {
                ++member;
                continue;
            }
            member = this->members.erase(member);
            this->isChanged = true;
        }
        this->reconcile();
    }
    wire::ClusterView view() const
    {
        wire::ClusterView view;
        view.version = this->version;
        view.config.number = 1;
        view.config.text = fmt::format("number: 1\nservices:\n  - name: visits\n    recordCopies: {}\n"
                                       "    placement: {}\n...\n",
                                       this->replicaCount, this->placement);
        wire::CellView cell;
        cell.cell = 0;
        cell.serviceName = "visits";
        cell.epoch = this->epoch;
        cell.floorMs = this->minSubmittedAtMs;
        if (this->members.count(this->owner) != 0) {
            cell.__set_owner(this->ref(this->owner));
        }
        for (const auto &holder : this->holders) {
            cell.holders.push_back(this->ref(holder.name));
        }
        for (const auto &[name, member] : this->members) {
            if (member.role == wire::Role::AGENT) {
                cell.agents.push_back(this->ref(name));
            }
        }
        view.cells = {cell};
        return view;
    }
    const std::string &ownerName() const
    {
        return this->owner;
    }
    /// Whether the process has a valid lease. A lease starts when the heartbeat that it answers was sent.
    bool hasLease(const wire::ProcessId &id) const
    {
        const auto found = this->leases.find({id.name, id.incarnation});
        return found != this->leases.end() && this->clock.now() < found->second;
    }
    bool hasInSyncHolders() const
    {
        return static_cast<int>(this->holders.size()) >= this->replicaCount - 1
            && std::all_of(this->holders.begin(), this->holders.end(),
                           [](const auto &holder) { return holder.isInSync; });
    }

private:
    struct Member
    {
        wire::ProcessId id;
        wire::Role::type role = wire::Role::TOOL;
        wire::Endpoint address;
        Time acceptedAt; ///< when the last heartbeat was accepted
        std::int64_t leaseVersion = 0; ///< view version that an owner must have before its lease is renewed
        bool isLeaving = false;
    };
    struct Holder
    {
        std::string name;
        std::int64_t since = 0; ///< view version from which the owner's reports on this holder count
        bool isInSync = false;
    };

    wire::MemberRef ref(const std::string &name) const
    {
        const auto &member = this->members.at(name);
        wire::MemberRef ref;
        ref.id = member.id;
        ref.address = member.address;
        return ref;
    }
    void handleHeartbeat(const IncomingMessage &incoming, const wire::MemberHeartbeat &heartbeat)
    {
        const auto &id = incoming.sender;
        auto found = this->members.find(id.name);
        const bool isRestarted = found != this->members.end() && found->second.id.incarnation < id.incarnation;
        if (found != this->members.end()
            && (found->second.id.incarnation > id.incarnation
                || (isRestarted && heartbeat.role == wire::Role::OWNER))) {
            return;
        }
        if (found == this->members.end() || isRestarted) {
            auto &member = this->members[id.name];
            member = {id, heartbeat.role, incoming.address, this->clock.now(), this->version + 1, false};
            this->isChanged = true;
            this->reconcile();
            return;
        }
        this->answer(found->second, incoming, heartbeat);
    }
    void answer(Member &member, const IncomingMessage &incoming, const wire::MemberHeartbeat &heartbeat)
    {
        member.isLeaving = heartbeat.leaving;
        for (const auto &report : heartbeat.cells) {
            this->updateInSync(member.id.name, report, heartbeat.viewVersion);
        }
        this->handOver(member);
        wire::HeartbeatReply reply;
        reply.sentAtMicros = heartbeat.sentAtMicros;
        reply.leader = "control-1";
        reply.viewVersion = this->version;
        reply.accepted = heartbeat.viewVersion >= member.leaseVersion;
        if (reply.accepted) {
            member.acceptedAt = this->clock.now();
            auto &lease = this->leases[{member.id.name, member.id.incarnation}];
            lease = std::max(lease, Time(Micros(heartbeat.sentAtMicros)) + Millis(AGATEDRUM_OWNER_LEASE_MS));
        }
        this->sink.send(incoming.address, reply);
        if (heartbeat.viewVersion < this->version) {
            this->sink.send(incoming.address, this->view());
        }
    }
    void updateInSync(const std::string &sender, const wire::CellReport &report, std::int64_t viewVersion)
    {
        if (!report.owned || report.epoch != this->epoch || sender != this->owner) {
            return;
        }
        for (auto &holder : this->holders) {
            const auto &names = report.wholeHolders;
            if (viewVersion >= holder.since && std::find(names.begin(), names.end(), holder.name) != names.end()) {
                holder.isInSync = true;
            }
        }
    }
    void handOver(const Member &member)
    {
        if (!member.isLeaving || member.id.name != this->owner) {
            return;
        }
        const auto next = this->findInSyncHolder();
        if (!next.empty() && !this->members.at(next).isLeaving) {
            this->assignOwner(next);
            this->reconcile();
        }
    }
    std::string findInSyncHolder() const
    {
        for (const auto &holder : this->holders) {
            if (holder.isInSync && this->members.count(holder.name) != 0) {
                return holder.name;
            }
        }
        return {};
    }
    void assignOwner(const std::string &next)
    {
        if (const auto previous = this->members.find(this->owner); previous != this->members.end()) {
            previous->second.leaseVersion = this->version + 1;
        }
        this->owner = next;
        ++this->epoch;
        this->isChanged = true;
        this->holders.erase(std::remove_if(this->holders.begin(), this->holders.end(),
                                           [&next](const auto &holder) { return holder.name == next; }),
                            this->holders.end());
        for (auto &holder : this->holders) {
            holder.isInSync = false;
            holder.since = this->version + 1;
        }
    }
    bool isOwnerOrHolder(const std::string &name) const
    {
        return name == this->owner
            || std::any_of(this->holders.begin(), this->holders.end(),
                           [&name](const auto &holder) { return holder.name == name; });
    }
    void reconcile()
    {
        if (this->members.count(this->owner) == 0) {
            this->replaceOwner();
        }
        const auto previousHolderCount = this->holders.size();
        this->holders.erase(
            std::remove_if(this->holders.begin(), this->holders.end(),
                           [this](const auto &holder) { return this->members.count(holder.name) == 0; }),
            this->holders.end());
        this->isChanged = this->isChanged || previousHolderCount != this->holders.size();
        for (const auto &[name, member] : this->members) {
            if (static_cast<int>(this->holders.size()) < this->replicaCount - 1 && member.role == wire::Role::OWNER
                && !member.isLeaving && !this->isOwnerOrHolder(name)) {
                this->holders.push_back({name, this->version + 1, false});
                this->isChanged = true;
            }
        }
        if (this->isChanged) {
            ++this->version;
            this->isChanged = false;
            for (const auto &[name, member] : this->members) {
                this->sink.send(member.address, this->view());
            }
        }
    }
    void replaceOwner()
    {
        auto next = this->findInSyncHolder();
        if (next.empty()) {
            for (const auto &[name, member] : this->members) {
                if (member.role == wire::Role::OWNER) {
                    next = name;
                    break;
                }
            }
            if (next.empty()) {
                this->isChanged = this->isChanged || !this->owner.empty();
                this->owner.clear();
                return;
            }
            if (this->epoch > 0) {
                this->minSubmittedAtMs
                    = std::max(this->minSubmittedAtMs, this->clock.wallMs() + AGATEDRUM_MAX_CLOCK_SKEW_MS);
            }
        }
        this->assignOwner(next);
    }

    const ManualClock &clock;
    int replicaCount;
    std::string placement;
    NetworkSink sink;
    std::map<std::string, Member> members;
    std::map<std::pair<std::string, std::int64_t>, Time> leases; ///< end of each process's lease
    std::vector<Holder> holders;
    std::string owner;
    std::int64_t epoch = 0;
    std::int64_t minSubmittedAtMs = 0;
    std::int64_t version = 1;
    bool isChanged = false;
};

} // namespace agatedrum::test
