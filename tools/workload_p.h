#pragma once

#include "base_clock_p.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>
#include <numeric>
#include <queue>
#include <random>
#include <set>
#include <utility>
#include <vector>

/// Generates job arrivals from a seed and simulates an ideal queue for comparison. Shared by the benchmarks and the
/// load tool.
namespace agatedrum::tools {

struct WorkloadOptions
{
    double load = 0.8; ///< share of the servers' capacity that the arrivals need, without bursts
    double seconds = 600;
    double declaredSigma = 1; ///< standard deviation of the logarithm of declared to true sizes
    std::uint64_t seed = 1;
    std::vector<double> speeds; ///< speed of each backend server
    int slots = 8; ///< slots of each backend server
    double singleTaskShare = 0.55; ///< share of jobs with one task
    int burstJobs = 0; ///< number of jobs that arrive together in a burst; 0 for no bursts
    double burstSeconds = 10; ///< time between bursts
};

struct WorkloadJob
{
    Micros arrival {0};
    std::vector<Micros> sizes; ///< true run times of the tasks on a server of speed 1
    std::vector<Micros> declared; ///< declared run times of the tasks
};

inline Micros microsOf(double seconds)
{
    return Micros(static_cast<std::int64_t>(seconds * 1e6));
}

inline int drawTaskCount(std::mt19937_64 &random, double singleTaskShare)
{
    std::uniform_real_distribution<double> unit(0, 1);
    const auto drawLogUniform = [&](double low, double high) {
        return static_cast<int>(std::exp(std::log(low) + unit(random) * (std::log(high + 1) - std::log(low))));
    };
    const double kind = unit(random);
    if (kind < singleTaskShare) {
        return 1;
    }
    if (kind < 0.90) {
        return drawLogUniform(2, 8);
    }
    return std::min(230, kind < 0.98 ? drawLogUniform(9, 50) : drawLogUniform(51, 230));
}

inline double drawTaskSeconds(std::mt19937_64 &random)
{
    std::uniform_real_distribution<double> unit(0, 1);
    if (unit(random) < 0.03) {
        return 2 + 3 * unit(random);
    }
    return std::exp(std::log(0.05) + unit(random) * std::log(20.0));
}

inline WorkloadJob drawJob(std::mt19937_64 &random, const WorkloadOptions &options)
{
    std::normal_distribution<double> normal(0, 1);
    WorkloadJob job;
    const int tasks = drawTaskCount(random, options.singleTaskShare);
    for (int task = 0; task < tasks; ++task) {
        const double size = drawTaskSeconds(random);
        job.sizes.push_back(microsOf(size));
        job.declared.push_back(microsOf(size * std::exp(options.declaredSigma * normal(random))));
    }
    return job;
}

inline double meanWorkSeconds(const WorkloadOptions &options)
{
    std::mt19937_64 random(4711);
    Micros sum {0};
    constexpr int samples = 50000;
    for (int sample = 0; sample < samples; ++sample) {
        const auto job = drawJob(random, options);
        sum = std::accumulate(job.sizes.begin(), job.sizes.end(), sum);
    }
    return static_cast<double>(sum.count()) / 1e6 / samples;
}

/// Returns the seconds of work that all servers together do per second.
inline double capacityOf(const WorkloadOptions &options)
{
    return options.slots * std::accumulate(options.speeds.begin(), options.speeds.end(), 0.0);
}

/// Generates jobs with random arrival times that do not depend on the responses. Jobs have 1 to 230 tasks; tasks take
/// 50 ms to 1 s, and 3% of them 2 s to 5 s. The same options give the same jobs.
inline std::vector<WorkloadJob> makeWorkload(const WorkloadOptions &options)
{
    std::mt19937_64 random(options.seed);
    std::exponential_distribution<double> interArrivalSeconds(options.load * capacityOf(options)
                                                              / meanWorkSeconds(options));
    std::vector<WorkloadJob> jobs;
    double nextBurst = options.burstJobs > 0 ? options.burstSeconds : options.seconds;
    const auto add = [&](double time) {
        jobs.push_back(drawJob(random, options));
        jobs.back().arrival = microsOf(time);
    };
    for (double time = interArrivalSeconds(random); time < options.seconds; time += interArrivalSeconds(random)) {
        for (; nextBurst < time; nextBurst += options.burstSeconds) {
            for (int job = 0; job < options.burstJobs; ++job) {
                add(nextBurst);
            }
        }
        add(time);
    }
    return jobs;
}

/// Simulates an ideal central first-come queue, which knows the true speeds and sizes and needs no messages. The tasks
/// of a job start in the order of decreasing size, each on the fastest free slot.
class IdealQueue
{
public:
    explicit IdealQueue(const WorkloadOptions &options)
        : options(options)
    {
        for (std::size_t server = 0; server < options.speeds.size(); ++server) {
            for (int slot = 0; slot < options.slots; ++slot) {
                this->freeSlots.emplace(-options.speeds[server], static_cast<int>(server) * options.slots + slot);
            }
        }
    }

