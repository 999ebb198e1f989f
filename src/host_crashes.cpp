#include "host_crashes_p.h"

#include <utility>

namespace agatedrum {

namespace {

/// A connection on the same machine is refused within this time. One that fails later was not answered at all.
constexpr Millis maxRefusalTime {50};
/// Time for which a backend server must refuse connections to count as crashed.
constexpr Millis confirmTime {100};
constexpr Millis firstRetryDelay {10}; ///< a busy backend server that refused one connection is soon asked again
constexpr Millis laterRetryDelay {100};
/// Entries are told of a crash for this long, so that one that starts meanwhile or loses messages learns of it.
constexpr Millis noticeTime {10000};

} // namespace

bool HostCrashes::recordNotSent(Time sentAt, Time now)
{
    if (now - sentAt > maxRefusalTime) {
        return false;
    }
    if (this->refusals > 0 && sentAt <= this->refusedSince) {
        return false; // sent together with the first one
    }
    if (++this->refusals == 1) {
        this->refusedSince = now;
    }
    return this->refusals > 1 && now - this->refusedSince >= confirmTime;
}

void HostCrashes::recordAnswer()
{
    this->refusals = 0;
}

bool HostCrashes::isRefusing() const
{
    return this->refusals > 0;
}

Millis HostCrashes::retryDelay() const
{
    return this->refusals == 1 ? firstRetryDelay : laterRetryDelay;
}

bool HostCrashes::add(const std::string &instance, const std::vector<TaskName> &tasks, Time now)
{
    if (this->lostInstance == instance) {
        return false;
    }
    this->lostInstance = instance;
    Notice notice;
    notice.addedAt = now;
    notice.crash.server = instance;
    for (const auto &task : tasks) {
        wire::CrashedTask crashed;
        crashed.job = task.job;
        crashed.index = task.index;
        notice.crash.tasks.push_back(std::move(crashed));
    }
    this->crashes.push_back(std::move(notice));
    return true;
}

bool HostCrashes::withdraw(const std::string &instance)
{
    if (this->lostInstance != instance) {
        return false;
    }
    this->lostInstance.clear();
    for (auto &notice : this->crashes) {
        if (notice.crash.server == instance) {
            notice.crash.tasks.clear();
        }
    }
    return true;
}

std::vector<wire::ServerCrash> HostCrashes::notices(Time now)
{
    while (!this->crashes.empty() && now - this->crashes.front().addedAt > noticeTime) {
        this->crashes.pop_front();
    }
    std::vector<wire::ServerCrash> result;
    for (const auto &notice : this->crashes) {
        result.push_back(notice.crash);
    }
    return result;
}

} // namespace agatedrum
