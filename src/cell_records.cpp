#include "cell_records_p.h"

#include <algorithm>
#include <utility>

namespace agatedrum {

namespace {

/// Maximum number of batches kept while an earlier one or the snapshot is missing. The owner resends those beyond it.
constexpr std::size_t maxOutOfOrderBatches = 1024;

} // namespace

CellRecords::CellRecords(LedgerLimits limits)
    : limits(limits)
    , ledger(limits)
{
}

std::optional<wire::RecordAck> CellRecords::handle(const wire::RecordBatch &batch, Time now)
{
    if (batch.epoch < this->newestEpoch) {
        return std::nullopt;
    }
    if (batch.epoch > this->newestEpoch) {
        this->newestEpoch = batch.epoch;
        this->outOfOrder.clear();
        this->stagedSnapshot.reset();
    }
    if ((!this->isInSync(batch.epoch) || batch.sequence > this->appliedSequence)
        && this->outOfOrder.size() < maxOutOfOrderBatches) {
        this->outOfOrder.emplace(batch.sequence, batch);
    }
    this->applyOutOfOrder(now);
    return this->makeAck(batch.cell);
}

std::optional<wire::RecordAck> CellRecords::handle(const wire::RecordSnapshot &part, Time now)
{
    if (part.epoch < this->newestEpoch) {
        return std::nullopt;
    }
    if (part.epoch > this->newestEpoch) {
        this->newestEpoch = part.epoch;
        this->outOfOrder.clear();
        this->stagedSnapshot.reset();
    }
    const bool isStale = this->isInSync(part.epoch) && part.sequence <= this->appliedSequence;
    const bool isOlderThanStaged = this->stagedSnapshot && part.sequence < this->stagedSnapshot->sequence;
    if (isStale || isOlderThanStaged) {
        return this->makeAck(part.cell);
    }
    if (!this->stagedSnapshot || this->stagedSnapshot->sequence != part.sequence) {
        this->stagedSnapshot = StagedSnapshot {};
        this->stagedSnapshot->epoch = part.epoch;
        this->stagedSnapshot->sequence = part.sequence;
        this->stagedSnapshot->ledger = CellLedger(this->limits);
    }
    if (this->stagedSnapshot->parts.insert(part.part).second) {
        this->stagedSnapshot->ledger.raiseMinSubmittedAt(part.floorMs);
        for (const auto &op : part.ops) {
            this->stagedSnapshot->ledger.apply(op, now);
        }
    }
    this->stagedSnapshot->total = std::max(this->stagedSnapshot->total, part.parts);
    if (static_cast<int>(this->stagedSnapshot->parts.size()) == this->stagedSnapshot->total) {
        this->installStagedSnapshot(now);
    }
    return this->makeAck(part.cell);
}

void CellRecords::installStagedSnapshot(Time now)
{
    this->ledger = std::move(this->stagedSnapshot->ledger);
    this->replicaEpoch = this->stagedSnapshot->epoch;
    this->appliedSequence = this->stagedSnapshot->sequence;
    this->stagedSnapshot.reset();
    this->applyOutOfOrder(now);
}

void CellRecords::applyOutOfOrder(Time now)
{
    if (!this->isInSync(this->newestEpoch)) {
        return;
    }
    while (!this->outOfOrder.empty() && this->outOfOrder.begin()->first <= this->appliedSequence + 1) {
        const auto batch = std::move(this->outOfOrder.begin()->second);
        this->outOfOrder.erase(this->outOfOrder.begin());
        if (batch.sequence <= this->appliedSequence) {
            continue;
        }
        for (const auto &op : batch.ops) {
            this->ledger.apply(op, now);
        }
        this->appliedSequence = batch.sequence;
    }
}

wire::RecordAck CellRecords::makeAck(int cell) const
{
    wire::RecordAck ack;
    ack.cell = cell;
    ack.epoch = this->newestEpoch;
    ack.whole = this->isInSync(this->newestEpoch);
    ack.sequence = ack.whole ? this->appliedSequence : 0;
    return ack;
}

void CellRecords::expire(std::int64_t wallMs, Time now)
{
    this->ledger.expire(wallMs, now);
}

bool CellRecords::isInSync(std::int64_t epoch) const
{
    return epoch != 0 && this->replicaEpoch == epoch;
}

std::int64_t CellRecords::epoch() const
{
    return this->newestEpoch;
}

std::int64_t CellRecords::sequence() const
{
    return this->appliedSequence;
}

std::size_t CellRecords::size() const
{
    return this->ledger.size();
}

CellLedger CellRecords::takeLedger()
{
    this->replicaEpoch = 0;
    return std::exchange(this->ledger, CellLedger(this->limits));
}

} // namespace agatedrum
