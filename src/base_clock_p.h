#pragma once

#include <chrono>
#include <cstdint>

namespace agatedrum {

/// Clock that goes on while the machine sleeps, so that a lease is expired after a suspend.
struct BootClock
{
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)
};

/// Point on the monotonic clock. The default value lies before any real reading.
using Time = BootClock::time_point;
using Micros = std::chrono::microseconds;
using Millis = std::chrono::milliseconds;

/// Whole milliseconds, cut.
inline std::int64_t toMillis(Micros time)
{
    return std::chrono::duration_cast<Millis>(time).count();
}

/// Source of time. Implementations are thread-safe.
struct ClockI
{
    virtual ~ClockI() = default;
    /// Monotonic time.
    virtual Time now() const = 0;
    /// Wall clock in milliseconds since 1970.
    virtual std::int64_t wallMs() const = 0;
};

/// The machine's clocks.
class SystemClock : public ClockI
{
public:
    Time now() const override;
    std::int64_t wallMs() const override;
};

/// Clock that moves only when told to. For tests on one thread.
class ManualClock : public ClockI
{
public:
    Time now() const override
    {
        return this->current;
    }
    std::int64_t wallMs() const override
    {
        return this->wall;
    }
    void advance(Micros step)
    {
        this->current += step;
        this->wallMicros += step.count();
        this->wall = this->wallMicros / 1000;
    }

private:
    Time current {std::chrono::hours(1)};
    std::int64_t wallMicros = 1700000000000000;
    std::int64_t wall = 1700000000000;
};

} // namespace agatedrum
