#include "host_core_p.h"

#include <algorithm>

namespace agatedrum {

namespace {

constexpr std::int64_t maxFenceStep = std::int64_t {1} << 40;

} // namespace

HostCore::OrderContext HostCore::orderContext() const
{
    return {this->instanceName(), this->fence};
}

void HostCore::updateClock(std::int64_t newClockMs)
{
    if (newClockMs > 0) {
        this->serverClockMs = newClockMs;
        this->serverClockReadAt = this->clock.now();
    }
}

std::int64_t HostCore::serverClock(Time at) const
{
    return this->serverClockMs + std::chrono::duration_cast<Millis>(at - this->serverClockReadAt).count();
}

void HostCore::raiseFence(std::int64_t step)
{
    // The sum of start time and clock rises over the instances of a backend server, whose clocks start anew.
    const auto serverTime = this->registered->server.startedAtMs + this->serverClock(this->clock.now());
    this->fence = std::max(this->fence + step, serverTime);
    this->mustRaiseFence = false;
}

void HostCore::onFenced(const OrderContext &context)
{
    if (context.fence != this->fence) {
        return; // a newer order of this process overtook it
    }
    this->raiseFence(this->fenceStep);
    this->fenceStep = std::min(2 * this->fenceStep, maxFenceStep); // the refusal does not tell the token in use
    this->hasOnlyOwnRuns = false;
}

Time HostCore::leaseLimit(Time now) const
{
    auto limit = now + this->options.taskLease;
    for (const auto &[id, task] : this->tasks) {
        // A waiting task counts as well: a lease never shortens, so its run would inherit a longer one.
        if (task.phase != Phase::ServerReplaced) {
            const auto entryLimit = this->entries.leaseEnd(task.entry) + this->options.leaseTerms.expiryStopTime();
            limit = std::min({limit, entryLimit, task.mustEndBy.value_or(limit)});
        }
    }
    return limit;
}

std::int64_t HostCore::grantLease(Time limit)
{
    const auto now = this->clock.now();
    const auto longest = (limit - now) * (100 + maxServerClockDriftPercent) / 100 + maxServerStopTime;
    this->leaseGrantedUntil = std::max(this->leaseGrantedUntil, now + longest);
    return this->serverClock(limit);
}

} // namespace agatedrum
