#include "cell_speeds_p.h"

#include <algorithm>
#include <cmath>

namespace agatedrum {

namespace {

/// Expected run time of an undeclared task before any ran.
constexpr Micros undeclaredTime {300000};
constexpr double minTaskMicros = 1000;
/// Largest logarithm of actual to expected that one sample may contribute.
constexpr double maxSampleError = 1.5;
constexpr double minStep = 0.02;
constexpr double changeStep = 0.2;
/// With declared sizes off by a log-normal sigma of 1 the short-term average has a deviation of 0.23.
constexpr double changeThreshold = 0.7;
constexpr double recentStep = 0.1;
constexpr double commonStep = 0.01;
/// Time without a sample after which a server is tried with a short task. At 100 tasks a second the trials of one
/// server are a hundredth of the load.
constexpr Micros staleAfter {1000000};
/// A sample's weight halves after about 700 later ones.
constexpr double decay = 0.999;
/// Samples that the assumption "actual equals declared" counts for.
constexpr double priorWeight = 20;
/// Spread of the logarithm of task sizes that is assumed at first.
constexpr double priorVariance = 1.0;

double logOf(Micros time)
{
    return std::log(std::max(minTaskMicros, static_cast<double>(time.count())));
}

} // namespace

double ServerSpeed::learn(double sampleError, Time now)
{
    const double error = std::clamp(sampleError, -maxSampleError, maxSampleError);
    this->recent += recentStep * (error - this->recent);
    const bool hasChanged = this->samples > 10 && std::abs(this->recent) > changeThreshold;
    const double step = hasChanged ? changeStep : std::max(minStep, 1.0 / (this->samples + 2));
    this->logarithm += step * error;
    this->samples++;
    this->lastSample = now;
    this->current = std::exp(this->logarithm);
    return step * error;
}

SizeDeviation ServerSpeed::deviationOf(Micros declared, Micros actual)
{
    const double x = logOf(declared);
    const double y = logOf(actual);
    if (this->deviations++ == 0) {
        this->meanDeclared = x;
        this->meanActual = y;
    }
    const SizeDeviation result {x - this->meanDeclared, y - this->meanActual};
    const double step = std::max(minStep, 1.0 / this->deviations);
    this->meanDeclared += step * result.declared;
    this->meanActual += step * result.actual;
    return result;
}

bool ServerSpeed::isStale(Time now) const
{
    return now - this->lastSample > staleAfter;
}

Micros SizeModel::median(Micros declared) const
{
    return Micros(static_cast<std::int64_t>(std::exp(this->offset + this->slope * logOf(declared))));
}

Micros SizeModel::low(Micros declared) const
{
    const double deviation
        = std::sqrt((this->variance * this->weight + priorWeight * priorVariance) / (this->weight + priorWeight));
    return Micros(
        static_cast<std::int64_t>(std::exp(-2 * deviation) * static_cast<double>(this->median(declared).count())));
}

// The mean of a log-normal distribution.
Micros SizeModel::mean(Micros declared) const
{
    const double expected = std::exp(this->variance / 2) * static_cast<double>(this->median(declared).count());
    return Micros(static_cast<std::int64_t>(std::max(minTaskMicros, expected)));
}

void SizeModel::learn(Micros declared, Micros actual, const SizeDeviation &deviation)
{
    const double x = logOf(declared);
    const double expected = this->offset + this->slope * x;
    const double y = std::clamp(logOf(actual), expected - 2 * maxSampleError, expected + 2 * maxSampleError);
    this->weight = this->weight * decay + 1;
    this->sumX = this->sumX * decay + x;
    this->sumY = this->sumY * decay + y;
    this->sumXX = this->sumXX * decay + x * x;
    this->sumXY = this->sumXY * decay + x * y;
    this->sumYY = this->sumYY * decay + y * y;
    this->sumDeclared = this->sumDeclared * decay + deviation.declared * deviation.declared;
    this->sumProduct = this->sumProduct * decay + deviation.declared * deviation.actual;
    this->refresh();
}

// Least squares with a prior of slope 1 and offset 0. A slope below 1 says that extreme declarations are mostly errors.
void SizeModel::refresh()
{
    constexpr double prior = priorWeight * priorVariance;
    const double total = this->weight + priorWeight;
    const double meanX = this->sumX / this->weight;
    const double meanY = (this->sumY + priorWeight * meanX) / total;
    this->slope = std::clamp((this->sumProduct + prior) / (this->sumDeclared + prior), 0.0, 1.2);
    this->offset = meanY - this->slope * meanX;
    const double spreadX = this->sumXX - this->weight * meanX * meanX;
    const double spreadY = this->sumYY - this->sumY * this->sumY / this->weight;
    const double product = this->sumXY - meanX * this->sumY;
    const double spread = spreadY - 2 * this->slope * product + this->slope * this->slope * spreadX;
    this->variance = std::max(0.0, spread) / (this->weight + priorWeight);
}

Micros TeamSizes::mean(Micros declared) const
{
    return declared.count() > 0 ? this->declaredTasks.mean(declared) : this->undeclaredTasks.mean(undeclaredTime);
}

Micros TeamSizes::median(Micros declared) const
{
    return declared.count() > 0 ? this->declaredTasks.median(declared) : this->undeclaredTasks.median(undeclaredTime);
}

Micros TeamSizes::low(Micros declared) const
{
    return declared.count() > 0 ? this->declaredTasks.low(declared) : this->undeclaredTasks.low(undeclaredTime);
}

// A wrong model of the sizes shows on all servers and must not count as slowness of those that ran meanwhile.
double TeamSizes::learn(Micros declared, Micros actual, const SizeDeviation &deviation)
{
    const double error = logOf(actual) - logOf(this->median(declared));
    this->samples++;
    this->commonError += std::max(commonStep, 1.0 / (this->samples + 10)) * (error - this->commonError);
    if (declared.count() > 0) {
        this->declaredTasks.learn(declared, actual, deviation);
    } else {
        this->undeclaredTasks.learn(undeclaredTime, actual, SizeDeviation {});
    }
    return error - this->commonError;
}

double TeamSizes::factor() const
{
    constexpr Micros second {1000000};
    return static_cast<double>(this->mean(second).count()) / static_cast<double>(second.count());
}

} // namespace agatedrum
