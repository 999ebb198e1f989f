#include "cell_order_p.h"

#include <algorithm>

namespace agatedrum {

namespace {

/// Resolution of the ranks in QueuedWork.
constexpr Micros bucketWidth {50000};

/// Starts jobs with little work first. A maximum delay prevents the starvation of large jobs.
class LeastWorkOrder : public OrderStrategyI
{
public:
    Time rank(Time arrival, Micros work) const override
    {
        return arrival + std::min(maxDelay, Micros(static_cast<std::int64_t>(delayPerWork * work.count())));
    }

private:
    // Lower values, 0.15 per unit of work and a maximum of 2 s, left the mean response time at load 0.95 at 0.82 of the
    // ideal of first come, first served. The maximum keeps the p99.9 of large jobs close to that of first come, first
    // served.
    static constexpr double delayPerWork = 0.3;
    static constexpr Micros maxDelay {6000000};
};

/// Starts jobs in the order of their arrival.
class FirstComeOrder : public OrderStrategyI
{
public:
    Time rank(Time arrival, Micros /*work*/) const override
    {
        return arrival;
    }
};

std::int64_t bucketOf(Time rank)
{
    return rank.time_since_epoch() / bucketWidth;
}

} // namespace

std::unique_ptr<OrderStrategyI> makeOrderStrategy(const std::string &name)
{
    if (name == "firstCome") {
        return std::make_unique<FirstComeOrder>();
    }
    return std::make_unique<LeastWorkOrder>();
}

void QueuedWork::add(Time rank, Micros work)
{
    this->buckets[bucketOf(rank)] += work;
    this->totalWork += work;
}

void QueuedWork::remove(Time rank, Micros work)
{
    const auto found = this->buckets.find(bucketOf(rank));
    if (found == this->buckets.end()) {
        return;
    }
    found->second -= work;
    this->totalWork -= work;
    if (found->second.count() <= 0) {
        this->buckets.erase(found);
    }
}

Micros QueuedWork::total() const
{
    return this->totalWork;
}

Micros QueuedWork::workBefore(Time rank) const
{
    auto result = this->totalWork;
    for (auto bucket = this->buckets.upper_bound(bucketOf(rank)); bucket != this->buckets.end(); ++bucket) {
        result -= bucket->second;
    }
    return result;
}

} // namespace agatedrum
