#include "cell_owner_stream_p.h"

#include "base_log_p.h"

#include <algorithm>
#include <utility>

namespace agatedrum {

namespace {

/// Time without an acknowledgement after which batches are sent again. Far above a round trip between failure domains.
constexpr Millis batchRepeatDelay {200};
/// Time without an acknowledgement after which a snapshot is sent again. Longer than for batches, since a large
/// snapshot takes longer to arrive.
constexpr Millis snapshotRepeatDelay {1000};
/// Maximum number of batches sent again at once. The others follow as these are acknowledged.
constexpr std::int64_t maxRepeatedBatches = 64;
/// Maximum bytes of batches kept for lagging holders. Holders that need older batches get a snapshot.
constexpr std::int64_t maxLogBytes = 64LL * 1024 * 1024;
constexpr std::int64_t snapshotPartBytes = 1024LL * 1024;
/// Parts of a snapshot sent in one tick. Limited so that a snapshot does not delay other work of the cell.
constexpr int snapshotPartsPerTick = 2;

} // namespace

RecordStream::RecordStream(int cell, std::int64_t epoch, LeasedSend send)
    : cell(cell)
    , epoch(epoch)
    , send(std::move(send))
{
}

void RecordStream::setHolders(const std::vector<wire::MemberRef> &listed)
{
    std::map<std::string, Holder> newHolders;
    for (const auto &ref : listed) {
        const auto found = this->holders.find(ref.id.name);
        auto &holder = newHolders[ref.id.name];
        // A new incarnation of the process has lost its replica.
        if (found != this->holders.end() && found->second.ref.id == ref.id) {
            holder = found->second;
        }
        holder.ref = ref;
    }
    for (const auto &[name, holder] : this->holders) {
        const auto found = newHolders.find(name);
        if (holder.isReportedInSync && (found == newHolders.end() || !found->second.isReportedInSync)) {
            this->isReportChanged = true;
        }
    }
    this->holders = std::move(newHolders);
    this->trimLog();
}

std::int64_t RecordStream::append(wire::RecordOp op)
{
    this->nextBatchBytes += estimateOpBytes(op);
    this->nextOpByKey[ledgerKey(op.key)] = this->nextBatch.ops.size();
    this->nextBatch.ops.push_back(std::move(op));
    return this->lastSequence + 1;
}

std::int64_t RecordStream::appendResult(const wire::JobKey &key, const wire::TaskResult &result)
{
    const auto found = this->nextOpByKey.find(ledgerKey(key));
    if (found == this->nextOpByKey.end() || this->nextBatch.ops[found->second].forgotten) {
        wire::RecordOp op;
        op.key = key;
        op.results.push_back(result);
        return this->append(std::move(op));
    }
    this->nextBatchBytes += static_cast<std::int64_t>(result.body.size());
    this->nextBatch.ops[found->second].results.push_back(result);
    return this->lastSequence + 1;
}

void RecordStream::flush(Time now)
{
    if (this->nextBatch.ops.empty()) {
        return;
    }
    ++this->lastSequence;
    this->nextBatch.cell = this->cell;
    this->nextBatch.epoch = this->epoch;
    this->nextBatch.sequence = this->lastSequence;
    const auto batch = std::exchange(this->nextBatch, {});
    this->nextOpByKey.clear();
    const auto bytes = std::exchange(this->nextBatchBytes, 0);
    for (auto &[name, holder] : this->holders) {
        if (!holder.isSnapshotStarted) {
            continue;
        }
        if (holder.acknowledgedSequence == this->lastSequence - 1) {
            holder.lastActivityAt = now;
        }
        this->send(holder.ref.address, batch);
    }
    if (!this->holders.empty()) {
        this->log.push_back({batch, bytes});
        this->logBytes += bytes;
        this->trimLog();
    }
}

bool RecordStream::hasUnacknowledged() const
{
    return std::any_of(this->holders.begin(), this->holders.end(), [this](const auto &entry) {
        return entry.second.isRequired && entry.second.acknowledgedSequence < this->lastSequence;
    });
}

bool RecordStream::hasUnsent() const
{
    return !this->nextBatch.ops.empty();
}

bool RecordStream::handleAck(const wire::ProcessId &id, const wire::RecordAck &ack, Time now)
{
    const auto found = this->holders.find(id.name);
    if (found == this->holders.end() || found->second.ref.id != id || ack.epoch != this->epoch) {
        return false;
    }
    auto &holder = found->second;
    if (!ack.whole) {
        // A holder that dropped its replica because of an outdated view needs a new snapshot. Its acknowledgement stays
        // required.
        const bool isRecentlySent = now - holder.lastActivityAt < snapshotRepeatDelay;
        holder.isSnapshotStarted = holder.isSnapshotStarted && (isRecentlySent || !holder.isSnapshotSent);
        return false;
    }
    if (!holder.isRequired) {
        holder.isRequired = true;
        // Outcomes may have been acknowledged to agents without this holder having them. They must reach the holder
        // before the control group may promote it.
        holder.joinedAtSequence = this->lastSequence;
    } else if (ack.sequence <= holder.acknowledgedSequence) {
        return false;
    }
    holder.acknowledgedSequence = std::max(holder.acknowledgedSequence, ack.sequence);
    holder.lastActivityAt = now;
    if (!holder.isReportedInSync && holder.acknowledgedSequence >= holder.joinedAtSequence) {
        holder.isReportedInSync = true;
        this->isReportChanged = true;
        agatedrum::log(LogLevel::Info, "owner", "cell {} epoch {}: holder {} is in sync", this->cell, this->epoch,
                       id.name);
    }
    this->trimLog();
    return true;
}

void RecordStream::tick(const CellLedger &ledger, Time now)
{
    for (auto &[name, holder] : this->holders) {
        const auto timeSinceActivity = now - holder.lastActivityAt;
        const bool isSnapshotOverdue
            = !holder.isRequired && holder.isSnapshotSent && timeSinceActivity >= snapshotRepeatDelay;
        if (!holder.isSnapshotStarted || isSnapshotOverdue) {
            this->flush(now);
            this->beginSnapshot(holder, ledger, now);
        }
        for (int i = 0; i < snapshotPartsPerTick && !holder.isSnapshotSent; ++i) {
            this->sendSnapshotPart(holder, ledger, now);
        }
        if (holder.isRequired && holder.acknowledgedSequence < this->lastSequence
            && timeSinceActivity >= batchRepeatDelay) {
            this->resendBatches(holder, now);
        }
    }
}

void RecordStream::beginSnapshot(Holder &holder, const CellLedger &ledger, Time now)
{
    holder.isSnapshotStarted = true;
    holder.isSnapshotSent = false;
    holder.snapshotSequence = this->lastSequence;
    holder.snapshotLastSentJob = 0;
    holder.snapshotLastJob = ledger.newestJobNumber();
    holder.snapshotPartsSent = 0;
    holder.lastActivityAt = now;
}

/// Sends the next part of the snapshot, with the jobs in their current state. Parts may thus be newer than
/// snapshotSequence and differ in age: applying the batches after snapshotSequence on top leads to the current state
/// from any such mixture. Only the last part contains the number of parts.
void RecordStream::sendSnapshotPart(Holder &holder, const CellLedger &ledger, Time now)
{
    wire::RecordSnapshot part;
    part.cell = this->cell;
    part.epoch = this->epoch;
    part.sequence = holder.snapshotSequence;
    part.part = holder.snapshotPartsSent;
    part.floorMs = ledger.minSubmittedAtMs();
    part.ops = ledger.snapshotPart(holder.snapshotLastSentJob, snapshotPartBytes, now);
    const bool isLast = part.ops.empty() || holder.snapshotLastSentJob >= holder.snapshotLastJob;
    part.parts = isLast ? holder.snapshotPartsSent + 1 : 0;
    if (this->send(holder.ref.address, std::move(part))) {
        ++holder.snapshotPartsSent;
        holder.isSnapshotSent = isLast;
        holder.lastActivityAt = now;
    } else {
        holder.isSnapshotStarted = false;
    }
}

void RecordStream::resendBatches(Holder &holder, Time now)
{
    if (this->log.empty() || this->log.front().batch.sequence > holder.acknowledgedSequence + 1) {
        // The batches that the holder needs are no longer kept: a snapshot is being sent or is needed.
        const bool isSnapshotInProgress = holder.snapshotSequence > holder.acknowledgedSequence
            && (!holder.isSnapshotSent || now - holder.lastActivityAt < snapshotRepeatDelay);
        holder.isSnapshotStarted = isSnapshotInProgress;
        return;
    }
    const auto firstIndex
        = static_cast<std::size_t>(holder.acknowledgedSequence + 1 - this->log.front().batch.sequence);
    const auto endIndex = std::min(this->log.size(), firstIndex + maxRepeatedBatches);
    for (auto i = firstIndex; i < endIndex; ++i) {
        this->send(holder.ref.address, this->log[i].batch);
    }
    holder.lastActivityAt = now;
}

void RecordStream::trimLog()
{
    auto acknowledgedByAll = this->lastSequence;
    for (const auto &[name, holder] : this->holders) {
        if (!holder.isRequired && !holder.isSnapshotStarted) {
            continue;
        }
        acknowledgedByAll
            = std::min(acknowledgedByAll, holder.isRequired ? holder.acknowledgedSequence : holder.snapshotSequence);
    }
    while (!this->log.empty()
           && (this->log.front().batch.sequence <= acknowledgedByAll || this->logBytes > maxLogBytes)) {
        this->logBytes -= this->log.front().bytes;
        this->log.pop_front();
    }
}

bool RecordStream::isRecorded(std::int64_t sequence, int replicaCount) const
{
    int inSyncCount = 1;
    for (const auto &[name, holder] : this->holders) {
        if (!holder.isRequired) {
            continue;
        }
        if (holder.acknowledgedSequence < sequence) {
            return false;
        }
        inSyncCount += holder.isReportedInSync ? 1 : 0;
    }
    return inSyncCount >= replicaCount;
}

bool RecordStream::hasRequiredHolder() const
{
    return std::any_of(this->holders.begin(), this->holders.end(),
                       [](const auto &entry) { return entry.second.isRequired; });
}

std::int64_t RecordStream::lastAppendedSequence() const
{
    return this->nextBatch.ops.empty() ? this->lastSequence : this->lastSequence + 1;
}

std::vector<std::string> RecordStream::inSyncHolders() const
{
    std::vector<std::string> names;
    for (const auto &[name, holder] : this->holders) {
        if (holder.isReportedInSync) {
            names.push_back(name);
        }
    }
    return names;
}

bool RecordStream::takeReportChanged()
{
    return std::exchange(this->isReportChanged, false);
}

} // namespace agatedrum
