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
    std::vector<ControlPeer> group; ///< all processes of the group; if it is open, those to contact first
    bool isOpen = false; ///< further processes may join; their names are their addresses, "IP:PORT"
    bool mayForm = true; ///< whether a fresh disk may take part in forming the group
    std::size_t maxVoters = SIZE_MAX;
    std::int64_t snapshotEntries = AGATEDRUM_CONTROL_SNAPSHOT_ENTRIES; ///< entries that a snapshot replaces
    std::uint64_t seed = 0; ///< of election timeouts and of a new disk's identity; 0 draws one
};

/// Answer to a request that was made in the control process itself: the verdict, or who leads.
struct LocalVerdict
{
    ConfigVerdict verdict; ///< code "not-leader" when another process leads, "unavailable" when the outcome is unknown
    std::string leader; ///< name, with "not-leader"; empty when it is not known
};
using LocalHandler = std::function<void(const LocalVerdict &)>;

/// What the control process can say of the configuration now.
struct LocalReading
{
    bool isCertain = false; ///< this process leads under a lease, so no newer configuration was accepted
    wire::ConfigFile file; ///< number 0 for none
    std::string leader; ///< name of the process to ask, if this one is not certain; may be empty
};

/// One process of the control group: the replicated log, the state machine, and the members' heartbeats. Thread-safe.
///
/// A group forms once, when all its processes answer with fresh disks. Later a process with a fresh disk waits until
/// the group takes it in as a learner.
class ControlCore : public CoreI
{
public:
    /// Precondition: the group names this process; the sink, clock and store outlive the core.
    ControlCore(MessageSinkI &sink, const ClockI &clock, ControlStoreI &store, ControlOptions options);
    ~ControlCore() override;
    ControlCore(const ControlCore &) = delete;
    ControlCore &operator=(const ControlCore &) = delete;

    void handle(const Incoming &incoming) override;
    void tick() override;
    nlohmann::json dump() const override;
    bool isReady() const override;
    /// Gives up leadership and leads no more.
    void beginStop() override;
    bool isDrained() const override;
    std::int64_t configNumber() const override;

    /// Applies a configuration on behalf of an operator of this process. Another leader is asked over the bus: an
    /// operator that is told to ask it itself needs two answers, either of which may be lost.
    /// @param handler called once, on any thread, without locks held by the caller of this method.
    void applyLocal(const wire::ApplyConfig &request, LocalHandler handler);
    LocalReading readConfig() const;

    /// Whether this process leads under a quorum's lease.
    bool isLeader() const;
    /// Term and index of the newest committed entry, for tests and metrics.
    std::int64_t term() const;
    std::int64_t commitIndex() const;
    /// Copy of the replicated state.
    ControlState state() const;

private:
    struct PendingApply
    {
        std::int64_t requestId = 0;
        wire::Endpoint address;
        std::string digest;
        LocalHandler handler; ///< set for a request of this process
    };

    /// A request of this process that another one, the leader, is to decide.
    struct ForwardedApply
    {
        LocalHandler handler;
        Time until;
    };

    bool forward(PendingApply &pending, const wire::ApplyConfig &request, const std::string &leader);
    void handleForwarded(const wire::ApplyReply &reply);
    void expireForwarded();
    void handleHeartbeat(const Incoming &incoming, const wire::MemberHeartbeat &heartbeat);
    void handleApply(PendingApply pending, const wire::ApplyConfig &request);
    void handleQuery(const Incoming &incoming, const wire::ControlQuery &query);
    nlohmann::json answer(const wire::ControlQuery &query, bool &isOk) const;
    void reply(const PendingApply &pending, const ConfigVerdict &verdict);
    std::string leaderToAsk() const;
    std::vector<wire::ControlEndpoint> groupEndpoints() const;
    std::optional<std::int64_t> propose(const wire::Command &command);
    void drain();
    bool drainOnce();
    void applyEntry(const wire::LogEntry &entry);
    void noteLeadership();
    void compactWhenDue();
    /// Where a control process listens; nothing when the name is not one of the group's.
    std::optional<wire::Endpoint> peerAddress(const std::string &name) const;

    MessageSinkI &sink;
    const ClockI &clock;
    ControlStoreI &store;
    const ControlOptions options;

    mutable std::mutex mutex;
    ControlState machine;
    ControlMembers members;
    ControlLog log;
    std::map<std::int64_t, PendingApply> pendingApplies;
    std::map<std::int64_t, ForwardedApply> forwardedApplies; ///< by request id
    std::int64_t lastForwarded = 0;
    std::int64_t writtenSequence = 0;
    std::int64_t ledTerm = 0; ///< term of the leadership that members were told about; 0 when not leading
    bool isStopping = false;
};

} // namespace agatedrum
