#pragma once

#include "base_clock_p.h"

namespace agatedrum {

/// How far the logarithms of a task's declared and actual run time lie from the means of the server that ran it.
struct SizeDeviation
{
    double declared = 0;
    double actual = 0;
};

/// Learned slowness of one backend server: run time relative to the expected one. Not thread-safe.
class ServerSpeed
{
public:
    /// Preconditions: both times are positive.
    SizeDeviation deviationOf(Micros declared, Micros actual);
    /// @param error logarithm of the actual run time to the one that was expected of this server.
    /// @return change of the logarithm of the slowness.
    double learn(double error, Time now);
    /// Whether the last sample is so old that the server should be tried again although it seemed slow.
    bool isStale(Time now) const;
    /// Above 0; 1 until something was learned.
    double slowness() const
    {
        return this->current;
    }

private:
    double logarithm = 0;
    double recent = 0; ///< short-term average of the error, which tells a change of speed from odd samples
    double current = 1;
    int samples = 0;
    Time lastSample;
    double meanDeclared = 0;
    double meanActual = 0;
    int deviations = 0;
};

/// Learned relation of declared to actual run times, for a backend server of slowness 1. Not thread-safe.
class SizeModel
{
public:
    /// Mean run time. Precondition: declared is positive.
    Micros mean(Micros declared) const;
    /// Median run time. Precondition: declared is positive.
    Micros median(Micros declared) const;
    /// Run time that about one task in forty is below. Precondition: declared is positive.
    Micros low(Micros declared) const;
    /// @param actual run time divided by the slowness of the backend server.
    void learn(Micros declared, Micros actual, const SizeDeviation &deviation);

private:
    void refresh();

    // Decayed moments of the logarithms of declared (x) and actual (y) run times.
    double weight = 0;
    double sumX = 0;
    double sumY = 0;
    double sumXX = 0;
    double sumXY = 0;
    double sumYY = 0;
    // Decayed moments of the deviations from the means of the server that ran the task. They give the slope, since
    // short tasks go to slow servers: between servers the effects of size and speed cannot be told apart.
    double sumDeclared = 0;
    double sumProduct = 0;
    double slope = 1;
    double offset = 0;
    double variance = 0; ///< of the logarithm of actual run times of tasks that declare the same
};

/// Learned sizes of one team's tasks, with and without a declared run time. Not thread-safe.
class TeamSizes
{
public:
    /// @param declared zero when the caller declared nothing.
    Micros mean(Micros declared) const;
    Micros median(Micros declared) const;
    Micros low(Micros declared) const;
    /// @param actual run time divided by the slowness of the backend server.
    /// @return logarithm of actual to median without the error that the team's tasks have on all servers at present.
    double learn(Micros declared, Micros actual, const SizeDeviation &deviation);
    /// Expected ratio of actual to declared run time for tasks that declare a second.
    double factor() const;

private:
    SizeModel declaredTasks;
    SizeModel undeclaredTasks;
    double commonError = 0;
    int samples = 0;
};

} // namespace agatedrum
