#pragma once

#include "cell_ledger_p.h"

#include <map>
#include <optional>
#include <set>

namespace agatedrum {

/// A holder's replica of the ledger of a cell that another process owns. The replica is in sync once a snapshot and all
/// batches since are applied. Keeps the last replica that was in sync until a newer snapshot is complete. Not
/// thread-safe.
class CellRecords
{
public:
    explicit CellRecords(LedgerLimits limits = {});

    /// Applies a batch. A batch that arrives out of order is kept until the missing ones have arrived.
    /// @return the acknowledgement, or std::nullopt if the message belongs to a past epoch.
    std::optional<wire::RecordAck> handle(const wire::RecordBatch &batch, Time now);
    /// Applies a part of a snapshot. The acknowledgement says that the replica is in sync once all parts have arrived.
    /// @return the acknowledgement, or std::nullopt if the message belongs to a past epoch.
    std::optional<wire::RecordAck> handle(const wire::RecordSnapshot &part, Time now);
    /// Removes entries of the ledger whose retention has expired.
    void expire(std::int64_t wallMs, Time now);

    /// True if the replica has every record of this epoch up to sequence().
    bool isInSync(std::int64_t epoch) const;
    std::int64_t epoch() const;
    std::int64_t sequence() const;
    std::size_t size() const;
    /// Moves the ledger out and leaves an empty replica. Precondition: isInSync() for the epoch before the new owner's.
    CellLedger takeLedger();

private:
    void installStagedSnapshot(Time now);
    void applyOutOfOrder(Time now);
    wire::RecordAck makeAck(int cell) const;

    /// A snapshot of which some parts have not arrived yet.
    struct StagedSnapshot
    {
        std::int64_t epoch = 0;
        std::int64_t sequence = 0;
        std::set<int> parts;
        int total = 0; ///< number of parts; known from the last part, 0 before
        CellLedger ledger {LedgerLimits()};
    };

    LedgerLimits limits;
    std::int64_t newestEpoch = 0; ///< highest epoch of any message
    std::int64_t replicaEpoch = 0; ///< epoch of the replica that is in sync, 0 if there is none
    std::int64_t appliedSequence = 0;
    CellLedger ledger;
    std::optional<StagedSnapshot> stagedSnapshot;
    std::map<std::int64_t, wire::RecordBatch> outOfOrder; ///< batches not applied yet, of newestEpoch, by sequence
};

} // namespace agatedrum
