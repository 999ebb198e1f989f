#include "cell_records_p.h"

#include <algorithm>
#include <utility>

namespace agatedrum {

namespace {

/// Batches kept while an earlier one or the snapshot is missing; the owner repeats what is dropped.
constexpr std::size_t maxEarlyBatches = 1024;

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
        this->early.clear();
        this->staging.reset();
    }
    if ((!this->isWhole(batch.epoch) || batch.sequence > this->applied) && this->early.size() < maxEarlyBatches) {
        this->early.emplace(batch.sequence, batch);
    }
    this->applyEarly(now);
    return this->ack(batch.cell);
}

std::optional<wire::RecordAck> CellRecords::handle(const wire::RecordSnapshot &part, Time now)
{
    if (part.epoch < this->newestEpoch) {
        return std::nullopt;
    }
    if (part.epoch > this->newestEpoch) {
        this->newestEpoch = part.epoch;
        this->early.clear();
        this->staging.reset();
    }
    const bool isStale = this->isWhole(part.epoch) && part.sequence <= this->applied;
    const bool isOlderThanStaging = this->staging && part.sequence < this->staging->sequence;
    if (isStale || isOlderThanStaging) {
        return this->ack(part.cell);
    }
    if (!this->staging || this->staging->sequence != part.sequence) {
        this->staging = Staging {};
        this->staging->epoch = part.epoch;
        this->staging->sequence = part.sequence;
        this->staging->ledger = CellLedger(this->limits);
    }
    if (this->staging->parts.insert(part.part).second) {
        this->staging->ledger.raiseFloor(part.floorMs);
        for (const auto &op : part.ops) {
            this->staging->ledger.apply(op, now);
        }
    }
    this->staging->total = std::max(this->staging->total, part.parts);
    if (static_cast<int>(this->staging->parts.size()) == this->staging->total) {
        this->adoptStaging(now);
    }
    return this->ack(part.cell);
}

void CellRecords::adoptStaging(Time now)
{
    this->ledger = std::move(this->staging->ledger);
    this->copyEpoch = this->staging->epoch;
    this->applied = this->staging->sequence;
    this->staging.reset();
    this->applyEarly(now);
}

void CellRecords::applyEarly(Time now)
{
    if (!this->isWhole(this->newestEpoch)) {
        return;
    }
    while (!this->early.empty() && this->early.begin()->first <= this->applied + 1) {
        const auto batch = std::move(this->early.begin()->second);
        this->early.erase(this->early.begin());
        if (batch.sequence <= this->applied) {
            continue;
        }
        for (const auto &op : batch.ops) {
            this->ledger.apply(op, now);
        }
        this->applied = batch.sequence;
    }
}

wire::RecordAck CellRecords::ack(int cell) const
{
    wire::RecordAck ack;
    ack.cell = cell;
    ack.epoch = this->newestEpoch;
    ack.whole = this->isWhole(this->newestEpoch);
    ack.sequence = ack.whole ? this->applied : 0;
    return ack;
}

void CellRecords::expire(std::int64_t wallMs, Time now)
{
    this->ledger.expire(wallMs, now);
}

bool CellRecords::isWhole(std::int64_t epoch) const
{
    return epoch != 0 && this->copyEpoch == epoch;
}

std::int64_t CellRecords::epoch() const
{
    return this->newestEpoch;
}

std::int64_t CellRecords::sequence() const
{
    return this->applied;
}

std::size_t CellRecords::size() const
{
    return this->ledger.size();
}

CellLedger CellRecords::takeLedger()
{
    this->copyEpoch = 0;
    return std::exchange(this->ledger, CellLedger(this->limits));
}

} // namespace agatedrum
