#include "control_members_p.h"

#include "agatedrum/config.h"
#include "base_log_p.h"

#include <algorithm>
#include <utility>

namespace agatedrum {

namespace {

constexpr Millis memberDeadTimeout(AGATEDRUM_MEMBER_DEAD_MS);
constexpr Millis scanInterval(50);
/// Time without a heartbeat after which any other incarnation may replace a member that is not an owner, even one with
/// a lower number.
constexpr Millis incarnationTimeout(1000);
/// Time for which the incarnation of a former member is kept after its last heartbeat.
constexpr Millis contactRetention(60000);
/// Time after which a view that the member has not confirmed is sent again.
constexpr Millis viewRetryInterval(150);
/// After a longer pause between two ticks, received heartbeats may not have been processed yet, so all timeouts are
/// restarted.
constexpr Millis maxTickPause(500);

Micros removalTimeout(const wire::MemberRecord &member)
{
    if (member.role == wire::Role::OWNER) {
        return memberDeadTimeout;
    }
    if (member.role == wire::Role::ENTRY) {
        return Millis(AGATEDRUM_ENTRY_FORGET_MS);
    }
    return member.leaving ? Millis(AGATEDRUM_LEAVING_SILENT_MS) : Millis(AGATEDRUM_AGENT_FORGET_MS);
}

} // namespace

ControlMembers::ControlMembers(const ControlState &state, const ClockI &clock, ProposeFunction propose,
                               SendViewFunction sendView)
    : state(state)
    , clock(clock)
    , proposer(std::move(propose))
    , viewSender(std::move(sendView))
{
}

void ControlMembers::reset()
{
    this->contacts.clear();
    this->cellProposals.clear();
    this->timeoutsCountedFrom = this->clock.now();
    this->lastTickAt = this->timeoutsCountedFrom;
}

bool ControlMembers::isPending(const Contact &contact) const
{
    return contact.newestProposal > this->appliedIndex;
}

void ControlMembers::propose(Contact &contact, wire::Command command)
{
    contact.newestProposal = this->proposer(std::move(command)).value_or(0);
}

void ControlMembers::onApplied(std::int64_t index)
{
    this->appliedIndex = std::max(this->appliedIndex, index);
    for (auto each = this->cellProposals.begin(); each != this->cellProposals.end();) {
        each = each->second <= this->appliedIndex ? this->cellProposals.erase(each) : std::next(each);
    }
}

// Heartbeats.

wire::HeartbeatReply ControlMembers::handleHeartbeat(const IncomingMessage &incoming,
                                                     const wire::MemberHeartbeat &heartbeat, bool hasLease)
{
    wire::HeartbeatReply reply;
    reply.sentAtMicros = heartbeat.sentAtMicros;
    auto &contact = this->contacts[incoming.sender.name];
    const bool isUnresponsive = this->clock.now() - contact.lastHeardAt >= incarnationTimeout;
    if (incoming.sender.incarnation < contact.id.incarnation && !isUnresponsive) {
        return reply;
    }
    const auto *member = this->state.member(incoming.sender.name);
    const bool isOtherIncarnation = member && member->role != wire::Role::OWNER && member->id != incoming.sender;
    if (!member || (isOtherIncarnation && (member->id.incarnation < incoming.sender.incarnation || isUnresponsive))) {
        // An earlier owner process of this name may still act under its lease, so the new one joins only after the
        // earlier one has been declared dead.
        if (!this->isPending(contact)) {
            this->proposeJoin(contact, incoming, heartbeat);
        }
        return reply;
    }
    if (member->id != incoming.sender) {
        return reply;
    }
    this->handleKnownMember(contact, *member, incoming, heartbeat);
    reply.viewVersion = this->state.viewVersion(incoming.sender.name);
    reply.accepted = hasLease && this->mayExtendLease(contact, *member, heartbeat);
    if (reply.accepted) {
        contact.leaseExtendedAt = contact.lastHeardAt;
    }
    if (heartbeat.viewVersion < reply.viewVersion && this->clock.now() - contact.viewSentAt >= viewRetryInterval) {
        this->sendView(contact, *member);
    }
    return reply;
}

void ControlMembers::handleKnownMember(Contact &contact, const wire::MemberRecord &member,
                                       const IncomingMessage &incoming, const wire::MemberHeartbeat &heartbeat)
{
    contact.id = incoming.sender;
    contact.lastHeardAt = this->clock.now();
    contact.hasSentHeartbeat = true;
    contact.viewVersion = heartbeat.viewVersion;
    contact.configNumber = heartbeat.configNumber;
    const auto service = heartbeat.__isset.server ? heartbeat.server.serviceName : std::string();
    if (this->isPending(contact)) {
        return;
    }
    if (member.role == wire::Role::AGENT && member.serviceName != service && !service.empty()) {
        this->proposeJoin(contact, incoming, heartbeat);
    } else if (heartbeat.leaving && !member.leaving) {
        wire::Command command;
        wire::MemberLeaving leaving;
        leaving.id = member.id;
        command.__set_memberLeaving(leaving);
        this->propose(contact, std::move(command));
    }
    for (const auto &report : heartbeat.cells) {
        this->handleCellReport(member.id.name, report, heartbeat);
    }
}

void ControlMembers::proposeJoin(Contact &contact, const IncomingMessage &incoming,
                                 const wire::MemberHeartbeat &heartbeat)
{
    wire::MemberJoin join;
    join.id = incoming.sender;
    join.role = heartbeat.role;
    join.address = heartbeat.address;
    join.failureDomain = heartbeat.failureDomain;
    join.atMs = this->clock.wallMs();
    if (const auto *member = this->state.member(incoming.sender.name)) {
        join.replaces = member->role == wire::Role::OWNER ? 0 : member->id.incarnation;
    }
    if (heartbeat.__isset.server) {
        join.__set_server(heartbeat.server);
    }
    contact = Contact {};
    contact.id = incoming.sender;
    contact.lastHeardAt = this->clock.now();
    contact.hasSentHeartbeat = true;
    contact.viewVersion = heartbeat.viewVersion;
    contact.configNumber = heartbeat.configNumber;
    wire::Command command;
    command.__set_memberJoin(join);
    this->propose(contact, std::move(command));
}

void ControlMembers::handleCellReport(const std::string &owner, const wire::CellReport &report,
                                      const wire::MemberHeartbeat &heartbeat)
{
    const auto found = this->state.cells().find(report.cell);
    if (found == this->state.cells().end() || found->second.record.owner != owner
        || found->second.record.epoch != report.epoch) {
        return;
    }
    const auto &cell = found->second.record;
    if (!report.owned && heartbeat.leaving && this->hasSuccessor(cell)) {
        this->proposeHandOver(cell);
        return;
    }
    for (const auto &holder : cell.holders) {
        const bool isReported = std::find(report.wholeHolders.begin(), report.wholeHolders.end(), holder.name)
            != report.wholeHolders.end();
        if (report.owned && isReported && !holder.whole && holder.since <= heartbeat.viewVersion) {
            this->proposeInSync(cell, holder, heartbeat.viewVersion);
        }
    }
}

void ControlMembers::proposeInSync(const wire::CellRecord &cell, const wire::HolderRecord &holder,
                                   std::int64_t viewVersion)
{
    auto &pending = this->cellProposals[{cell.cell, cell.epoch, holder.name}];
    if (pending > this->appliedIndex) {
        return;
    }
    wire::HolderWhole inSyncHolder;
    inSyncHolder.cell = cell.cell;
    inSyncHolder.epoch = cell.epoch;
    inSyncHolder.holder = holder.name;
    inSyncHolder.viewVersion = viewVersion;
    wire::Command command;
    command.__set_holderWhole(inSyncHolder);
    pending = this->proposer(std::move(command)).value_or(0);
}

void ControlMembers::proposeHandOver(const wire::CellRecord &cell)
{
    auto &pending = this->cellProposals[{cell.cell, cell.epoch, std::string()}];
    if (pending > this->appliedIndex) {
        return;
    }
    wire::HandOver handOver;
    handOver.cell = cell.cell;
    handOver.epoch = cell.epoch;
    handOver.previousOwner = cell.owner;
    handOver.atMs = this->clock.wallMs();
    wire::Command command;
    command.__set_handOver(handOver);
    pending = this->proposer(std::move(command)).value_or(0);
}

bool ControlMembers::hasSuccessor(const wire::CellRecord &cell) const
{
    return std::any_of(cell.holders.begin(), cell.holders.end(), [this](const wire::HolderRecord &holder) {
        const auto *member = this->state.member(holder.name);
        return holder.whole && member && !member->leaving;
    });
}

bool ControlMembers::isHandingOver(const std::string &owner) const
{
    return std::any_of(this->cellProposals.begin(), this->cellProposals.end(), [&](const auto &proposal) {
        const auto &[number, epoch, holder] = proposal.first;
        const auto cell = this->state.cells().find(number);
        return holder.empty() && proposal.second > this->appliedIndex && cell != this->state.cells().end()
            && cell->second.record.owner == owner;
    });
}

bool ControlMembers::isReadyToHandOver(const std::string &owner) const
{
    bool isOwner = false;
    for (const auto &[number, cell] : this->state.cells()) {
        if (cell.record.owner == owner) {
            isOwner = true;
            if (!this->hasSuccessor(cell.record)) {
                return false;
            }
        }
    }
    return isOwner;
}

bool ControlMembers::mayExtendLease(const Contact &contact, const wire::MemberRecord &member,
                                    const wire::MemberHeartbeat &heartbeat) const
{
    if (member.role != wire::Role::OWNER) {
        return true;
    }
    // With an older view the owner might act on a cell that has been assigned to another owner. The lease must expire
    // while a command about the owner is pending or its cells are being handed over.
    return heartbeat.viewVersion >= member.leaseVersion && !this->isPending(contact)
        && !this->isHandingOver(member.id.name) && !(member.leaving && this->isReadyToHandOver(member.id.name));
}

// Timeouts.

void ControlMembers::tick(bool hasLease)
{
    const auto now = this->clock.now();
    if (!hasLease || now - this->lastTickAt > maxTickPause) {
        this->timeoutsCountedFrom = now;
    }
    this->lastTickAt = now;
    if (now < this->nextScanAt) {
        return;
    }
    this->nextScanAt = now + scanInterval;
    for (const auto &[name, member] : this->state.members()) {
        this->checkTimeouts(this->contacts[name], member);
    }
    for (auto each = this->contacts.begin(); each != this->contacts.end();) {
        const bool isExpired = !this->state.member(each->first) && now - each->second.lastHeardAt >= contactRetention;
        each = isExpired ? this->contacts.erase(each) : std::next(each);
    }
    this->pushViews();
}

void ControlMembers::checkTimeouts(Contact &contact, const wire::MemberRecord &member)
{
    if (this->isPending(contact)) {
        return;
    }
    const auto now = this->clock.now();
    if (now - std::max(contact.lastHeardAt, this->timeoutsCountedFrom) >= removalTimeout(member)) {
        this->proposeGone(contact, member);
        return;
    }
    if (member.role == wire::Role::OWNER && member.leaving
        && now - std::max(contact.leaseExtendedAt, this->timeoutsCountedFrom) >= memberDeadTimeout) {
        for (const auto &[number, cell] : this->state.cells()) {
            if (cell.record.owner == member.id.name && this->hasSuccessor(cell.record)) {
                this->proposeHandOver(cell.record);
            }
        }
    }
}

void ControlMembers::proposeGone(Contact &contact, const wire::MemberRecord &member)
{
    log(LogLevel::Info, "control", "removing member {}: {}", member.id.name,
        member.leaving ? "it has left" : "its heartbeats timed out");
    wire::MemberGone gone;
    gone.id = member.id;
    gone.planned = member.leaving;
    gone.atMs = this->clock.wallMs();
    wire::Command command;
    command.__set_memberGone(gone);
    this->propose(contact, std::move(command));
}

// Views.

void ControlMembers::pushViews()
{
    for (const auto &[name, member] : this->state.members()) {
        auto &contact = this->contacts[name];
        const auto version = this->state.viewVersion(name);
        if (contact.sentViewVersion < version && contact.viewVersion < version) {
            this->sendView(contact, member);
        }
    }
}

void ControlMembers::sendView(Contact &contact, const wire::MemberRecord &member)
{
    auto view = this->state.view(member.id.name);
    contact.sentViewVersion = view.version;
    contact.viewSentAt = this->clock.now();
    this->viewSender(member.address, std::move(view));
}

// Queries.

std::vector<std::string> ControlMembers::lagging(std::int64_t number) const
{
    std::vector<std::string> names;
    for (const auto &[name, member] : this->state.members()) {
        if (this->configNumber(name) < number) {
            names.push_back(name);
        }
    }
    return names;
}

std::optional<Micros> ControlMembers::timeSinceHeartbeat(const std::string &member) const
{
    const auto found = this->contacts.find(member);
    if (found == this->contacts.end() || !found->second.hasSentHeartbeat) {
        return std::nullopt;
    }
    return this->clock.now() - found->second.lastHeardAt;
}

std::int64_t ControlMembers::configNumber(const std::string &member) const
{
    const auto found = this->contacts.find(member);
    return found == this->contacts.end() ? 0 : found->second.configNumber;
}

} // namespace agatedrum
