#pragma once

#include "cell_ledger_p.h"
#include "wire_message_p.h"

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace agatedrum {

/// Sends a message if the owner's lease is valid. @return false if it was not sent.
using LeasedSend = std::function<bool(const wire::Endpoint &, Payload)>;

/// Replicates the records of one cell and epoch from the owner to the holders: sends batches to all of them and
/// snapshots to new ones, and tracks what each has acknowledged. Not thread-safe; guarded by the lock of its cell.
class RecordStream
{
public:
    RecordStream(int cell, std::int64_t epoch, LeasedSend send);

    /// Sets the holders that the view lists. A record no longer needs the acknowledgement of a holder that
    /// is not listed any more.
    void setHolders(const std::vector<wire::MemberRef> &listed);
    /// Adds an operation to the next batch.
    /// @return the sequence of that batch.
    std::int64_t append(wire::RecordOp op);
    /// Adds a task's result to the next batch.
    /// @return the sequence of that batch.
    std::int64_t appendResult(const wire::JobKey &key, const wire::TaskResult &result);
    /// Sends the next batch unless it is empty.
    void flush(Time now);
    /// True if an earlier batch is not yet acknowledged. Delaying the next batch until then saves a message.
    bool hasUnacknowledged() const;
    /// True if the next batch is not empty.
    bool hasUnsent() const;

    /// Handles the acknowledgement of a holder.
    /// @return true if more is recorded than before.
    bool handleAck(const wire::ProcessId &holder, const wire::RecordAck &ack, Time now);
    /// Resends batches and snapshots whose acknowledgement is overdue, and sends snapshots to holders that need one.
    void tick(const CellLedger &ledger, Time now);

    /// Returns true if every holder that the control group may promote has all records up to sequence, and at least
    /// replicaCount - 1 of these holders are reported as in sync.
    bool isRecorded(std::int64_t sequence, int replicaCount) const;
    /// Returns whether there is a holder that the control group may promote.
    bool hasRequiredHolder() const;
    /// Returns the sequence of the batch that contains the last appended operation.
    std::int64_t lastAppendedSequence() const;
    /// Returns the names of the holders to report as in sync.
    std::vector<std::string> inSyncHolders() const;
    /// Returns whether the list of in-sync holders has changed since the last call.
    bool takeReportChanged();

private:
    struct Holder
    {
        wire::MemberRef ref;
        bool isSnapshotStarted = false; ///< a snapshot was started and is not known to be lost
        bool isRequired = false; ///< in sync; records count as recorded only with its acknowledgement
        bool isReportedInSync
            = false; ///< reported to the control group as in sync, after joinedAtSequence is acknowledged
        std::int64_t joinedAtSequence = 0; ///< sequence of the last batch sent when the holder came in sync
        std::int64_t acknowledgedSequence = 0; ///< sequence up to which the holder has all records
        std::int64_t snapshotSequence = 0; ///< sequence up to which the last snapshot started has all records
        JobNumber snapshotLastSentJob = 0; ///< last job of that snapshot that was sent
        JobNumber snapshotLastJob = 0; ///< last job of that snapshot; later jobs are sent in batches
        int snapshotPartsSent = 0; ///< parts of that snapshot sent so far
        bool isSnapshotSent = false; ///< all parts of that snapshot were sent
        Time lastActivityAt; ///< last snapshot part, repeated batch or acknowledgement
    };
    /// A sent batch that may have to be sent again.
    struct LoggedBatch
    {
        wire::RecordBatch batch;
        std::int64_t bytes = 0;
    };

    void beginSnapshot(Holder &holder, const CellLedger &ledger, Time now);
    void sendSnapshotPart(Holder &holder, const CellLedger &ledger, Time now);
    void resendBatches(Holder &holder, Time now);
    void trimLog();

    int cell;
    std::int64_t epoch;
    LeasedSend send;
    std::map<std::string, Holder> holders; ///< by name
    wire::RecordBatch nextBatch;
    std::map<std::string, std::size_t> nextOpByKey; ///< index of a job's operation in nextBatch
    std::int64_t nextBatchBytes = 0;
    std::deque<LoggedBatch> log; ///< sent batches that some holder has not acknowledged, oldest first
    std::int64_t logBytes = 0;
    std::int64_t lastSequence = 0;
    bool isReportChanged = false;
};

} // namespace agatedrum
