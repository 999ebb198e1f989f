#include "base_clock_p.h"

#include <ctime>

namespace agatedrum {

namespace {

Micros readClock(clockid_t id)
{
    timespec timeSpec {};
    clock_gettime(id, &timeSpec);
    return std::chrono::seconds(timeSpec.tv_sec) + Micros(timeSpec.tv_nsec / 1000);
}

} // namespace

Time SystemClock::now() const
{
    return Time(readClock(CLOCK_BOOTTIME));
}

std::int64_t SystemClock::wallMs() const
{
    return readClock(CLOCK_REALTIME).count() / 1000;
}

} // namespace agatedrum