    /// Returns the response times in the order of the jobs. Precondition: the jobs are ordered by arrival. May be
    /// called only once.
    std::vector<Micros> run(const std::vector<WorkloadJob> &jobs)
    {
        std::vector<Micros> responses;
        responses.reserve(jobs.size());
        for (const auto &job : jobs) {
            responses.push_back(this->scheduleJob(job) - job.arrival);
        }
        return responses;
    }

private:
    // Returns when the last task of the job finishes. Tasks start in the order of arrival, so the schedule of a job is
    // final once all earlier jobs are scheduled.
    Micros scheduleJob(const WorkloadJob &job)
    {
        auto sizes = job.sizes;
        std::sort(sizes.begin(), sizes.end(), std::greater<>());
        Micros finish {0};
        this->clock = std::max(this->clock, job.arrival);
        for (const auto size : sizes) {
            this->releaseSlots(this->clock);
            if (this->freeSlots.empty()) {
                this->clock = this->busySlots.top().first;
                this->releaseSlots(this->clock);
            }
            const auto [negativeSpeed, slot] = *this->freeSlots.begin();
            this->freeSlots.erase(this->freeSlots.begin());
            const auto end
                = this->clock + Micros(static_cast<std::int64_t>(static_cast<double>(size.count()) / -negativeSpeed));
            this->busySlots.emplace(end, slot);
            finish = std::max(finish, end);
        }
        return finish;
    }

    void releaseSlots(Micros time)
    {
        while (!this->busySlots.empty() && this->busySlots.top().first <= time) {
            const int slot = this->busySlots.top().second;
            this->freeSlots.emplace(-this->options.speeds[static_cast<std::size_t>(slot / this->options.slots)], slot);
            this->busySlots.pop();
        }
    }

    using BusySlot = std::pair<Micros, int>;
    WorkloadOptions options;
    Micros clock {0};
    std::set<std::pair<double, int>> freeSlots;
    std::priority_queue<BusySlot, std::vector<BusySlot>, std::greater<>> busySlots;
};

/// Mean and percentiles of response times in milliseconds.
struct ResponseSummary
{
    double mean = 0;
    double p50 = 0;
    double p99 = 0;
    double p999 = 0;
};

inline ResponseSummary summarise(std::vector<Micros> responses)
{
    if (responses.empty()) {
        return {};
    }
    std::sort(responses.begin(), responses.end());
    const auto msOf = [](Micros time) { return static_cast<double>(time.count()) / 1000; };
    const auto quantile = [&](double share) {
        return msOf(responses[static_cast<std::size_t>(share * static_cast<double>(responses.size() - 1))]);
    };
    const auto sum = std::accumulate(responses.begin(), responses.end(), Micros(0));
    return {msOf(sum) / static_cast<double>(responses.size()), quantile(0.5), quantile(0.99), quantile(0.999)};
}

} // namespace agatedrum::tools
