#pragma once

#include "control_disk_p.h"
#include "control_store_p.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace agatedrum {

class ControlFileReader;

/// Stores the log and the snapshot of a control group member in a data folder, with group commit. Not thread-safe.
///
/// The file "log" starts with a magic line, followed by frames. Each frame contains the writes of one group commit and
/// a checksum, and is written only after the previous frame was synced. A damaged frame is therefore an incomplete last
/// write if no intact frame follows it, and corruption of synced data otherwise. The file "snapshot" consists of a
/// magic line with the format version, a checksum and the content.
class ControlJournal
{
public:
    /// Reads the folder and removes an incomplete last write from the log. The disk must outlive the journal.
    static Result<std::unique_ptr<ControlJournal>, ControlStoreError> open(DiskI &disk);

    /// Returns the content of the folder when it was opened, until takeLoaded() is called.
    const ControlStoreContent &loaded() const;
    /// Moves out the content of the folder when it was opened, which may be as large as the disk.
    ControlStoreContent takeLoaded();
    /// Makes the writes durable. After Full or Failed, the same writes must be tried again before any others; until
    /// then they may be lost or durable.
    DiskOutcome write(const std::vector<ControlWrite> &writes);

private:
    explicit ControlJournal(DiskI &disk);
    std::optional<ControlStoreError> readSnapshot();
    std::optional<ControlStoreError> readLog();
    std::optional<ControlStoreError> readFrames();
    /// Truncates the log at the offset, where there is no intact frame. Fails if that would remove synced data.
    std::optional<ControlStoreError> discardIncompleteWrite(ControlFileReader &reader, std::int64_t offset);
    std::optional<ControlStoreError> replayFrame(std::uint64_t number, std::string_view payload, std::int64_t offset);
    std::optional<ControlStoreError> replayRecord(wire::LogRecord &&record, std::int64_t offset);
    std::optional<ControlStoreError> reconcileSnapshotAndLog();
    DiskOutcome writeSnapshot(const ControlWrite &write);
    DiskOutcome replaceLog(const wire::LogRecord &record);
    DiskOutcome appendFrame(const std::string &frame);
    /// Removes what a failed attempt has left behind the last synced frame.
    DiskOutcome removeUnsyncedTail();

    DiskI &disk;
    ControlStoreContent loadedContent;
    std::int64_t logSize = 0; ///< size of the log file up to the last synced frame
    bool hasUnsyncedTail = false; ///< whether the log file may contain bytes after logSize
    std::uint64_t nextFrameNumber = 1;
};

} // namespace agatedrum
