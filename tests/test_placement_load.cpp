#include <catch2/catch.hpp>

#include "dispatch_placement_p.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

using namespace agatedrum;

namespace {

struct JobKind
{
    double jobsPerSecond;
    double meanTasks;
    double runMs;
};

/// Short, long and medium tasks. The offered load is six tenths of the capacity of the hosts.
constexpr std::array<JobKind, 3> kinds {{{34.4, 8, 60}, {6.25, 4, 900}, {100, 2, 200}}};
constexpr std::size_t longKind = 1;
constexpr std::int64_t taskCpu = 6200;

struct PlacedTask
{
    double untilMs = 0;
    std::size_t host = 0;
};

std::vector<HostCandidate> mixedHosts()
{
    std::vector<HostCandidate> hosts;
    for (int i = 0; i < 11; ++i) {
        const bool isFast = i % 3 == 2;
        HostCandidate host;
        host.name = std::to_string(i);
        host.capacity.cpuMillis = isFast ? 96000 : 64000;
        host.free = host.capacity;
        host.slowness = isFast ? 1 / 1.7 : 1 / 0.7;
        hosts.push_back(host);
    }
    return hosts;
}

/// Returns the share of long tasks that are placed at a slow host, for some seconds of random arrivals.
double shareOfLongTasksOnSlowHosts(std::uint32_t seed, double seconds)
{
    std::mt19937 random(seed);
    std::lognormal_distribution<double> estimateSpread(0, 0.4);
    auto hosts = mixedHosts();
    std::vector<PlacedTask> running;
    std::array<double, 3> nextArrivalMs {};
    int longTasks = 0;
    int longTasksOnSlow = 0;
    for (double nowMs = 0; nowMs < seconds * 1000; ++nowMs) {
        for (std::size_t i = running.size(); i-- > 0;) {
            if (running[i].untilMs <= nowMs) {
                hosts[running[i].host].free.cpuMillis += taskCpu;
                running.erase(running.begin() + static_cast<std::ptrdiff_t>(i));
            }
        }
        for (std::size_t kind = 0; kind < kinds.size(); ++kind) {
            while (nextArrivalMs[kind] <= nowMs) {
                nextArrivalMs[kind] += std::exponential_distribution<double>(kinds[kind].jobsPerSecond / 1000)(random);
                TaskRequest task;
                task.demand.cpuMillis = taskCpu;
                task.estimate = Micros(static_cast<std::int64_t>(kinds[kind].runMs * 1000 * estimateSpread(random)));
                const auto count
                    = static_cast<std::size_t>(std::max(1.0, kinds[kind].meanTasks * estimateSpread(random)));
                const auto objective = Micros(task.estimate.count() * 16 / 10) + Millis(60);
                const auto placements
                    = placeTasks(std::vector<TaskRequest>(count, task), {objective, Millis(1500)}, hosts, 1.0);
                for (const auto &placement : placements) {
                    const auto host = static_cast<std::size_t>(placement.host);
                    running.push_back({nowMs + static_cast<double>(placement.end.count()) / 1000, host});
                    longTasks += kind == longKind ? 1 : 0;
                    longTasksOnSlow += kind == longKind && hosts[host].slowness > 1 ? 1 : 0;
                }
                for (auto &host : hosts) {
                    host.queuedTime = Micros(0);
                }
            }
        }
    }
    return static_cast<double>(longTasksOnSlow) / longTasks;
}

} // namespace

TEST_CASE("Fast hosts keep capacity for long tasks", "[placement]")
{
    // Guards against long tasks that miss their deadline on slow hosts. The long tasks alone use a third of the fast
    // hosts, so at most one in ten should find no capacity there.
    for (const std::uint32_t seed : {1U, 2U, 3U}) {
        INFO("seed " << seed);
        REQUIRE(shareOfLongTasksOnSlowHosts(seed, 20) <= 0.1);
    }
}
