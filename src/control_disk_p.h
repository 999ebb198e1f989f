#pragma once

#include "agatedrum/result.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace agatedrum {

/// Why a store could not be opened.
struct ControlStoreError
{
    std::string file;
    std::int64_t offset = 0;
    std::string message;
    /// "FILE at offset N: MESSAGE"
    std::string text() const;
};

enum class DiskStatus { Ok, Full, Failed };

struct DiskOutcome
{
    DiskStatus status = DiskStatus::Ok;
    std::string message;
};

/// Files of one data folder. Used by one thread at a time, but for freeBytes(), which is thread-safe.
struct DiskI
{
    virtual ~DiskI() = default;
    /// Whole content, or nothing when there is no such file.
    virtual Result<std::optional<std::string>, ControlStoreError> read(const std::string &name) = 0;
    /// Appends without syncing. After Full or Failed, a part may have been appended.
    virtual DiskOutcome append(const std::string &name, const std::string &bytes) = 0;
    /// Makes what was appended durable.
    virtual DiskOutcome sync(const std::string &name) = 0;
    /// Cuts a file to a size, durably.
    virtual DiskOutcome truncate(const std::string &name, std::int64_t size) = 0;
    /// Creates or replaces a whole file, atomically and durably.
    virtual DiskOutcome replace(const std::string &name, const std::string &bytes) = 0;
    virtual std::int64_t freeBytes() const = 0;
};

/// A folder of the file system, locked against other processes.
class FileDisk : public DiskI
{
public:
    /// Creates the folder when it is missing. Refuses a folder that another process has locked.
    static Result<std::unique_ptr<FileDisk>, ControlStoreError> open(const std::string &folder);
    ~FileDisk() override;
    FileDisk(const FileDisk &) = delete;
    FileDisk &operator=(const FileDisk &) = delete;

    Result<std::optional<std::string>, ControlStoreError> read(const std::string &name) override;
    DiskOutcome append(const std::string &name, const std::string &bytes) override;
    DiskOutcome sync(const std::string &name) override;
    DiskOutcome truncate(const std::string &name, std::int64_t size) override;
    DiskOutcome replace(const std::string &name, const std::string &bytes) override;
    std::int64_t freeBytes() const override;

private:
    FileDisk(std::string folder, int lock);
    std::string path(const std::string &name) const;
    int writer(const std::string &name);
    void closeWriter(const std::string &name);
    DiskOutcome syncFolder() const;

    std::string folder;
    int lock;
    std::map<std::string, int> writers; ///< descriptors open for appending
};

} // namespace agatedrum
