#pragma once

#include "soak_connection.h"

#include <cstdint>
#include <vector>

namespace agatedrum::test {

/// Capacity of an executor over time, in thousandths of a core. Not thread-safe.
class SoakCapacity
{
public:
    /// Time for which a larger earlier capacity still counts: the platform's ContactMs and the interval of one report.
    static constexpr SoakMillis shrinkTime {3000 + 1500};

    SoakCapacity(std::int64_t cpuMillis, SoakTime at)
        : changes({{at, cpuMillis}})
    {
    }

    /// Precondition: at is not before the last change.
    void change(std::int64_t cpuMillis, SoakTime at)
    {
        this->changes.push_back({at, cpuMillis});
    }
    std::int64_t current() const
    {
        return this->changes.back().cpuMillis;
    }
    /// Returns the most that may be in use after a start at the given time.
    std::int64_t limitAt(SoakTime at) const
    {
        std::int64_t limit = 0;
        for (std::size_t i = 0; i < this->changes.size() && this->changes[i].at <= at; ++i) {
            const bool isLast = i + 1 == this->changes.size();
            if (isLast || this->changes[i + 1].at + shrinkTime > at) {
                limit = std::max(limit, this->changes[i].cpuMillis);
            }
        }
        return limit;
    }

private:
    struct Change
    {
        SoakTime at;
        std::int64_t cpuMillis = 0;
    };
    std::vector<Change> changes; ///< by time; at least one
};

} // namespace agatedrum::test
