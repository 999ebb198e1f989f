#pragma once

#include "agatedrum/result.h"
#include "control_disk_p.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace agatedrum {

/// Reads a file of a disk in blocks, so that only the part in use is in memory. Not thread-safe.
class ControlFileReader
{
public:
    /// Precondition: the disk outlives the reader, and the file doesn't change while it is read.
    ControlFileReader(DiskI &disk, std::string name);

    /// Returns the bytes from the offset on, fewer than the count only at the end of the file. A missing file counts as
    /// empty. The view is valid until the next call.
    Result<std::string_view, ControlStoreError> view(std::int64_t offset, std::size_t count);

private:
    DiskI &disk;
    const std::string name;
    std::string block; ///< the part of the file in memory
    std::int64_t blockOffset = 0;
    bool isLastBlock = false; ///< whether the block reaches the end of the file
};

} // namespace agatedrum
