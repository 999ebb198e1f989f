#include "host_ramp_p.h"

#include <algorithm>

namespace agatedrum {

namespace {

constexpr double firstShare = 0.25;

} // namespace

HostRamp::HostRamp(Millis duration)
    : duration(duration)
{
}

void HostRamp::begin(Time now)
{
    this->startedAt = now;
}

void HostRamp::cancel()
{
    this->startedAt.reset();
}

Micros HostRamp::remaining(Time now) const
{
    return this->startedAt ? std::max<Micros>(Micros(0), *this->startedAt + this->duration - now) : Micros(0);
}

wire::Resources HostRamp::withheld(const wire::Resources &capacity, Time now) const
{
    wire::Resources result;
    const auto left = this->remaining(now);
    if (left > Micros(0)) {
        const auto leftShare = static_cast<double>(left.count()) / static_cast<double>(Micros(this->duration).count());
        result.cpuMillis
            = static_cast<std::int64_t>(static_cast<double>(capacity.cpuMillis) * (1 - firstShare) * leftShare);
    }
    return result;
}

} // namespace agatedrum
