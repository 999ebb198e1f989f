#pragma once

#include "base_clock_p.h"
#include "control_state_p.h"
#include "wire_message_p.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace agatedrum {

/// What the leader of the control group knows of members beyond the log: heartbeats, time-outs, which views they have.
/// Proposes commands; never changes the state itself. Not thread-safe.
class ControlMembers
{
public:
    /// Proposes a command. @return its index in the log, or nothing when this process does not lead.
    using Propose = std::function<std::optional<std::int64_t>(wire::Command)>;
    using SendView = std::function<void(const wire::Endpoint &, wire::ClusterView)>;

    ControlMembers(const ControlState &state, const ClockI &clock, Propose propose, SendView sendView);

    /// Forgets everything and gives every member a full time-out; after an election.
    void reset();
    /// @param hasLease whether this process certainly leads.
    wire::HeartbeatReply handleHeartbeat(const Incoming &incoming, const wire::MemberHeartbeat &heartbeat,
                                         bool hasLease);
    /// Proposes what time has made due.
    void tick(bool hasLease);
    /// Notes that the state has applied everything up to the index.
    void applied(std::int64_t index);
    /// Sends views to those members whose view is out of date and that got no newer one yet.
    void pushViews();

    /// Members that have not confirmed the configuration number.
    std::vector<std::string> lagging(std::int64_t number) const;
    /// Time since the last heartbeat; nothing for a member that was never heard by this leader.
    std::optional<Micros> silence(const std::string &member) const;
    /// Configuration number in the member's last heartbeat.
    std::int64_t configNumber(const std::string &member) const;

private:
    struct Contact
    {
        wire::ProcessId id;
        Time heard; ///< last heartbeat
        Time accepted; ///< last heartbeat that extended a lease
        bool isHeard = false;
        std::int64_t viewVersion = 0; ///< in the last heartbeat
        std::int64_t sentVersion = 0;
        Time viewSent;
        std::int64_t configNumber = 0;
        std::int64_t pending = 0; ///< index of the newest proposal about the member
    };

    bool isPending(const Contact &contact) const;
    void propose(Contact &contact, wire::Command command);
    void proposeJoin(Contact &contact, const Incoming &incoming, const wire::MemberHeartbeat &heartbeat);
    void proposeGone(Contact &contact, const wire::MemberRecord &member);
    void handleCurrent(Contact &contact, const wire::MemberRecord &member, const Incoming &incoming,
                       const wire::MemberHeartbeat &heartbeat);
    void handleReport(const std::string &owner, const wire::CellReport &report, const wire::MemberHeartbeat &heartbeat);
    void proposeWhole(const wire::CellRecord &cell, const wire::HolderRecord &holder, std::int64_t viewVersion);
    void proposeHandOver(const wire::CellRecord &cell);
    bool mayExtendLease(const Contact &contact, const wire::MemberRecord &member,
                        const wire::MemberHeartbeat &heartbeat) const;
    bool isHandingOver(const std::string &owner) const;
    bool isReadyToHandOver(const std::string &owner) const;
    bool hasSuccessor(const wire::CellRecord &cell) const;
    void checkMember(Contact &contact, const wire::MemberRecord &member);
    void sendTo(Contact &contact, const wire::MemberRecord &member);

    const ControlState &state;
    const ClockI &clock;
    const Propose proposer;
    const SendView viewSender;
    std::map<std::string, Contact> contacts;
    /// Index of the newest proposal for a holder (cell, epoch, name) or, with an empty name, for a cell.
    std::map<std::tuple<std::int32_t, std::int64_t, std::string>, std::int64_t> cellProposals;
    std::int64_t appliedIndex = 0;
    Time judgedFrom; ///< silence counts from here at the earliest
    Time lastTick;
    Time nextScan;
};

} // namespace agatedrum
