#include "entry_control_p.h"

#include "entry_jobs_p.h"

#include <algorithm>
#include <utility>

namespace agatedrum {

namespace {

constexpr int shards = 1;
constexpr std::size_t maxCalls = 1000;
constexpr Millis resendDelay {1000};
constexpr Millis retryDelay {100};
constexpr std::string_view notLeader = "not-leader";
constexpr std::string_view mustConfirm = "confirm";
constexpr std::string_view unavailable = "unavailable"; // no decision was made; resending the same file is safe

void refuse(const ControlReplyHandler &reply, const wire::Refusal &refusal)
{
    std::visit([&refusal](const auto &handler) { handler(refusal); }, reply);
}

} // namespace

EntryControl::EntryControl(MessageSinkI &sink, const ClockI &clock, MemberLink &link, const EntryOptions &options,
                           std::int64_t firstId)
    : sink(sink)
    , clock(clock)
    , link(link)
    , timeout(options.controlTimeout)
    , calls(shards, maxCalls, firstId)
{
}

void EntryControl::apply(wire::ApplyConfig message, ApplyHandler reply)
{
    this->start({std::move(message), std::move(reply), {}, {}, {}});
}

void EntryControl::query(wire::ControlQuery message, ControlHandler reply)
{
    this->start({std::move(message), std::move(reply), {}, {}, {}});
}

void EntryControl::orderEvacuation(wire::OrderEvacuation message, ApplyHandler reply)
{
    this->start({std::move(message), std::move(reply), {}, {}, {}});
}

void EntryControl::start(ControlCall call)
{
    const auto now = this->clock.now();
    call.timeoutAt = now + this->timeout;
    const auto reply = call.reply;
    const auto id = this->calls.add(std::move(call), now + this->timeout);
    if (id == 0) {
        refuse(reply,
               makeRefusal(wire::RefusalCode::QUEUE_FULL, "too many pending requests to the control group", false,
                           resendDelay));
        return;
    }
    this->calls.update(id, [this, id, now](ControlCall &added) { return this->send(id, added, now); });
}

Time EntryControl::send(std::int64_t id, ControlCall &call, Time now)
{
    std::visit(
        [this, id](auto message) {
            message.requestId = id;
            this->sink.send(this->link.controlAddress(), std::move(message));
        },
        call.message);
    call.nextSendAt = now + resendDelay;
    return std::min(call.nextSendAt, call.timeoutAt);
}

void EntryControl::confirm(const wire::ApplyReply &message)
{
    const auto now = this->clock.now();
    this->calls.update(message.requestId, [this, &message, now](ControlCall &call) {
        auto *order = std::get_if<wire::OrderEvacuation>(&call.message);
        if (order != nullptr && !order->__isset.expectedIndex) {
            order->__set_expectedIndex(message.orderIndex);
            return this->send(message.requestId, call, now);
        }
        return std::min(call.nextSendAt, call.timeoutAt);
    });
}

void EntryControl::handleApplyReply(const wire::ApplyReply &message)
{
    if (message.code == mustConfirm) {
        this->confirm(message);
        return;
    }
    if (message.code == notLeader || message.code == unavailable) {
        this->scheduleRetry(message.requestId, message.code == unavailable ? &message : nullptr);
        return;
    }
    const auto call = this->calls.takeIf(message.requestId, [](const ControlCall &waiting) {
        return std::holds_alternative<ApplyHandler>(waiting.reply);
    });
    if (call) {
        std::get<ApplyHandler>(call->reply)(message);
    }
}

void EntryControl::handleQueryAnswer(const wire::ControlAnswer &message)
{
    if (!message.ok && message.json.find(notLeader) != std::string::npos) {
        this->scheduleRetry(message.requestId, nullptr);
        return;
    }
    const auto call = this->calls.takeIf(message.requestId, [](const ControlCall &waiting) {
        return std::holds_alternative<ControlHandler>(waiting.reply);
    });
    if (call) {
        std::get<ControlHandler>(call->reply)(message);
    }
}

void EntryControl::scheduleRetry(std::int64_t id, const wire::ApplyReply *undecidedReply)
{
    const auto now = this->clock.now();
    this->calls.update(id, [now, undecidedReply](ControlCall &call) {
        if (undecidedReply != nullptr) {
            call.lastUndecidedReply = *undecidedReply;
        }
        call.nextSendAt = now + retryDelay;
        return std::min(call.nextSendAt, call.timeoutAt);
    });
    this->link.requestHeartbeat();
}

void EntryControl::tick()
{
    const auto now = this->clock.now();
    const auto ended
        = this->calls.processDue(now, [this, now](std::int64_t id, ControlCall &call) -> std::optional<Time> {
              return now >= call.timeoutAt ? std::nullopt : std::optional<Time>(this->send(id, call, now));
          });
    for (const auto &call : ended) {
        if (const auto *apply = std::get_if<ApplyHandler>(&call.reply); apply != nullptr && call.lastUndecidedReply) {
            (*apply)(*call.lastUndecidedReply);
            continue;
        }
        refuse(call.reply,
               makeRefusal(wire::RefusalCode::NONE,
                           "no answer from the control group; the outcome is unknown, resending the request is safe",
                           false));
    }
}

std::size_t EntryControl::openCount() const
{
    return this->calls.size();
}

} // namespace agatedrum
