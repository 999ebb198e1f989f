#pragma once

#include "base_clock_p.h"

namespace agatedrum {

/// Logarithms of the declared and the actual run time of a task, relative to the means of the server that ran it.
struct SizeDeviation
{
    double declared = 0;
    double actual = 0;
};

/// Learns the slowness of one backend server: the run time of tasks relative to the expected one. Not thread-safe.
class ServerSpeed
{
public:
    /// Returns the deviation of a task from the means, which it updates afterwards.
    /// Preconditions: both times are positive.
    SizeDeviation recordDeviation(Micros declared, Micros actual);
    /// Updates the slowness.
    /// @param error logarithm of the ratio of the actual run time to the one expected on this server.
    /// @return change of the logarithm of the slowness.
    double learn(double error, Time now);
    /// Returns whether the last sample is so old that the server should get another task although it seemed slow.
    bool isStale(Time now) const;
    /// Returns the slowness, which is positive; 1 before the first sample.
    double slowness() const
    {
        return this->currentSlowness;
    }

private:
    double logSlowness = 0;
    double recentError = 0; ///< short-term average of the error; distinguishes a change of speed from outliers
    double currentSlowness = 1;
    int sampleCount = 0;
    Time lastSampleAt;
    double meanDeclared = 0; ///< mean logarithm of declared run times
    double meanActual = 0; ///< mean logarithm of actual run times
    int deviationCount = 0; ///< number of samples in these means
};

/// Learns how actual run times on a backend server of slowness 1 depend on declared run times, by linear regression of
/// their logarithms. Not thread-safe.
class SizeModel
{
public:
    /// Returns the expected mean run time. Precondition: declared is positive.
    Micros mean(Micros declared) const;
    /// Returns the expected median run time. Precondition: declared is positive.
    Micros median(Micros declared) const;
    /// Returns a run time that only about one task in forty falls below. Precondition: declared is positive.
    Micros lowQuantile(Micros declared) const;
    /// Adds a sample.
    /// @param actual run time divided by the slowness of the backend server.
    void learn(Micros declared, Micros actual, const SizeDeviation &deviation);

private:
    /// Recomputes slope, offset and variance.
    void refit();

    // Exponentially decayed moments of the logarithms of declared (x) and actual (y) run times.
    double weight = 0;
    double sumX = 0;
    double sumY = 0;
    double sumXX = 0;
    double sumXY = 0;
    double sumYY = 0;
    // Exponentially decayed moments of the deviations from the means of the server that ran the task. The slope is
    // computed from these: slow servers get short tasks, so a comparison between servers can't separate the effect of
    // the size of a task from that of the speed of a server.
    double sumDeclared = 0;
    double sumProduct = 0;
    double slope = 1;
    double offset = 0;
    double variance = 0; ///< of the logarithm of the actual run time of tasks with the same declared run time
};

/// Learns the run times of the tasks of one team, separately for tasks with and without a declared run time. A
/// declared run time of zero means that the caller declared none. Not thread-safe.
class TeamSizes
{
public:
    /// Returns the expected mean run time.
    Micros mean(Micros declared) const;
    /// Returns the expected median run time.
    Micros median(Micros declared) const;
    /// Returns a run time that only about one task in forty falls below.
    Micros lowQuantile(Micros declared) const;
    /// Adds a sample.
    /// @param actual run time divided by the slowness of the backend server.
    /// @return logarithm of the ratio of the actual run time to the median, less the average of this error over recent
    /// tasks of the team on all servers.
    double learn(Micros declared, Micros actual, const SizeDeviation &deviation);
    /// Returns the expected ratio of actual to declared run time for tasks with a declared run time of one second.
    double factor() const;

private:
    SizeModel declaredTasks;
    SizeModel undeclaredTasks;
    double commonError = 0; ///< average error of recent tasks on all servers
    int sampleCount = 0;
};

} // namespace agatedrum
