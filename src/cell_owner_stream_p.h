#pragma once

#include "cell_ledger_p.h"
#include "wire_message_p.h"

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace agatedrum {

/// Sends a message unless the owner's lease is gone. @return false when it was not sent.
using LeasedSend = std::function<bool(const wire::Endpoint &, Payload)>;

/// Owner's side of the records of one cell and epoch: batches to the holders, snapshots to new ones, and what each has
/// acknowledged. Not thread-safe; guarded by the lock of its cell.
class RecordStream
{
public:
    RecordStream(int cell, std::int64_t epoch, LeasedSend send);

    /// Takes over the holders that the view lists. One that is no longer listed is not waited for any more.
    void setHolders(const std::vector<wire::MemberRef> &listed);
    /// Adds an operation to the next batch. @return the sequence of that batch.
    std::int64_t append(wire::RecordOp op);
    /// Adds a task's outcome to the next batch.
    std::int64_t appendResult(const wire::JobKey &key, const wire::TaskResult &result);
    /// Sends the next batch when it is not empty.
    void flush(Time now);
    /// True when an earlier batch is still unacknowledged, so that waiting a moment saves a message.
    bool isBusy() const;
    bool hasUnsent() const;

    /// Notes what a holder has. @return true when something new is recorded.
    bool acknowledged(const wire::ProcessId &holder, const wire::RecordAck &ack, Time now);
    /// Repeats what is overdue and sends snapshots to holders that need one.
    void tick(const CellLedger &ledger, Time now);

    /// Whether every holder that control may promote has everything up to sequence, and at least copies-1 have it.
    bool isRecorded(std::int64_t sequence, int copies) const;
    /// Whether any holder may be promoted by control.
    bool hasRequired() const;
    /// Sequence of the last operation appended.
    std::int64_t lastAppended() const;
    /// Holders to report as whole.
    std::vector<std::string> wholeHolders() const;
    /// True once since the list of whole holders changed.
    bool takeReportChanged();

private:
    struct Holder
    {
        wire::MemberRef ref;
        bool hasSnapshot = false; ///< a snapshot was sent and not found lost
        bool isRequired = false; ///< whole; its acknowledgement is waited for
        bool isReported = false; ///< whole for control; only after it caught up with joinedAt
        std::int64_t joinedAt = 0;
        std::int64_t acknowledged = 0;
        std::int64_t snapshotAt = 0; ///< sequence of the last snapshot sent
        JobNumber snapshotNext = 0; ///< last job sent of that snapshot
        JobNumber snapshotEnd = 0; ///< last job of it; later ones come in batches
        int snapshotParts = 0; ///< sent so far
        bool isSnapshotSent = false; ///< to the last part
        Time sentAt; ///< last snapshot or repeat
    };
    struct Batch
    {
        wire::RecordBatch batch;
        std::int64_t bytes = 0;
    };

    void beginSnapshot(Holder &holder, const CellLedger &ledger, Time now);
    void sendSnapshotPart(Holder &holder, const CellLedger &ledger, Time now);
    void repeat(Holder &holder, Time now);
    void trim();

    int cell;
    std::int64_t epoch;
    LeasedSend send;
    std::map<std::string, Holder> holders; ///< by name
    wire::RecordBatch next;
    std::map<std::string, std::size_t> nextByKey; ///< index of a job's operation in next
    std::int64_t nextBytes = 0;
    std::deque<Batch> log; ///< batches that some holder lacks
    std::int64_t logBytes = 0;
    std::int64_t lastSequence = 0;
    bool isReportChanged = false;
};

} // namespace agatedrum
