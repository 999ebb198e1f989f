#include "host_holds_p.h"

#include <algorithm>

namespace agatedrum {

namespace {

/// A question whose answer is lost hides all ends until it times out, so it waits for ends for a short time only.
constexpr Millis holdWait {60};
/// After a lost answer, more are expected for this long.
constexpr Millis lossMemory {2000};
constexpr int calmHolds = 1;
constexpr int lossyHolds = 2; ///< the loss of both answers is rare enough

} // namespace

std::optional<HoldSchedule::Hold> HoldSchedule::takeDue(Time now, const std::vector<Time> &doubts)
{
    if (now < this->delayedUntil) {
        return std::nullopt;
    }
    if (this->waiting < (now < this->lossyUntil ? lossyHolds : calmHolds)) {
        ++this->waiting;
        return Hold {now, holdWait};
    }
    const bool isLookDue = std::any_of(doubts.begin(), doubts.end(),
                                       [this, now](Time doubt) { return this->lookedAt <= doubt && doubt < now; });
    if (isLookDue && !this->isLooking) {
        this->isLooking = true;
        this->lookedAt = now;
        return Hold {now, Millis(0)};
    }
    return std::nullopt;
}

void HoldSchedule::noteAnswer(const Hold &hold)
{
    if (hold.wait > Millis(0)) {
        --this->waiting;
    } else {
        this->isLooking = false;
    }
}

void HoldSchedule::noteLoss(const Hold &hold, Time now)
{
    this->noteAnswer(hold);
    this->noteLoss(now);
    if (hold.wait == Millis(0)) {
        this->lookedAt = Time {};
    }
}

void HoldSchedule::noteLoss(Time now)
{
    this->lossyUntil = now + lossMemory;
}

void HoldSchedule::delayUntil(Time time)
{
    this->delayedUntil = std::max(this->delayedUntil, time);
}

} // namespace agatedrum
