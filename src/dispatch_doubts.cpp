#include "dispatch_doubts_p.h"

#include "base_event_p.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace agatedrum {

namespace {

constexpr auto component = "dispatch";
constexpr Millis sweepInterval {1000};
constexpr int announcementCount = 3; ///< a relaying host may be lost as well
constexpr Millis maxTime {60000}; ///< longer than an order may have an effect
constexpr std::size_t maxTasks = 100000; ///< far more than the tasks that are started while an order may be late

} // namespace

DispatchDoubts::DispatchDoubts(Millis repeatInterval)
    : repeatInterval(repeatInterval)
{
}

void DispatchDoubts::learn(const std::vector<wire::JobInDoubt> &jobs, Time now)
{
    this->add(jobs, now, now);
}

void DispatchDoubts::learnUnanswered(const std::vector<wire::JobInDoubt> &jobs, Time now)
{
    this->add(jobs, Time {}, now);
}

void DispatchDoubts::add(const std::vector<wire::JobInDoubt> &jobs, Time reportedAt, Time now)
{
    for (const auto &job : jobs) {
        for (const auto &place : job.places) {
            for (const auto index : place.indexes) {
                const auto left = std::min<Micros>(maxTime, Micros(job.leftMicros));
                this->add({job.job, index}, {place.host, place.hostIncarnation, now + left, reportedAt});
            }
        }
    }
}

void DispatchDoubts::announce(const TaskName &task, const StartInDoubt &start, Time now)
{
    this->add(task, start);
    wire::TaskPlace place;
    place.host = start.host;
    place.hostIncarnation = start.hostIncarnation;
    place.indexes = {task.index};
    wire::JobInDoubt job;
    job.job = task.job;
    job.places = {std::move(place)};
    this->announcements.push_back({std::move(job), start.until, announcementCount, now});
}

std::vector<wire::JobInDoubt> DispatchDoubts::takeDue(Time now)
{
    std::vector<wire::JobInDoubt> due;
    for (auto &announcement : this->announcements) {
        if (now >= announcement.nextAt) {
            announcement.job.leftMicros = (announcement.until - now).count();
            due.push_back(announcement.job);
            announcement.nextAt = now + this->repeatInterval;
            --announcement.remaining;
        }
    }
    this->announcements.erase(std::remove_if(this->announcements.begin(), this->announcements.end(),
                                             [](const Announcement &each) { return each.remaining == 0; }),
                              this->announcements.end());
    return due;
}

std::vector<StartInDoubt> DispatchDoubts::startsOf(const TaskName &task, Time now) const
{
    std::vector<StartInDoubt> result;
    const auto found = this->starts.find(task);
    if (found != this->starts.end()) {
        std::copy_if(found->second.begin(), found->second.end(), std::back_inserter(result),
                     [now](const StartInDoubt &start) { return now < start.until; });
    }
    return result;
}

void DispatchDoubts::removeExpired(Time now)
{
    if (now - this->sweptAt < sweepInterval) {
        return;
    }
    this->sweptAt = now;
    for (auto task = this->starts.begin(); task != this->starts.end();) {
        auto &known = task->second;
        known.erase(
            std::remove_if(known.begin(), known.end(), [now](const StartInDoubt &start) { return now >= start.until; }),
            known.end());
        task = known.empty() ? this->starts.erase(task) : std::next(task);
    }
}

void DispatchDoubts::add(const TaskName &task, StartInDoubt start)
{
    if (this->starts.size() >= maxTasks && this->starts.count(task) == 0) {
        logEvent(component, "start_in_doubt_dropped", {{"job", task.job}, {"task", task.index}, {"host", start.host}});
        return;
    }
    auto &known = this->starts[task];
    const auto same = std::find_if(known.begin(), known.end(), [&start](const StartInDoubt &each) {
        return each.host == start.host && each.hostIncarnation == start.hostIncarnation;
    });
    if (same == known.end()) {
        known.push_back(std::move(start));
    } else {
        same->until = std::max(same->until, start.until);
        same->reportedAt = std::max(same->reportedAt, start.reportedAt);
    }
}

} // namespace agatedrum
