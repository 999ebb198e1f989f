#include "control_disk_p.h"

#include <fmt/format.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <sys/file.h>
#include <sys/stat.h>
#include <sys/statvfs.h>
#include <unistd.h>
#include <utility>

namespace agatedrum {

namespace {

DiskOutcome outcomeFromErrno(int code, const std::string &context)
{
    if (code == 0) {
        return {};
    }
    const auto status = code == ENOSPC || code == EDQUOT ? DiskStatus::Full : DiskStatus::Failed;
    return {status, fmt::format("{}: {}", context, std::strerror(code))};
}

DiskOutcome writeAll(int descriptor, const std::string &bytes, const std::string &context)
{
    for (std::size_t done = 0; done < bytes.size();) {
        const auto count = ::write(descriptor, bytes.data() + done, bytes.size() - done);
        if (count == 0) {
            return {DiskStatus::Failed, context + ": no bytes were written"};
        }
        if (count < 0 && errno != EINTR) {
            return outcomeFromErrno(errno, context);
        }
        done += count > 0 ? static_cast<std::size_t>(count) : 0;
    }
    return {};
}

} // namespace

std::string ControlStoreError::text() const
{
    return fmt::format("{} at offset {}: {}", this->file, this->offset, this->message);
}

Result<std::unique_ptr<FileDisk>, ControlStoreError> FileDisk::open(const std::string &folder)
{
    std::error_code code;
    std::filesystem::create_directories(folder, code);
    if (code) {
        return ControlStoreError {folder, 0, "cannot create the data folder: " + code.message()};
    }
    const auto path = folder + "/lock";
    const int lockDescriptor = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644);
    if (lockDescriptor < 0) {
        return ControlStoreError {path, 0, std::strerror(errno)};
    }
    if (::flock(lockDescriptor, LOCK_EX | LOCK_NB) != 0) {
        ::close(lockDescriptor);
        return ControlStoreError {path, 0, "another process uses this data folder"};
    }
    return std::unique_ptr<FileDisk>(new FileDisk(folder, lockDescriptor));
}

FileDisk::FileDisk(std::string folder, int lockDescriptor)
    : folder(std::move(folder))
    , lockDescriptor(lockDescriptor)
{
}

FileDisk::~FileDisk()
{
    for (const auto &[name, descriptor] : this->appendDescriptors) {
        ::close(descriptor);
    }
    ::close(this->lockDescriptor);
}

std::string FileDisk::path(const std::string &name) const
{
    return this->folder + "/" + name;
}

int FileDisk::appendDescriptor(const std::string &name)
{
    const auto found = this->appendDescriptors.find(name);
    if (found != this->appendDescriptors.end()) {
        return found->second;
    }
    const int descriptor = ::open(this->path(name).c_str(), O_WRONLY | O_APPEND | O_CLOEXEC);
    if (descriptor >= 0) {
        this->appendDescriptors[name] = descriptor;
    }
    return descriptor;
}

void FileDisk::closeAppendDescriptor(const std::string &name)
{
    const auto found = this->appendDescriptors.find(name);
    if (found != this->appendDescriptors.end()) {
        ::close(found->second);
        this->appendDescriptors.erase(found);
    }
}

Result<std::optional<std::string>, ControlStoreError> FileDisk::read(const std::string &name, std::int64_t offset,
                                                                     std::size_t maxBytes)
{
    const auto path = this->path(name);
    const int descriptor = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
    if (descriptor < 0) {
        if (errno == ENOENT) {
            return std::optional<std::string>();
        }
        return ControlStoreError {path, 0, std::strerror(errno)};
    }
    struct stat info = {};
    int code = ::fstat(descriptor, &info) == 0 ? 0 : errno;
    const auto available = static_cast<std::size_t>(std::max<std::int64_t>(0, info.st_size - offset));
    std::string content(code == 0 ? std::min(maxBytes, available) : 0, '\0');
    std::size_t done = 0;
    while (code == 0 && done < content.size()) {
        const auto count = ::pread(descriptor, content.data() + done, content.size() - done,
                                   static_cast<off_t>(offset + static_cast<std::int64_t>(done)));
        if (count == 0) {
            break;
        }
        code = count < 0 && errno != EINTR ? errno : 0;
        done += count > 0 ? static_cast<std::size_t>(count) : 0;
    }
    ::close(descriptor);
    if (code != 0) {
        return ControlStoreError {path, offset + static_cast<std::int64_t>(done), std::strerror(code)};
    }
    content.resize(done);
    return std::make_optional(std::move(content));
}

DiskOutcome FileDisk::append(const std::string &name, const std::string &bytes)
{
    const int descriptor = this->appendDescriptor(name);
    return descriptor < 0 ? outcomeFromErrno(errno, this->path(name)) : writeAll(descriptor, bytes, this->path(name));
}

DiskOutcome FileDisk::sync(const std::string &name)
{
    const int descriptor = this->appendDescriptor(name);
    return descriptor < 0 || ::fdatasync(descriptor) != 0 ? outcomeFromErrno(errno, this->path(name)) : DiskOutcome {};
}

DiskOutcome FileDisk::truncate(const std::string &name, std::int64_t size)
{
    const int descriptor = this->appendDescriptor(name);
    if (descriptor < 0 || ::ftruncate(descriptor, size) != 0 || ::fsync(descriptor) != 0) {
        return outcomeFromErrno(errno, this->path(name));
    }
    return {};
}

DiskOutcome FileDisk::replace(const std::string &name, const std::string &bytes)
{
    const auto temporary = this->path(name) + ".new";
    const int descriptor = ::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
    if (descriptor < 0) {
        return outcomeFromErrno(errno, temporary);
    }
    auto outcome = writeAll(descriptor, bytes, temporary);
    if (outcome.status == DiskStatus::Ok && ::fsync(descriptor) != 0) {
        outcome = outcomeFromErrno(errno, temporary);
    }
    ::close(descriptor);
    if (outcome.status != DiskStatus::Ok) {
        ::unlink(temporary.c_str());
        return outcome;
    }
    if (::rename(temporary.c_str(), this->path(name).c_str()) != 0) {
        outcome = outcomeFromErrno(errno, temporary);
        ::unlink(temporary.c_str());
        return outcome;
    }
    this->closeAppendDescriptor(name);
    return this->syncFolder();
}

DiskOutcome FileDisk::syncFolder() const
{
    const int descriptor = ::open(this->folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (descriptor < 0) {
        return outcomeFromErrno(errno, this->folder);
    }
    const int code = ::fsync(descriptor) == 0 ? 0 : errno;
    ::close(descriptor);
    return outcomeFromErrno(code, this->folder);
}

std::int64_t FileDisk::freeBytes() const
{
    struct statvfs info = {};
    if (::statvfs(this->folder.c_str(), &info) != 0) {
        return 0;
    }
    return static_cast<std::int64_t>(info.f_bavail) * static_cast<std::int64_t>(info.f_frsize);
}

} // namespace agatedrum
