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

OwnerCore::Shard &OwnerCore::shardFor(int cell)
{
    return *this->shards[static_cast<std::size_t>(cell) % this->shards.size()];
}

/// Returns whether the lease is valid and the applied view is at least as new as the one under which control granted
/// the lease. Without the check of the view, a process that resumes after a freeze could renew its lease before it
/// learns that the cell has a new owner.
bool OwnerCore::mayAct() const
{
    if (this->options.defects != nullptr && this->options.defects->ignoresLease) {
        return true;
    }
    return toMicros(this->clock.now()) < this->leaseUntilMicros && this->link.hasLease();
}

void OwnerCore::handleHeartbeatReply(const wire::HeartbeatReply &reply)
{
    if (!reply.accepted) {
        return;
    }
    const std::lock_guard lock(this->leaseMutex);
    auto &leaseEnd = this->unconfirmedLeaseEnds[reply.viewVersion];
    leaseEnd = std::max(leaseEnd, reply.sentAtMicros + Micros(Millis(AGATEDRUM_OWNER_LEASE_MS)).count());
}

void OwnerCore::confirmLease()
{
    // Not the version of the received view: another thread may not have applied that view yet.
    const auto version = std::max<std::int64_t>(0, this->appliedViewVersion);
    const std::lock_guard lock(this->leaseMutex);
    while (!this->unconfirmedLeaseEnds.empty() && this->unconfirmedLeaseEnds.begin()->first <= version) {
        const auto leaseEnd = this->unconfirmedLeaseEnds.begin()->second;
        this->leaseUntilMicros = std::max(this->leaseUntilMicros.load(), leaseEnd);
        this->unconfirmedLeaseEnds.erase(this->unconfirmedLeaseEnds.begin());
    }
}

void OwnerCore::handle(const IncomingMessage &incoming)
{
    if (this->link.handle(incoming)) {
        this->applyNewView();
        if (const auto *reply = std::get_if<wire::HeartbeatReply>(&incoming.payload)) {
            this->handleHeartbeatReply(*reply);
        }
        this->confirmLease();
        return;
    }
    if (const auto *submit = std::get_if<wire::SubmitJob>(&incoming.payload)) {
        this->handleRequest(incoming, *submit, &CellOwner::submit);
    } else if (const auto *results = std::get_if<wire::ResultBatch>(&incoming.payload)) {
        this->handleIfOwned(incoming, *results, &CellOwner::handleResults);
    } else if (const auto *ack = std::get_if<wire::RecordAck>(&incoming.payload)) {
        this->handleIfOwned(incoming, *ack, &CellOwner::handleRecordAck);
    } else if (const auto *batch = std::get_if<wire::RecordBatch>(&incoming.payload)) {
        this->handleRecord(incoming, *batch);
    } else if (const auto *hello = std::get_if<wire::AgentHello>(&incoming.payload)) {
        this->handleIfOwned(incoming, *hello, &CellOwner::handleHello);
    } else if (const auto *state = std::get_if<wire::AgentState>(&incoming.payload)) {
        this->handleIfOwned(incoming, *state, &CellOwner::handleAgentState);
    } else if (const auto *refused = std::get_if<wire::StartRefused>(&incoming.payload)) {
        this->handleIfOwned(incoming, *refused, &CellOwner::handleStartRefused);
    } else if (const auto *cancel = std::get_if<wire::CancelJob>(&incoming.payload)) {
        this->handleRequest(incoming, *cancel, &CellOwner::cancel);
    } else if (const auto *query = std::get_if<wire::QueryJob>(&incoming.payload)) {
        this->handleRequest(incoming, *query, &CellOwner::query);
    } else if (const auto *snapshot = std::get_if<wire::RecordSnapshot>(&incoming.payload)) {
        this->handleRecord(incoming, *snapshot);
    }
}

template<typename Request>
void OwnerCore::handleRequest(const IncomingMessage &incoming, const Request &request,
                              void (CellOwner::*method)(const IncomingMessage &, const Request &))
{
    auto &shard = this->shardFor(request.cell);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.owned.find(request.cell);
    if (found != shard.owned.end()) {
        ((*found->second).*method)(incoming, request);
        return;
    }
    wire::NotOwner notOwner;
    notOwner.requestId = request.requestId;
    notOwner.cell = request.cell;
    notOwner.epoch = shard.highestEpoch[request.cell];
    this->sink.send(incoming.address, std::move(notOwner));
}

template<typename Message>
void OwnerCore::handleIfOwned(const IncomingMessage &incoming, const Message &message,
                              void (CellOwner::*method)(const IncomingMessage &, const Message &))
{
    auto &shard = this->shardFor(message.cell);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.owned.find(message.cell);
    if (found != shard.owned.end()) {
        ((*found->second).*method)(incoming, message);
    }
}

template<typename Record>
void OwnerCore::handleRecord(const IncomingMessage &incoming, const Record &record)
{
    auto &shard = this->shardFor(record.cell);
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
        this->resignCell(shard, record.cell, record.epoch);
    }
    auto &records = shard.replicas.try_emplace(record.cell, this->options.limits).first->second;
    const bool wasInSync = records.isInSync(record.epoch);
    const auto ack = records.handle(record, this->clock.now());
    if (ack) {
        this->sink.send(incoming.address, *ack);
    }
    if (!wasInSync && records.isInSync(record.epoch)) {
        this->link.requestHeartbeat();
    }
}

