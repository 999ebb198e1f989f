#include "dispatch_stops_p.h"

#include <algorithm>
#include <utility>

namespace agatedrum {

DispatchStops::DispatchStops(Millis repeatInterval, Millis retention)
    : repeatInterval(repeatInterval)
    , retention(retention)
{
}

void DispatchStops::add(std::int64_t order, StoppingTask task, Time now)
{
    this->entries.try_emplace(order, Entry {std::move(task), now, Time {}, false});
}

void DispatchStops::confirm(std::int64_t order, const std::string &job, std::int32_t index)
{
    const auto found = this->entries.find(order);
    if (found != this->entries.end() && found->second.task.job == job && found->second.task.index == index) {
        this->entries.erase(found);
    }
}

bool DispatchStops::isPending(const std::string &job, std::int32_t index) const
{
    return std::any_of(this->entries.begin(), this->entries.end(), [&job, index](const auto &entry) {
        return entry.second.task.index == index && entry.second.task.job == job;
    });
}

std::vector<StoppingTask> DispatchStops::takeDue(Time now)
{
    std::vector<StoppingTask> due;
    for (auto entry = this->entries.begin(); entry != this->entries.end();) {
        auto &stop = entry->second;
        if (now - stop.addedAt > this->retention) {
            entry = this->entries.erase(entry);
            continue;
        }
        if (stop.lastSentAt == Time {} || now - stop.lastSentAt >= this->repeatInterval) {
            stop.lastSentAt = now;
            due.push_back(stop.task);
        }
        ++entry;
    }
    return due;
}

std::vector<StoppingTask> DispatchStops::takeLost(const std::function<bool(const StoppingTask &)> &isLost)
{
    std::vector<StoppingTask> lost;
    for (auto &[order, entry] : this->entries) {
        if (!entry.isLost && isLost(entry.task)) {
            entry.isLost = true;
            lost.push_back(entry.task);
        }
    }
    return lost;
}

void DispatchStops::removeIf(const std::function<bool(const StoppingTask &)> &isObsolete)
{
    for (auto entry = this->entries.begin(); entry != this->entries.end();) {
        entry = isObsolete(entry->second.task) ? this->entries.erase(entry) : std::next(entry);
    }
}

} // namespace agatedrum
