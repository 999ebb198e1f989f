#pragma once

#include "base_clock_p.h"
#include "host_server_p.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace agatedrum {

/// The crashes of backend servers that hosts have reported, and the tasks to give up because of them. No I/O; not
/// thread-safe.
///
/// Every host tells every entry which tasks ran at a crash, so all entries count the same, also for a job that is
/// submitted again elsewhere. A task is suspected after one crash. It is given up if it is the only task of a crash
/// that ran at another crash as well, or after three crashes. The crashes that a given-up task explains count for no
/// other task, and neither do those before a task has ended well.
class DispatchCrashes
{
public:
    /// Applies the crashes in a host's report.
    /// @return true if they change which tasks are given up
    bool apply(const std::vector<wire::ServerCrash> &reported, Time now);
    /// Records that the task has ended with success.
    void clear(const TaskName &task);
    bool isSuspected(const TaskName &task) const;
    bool isGivenUp(const TaskName &task) const;
    /// Returns the number of remembered crashes.
    std::size_t count() const;

private:
    struct Crash
    {
        std::set<TaskName> tasks; ///< those that have not ended well since
        Time heardAt;
    };

    /// Derives which tasks are suspected and which are given up.
    void review();
    /// Returns the number of unexplained crashes of each task.
    std::map<TaskName, int> countUnexplained() const;
    bool isExplained(const Crash &crash) const;

    std::map<std::string, Crash> crashes; ///< keyed by the crashed instance
    std::map<TaskName, int> suspected; ///< number of unexplained crashes
    std::set<TaskName> givenUp;
};

} // namespace agatedrum
