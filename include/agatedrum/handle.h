#pragma once

#include <cstdint>

namespace agatedrum {

/// Typed integer handle with an invalid value. Safe to copy between threads.
/// @tparam Tag makes handles of different kinds different types.
template<typename Tag>
struct Handle
{
    static constexpr std::int32_t Invalid = -1;

    std::int32_t index = Invalid;

    constexpr bool isValid() const
    {
        return this->index != Invalid;
    }
    friend constexpr bool operator==(Handle a, Handle b)
    {
        return a.index == b.index;
    }
    friend constexpr bool operator!=(Handle a, Handle b)
    {
        return a.index != b.index;
    }
    friend constexpr bool operator<(Handle a, Handle b)
    {
        return a.index < b.index;
    }
};

using CellHandle = Handle<struct CellTag>;

} // namespace agatedrum
