#pragma once

#include "entry_core_p.h"
#include "entry_table_p.h"

#include <optional>
#include <variant>

namespace agatedrum {

using ControlReply = std::variant<ApplyHandler, ControlHandler>;

/// One request that waits for the control group's answer.
struct ControlCall
{
    std::variant<wire::ApplyConfig, wire::ControlQuery> message;
    ControlReply reply;
    Time limit;
    Time nextSend;
    std::optional<wire::ApplyReply> undecided; ///< the last reply that named no decision
};

/// Requests to the control group: sent to its leader, and again when there is no answer, no decision or another leader.
/// Thread-safe.
class EntryControl
{
public:
    EntryControl(MessageSinkI &sink, const ClockI &clock, MemberLink &link, const EntryOptions &options,
                 std::int64_t firstId);

    void apply(wire::ApplyConfig message, ApplyHandler reply);
    void query(wire::ControlQuery message, ControlHandler reply);
    void handleReply(const wire::ApplyReply &message);
    void handleAnswer(const wire::ControlAnswer &message);
    void tick();

    std::size_t open() const;

private:
    void start(ControlCall call);
    Time send(std::int64_t id, ControlCall &call, Time now);
    void retryLater(std::int64_t id, const wire::ApplyReply *undecided);

    MessageSinkI &sink;
    const ClockI &clock;
    MemberLink &link;
    const Millis timeout;
    EntryTable<ControlCall> calls;
};

} // namespace agatedrum
