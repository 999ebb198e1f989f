#include "control_journal_p.h"

#include "base_event_p.h"
#include "base_log_p.h"
#include "control_codec_p.h"
#include "control_file_reader_p.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <cstring>
#include <string_view>
#include <utility>

namespace agatedrum {

namespace {

const std::string logName = "log";
const std::string snapshotName = "snapshot";
const std::string logMagic = "agatedrum-log 1\n";
const std::string snapshotMagic = "agatedrum-snapshot 1\n";
constexpr std::uint32_t frameMagic = 0x41474c46;

/// Header of a frame, in the host's byte order: data folders are not moved between machines.
struct FrameHeader
{
    std::uint32_t magic = frameMagic;
    std::uint32_t length = 0;
    std::uint64_t number = 0; ///< counts from 1 in each log file
    std::uint64_t payloadChecksum = 0;
    std::uint64_t headerChecksum = 0; ///< checksum of the preceding fields
};

std::uint64_t headerChecksum(const FrameHeader &header)
{
    return XXH3_64bits(&header, offsetof(FrameHeader, headerChecksum));
}

std::string encodeFrame(const wire::LogFrame &frame, std::uint64_t number)
{
    const auto payload = encodeCompact(frame);
    FrameHeader header;
    header.length = static_cast<std::uint32_t>(payload.size());
    header.number = number;
    header.payloadChecksum = XXH3_64bits(payload.data(), payload.size());
    header.headerChecksum = headerChecksum(header);
    std::string bytes(sizeof(header), '\0');
    std::memcpy(bytes.data(), &header, sizeof(header));
    return bytes + payload;
}

/// An intact frame of the log. The payload is valid until the reader's next call.
struct Frame
{
    FrameHeader header;
    std::string_view payload;
};

using FrameResult = Result<std::optional<Frame>, ControlStoreError>;

/// Returns the frame at the offset, with any frame number, or std::nullopt if there is no intact frame.
FrameResult readFrame(ControlFileReader &reader, std::int64_t offset)
{
    FrameHeader header;
    auto bytes = reader.view(offset, sizeof(header));
    if (!isOk(bytes)) {
        return error(bytes);
    }
    if (value(bytes).size() < sizeof(header)) {
        return std::optional<Frame>();
    }
    std::memcpy(&header, value(bytes).data(), sizeof(header));
    if (header.magic != frameMagic || header.headerChecksum != headerChecksum(header)) {
        return std::optional<Frame>();
    }
    bytes = reader.view(offset + static_cast<std::int64_t>(sizeof(header)), header.length);
    if (!isOk(bytes)) {
        return error(bytes);
    }
    const auto payload = value(bytes);
    if (payload.size() < header.length || header.payloadChecksum != XXH3_64bits(payload.data(), payload.size())) {
        return std::optional<Frame>();
    }
    return std::make_optional(Frame {header, payload});
}

/// Returns whether an intact frame with a higher number exists anywhere at or after the offset.
Result<bool, ControlStoreError> hasLaterFrame(ControlFileReader &reader, std::int64_t offset, std::uint64_t number)
{
    constexpr std::size_t scanBytes = 64UL * 1024;
    const std::string magic(reinterpret_cast<const char *>(&frameMagic), sizeof(frameMagic)); // NOLINT
    while (true) {
        const auto scanned = reader.view(offset, scanBytes);
        if (!isOk(scanned)) {
            return error(scanned);
        }
        const auto found = value(scanned).find(magic);
        if (found == std::string_view::npos) {
            if (value(scanned).size() < scanBytes) {
                return false;
            }
            // The magic number may begin in the last bytes of this part.
            offset += static_cast<std::int64_t>(scanBytes - magic.size() + 1);
            continue;
        }
        offset += static_cast<std::int64_t>(found);
        const auto frame = readFrame(reader, offset);
        if (!isOk(frame)) {
            return error(frame);
        }
        if (value(frame) && value(frame)->header.number > number) {
            return true;
        }
        ++offset;
    }
}

wire::LogRecord toLogRecord(const ControlWrite &write)
{
    wire::LogRecord record;
    if (write.state) {
        record.__set_state(*write.state);
    }
    record.truncateFrom = write.truncateFrom;
    record.entries = write.entries;
    return record;
}

} // namespace

ControlJournal::ControlJournal(DiskI &disk)
    : disk(disk)
{
}

Result<std::unique_ptr<ControlJournal>, ControlStoreError> ControlJournal::open(DiskI &disk)
{
    std::unique_ptr<ControlJournal> journal(new ControlJournal(disk));
    for (const auto step :
         {&ControlJournal::readSnapshot, &ControlJournal::readLog, &ControlJournal::reconcileSnapshotAndLog}) {
        if (auto failure = (*journal.*step)()) {
            return std::move(*failure);
        }
    }
    return journal;
}

const ControlStoreContent &ControlJournal::loaded() const
{
    return this->loadedContent;
}

ControlStoreContent ControlJournal::takeLoaded()
{
    return std::exchange(this->loadedContent, {});
}

// Reading.

std::optional<ControlStoreError> ControlJournal::readSnapshot()
{
    auto read = this->disk.read(snapshotName, 0, SIZE_MAX);
    if (!isOk(read)) {
        return error(read);
    }
    const auto &bytes = value(read);
    if (!bytes) {
        return std::nullopt;
    }
    std::uint64_t checksum = 0;
    const auto start = snapshotMagic.size() + sizeof(checksum);
    if (bytes->size() < start || bytes->compare(0, snapshotMagic.size(), snapshotMagic) != 0) {
        return ControlStoreError {snapshotName, 0, "not a snapshot of format version 1"};
    }
    std::memcpy(&checksum, bytes->data() + snapshotMagic.size(), sizeof(checksum));
    auto snapshot = decodeCompact<wire::SnapshotFile>(std::string_view(*bytes).substr(start));
    if (checksum != XXH3_64bits(bytes->data() + start, bytes->size() - start) || !snapshot) {
        return ControlStoreError {snapshotName, static_cast<std::int64_t>(start), "the checksum does not match"};
    }
    this->loadedContent.snapshot = std::move(*snapshot);
    return std::nullopt;
}

std::optional<ControlStoreError> ControlJournal::readLog()
{
    auto start = this->disk.read(logName, 0, logMagic.size());
    if (!isOk(start)) {
        return error(start);
    }
    if (const auto &magic = value(start)) {
        return *magic == logMagic ? this->readFrames()
                                  : std::make_optional(ControlStoreError {logName, 0, "not a log of format version 1"});
    }
    if (this->loadedContent.snapshot) {
        return ControlStoreError {logName, 0, "the log file is missing although a snapshot exists"};
    }
    const auto outcome = this->disk.replace(logName, logMagic);
    this->logSize = static_cast<std::int64_t>(logMagic.size());
    return outcome.status == DiskStatus::Ok ? std::nullopt
                                            : std::make_optional(ControlStoreError {logName, 0, outcome.message});
}

std::optional<ControlStoreError> ControlJournal::readFrames()
{
    ControlFileReader reader(this->disk, logName);
    auto offset = static_cast<std::int64_t>(logMagic.size());
    while (true) {
        const auto next = reader.view(offset, 1);
        if (!isOk(next)) {
            return error(next);
        }
        this->logSize = offset;
        if (value(next).empty()) {
            return std::nullopt;
        }
        auto frame = readFrame(reader, offset);
        if (!isOk(frame)) {
            return error(frame);
        }
        if (!value(frame)) {
            return this->discardIncompleteWrite(reader, offset);
        }
        if (auto failure = this->replayFrame(value(frame)->header.number, value(frame)->payload, offset)) {
            return failure;
        }
        offset += static_cast<std::int64_t>(sizeof(FrameHeader) + value(frame)->header.length);
        ++this->nextFrameNumber;
    }
}

std::optional<ControlStoreError> ControlJournal::discardIncompleteWrite(ControlFileReader &reader, std::int64_t offset)
{
    const auto later = hasLaterFrame(reader, offset, this->nextFrameNumber);
    if (!isOk(later)) {
        return error(later);
    }
    // If there is a snapshot, the first frame was written by replacing the file atomically, so it cannot be an
    // incomplete write.
    if (value(later) || (this->loadedContent.snapshot && this->nextFrameNumber == 1)) {
        return ControlStoreError {logName, offset, "corruption in data that had been synced"};
    }
    log(LogLevel::Warning, "control", "discarding an incomplete last write at offset {}", offset);
    logEvent("control", "incomplete_write_discarded", {{"file", logName}, {"offset", offset}});
    const auto outcome = this->disk.truncate(logName, offset);
    return outcome.status == DiskStatus::Ok ? std::nullopt
                                            : std::make_optional(ControlStoreError {logName, offset, outcome.message});
}

std::optional<ControlStoreError> ControlJournal::replayFrame(std::uint64_t number, std::string_view payload,
                                                             std::int64_t offset)
{
    if (number != this->nextFrameNumber) {
        return ControlStoreError {logName, offset,
                                  fmt::format("found frame {}, expected frame {}", number, this->nextFrameNumber)};
    }
    auto frame = decodeCompact<wire::LogFrame>(payload);
    if (!frame) {
        return ControlStoreError {logName, offset, "the content of the frame cannot be decoded"};
    }
    for (auto &record : frame->records) {
        if (auto failure = this->replayRecord(std::move(record), offset)) {
            return failure;
        }
    }
    return std::nullopt;
}

std::optional<ControlStoreError> ControlJournal::replayRecord(wire::LogRecord &&record, std::int64_t offset)
{
    auto &entries = this->loadedContent.entries;
    if (record.__isset.state) {
        this->loadedContent.state = std::move(record.state);
    }
    while (record.truncateFrom > 0 && !entries.empty() && entries.back().index >= record.truncateFrom) {
        entries.pop_back();
    }
    for (auto &entry : record.entries) {
        if (!entries.empty() && entry.index != entries.back().index + 1) {
            return ControlStoreError {logName, offset,
                                      fmt::format("entry {} follows entry {}, so entries are missing or out of order",
                                                  entry.index, entries.back().index)};
        }
        entries.push_back(std::move(entry));
    }
    return std::nullopt;
}

std::optional<ControlStoreError> ControlJournal::reconcileSnapshotAndLog()
{
    auto &entries = this->loadedContent.entries;
    const auto last = this->loadedContent.snapshot ? this->loadedContent.snapshot->lastIndex : 0;
    // A crash between the replacement of the snapshot and of the log leaves a log that is older than the snapshot.
    const bool isStale = !entries.empty() && entries.front().index <= last;
    const auto match = std::find_if(entries.begin(), entries.end(),
                                    [last](const wire::LogEntry &entry) { return entry.index == last; });
    if (match != entries.end()) {
        const bool isSame = match->term == this->loadedContent.snapshot->lastTerm;
        entries.erase(entries.begin(), isSame ? match + 1 : entries.end());
    }
    if (!entries.empty() && entries.back().index <= last) {
        entries.clear();
    }
    if (!entries.empty() && entries.front().index != last + 1) {
        return ControlStoreError {logName, 0,
                                  fmt::format("the log starts with entry {}, but the snapshot ends with entry {}",
                                              entries.front().index, last)};
    }
    if (!isStale) {
        return std::nullopt;
    }
    // Replaces the stale file, since the next entries to append do not follow its last entry.
    wire::LogRecord record;
    record.__set_state(this->loadedContent.state);
    record.entries = entries;
    const auto outcome = this->replaceLog(record);
    return outcome.status == DiskStatus::Ok ? std::nullopt
                                            : std::make_optional(ControlStoreError {logName, 0, outcome.message});
}

// Writing.

DiskOutcome ControlJournal::write(const std::vector<ControlWrite> &writes)
{
    // A write with a snapshot contains the complete state, so the writes before it can be skipped.
    const auto last = std::find_if(writes.rbegin(), writes.rend(),
                                   [](const ControlWrite &each) { return each.snapshot.has_value(); });
    if (last != writes.rend()) {
        auto outcome = this->writeSnapshot(*last);
        if (outcome.status != DiskStatus::Ok) {
            return outcome;
        }
    }
    wire::LogFrame frame;
    std::transform(last.base(), writes.end(), std::back_inserter(frame.records), toLogRecord);
    return frame.records.empty() ? DiskOutcome {} : this->appendFrame(encodeFrame(frame, this->nextFrameNumber));
}

DiskOutcome ControlJournal::appendFrame(const std::string &frame)
{
    auto outcome = this->removeUnsyncedTail();
    if (outcome.status != DiskStatus::Ok) {
        return outcome;
    }
    this->hasUnsyncedTail = true;
    outcome = this->disk.append(logName, frame);
    if (outcome.status == DiskStatus::Ok) {
        outcome = this->disk.sync(logName);
    }
    if (outcome.status != DiskStatus::Ok) {
        // If this fails too, the next attempt repeats it.
        this->removeUnsyncedTail();
        return outcome;
    }
    this->hasUnsyncedTail = false;
    this->logSize += static_cast<std::int64_t>(frame.size());
    ++this->nextFrameNumber;
    return outcome;
}

DiskOutcome ControlJournal::removeUnsyncedTail()
{
    if (!this->hasUnsyncedTail) {
        return {};
    }
    // Appending the frame again after a truncation makes all its pages dirty again, also those that the kernel dropped
    // after a failed sync, so the next successful sync does mean that the frame is durable.
    auto outcome = this->disk.truncate(logName, this->logSize);
    this->hasUnsyncedTail = outcome.status != DiskStatus::Ok;
    return outcome;
}

DiskOutcome ControlJournal::writeSnapshot(const ControlWrite &write)
{
    const auto payload = encodeCompact(*write.snapshot);
    const std::uint64_t checksum = XXH3_64bits(payload.data(), payload.size());
    std::string bytes(sizeof(checksum), '\0');
    std::memcpy(bytes.data(), &checksum, sizeof(checksum));
    auto outcome = this->disk.replace(snapshotName, snapshotMagic + bytes + payload);
    if (outcome.status != DiskStatus::Ok) {
        return outcome;
    }
    return this->replaceLog(toLogRecord(write));
}

DiskOutcome ControlJournal::replaceLog(const wire::LogRecord &record)
{
    wire::LogFrame frame;
    frame.records.push_back(record);
    const auto bytes = logMagic + encodeFrame(frame, 1);
    auto outcome = this->disk.replace(logName, bytes);
    if (outcome.status == DiskStatus::Ok) {
        this->logSize = static_cast<std::int64_t>(bytes.size());
        this->nextFrameNumber = 2;
        this->hasUnsyncedTail = false;
    }
    return outcome;
}

} // namespace agatedrum
