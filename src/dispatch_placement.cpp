#include "dispatch_placement_p.h"

#include "host_progress_p.h"
#include "host_room_p.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace agatedrum {

namespace {

/// A task that fails has to run again, so a failing host counts as slower. Above this share it gets no task while
/// another host can take it.
constexpr double highFailureShare = 0.5;
constexpr double highestFailureShare = 0.95; ///< keeps the expected number of runs finite
/// Above this share of use, a host's room is kept for tasks that need it: its further use counts as a loss, up to this
/// one when it is full.
constexpr double reservedShare = 0.6;
constexpr double reservedLoss = 0.15;
constexpr double lateLoss = 0.8; ///< of an answer after the objective, against one in time
constexpr double failingLoss = 2.0; ///< above all others, so that a failing host comes last
constexpr double endWeight = 0.1;
/// Standard deviation of the logarithm of actual to estimated run times; callers' estimates are rough.
constexpr double estimateSpread = 0.4;

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

/// Probability that a task of this expected run time takes longer than the limit.
double probabilityAbove(Micros limit, Micros expected)
{
    if (limit <= Micros(0)) {
        return 1.0;
    }
    const auto ratio = static_cast<double>(limit.count()) / std::max(1.0, static_cast<double>(expected.count()));
    return 0.5 * std::erfc(std::log(ratio) / estimateSpread / std::sqrt(2.0));
}

/// What the caller is expected to lose by this host, from 0 to 1, and what others lose by the use of its room.
double lossOf(const HostChoice &choice, Micros start, Micros run, const PlacementGoal &goal)
{
    const double missed = probabilityAbove(goal.deadline - start, run);
    const double late = start + run > goal.objective ? lateLoss : 0.0;
    const double reserved = std::max(0.0, useOf(choice) - reservedShare) / (1 - reservedShare);
    const double failing = choice.failureShare > highFailureShare ? failingLoss : 0.0;
    return missed + (1 - missed) * late + reservedLoss * std::min(1.0, reserved) + failing;
}

Placement placeTask(const TaskRequest &task, const PlacementGoal &goal, std::vector<HostChoice> &choices,
                    double farFactor)
{
    Placement best;
    double bestRank = 0;
    Micros bestRun {0};
    for (std::size_t i = 0; i < choices.size(); ++i) {
        const auto &choice = choices[i];
        if (!canRun(task, choice)) {
            continue;
        }
        const auto run
            = expectedTime(task.estimate, choice.slowness * (hasLabel(choice, task.dataRack) ? 1.0 : farFactor));
        const auto start = startAt(task, choice);
        const auto repeats = 1.0 / (1.0 - std::min(choice.failureShare, highestFailureShare));
        const auto expected = scaled(run, repeats);
        // Among equal losses the earliest end decides.
        const double rank = lossOf(choice, start, expected, goal)
            + endWeight * static_cast<double>((start + expected).count()) / static_cast<double>(goal.deadline.count());
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

std::vector<Placement> placeTasks(const std::vector<TaskRequest> &tasks, const PlacementGoal &goal,
                                  std::vector<HostChoice> &choices, double farFactor)
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
