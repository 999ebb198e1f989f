#include "cell_owner_stream_p.h"

#include "base_log_p.h"

#include <algorithm>
#include <utility>

namespace agatedrum {

namespace {

/// Time without an acknowledgement after which batches are sent again. Far above a round trip between domains.
constexpr Millis repeatAfter {200};
/// Time without an acknowledgement after which a snapshot is sent again; a large one takes longer to arrive.
constexpr Millis snapshotRepeatAfter {1000};
/// Batches repeated at once; the rest follow as these are acknowledged.
constexpr std::int64_t maxRepeated = 64;
/// Bytes of batches kept for holders that lag; beyond it they get a snapshot.
constexpr std::int64_t maxLogBytes = 64LL * 1024 * 1024;
constexpr std::int64_t snapshotPartBytes = 1024LL * 1024;
/// Parts of a snapshot sent in one tick, so that other work of the cell goes on.
constexpr int partsPerTick = 2;

} // namespace

RecordStream::RecordStream(int cell, std::int64_t epoch, LeasedSend send)
    : cell(cell)
    , epoch(epoch)
    , send(std::move(send))
{
}

void RecordStream::setHolders(const std::vector<wire::MemberRef> &listed)
{
    std::map<std::string, Holder> kept;
    for (const auto &ref : listed) {
        const auto found = this->holders.find(ref.id.name);
        auto &holder = kept[ref.id.name];
        // A new incarnation has an empty memory.
        if (found != this->holders.end() && found->second.ref.id == ref.id) {
            holder = found->second;
        }
        holder.ref = ref;
    }
    for (const auto &[name, holder] : this->holders) {
        const auto found = kept.find(name);
        if (holder.isReported && (found == kept.end() || !found->second.isReported)) {
            this->isReportChanged = true;
        }
    }
    this->holders = std::move(kept);
    this->trim();
}

std::int64_t RecordStream::append(wire::RecordOp op)
{
    this->nextBytes += recordBytes(op);
    this->nextByKey[ledgerKey(op.key)] = this->next.ops.size();
    this->next.ops.push_back(std::move(op));
    return this->lastSequence + 1;
}

std::int64_t RecordStream::appendResult(const wire::JobKey &key, const wire::TaskResult &result)
{
    const auto found = this->nextByKey.find(ledgerKey(key));
    if (found == this->nextByKey.end() || this->next.ops[found->second].forgotten) {
        wire::RecordOp op;
        op.key = key;
        op.results.push_back(result);
        return this->append(std::move(op));
    }
    this->nextBytes += static_cast<std::int64_t>(result.body.size());
    this->next.ops[found->second].results.push_back(result);
    return this->lastSequence + 1;
}

void RecordStream::flush(Time now)
{
    if (this->next.ops.empty()) {
        return;
    }
    ++this->lastSequence;
    this->next.cell = this->cell;
    this->next.epoch = this->epoch;
    this->next.sequence = this->lastSequence;
    const auto batch = std::exchange(this->next, {});
    this->nextByKey.clear();
    const auto bytes = std::exchange(this->nextBytes, 0);
    for (auto &[name, holder] : this->holders) {
        if (!holder.hasSnapshot) {
            continue;
        }
        if (holder.acknowledged == this->lastSequence - 1) {
            holder.sentAt = now;
        }
        this->send(holder.ref.address, batch);
    }
    if (!this->holders.empty()) {
        this->log.push_back({batch, bytes});
        this->logBytes += bytes;
        this->trim();
    }
}

bool RecordStream::isBusy() const
{
    return std::any_of(this->holders.begin(), this->holders.end(), [this](const auto &entry) {
        return entry.second.isRequired && entry.second.acknowledged < this->lastSequence;
    });
}

bool RecordStream::hasUnsent() const
{
    return !this->next.ops.empty();
}

bool RecordStream::acknowledged(const wire::ProcessId &id, const wire::RecordAck &ack, Time now)
{
    const auto found = this->holders.find(id.name);
    if (found == this->holders.end() || found->second.ref.id != id || ack.epoch != this->epoch) {
        return false;
    }
    auto &holder = found->second;
    if (!ack.whole) {
        // A holder that a late view told to drop its copy needs a new one. Its acknowledgement stays required.
        const bool isLate = now - holder.sentAt < snapshotRepeatAfter;
        holder.hasSnapshot = holder.hasSnapshot && (isLate || !holder.isSnapshotSent);
        return false;
    }
    if (!holder.isRequired) {
        holder.isRequired = true;
        // Outcomes that were acknowledged to agents without this holder must reach it before control may promote it.
        holder.joinedAt = this->lastSequence;
    } else if (ack.sequence <= holder.acknowledged) {
        return false;
    }
    holder.acknowledged = std::max(holder.acknowledged, ack.sequence);
    holder.sentAt = now;
    if (!holder.isReported && holder.acknowledged >= holder.joinedAt) {
        holder.isReported = true;
        this->isReportChanged = true;
        agatedrum::log(LogLevel::Info, "owner", "cell {} epoch {}: holder {} is whole", this->cell, this->epoch,
                       id.name);
    }
    this->trim();
    return true;
}

void RecordStream::tick(const CellLedger &ledger, Time now)
{
    for (auto &[name, holder] : this->holders) {
        const auto waited = now - holder.sentAt;
        const bool isOverdue = !holder.isRequired && holder.isSnapshotSent && waited >= snapshotRepeatAfter;
        if (!holder.hasSnapshot || isOverdue) {
            this->flush(now);
            this->beginSnapshot(holder, ledger, now);
        }
        for (int i = 0; i < partsPerTick && !holder.isSnapshotSent; ++i) {
            this->sendSnapshotPart(holder, ledger, now);
        }
        if (holder.isRequired && holder.acknowledged < this->lastSequence && waited >= repeatAfter) {
            this->repeat(holder, now);
        }
    }
}

void RecordStream::beginSnapshot(Holder &holder, const CellLedger &ledger, Time now)
{
    holder.hasSnapshot = true;
    holder.isSnapshotSent = false;
    holder.snapshotAt = this->lastSequence;
    holder.snapshotNext = 0;
    holder.snapshotEnd = ledger.newest();
    holder.snapshotParts = 0;
    holder.sentAt = now;
}

/// Sends the next part as the ledger is now. The batches after snapshotAt, which the holder applies on top, lead from
/// any mixture of later states to the present one. Only the last part says how many there are.
void RecordStream::sendSnapshotPart(Holder &holder, const CellLedger &ledger, Time now)
{
    wire::RecordSnapshot part;
    part.cell = this->cell;
    part.epoch = this->epoch;
    part.sequence = holder.snapshotAt;
    part.part = holder.snapshotParts;
    part.floorMs = ledger.floorMs();
    part.ops = ledger.snapshotPart(holder.snapshotNext, snapshotPartBytes, now);
    const bool isLast = part.ops.empty() || holder.snapshotNext >= holder.snapshotEnd;
    part.parts = isLast ? holder.snapshotParts + 1 : 0;
    if (this->send(holder.ref.address, std::move(part))) {
        ++holder.snapshotParts;
        holder.isSnapshotSent = isLast;
        holder.sentAt = now;
    } else {
        holder.hasSnapshot = false;
    }
}

void RecordStream::repeat(Holder &holder, Time now)
{
    if (this->log.empty() || this->log.front().batch.sequence > holder.acknowledged + 1) {
        // The log does not reach back far enough: a snapshot is on its way or needed.
        const bool isUnderWay = holder.snapshotAt > holder.acknowledged
            && (!holder.isSnapshotSent || now - holder.sentAt < snapshotRepeatAfter);
        holder.hasSnapshot = isUnderWay;
        return;
    }
    const auto from = static_cast<std::size_t>(holder.acknowledged + 1 - this->log.front().batch.sequence);
    const auto to = std::min(this->log.size(), from + maxRepeated);
    for (auto i = from; i < to; ++i) {
        this->send(holder.ref.address, this->log[i].batch);
    }
    holder.sentAt = now;
}

void RecordStream::trim()
{
    auto needed = this->lastSequence;
    for (const auto &[name, holder] : this->holders) {
        if (!holder.isRequired && !holder.hasSnapshot) {
            continue;
        }
        needed = std::min(needed, holder.isRequired ? holder.acknowledged : holder.snapshotAt);
    }
    while (!this->log.empty() && (this->log.front().batch.sequence <= needed || this->logBytes > maxLogBytes)) {
        this->logBytes -= this->log.front().bytes;
        this->log.pop_front();
    }
}

bool RecordStream::isRecorded(std::int64_t sequence, int copies) const
{
    int count = 1;
    for (const auto &[name, holder] : this->holders) {
        if (!holder.isRequired) {
            continue;
        }
        if (holder.acknowledged < sequence) {
            return false;
        }
        count += holder.isReported ? 1 : 0;
    }
    return count >= copies;
}

bool RecordStream::hasRequired() const
{
    return std::any_of(this->holders.begin(), this->holders.end(),
                       [](const auto &entry) { return entry.second.isRequired; });
}

std::int64_t RecordStream::lastAppended() const
{
    return this->next.ops.empty() ? this->lastSequence : this->lastSequence + 1;
}

std::vector<std::string> RecordStream::wholeHolders() const
{
    std::vector<std::string> names;
    for (const auto &[name, holder] : this->holders) {
        if (holder.isReported) {
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
