#include "host_queue_p.h"

#include "host_room_p.h"

#include <algorithm>
#include <tuple>

namespace agatedrum {

namespace {

struct Release
{
    Micros at {0};
    wire::Resources demand;
};

bool isLater(const Release &a, const Release &b)
{
    return a.at > b.at;
}

} // namespace

void HostQueue::add(const WaitingTask &task)
{
    const auto position
        = std::upper_bound(this->tasks.begin(), this->tasks.end(), task, [](const auto &a, const auto &b) {
              return std::tie(a.latestStart, a.priority) < std::tie(b.latestStart, b.priority);
          });
    this->tasks.insert(position, task);
}

void HostQueue::remove(std::int64_t id)
{
    this->tasks.erase(
        std::remove_if(this->tasks.begin(), this->tasks.end(), [id](const WaitingTask &task) { return task.id == id; }),
        this->tasks.end());
}

std::vector<std::int64_t> HostQueue::takeStartable(wire::Resources free)
{
    std::vector<std::int64_t> started;
    for (auto task = this->tasks.begin(); task != this->tasks.end();) {
        if (fits(task->demand, free)) {
            free = minus(free, task->demand);
            started.push_back(task->id);
            task = this->tasks.erase(task);
        } else {
            ++task;
        }
    }
    return started;
}

Micros expectedStartDelay(const wire::Resources &capacity, const std::vector<OccupyingTask> &occupying,
                          const std::vector<WaitingTask> &waiting, const wire::Resources &demand)
{
    auto free = capacity;
    std::vector<Release> releases; // a heap, the earliest first
    for (const auto &task : occupying) {
        free = minus(free, task.demand);
        releases.push_back({task.remaining, task.demand});
    }
    std::make_heap(releases.begin(), releases.end(), isLater);
    Micros now {0};
    const auto waitFor = [&](const wire::Resources &wanted) {
        while (!fits(wanted, free) && !releases.empty()) {
            std::pop_heap(releases.begin(), releases.end(), isLater);
            now = std::max(now, releases.back().at);
            free = plus(free, releases.back().demand);
            releases.pop_back();
        }
    };
    for (const auto &task : waiting) {
        waitFor(task.demand);
        free = minus(free, task.demand);
        releases.push_back({now + task.expected, task.demand});
        std::push_heap(releases.begin(), releases.end(), isLater);
    }
    waitFor(demand);
    return now;
}

} // namespace agatedrum
