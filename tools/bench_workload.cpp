#include "bench_workload.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <random>

namespace agatedrum::bench {

namespace {

Micros secondsOf(double value)
{
    return Micros(static_cast<std::int64_t>(value * 1e6));
}

int drawJobSize(std::mt19937_64 &random)
{
    std::uniform_real_distribution<double> unit(0, 1);
    const double kind = unit(random);
    const auto between = [&](double low, double high) {
        return static_cast<int>(std::exp(std::log(low) + unit(random) * (std::log(high + 1) - std::log(low))));
    };
    if (kind < 0.55) {
        return 1;
    }
    if (kind < 0.90) {
        return between(2, 8);
    }
    return kind < 0.98 ? between(9, 50) : between(51, 230);
}

double drawTaskSeconds(std::mt19937_64 &random)
{
    std::uniform_real_distribution<double> unit(0, 1);
    if (unit(random) < 0.03) {
        return 2 + 3 * unit(random);
    }
    return std::exp(std::log(0.05) + unit(random) * std::log(20.0));
}

WorkloadJob drawJob(std::mt19937_64 &random, double sigma)
{
    std::normal_distribution<double> normal(0, 1);
    WorkloadJob job;
    const int tasks = std::min(230, drawJobSize(random));
    for (int task = 0; task < tasks; ++task) {
        const double size = drawTaskSeconds(random);
        job.sizes.push_back(secondsOf(size));
        job.declared.push_back(secondsOf(size * std::exp(sigma * normal(random))));
    }
    return job;
}

double meanWorkSeconds(double sigma)
{
    std::mt19937_64 random(4711);
    Micros sum {0};
    constexpr int samples = 50000;
    for (int sample = 0; sample < samples; ++sample) {
        const auto job = drawJob(random, sigma);
        sum = std::accumulate(job.sizes.begin(), job.sizes.end(), sum);
    }
    return static_cast<double>(sum.count()) / 1e6 / samples;
}

} // namespace

const std::vector<double> &serverSpeeds()
{
    static const std::vector<double> speeds = {0.5, 0.65, 0.8, 0.95, 1.1, 1.25, 1.4, 1.55, 1.7, 1.85, 2.0};
    return speeds;
}

std::vector<WorkloadJob> makeWorkload(const WorkloadOptions &options)
{
    const auto &speeds = serverSpeeds();
    const double capacity = slotsPerServer * std::accumulate(speeds.begin(), speeds.end(), 0.0);
    std::mt19937_64 random(options.seed);
    std::exponential_distribution<double> gap(options.load * capacity / meanWorkSeconds(options.declaredSigma));
    std::vector<WorkloadJob> jobs;
    for (double time = gap(random); time < options.seconds; time += gap(random)) {
        jobs.push_back(drawJob(random, options.declaredSigma));
        jobs.back().arrival = secondsOf(time);
    }
    return jobs;
}

} // namespace agatedrum::bench
