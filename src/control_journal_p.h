#pragma once

#include "control_disk_p.h"
#include "control_store_p.h"

#include <memory>
#include <string>
#include <vector>

namespace agatedrum {

/// The control group's log and snapshot in a data folder, written with group commit. Used by one thread at a time.
///
/// The file "log" starts with a magic line, followed by frames. Each frame carries the orders of one group commit, has
/// a checksum, and is written only after the frame before it was synced. So a damaged frame is the torn end of the last
/// write when no intact frame follows it, and damage of synced data otherwise. The file "snapshot" has a magic line
/// with the format version, a checksum and the content.
class ControlJournal
{
public:
    /// Reads the folder, and drops a torn end of the log. The disk outlives the journal.
    static Result<std::unique_ptr<ControlJournal>, ControlStoreError> open(DiskI &disk);

    /// What the folder held when it was opened.
    const ControlLoaded &loaded() const;
    /// Writes the orders durably. After Full nothing has changed, and the same orders may be tried again; after Failed
    /// the journal cannot be used any more.
    DiskOutcome write(const std::vector<ControlWrite> &writes);

private:
    explicit ControlJournal(DiskI &disk);
    std::optional<ControlStoreError> readSnapshot();
    std::optional<ControlStoreError> readLog();
    std::optional<ControlStoreError> readFrames(const std::string &content);
    std::optional<ControlStoreError> replay(const wire::LogRecord &record, std::size_t offset);
    std::optional<ControlStoreError> finish();
    DiskOutcome writeSnapshot(const ControlWrite &write);
    DiskOutcome replaceLog(const wire::LogRecord &record);
    DiskOutcome appendFrame(const std::string &frame);

    DiskI &disk;
    ControlLoaded content;
    std::int64_t size = 0; ///< of the log file, up to the last synced frame
    std::uint64_t nextFrame = 1;
};

} // namespace agatedrum
