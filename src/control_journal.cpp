#include "control_journal_p.h"

#include "base_log_p.h"
#include "control_codec_p.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <cstring>
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

/// Returns the header of the frame at the offset, with any frame number, or std::nullopt if there is no intact frame.
std::optional<FrameHeader> readIntactFrameHeader(const std::string &content, std::size_t offset)
{
    FrameHeader header;
    if (content.size() - offset < sizeof(header)) {
        return std::nullopt;
    }
    std::memcpy(&header, content.data() + offset, sizeof(header));
    const auto rest = content.size() - offset - sizeof(header);
    if (header.magic != frameMagic || header.headerChecksum != headerChecksum(header) || header.length > rest
        || header.payloadChecksum != XXH3_64bits(content.data() + offset + sizeof(header), header.length)) {
        return std::nullopt;
    }
    return header;
}

/// Returns whether an intact frame with a higher number exists anywhere at or after the offset.
bool hasLaterFrame(const std::string &content, std::size_t offset, std::uint64_t number)
{
    const std::string magic(reinterpret_cast<const char *>(&frameMagic), sizeof(frameMagic)); // NOLINT
    for (auto position = content.find(magic, offset); position != std::string::npos;
         position = content.find(magic, position + 1)) {
        const auto header = readIntactFrameHeader(content, position);
        if (header && header->number > number) {
            return true;
        }
    }
    return false;
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

// Reading.

std::optional<ControlStoreError> ControlJournal::readSnapshot()
{
    auto read = this->disk.read(snapshotName);
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
    auto snapshot = decodeCompact<wire::SnapshotFile>(bytes->substr(start));
    if (checksum != XXH3_64bits(bytes->data() + start, bytes->size() - start) || !snapshot) {
        return ControlStoreError {snapshotName, static_cast<std::int64_t>(start), "the checksum does not match"};
    }
    this->loadedContent.snapshot = std::move(*snapshot);
    return std::nullopt;
}

std::optional<ControlStoreError> ControlJournal::readLog()
{
    auto read = this->disk.read(logName);
    if (!isOk(read)) {
        return error(read);
    }
    const auto &bytes = value(read);
    if (bytes) {
        return this->readFrames(*bytes);
    }
    if (this->loadedContent.snapshot) {
        return ControlStoreError {logName, 0, "the log file is missing although a snapshot exists"};
    }
    const auto outcome = this->disk.replace(logName, logMagic);
    this->logSize = static_cast<std::int64_t>(logMagic.size());
    return outcome.status == DiskStatus::Ok ? std::nullopt
                                            : std::make_optional(ControlStoreError {logName, 0, outcome.message});
}

std::optional<ControlStoreError> ControlJournal::readFrames(const std::string &bytes)
{
    if (bytes.compare(0, logMagic.size(), logMagic) != 0) {
        return ControlStoreError {logName, 0, "not a log of format version 1"};
    }
    auto offset = logMagic.size();
    while (offset < bytes.size()) {
        const auto header = readIntactFrameHeader(bytes, offset);
        const auto errorOffset = static_cast<std::int64_t>(offset);
        if (!header) {
            // If there is a snapshot, the first frame was written by replacing the file atomically, so it cannot be an
            // incomplete write.
            if (hasLaterFrame(bytes, offset, this->nextFrameNumber)
                || (this->loadedContent.snapshot && this->nextFrameNumber == 1)) {
                return ControlStoreError {logName, errorOffset, "corruption in data that had been synced"};
            }
            log(LogLevel::Warning, "control", "discarding {} bytes of an incomplete last write", bytes.size() - offset);
            break;
        }
        if (header->number != this->nextFrameNumber) {
            return ControlStoreError {
                logName, errorOffset,
                fmt::format("found frame {}, expected frame {}", header->number, this->nextFrameNumber)};
        }
        const auto frame = decodeCompact<wire::LogFrame>(bytes.substr(offset + sizeof(*header), header->length));
        if (!frame) {
            return ControlStoreError {logName, errorOffset, "the content of the frame cannot be decoded"};
        }
        for (const auto &record : frame->records) {
            if (auto failure = this->replayRecord(record, offset)) {
                return failure;
            }
        }
        offset += sizeof(*header) + header->length;
        ++this->nextFrameNumber;
    }
    this->logSize = static_cast<std::int64_t>(offset);
    if (offset == bytes.size()) {
        return std::nullopt;
    }
    const auto outcome = this->disk.truncate(logName, this->logSize);
    return outcome.status == DiskStatus::Ok
        ? std::nullopt
        : std::make_optional(ControlStoreError {logName, this->logSize, outcome.message});
}

std::optional<ControlStoreError> ControlJournal::replayRecord(const wire::LogRecord &record, std::size_t offset)
{
    auto &entries = this->loadedContent.entries;
    if (record.__isset.state) {
        this->loadedContent.state = record.state;
    }
    while (record.truncateFrom > 0 && !entries.empty() && entries.back().index >= record.truncateFrom) {
        entries.pop_back();
    }
    for (const auto &entry : record.entries) {
        if (!entries.empty() && entry.index != entries.back().index + 1) {
            return ControlStoreError {logName, static_cast<std::int64_t>(offset),
                                      fmt::format("entry {} follows entry {}, so entries are missing or out of order",
                                                  entry.index, entries.back().index)};
        }
        entries.push_back(entry);
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
