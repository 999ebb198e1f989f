#pragma once

#include <chrono>
#include <cstdint>

namespace agatedrum {

/// Monotonic clock that keeps counting while the machine is suspended, so that a lease can expire during a suspend.
struct BootClock
{
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)
};

/// Time point on the monotonic clock. A default-constructed value is earlier than any time that the clock returns.
using Time = BootClock::time_point;
using Micros = std::chrono::microseconds;
using Millis = std::chrono::milliseconds;

/// Converts to whole milliseconds, rounded toward zero.
inline std::int64_t toMillis(Micros time)
{
    return std::chrono::duration_cast<Millis>(time).count();
}

/// Interface of a time source. Implementations are thread-safe.
struct ClockI
{
    virtual ~ClockI() = default;
    /// Returns the current monotonic time.
    virtual Time now() const = 0;
    /// Returns the wall clock time in milliseconds since the Unix epoch.
    virtual std::int64_t wallMs() const = 0;
};

/// Reads the operating system's clocks: CLOCK_BOOTTIME for now(), CLOCK_REALTIME for wallMs().
class SystemClock : public ClockI
{
public:
    Time now() const override;
    std::int64_t wallMs() const override;
};

/// Clock for tests that changes only through advance(). Not thread-safe.
class ManualClock : public ClockI
{
public:
    Time now() const override
    {
        return this->currentTime;
    }
    std::int64_t wallMs() const override
    {
        return this->currentWallMs;
    }
    void advance(Micros step)
    {
        this->currentTime += step;
        this->currentWallMicros += step.count();
        this->currentWallMs = this->currentWallMicros / 1000;
    }

private:
    Time currentTime {std::chrono::hours(1)};
    std::int64_t currentWallMicros = 1700000000000000;
    std::int64_t currentWallMs = 1700000000000;
};

} // namespace agatedrum
