#pragma once

#include "agatedrum/result.h"
#include "agatedrum_types.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace agatedrum {

class ControlJournal;
class FileDisk;
struct ControlStoreError;

/// One order to persist. Orders are written in the order of their sequence.
struct ControlWrite
{
    std::int64_t sequence = 0;
    std::optional<wire::HardState> state;
    std::int64_t truncateFrom = 0; ///< drops entries from this index on; 0 for none
    std::vector<wire::LogEntry> entries; ///< appended; with a snapshot, the whole log after it
    std::optional<wire::SnapshotFile> snapshot; ///< replaces everything; then state is set too
};

/// What a store held when it was opened.
struct ControlLoaded
{
    wire::HardState state;
    std::optional<wire::SnapshotFile> snapshot;
    std::vector<wire::LogEntry> entries;
};

struct ControlStoreStatus
{
    std::int64_t written = 0; ///< highest sequence that is on disk
    bool isFull = false; ///< the last write found no room and is tried again
    std::string failure; ///< set when nothing can be written any more
};

/// Disk of one member of the control group. Implementations are thread-safe.
struct ControlStoreI
{
    virtual ~ControlStoreI() = default;
    /// Content at the time of opening.
    virtual ControlLoaded load() = 0;
    /// Takes an order and returns at once.
    virtual void submit(ControlWrite write) = 0;
    virtual ControlStoreStatus status() const = 0;
    /// Whether a configuration file of this size may be taken; keeps a reserve for everything else.
    virtual bool hasRoom(std::size_t bytes) const = 0;
    /// Sets what is called, without locks held, after the status changed. Empty for nothing.
    virtual void setListener(std::function<void()> listener) = 0;
};

/// Store without a disk, for groups that need not survive a restart and for tests.
class MemoryControlStore : public ControlStoreI
{
public:
    ControlLoaded load() override
    {
        return {};
    }
    void submit(ControlWrite write) override
    {
        this->written = write.sequence;
    }
    ControlStoreStatus status() const override
    {
        return {this->written, false, {}};
    }
    bool hasRoom(std::size_t /*bytes*/) const override
    {
        return true;
    }
    void setListener(std::function<void()> /*listener*/) override { }

private:
    std::atomic<std::int64_t> written {0};
};

/// Store in a data folder, with one thread that writes and syncs all waiting orders at once.
class ControlStore : public ControlStoreI
{
public:
    /// Refuses a folder that is in use, or damaged anywhere but in the last write. The error names file and offset.
    static Result<std::unique_ptr<ControlStore>, ControlStoreError> open(const std::string &folder);
    /// Writes what waits, unless the disk is full.
    ~ControlStore() override;
    ControlStore(const ControlStore &) = delete;
    ControlStore &operator=(const ControlStore &) = delete;

    ControlLoaded load() override;
    void submit(ControlWrite write) override;
    ControlStoreStatus status() const override;
    bool hasRoom(std::size_t bytes) const override;
    void setListener(std::function<void()> listener) override;

private:
    ControlStore(std::unique_ptr<FileDisk> disk, std::unique_ptr<ControlJournal> journal);
    void run();
    bool writeBatch(const std::vector<ControlWrite> &batch);
    void report(const std::function<void(ControlStoreStatus &)> &change);

    std::unique_ptr<FileDisk> disk;
    std::unique_ptr<ControlJournal> journal; ///< used by the thread only
    mutable std::mutex mutex;
    std::condition_variable wake;
    std::vector<ControlWrite> waiting;
    ControlStoreStatus current;
    bool isStopping = false;
    std::mutex listenerMutex; ///< held during a call, so that none goes on after setListener()
    std::function<void()> listener;
    std::thread thread;
};

/// ControlStore::open(), but throws std::runtime_error with the error's text.
std::unique_ptr<ControlStore> openControlStore(const std::string &folder);

} // namespace agatedrum
