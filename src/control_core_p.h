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
    std::vector<ControlPeer> group; ///< all processes of the group, this one included
    std::int64_t snapshotEntries = AGATEDRUM_CONTROL_SNAPSHOT_ENTRIES; ///< entries that a snapshot replaces
    std::uint64_t seed = 0; ///< of election timeouts and of a new disk's identity; 0 draws one
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
    };

    void handleHeartbeat(const Incoming &incoming, const wire::MemberHeartbeat &heartbeat);
    void handleApply(const Incoming &incoming, const wire::ApplyConfig &request);
    void handleQuery(const Incoming &incoming, const wire::ControlQuery &query);
    nlohmann::json answer(const wire::ControlQuery &query, bool &isOk) const;
    void reply(const wire::Endpoint &to, std::int64_t requestId, const ConfigVerdict &verdict);
    std::optional<std::int64_t> propose(const wire::Command &command);
    void drain();
    bool drainOnce();
    void applyEntry(const wire::LogEntry &entry);
    void noteLeadership();
    void compactWhenDue();
    const wire::Endpoint *peerAddress(const std::string &name) const;

    MessageSinkI &sink;
    const ClockI &clock;
    ControlStoreI &store;
    const ControlOptions options;

    mutable std::mutex mutex;
    ControlState machine;
    ControlMembers members;
    ControlLog log;
    std::map<std::int64_t, PendingApply> pendingApplies;
    std::int64_t writtenSequence = 0;
    std::int64_t ledTerm = 0; ///< term of the leadership that members were told about; 0 when not leading
    bool isStopping = false;
};

} // namespace agatedrum
