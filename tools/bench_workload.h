#pragma once

#include "base_clock_p.h"

#include <cstdint>
#include <vector>

namespace agatedrum::bench {

struct WorkloadOptions
{
    double load = 0.8; ///< share of the servers' capacity that the arrivals need
    double seconds = 600;
    double declaredSigma = 1; ///< spread of the logarithm of declared to true sizes
    std::uint64_t seed = 1;
};

struct WorkloadJob
{
    Micros arrival {0};
    std::vector<Micros> sizes; ///< true run times on a server of speed 1
    std::vector<Micros> declared;
};

/// Speeds of the trial's backend servers, each with 8 slots.
const std::vector<double> &serverSpeeds();
constexpr int slotsPerServer = 8;

/// Open arrivals: tasks of 50 ms to 1 s with 3% of 2 s to 5 s, jobs of 1 to 230 tasks. The same for the same options.
std::vector<WorkloadJob> makeWorkload(const WorkloadOptions &options);

} // namespace agatedrum::bench
