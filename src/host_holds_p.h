#pragma once

#include "base_clock_p.h"

#include <optional>
#include <vector>

namespace agatedrum {

/// When a host asks its backend server what runs and what has ended. No I/O; not thread-safe.
///
/// Answers this load: a part of the backend server's answers is lost, or a part of the orders to it is carried out
/// seconds late. Each lost answer hides ends until its time-out, and a start without an answer holds room until a
/// question shows what became of it; both make short tasks late. While answers are lost, two questions wait for ends at
/// a time, and a doubtful run brings one more that is answered at once.
class HoldSchedule
{
public:
    /// One question.
    struct Hold
    {
        Time sentAt;
        Millis wait {0}; ///< for an end; 0 when it is to be answered at once
    };

    /// The next question to send now; call until there is none.
    /// @param doubts for each doubtful run, the time after which a question tells something new about it
    std::optional<Hold> takeDue(Time now, const std::vector<Time> &doubts);
    /// The question has been answered.
    void noteAnswer(const Hold &hold);
    /// The answer to the question was lost.
    void noteLoss(const Hold &hold, Time now);
    /// The answer to an order was lost.
    void noteLoss(Time now);
    /// Sends no question before that time.
    void delayUntil(Time time);

private:
    int waiting = 0; ///< questions that wait for an end
    bool isLooking = false; ///< a question that does not wait is open
    Time lookedAt; ///< when the newest one of these was sent, unless its answer was lost
    Time lossyUntil;
    Time delayedUntil;
};

} // namespace agatedrum
