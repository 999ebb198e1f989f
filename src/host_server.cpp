#include "host_server_p.h"

namespace agatedrum {

const char *outcomeName(OrderOutcome outcome)
{
    switch (outcome) {
    case OrderOutcome::Accepted:
        return "accepted";
    case OrderOutcome::Fenced:
        return "fenced";
    case OrderOutcome::RunTooLow:
        return "run-too-low";
    case OrderOutcome::Late:
        return "late";
    case OrderOutcome::NoCapacity:
        return "no-room";
    case OrderOutcome::Invalid:
        return "invalid";
    case OrderOutcome::Unhealthy:
        return "unhealthy";
    case OrderOutcome::OtherInstance:
        return "other-life";
    case OrderOutcome::NotSent:
        return "not-sent";
    case OrderOutcome::Unanswered:
        break;
    }
    return "unanswered";
}

} // namespace agatedrum
