#include "control_members_p.h"

#include "agatedrum/config.h"
#include "base_log_p.h"

#include <algorithm>
#include <utility>

namespace agatedrum {

namespace {

constexpr Millis memberDead(AGATEDRUM_MEMBER_DEAD_MS);
constexpr Millis scanInterval(50);
/// After this silence another incarnation of a member other than an owner is taken in, whatever its number.
constexpr Millis silentIncarnation(1000);
/// Time for which the incarnation of a process that is no member any more is remembered.
constexpr Millis contactMemory(60000);
/// A view that a member does not confirm is sent again after this time.
constexpr Millis viewRetry(150);
/// After a longer pause between two ticks, heartbeats may wait unread, so silence proves nothing.
constexpr Millis longestPause(500);

Micros forgetAfter(const wire::MemberRecord &member)
{
    if (member.role == wire::Role::OWNER) {
        return memberDead;
    }
    if (member.role == wire::Role::ENTRY) {
        return Millis(AGATEDRUM_ENTRY_FORGET_MS);
    }
    return member.leaving ? Millis(AGATEDRUM_LEAVING_SILENT_MS) : Millis(AGATEDRUM_AGENT_FORGET_MS);
}

} // namespace

ControlMembers::ControlMembers(const ControlState &state, const ClockI &clock, Propose propose, SendView sendView)
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
    this->judgedFrom = this->clock.now();
    this->lastTick = this->judgedFrom;
}

bool ControlMembers::isPending(const Contact &contact) const
{
    return contact.pending > this->appliedIndex;
}

void ControlMembers::propose(Contact &contact, wire::Command command)
{
    contact.pending = this->proposer(std::move(command)).value_or(0);
}

void ControlMembers::applied(std::int64_t index)
{
    this->appliedIndex = std::max(this->appliedIndex, index);
    for (auto each = this->cellProposals.begin(); each != this->cellProposals.end();) {
        each = each->second <= this->appliedIndex ? this->cellProposals.erase(each) : std::next(each);
    }
}

// Heartbeats.

wire::HeartbeatReply ControlMembers::handleHeartbeat(const Incoming &incoming, const wire::MemberHeartbeat &heartbeat,
                                                     bool hasLease)
{
    wire::HeartbeatReply reply;
    reply.sentAtMicros = heartbeat.sentAtMicros;
    auto &contact = this->contacts[incoming.sender.name];
    const bool isSilent = this->clock.now() - contact.heard >= silentIncarnation;
    if (incoming.sender.incarnation < contact.id.incarnation && !isSilent) {
        return reply;
    }
    const auto *member = this->state.member(incoming.sender.name);
    const bool isOther = member && member->role != wire::Role::OWNER && member->id != incoming.sender;
    if (!member || (isOther && (member->id.incarnation < incoming.sender.incarnation || isSilent))) {
        // An earlier owner of this name may still act under its lease, so its successor waits until it counts as dead.
        if (!this->isPending(contact)) {
            this->proposeJoin(contact, incoming, heartbeat);
        }
        return reply;
    }
    if (member->id != incoming.sender) {
        return reply;
    }
    this->handleCurrent(contact, *member, incoming, heartbeat);
    reply.viewVersion = this->state.viewVersion(incoming.sender.name);
    reply.accepted = hasLease && this->mayExtendLease(contact, *member, heartbeat);
    if (reply.accepted) {
        contact.accepted = contact.heard;
    }
    if (heartbeat.viewVersion < reply.viewVersion && this->clock.now() - contact.viewSent >= viewRetry) {
        this->sendTo(contact, *member);
    }
    return reply;
}

void ControlMembers::handleCurrent(Contact &contact, const wire::MemberRecord &member, const Incoming &incoming,
                                   const wire::MemberHeartbeat &heartbeat)
{
    contact.id = incoming.sender;
    contact.heard = this->clock.now();
    contact.isHeard = true;
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
        this->handleReport(member.id.name, report, heartbeat);
    }
}

