#include "overload_policy_p.h"

#include "host_resources_p.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace agatedrum {

namespace {

/// Callers of interactive jobs wait for one to two seconds; a task that was deferred for a longer part of that would
/// seldom end before the deadline.
constexpr Millis maxDeferral {400};
/// Bounds the time of a decision. Claims beyond this number are served in the plain order.
constexpr std::size_t maxConsidered = 64;
/// Bounds the capacity that less urgent tasks lose, also if the urgent ones cease.
constexpr int maxKeptDivisor = 8;
/// Time constant of the mean use. Longer than the pauses between urgent tasks, shorter than a burst.
constexpr Micros meanUseTime = Millis(2000);
/// Less urgent ones count as this priority.
constexpr std::size_t maxPriority = 7;

/// Simulates when capacity becomes free.
class CapacityTimeline
{
public:
    explicit CapacityTimeline(const CapacityForecast &forecast)
        : free(forecast.capacity)
    {
        for (const auto &task : forecast.reserving) {
            this->free = minus(this->free, task.demand);
            this->releases.push_back(task);
        }
        std::make_heap(this->releases.begin(), this->releases.end(), isLater);
    }

    /// Returns when the demand fits, not before any earlier answer.
    Micros advanceUntilFits(const wire::Resources &demand)
    {
        while (!fits(demand, this->free) && !this->releases.empty()) {
            std::pop_heap(this->releases.begin(), this->releases.end(), isLater);
            this->time = std::max(this->time, this->releases.back().remaining);
            this->free = plus(this->free, this->releases.back().demand);
            this->releases.pop_back();
        }
        return this->time;
    }
    /// Starts a task at the time of the last answer.
    void start(const wire::Resources &demand, Micros runTime)
    {
        this->free = minus(this->free, demand);
        this->releases.push_back({demand, this->time + runTime});
        std::push_heap(this->releases.begin(), this->releases.end(), isLater);
    }

private:
    static bool isLater(const ReservingTask &a, const ReservingTask &b)
    {
        return a.remaining > b.remaining;
    }

    wire::Resources free;
    std::vector<ReservingTask> releases; ///< min-heap: the earliest release first
    Micros time {0};
};

double workOf(const CapacityClaim &claim)
{
    return static_cast<double>(claim.demand.cpuMillis) * static_cast<double>(claim.expectedRunTime.count());
}

/// Returns the index of the first claim that would start too late, or the number of claims.
std::size_t firstLate(const std::vector<CapacityClaim> &claims, const CapacityForecast &forecast, Time now)
{
    CapacityTimeline timeline(forecast);
    for (std::size_t i = 0; i < claims.size(); ++i) {
        if (now + timeline.advanceUntilFits(claims[i].demand) > claims[i].latestStart) {
            return i;
        }
        timeline.start(claims[i].demand, claims[i].expectedRunTime);
    }
    return claims.size();
}

/// Returns which of the claims up to the late one to defer: see priorityPolicy.
std::size_t claimToDefer(const std::vector<CapacityClaim> &claims, std::size_t late, const CapacityForecast &forecast,
                         Time now)
{
    if (now + expectedStartDelay(forecast, {}, claims[late].demand) > claims[late].latestStart) {
        return late; // the running tasks end too late for it; deferring others would not help
    }
    auto best = late;
    for (std::size_t i = 0; i < late; ++i) {
        const auto &claim = claims[i];
        if (claim.priority <= claims[late].priority || now - claim.waitingSince >= maxDeferral) {
            continue;
        }
        const bool isBetter = best == late || claim.priority > claims[best].priority
            || (claim.priority == claims[best].priority && workOf(claim) > workOf(claims[best]));
        best = isBetter ? i : best;
    }
    return best;
}

bool precedesWhenDeferred(const CapacityClaim &a, const CapacityClaim &b)
{
    return std::tie(a.priority, a.latestStart) < std::tie(b.priority, b.latestStart);
}

ClaimOrder orderByDeadline(const std::vector<CapacityClaim> &claims, const CapacityForecast & /*forecast*/, Time now)
{
    ClaimOrder order;
    for (const auto &claim : claims) {
        (claim.latestStart < now ? order.deferred : order.onTime).push_back(claim);
    }
    return order;
}

std::vector<CapacityClaim> aheadByDeadline(const std::vector<CapacityClaim> &claims, int /*priority*/, Time now)
{
    return orderByDeadline(claims, {}, now).onTime;
}

std::int64_t keepNothing(const CapacityForecast & /*forecast*/, int /*priority*/)
{
    return 0;
}

std::int64_t keptForUrgent(const CapacityForecast &forecast, int priority)
{
    std::int64_t unused = 0;
    for (std::size_t each = 0; each < forecast.meanCpuMillis.size() && static_cast<int>(each) < priority; ++each) {
        unused += forecast.meanCpuMillis[each];
    }
    for (const auto &task : forecast.reserving) {
        unused -= task.priority < priority ? task.demand.cpuMillis : 0;
    }
    return std::clamp<std::int64_t>(unused, 0, std::max<std::int64_t>(0, forecast.capacity.cpuMillis / maxKeptDivisor));
}

bool givesUpNever(const CapacityClaim & /*claim*/, Time /*now*/)
{
    return false;
}

ClaimOrder orderByPriority(const std::vector<CapacityClaim> &claims, const CapacityForecast &forecast, Time now)
{
    ClaimOrder order;
    std::vector<CapacityClaim> rest;
    for (const auto &claim : claims) {
        const bool isConsidered = order.onTime.size() < maxConsidered;
        (claim.latestStart < now ? order.deferred : isConsidered ? order.onTime : rest).push_back(claim);
    }
    for (auto late = firstLate(order.onTime, forecast, now); late < order.onTime.size();
         late = firstLate(order.onTime, forecast, now)) {
        const auto index = static_cast<std::ptrdiff_t>(claimToDefer(order.onTime, late, forecast, now));
        order.deferred.push_back(order.onTime[static_cast<std::size_t>(index)]);
        order.onTime.erase(order.onTime.begin() + index);
    }
    std::stable_sort(order.deferred.begin(), order.deferred.end(), precedesWhenDeferred);
    order.onTime.insert(order.onTime.end(), rest.begin(), rest.end());
    return order;
}

std::vector<CapacityClaim> aheadByPriority(const std::vector<CapacityClaim> &claims, int priority, Time now)
{
    std::vector<CapacityClaim> ahead;
    std::copy_if(claims.begin(), claims.end(), std::back_inserter(ahead), [priority, now](const CapacityClaim &claim) {
        return claim.latestStart >= now && (claim.priority <= priority || now - claim.waitingSince >= maxDeferral);
    });
    return ahead;
}

/// Returns true if the task cannot end before the caller's deadline even if it starts now. Estimates are rough, so a
/// task that would just miss it is not hopeless.
bool isHopeless(const CapacityClaim &claim, Time now)
{
    return now + claim.expectedRunTime / estimateTolerance > claim.deadline;
}

} // namespace

