#pragma once

#include <cstdint>

namespace agatedrum {

/// Returns the number that identifies a process among all that have had its name. Thread-safe.
///
/// It rises with the wall clock at the start. The wall clock may be set back by the time between two starts, so random
/// bits make both numbers differ.
/// @param wallMs wall clock at the start of the process, in milliseconds since the Unix epoch; not negative
/// @param random random number; its lowest 20 bits are used
std::int64_t makeIncarnation(std::int64_t wallMs, std::uint32_t random);

/// Does the same with a random number of the operating system.
std::int64_t makeIncarnation(std::int64_t wallMs);

} // namespace agatedrum
