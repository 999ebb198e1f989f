#include "control_store_p.h"

#include "base_event_p.h"
#include "base_log_p.h"
#include "control_journal_p.h"

#include <chrono>
#include <stdexcept>
#include <utility>

namespace agatedrum {

namespace {

constexpr std::chrono::milliseconds retryInterval(100);
/// Disk space reserved for terms, votes, members and snapshots.
constexpr std::int64_t reserveBytes = 16LL * 1024 * 1024;
/// Number of times that a configuration file may be on disk: in the log, in the snapshot, and in the new file that
/// replaces each of them.
constexpr std::int64_t fileCopiesOnDisk = 4;

} // namespace

Result<std::unique_ptr<ControlStore>, ControlStoreError> ControlStore::open(const std::string &folder)
{
    auto disk = FileDisk::open(folder);
    if (!isOk(disk)) {
        return error(disk);
    }
    auto openedDisk = takeValue(std::move(disk));
    auto journal = ControlJournal::open(*openedDisk);
    if (!isOk(journal)) {
        auto failure = error(journal);
        failure.file = folder + "/" + failure.file;
        return failure;
    }
    return std::unique_ptr<ControlStore>(new ControlStore(std::move(openedDisk), takeValue(std::move(journal))));
}

ControlStore::ControlStore(std::unique_ptr<FileDisk> disk, std::unique_ptr<ControlJournal> journal)
    : disk(std::move(disk))
    , journal(std::move(journal))
    , thread([this] { this->run(); })
{
}

ControlStore::~ControlStore()
{
    {
        const std::lock_guard lock(this->mutex);
        this->isStopping = true;
    }
    this->wakeUp.notify_all();
    this->thread.join();
}

ControlStoreContent ControlStore::load()
{
    return this->journal->takeLoaded();
}

void ControlStore::submit(ControlWrite write)
{
    {
        const std::lock_guard lock(this->mutex);
        this->waiting.push_back(std::move(write));
    }
    this->wakeUp.notify_all();
}

ControlStoreStatus ControlStore::status() const
{
    const std::lock_guard lock(this->mutex);
    return this->currentStatus;
}

bool ControlStore::hasSpace(std::size_t bytes) const
{
    return this->disk->freeBytes() > reserveBytes + fileCopiesOnDisk * static_cast<std::int64_t>(bytes);
}

void ControlStore::setListener(std::function<void()> newListener)
{
    const std::lock_guard lock(this->listenerMutex);
    this->listener = std::move(newListener);
}

void ControlStore::run()
{
    std::unique_lock lock(this->mutex);
    while (true) {
        this->wakeUp.wait(lock, [this] { return this->isStopping || !this->waiting.empty(); });
        if (this->waiting.empty()) {
            return;
        }
        const auto batch = std::exchange(this->waiting, {});
        lock.unlock();
        const bool isWritten = this->writeBatch(batch);
        lock.lock();
        if (!isWritten) {
            return;
        }
    }
}

bool ControlStore::writeBatch(const std::vector<ControlWrite> &batch)
{
    std::string lastError;
    while (true) {
        const auto outcome = this->journal->write(batch);
        if (outcome.status == DiskStatus::Ok) {
            if (!lastError.empty()) {
                log(LogLevel::Info, "control", "the control store can be written again");
                logEvent("control", "store_writable", {{"sequence", batch.back().sequence}});
            }
            this->updateStatus([&batch](ControlStoreStatus &status) {
                status.written = batch.back().sequence;
                status.isFull = false;
                status.failure.clear();
            });
            return true;
        }
        if (outcome.message != lastError) {
            log(LogLevel::Error, "control", "cannot write to the control store, will retry: {}", outcome.message);
            logEvent("control", "store_refused_write",
                     {{"sequence", batch.back().sequence}, {"reason", outcome.message}});
            lastError = outcome.message;
        }
        this->updateStatus([&outcome](ControlStoreStatus &status) {
            status.isFull = outcome.status == DiskStatus::Full;
            status.failure = outcome.status == DiskStatus::Failed ? outcome.message : std::string();
        });
        std::unique_lock lock(this->mutex);
        if (this->wakeUp.wait_for(lock, retryInterval, [this] { return this->isStopping; })) {
            return false;
        }
    }
}

void ControlStore::updateStatus(const std::function<void(ControlStoreStatus &)> &change)
{
    {
        const std::lock_guard lock(this->mutex);
        change(this->currentStatus);
    }
    const std::lock_guard lock(this->listenerMutex);
    if (this->listener) {
        this->listener();
    }
}

std::unique_ptr<ControlStore> openControlStore(const std::string &folder)
{
    auto opened = ControlStore::open(folder);
    if (!isOk(opened)) {
        logEvent("control", "store_unreadable", {{"reason", error(opened).text()}});
        throw std::runtime_error(error(opened).text());
    }
    return takeValue(std::move(opened));
}

} // namespace agatedrum
