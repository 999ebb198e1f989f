#include "dispatch_placement_p.h"

#include "host_room_p.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace agatedrum {

namespace {

/// A task that fails has to run again, so a failing host counts as slower. Above this share it gets no task while
/// another host can take it.
constexpr double highFailureShare = 0.5;
constexpr double highestFailureShare = 0.95; ///< keeps the expected number of runs finite
/// Above this share of use a host's room is kept for tasks that no other free host would end in time: each further
/// part of its room makes the host look slower, up to the factor when it is full.
constexpr double reservedShare = 0.6;
constexpr double reservedFactor = 4.0;

bool hasLabel(const HostChoice &choice, const std::string &label)
{
    return label.empty() || std::find(choice.labels.begin(), choice.labels.end(), label) != choice.labels.end();
}

int groupCount(const HostChoice &choice, int group)
{
    return static_cast<std::size_t>(group) < choice.groupTasks.size()
        ? choice.groupTasks[static_cast<std::size_t>(group)]
        : 0;
}

bool canRun(const TaskRequest &task, const HostChoice &choice)
{
    return fits(task.demand, choice.capacity) && hasLabel(choice, task.requiredLabel)
        && (task.maxPerHost == 0 || groupCount(choice, task.group) < task.maxPerHost);
}

Micros scaled(Micros time, double factor)
{
    return Micros(static_cast<std::int64_t>(static_cast<double>(time.count()) * factor));
}

Micros startAt(const TaskRequest &task, const HostChoice &choice)
{
    return fits(task.demand, choice.free) ? Micros(0) : choice.startDelay + choice.queuedTime;
}

double useOf(const HostChoice &choice)
{
    return choice.capacity.cpuMillis <= 0
        ? 1.0
        : 1.0 - static_cast<double>(choice.free.cpuMillis) / static_cast<double>(choice.capacity.cpuMillis);
}

/// Adds the task to what the host has to do.
void occupy(HostChoice &choice, const TaskRequest &task, Micros runTime)
{
    if (!fits(task.demand, choice.free)) {
        const auto share = static_cast<double>(task.demand.cpuMillis) / std::max<double>(1, choice.capacity.cpuMillis);
        choice.queuedTime += scaled(runTime, share);
    }
    choice.free = minus(choice.free, task.demand);
    choice.groupTasks.resize(std::max(choice.groupTasks.size(), static_cast<std::size_t>(task.group) + 1));
    ++choice.groupTasks[static_cast<std::size_t>(task.group)];
}

/// Order of preference; lower is better.
using Rank = std::tuple<bool, bool, bool, double>;

Rank rankOf(const HostChoice &choice, Micros start, Micros end, Micros goal)
{
    const bool isFailing = choice.failureShare > highFailureShare;
    const bool isLate = end > goal;
    const double reserved = std::max(0.0, useOf(choice) - reservedShare) / (1 - reservedShare);
    const double factor = isLate ? 1.0 : 1 + (reservedFactor - 1) * reserved;
    return {isFailing, isLate, !isLate && start > Micros(0), factor * static_cast<double>(end.count())};
}

Placement placeTask(const TaskRequest &task, Micros goal, std::vector<HostChoice> &choices, double farFactor)
{
    Placement best;
    Rank bestRank;
    Micros bestRun {0};
    for (std::size_t i = 0; i < choices.size(); ++i) {
        const auto &choice = choices[i];
        if (!canRun(task, choice)) {
            continue;
        }
        const auto run = scaled(task.estimate, choice.slowness * (hasLabel(choice, task.dataRack) ? 1.0 : farFactor));
        const auto start = startAt(task, choice);
        const auto repeats = 1.0 / (1.0 - std::min(choice.failureShare, highestFailureShare));
        const auto rank = rankOf(choice, start, start + scaled(run, repeats), goal);
        if (best.host < 0 || rank < bestRank) {
            best = {static_cast<int>(i), start, start + run};
            bestRank = rank;
            bestRun = run;
        }
    }
    if (best.host >= 0) {
        occupy(choices[static_cast<std::size_t>(best.host)], task, bestRun);
    }
    return best;
}

} // namespace

std::vector<Placement> placeTasks(const std::vector<TaskRequest> &tasks, Micros goal, std::vector<HostChoice> &choices,
                                  double farFactor)
{
    std::vector<std::size_t> order(tasks.size());
    std::iota(order.begin(), order.end(), 0);
    std::stable_sort(order.begin(), order.end(),
                     [&tasks](std::size_t a, std::size_t b) { return tasks[a].estimate > tasks[b].estimate; });
    std::vector<Placement> placements(tasks.size());
    for (const auto index : order) {
        placements[index] = placeTask(tasks[index], goal, choices, farFactor);
    }
    return placements;
}

} // namespace agatedrum
