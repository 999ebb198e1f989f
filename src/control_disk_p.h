#pragma once

#include "agatedrum/result.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace agatedrum {

/// Error that prevented a store from being opened.
struct ControlStoreError
{
    std::string file;
    std::int64_t offset = 0;
    std::string message;
    /// Returns "FILE at offset N: MESSAGE".
    std::string text() const;
};

enum class DiskStatus { Ok, Full, Failed };

struct DiskOutcome
{
    DiskStatus status = DiskStatus::Ok;
    std::string message;
};

/// Access to the files of one data folder. Not thread-safe, except for freeBytes().
struct DiskI
{
    virtual ~DiskI() = default;
    /// Returns up to maxBytes bytes of the file from the offset on, fewer only at its end, or std::nullopt if there is
    /// no such file.
    virtual Result<std::optional<std::string>, ControlStoreError> read(const std::string &name, std::int64_t offset,
                                                                       std::size_t maxBytes)
        = 0;
    /// Appends bytes without syncing. After Full or Failed, a part of the bytes may have been appended.
    virtual DiskOutcome append(const std::string &name, const std::string &bytes) = 0;
    /// Makes all appended bytes durable. After Full or Failed they must be truncated and appended again, since a later
    /// successful sync does not mean that they are durable.
    virtual DiskOutcome sync(const std::string &name) = 0;
    /// Truncates a file to a size, durably.
    virtual DiskOutcome truncate(const std::string &name, std::int64_t size) = 0;
    /// Creates or replaces a whole file, atomically and durably.
    virtual DiskOutcome replace(const std::string &name, const std::string &bytes) = 0;
    /// Returns the free space in bytes.
    virtual std::int64_t freeBytes() const = 0;
};

/// A folder of the file system, locked against other processes.
class FileDisk : public DiskI
{
public:
    /// Creates the folder if it does not exist. Fails if another process has locked the folder.
    static Result<std::unique_ptr<FileDisk>, ControlStoreError> open(const std::string &folder);
    ~FileDisk() override;
    FileDisk(const FileDisk &) = delete;
    FileDisk &operator=(const FileDisk &) = delete;

    Result<std::optional<std::string>, ControlStoreError> read(const std::string &name, std::int64_t offset,
                                                               std::size_t maxBytes) override;
    DiskOutcome append(const std::string &name, const std::string &bytes) override;
    DiskOutcome sync(const std::string &name) override;
    DiskOutcome truncate(const std::string &name, std::int64_t size) override;
    DiskOutcome replace(const std::string &name, const std::string &bytes) override;
    std::int64_t freeBytes() const override;

private:
    FileDisk(std::string folder, int lockDescriptor);
    std::string path(const std::string &name) const;
    int appendDescriptor(const std::string &name);
    void closeAppendDescriptor(const std::string &name);
    DiskOutcome syncFolder() const;

    std::string folder;
    int lockDescriptor;
    std::map<std::string, int> appendDescriptors; ///< file descriptors that are open for appending, by file name
};

} // namespace agatedrum
