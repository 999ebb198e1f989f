#pragma once

#include "control_journal_p.h"
#include "control_store_p.h"

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace agatedrum::test {

/// Thrown by FakeDisk in the middle of an operation.
struct PowerCut
{
};

/// Disk that loses what was not synced: after a crash each sector of an unsynced append is there or not, in any order.
class FakeDisk : public DiskI
{
public:
    Result<std::optional<std::string>, ControlStoreError> read(const std::string &name) override
    {
        const auto found = this->files.find(name);
        return found == this->files.end() ? std::optional<std::string>() : found->second.content;
    }
    DiskOutcome append(const std::string &name, const std::string &bytes) override
    {
        auto &file = this->files.at(name);
        if (this->isFull) {
            file.content += bytes.substr(0, bytes.size() / 2);
            return {DiskStatus::Full, "no space"};
        }
        file.content += bytes;
        this->operation();
        return {};
    }
    DiskOutcome sync(const std::string &name) override
    {
        this->operation();
        auto &file = this->files.at(name);
        file.synced = file.content.size();
        return {};
    }
    DiskOutcome truncate(const std::string &name, std::int64_t size) override
    {
        auto &file = this->files.at(name);
        file.content.resize(static_cast<std::size_t>(size));
        file.synced = file.content.size();
        return {};
    }
    DiskOutcome replace(const std::string &name, const std::string &bytes) override
    {
        if (this->isFull) {
            return {DiskStatus::Full, "no space"};
        }
        this->operation();
        this->files[name] = {bytes, bytes.size()};
        this->operation();
        return {};
    }
    std::int64_t freeBytes() const override
    {
        return this->isFull ? 0 : 1LL << 40;
    }

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
        }
    }
    /// Throws PowerCut after this many more operations.
    void cutAfter(int operations)
    {
        this->operationsLeft = operations;
    }
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
    };
    std::map<std::string, File> files;
    bool isFull = false;

private:
    static constexpr std::size_t sectorBytes = 64;

    void operation()
    {
        if (this->operationsLeft >= 0 && this->operationsLeft-- == 0) {
            throw PowerCut();
        }
    }

    int operationsLeft = -1;
};

/// The journal on a fake disk, flushed by the test in place of ControlStore's thread.
class SimStore : public ControlStoreI
{
public:
    /// @param areVotesLate seeded defect: terms and votes count as written before they are.
    SimStore(FakeDisk &disk, bool areVotesLate)
        : disk(disk)
        , areVotesLate(areVotesLate)
    {
        auto opened = ControlJournal::open(disk);
        if (!isOk(opened)) {
            throw std::runtime_error(error(opened).text());
        }
        this->journal = takeValue(std::move(opened));
    }
    ControlLoaded load() override
    {
        return this->journal->loaded();
    }
    void submit(ControlWrite write) override
    {
        this->waiting.push_back(std::move(write));
        const auto isVote = [](const ControlWrite &each) { return each.state && each.entries.empty(); };
        if (this->areVotesLate && std::all_of(this->waiting.begin(), this->waiting.end(), isVote)) {
            this->current.written = this->waiting.back().sequence;
        }
    }
    ControlStoreStatus status() const override
    {
        return this->current;
    }
    bool hasRoom(std::size_t /*bytes*/) const override
    {
        return this->disk.freeBytes() > 0;
    }
    void setListener(std::function<void()> newListener) override
    {
        this->listener = std::move(newListener);
    }
    void flush()
    {
        if (this->waiting.empty()) {
            return;
        }
        const auto outcome = this->journal->write(this->waiting);
        this->current.isFull = outcome.status == DiskStatus::Full;
        if (outcome.status == DiskStatus::Ok) {
            this->current.written = this->waiting.back().sequence;
            this->waiting.clear();
            if (this->listener) {
                this->listener();
            }
        }
    }

private:
    FakeDisk &disk;
    bool areVotesLate;
    std::unique_ptr<ControlJournal> journal;
    std::vector<ControlWrite> waiting;
    ControlStoreStatus current;
    std::function<void()> listener;
};

} // namespace agatedrum::test
