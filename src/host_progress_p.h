#pragma once

#include "base_clock_p.h"

#include <deque>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace agatedrum {

/// Estimates when one run ends, from the completed share of its work that the backend server reports. Not thread-safe.
///
/// Handles inaccurate estimates, and backend servers that become slow or stall while tasks run. The recent speed of a
/// run predicts its end early.
class RunProgress
{
public:
    RunProgress() = default;
    explicit RunProgress(Time startedAt);

    /// Adds a progress sample.
    /// @param percent completed share of the work, 0 to 100
    void observe(int percent, Time now);
    /// Returns the expected time until the end at the recent speed, or std::nullopt if there are too few samples.
    std::optional<Micros> remaining(Time now) const;
    /// Returns the minimum time until the end at the recent speed, allowing for percentages that are truncated to whole
    /// numbers; std::nullopt if there are too few samples.
    std::optional<Micros> minRemaining(Time now) const;
    /// Returns the expected time from start to end at the recent speed, or std::nullopt if there are too few samples.
    std::optional<Micros> total(Time now) const;

private:
    struct Sample
    {
        Time time;
        int percent = 0;
    };

    /// @param firstTruncation,lastTruncation assumed truncation error of the first and the last percentage
    std::optional<Micros> estimateRemaining(double firstTruncation, double lastTruncation, Time now) const;

    Time startedAt;
    std::deque<Sample> samples; ///< in chronological order
};

/// Predicts how long a task with a given estimate takes on one backend server. Not thread-safe.
///
/// Designed for loads of many short and few long tasks. Each task has a fixed overhead besides its run time. Without a
/// correction for it, short tasks would make a fast backend server appear slow, and a slow one so slow that it would
/// get no tasks.
class RunTimeEstimator
{
public:
    /// Updates the slowness from a task that has succeeded.
    void learn(Micros estimate, Micros runTime);
    /// Returns the expected time from the start order until the end is known.
    Micros expectedTotalTime(Micros estimate) const;
    /// Returns the average run time relative to the estimate of recent tasks.
    double slowness() const
    {
        return this->learnedSlowness;
    }

private:
    double learnedSlowness = 1.0;
};

/// Returns the part of a task's time that depends on its work, without the fixed overhead.
Micros workTimeOf(Micros time);
/// Returns the expected time of a task from its start order until its end is known: fixed overhead plus run time.
Micros expectedTime(Micros estimate, double slowness);
/// Returns the run time without the fixed overhead, relative to the estimate.
double slownessOf(Micros estimate, Micros runTime);

/// Slowness that one run shows.
struct ObservedRun
{
    std::string job; ///< id of the job of the run's task
    double slowness = 1.0;

    friend bool operator==(const ObservedRun &a, const ObservedRun &b)
    {
        return std::tie(a.job, a.slowness) == std::tie(b.job, b.slowness);
    }
};

/// Remembers the slowness of runs that were stopped before their end. Not thread-safe.
///
/// Handles a backend server that stalls while each of its tasks is relocated soon after its start. The relocations end
/// the runs that show the stall, so without this memory the backend server would appear idle and fast and would keep
/// getting tasks. The slowness of a stopped run decays, so the backend server gets a few tasks again and can prove that
/// it has recovered. Each run that ends in time cancels one stopped run, so single long tasks do not make a healthy
/// backend server appear slow.
class StoppedRuns
{
public:
    /// Adds a stopped run, with the slowness that follows from its expected end.
    void add(const ObservedRun &run, Time now);
    /// Handles a run that has succeeded: removes the oldest stopped run unless the run was clearly slow itself.
    /// @param learnedSlowness slowness of the backend server's ended runs
    void recordSuccess(double slowness, double learnedSlowness);
    /// Returns the recent stopped runs. The older a run is, the closer its slowness is to learnedSlowness.
    std::vector<ObservedRun> decayedSlowness(double learnedSlowness, Time now) const;

private:
    struct Run
    {
        ObservedRun observed;
        Time stoppedAt;
    };

    std::deque<Run> runs; ///< in chronological order
};

/// Estimates the current slowness of a backend server from its ended and its active runs.
///
/// When a backend server becomes slow, most of its runs show it before any of them ends. A single long task says
/// nothing about its backend server, and neither do several runs of one job: they share the error of its estimate. So
/// each job counts once, with its fastest run. Runs that are slower than any such error explains count one by one.
/// @param learnedSlowness slowness of the ended runs
/// @param observed active runs with known progress, and recently stopped runs
double estimateSlowness(double learnedSlowness, const std::vector<ObservedRun> &observed);

} // namespace agatedrum
