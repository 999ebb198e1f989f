#pragma once

#include "control_journal_p.h"
#include "control_store_p.h"

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace agatedrum::test {

/// Thrown by FakeDisk to simulate a power failure in the middle of an operation.
struct PowerCut
{
};

/// What a full disk refuses besides new files, and how.
struct FullDisk
{
    DiskStatus status = DiskStatus::Full;
    std::size_t appendedPercent = 50; ///< part of the bytes of a refused append that is written
    bool isRefusedAtSync = false; ///< whether appends succeed and their sync fails, as with delayed allocation
    bool refusesTruncation = false;
};

/// In-memory disk that loses unsynced data: after a crash, any of the sectors of an unsynced append may be missing.
class FakeDisk : public DiskI
{
public:
    Result<std::optional<std::string>, ControlStoreError> read(const std::string &name, std::int64_t offset,
                                                               std::size_t maxBytes) override
    {
        const auto found = this->files.find(name);
        if (found == this->files.end()) {
            return std::optional<std::string>();
        }
        const auto &content = found->second.content;
        const auto start = std::min(content.size(), static_cast<std::size_t>(offset));
        auto bytes = content.substr(start, maxBytes);
        this->largestRead = std::max(this->largestRead, bytes.size());
        return std::make_optional(std::move(bytes));
    }
    DiskOutcome append(const std::string &name, const std::string &bytes) override
    {
        auto &file = this->files.at(name);
        if (this->isFull && !this->full.isRefusedAtSync) {
            file.content += bytes.substr(0, bytes.size() * this->full.appendedPercent / 100);
            return this->refusal();
        }
        file.content += bytes;
        this->countOperation();
        return {};
    }
    DiskOutcome sync(const std::string &name) override
    {
        this->countOperation();
        auto &file = this->files.at(name);
        if (this->isFull && this->full.isRefusedAtSync) {
            // The kernel drops the unsynced pages, so that later syncs succeed without writing them.
            file.dropped = true;
            return this->refusal();
        }
        file.synced = file.dropped ? file.synced : file.content.size();
        return {};
    }
    DiskOutcome truncate(const std::string &name, std::int64_t size) override
    {
        if (this->isFull && this->full.refusesTruncation) {
            return this->refusal();
        }
        auto &file = this->files.at(name);
        file.content.resize(static_cast<std::size_t>(size));
        file.dropped = file.dropped && file.content.size() > file.synced;
        file.synced = file.dropped ? file.synced : file.content.size();
        return {};
    }
    DiskOutcome replace(const std::string &name, const std::string &bytes) override
    {
        if (this->isFull) {
            return this->refusal();
        }
        this->countOperation();
        this->files[name] = {bytes, bytes.size(), false};
        this->countOperation();
        return {};
    }
    std::int64_t freeBytes() const override
    {
        return this->isFull ? 0 : 1LL << 40;
    }

    /// Simulates a crash: shortens unsynced data to a random size and zeroes random sectors of it.
    void crash(std::mt19937_64 &random)
    {
        this->operationsLeft = -1;
        for (auto &[name, file] : this->files) {
            const auto unsynced = file.content.size() - file.synced;
            file.content.resize(file.synced + (unsynced > 0 ? random() % (unsynced + 1) : 0));
            for (auto at = file.synced; at < file.content.size(); at += sectorBytes) {
                if (random() % 2 == 0) {
                    const auto end = std::min(at + sectorBytes, file.content.size());
                    std::fill(file.content.begin() + static_cast<std::ptrdiff_t>(at),
                              file.content.begin() + static_cast<std::ptrdiff_t>(end), '\0');
                }
            }
            file.synced = file.content.size();
            file.dropped = false;
        }
    }
    /// Makes the disk throw PowerCut after this number of further operations; never if negative.
    void cutPowerAfter(int operations)
    {
        this->operationsLeft = operations;
    }
    /// Deletes all files.
    void wipe()
    {
        this->files.clear();
        this->isFull = false;
        this->operationsLeft = -1;
    }

    struct File
    {
        std::string content;
        std::size_t synced = 0;
        bool dropped = false; ///< whether a failed sync has dropped the unsynced bytes, so that no sync writes them
    };
    std::map<std::string, File> files;
    bool isFull = false;
    FullDisk full;
    std::size_t largestRead = 0; ///< largest number of bytes that one call of read() has returned

private:
    static constexpr std::size_t sectorBytes = 64;

    DiskOutcome refusal() const
    {
        return {this->full.status, "no space"};
    }

    void countOperation()
    {
        if (this->operationsLeft >= 0 && this->operationsLeft-- == 0) {
            throw PowerCut();
        }
    }

    int operationsLeft = -1;
};

/// Store with a journal on a fake disk. The test calls flush() in place of the thread of ControlStore.
class SimStore : public ControlStoreI
{
public:
    /// @param areVotesReportedEarly injects a defect: terms and votes are reported as written before they are on disk.
    SimStore(FakeDisk &disk, bool areVotesReportedEarly)
        : disk(disk)
        , areVotesReportedEarly(areVotesReportedEarly)
    {
        auto opened = ControlJournal::open(disk);
        if (!isOk(opened)) {
            throw ControlStoreError(error(opened));
        }
        this->journal = takeValue(std::move(opened));
    }
    ControlStoreContent load() override
    {
        return this->journal->takeLoaded();
    }
    void submit(ControlWrite write) override
    {
        this->waiting.push_back(std::move(write));
        const auto isVote = [](const ControlWrite &each) { return each.state && each.entries.empty(); };
        if (this->areVotesReportedEarly && std::all_of(this->waiting.begin(), this->waiting.end(), isVote)) {
            this->currentStatus.written = this->waiting.back().sequence;
        }
    }
    ControlStoreStatus status() const override
    {
        return this->currentStatus;
    }
    bool hasSpace(std::size_t /*bytes*/) const override
    {
        return this->disk.freeBytes() > 0;
    }
    void setListener(std::function<void()> newListener) override
    {
        this->listener = std::move(newListener);
    }
    /// Writes all queued requests.
    void flush()
    {
        if (this->waiting.empty()) {
            return;
        }
        const auto outcome = this->journal->write(this->waiting);
        this->currentStatus.isFull = outcome.status == DiskStatus::Full;
        this->currentStatus.failure = outcome.status == DiskStatus::Failed ? outcome.message : std::string();
        if (outcome.status == DiskStatus::Ok) {
            this->currentStatus.written = this->waiting.back().sequence;
            this->waiting.clear();
            if (this->listener) {
                this->listener();
            }
        }
    }

private:
    FakeDisk &disk;
    bool areVotesReportedEarly;
    std::unique_ptr<ControlJournal> journal;
    std::vector<ControlWrite> waiting;
    ControlStoreStatus currentStatus;
    std::function<void()> listener;
};

} // namespace agatedrum::test
