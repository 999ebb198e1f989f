#include "owner_core_p.h"

#include "base_log_p.h"

#include <algorithm>
#include <utility>

namespace agatedrum {

namespace {

std::int64_t toMicros(Time time)
{
    return time.time_since_epoch().count();
}

} // namespace

OwnerCore::OwnerCore(MessageSinkI &sink, const ClockI &clock, MemberLink &link, OwnerOptions options)
    : sink(sink)
    , clock(clock)
    , link(link)
    , options(std::move(options))
{
    for (int i = 0; i < std::max(1, this->options.shards); ++i) {
        this->shards.push_back(std::make_unique<Shard>());
    }
}

OwnerCore::~OwnerCore() = default;

OwnerCore::Shard &OwnerCore::shardOf(int cell)
{
    return *this->shards[static_cast<std::size_t>(cell) % this->shards.size()];
}

/// Whether the lease holds and the view is at least as new as the one that control had when it granted the lease.
/// Without the latter, a process that wakes from a freeze would renew its lease before it learns of a new owner.
bool OwnerCore::mayAct() const
{
    if (this->options.defects != nullptr && this->options.defects->ignoresLease) {
        return true;
    }
    return toMicros(this->clock.now()) < this->leaseUntilMicros && this->link.hasLease();
}

void OwnerCore::handleReply(const wire::HeartbeatReply &reply)
{
    if (!reply.accepted) {
        return;
    }
    const std::lock_guard lock(this->leaseMutex);
    auto &until = this->unconfirmed[reply.viewVersion];
    until = std::max(until, reply.sentAtMicros + Micros(Millis(AGATEDRUM_OWNER_LEASE_MS)).count());
}

void OwnerCore::confirmLease()
{
    const auto version = this->link.viewVersion();
    const std::lock_guard lock(this->leaseMutex);
    while (!this->unconfirmed.empty() && this->unconfirmed.begin()->first <= version) {
        const auto until = this->unconfirmed.begin()->second;
        this->leaseUntilMicros = std::max(this->leaseUntilMicros.load(), until);
        this->unconfirmed.erase(this->unconfirmed.begin());
    }
}

void OwnerCore::handle(const Incoming &incoming)
{
    if (this->link.handle(incoming)) {
        this->applyNewView();
        if (const auto *reply = std::get_if<wire::HeartbeatReply>(&incoming.payload)) {
            this->handleReply(*reply);
        }
        this->confirmLease();
        return;
    }
    if (const auto *submit = std::get_if<wire::SubmitJob>(&incoming.payload)) {
        this->handleRequest(incoming, *submit, &CellOwner::submit);
    } else if (const auto *results = std::get_if<wire::ResultBatch>(&incoming.payload)) {
        this->handleForOwned(incoming, *results, &CellOwner::results);
    } else if (const auto *ack = std::get_if<wire::RecordAck>(&incoming.payload)) {
        this->handleForOwned(incoming, *ack, &CellOwner::acknowledged);
    } else if (const auto *batch = std::get_if<wire::RecordBatch>(&incoming.payload)) {
        this->handleRecord(incoming, *batch);
    } else if (const auto *hello = std::get_if<wire::AgentHello>(&incoming.payload)) {
        this->handleForOwned(incoming, *hello, &CellOwner::hello);
    } else if (const auto *state = std::get_if<wire::AgentState>(&incoming.payload)) {
        this->handleForOwned(incoming, *state, &CellOwner::state);
    } else if (const auto *refused = std::get_if<wire::StartRefused>(&incoming.payload)) {
        this->handleForOwned(incoming, *refused, &CellOwner::refused);
    } else if (const auto *cancel = std::get_if<wire::CancelJob>(&incoming.payload)) {
        this->handleRequest(incoming, *cancel, &CellOwner::cancel);
    } else if (const auto *query = std::get_if<wire::QueryJob>(&incoming.payload)) {
        this->handleRequest(incoming, *query, &CellOwner::query);
    } else if (const auto *snapshot = std::get_if<wire::RecordSnapshot>(&incoming.payload)) {
        this->handleRecord(incoming, *snapshot);
    }
}

template<typename Request>
void OwnerCore::handleRequest(const Incoming &incoming, const Request &request,
                              void (CellOwner::*member)(const Incoming &, const Request &))
{
    auto &shard = this->shardOf(request.cell);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.owned.find(request.cell);
    if (found != shard.owned.end()) {
        ((*found->second).*member)(incoming, request);
        return;
    }
    wire::NotOwner notOwner;
    notOwner.requestId = request.requestId;
    notOwner.cell = request.cell;
    notOwner.epoch = shard.highestEpoch[request.cell];
    this->sink.send(incoming.address, std::move(notOwner));
}

template<typename Message>
void OwnerCore::handleForOwned(const Incoming &incoming, const Message &message,
                               void (CellOwner::*member)(const Incoming &, const Message &))
{
    auto &shard = this->shardOf(message.cell);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.owned.find(message.cell);
    if (found != shard.owned.end()) {
        ((*found->second).*member)(incoming, message);
    }
}

template<typename Record>
void OwnerCore::handleRecord(const Incoming &incoming, const Record &record)
{
    auto &shard = this->shardOf(record.cell);
    const std::lock_guard lock(shard.mutex);
    auto &highest = shard.highestEpoch[record.cell];
    if (record.epoch < highest) {
        return;
    }
    highest = record.epoch;
    if (const auto owned = shard.owned.find(record.cell); owned != shard.owned.end()) {
        if (record.epoch <= owned->second->epoch()) {
            return;
        }
        this->resign(shard, record.cell, record.epoch);
    }
    auto &records = shard.held.try_emplace(record.cell, this->options.limits).first->second;
    const bool wasWhole = records.isInSync(record.epoch);
    const auto ack = records.handle(record, this->clock.now());
    if (ack) {
        this->sink.send(incoming.address, *ack);
    }
    if (!wasWhole && records.isInSync(record.epoch)) {
        this->link.hurry();
    }
}

void OwnerCore::resign(Shard &shard, int cell, std::int64_t newEpoch)
{
    const auto found = shard.owned.find(cell);
    if (found != shard.owned.end()) {
        found->second->releaseOwnership(newEpoch);
        shard.owned.erase(found);
        this->link.hurry();
    }
}

void OwnerCore::applyNewView()
{
    const std::lock_guard viewLock(this->viewMutex);
    if (!this->link.hasView() || this->link.viewVersion() == this->appliedVersion) {
        return;
    }
    const auto view = this->link.view();
    if (view.config.number != this->config.number) {
        auto parsed = parseConfig(view.config.text);
        if (isOk(parsed)) {
            this->config = takeValue(std::move(parsed));
        } else {
            log(LogLevel::Error, "owner", "configuration {} cannot be parsed: {}", view.config.number,
                error(parsed).text());
        }
    }
    for (const auto &cell : view.cells) {
        this->applyView(cell, this->config);
    }
    this->dropUnlisted(view);
    this->appliedVersion = view.version;
}

void OwnerCore::applyView(const wire::CellView &view, const ClusterConfig &config)
{
    auto &shard = this->shardOf(view.cell);
    const std::lock_guard lock(shard.mutex);
    auto &highest = shard.highestEpoch[view.cell];
    if (view.epoch < highest) {
        return;
    }
    highest = view.epoch;
    this->applyCell(shard, view, config);
    shard.floors[view.cell] = {view.epoch, view.floorMs};
}

void OwnerCore::applyCell(Shard &shard, const wire::CellView &view, const ClusterConfig &config)
{
    const bool isOwner = view.__isset.owner && view.owner.id == this->options.self;
    const auto owned = shard.owned.find(view.cell);
    if (owned != shard.owned.end() && (!isOwner || owned->second->epoch() != view.epoch)) {
        this->resign(shard, view.cell, view.epoch);
    }
    const bool hasService = config.service(view.serviceName) != nullptr;
    if (isOwner && shard.owned.count(view.cell) != 0) {
        shard.owned.at(view.cell)->applyView(view);
        if (hasService) {
            shard.owned.at(view.cell)->configure(config);
        }
    } else if (isOwner && hasService && shard.ownedEpoch[view.cell] < view.epoch) {
        // An epoch that was given up is not taken again: its ledger is gone.
        this->activate(shard, view, config);
    }
    const bool isHolder = std::any_of(view.holders.begin(), view.holders.end(),
                                      [this](const auto &holder) { return holder.id == this->options.self; });
    if (!isOwner && !isHolder) {
        shard.held.erase(view.cell);
    }
}

void OwnerCore::activate(Shard &shard, const wire::CellView &view, const ClusterConfig &config)
{
    const auto held = shard.held.find(view.cell);
    // Control raises the floor when it takes the ledger for lost. A copy that it no longer counted on may be old, and
    // would have tasks run again that ended since.
    const bool isLost = shard.floors[view.cell] != std::make_pair(view.epoch - 1, view.floorMs);
    const bool hasCopy = !isLost && held != shard.held.end() && held->second.isInSync(view.epoch - 1);
    auto ledger = hasCopy ? held->second.takeLedger() : CellLedger(this->options.limits);
    ledger.raiseMinSubmittedAt(view.floorMs);
    if (!hasCopy && view.epoch > 1) {
        // Earlier epochs may have run jobs that this process has no record of.
        const auto floor = this->clock.wallMs() + this->options.limits.maxClockSkew.count();
        ledger.raiseMinSubmittedAt(floor);
        log(LogLevel::Warning, "owner", "cell {} epoch {}: no whole copy, submissions before {} are refused", view.cell,
            view.epoch, floor);
    }
    shard.held.erase(view.cell);
    shard.ownedEpoch[view.cell] = view.epoch;
    CellContext context {this->sink, this->clock, [this] { return this->mayAct(); }, this->options.self,
                         this->options.defects};
    shard.owned[view.cell] = std::make_unique<CellOwner>(std::move(context), view, config, std::move(ledger));
    this->link.hurry();
}

/// Gives up cells that the view no longer lists at all.
void OwnerCore::dropUnlisted(const wire::ClusterView &view)
{
    std::set<int> listed;
    for (const auto &cell : view.cells) {
        listed.insert(cell.cell);
    }
    for (auto &shard : this->shards) {
        const std::lock_guard lock(shard->mutex);
        std::vector<int> gone;
        for (const auto &[cell, owner] : shard->owned) {
            if (listed.count(cell) == 0) {
                gone.push_back(cell);
            }
        }
        for (const auto cell : gone) {
            this->resign(*shard, cell, shard->highestEpoch[cell]);
        }
    }
}

MemberReport OwnerCore::report()
{
    MemberReport report;
    report.isLeaving = this->isStopping;
    for (auto &shard : this->shards) {
        const std::lock_guard lock(shard->mutex);
        for (const auto &[cell, owner] : shard->owned) {
            report.cells.push_back(owner->report());
        }
        for (const auto &[cell, records] : shard->held) {
            wire::CellReport held;
            held.cell = cell;
            held.epoch = records.epoch();
            held.whole = records.isInSync(records.epoch());
            report.cells.push_back(held);
        }
    }
    return report;
}

void OwnerCore::tick()
{
    this->applyNewView();
    this->confirmLease();
    const auto now = this->clock.now();
    bool isReportChanged = false;
    for (auto &shard : this->shards) {
        const std::lock_guard lock(shard->mutex);
        for (const auto &[cell, owner] : shard->owned) {
            owner->tick();
            isReportChanged = owner->takeReportChanged() || isReportChanged;
        }
        for (auto &[cell, records] : shard->held) {
            records.expire(this->clock.wallMs(), now);
        }
    }
    if (isReportChanged) {
        this->link.hurry();
    }
    this->link.tick(this->report());
}

nlohmann::json OwnerCore::dump() const
{
    nlohmann::json owned = nlohmann::json::array();
    nlohmann::json held = nlohmann::json::array();
    for (const auto &shard : this->shards) {
        const std::lock_guard lock(shard->mutex);
        for (const auto &[cell, owner] : shard->owned) {
            owned.push_back(owner->dump());
        }
        for (const auto &[cell, records] : shard->held) {
            held.push_back({{"cell", cell},
                            {"epoch", records.epoch()},
                            {"whole", records.isInSync(records.epoch())},
                            {"sequence", records.sequence()},
                            {"keys", records.size()}});
        }
    }
    return {{"role", "owner"},
            {"hasLease", this->mayAct()},
            {"viewVersion", this->link.viewVersion()},
            {"configNumber", this->link.configNumber()},
            {"isStopping", this->isStopping.load()},
            {"owned", owned},
            {"held", held}};
}

bool OwnerCore::isReady() const
{
    return this->link.hasView() && this->mayAct();
}

void OwnerCore::beginStop()
{
    if (!this->isStopping.exchange(true)) {
        this->link.hurry();
    }
}

bool OwnerCore::isDrained() const
{
    for (const auto &shard : this->shards) {
        const std::lock_guard lock(shard->mutex);
        for (const auto &[cell, owner] : shard->owned) {
            const auto report = owner->report();
            if (!report.wholeHolders.empty() || !owner->isIdle()) {
                return false;
            }
        }
    }
    return true;
}

std::int64_t OwnerCore::configNumber() const
{
    return this->link.configNumber();
}

bool OwnerCore::mayLeave(const Payload &payload) const
{
    return !std::holds_alternative<wire::StartBatch>(payload) || this->link.hasLease();
}

} // namespace agatedrum