void ControlMembers::proposeJoin(Contact &contact, const Incoming &incoming, const wire::MemberHeartbeat &heartbeat)
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
    contact.heard = this->clock.now();
    contact.isHeard = true;
    contact.viewVersion = heartbeat.viewVersion;
    contact.configNumber = heartbeat.configNumber;
    wire::Command command;
    command.__set_memberJoin(join);
    this->propose(contact, std::move(command));
}

void ControlMembers::handleReport(const std::string &owner, const wire::CellReport &report,
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
            this->proposeWhole(cell, holder, heartbeat.viewVersion);
        }
    }
}

void ControlMembers::proposeWhole(const wire::CellRecord &cell, const wire::HolderRecord &holder,
                                  std::int64_t viewVersion)
{
    auto &pending = this->cellProposals[{cell.cell, cell.epoch, holder.name}];
    if (pending > this->appliedIndex) {
        return;
    }
    wire::HolderWhole whole;
    whole.cell = cell.cell;
    whole.epoch = cell.epoch;
    whole.holder = holder.name;
    whole.viewVersion = viewVersion;
    wire::Command command;
    command.__set_holderWhole(whole);
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
    // Under an older view it might act on a cell that was taken from it; while it counts as dead or hands its cells
    // over, the lease has to run out.
    return heartbeat.viewVersion >= member.leaseVersion && !this->isPending(contact)
        && !this->isHandingOver(member.id.name) && !(member.leaving && this->isReadyToHandOver(member.id.name));
}

// Time.

void ControlMembers::tick(bool hasLease)
{
    const auto now = this->clock.now();
    if (!hasLease || now - this->lastTick > longestPause) {
        this->judgedFrom = now;
    }
    this->lastTick = now;
    if (now < this->nextScan) {
        return;
    }
    this->nextScan = now + scanInterval;
    for (const auto &[name, member] : this->state.members()) {
        this->checkMember(this->contacts[name], member);
    }
    for (auto each = this->contacts.begin(); each != this->contacts.end();) {
        const bool isForgotten = !this->state.member(each->first) && now - each->second.heard >= contactMemory;
        each = isForgotten ? this->contacts.erase(each) : std::next(each);
    }
    this->pushViews();
}

void ControlMembers::checkMember(Contact &contact, const wire::MemberRecord &member)
{
    if (this->isPending(contact)) {
        return;
    }
    const auto now = this->clock.now();
    if (now - std::max(contact.heard, this->judgedFrom) >= forgetAfter(member)) {
        this->proposeGone(contact, member);
        return;
    }
    if (member.role == wire::Role::OWNER && member.leaving
        && now - std::max(contact.accepted, this->judgedFrom) >= memberDead) {
        for (const auto &[number, cell] : this->state.cells()) {
            if (cell.record.owner == member.id.name && this->hasSuccessor(cell.record)) {
                this->proposeHandOver(cell.record);
            }
        }
    }
}

void ControlMembers::proposeGone(Contact &contact, const wire::MemberRecord &member)
{
    log(LogLevel::Info, "control", "{} is {}", member.id.name, member.leaving ? "gone" : "dead");
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
        if (contact.sentVersion < version && contact.viewVersion < version) {
            this->sendTo(contact, member);
        }
    }
}

void ControlMembers::sendTo(Contact &contact, const wire::MemberRecord &member)
{
    auto view = this->state.view(member.id.name);
    contact.sentVersion = view.version;
    contact.viewSent = this->clock.now();
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

std::optional<Micros> ControlMembers::silence(const std::string &member) const
{
    const auto found = this->contacts.find(member);
    if (found == this->contacts.end() || !found->second.isHeard) {
        return std::nullopt;
    }
    return this->clock.now() - found->second.heard;
}

std::int64_t ControlMembers::configNumber(const std::string &member) const
{
    const auto found = this->contacts.find(member);
    return found == this->contacts.end() ? 0 : found->second.configNumber;
}

} // namespace agatedrum
