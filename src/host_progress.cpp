#include "host_progress_p.h"

#include "agatedrum/config.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <string_view>

namespace agatedrum {

namespace {

constexpr Millis speedWindow {300}; ///< a task of one second advances by several percent in this time
constexpr Millis sampleInterval {30};
constexpr Millis minObservedTime {100};
/// Percentages are truncated to whole numbers; these are the average and the maximum truncation error.
constexpr double meanTruncation = 0.5;
constexpr double maxTruncation = 1.0;
constexpr Micros maxRemaining = std::chrono::seconds(60);
constexpr std::size_t minObservations = 3;
constexpr double maxEstimateError = 4.0; ///< a run that takes longer than this times its estimate shows a stall
constexpr double significantFactor = 2.0; ///< above the effect of rough estimates on the median of a few tasks
constexpr double maxSlowness = 20.0;
constexpr Millis taskOverhead {AGATEDRUM_TASK_OVERHEAD_MS};
constexpr int minWorkDivisor = 4; ///< at least a fourth of the total time counts as work
constexpr Micros fullWeightEstimate = Millis(100);
constexpr Millis stoppedRunRetention {2000}; ///< bounds how long a recovered backend server gets no tasks
constexpr std::size_t maxStoppedRuns = 16; ///< bounds the memory; a few runs are enough for a median
constexpr double smoothingFactor = 0.08; ///< averages over about the last twelve tasks

} // namespace

RunProgress::RunProgress(Time startedAt)
    : startedAt(startedAt)
    , samples({Sample {startedAt, 0}})
{
}

void RunProgress::observe(int percent, Time now)
{
    if (!this->samples.empty() && now - this->samples.back().time < sampleInterval) {
        return;
    }
    this->samples.push_back({now, percent});
    while (this->samples.size() > 2 && now - this->samples[1].time >= speedWindow) {
        this->samples.pop_front();
    }
}

std::optional<Micros> RunProgress::remaining(Time now) const
{
    const bool isFromStart = !this->samples.empty() && this->samples.front().time == this->startedAt;
    return this->estimateRemaining(isFromStart ? 0 : meanTruncation, meanTruncation, now);
}

std::optional<Micros> RunProgress::minRemaining(Time now) const
{
    return this->estimateRemaining(0, maxTruncation, now);
}

std::optional<Micros> RunProgress::estimateRemaining(double firstTruncation, double lastTruncation, Time now) const
{
    if (this->samples.size() < 2 || this->samples.back().time - this->samples.front().time < minObservedTime) {
        return std::nullopt;
    }
    const auto &first = this->samples.front();
    const auto &last = this->samples.back();
    const double workDone = std::max(meanTruncation, last.percent + lastTruncation - first.percent - firstTruncation);
    const double workLeft = std::max(0.0, 100 - last.percent - lastTruncation);
    const auto remainingMicros = static_cast<double>((last.time - first.time).count()) * workLeft / workDone;
    const auto afterLastSample = std::min(maxRemaining, Micros(static_cast<std::int64_t>(remainingMicros)));
    return std::max(Micros(0), afterLastSample - (now - last.time));
}

std::optional<Micros> RunProgress::total(Time now) const
{
    const auto remaining = this->remaining(now);
    return remaining ? std::optional<Micros>(now - this->startedAt + *remaining) : std::nullopt;
}

Micros workTimeOf(Micros time)
{
    return std::max(time - Micros(taskOverhead), time / minWorkDivisor);
}

Micros expectedTime(Micros estimate, double slowness)
{
    return taskOverhead + Micros(static_cast<std::int64_t>(static_cast<double>(estimate.count()) * slowness));
}

double slownessOf(Micros estimate, Micros runTime)
{
    return static_cast<double>(workTimeOf(runTime).count())
        / static_cast<double>(std::max(Micros(1), estimate).count());
}

void RunTimeEstimator::learn(Micros estimate, Micros runTime)
{
    // Short tasks get a lower weight, since their fixed overhead varies.
    const auto weight = std::min(1.0, static_cast<double>(estimate.count()) / fullWeightEstimate.count());
    const auto slowness = std::min(slownessOf(estimate, runTime), maxSlowness);
    this->learnedSlowness += smoothingFactor * weight * (slowness - this->learnedSlowness);
}

Micros RunTimeEstimator::expectedTotalTime(Micros estimate) const
{
    return expectedTime(estimate, this->learnedSlowness);
}

void StoppedRuns::add(const ObservedRun &run, Time now)
{
    this->runs.push_back({{run.job, std::min(run.slowness, maxSlowness)}, now});
    if (this->runs.size() > maxStoppedRuns) {
        this->runs.pop_front();
    }
}

void StoppedRuns::recordSuccess(double slowness, double learnedSlowness)
{
    if (!this->runs.empty() && slowness < significantFactor * learnedSlowness) {
        this->runs.pop_front();
    }
}

std::vector<ObservedRun> StoppedRuns::decayedSlowness(double learnedSlowness, Time now) const
{
    std::vector<ObservedRun> result;
    for (const auto &run : this->runs) {
        const auto remainingWeight
            = 1.0 - static_cast<double>((now - run.stoppedAt).count()) / Micros(stoppedRunRetention).count();
        if (remainingWeight > 0) {
            const auto excess = run.observed.slowness / learnedSlowness;
            result.push_back({run.observed.job, learnedSlowness * std::pow(excess, remainingWeight)});
        }
    }
    return result;
}

double estimateSlowness(double learnedSlowness, const std::vector<ObservedRun> &observed)
{
    std::vector<double> slowness;
    std::map<std::string_view, double> lowestByJob;
    for (const auto &run : observed) {
        if (run.slowness > maxEstimateError * learnedSlowness) {
            slowness.push_back(run.slowness);
            continue;
        }
        const auto [known, isNew] = lowestByJob.try_emplace(run.job, run.slowness);
        known->second = std::min(known->second, run.slowness);
    }
    for (const auto &[job, lowest] : lowestByJob) {
        slowness.push_back(lowest);
    }
    if (slowness.size() < minObservations) {
        return learnedSlowness;
    }
    const auto median = slowness.begin() + static_cast<std::ptrdiff_t>(slowness.size() / 2);
    std::nth_element(slowness.begin(), median, slowness.end());
    return *median > significantFactor * learnedSlowness ? std::min(*median, maxSlowness) : learnedSlowness;
}

} // namespace agatedrum