const OverloadPolicy deadlinePolicy {&orderByDeadline, &aheadByDeadline, &givesUpNever, &keepNothing, false};
const OverloadPolicy priorityPolicy {&orderByPriority, &aheadByPriority, &isHopeless, &keptForUrgent, true};

void PriorityUse::observe(const std::vector<ReservingTask> &reserving, Time now)
{
    std::vector<double> use;
    for (const auto &task : reserving) {
        const auto priority = std::min(maxPriority, static_cast<std::size_t>(std::max(0, task.priority)));
        use.resize(std::max(use.size(), priority + 1));
        use[priority] += static_cast<double>(task.demand.cpuMillis);
    }
    const auto elapsed = this->observedAt == Time {} ? Micros(0) : now - this->observedAt;
    this->observedAt = now;
    const auto weight = std::min(1.0, static_cast<double>(elapsed.count()) / static_cast<double>(meanUseTime.count()));
    this->mean.resize(std::max(this->mean.size(), use.size()));
    use.resize(this->mean.size());
    for (std::size_t i = 0; i < use.size(); ++i) {
        this->mean[i] += weight * (use[i] - this->mean[i]);
    }
}

std::vector<std::int64_t> PriorityUse::meanCpuMillis() const
{
    return {this->mean.begin(), this->mean.end()};
}

wire::Resources withKept(wire::Resources demand, std::int64_t keptCpuMillis)
{
    demand.cpuMillis += keptCpuMillis;
    return demand;
}

bool startsBefore(const CapacityClaim &a, const CapacityClaim &b)
{
    return std::tie(a.latestStart, a.priority) < std::tie(b.latestStart, b.priority);
}

wire::Resources freeResources(const CapacityForecast &forecast)
{
    auto free = forecast.capacity;
    for (const auto &task : forecast.reserving) {
        free = minus(free, task.demand);
    }
    return free;
}

Micros expectedStartDelay(const CapacityForecast &forecast, const std::vector<CapacityClaim> &claims,
                          const wire::Resources &demand)
{
    CapacityTimeline timeline(forecast);
    for (const auto &claim : claims) {
        timeline.advanceUntilFits(claim.demand);
        timeline.start(claim.demand, claim.expectedRunTime);
    }
    return timeline.advanceUntilFits(demand);
}

} // namespace agatedrum
