#include "host_queue_p.h"

#include "host_resources_p.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace agatedrum {

namespace {

struct Release
{
    Micros releasedIn {0};
    wire::Resources demand;
};

bool isLater(const Release &a, const Release &b)
{
    return a.releasedIn > b.releasedIn;
}

bool startsBefore(const WaitingTask &a, const WaitingTask &b)
{
    return std::tie(a.latestStart, a.priority) < std::tie(b.latestStart, b.priority);
}

} // namespace

void HostQueue::add(const WaitingTask &task)
{
    const auto position = std::upper_bound(this->tasks.begin(), this->tasks.end(), task, startsBefore);
    this->tasks.insert(position, task);
}

void HostQueue::remove(std::int64_t id)
{
    this->tasks.erase(
        std::remove_if(this->tasks.begin(), this->tasks.end(), [id](const WaitingTask &task) { return task.id == id; }),
        this->tasks.end());
}

std::vector<WaitingTask>::iterator HostQueue::firstOnTime(Time now)
{
    return std::find_if(this->tasks.begin(), this->tasks.end(),
                        [now](const WaitingTask &task) { return task.latestStart >= now; });
}

std::vector<std::int64_t> HostQueue::takeStartable(wire::Resources free, Time now)
{
    std::vector<std::int64_t> started;
    // The tasks are sorted by latest start, so this moves the late ones behind all others.
    std::rotate(this->tasks.begin(), this->firstOnTime(now), this->tasks.end());
    std::vector<WaitingTask> kept;
    for (auto &task : this->tasks) {
        if (fits(task.demand, free)) {
            free = minus(free, task.demand);
            started.push_back(task.id);
        } else {
            kept.push_back(std::move(task));
        }
    }
    this->tasks = std::move(kept);
    std::stable_sort(this->tasks.begin(), this->tasks.end(), startsBefore);
    return started;
}

std::vector<WaitingTask> HostQueue::waitingOnTime(Time now) const
{
    std::vector<WaitingTask> result;
    std::copy_if(this->tasks.begin(), this->tasks.end(), std::back_inserter(result),
                 [now](const WaitingTask &task) { return task.latestStart >= now; });
    return result;
}

Micros expectedStartDelay(const wire::Resources &capacity, const std::vector<ReservingTask> &reserving,
                          const std::vector<WaitingTask> &waiting, const wire::Resources &demand)
{
    auto free = capacity;
    std::vector<Release> releases; // min-heap: the earliest release first
    for (const auto &task : reserving) {
        free = minus(free, task.demand);
        releases.push_back({task.remaining, task.demand});
    }
    std::make_heap(releases.begin(), releases.end(), isLater);
    Micros delay {0};
    const auto advanceUntilFits = [&](const wire::Resources &wanted) {
        while (!fits(wanted, free) && !releases.empty()) {
            std::pop_heap(releases.begin(), releases.end(), isLater);
            delay = std::max(delay, releases.back().releasedIn);
            free = plus(free, releases.back().demand);
            releases.pop_back();
        }
    };
    for (const auto &task : waiting) {
        advanceUntilFits(task.demand);
        free = minus(free, task.demand);
        releases.push_back({delay + task.expectedRunTime, task.demand});
        std::push_heap(releases.begin(), releases.end(), isLater);
    }
    advanceUntilFits(demand);
    return delay;
}

} // namespace agatedrum
