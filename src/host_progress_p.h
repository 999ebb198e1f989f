#pragma once

#include "base_clock_p.h"

#include <deque>
#include <optional>
#include <vector>

namespace agatedrum {

/// How one run gets on, by the share of its work that the backend server says is done. Not thread-safe.
///
/// Answers this load: estimates are far off, and backend servers turn slow or stop in the middle of tasks. The recent
/// speed of a run tells when it ends long before it does.
class RunProgress
{
public:
    RunProgress() = default;
    explicit RunProgress(Time startedAt);

    /// @param percent of the work that is done, 0 to 100
    void observe(int percent, Time now);
    /// Expected time until the end at the speed of the last moments; nothing while too little was seen.
    std::optional<Micros> remaining(Time now) const;
    /// Shortest time until the end that this speed allows, since percentages are cut to whole numbers.
    std::optional<Micros> leastRemaining(Time now) const;
    /// Expected time from start to end at this speed; nothing while too little was seen.
    std::optional<Micros> total(Time now) const;

private:
    struct Sample
    {
        Time at;
        int percent = 0;
    };

    /// @param firstCut,lastCut what was cut off the first and the last percentage
    std::optional<Micros> remainingIf(double firstCut, double lastCut, Time now) const;

    Time startedAt;
    std::deque<Sample> samples; ///< by time
};

/// What tasks of an estimate take on one backend server. Not thread-safe.
///
/// Answers this load: many short tasks among few long ones. Each task takes a fixed time besides its run, which would
/// make a fast backend server seem slow by its short tasks, and a slow one so slow that it stays idle.
class RunTimes
{
public:
    /// Learns from a task that has ended with success.
    void learn(Micros estimate, Micros runTime);
    /// Expected time from the order to start until the end is known.
    Micros expected(Micros estimate) const;
    /// Run time relative to the estimate, of recent tasks.
    double slowness() const
    {
        return this->learned;
    }

private:
    double learned = 1.0;
};

/// The part of a task's time that depends on its work.
Micros runPart(Micros time);
/// Expected time of a task from the order to start until the end is known: the fixed part and the run.
Micros expectedTime(Micros estimate, double slowness);
/// Run time without the fixed part, relative to the estimate.
double slownessOf(Micros estimate, Micros runTime);

/// What runs that were stopped before their end showed of a backend server's speed. Not thread-safe.
///
/// Answers this load: a backend server stands still, and each of its tasks is moved after a moment. The moves end the
/// runs that show it, so that it would seem idle and fast at once and get tasks on and on. What a stopped run showed
/// fades, so that the backend server gets a few tasks again and can show that it is well; each end in good time makes
/// up for one stopped run, so that single long tasks do not make a sound backend server seem slow.
class StoppedRuns
{
public:
    /// @param slowness of the run, by its expected end
    void add(double slowness, Time now);
    /// A run has ended with success.
    /// @param learned of the backend server's ended runs
    void noteEnd(double slowness, double learned);
    /// Slowness of the recent stopped runs, closer to what is learned the older they are.
    std::vector<double> fading(double learned, Time now) const;

private:
    struct Run
    {
        double slowness = 1.0;
        Time at;
    };

    std::deque<Run> runs; ///< by time
};

/// Run time of tasks relative to their estimates, from what ended runs taught and what present runs show.
///
/// A backend server that turns slow shows it in most of its runs at once, before any of them ends; a single long task
/// says nothing about its backend server.
/// @param learned from ended runs
/// @param present of the runs whose progress is known, and of those that were stopped lately
double presentSlowness(double learned, std::vector<double> present);

} // namespace agatedrum
