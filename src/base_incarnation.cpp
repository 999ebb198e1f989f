#include "base_incarnation_p.h"

#include <random>

namespace agatedrum {

namespace {

constexpr std::int64_t randomRange = std::int64_t {1} << 20; ///< the product with the time does not overflow until 2248

} // namespace

std::int64_t makeIncarnation(std::int64_t wallMs, std::uint32_t random)
{
    return wallMs * randomRange + random % randomRange;
}

std::int64_t makeIncarnation(std::int64_t wallMs)
{
    std::random_device device;
    return makeIncarnation(wallMs, device());
}

} // namespace agatedrum
