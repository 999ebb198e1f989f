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

/// Head of a frame, in the machine's byte order: a data folder stays on its machine.
struct FrameHead
{
    std::uint32_t magic = frameMagic;
    std::uint32_t length = 0;
    std::uint64_t number = 0; ///< from 1, in each log file
    std::uint64_t payloadChecksum = 0;
    std::uint64_t headChecksum = 0; ///< over the members before it
};

std::uint64_t headChecksum(const FrameHead &head)
{
    return XXH3_64bits(&head, offsetof(FrameHead, headChecksum));
}

std::string encodeFrame(const wire::LogFrame &frame, std::uint64_t number)
{
    const auto payload = encodeCompact(frame);
    FrameHead head;
    head.length = static_cast<std::uint32_t>(payload.size());
    head.number = number;
    head.payloadChecksum = XXH3_64bits(payload.data(), payload.size());
    head.headChecksum = headChecksum(head);
    std::string bytes(sizeof(head), '\0');
    std::memcpy(bytes.data(), &head, sizeof(head));
    return bytes + payload;
}

/// Head of an intact frame at the offset, with any number.
std::optional<FrameHead> intactFrame(const std::string &content, std::size_t offset)
{
    FrameHead head;
    if (content.size() - offset < sizeof(head)) {
        return std::nullopt;
    }
    std::memcpy(&head, content.data() + offset, sizeof(head));
    const auto rest = content.size() - offset - sizeof(head);
    if (head.magic != frameMagic || head.headChecksum != headChecksum(head) || head.length > rest
        || head.payloadChecksum != XXH3_64bits(content.data() + offset + sizeof(head), head.length)) {
        return std::nullopt;
    }
    return head;
}

/// Whether a frame with a higher number lies anywhere after the offset.
bool hasLaterFrame(const std::string &content, std::size_t offset, std::uint64_t number)
{
    const std::string magic(reinterpret_cast<const char *>(&frameMagic), sizeof(frameMagic)); // NOLINT
    for (auto at = content.find(magic, offset); at != std::string::npos; at = content.find(magic, at + 1)) {
        const auto head = intactFrame(content, at);
        if (head && head->number > number) {
            return true;
        }
    }
    return false;
}

wire::LogRecord recordOf(const ControlWrite &write)
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
    for (const auto step : {&ControlJournal::readSnapshot, &ControlJournal::readLog, &ControlJournal::finish}) {
        if (auto failure = (*journal.*step)()) {
            return std::move(*failure);
        }
    }
    return journal;
}

const ControlLoaded &ControlJournal::loaded() const
{
    return this->content;
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
        return ControlStoreError {snapshotName, 0, "this is no snapshot of format version 1"};
    }
    std::memcpy(&checksum, bytes->data() + snapshotMagic.size(), sizeof(checksum));
    auto snapshot = decodeCompact<wire::SnapshotFile>(bytes->substr(start));
    if (checksum != XXH3_64bits(bytes->data() + start, bytes->size() - start) || !snapshot) {
        return ControlStoreError {snapshotName, static_cast<std::int64_t>(start), "the checksum does not match"};
    }
    this->content.snapshot = std::move(*snapshot);
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
    if (this->content.snapshot) {
        return ControlStoreError {logName, 0, "the log is missing, although there is a snapshot"};
    }
    const auto outcome = this->disk.replace(logName, logMagic);
    this->size = static_cast<std::int64_t>(logMagic.size());
    return outcome.status == DiskStatus::Ok ? std::nullopt
                                            : std::make_optional(ControlStoreError {logName, 0, outcome.message});
}

std::optional<ControlStoreError> ControlJournal::readFrames(const std::string &bytes)
{
    if (bytes.compare(0, logMagic.size(), logMagic) != 0) {
        return ControlStoreError {logName, 0, "this is no log of format version 1"};
    }
    auto offset = logMagic.size();
    while (offset < bytes.size()) {
        const auto head = intactFrame(bytes, offset);
        const auto at = static_cast<std::int64_t>(offset);
        if (!head) {
            // The first frame beside a snapshot came with an atomic replacement of the file, so it cannot be torn.
            if (hasLaterFrame(bytes, offset, this->nextFrame) || (this->content.snapshot && this->nextFrame == 1)) {
                return ControlStoreError {logName, at, "damaged in data that was synced"};
            }
            log(LogLevel::Warning, "control", "dropping {} bytes of a torn write", bytes.size() - offset);
            break;
        }
        if (head->number != this->nextFrame) {
            return ControlStoreError {logName, at,
                                      fmt::format("frame {} in place of {}", head->number, this->nextFrame)};
        }
        const auto frame = decodeCompact<wire::LogFrame>(bytes.substr(offset + sizeof(*head), head->length));
        if (!frame) {
            return ControlStoreError {logName, at, "the frame's content is unknown"};
        }
        for (const auto &record : frame->records) {
            if (auto failure = this->replay(record, offset)) {
                return failure;
            }
        }
        offset += sizeof(*head) + head->length;
        ++this->nextFrame;
    }
    this->size = static_cast<std::int64_t>(offset);
    if (offset == bytes.size()) {
        return std::nullopt;
    }
    const auto outcome = this->disk.truncate(logName, this->size);
    return outcome.status == DiskStatus::Ok
        ? std::nullopt
        : std::make_optional(ControlStoreError {logName, this->size, outcome.message});
}

