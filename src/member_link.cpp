#include "member_link_p.h"

#include "agatedrum/config.h"

#include <algorithm>
#include <utility>

namespace agatedrum {

MemberLink::MemberLink(MessageSinkI &sink, const ClockI &clock, MemberOptions options)
    : sink(sink)
    , clock(clock)
    , options(std::move(options))
    , seeds(this->options.control)
    , peers(this->options.control)
{
}

std::int64_t MemberLink::nowMicros() const
{
    return this->clock.now().time_since_epoch().count();
}

void MemberLink::tick(const MemberReport &report)
{
    const std::lock_guard lock(this->mutex);
    const auto now = this->clock.now();
    if (now < this->nextHeartbeat) {
        return;
    }
    // A control process that left a heartbeat unanswered may be down: the next one is tried.
    const auto retryInterval = std::min(this->options.interval, Millis(AGATEDRUM_MEMBER_HEARTBEAT_MS));
    if (this->isWaiting && now - this->unansweredSince >= retryInterval) {
        this->current = (this->current + 1) % this->peers.size();
        this->unansweredSince = now;
    }
    if (!this->isWaiting) {
        this->isWaiting = true;
        this->unansweredSince = now;
    }
    this->nextHeartbeat = now + retryInterval; // an answer moves it on to the whole interval
    this->isHurried = false;

    wire::MemberHeartbeat heartbeat;
    heartbeat.role = this->options.role;
    heartbeat.failureDomain = this->options.failureDomain;
    heartbeat.address = this->options.address;
    heartbeat.sentAtMicros = this->nowMicros();
    heartbeat.configNumber = this->newest ? this->newest->config.number : 0;
    heartbeat.viewVersion = this->newest ? this->newest->version : 0;
    heartbeat.cells = report.cells;
    heartbeat.leaving = report.isLeaving;
    if (report.server) {
        heartbeat.__set_server(*report.server);
    }
    this->sink.send(this->peers[this->current].address, std::move(heartbeat));
}

void MemberLink::hurry()
{
    const std::lock_guard lock(this->mutex);
    this->hurryLocked();
}

void MemberLink::hurryLocked()
{
    this->nextHeartbeat = Time {};
    this->isHurried = true;
}

bool MemberLink::handle(const Incoming &incoming)
{
    this->noteConfigNumber(incoming.configNumber);
    if (const auto *reply = std::get_if<wire::HeartbeatReply>(&incoming.payload)) {
        this->handleReply(*reply, incoming.sender.name);
        return true;
    }
    if (const auto *view = std::get_if<wire::ClusterView>(&incoming.payload)) {
        this->handleView(*view);
        return true;
    }
    return false;
}

void MemberLink::handleReply(const wire::HeartbeatReply &reply, const std::string &sender)
{
    const std::lock_guard lock(this->mutex);
    this->isWaiting = false;
    const auto &leader = reply.accepted ? sender : reply.leader;
    const auto found = std::find_if(this->peers.begin(), this->peers.end(),
                                    [&leader](const ControlPeer &peer) { return peer.name == leader; });
    const bool isKnown = found != this->peers.end();
    const auto previous = this->current;
    if (isKnown) {
        this->current = static_cast<std::size_t>(found - this->peers.begin());
    } else if (const auto address = parseEndpoint(leader)) {
        // In an open group a process that joined later is named by its address.
        this->peers.push_back({leader, *address});
        this->current = this->peers.size() - 1;
        if (!reply.accepted) {
            this->hurryLocked();
        }
    } else {
        this->current = (this->current + 1) % this->peers.size();
    }
    this->learnGroup(reply.group);
    if (!reply.accepted) {
        if (this->current != previous && isKnown) {
            this->hurryLocked();
        }
        return;
    }
    const auto sentAt = Time(Micros(reply.sentAtMicros));
    if (!this->isHurried) {
        this->nextHeartbeat = std::max(this->nextHeartbeat, sentAt + this->options.interval);
    }
    const Time until = sentAt + Millis(AGATEDRUM_OWNER_LEASE_MS);
    if (!this->leaseUntil || until > *this->leaseUntil) {
        this->leaseUntil = until;
    }
}

void MemberLink::learnGroup(const std::vector<wire::ControlEndpoint> &group)
{
    if (group.empty()) {
        return;
    }
    // The one that answered stays first.
    std::vector<ControlPeer> first {this->peers[this->current]};
    for (const auto &member : group) {
        first.push_back({member.name, member.address});
    }
    this->rebuildPeers(first);
}

void MemberLink::setSeeds(const std::vector<ControlPeer> &newSeeds)
{
    const std::lock_guard lock(this->mutex);
    auto known = this->peers;
    std::rotate(known.begin(), known.begin() + static_cast<std::ptrdiff_t>(this->current), known.end());
    this->seeds = newSeeds;
    this->rebuildPeers(known);
}

void MemberLink::rebuildPeers(const std::vector<ControlPeer> &first)
{
    auto all = first;
    all.insert(all.end(), this->seeds.begin(), this->seeds.end());
    std::vector<ControlPeer> next;
    for (const auto &peer : all) {
        const auto isSame = [&peer](const ControlPeer &other) { return other.name == peer.name; };
        if (std::none_of(next.begin(), next.end(), isSame)) {
            next.push_back(peer);
        }
    }
    this->peers = std::move(next);
    this->current = 0;
}

void MemberLink::handleView(const wire::ClusterView &view)
{
    const std::lock_guard lock(this->mutex);
    // A view that is older, or whose configuration is, never replaces a newer one.
    if (this->newest && (view.version <= this->newest->version || view.config.number < this->newest->config.number)) {
        return;
    }
    // Control learns at once that the configuration is in force here.
    if (!this->newest || view.config.number > this->newest->config.number) {
        this->hurryLocked();
    }
    this->newest = view;
    this->highestConfigHeard = std::max(this->highestConfigHeard, view.config.number);
}

void MemberLink::noteConfigNumber(std::int64_t number)
{
    const std::lock_guard lock(this->mutex);
    if (number > this->highestConfigHeard) {
        this->highestConfigHeard = number;
        this->hurryLocked();
    }
}

bool MemberLink::hasLease() const
{
    const std::lock_guard lock(this->mutex);
    return this->leaseUntil && this->clock.now() < *this->leaseUntil;
}

bool MemberLink::hasView() const
{
    const std::lock_guard lock(this->mutex);
    return this->newest.has_value();
}

wire::ClusterView MemberLink::view() const
{
    const std::lock_guard lock(this->mutex);
    return this->newest.value_or(wire::ClusterView());
}

std::int64_t MemberLink::viewVersion() const
{
    const std::lock_guard lock(this->mutex);
    return this->newest ? this->newest->version : 0;
}

std::int64_t MemberLink::configNumber() const
{
    const std::lock_guard lock(this->mutex);
    return this->newest ? this->newest->config.number : 0;
}

wire::Endpoint MemberLink::controlAddress() const
{
    const std::lock_guard lock(this->mutex);
    return this->peers[this->current].address;
}

} // namespace agatedrum
