#include "host_progress_p.h"

#include "agatedrum/config.h"

#include <algorithm>
#include <cmath>

namespace agatedrum {

namespace {

constexpr Millis speedWindow {300}; ///< long enough for some percent of a task of a second
constexpr Millis sampleInterval {30};
constexpr Millis shortestEvidence {100};
/// The percentage is cut to a whole number, so a run is further by this, on average and at most.
constexpr double meanCut = 0.5;
constexpr double mostCut = 1.0;
constexpr Micros longestRemaining = std::chrono::seconds(60);
constexpr std::size_t fewestRuns = 3;
constexpr double clearlySlower = 2.0; ///< above what rough estimates do to the median of a few tasks
constexpr double highestSlowness = 20.0;
constexpr Millis overhead {AGATEDRUM_TASK_OVERHEAD_MS};
constexpr int mostOverhead = 4; ///< at least a fourth of the time counts as run
constexpr Micros certainEstimate = Millis(100);
constexpr Millis stoppedMemory {2000}; ///< a backend server that is well again is idle for about this long at most
constexpr std::size_t mostStopped = 16; ///< bounds what is kept; a few are enough for a median
constexpr double learnWeight = 0.08; ///< about the last twelve tasks

} // namespace

RunProgress::RunProgress(Time startedAt)
    : startedAt(startedAt)
    , samples({Sample {startedAt, 0}})
{
}

void RunProgress::observe(int percent, Time now)
{
    if (!this->samples.empty() && now - this->samples.back().at < sampleInterval) {
        return;
    }
    this->samples.push_back({now, percent});
    while (this->samples.size() > 2 && now - this->samples[1].at >= speedWindow) {
        this->samples.pop_front();
    }
}

std::optional<Micros> RunProgress::remaining(Time now) const
{
    const bool isFromStart = !this->samples.empty() && this->samples.front().at == this->startedAt;
    return this->remainingIf(isFromStart ? 0 : meanCut, meanCut, now);
}

std::optional<Micros> RunProgress::leastRemaining(Time now) const
{
    return this->remainingIf(0, mostCut, now);
}

std::optional<Micros> RunProgress::remainingIf(double firstCut, double lastCut, Time now) const
{
    if (this->samples.size() < 2 || this->samples.back().at - this->samples.front().at < shortestEvidence) {
        return std::nullopt;
    }
    const auto &first = this->samples.front();
    const auto &last = this->samples.back();
    const double done = std::max(meanCut, last.percent + lastCut - first.percent - firstCut);
    const double left = std::max(0.0, 100 - last.percent - lastCut);
    const auto micros = static_cast<double>((last.at - first.at).count()) * left / done;
    const auto fromLast = std::min(longestRemaining, Micros(static_cast<std::int64_t>(micros)));
    return std::max(Micros(0), fromLast - (now - last.at));
}

std::optional<Micros> RunProgress::total(Time now) const
{
    const auto left = this->remaining(now);
    return left ? std::optional<Micros>(now - this->startedAt + *left) : std::nullopt;
}

Micros runPart(Micros time)
{
    return std::max(time - Micros(overhead), time / mostOverhead);
}

Micros expectedTime(Micros estimate, double slowness)
{
    return overhead + Micros(static_cast<std::int64_t>(static_cast<double>(estimate.count()) * slowness));
}

double slownessOf(Micros estimate, Micros runTime)
{
    return static_cast<double>(runPart(runTime).count()) / static_cast<double>(std::max(Micros(1), estimate).count());
}

void RunTimes::learn(Micros estimate, Micros runTime)
{
    // A short task says less, since the fixed part of its time varies.
    const auto certainty = std::min(1.0, static_cast<double>(estimate.count()) / certainEstimate.count());
    const auto ratio = std::min(slownessOf(estimate, runTime), highestSlowness);
    this->learned += learnWeight * certainty * (ratio - this->learned);
}

Micros RunTimes::expected(Micros estimate) const
{
    return expectedTime(estimate, this->learned);
}

void StoppedRuns::add(double slowness, Time now)
{
    this->runs.push_back({std::min(slowness, highestSlowness), now});
    if (this->runs.size() > mostStopped) {
        this->runs.pop_front();
    }
}

void StoppedRuns::noteEnd(double slowness, double learned)
{
    if (!this->runs.empty() && slowness < clearlySlower * learned) {
        this->runs.pop_front();
    }
}

std::vector<double> StoppedRuns::fading(double learned, Time now) const
{
    std::vector<double> result;
    for (const auto &run : this->runs) {
        const auto left = 1.0 - static_cast<double>((now - run.at).count()) / Micros(stoppedMemory).count();
        if (left > 0) {
            result.push_back(learned * std::pow(run.slowness / learned, left));
        }
    }
    return result;
}

double presentSlowness(double learned, std::vector<double> present)
{
    if (present.size() < fewestRuns) {
        return learned;
    }
    const auto middle = present.begin() + static_cast<std::ptrdiff_t>(present.size() / 2);
    std::nth_element(present.begin(), middle, present.end());
    return *middle > clearlySlower * learned ? std::min(*middle, highestSlowness) : learned;
}

} // namespace agatedrum
