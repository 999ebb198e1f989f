#include "dispatch_placement_p.h"

#include "host_progress_p.h"
#include "host_resources_p.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace agatedrum {

namespace {

/// A failed task has to run again, so a host with failures counts as slower. Above this failure share, a host gets no
/// task while another host can run it.
constexpr double failingThreshold = 0.5;
constexpr double maxFailureShare = 0.95; ///< keeps the expected number of runs finite
/// Above this utilization, a host's capacity is kept for tasks that need it: further use counts as a loss, which rises
/// to highUtilizationLoss when the host is full.
constexpr double highUtilization = 0.6;
constexpr double highUtilizationLoss = 0.15;
constexpr double lateLoss = 0.8; ///< loss of an answer after the objective; a missed deadline counts as 1
constexpr double failingLoss = 2.0; ///< above all other losses, so that a failing host is chosen last
constexpr double endWeight = 0.1;
/// Standard deviation of the logarithm of actual to estimated run times; callers' estimates are rough.
constexpr double estimateSpread = 0.4;

int groupCount(const HostCandidate &candidate, int group)
{
    return static_cast<std::size_t>(group) < candidate.groupTasks.size()
        ? candidate.groupTasks[static_cast<std::size_t>(group)]
        : 0;
}

bool canRun(const TaskRequest &task, const HostCandidate &candidate)
{
    const ServerOffer offer {candidate.capacity, candidate.labels, candidate.isEvacuated};
    return unmetNeed(task, offer, groupCount(candidate, task.group)).empty();
}

/// Returns the run time factor of the task at the host, for the way to its data.
double dataFactor(const TaskRequest &task, const HostCandidate &candidate, double farFactor)
{
    return task.dataRack.empty() || hasLabel(candidate.labels, task.dataRack) ? 1.0 : farFactor;
}

Micros scaled(Micros time, double factor)
{
    return Micros(static_cast<std::int64_t>(static_cast<double>(time.count()) * factor));
}

Micros startDelayOn(const TaskRequest &task, const HostCandidate &candidate)
{
    return fits(task.demand, candidate.free) ? Micros(0) : candidate.startDelay + candidate.queuedTime;
}

double utilizationOf(const HostCandidate &candidate)
{
    return candidate.capacity.cpuMillis <= 0
        ? 1.0
        : 1.0 - static_cast<double>(candidate.free.cpuMillis) / static_cast<double>(candidate.capacity.cpuMillis);
}

/// Adds the task to the load of the host.
void reserve(HostCandidate &candidate, const TaskRequest &task, Micros runTime)
{
    if (!fits(task.demand, candidate.free)) {
        const auto share
            = static_cast<double>(task.demand.cpuMillis) / std::max<double>(1, candidate.capacity.cpuMillis);
        candidate.queuedTime += scaled(runTime, share);
    }
    candidate.free = minus(candidate.free, task.demand);
    candidate.groupTasks.resize(std::max(candidate.groupTasks.size(), static_cast<std::size_t>(task.group) + 1));
    ++candidate.groupTasks[static_cast<std::size_t>(task.group)];
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

/// Returns the expected loss if this host runs the task: the loss of the caller, from 0 to 1, plus the losses for the
/// use of scarce capacity and for a failing host.
double expectedLoss(const HostCandidate &candidate, Micros start, Micros runTime, const PlacementGoal &goal)
{
    const double missProbability = probabilityAbove(goal.deadline - start, runTime);
    const double objectiveLoss = start + runTime > goal.objective ? lateLoss : 0.0;
    const double excessUtilization = std::max(0.0, utilizationOf(candidate) - highUtilization) / (1 - highUtilization);
    const double failureLoss = candidate.failureShare > failingThreshold ? failingLoss : 0.0;
    return missProbability + (1 - missProbability) * objectiveLoss
        + highUtilizationLoss * std::min(1.0, excessUtilization) + failureLoss;
}

Placement placeTask(const TaskRequest &task, const PlacementGoal &goal, std::vector<HostCandidate> &candidates,
                    double farFactor)
{
    Placement best;
    double lowestCost = 0;
    Micros bestRunTime {0};
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const auto &candidate = candidates[i];
        if (!canRun(task, candidate)) {
            continue;
        }
        const auto runTime = expectedTime(task.estimate, candidate.slowness * dataFactor(task, candidate, farFactor));
        const auto startDelay = startDelayOn(task, candidate);
        const auto expectedRuns = 1.0 / (1.0 - std::min(candidate.failureShare, maxFailureShare));
        const auto expectedTotalTime = scaled(runTime, expectedRuns);
        // The small weight of the end makes the earliest end decide between hosts of equal loss.
        const double cost = expectedLoss(candidate, startDelay, expectedTotalTime, goal)
            + endWeight * static_cast<double>((startDelay + expectedTotalTime).count())
                / static_cast<double>(goal.deadline.count());
        if (best.host < 0 || cost < lowestCost) {
            best = {static_cast<int>(i), startDelay, startDelay + runTime};
            lowestCost = cost;
            bestRunTime = runTime;
        }
    }
    if (best.host >= 0) {
        reserve(candidates[static_cast<std::size_t>(best.host)], task, bestRunTime);
    }
    return best;
}

} // namespace

std::vector<Placement> placeTasks(const std::vector<TaskRequest> &tasks, const PlacementGoal &goal,
                                  std::vector<HostCandidate> &candidates, double farFactor)
{
    std::vector<std::size_t> order(tasks.size());
    std::iota(order.begin(), order.end(), 0);
    std::stable_sort(order.begin(), order.end(),
                     [&tasks](std::size_t a, std::size_t b) { return tasks[a].estimate > tasks[b].estimate; });
    std::vector<Placement> placements(tasks.size());
    for (const auto index : order) {
        placements[index] = placeTask(tasks[index], goal, candidates, farFactor);
    }
    return placements;
}

} // namespace agatedrum
