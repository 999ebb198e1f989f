#pragma once

#include "entry_core_p.h"
#include "entry_table_p.h"

#include <optional>
#include <variant>

namespace agatedrum {

using ControlReplyHandler = std::variant<ApplyHandler, ControlHandler>;

/// A request that is waiting for the control group's answer.
struct ControlCall
{
    std::variant<wire::ApplyConfig, wire::ControlQuery, wire::OrderEvacuation> message;
    ControlReplyHandler reply;
    Time timeoutAt; ///< when the request times out
    Time nextSendAt;
    /// last reply saying that no decision was made; reported on a timeout
    std::optional<wire::ApplyReply> lastUndecidedReply;
};

/// Sends requests to the leader of the control group, and resends them if there is no answer, no decision was made, or
/// the receiver is not the leader. Thread-safe.
class EntryControl
{
public:
    EntryControl(MessageSinkI &sink, const ClockI &clock, MemberLink &link, const EntryOptions &options,
                 std::int64_t firstId);

    void apply(wire::ApplyConfig message, ApplyHandler reply);
    void query(wire::ControlQuery message, ControlHandler reply);
    void orderEvacuation(wire::OrderEvacuation message, ApplyHandler reply);
    void handleApplyReply(const wire::ApplyReply &message);
    void handleQueryAnswer(const wire::ControlAnswer &message);
    void tick();

    std::size_t openCount() const;

private:
    void start(ControlCall call);
    Time send(std::int64_t id, ControlCall &call, Time now);
    /// Resends an order with the index of the newest one for its failure domain, as the leader has asked for.
    void confirm(const wire::ApplyReply &message);
    void scheduleRetry(std::int64_t id, const wire::ApplyReply *undecidedReply);

    MessageSinkI &sink;
    const ClockI &clock;
    MemberLink &link;
    const Millis timeout;
    PendingCallTable<ControlCall> calls;
};

} // namespace agatedrum
