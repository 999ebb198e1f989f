#include "control_core_p.h"

#include "base_log_p.h"
#include "control_codec_p.h"

#include <fmt/format.h>

#include <algorithm>
#include <random>
#include <type_traits>
#include <utility>

namespace agatedrum {

namespace {

/// Time for which a stopping process waits until another one has taken its place as a voter.
constexpr Millis replacementTimeout {1500};
/// Timeout of the leader's reply to a forwarded request. Below 1 s, the time after which an operator tries another
/// process.
constexpr Millis forwardTimeout {800};

/// Returns the id before that of the first forwarded request. Starts at the same address use different ids, since an
/// answer to a request of the previous process may still arrive.
std::int64_t firstForwardedId(std::int64_t incarnation)
{
    std::mt19937_64 random(static_cast<std::uint64_t>(incarnation));
    return static_cast<std::int64_t>(random() >> 2U); // leaves positive ids to count up to
}

ControlLogOptions logOptions(const ControlOptions &options)
{
    std::random_device device;
    ControlLogOptions result;
    result.name = options.self.name;
    result.isOpen = options.isOpen;
    result.mayBootstrap = options.mayBootstrap;
    result.isObserver = options.isObserver;
    result.failureDomain = options.failureDomain;
    result.tolerance = options.tolerance;
    result.voterReplacementTimeout = options.voterReplacementTimeout;
    for (const auto &peer : options.group) {
        result.group.push_back(peer.name);
    }
    result.seed = options.seed != 0 ? options.seed : (static_cast<std::uint64_t>(device()) << 32U) | device();
    result.newMemberId = memberIdentity(result.name, result.seed);
    return result;
}

} // namespace

ControlCore::ControlCore(MessageSinkI &sink, const ClockI &clock, ControlStoreI &store, ControlOptions options)
    : sink(sink)
    , clock(clock)
    , store(store)
    , options(std::move(options))
    , members(
          this->stateMachine, clock, [this](const wire::Command &command) { return this->propose(command); },
          [this](const wire::Endpoint &to, wire::ClusterView view) {
              view.term = this->log.term();
              this->sink.send(to, std::move(view));
          })
    , log(logOptions(this->options), store.load(), clock.now())
    , lastForwardedId(firstForwardedId(this->options.self.incarnation))
{
    this->drain();
    this->store.setListener([this] {
        const std::lock_guard lock(this->mutex);
        this->drain();
    });
}

ControlCore::~ControlCore()
{
    this->store.setListener({});
}

void ControlCore::handle(const IncomingMessage &incoming)
{
    const std::lock_guard lock(this->mutex);
    if (const auto *heartbeat = std::get_if<wire::MemberHeartbeat>(&incoming.payload)) {
        this->handleHeartbeat(incoming, *heartbeat);
    } else if (const auto *request = std::get_if<wire::ApplyConfig>(&incoming.payload)) {
        this->handleApply({request->requestId, incoming.address, {}, {}}, *request);
    } else if (const auto *order = std::get_if<wire::OrderEvacuation>(&incoming.payload)) {
        this->handleEvacuation({order->requestId, incoming.address, {}, {}}, *order);
    } else if (const auto *query = std::get_if<wire::ControlQuery>(&incoming.payload)) {
        this->handleQuery(incoming, *query);
    } else if (const auto *reply = std::get_if<wire::ApplyReply>(&incoming.payload)) {
        this->handleForwardedReply(incoming, *reply);
    } else if (this->peerAddress(incoming.sender.name)) {
        this->log.handle(incoming.sender.name, incoming.payload, this->clock.now());
    }
    this->drain();
}

void ControlCore::tick()
{
    const std::lock_guard lock(this->mutex);
    this->log.setWritesRefused(this->areWritesRefused());
    this->log.tick(this->clock.now());
    this->expireForwarded();
    this->drain();
    if (this->leadershipTerm != 0) {
        this->members.tick(this->log.hasLease(this->clock.now()));
        this->drain();
    }
}

// Members and operators.

void ControlCore::handleHeartbeat(const IncomingMessage &incoming, const wire::MemberHeartbeat &heartbeat)
{
    wire::HeartbeatReply reply;
    reply.sentAtMicros = heartbeat.sentAtMicros;
    const auto hasLease = this->log.hasLease(this->clock.now());
    const bool isMember = heartbeat.role != wire::Role::CONTROL && heartbeat.role != wire::Role::TOOL;
    if (this->leadershipTerm != 0 && isMember) {
        reply = this->members.handleHeartbeat(incoming, heartbeat, hasLease);
    }
    reply.term = this->log.term();
    // A leader that lost its lease may be partitioned from the group: the member should try another process.
    reply.leader = this->log.isLeader() && !hasLease ? std::string() : this->log.leaderName(this->clock.now());
    if (reply.accepted) {
        reply.group = this->groupEndpoints();
    }
    this->sink.send(heartbeat.address, std::move(reply));
}

void ControlCore::applyLocal(const wire::ApplyConfig &request, LocalDecisionHandler handler)
{
    const std::lock_guard lock(this->mutex);
    this->handleApply({0, {}, std::move(handler), {}}, request);
    this->drain();
}

void ControlCore::orderEvacuationLocal(const wire::OrderEvacuation &order, LocalDecisionHandler handler)
{
    const std::lock_guard lock(this->mutex);
    this->handleEvacuation({0, {}, std::move(handler), {}}, order);
    this->drain();
}

void ControlCore::setContacts(const std::vector<ControlPeer> &peers)
{
    const std::lock_guard lock(this->mutex);
    std::vector<std::string> names;
    names.reserve(peers.size());
    for (const auto &peer : peers) {
        names.push_back(peer.name);
    }
    this->log.setContacts(std::move(names));
}

LocalConfig ControlCore::readConfig() const
{
    const std::lock_guard lock(this->mutex);
    LocalConfig config;
    config.isAuthoritative = this->log.hasLease(this->clock.now());
    if (config.isAuthoritative) {
        config.file = this->stateMachine.file();
    } else {
        config.leader = this->leaderToAsk();
    }
    return config;
}

bool ControlCore::areWritesRefused() const
{
    const auto status = this->store.status();
    return status.isFull || !status.failure.empty();
}

std::string ControlCore::leaderToAsk() const
{
    // A leader that lost its lease may be partitioned from the group, so it does not name itself.
    return this->log.isLeader() ? std::string() : this->log.leaderName(this->clock.now());
}

template<typename Request>
bool ControlCore::decidesHere(PendingApply &pending, const Request &request)
{
    if (this->log.hasLease(this->clock.now())) {
        return true;
    }
    const auto leader = this->leaderToAsk();
    if (!this->forwardToLeader(pending, request, leader)) {
        this->reply(pending,
                    leader.empty() ? ConfigDecision {false, "unavailable", "the control group currently has no leader"}
                                   : ConfigDecision {false, "not-leader", leader});
    }
    return false;
}

void ControlCore::handleApply(PendingApply pending, const wire::ApplyConfig &request)
{
    if (!this->decidesHere(pending, request)) {
        return;
    }
    wire::ConfigFile file;
    file.text = request.text;
    file.author = request.author;
    file.digest = configDigest(request.text);
    file.acceptedAtMs = this->clock.wallMs();
    file.ignoreIfNotHigher = request.ignoreIfNotHigher;
    const auto parsed = parseConfig(request.text);
    if (!isOk(parsed)) {
        this->reply(pending, {false, "invalid", error(parsed).text()});
        return;
    }
    file.number = value(parsed).number;
    // The acknowledgement of a change that is in force already promises that it survives, too.
    const bool isInForce = file.number <= this->stateMachine.file().number;
    const bool bearsLosses = isInForce ? this->log.committedBearsLosses() : this->log.bearsLosses();
    if (!bearsLosses && !request.dryRun) {
        this->reply(pending, this->tooFewDisks());
        return;
    }
    auto decision = this->stateMachine.evaluate(file);
    if (!decision.isAccepted || request.dryRun || isInForce) {
        for (const auto &line : diffConfigs(this->stateMachine.config(), value(parsed))) {
            decision.message += request.dryRun && decision.isAccepted ? "\n" + line : std::string();
        }
        this->reply(pending, decision);
        return;
    }
    wire::SetConfig setConfig;
    setConfig.file = std::move(file);
    wire::Command command;
    command.__set_setConfig(setConfig);
    this->proposeChange(std::move(pending), command, request.text.size());
}

void ControlCore::proposeChange(PendingApply pending, const wire::Command &command, std::size_t bytes)
{
    if (!this->store.hasSpace(bytes) || this->store.status().isFull) {
        // If the disk refuses this entry and the other processes write it, they take over the leadership.
        wire::Command noop;
        noop.__set_noop(true);
        this->propose(noop);
        this->reply(pending, {false, "unavailable", "the leader's disk is full; nothing was changed"});
        return;
    }
    if (const auto index = this->propose(command)) {
        this->pendingApplies[*index] = std::move(pending);
    } else {
        this->reply(pending, {false, "unavailable", "the leader changed; send the request again"});
    }
}

ConfigDecision ControlCore::tooFewDisks() const
{
    return {false, "unavailable",
            fmt::format("{} processes with a disk hold the log, too few to bear the losses of {} processes and "
                        "{} failure domains",
                        this->log.voters().size(), this->options.tolerance.machines, this->options.tolerance.domains)};
}

void ControlCore::handleEvacuation(PendingApply pending, const wire::OrderEvacuation &order)
{
    pending.evacuatedDomain = order.failureDomain;
    if (!this->decidesHere(pending, order)) {
        return;
    }
    const auto newest = this->stateMachine.evacuation(order.failureDomain);
    if (newest.orderIndex == 0 && !this->isKnownDomain(order.failureDomain)) {
        this->reply(
            pending,
            {false, "unknown-domain", fmt::format("no process of failure domain {} is known", order.failureDomain)});
        return;
    }
    const bool isInForce = newest.active == order.active;
    if (!(isInForce ? this->log.committedBearsLosses() : this->log.bearsLosses())) {
        this->reply(pending, this->tooFewDisks());
        return;
    }
    if (isInForce) {
        this->reply(pending, {true, "accepted", describeEvacuation(newest)});
        return;
    }
    const bool isForwarded = !pending.handler;
    if (isForwarded && !order.__isset.expectedIndex) {
        this->reply(pending, {false, "confirm", "send the order again with the index of the newest one"});
        return;
    }
    wire::SetEvacuation setEvacuation;
    setEvacuation.evacuation.failureDomain = order.failureDomain;
    setEvacuation.evacuation.active = order.active;
    setEvacuation.evacuation.author = order.author;
    setEvacuation.evacuation.atMs = this->clock.wallMs();
    setEvacuation.expectedIndex = isForwarded ? order.expectedIndex : newest.orderIndex;
    wire::Command command;
    command.__set_setEvacuation(setEvacuation);
    this->proposeChange(std::move(pending), command, order.failureDomain.size() + order.author.size());
}

bool ControlCore::isKnownDomain(const std::string &failureDomain) const
{
    const auto &named = this->options.failureDomains;
    const auto &members = this->stateMachine.members();
    return failureDomain == this->options.failureDomain
        || std::find(named.begin(), named.end(), failureDomain) != named.end()
        || std::any_of(members.begin(), members.end(),
                       [&failureDomain](const auto &each) { return each.second.failureDomain == failureDomain; });
}

template<typename Request>
bool ControlCore::forwardToLeader(PendingApply &pending, const Request &request, const std::string &leader)
{
    const auto address = leader.empty() ? std::nullopt : this->peerAddress(leader);
    if (!pending.handler || !address) {
        return false;
    }
    auto forwarded = request;
    forwarded.requestId = ++this->lastForwardedId;
    ForwardedApply waiting {std::move(pending.handler), this->clock.now() + forwardTimeout, {}};
    if constexpr (std::is_same_v<Request, wire::OrderEvacuation>) {
        waiting.order = forwarded;
    }
    this->forwardedApplies[forwarded.requestId] = std::move(waiting);
    this->sink.send(*address, std::move(forwarded));
    return true;
}

void ControlCore::handleForwardedReply(const IncomingMessage &incoming, const wire::ApplyReply &reply)
{
    const auto found = this->forwardedApplies.find(reply.requestId);
    if (found != this->forwardedApplies.end() && found->second.order && reply.code == "confirm") {
        auto order = std::exchange(found->second.order, std::nullopt);
        order->__set_expectedIndex(reply.orderIndex);
        this->sink.send(incoming.address, std::move(*order));
        return;
    }
    const auto node = this->forwardedApplies.extract(reply.requestId);
    if (!node.empty()) {
        node.mapped().handler(
            {{reply.accepted, reply.code, reply.message}, reply.code == "not-leader" ? reply.message : std::string()});
    }
}

void ControlCore::expireForwarded()
{
    const auto now = this->clock.now();
    for (auto each = this->forwardedApplies.begin(); each != this->forwardedApplies.end();) {
        if (now < each->second.expiresAt) {
            ++each;
            continue;
        }
        each->second.handler({{false, "unavailable", "the leader did not answer; send the request again"}, {}});
        each = this->forwardedApplies.erase(each);
    }
}

void ControlCore::reply(const PendingApply &pending, const ConfigDecision &decision)
{
    if (pending.handler) {
        pending.handler({decision, decision.code == "not-leader" ? decision.message : std::string()});
        return;
    }
    wire::ApplyReply reply;
    reply.requestId = pending.requestId;
    reply.accepted = decision.isAccepted;
    reply.code = decision.code;
    reply.message = decision.message;
    if (pending.evacuatedDomain) {
        reply.orderIndex = this->stateMachine.evacuation(*pending.evacuatedDomain).orderIndex;
        this->sink.send(pending.address, std::move(reply));
        return;
    }
    reply.inForce = this->stateMachine.file();
    if (this->leadershipTerm != 0) {
        reply.lagging = this->members.lagging(reply.inForce.number);
    }
    this->sink.send(pending.address, std::move(reply));
}

void ControlCore::handleQuery(const IncomingMessage &incoming, const wire::ControlQuery &query)
{
    wire::ControlAnswer result;
    result.requestId = query.requestId;
    result.json = this->answer(query, result.ok).dump();
    this->sink.send(incoming.address, std::move(result));
}

// Log.

std::optional<std::int64_t> ControlCore::propose(const wire::Command &command)
{
    return this->log.propose(encodeCompact(command), this->clock.now());
}

void ControlCore::drain()
{
    // Must come before entries are applied: after a change of leader, an awaited index may hold another entry.
    this->updateLeadership();
    while (this->drainOnce()) {
    }
    this->updateLeadership();
    this->compactIfDue();
}

bool ControlCore::drainOnce()
{
    auto output = this->log.takeOutput();
    for (auto &write : output.writes) {
        this->store.submit(std::move(write));
    }
    for (auto &message : output.messages) {
        if (const auto address = this->peerAddress(message.to)) {
            this->sink.send(*address, std::move(message.payload));
        }
    }
    if (output.restoredSnapshot) {
        this->stateMachine.restore(
            decodeCompact<wire::ControlImage>(output.restoredSnapshot->data).value_or(wire::ControlImage()));
    }
    for (const auto &entry : output.committed) {
        this->applyEntry(entry);
    }
    if (!output.committed.empty() && this->leadershipTerm != 0) {
        this->members.pushViews();
    }
    const auto written = this->store.status().written;
    if (written > this->writtenSequence) {
        this->writtenSequence = written;
        this->log.onWritten(written, this->clock.now());
        return true;
    }
    return !output.committed.empty() || !output.writes.empty();
}

void ControlCore::applyEntry(const wire::LogEntry &entry)
{
    const auto command = decodeCompact<wire::Command>(entry.command);
    std::optional<ConfigDecision> decision;
    if (command) {
        decision = this->stateMachine.apply(entry.index, *command);
    }
    this->members.onApplied(entry.index);
    const auto pending = this->pendingApplies.find(entry.index);
    if (pending != this->pendingApplies.end()) {
        // The entry at the index is the proposed one, as this process has led without interruption since then.
        this->reply(
            pending->second,
            decision.value_or(ConfigDecision {false, "unavailable", "the outcome is unknown; send the request again"}));
        this->pendingApplies.erase(pending);
    }
}

void ControlCore::updateLeadership()
{
    const auto term = this->log.isLeader() ? this->log.term() : 0;
    if (term == this->leadershipTerm) {
        return;
    }
    for (const auto &[index, pending] : std::exchange(this->pendingApplies, {})) {
        this->reply(pending,
                    {false, "unavailable", "the leader changed and the outcome is unknown; send the request again"});
    }
    this->leadershipTerm = term;
    this->members.reset();
}

void ControlCore::compactIfDue()
{
    const auto appliedIndex = this->log.commitIndex();
    // Entries as large as the snapshot make it worth writing, however large it is.
    const auto maxBytes = std::max(this->options.snapshotBytes, this->log.snapshotBytes());
    if (appliedIndex - this->log.snapshotIndex() >= this->options.snapshotEntries
        || this->log.committedBytes() >= maxBytes) {
        this->log.compact(appliedIndex, encodeCompact(this->stateMachine.image()));
        this->drainOnce();
    }
}

std::optional<wire::Endpoint> ControlCore::peerAddress(const std::string &name) const
{
    const auto found = std::find_if(this->options.group.begin(), this->options.group.end(),
                                    [&name](const ControlPeer &peer) { return peer.name == name; });
    if (found != this->options.group.end()) {
        return found->address;
    }
    return this->options.isOpen ? parseEndpoint(name) : std::nullopt;
}

std::vector<wire::ControlEndpoint> ControlCore::groupEndpoints() const
{
    std::vector<wire::ControlEndpoint> endpoints;
    for (const auto &list : {this->log.voters(), this->log.learners()}) {
        for (const auto &identity : list) {
            if (const auto address = this->peerAddress(memberName(identity))) {
                wire::ControlEndpoint endpoint;
                endpoint.name = memberName(identity);
                endpoint.address = *address;
                endpoints.push_back(std::move(endpoint));
            }
        }
    }
    return endpoints;
}

// Implementation of CoreI, and state for tests and metrics.

bool ControlCore::isReady() const
{
    const std::lock_guard lock(this->mutex);
    return !this->isStopping && this->store.status().failure.empty() && !this->log.leaderName(this->clock.now()).empty()
        && (!this->log.isLeader() || this->log.hasLease(this->clock.now()));
}

void ControlCore::beginStop()
{
    const std::lock_guard lock(this->mutex);
    this->isStopping = true;
    this->stopStartedAt = this->clock.now();
    this->log.beginLeaving();
    this->log.transferLeadership(this->clock.now());
    this->drain();
}

bool ControlCore::isDrained() const
{
    const std::lock_guard lock(this->mutex);
    const bool isReplaced = this->log.mayLeave() || this->clock.now() - this->stopStartedAt > replacementTimeout;
    return this->isStopping && ((!this->log.isLeader() && isReplaced) || this->log.voters().size() == 1);
}

std::int64_t ControlCore::configNumber() const
{
    const std::lock_guard lock(this->mutex);
    return this->stateMachine.file().number;
}

bool ControlCore::isLeader() const
{
    const std::lock_guard lock(this->mutex);
    return this->log.hasLease(this->clock.now());
}

std::int64_t ControlCore::term() const
{
    const std::lock_guard lock(this->mutex);
    return this->log.term();
}

std::int64_t ControlCore::commitIndex() const
{
    const std::lock_guard lock(this->mutex);
    return this->log.commitIndex();
}

ControlState ControlCore::state() const
{
    const std::lock_guard lock(this->mutex);
    return this->stateMachine;
}

} // namespace agatedrum
