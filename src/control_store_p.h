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

/// One write request to a store. Requests are written in the order of their sequence numbers.
struct ControlWrite
{
    std::int64_t sequence = 0;
    std::optional<wire::HardState> state;
    std::int64_t truncateFrom = 0; ///< removes the entries from this index on; 0 for none
    std::vector<wire::LogEntry> entries; ///< entries to append; with a snapshot, the whole log after it
    std::optional<wire::SnapshotFile> snapshot; ///< replaces the whole content; state must be set too
};

/// Content of a store when it was opened.
struct ControlStoreContent
{
    wire::HardState state;
    std::optional<wire::SnapshotFile> snapshot;
    std::vector<wire::LogEntry> entries;
};

struct ControlStoreStatus
{
    std::int64_t written = 0; ///< highest sequence that is on disk
    bool isFull = false; ///< whether the last write failed for lack of disk space; it is retried
    std::string failure; ///< any other error of the last write, which is retried too, or empty
};

/// Persistent store of one member of the control group. Implementations are thread-safe.
struct ControlStoreI
{
    virtual ~ControlStoreI() = default;
    /// Moves out the content at the time when the store was opened. To be called once, before the first submit().
    virtual ControlStoreContent load() = 0;
    /// Queues a write request and returns immediately.
    virtual void submit(ControlWrite write) = 0;
    virtual ControlStoreStatus status() const = 0;
    /// Returns whether there is space for a configuration file of this size, besides a reserve for all other data.
    virtual bool hasSpace(std::size_t bytes) const = 0;
    /// Sets the function to call after a change of the status, or none if empty. It is called without the lock that
    /// guards the status.
    virtual void setListener(std::function<void()> listener) = 0;
};

/// In-memory store, for tests and for groups that need not survive a restart.
class MemoryControlStore : public ControlStoreI
{
public:
    ControlStoreContent load() override
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
    bool hasSpace(std::size_t /*bytes*/) const override
    {
        return true;
    }
    void setListener(std::function<void()> /*listener*/) override { }

private:
    std::atomic<std::int64_t> written {0};
};

/// Store in a data folder, with one thread that writes and syncs all queued requests together.
class ControlStore : public ControlStoreI
{
public:
    /// Fails if the folder is in use, or if its data is corrupt anywhere but in the last write. The error contains the
    /// file and the offset.
    static Result<std::unique_ptr<ControlStore>, ControlStoreError> open(const std::string &folder);
    /// Writes the queued requests, unless the disk refuses writes.
    ~ControlStore() override;
    ControlStore(const ControlStore &) = delete;
    ControlStore &operator=(const ControlStore &) = delete;

    ControlStoreContent load() override;
    void submit(ControlWrite write) override;
    ControlStoreStatus status() const override;
    bool hasSpace(std::size_t bytes) const override;
    void setListener(std::function<void()> listener) override;

private:
    ControlStore(std::unique_ptr<FileDisk> disk, std::unique_ptr<ControlJournal> journal);
    void run();
    /// Writes the requests, and retries until that succeeds. @return false if the store is closed before.
    bool writeBatch(const std::vector<ControlWrite> &batch);
    void updateStatus(const std::function<void(ControlStoreStatus &)> &change);

    std::unique_ptr<FileDisk> disk;
    std::unique_ptr<ControlJournal> journal; ///< once the thread runs, used by it only, except for takeLoaded()
    mutable std::mutex mutex;
    std::condition_variable wakeUp;
    std::vector<ControlWrite> waiting;
    ControlStoreStatus currentStatus;
    bool isStopping = false;
    std::mutex listenerMutex; ///< held during a call, so that no call is in progress after setListener()
    std::function<void()> listener;
    std::thread thread;
};

/// Opens a store like ControlStore::open(), but throws std::runtime_error with the error's text.
std::unique_ptr<ControlStore> openControlStore(const std::string &folder);

} // namespace agatedrum