std::optional<ControlStoreError> ControlJournal::replay(const wire::LogRecord &record, std::size_t offset)
{
    auto &entries = this->content.entries;
    if (record.__isset.state) {
        this->content.state = record.state;
    }
    while (record.truncateFrom > 0 && !entries.empty() && entries.back().index >= record.truncateFrom) {
        entries.pop_back();
    }
    for (const auto &entry : record.entries) {
        if (!entries.empty() && entry.index != entries.back().index + 1) {
            return ControlStoreError {logName, static_cast<std::int64_t>(offset),
                                      fmt::format("entry {} follows entry {}", entry.index, entries.back().index)};
        }
        entries.push_back(entry);
    }
    return std::nullopt;
}

std::optional<ControlStoreError> ControlJournal::finish()
{
    auto &entries = this->content.entries;
    const auto last = this->content.snapshot ? this->content.snapshot->lastIndex : 0;
    // A crash between the two files leaves a log that is older than the snapshot.
    const bool isStale = !entries.empty() && entries.front().index <= last;
    const auto match = std::find_if(entries.begin(), entries.end(),
                                    [last](const wire::LogEntry &entry) { return entry.index == last; });
    if (match != entries.end()) {
        const bool isSame = match->term == this->content.snapshot->lastTerm;
        entries.erase(entries.begin(), isSame ? match + 1 : entries.end());
    }
    if (!entries.empty() && entries.back().index <= last) {
        entries.clear();
    }
    if (!entries.empty() && entries.front().index != last + 1) {
        return ControlStoreError {
            logName, 0,
            fmt::format("the log starts with entry {}, the snapshot ends with {}", entries.front().index, last)};
    }
    if (!isStale) {
        return std::nullopt;
    }
    // Left as it is, the file would get entries that do not follow its last one.
    wire::LogRecord record;
    record.__set_state(this->content.state);
    record.entries = entries;
    const auto outcome = this->replaceLog(record);
    return outcome.status == DiskStatus::Ok ? std::nullopt
                                            : std::make_optional(ControlStoreError {logName, 0, outcome.message});
}

// Writing.

DiskOutcome ControlJournal::write(const std::vector<ControlWrite> &writes)
{
    // A snapshot order carries everything, so what comes before it need not be written.
    const auto last = std::find_if(writes.rbegin(), writes.rend(),
                                   [](const ControlWrite &each) { return each.snapshot.has_value(); });
    if (last != writes.rend()) {
        const auto outcome = this->writeSnapshot(*last);
        if (outcome.status != DiskStatus::Ok) {
            return outcome;
        }
    }
    wire::LogFrame frame;
    std::transform(last.base(), writes.end(), std::back_inserter(frame.records), recordOf);
    return frame.records.empty() ? DiskOutcome {} : this->appendFrame(encodeFrame(frame, this->nextFrame));
}

DiskOutcome ControlJournal::appendFrame(const std::string &frame)
{
    auto outcome = this->disk.append(logName, frame);
    if (outcome.status == DiskStatus::Ok) {
        outcome = this->disk.sync(logName);
    }
    if (outcome.status == DiskStatus::Full) {
        // What was written of the frame must not stay before the next attempt.
        const auto undo = this->disk.truncate(logName, this->size);
        return undo.status == DiskStatus::Ok ? outcome : undo;
    }
    if (outcome.status == DiskStatus::Ok) {
        this->size += static_cast<std::int64_t>(frame.size());
        ++this->nextFrame;
    }
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
    return this->replaceLog(recordOf(write));
}

DiskOutcome ControlJournal::replaceLog(const wire::LogRecord &record)
{
    wire::LogFrame frame;
    frame.records.push_back(record);
    const auto bytes = logMagic + encodeFrame(frame, 1);
    auto outcome = this->disk.replace(logName, bytes);
    if (outcome.status == DiskStatus::Ok) {
        this->size = static_cast<std::int64_t>(bytes.size());
        this->nextFrame = 2;
    }
    return outcome;
}

} // namespace agatedrum
