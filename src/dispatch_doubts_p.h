#pragma once

#include "base_clock_p.h"
#include "host_server_p.h"
#include "wire_message_p.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace agatedrum {

/// A process of a host that may have sent a start order whose effect is unknown.
struct StartInDoubt
{
    std::string host;
    std::int64_t hostIncarnation = 0;
    Time until; ///< the order can have no effect after this time
    /// When a lost host or entry was reported; Time {} if the host itself has found the order without an answer.
    Time reportedAt {};
};

/// Remembers which tasks may still be started by an order that was given before, and tells the other entries. Not
/// thread-safe.
///
/// A backend server may carry out a start order seconds late. Only its host can rule that out. While the host is lost,
/// a run elsewhere could overlap with the late one, so all entries have to know of the order.
class DispatchDoubts
{
public:
    /// @param repeatInterval time between two announcements of one order
    explicit DispatchDoubts(Millis repeatInterval);

    /// Records the orders of lost hosts and entries.
    void learn(const std::vector<wire::JobInDoubt> &jobs, Time now);
    /// Records the orders that a host, which lives, has found without an answer.
    void learnUnanswered(const std::vector<wire::JobInDoubt> &jobs, Time now);
    /// Records an order of this entry, and announces it several times.
    void announce(const TaskName &task, const StartInDoubt &start, Time now);
    /// Returns the announcements to send now.
    std::vector<wire::JobInDoubt> takeDue(Time now);
    /// Returns the hosts that may have sent a start order of the task.
    std::vector<StartInDoubt> startsOf(const TaskName &task, Time now) const;
    void removeExpired(Time now);
    std::size_t size() const
    {
        return this->starts.size();
    }

private:
    struct Announcement
    {
        wire::JobInDoubt job;
        Time until;
        int remaining = 0;
        Time nextAt;
    };

    void add(const std::vector<wire::JobInDoubt> &jobs, Time reportedAt, Time now);
    void add(const TaskName &task, StartInDoubt start);

    const Millis repeatInterval;
    std::map<TaskName, std::vector<StartInDoubt>> starts;
    std::vector<Announcement> announcements;
    Time sweptAt;
};

} // namespace agatedrum
