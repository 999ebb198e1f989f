#pragma once

#include "base_clock_p.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace agatedrum {

/// Order of the jobs of one team. Immutable.
struct OrderStrategyI
{
    virtual ~OrderStrategyI() = default;
    /// Rank of a job; the lowest rank goes first. At least arrival, at most arrival + 6 s.
    /// @param work expected run time of all tasks that are left.
    virtual Time rank(Time arrival, Micros work) const = 0;
};

/// @param name leastWork or firstCome; any other name gives leastWork.
std::unique_ptr<OrderStrategyI> makeOrderStrategy(const std::string &name);

/// Expected work of the queued tasks by the rank of their jobs. Not thread-safe.
class QueuedWork
{
public:
    void add(Time rank, Micros work);
    /// Precondition: the same rank and work were added before.
    void remove(Time rank, Micros work);
    Micros total() const;
    /// Work with a lower rank. The cost grows with the time between rank and the highest rank, not with the queue.
    Micros ahead(Time rank) const;

private:
    std::map<std::int64_t, Micros> buckets;
    Micros sum {0};
};

} // namespace agatedrum
