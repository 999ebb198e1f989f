#pragma once

#include "agatedrum/config.h"
#include "base_clock_p.h"
#include "base_core_p.h"
#include "control_log_p.h"
#include "control_members_p.h"
#include "control_state_p.h"
#include "control_store_p.h"
#include "member_link_p.h"

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace agatedrum {

struct ControlOptions
{
    wire::ProcessId self;
    wire::Endpoint address;
    std::vector<ControlPeer> group; ///< all processes of the group; in an open group, those to contact first
    bool isOpen = false; ///< whether other processes may join; their names are their addresses, "IP:PORT"
    bool mayBootstrap = true; ///< whether a process with an empty disk may take part in bootstrapping the group
    bool isObserver = false; ///< whether this process has no disk: it serves operators, but joins no group
    std::string failureDomain;
    std::vector<std::string>
        failureDomains; ///< known to exist, also while none of their processes has announced itself
    LossTolerance tolerance; ///< of an open group
    Millis voterReplacementTimeout = ControlLogOptions().voterReplacementTimeout;
    std::int64_t snapshotEntries = AGATEDRUM_CONTROL_SNAPSHOT_ENTRIES; ///< log entries after which a snapshot is taken
    std::int64_t snapshotBytes
        = AGATEDRUM_CONTROL_SNAPSHOT_BYTES; ///< size of the log entries after which a snapshot is taken
    std::uint64_t seed = 0; ///< seed of the election timeouts and id of a new disk; 0 for a random one
};

/// Answer to a request of an operator that was made in this control process: the decision, or the current leader.
struct LocalDecision
{
    ConfigDecision decision; ///< code "not-leader" if another process leads, "unavailable" if not decided
    std::string leader; ///< name of the leader, with code "not-leader"; empty if it is not known
};
using LocalDecisionHandler = std::function<void(const LocalDecision &)>;

/// Configuration as known to this control process.
struct LocalConfig
{
    bool isAuthoritative = false; ///< whether this process leads under a lease, so that no newer one was accepted
    wire::ConfigFile file; ///< the configuration, if authoritative; number 0 if there is none
    std::string leader; ///< name of the process to ask otherwise; empty if it is not known
};

/// One process of the control group: the replicated log, the state machine, and the members' heartbeats. Thread-safe.
///
/// A group is bootstrapped once, when all its processes report empty disks. Later, a process with an empty disk waits
/// until the group adds it as a learner.
class ControlCore : public CoreI
{
public:
    /// Precondition: the group contains this process; the sink, clock and store outlive the core.
    ControlCore(MessageSinkI &sink, const ClockI &clock, ControlStoreI &store, ControlOptions options);
    ~ControlCore() override;
    ControlCore(const ControlCore &) = delete;
    ControlCore &operator=(const ControlCore &) = delete;

    void handle(const IncomingMessage &incoming) override;
    void tick() override;
    nlohmann::json dump() const override;
    bool isReady() const override;
    /// Gives up leadership, prevents this process from becoming leader again, and has a learner take its vote.
    void beginStop() override;
    bool isDrained() const override;
    std::int64_t configNumber() const override;

    /// Applies a configuration on behalf of an operator of this process. If another process leads, forwards the request
    /// to it over the bus: redirecting the operator would take two replies, either of which may be lost.
    /// @param handler called once, on any thread, without the locks of this method's caller. This object's lock is held
    /// during the call.
    void applyLocal(const wire::ApplyConfig &request, LocalDecisionHandler handler);
    /// Evacuates a failure domain or returns it to service, on behalf of an operator of this process. An order that is
    /// in force already is accepted. Forwards and answers like applyLocal().
    void orderEvacuationLocal(const wire::OrderEvacuation &order, LocalDecisionHandler handler);
    LocalConfig readConfig() const;
    /// Replaces the listed processes to contact. Only for an open group.
    void setContacts(const std::vector<ControlPeer> &peers);

    /// Returns whether this process leads under a lease from a quorum.
    bool isLeader() const;
    /// Returns the current term, for tests and metrics.
    std::int64_t term() const;
    /// Returns the index of the newest committed entry, for tests and metrics.
    std::int64_t commitIndex() const;
    /// Returns a copy of the replicated state.
    ControlState state() const;

private:
    /// A request of an operator that has been proposed, or that is being decided.
    struct PendingApply
    {
        std::int64_t requestId = 0;
        wire::Endpoint address;
        LocalDecisionHandler handler; ///< set only if the request was made in this process
        std::optional<std::string> evacuatedDomain; ///< set if the request is an order for this failure domain
    };

    /// A request of this process that was forwarded to the leader.
    struct ForwardedApply
    {
        LocalDecisionHandler handler;
        Time expiresAt;
        std::optional<wire::OrderEvacuation> order; ///< set until the leader has been asked to confirm it
    };

    /// Answers the request if this process does not lead, or forwards it to the leader if it was made in this process.
    /// @return true if this process leads, so that it has to decide the request
    template<typename Request>
    bool decidesHere(PendingApply &pending, const Request &request);
    /// Forwards a request of this process to the leader. @return false if that is not possible.
    template<typename Request>
    bool forwardToLeader(PendingApply &pending, const Request &request, const std::string &leader);
    void handleForwardedReply(const IncomingMessage &incoming, const wire::ApplyReply &reply);
    void expireForwarded();
    void handleHeartbeat(const IncomingMessage &incoming, const wire::MemberHeartbeat &heartbeat);
    void handleApply(PendingApply pending, const wire::ApplyConfig &request);
    void handleEvacuation(PendingApply pending, const wire::OrderEvacuation &order);
    /// Returns whether a member, a process of the group or the settings name the failure domain.
    bool isKnownDomain(const std::string &failureDomain) const;
    /// Returns the refusal of changes while too few disks hold the log.
    ConfigDecision tooFewDisks() const;
    /// Proposes the change, or refuses it if the disk has no space for it.
    /// @param bytes size of the change
    void proposeChange(PendingApply pending, const wire::Command &command, std::size_t bytes);
    void handleQuery(const IncomingMessage &incoming, const wire::ControlQuery &query);
    nlohmann::json answer(const wire::ControlQuery &query, bool &isOk) const;
    void reply(const PendingApply &pending, const ConfigDecision &decision);
    std::string leaderToAsk() const;
    bool areWritesRefused() const;
    std::vector<wire::ControlEndpoint> groupEndpoints() const;
    std::optional<std::int64_t> propose(const wire::Command &command);
    /// Processes the output of the log until there is no more.
    void drain();
    /// Processes the output of the log once. @return whether there may be more.
    bool drainOnce();
    void applyEntry(const wire::LogEntry &entry);
    void updateLeadership();
    void compactIfDue();
    /// Returns the address of a control process, or std::nullopt if the name does not belong to the group.
    std::optional<wire::Endpoint> peerAddress(const std::string &name) const;

    MessageSinkI &sink;
    const ClockI &clock;
    ControlStoreI &store;
    const ControlOptions options;

    mutable std::mutex mutex;
    ControlState stateMachine;
    ControlMembers members;
    ControlLog log;
    std::map<std::int64_t, PendingApply> pendingApplies;
    std::map<std::int64_t, ForwardedApply> forwardedApplies; ///< by request id
    std::int64_t lastForwardedId; ///< starts differ in their ids
    std::int64_t writtenSequence = 0;
    std::int64_t leadershipTerm = 0; ///< term in which this process leads, as last processed; 0 if it does not lead
    bool isStopping = false;
    Time stopStartedAt; ///< set if isStopping
};

} // namespace agatedrum
