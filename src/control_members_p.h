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

/// Information about members that the leader of the control group keeps outside the log: heartbeats, timeouts, and the
/// versions of their views. Proposes commands; never changes the state itself. Not thread-safe.
class ControlMembers
{
public:
    /// Proposes a command. @return its index in the log, or std::nullopt if this process does not lead.
    using ProposeFunction = std::function<std::optional<std::int64_t>(wire::Command)>;
    using SendViewFunction = std::function<void(const wire::Endpoint &, wire::ClusterView)>;

    ControlMembers(const ControlState &state, const ClockI &clock, ProposeFunction propose, SendViewFunction sendView);

    /// Discards all information and restarts the timeout of every member. To be called after an election.
    void reset();
    /// Handles a member's heartbeat and returns the reply.
    /// @param hasLease whether this process leads under a lease.
    wire::HeartbeatReply handleHeartbeat(const IncomingMessage &incoming, const wire::MemberHeartbeat &heartbeat,
                                         bool hasLease);
    /// Proposes the commands for members whose timeouts have passed, and sends views. To be called periodically.
    void tick(bool hasLease);
    /// Reports that all entries up to the index have been applied to the state.
    void onApplied(std::int64_t index);
    /// Sends views to the members whose view is out of date, unless the current view was already sent to them.
    void pushViews();

    /// Returns the members that have not confirmed the configuration number.
    std::vector<std::string> lagging(std::int64_t number) const;
    /// Returns the time since the member's last heartbeat, or std::nullopt if this leader has not received one.
    std::optional<Micros> timeSinceHeartbeat(const std::string &member) const;
    /// Returns the configuration number in the member's last heartbeat, or 0 if there is none.
    std::int64_t configNumber(const std::string &member) const;

private:
    /// State of the exchange with one member.
    struct Contact
    {
        wire::ProcessId id;
        Time lastHeardAt; ///< when the last heartbeat was received
        Time leaseExtendedAt; ///< when the last heartbeat that extended the lease was received
        bool hasSentHeartbeat = false;
        std::int64_t viewVersion = 0; ///< in the last heartbeat
        std::int64_t sentViewVersion = 0; ///< version of the view that was last sent to the member
        Time viewSentAt;
        std::int64_t configNumber = 0;
        std::int64_t newestProposal = 0; ///< log index of the newest proposal about the member
    };

    bool isPending(const Contact &contact) const;
    void propose(Contact &contact, wire::Command command);
    void proposeJoin(Contact &contact, const IncomingMessage &incoming, const wire::MemberHeartbeat &heartbeat);
    void proposeGone(Contact &contact, const wire::MemberRecord &member);
    void handleKnownMember(Contact &contact, const wire::MemberRecord &member, const IncomingMessage &incoming,
                           const wire::MemberHeartbeat &heartbeat);
    void handleCellReport(const std::string &owner, const wire::CellReport &report,
                          const wire::MemberHeartbeat &heartbeat);
    void proposeInSync(const wire::CellRecord &cell, const wire::HolderRecord &holder, std::int64_t viewVersion);
    void proposeHandOver(const wire::CellRecord &cell);
    bool mayExtendLease(const Contact &contact, const wire::MemberRecord &member,
                        const wire::MemberHeartbeat &heartbeat) const;
    bool isHandingOver(const std::string &owner) const;
    bool isReadyToHandOver(const std::string &owner) const;
    bool hasSuccessor(const wire::CellRecord &cell) const;
    void checkTimeouts(Contact &contact, const wire::MemberRecord &member);
    void sendView(Contact &contact, const wire::MemberRecord &member);

    const ControlState &state;
    const ClockI &clock;
    const ProposeFunction proposer;
    const SendViewFunction viewSender;
    std::map<std::string, Contact> contacts;
    /// Log index of the newest proposal for a holder (cell, epoch, name) or, with an empty name, for a cell.
    std::map<std::tuple<std::int32_t, std::int64_t, std::string>, std::int64_t> cellProposals;
    std::int64_t appliedIndex = 0;
    Time timeoutsCountedFrom; ///< earliest time from which the members' timeouts are counted
    Time lastTickAt;
    Time nextScanAt;
};

} // namespace agatedrum
