#include "cell_scheduler_state_p.h"

#include <fmt/format.h>

#include <algorithm>

namespace agatedrum {

namespace {

/// Retry delay if it is unknown when the job would be accepted.
constexpr std::int64_t defaultRetryDelayMs = 1000;
constexpr std::int64_t minRetryDelayMs = 50;
constexpr std::int64_t maxRetryDelayMs = 60000;
/// Time without a usable backend server after which a cell refuses jobs.
constexpr Millis noServerGracePeriod {5000};
/// Safety margin on the expected wait, in percent. Without it, 10% of the jobs admitted at load 1.5 in first-come order
/// missed their deadline.
constexpr int waitMarginPercent = 15;

std::int64_t msOf(Micros time)
{
    return std::chrono::duration_cast<Millis>(time).count();
}

wire::Refusal refusalOf(wire::RefusalCode::type code, std::string message, Micros retryAfter)
{
    wire::Refusal refusal;
    refusal.code = code;
    refusal.message = std::move(message);
    refusal.notRun = true;
    refusal.retryAfterMs = retryAfter.count() > 0 ? std::clamp(msOf(retryAfter), minRetryDelayMs, maxRetryDelayMs) : 0;
    return refusal;
}

} // namespace

std::optional<wire::Refusal> CellScheduler::Impl::refuseNeverRunnable(const ScheduledJob &job, int team) const
{
    const auto code = wire::RefusalCode::NEVER_RUNNABLE;
    if (!this->teams.isKnown(job.team)) {
        return refusalOf(wire::RefusalCode::UNKNOWN_TEAM, fmt::format("team {} is not in the configuration", job.team),
                         Micros(0));
    }
    if (job.declared.size() > static_cast<std::size_t>(this->serviceConfig.maxQueuedTasks)) {
        return refusalOf(code,
                         fmt::format("the job has {} tasks, and service {} queues at most {} tasks per cell",
                                     job.declared.size(), this->service, this->serviceConfig.maxQueuedTasks),
                         Micros(0));
    }
    const auto longestTask = std::max_element(job.declared.begin(), job.declared.end());
    if (longestTask == job.declared.end()) {
        return std::nullopt;
    }
    // Declared run times may be far off. A job is refused only if the errors of the team's earlier declarations can't
    // explain the excess.
    const auto minRunMicros
        = this->minRelativeSlowness * static_cast<double>(this->teams.sizes(team).lowQuantile(*longestTask).count());
    if (minRunMicros > static_cast<double>(Micros(this->serviceConfig.maxTaskTime).count())) {
        return refusalOf(
            code,
            fmt::format("task {} declares {} ms and is estimated to need at least {:.0f} ms on the fastest "
                        "backend server, but service {} stops a task after {} ms",
                        longestTask - job.declared.begin(), msOf(*longestTask), minRunMicros / 1000, this->service,
                        this->serviceConfig.maxTaskTime.count()),
            Micros(0));
    }
    return std::nullopt;
}

std::optional<wire::Refusal> CellScheduler::Impl::refuseOverLimits(const ScheduledJob &job, int team, Time now)
{
    const auto limit = static_cast<std::size_t>(this->serviceConfig.maxQueuedTasks);
    if (this->queuedCount + job.declared.size() > limit) {
        const double meanRunMicros = static_cast<double>(this->queuedWork.total().count())
            / static_cast<double>(std::max<std::size_t>(1, this->queuedCount));
        const auto excessTasks = static_cast<double>(this->queuedCount + job.declared.size() - limit);
        const double wait
            = this->capacity > 0 ? excessTasks * meanRunMicros / this->capacity : defaultRetryDelayMs * 1000.0;
        return refusalOf(wire::RefusalCode::QUEUE_FULL,
                         fmt::format("the queue has {} of at most {} tasks, and the job has {} tasks",
                                     this->queuedCount, limit, job.declared.size()),
                         Micros(1 + static_cast<std::int64_t>(wait)));
    }
    if (const auto quota = this->teams.check(team, job.declared.size(), now)) {
        return refusalOf(quota->isPermanent ? wire::RefusalCode::NEVER_RUNNABLE : wire::RefusalCode::QUOTA,
                         quota->message, quota->retryAfter);
    }
    if (this->noServerSince && now - *this->noServerSince > noServerGracePeriod) {
        return refusalOf(wire::RefusalCode::QUEUE_FULL,
                         fmt::format("no backend server of service {} has been available for {} ms", this->service,
                                     msOf(now - *this->noServerSince)),
                         Millis(defaultRetryDelayMs));
    }
    return std::nullopt;
}

CellScheduler::Impl::Forecast CellScheduler::Impl::forecast(const ScheduledJob &job, int team, Time now) const
{
    Micros work {0};
    Micros longest {0};
    for (const auto declared : job.declared) {
        const auto expected = this->teams.sizes(team).mean(declared);
        work += expected;
        longest = std::max(longest, expected);
    }
    const auto timeToProcess = [this](Micros pendingWork) {
        return Micros(static_cast<std::int64_t>(static_cast<double>(pendingWork.count()) / this->capacity));
    };
    Forecast result;
    const auto rank = this->order->rank(now, work);
    if (this->queuedCount > 0) {
        // Jobs that arrive later may get a lower rank and start earlier. This is unlikely if the queue is soon empty.
        const auto overtakingDelay = std::min<Micros>(rank - now, 2 * timeToProcess(this->queuedWork.total()));
        const auto waitForEarlierWork = timeToProcess(this->queuedWork.workBefore(rank) + this->runningWork / 2);
        result.wait = waitForEarlierWork * (100 + waitMarginPercent) / 100 + overtakingDelay;
    }
    result.run = std::max(longest, timeToProcess(work));
    return result;
}

std::optional<wire::Refusal> CellScheduler::Impl::refuseMissedDeadline(const ScheduledJob &job, int team,
                                                                       Time now) const
{
    if (!job.deadline) {
        return std::nullopt;
    }
    const auto timeLeft = *job.deadline - now;
    if (timeLeft.count() <= 0) {
        return refusalOf(wire::RefusalCode::DEADLINE, "the deadline has passed", Micros(0));
    }
    if (this->capacity <= 0) {
        return std::nullopt;
    }
    const auto expected = this->forecast(job, team, now);
    const auto timeNeeded = expected.wait + expected.run;
    if (timeNeeded <= timeLeft) {
        return std::nullopt;
    }
    return refusalOf(wire::RefusalCode::DEADLINE,
                     fmt::format("the job is expected to finish in {} ms, but its deadline is in {} ms",
                                 msOf(timeNeeded), msOf(timeLeft)),
                     expected.wait.count() > 0 ? timeNeeded - timeLeft : Micros(0));
}

} // namespace agatedrum
