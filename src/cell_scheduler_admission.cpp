#include "cell_scheduler_state_p.h"

#include <fmt/format.h>

#include <algorithm>

namespace agatedrum {

namespace {

/// Hint when nothing says when a job would be accepted.
constexpr std::int64_t defaultRetryMs = 1000;
constexpr std::int64_t minRetryMs = 50;
constexpr std::int64_t maxRetryMs = 60000;
/// Time for which a cell may be without a backend server before it refuses jobs.
constexpr Millis noServerGrace {5000};
/// Added to the expected wait, in percent: without it 10% of the jobs admitted at load 1.5 in first-come order were
/// late.
constexpr int waitMargin = 15;

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
    refusal.retryAfterMs = retryAfter.count() > 0 ? std::clamp(msOf(retryAfter), minRetryMs, maxRetryMs) : 0;
    return refusal;
}

} // namespace

std::optional<wire::Refusal> CellScheduler::Impl::refuseImpossible(const ScheduledJob &job, int team) const
{
    const auto code = wire::RefusalCode::NEVER_RUNNABLE;
    if (!this->teams.isKnown(job.team)) {
        return refusalOf(wire::RefusalCode::UNKNOWN_TEAM, fmt::format("team {} is not in the configuration", job.team),
                         Micros(0));
    }
    if (job.declared.size() > static_cast<std::size_t>(this->options.maxQueuedTasks)) {
        return refusalOf(code,
                         fmt::format("the job has {} tasks, and service {} queues at most {} per cell",
                                     job.declared.size(), this->service, this->options.maxQueuedTasks),
                         Micros(0));
    }
    const auto longest = std::max_element(job.declared.begin(), job.declared.end());
    if (longest == job.declared.end()) {
        return std::nullopt;
    }
    // Declared sizes may be far off, so a job is refused only when the team's earlier errors do not explain the excess.
    const auto least = this->fastest * static_cast<double>(this->teams.sizes(team).low(*longest).count());
    if (least > static_cast<double>(Micros(this->options.maxTaskTime).count())) {
        return refusalOf(code,
                         fmt::format("task {} declares {} ms, so that it needs at least about {:.0f} ms on the fastest "
                                     "backend server, and service {} stops a task after {} ms",
                                     longest - job.declared.begin(), msOf(*longest), least / 1000, this->service,
                                     this->options.maxTaskTime.count()),
                         Micros(0));
    }
    return std::nullopt;
}

std::optional<wire::Refusal> CellScheduler::Impl::refuseFull(const ScheduledJob &job, int team, Time now)
{
    const auto limit = static_cast<std::size_t>(this->options.maxQueuedTasks);
    if (this->queuedCount + job.declared.size() > limit) {
        const double meanTask = static_cast<double>(this->queuedWork.total().count())
            / static_cast<double>(std::max<std::size_t>(1, this->queuedCount));
        const auto excess = static_cast<double>(this->queuedCount + job.declared.size() - limit);
        const double wait = this->capacity > 0 ? excess * meanTask / this->capacity : defaultRetryMs * 1000.0;
        return refusalOf(wire::RefusalCode::QUEUE_FULL,
                         fmt::format("{} of at most {} tasks are queued, and the job has {}", this->queuedCount, limit,
                                     job.declared.size()),
                         Micros(1 + static_cast<std::int64_t>(wait)));
    }
    if (const auto quota = this->teams.check(team, job.declared.size(), now)) {
        return refusalOf(quota->isPermanent ? wire::RefusalCode::NEVER_RUNNABLE : wire::RefusalCode::QUOTA,
                         quota->message, quota->retryAfter);
    }
    if (this->noServerSince && now - *this->noServerSince > noServerGrace) {
        return refusalOf(wire::RefusalCode::QUEUE_FULL,
                         fmt::format("no backend server of service {} has been available for {} ms", this->service,
                                     msOf(now - *this->noServerSince)),
                         Millis(defaultRetryMs));
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
    const auto after = [this](Micros amount) {
        return Micros(static_cast<std::int64_t>(static_cast<double>(amount.count()) / this->capacity));
    };
    Forecast result;
    const auto rank = this->order->rank(now, work);
    if (this->queuedCount > 0) {
        // Jobs that arrive before the rank comes up may still overtake, but hardly when the queue is about to be empty.
        const auto overtaking = std::min<Micros>(rank - now, 2 * after(this->queuedWork.total()));
        const auto ahead = after(this->queuedWork.ahead(rank) + this->runningWork / 2);
        result.wait = ahead * (100 + waitMargin) / 100 + overtaking;
    }
    result.run = std::max(longest, after(work));
    return result;
}

std::optional<wire::Refusal> CellScheduler::Impl::refuseLate(const ScheduledJob &job, int team, Time now) const
{
    if (!job.deadline) {
        return std::nullopt;
    }
    const auto left = *job.deadline - now;
    if (left.count() <= 0) {
        return refusalOf(wire::RefusalCode::DEADLINE, "the deadline has passed", Micros(0));
    }
    if (this->capacity <= 0) {
        return std::nullopt;
    }
    const auto expected = this->forecast(job, team, now);
    const auto needed = expected.wait + expected.run;
    if (needed <= left) {
        return std::nullopt;
    }
    return refusalOf(
        wire::RefusalCode::DEADLINE,
        fmt::format("the job is expected to finish in {} ms, and its deadline is in {} ms", msOf(needed), msOf(left)),
        expected.wait.count() > 0 ? needed - left : Micros(0));
}

} // namespace agatedrum
