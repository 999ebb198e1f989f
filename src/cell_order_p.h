#pragma once

#include "base_clock_p.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace agatedrum {

/// Strategy that orders the jobs of one team. Immutable.
struct OrderStrategyI
{
    virtual ~OrderStrategyI() = default;
    /// Returns the rank of a job. The job with the lowest rank starts first. A rank is at least arrival and at
    /// most arrival + 6 s.
    /// @param work sum of the expected run times of the job's remaining tasks.
    virtual Time rank(Time arrival, Micros work) const = 0;
};

/// Creates a strategy.
/// @param name leastWork or firstCome; any other name selects leastWork.
std::unique_ptr<OrderStrategyI> makeOrderStrategy(const std::string &name);

/// Total expected run time of the queued tasks, grouped by the rank of their jobs. Ranks are rounded down to 50 ms.
/// Not thread-safe.
class QueuedWork
{
public:
    void add(Time rank, Micros work);
    /// Precondition: the same work was added before with the same rank.
    void remove(Time rank, Micros work);
    Micros total() const;
    /// Returns the work of jobs with the same or a lower rank. The cost grows with the time between rank and the
    /// highest rank, not with the length of the queue.
    Micros workBefore(Time rank) const;

private:
    std::map<std::int64_t, Micros> buckets; ///< work by rank in units of 50 ms
    Micros totalWork {0};
};

} // namespace agatedrum
