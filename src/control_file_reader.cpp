#include "control_file_reader_p.h"

#include <algorithm>
#include <utility>

namespace agatedrum {

namespace {

constexpr std::size_t blockBytes = 1024UL * 1024;

} // namespace

ControlFileReader::ControlFileReader(DiskI &disk, std::string name)
    : disk(disk)
    , name(std::move(name))
{
}

Result<std::string_view, ControlStoreError> ControlFileReader::view(std::int64_t offset, std::size_t count)
{
    const auto blockEnd = this->blockOffset + static_cast<std::int64_t>(this->block.size());
    const bool isInBlock = offset >= this->blockOffset && offset <= blockEnd
        && (this->isLastBlock || offset + static_cast<std::int64_t>(count) <= blockEnd);
    if (!isInBlock) {
        const auto wanted = std::max(count, blockBytes);
        std::string().swap(this->block); // frees the previous block before the next one is read
        auto read = this->disk.read(this->name, offset, wanted);
        if (!isOk(read)) {
            return error(read);
        }
        this->block = takeValue(std::move(read)).value_or(std::string());
        this->blockOffset = offset;
        this->isLastBlock = this->block.size() < wanted;
    }
    return std::string_view(this->block).substr(static_cast<std::size_t>(offset - this->blockOffset), count);
}

} // namespace agatedrum
