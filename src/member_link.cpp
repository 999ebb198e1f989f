#include "member_link_p.h"

#include "agatedrum/config.h"
#include "task_needs_p.h"

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
    if (now < this->nextHeartbeatAt) {
        return;
    }
    // A control process that does not answer a heartbeat may be down, so the next heartbeat goes to another one.
    const auto retryInterval = std::min(this->options.heartbeatInterval, Millis(AGATEDRUM_MEMBER_HEARTBEAT_MS));
    if (this->isAwaitingReply && now - this->unansweredSince >= retryInterval) {
        this->currentPeer = (this->currentPeer + 1) % this->peers.size();
        this->unansweredSince = now;
    }
    if (!this->isAwaitingReply) {
        this->isAwaitingReply = true;
        this->unansweredSince = now;
    }
    this->nextHeartbeatAt = now + retryInterval; // an accepted heartbeat extends this to the full interval
    this->isHeartbeatRequested = false;

    wire::MemberHeartbeat heartbeat;
    heartbeat.role = this->options.role;
    heartbeat.failureDomain = this->options.failureDomain;
    heartbeat.address = this->options.address;
    heartbeat.sentAtMicros = this->nowMicros();
    heartbeat.configNumber = this->newestView ? this->newestView->config.number : 0;
    heartbeat.viewVersion = this->newestView ? this->newestView->version : 0;
    heartbeat.cells = report.cells;
    heartbeat.leaving = report.isLeaving;
    if (report.server) {
        heartbeat.__set_server(*report.server);
    }
    this->sink.send(this->peers[this->currentPeer].address, std::move(heartbeat));
}

void MemberLink::requestHeartbeat()
{
    const std::lock_guard lock(this->mutex);
    this->requestHeartbeatLocked();
}

void MemberLink::requestHeartbeatLocked()
{
    this->nextHeartbeatAt = Time {};
    this->isHeartbeatRequested = true;
}

bool MemberLink::handle(const IncomingMessage &incoming)
{
    this->recordConfigNumber(incoming.configNumber);
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
    this->isAwaitingReply = false;
    const auto &leader = reply.accepted ? sender : reply.leader;
    const auto found = std::find_if(this->peers.begin(), this->peers.end(),
                                    [&leader](const ControlPeer &peer) { return peer.name == leader; });
    const bool isKnown = found != this->peers.end();
    const auto previousPeer = this->currentPeer;
    if (isKnown) {
        this->currentPeer = static_cast<std::size_t>(found - this->peers.begin());
    } else if (const auto address = parseEndpoint(leader)) {
        // In an open group, the name of a process that joined later is its address.
        this->peers.push_back({leader, *address});
        this->currentPeer = this->peers.size() - 1;
        if (!reply.accepted) {
            this->requestHeartbeatLocked();
        }
    } else {
        this->currentPeer = (this->currentPeer + 1) % this->peers.size();
    }
    this->updateGroup(reply.group);
    if (!reply.accepted) {
        if (this->currentPeer != previousPeer && isKnown) {
            this->requestHeartbeatLocked();
        }
        return;
    }
    const auto sentAt = Time(Micros(reply.sentAtMicros));
    if (!this->isHeartbeatRequested) {
        this->nextHeartbeatAt = std::max(this->nextHeartbeatAt, sentAt + this->options.heartbeatInterval);
    }
    const Time until = sentAt + Millis(AGATEDRUM_OWNER_LEASE_MS);
    if (!this->leaseUntil || until > *this->leaseUntil) {
        this->leaseUntil = until;
    }
}

void MemberLink::updateGroup(const std::vector<wire::ControlEndpoint> &group)
{
    if (group.empty()) {
        return;
    }
    // The process that replied stays first.
    std::vector<ControlPeer> preferred {this->peers[this->currentPeer]};
    for (const auto &member : group) {
        preferred.push_back({member.name, member.address});
    }
    this->rebuildPeers(preferred);
}

void MemberLink::setSeeds(const std::vector<ControlPeer> &newSeeds)
{
    const std::lock_guard lock(this->mutex);
    auto known = this->peers;
    std::rotate(known.begin(), known.begin() + static_cast<std::ptrdiff_t>(this->currentPeer), known.end());
    this->seeds = newSeeds;
    this->rebuildPeers(known);
}

void MemberLink::rebuildPeers(const std::vector<ControlPeer> &preferred)
{
    auto all = preferred;
    all.insert(all.end(), this->seeds.begin(), this->seeds.end());
    std::vector<ControlPeer> next;
    for (const auto &peer : all) {
        const auto isSame = [&peer](const ControlPeer &other) { return other.name == peer.name; };
        if (std::none_of(next.begin(), next.end(), isSame)) {
            next.push_back(peer);
        }
    }
    this->peers = std::move(next);
    this->currentPeer = 0;
}

void MemberLink::handleView(const wire::ClusterView &view)
{
    const std::lock_guard lock(this->mutex);
    // Ignores a view that is not newer, or whose configuration is older.
    if (this->newestView
        && (view.version <= this->newestView->version || view.config.number < this->newestView->config.number)) {
        return;
    }
    // Confirms the new configuration to the control group without waiting for the heartbeat interval.
    if (!this->newestView || view.config.number > this->newestView->config.number) {
        this->requestHeartbeatLocked();
    }
    this->newestView = view;
    this->highestConfigNumber = std::max(this->highestConfigNumber, view.config.number);
}

void MemberLink::recordConfigNumber(std::int64_t number)
{
    const std::lock_guard lock(this->mutex);
    if (number > this->highestConfigNumber) {
        this->highestConfigNumber = number;
        this->requestHeartbeatLocked();
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
    return this->newestView.has_value();
}

wire::ClusterView MemberLink::view() const
{
    const std::lock_guard lock(this->mutex);
    return this->newestView.value_or(wire::ClusterView());
}

std::vector<wire::MemberRef> MemberLink::entries() const
{
    const std::lock_guard lock(this->mutex);
    return this->newestView ? this->newestView->entries : std::vector<wire::MemberRef>();
}

std::vector<std::string> MemberLink::evacuatedDomains() const
{
    const std::lock_guard lock(this->mutex);
    return this->newestView ? this->newestView->evacuatedDomains : std::vector<std::string>();
}

bool MemberLink::isOwnDomainEvacuated() const
{
    const std::lock_guard lock(this->mutex);
    return this->newestView && isEvacuated(this->newestView->evacuatedDomains, this->options.failureDomain);
}

std::int64_t MemberLink::viewVersion() const
{
    const std::lock_guard lock(this->mutex);
    return this->newestView ? this->newestView->version : 0;
}

std::int64_t MemberLink::configNumber() const
{
    const std::lock_guard lock(this->mutex);
    return this->newestView ? this->newestView->config.number : 0;
}

wire::Endpoint MemberLink::controlAddress() const
{
    const std::lock_guard lock(this->mutex);
    return this->peers[this->currentPeer].address;
}

} // namespace agatedrum
