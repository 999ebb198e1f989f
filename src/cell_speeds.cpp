#include "cell_speeds_p.h"

#include <algorithm>
#include <cmath>

namespace agatedrum {

namespace {

/// Expected run time of a task without a declared one until such tasks have run.
constexpr Micros defaultRunTime {300000};
/// Lower limit of run times in the models.
constexpr double minTaskMicros = 1000;
/// Maximum absolute error of one sample, as the logarithm of the ratio of the actual to the expected run time.
constexpr double maxSampleError = 1.5;
/// Minimum weight of a new sample in the slowness and in the means of a server.
constexpr double minSampleWeight = 0.02;
/// Weight of a new sample in the slowness after a change of the server's speed.
constexpr double changeSampleWeight = 0.2;
/// Short-term average of the error above which the speed of a server is regarded as changed. If the errors of declared
/// run times are log-normal with a sigma of 1, the standard deviation of the short-term average is 0.23.
constexpr double changeThreshold = 0.7;
/// Weight of a new sample in the short-term average of the error of a server.
constexpr double recentErrorWeight = 0.1;
/// Minimum weight of a new sample in the average error of a team.
constexpr double minCommonErrorWeight = 0.01;
/// Time without a sample after which a server gets a short task as a probe. At 100 tasks per second the probes of one
/// server are 1% of the load.
constexpr Micros staleSampleAge {1000000};
/// Factor by which each new sample reduces the weight of the earlier ones. The weight is halved after about 700
/// samples.
constexpr double sampleDecay = 0.999;
/// Weight, in samples, of the initial assumption that the actual run time equals the declared one.
constexpr double priorWeight = 20;
/// Variance of the logarithm of run times that is assumed initially.
constexpr double priorVariance = 1.0;

double logOf(Micros time)
{
    return std::log(std::max(minTaskMicros, static_cast<double>(time.count())));
}

} // namespace

double ServerSpeed::learn(double sampleError, Time now)
{
    const double error = std::clamp(sampleError, -maxSampleError, maxSampleError);
    this->recentError += recentErrorWeight * (error - this->recentError);
    const bool hasSpeedChanged = this->sampleCount > 10 && std::abs(this->recentError) > changeThreshold;
    const double sampleWeight
        = hasSpeedChanged ? changeSampleWeight : std::max(minSampleWeight, 1.0 / (this->sampleCount + 2));
    this->logSlowness += sampleWeight * error;
    this->sampleCount++;
    this->lastSampleAt = now;
    this->currentSlowness = std::exp(this->logSlowness);
    return sampleWeight * error;
}

SizeDeviation ServerSpeed::recordDeviation(Micros declared, Micros actual)
{
    const double logDeclared = logOf(declared);
    const double logActual = logOf(actual);
    if (this->deviationCount++ == 0) {
        this->meanDeclared = logDeclared;
        this->meanActual = logActual;
    }
    const SizeDeviation result {logDeclared - this->meanDeclared, logActual - this->meanActual};
    const double sampleWeight = std::max(minSampleWeight, 1.0 / this->deviationCount);
    this->meanDeclared += sampleWeight * result.declared;
    this->meanActual += sampleWeight * result.actual;
    return result;
}

bool ServerSpeed::isStale(Time now) const
{
    return now - this->lastSampleAt > staleSampleAge;
}

Micros SizeModel::median(Micros declared) const
{
    return Micros(static_cast<std::int64_t>(std::exp(this->offset + this->slope * logOf(declared))));
}

Micros SizeModel::lowQuantile(Micros declared) const
{
    const double deviation
        = std::sqrt((this->variance * this->weight + priorWeight * priorVariance) / (this->weight + priorWeight));
    return Micros(
        static_cast<std::int64_t>(std::exp(-2 * deviation) * static_cast<double>(this->median(declared).count())));
}

// Run times are assumed to be log-normally distributed, so the mean is the median times exp(variance / 2).
Micros SizeModel::mean(Micros declared) const
{
    const double expectedMicros = std::exp(this->variance / 2) * static_cast<double>(this->median(declared).count());
    return Micros(static_cast<std::int64_t>(std::max(minTaskMicros, expectedMicros)));
}

void SizeModel::learn(Micros declared, Micros actual, const SizeDeviation &deviation)
{
    const double logDeclared = logOf(declared);
    const double logExpected = this->offset + this->slope * logDeclared;
    const double logActual
        = std::clamp(logOf(actual), logExpected - 2 * maxSampleError, logExpected + 2 * maxSampleError);
    this->weight = this->weight * sampleDecay + 1;
    this->sumX = this->sumX * sampleDecay + logDeclared;
    this->sumY = this->sumY * sampleDecay + logActual;
    this->sumXX = this->sumXX * sampleDecay + logDeclared * logDeclared;
    this->sumXY = this->sumXY * sampleDecay + logDeclared * logActual;
    this->sumYY = this->sumYY * sampleDecay + logActual * logActual;
    this->sumDeclared = this->sumDeclared * sampleDecay + deviation.declared * deviation.declared;
    this->sumProduct = this->sumProduct * sampleDecay + deviation.declared * deviation.actual;
    this->refit();
}

// Least squares with a prior of slope 1 and offset 0. A slope below 1 means that extreme declared run times are mostly
// errors.
void SizeModel::refit()
{
    constexpr double priorMoment = priorWeight * priorVariance;
    const double totalWeight = this->weight + priorWeight;
    const double meanX = this->sumX / this->weight;
    const double meanY = (this->sumY + priorWeight * meanX) / totalWeight;
    this->slope = std::clamp((this->sumProduct + priorMoment) / (this->sumDeclared + priorMoment), 0.0, 1.2);
    this->offset = meanY - this->slope * meanX;
    const double spreadX = this->sumXX - this->weight * meanX * meanX;
    const double spreadY = this->sumYY - this->sumY * this->sumY / this->weight;
    const double product = this->sumXY - meanX * this->sumY;
    const double spread = spreadY - 2 * this->slope * product + this->slope * this->slope * spreadX;
    this->variance = std::max(0.0, spread) / (this->weight + priorWeight);
}

Micros TeamSizes::mean(Micros declared) const
{
    return declared.count() > 0 ? this->declaredTasks.mean(declared) : this->undeclaredTasks.mean(defaultRunTime);
}

Micros TeamSizes::median(Micros declared) const
{
    return declared.count() > 0 ? this->declaredTasks.median(declared) : this->undeclaredTasks.median(defaultRunTime);
}

Micros TeamSizes::lowQuantile(Micros declared) const
{
    return declared.count() > 0 ? this->declaredTasks.lowQuantile(declared)
                                : this->undeclaredTasks.lowQuantile(defaultRunTime);
}

// An error of the size model affects the tasks on all servers, so it is subtracted: it must not count as slowness of
// the servers that ran the tasks.
double TeamSizes::learn(Micros declared, Micros actual, const SizeDeviation &deviation)
{
    const double error = logOf(actual) - logOf(this->median(declared));
    this->sampleCount++;
    this->commonError += std::max(minCommonErrorWeight, 1.0 / (this->sampleCount + 10)) * (error - this->commonError);
    if (declared.count() > 0) {
        this->declaredTasks.learn(declared, actual, deviation);
    } else {
        this->undeclaredTasks.learn(defaultRunTime, actual, SizeDeviation {});
    }
    return error - this->commonError;
}

double TeamSizes::factor() const
{
    constexpr Micros second {1000000};
    return static_cast<double>(this->mean(second).count()) / static_cast<double>(second.count());
}

} // namespace agatedrum