void OwnerCore::resignCell(Shard &shard, int cell, std::int64_t newEpoch)
{
    const auto found = shard.owned.find(cell);
    if (found != shard.owned.end()) {
        found->second->releaseOwnership(newEpoch);
        shard.owned.erase(found);
        this->link.requestHeartbeat();
    }
}

void OwnerCore::applyNewView()
{
    const std::lock_guard viewLock(this->viewMutex);
    if (!this->link.hasView() || this->link.viewVersion() == this->appliedViewVersion) {
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
    this->resignUnlistedCells(view);
    this->appliedViewVersion = view.version;
}

void OwnerCore::applyView(const wire::CellView &view, const ClusterConfig &config)
{
    auto &shard = this->shardFor(view.cell);
    const std::lock_guard lock(shard.mutex);
    auto &highest = shard.highestEpoch[view.cell];
    if (view.epoch < highest) {
        return;
    }
    highest = view.epoch;
    this->applyCell(shard, view, config);
    shard.minSubmissionTimes[view.cell] = {view.epoch, view.floorMs};
}

void OwnerCore::applyCell(Shard &shard, const wire::CellView &view, const ClusterConfig &config)
{
    const bool isOwner = view.__isset.owner && view.owner.id == this->options.self;
    const auto owned = shard.owned.find(view.cell);
    if (owned != shard.owned.end() && (!isOwner || owned->second->epoch() != view.epoch)) {
        this->resignCell(shard, view.cell, view.epoch);
    }
    const bool hasService = config.service(view.serviceName) != nullptr;
    if (isOwner && shard.owned.count(view.cell) != 0) {
        shard.owned.at(view.cell)->applyView(view);
        if (hasService) {
            shard.owned.at(view.cell)->configure(config);
        }
    } else if (isOwner && hasService && shard.ownedEpoch[view.cell] < view.epoch) {
        // An epoch that this process has resigned is never activated again, because its ledger no longer exists.
        this->activateCell(shard, view, config);
    }
    const bool isHolder = std::any_of(view.holders.begin(), view.holders.end(),
                                      [this](const auto &holder) { return holder.id == this->options.self; });
    if (!isOwner && !isHolder) {
        shard.replicas.erase(view.cell);
    }
}

void OwnerCore::activateCell(Shard &shard, const wire::CellView &view, const ClusterConfig &config)
{
    const auto replica = shard.replicas.find(view.cell);
    // Control raises the minimum submission time when it considers the ledger lost. A replica that control no longer
    // relied on may be outdated; with it, tasks that have ended since would run again.
    const bool isLedgerLost = shard.minSubmissionTimes[view.cell] != std::make_pair(view.epoch - 1, view.floorMs);
    const bool hasReplica
        = !isLedgerLost && replica != shard.replicas.end() && replica->second.isInSync(view.epoch - 1);
    auto ledger = hasReplica ? replica->second.takeLedger() : CellLedger(this->options.limits);
    ledger.raiseMinSubmittedAt(view.floorMs);
    if (!hasReplica && view.epoch > 1) {
        // Earlier epochs may have run jobs of which this process has no record.
        const auto minSubmittedAtMs = this->clock.wallMs() + this->options.limits.maxClockSkew.count();
        ledger.raiseMinSubmittedAt(minSubmittedAtMs);
        log(LogLevel::Warning, "owner", "cell {} epoch {}: no replica in sync, submissions before {} are refused",
            view.cell, view.epoch, minSubmittedAtMs);
    }
    shard.replicas.erase(view.cell);
    shard.ownedEpoch[view.cell] = view.epoch;
    CellContext context {this->sink, this->clock, [this] { return this->mayAct(); }, this->options.self,
                         this->options.defects};
    shard.owned[view.cell] = std::make_unique<CellOwner>(std::move(context), view, config, std::move(ledger));
    this->link.requestHeartbeat();
}

/// Resigns the cells that the view no longer lists.
void OwnerCore::resignUnlistedCells(const wire::ClusterView &view)
{
    std::set<int> listedCells;
    for (const auto &cell : view.cells) {
        listedCells.insert(cell.cell);
    }
    for (auto &shard : this->shards) {
        const std::lock_guard lock(shard->mutex);
        std::vector<int> unlistedCells;
        for (const auto &[cell, owner] : shard->owned) {
            if (listedCells.count(cell) == 0) {
                unlistedCells.push_back(cell);
            }
        }
        for (const auto cell : unlistedCells) {
            this->resignCell(*shard, cell, shard->highestEpoch[cell]);
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
        for (const auto &[cell, records] : shard->replicas) {
            wire::CellReport cellReport;
            cellReport.cell = cell;
            cellReport.epoch = records.epoch();
            cellReport.whole = records.isInSync(records.epoch());
            report.cells.push_back(cellReport);
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
        for (auto &[cell, records] : shard->replicas) {
            records.expire(this->clock.wallMs(), now);
        }
    }
    if (isReportChanged) {
        this->link.requestHeartbeat();
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
        for (const auto &[cell, records] : shard->replicas) {
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
        this->link.requestHeartbeat();
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

bool OwnerCore::maySend(const Payload &payload) const
{
    const auto *batch = std::get_if<wire::StartBatch>(&payload);
    if (batch == nullptr) {
        return true;
    }
    if (!this->mayAct()) {
        return false;
    }
    const auto &shard = *this->shards[static_cast<std::size_t>(batch->cell) % this->shards.size()];
    const std::lock_guard lock(shard.mutex);
    const auto highest = shard.highestEpoch.find(batch->cell);
    return highest == shard.highestEpoch.end() || batch->epoch >= highest->second;
}

} // namespace agatedrum
