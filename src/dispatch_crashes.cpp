#include "dispatch_crashes_p.h"

#include <algorithm>
#include <functional>
#include <iterator>

namespace agatedrum {

namespace {

constexpr Millis crashRetention {30000}; ///< longer than callers submit a job again
constexpr int repeatedCrashes = 2;
constexpr int maxCrashes = 3; ///< a task is given up after these, whatever ran beside it

} // namespace

bool DispatchCrashes::apply(const std::vector<wire::ServerCrash> &reported, Time now)
{
    bool isChanged = false;
    for (const auto &crash : reported) {
        const auto known = this->crashes.find(crash.server);
        if (known == this->crashes.end() && !crash.tasks.empty()) {
            auto &added = this->crashes[crash.server];
            for (const auto &task : crash.tasks) {
                added.tasks.insert({task.job, task.index});
            }
            added.heardAt = now;
            isChanged = true;
        } else if (known != this->crashes.end() && crash.tasks.empty()) {
            this->crashes.erase(known);
            isChanged = true;
        } else if (known != this->crashes.end()) {
            known->second.heardAt = now;
        }
    }
    for (auto crash = this->crashes.begin(); crash != this->crashes.end();) {
        const bool isOld = now - crash->second.heardAt > crashRetention;
        isChanged = isChanged || isOld;
        crash = isOld ? this->crashes.erase(crash) : std::next(crash);
    }
    if (!isChanged) {
        return false;
    }
    const auto before = this->givenUp;
    this->review();
    return this->givenUp != before;
}

void DispatchCrashes::clear(const TaskName &task)
{
    if (!this->isSuspected(task) || this->isGivenUp(task)) {
        return;
    }
    for (auto &[server, crash] : this->crashes) {
        crash.tasks.erase(task);
    }
    this->review();
}

bool DispatchCrashes::isSuspected(const TaskName &task) const
{
    return this->suspected.count(task) > 0;
}

bool DispatchCrashes::isGivenUp(const TaskName &task) const
{
    return this->givenUp.count(task) > 0;
}

std::size_t DispatchCrashes::count() const
{
    return this->crashes.size();
}

void DispatchCrashes::review()
{
    this->givenUp.clear();
    for (bool isChanged = true; isChanged;) {
        isChanged = false;
        const auto counts = this->countUnexplained();
        for (const auto &[server, crash] : this->crashes) {
            if (this->isExplained(crash)) {
                continue;
            }
            std::vector<TaskName> repeated;
            std::copy_if(crash.tasks.begin(), crash.tasks.end(), std::back_inserter(repeated),
                         [&counts](const TaskName &task) { return counts.at(task) >= repeatedCrashes; });
            const auto isOverLimit = [&counts](const TaskName &task) { return counts.at(task) >= maxCrashes; };
            if (repeated.size() != 1) {
                repeated.erase(std::remove_if(repeated.begin(), repeated.end(), std::not_fn(isOverLimit)),
                               repeated.end());
            }
            if (!repeated.empty()) {
                this->givenUp.insert(repeated.begin(), repeated.end());
                isChanged = true;
                break;
            }
        }
    }
    this->suspected = this->countUnexplained();
}

std::map<TaskName, int> DispatchCrashes::countUnexplained() const
{
    std::map<TaskName, int> counts;
    for (const auto &[server, crash] : this->crashes) {
        if (!this->isExplained(crash)) {
            for (const auto &task : crash.tasks) {
                ++counts[task];
            }
        }
    }
    return counts;
}

bool DispatchCrashes::isExplained(const Crash &crash) const
{
    return std::any_of(crash.tasks.begin(), crash.tasks.end(),
                       [this](const TaskName &task) { return this->isGivenUp(task); });
}

} // namespace agatedrum
