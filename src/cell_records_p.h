#pragma once

#include "cell_ledger_p.h"

#include <map>
#include <optional>
#include <set>

namespace agatedrum {

/// Holder's copy of the ledger of a cell that another process owns. Whole once a snapshot and everything since is
/// applied. Keeps the last whole copy until a newer snapshot is complete. Not thread-safe.
class CellRecords
{
public:
    explicit CellRecords(LedgerLimits limits = {});

    /// Takes a batch; one that arrives early is kept until the gap closes.
    /// @return the acknowledgement, or nothing when the message belongs to a past epoch.
    std::optional<wire::RecordAck> handle(const wire::RecordBatch &batch, Time now);
    /// Takes a part of a snapshot. The acknowledgement says whole once all parts are there.
    std::optional<wire::RecordAck> handle(const wire::RecordSnapshot &part, Time now);
    /// Drops what is too old to be asked for.
    void expire(std::int64_t wallMs, Time now);

    /// True when the copy holds every record of this epoch up to sequence().
    bool isWhole(std::int64_t epoch) const;
    std::int64_t epoch() const;
    std::int64_t sequence() const;
    std::size_t size() const;
    /// Gives up the copy. Precondition: isWhole of the epoch before the new owner's.
    CellLedger takeLedger();

private:
    void adoptStaging(Time now);
    void applyEarly(Time now);
    wire::RecordAck ack(int cell) const;

    /// A snapshot that is still arriving.
    struct Staging
    {
        std::int64_t epoch = 0;
        std::int64_t sequence = 0;
        std::set<int> parts;
        int total = 0; ///< known from the last part
        CellLedger ledger {LedgerLimits()};
    };

    LedgerLimits limits;
    std::int64_t newestEpoch = 0; ///< highest epoch of any message
    std::int64_t copyEpoch = 0; ///< epoch of the whole copy, 0 for none
    std::int64_t applied = 0;
    CellLedger ledger;
    std::optional<Staging> staging;
    std::map<std::int64_t, wire::RecordBatch> early; ///< batches of newestEpoch by sequence
};

} // namespace agatedrum
