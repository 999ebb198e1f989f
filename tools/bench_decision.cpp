#include "bench_p.h"
#include "cell_scheduler_p.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <numeric>

namespace agatedrum::bench {

namespace {

constexpr int tasksPerJob = 50;
constexpr int decisions = 200000;

ClusterConfig trialConfig()
{
    ServiceConfig service;
    service.name = "trial";
    ClusterConfig config;
    config.services = {service};
    return config;
}

/// Returns the microseconds for one task start and one task finish while the queue length stays about the same.
double decisionCost(int servers, int queued)
{
    CellScheduler scheduler(trialConfig(), "trial", 1);
    Time now {std::chrono::hours(1)};
    for (int server = 0; server < servers; ++server) {
        scheduler.setServer(std::to_string(server), 8, 64, -1, now);
    }
    std::vector<int> tasks(tasksPerJob);
    std::iota(tasks.begin(), tasks.end(), 0);
    JobNumber number = 0;
    const auto addJob = [&] {
        ScheduledJob job;
        job.number = ++number;
        for (int task = 0; task < tasksPerJob; ++task) {
            job.declared.emplace_back(50000 + (number * 7919 + task * JobNumber(104729)) % 950000);
        }
        scheduler.add(job, tasks, now);
    };
    while (scheduler.queuedTasks() < static_cast<std::size_t>(queued)) {
        addJob();
    }
    std::vector<Assignment> running;
    while (auto assignment = scheduler.next(now)) {
        running.push_back(std::move(*assignment));
    }
    const auto begin = std::chrono::steady_clock::now();
    for (int decision = 0; decision < decisions; ++decision) {
        now += Micros(50);
        auto &slot = running[static_cast<std::size_t>(decision) * 7919 % running.size()];
        scheduler.finished(slot, wire::Outcome::FINISHED, Micros(100000 + decision % 1000 * 100), now);
        slot = *scheduler.next(now);
        if (decision % tasksPerJob == 0) {
            addJob();
        }
        if (decision % 100 == 0) {
            scheduler.tick(now);
        }
    }
    const std::chrono::duration<double, std::micro> spent = std::chrono::steady_clock::now() - begin;
    return spent.count() / decisions;
}

double medianCost(int servers, int queued)
{
    std::array<double, 5> costs {};
    for (auto &cost : costs) {
        cost = decisionCost(servers, queued);
    }
    std::sort(costs.begin(), costs.end());
    return costs[costs.size() / 2];
}

} // namespace

int runDecisionBench()
{
    fmt::print("Microseconds for one start, one finish and their share of adding jobs; median of 5 runs\n\n"
               "| servers | 2,000 queued | 100,000 queued |\n| --- | --- | --- |\n");
    for (const int servers : {11, 50, 200}) {
        fmt::print("| {} | {:.2f} | {:.2f} |\n", servers, medianCost(servers, 2000), medianCost(servers, 99000));
    }
    return 0;
}

} // namespace agatedrum::bench
