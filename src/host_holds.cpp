#include "host_holds_p.h"

#include <algorithm>

namespace agatedrum {

namespace {

/// A lost answer hides all ended runs until the poll times out, so a poll waits for a short time only.
constexpr Millis longPollWait {60};
/// Further losses are expected for this long after a lost answer.
constexpr Millis lossExpectation {2000};
constexpr int maxLongPolls = 1;
constexpr int maxLongPollsDuringLoss = 2; ///< the loss of both answers is sufficiently unlikely

} // namespace

std::optional<PollSchedule::Poll> PollSchedule::takeDue(Time now, const std::vector<Time> &unconfirmedSince)
{
    if (now < this->delayedUntil) {
        return std::nullopt;
    }
    if (this->openLongPolls < (now < this->lossExpectedUntil ? maxLongPollsDuringLoss : maxLongPolls)) {
        ++this->openLongPolls;
        return Poll {now, longPollWait};
    }
    const bool isImmediatePollDue
        = std::any_of(unconfirmedSince.begin(), unconfirmedSince.end(),
                      [this, now](Time since) { return this->immediatePollSentAt <= since && since < now; });
    if (isImmediatePollDue && !this->isImmediatePollOpen) {
        this->isImmediatePollOpen = true;
        this->immediatePollSentAt = now;
        return Poll {now, Millis(0)};
    }
    return std::nullopt;
}

void PollSchedule::recordAnswer(const Poll &poll)
{
    if (poll.wait > Millis(0)) {
        --this->openLongPolls;
    } else {
        this->isImmediatePollOpen = false;
    }
}

void PollSchedule::recordLoss(const Poll &poll, Time now)
{
    this->recordAnswer(poll);
    this->recordLoss(now);
    if (poll.wait == Millis(0)) {
        this->immediatePollSentAt = Time {};
    }
}

void PollSchedule::recordLoss(Time now)
{
    this->lossExpectedUntil = now + lossExpectation;
}

void PollSchedule::delayUntil(Time time)
{
    this->delayedUntil = std::max(this->delayedUntil, time);
}

} // namespace agatedrum
