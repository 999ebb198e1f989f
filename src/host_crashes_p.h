#pragma once

#include "base_clock_p.h"
#include "host_server_p.h"

#include <deque>
#include <string>
#include <vector>

namespace agatedrum {

/// Decides whether the backend server of a host has crashed, and keeps the crashes that the entries are told of. No
/// I/O; not thread-safe.
///
/// A poll whose connection fails at once was refused: nothing listens at the address. One refusal only pauses the host
/// until the next poll, which follows after a short delay. A server that still refuses after the confirmation time has
/// crashed.
class HostCrashes
{
public:
    /// Records a poll whose connection failed.
    /// @return true if the backend server counts as crashed from now on
    bool recordNotSent(Time sentAt, Time now);
    /// Records that the backend server has answered, so that it runs.
    void recordAnswer();
    /// Returns true if the newest poll was refused. No task must start and no lease be renewed meanwhile.
    bool isRefusing() const;
    /// Returns the delay until the next poll after one that was not sent.
    Millis retryDelay() const;

    /// Adds a crash to the notices.
    /// @param tasks those whose runs were active
    /// @return false if the instance counts as crashed already
    bool add(const std::string &instance, const std::vector<TaskName> &tasks, Time now);
    /// Withdraws the crash of an instance that answers again.
    /// @return true if there was one
    bool withdraw(const std::string &instance);
    /// Returns the crashes to report to the entries now. A withdrawn one has no tasks.
    std::vector<wire::ServerCrash> notices(Time now);

private:
    struct Notice
    {
        wire::ServerCrash crash;
        Time addedAt;
    };

    Time refusedSince; ///< when the first poll since the last answer was refused
    int refusals = 0; ///< number of refused polls since the last answer
    std::string lostInstance; ///< newest instance that counts as crashed
    std::deque<Notice> crashes;
};

} // namespace agatedrum
