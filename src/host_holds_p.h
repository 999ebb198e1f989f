#pragma once

#include "base_clock_p.h"

#include <optional>
#include <vector>

namespace agatedrum {

/// Decides when a host polls its backend server for active and ended runs. No I/O; not thread-safe.
///
/// Handles backend servers that lose some of their answers, or carry out some orders seconds late. Each lost answer
/// hides ended runs until the poll times out, and a start without an answer keeps its reservation until a poll shows
/// whether the task runs; both make short tasks late. While answers are being lost, two long polls are open at a time,
/// and an unconfirmed start triggers an additional poll that is answered immediately.
class PollSchedule
{
public:
    /// One poll of the backend server.
    struct Poll
    {
        Time sentAt;
        Millis wait {0}; ///< maximum wait for a run to end; 0 for an immediate answer
    };

    /// Returns the next poll to send now, or std::nullopt if none is due. Call it repeatedly until none is due.
    /// @param unconfirmedSince for each unconfirmed run, the time after which a poll gives new information about it
    std::optional<Poll> takeDue(Time now, const std::vector<Time> &unconfirmedSince);
    /// Records that the poll was answered.
    void recordAnswer(const Poll &poll);
    /// Records that the answer to the poll was lost.
    void recordLoss(const Poll &poll, Time now);
    /// Records that the answer to an order was lost.
    void recordLoss(Time now);
    /// Delays all polls until the given time.
    void delayUntil(Time time);

private:
    int openLongPolls = 0; ///< number of unanswered polls that wait for a run to end
    bool isImmediatePollOpen = false; ///< a poll without a wait is open
    Time immediatePollSentAt; ///< newest poll without a wait; reset if its answer was lost
    Time lossExpectedUntil; ///< further lost answers are expected until then
    Time delayedUntil;
};

} // namespace agatedrum
