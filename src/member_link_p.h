#pragma once

#include "base_clock_p.h"
#include "wire_message_p.h"

#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace agatedrum {

/// Where a control process listens.
struct ControlPeer
{
    std::string name;
    wire::Endpoint address;
};

struct MemberOptions
{
    wire::ProcessId self;
    wire::Role::type role = wire::Role::TOOL;
    std::string failureDomain;
    wire::Endpoint address;
    std::vector<ControlPeer> control;
    Millis interval {500}; ///< between answered heartbeats; unanswered ones are sent again sooner
};

/// What changes between heartbeats.
struct MemberReport
{
    std::vector<wire::CellReport> cells;
    std::optional<wire::ServerInfo> server;
    bool isLeaving = false;
};

/// A process's tie to the control group: heartbeats, lease, and the newest cluster view. Thread-safe.
class MemberLink
{
public:
    /// Precondition: options.control is not empty.
    MemberLink(MessageSinkI &sink, const ClockI &clock, MemberOptions options);

    /// Sends a heartbeat when one is due.
    void tick(const MemberReport &report);
    /// Replaces the configured control processes; those that a leader named stay known. Precondition: not empty.
    void setSeeds(const std::vector<ControlPeer> &seeds);
    /// Makes the next tick send a heartbeat.
    void hurry();

    /// @return true when the message was a HeartbeatReply or a ClusterView.
    bool handle(const Incoming &incoming);
    /// Notes the configuration number that a peer's envelope carried.
    void noteConfigNumber(std::int64_t number);

    /// Whether the process may still act, counted from when it sent the last heartbeat that the leader answered.
    bool hasLease() const;
    /// True once a view has arrived.
    bool hasView() const;
    wire::ClusterView view() const;
    std::int64_t viewVersion() const;
    /// Number of the configuration in the newest view.
    std::int64_t configNumber() const;
    /// Where the leader listens, or the next control process to try.
    wire::Endpoint controlAddress() const;

private:
    void handleReply(const wire::HeartbeatReply &reply, const std::string &sender);
    void handleView(const wire::ClusterView &view);
    std::int64_t nowMicros() const;
    void hurryLocked();
    void rebuildPeers(const std::vector<ControlPeer> &first);
    void learnGroup(const std::vector<wire::ControlEndpoint> &group);

    MessageSinkI &sink;
    const ClockI &clock;
    const MemberOptions options;

    mutable std::mutex mutex;
    std::vector<ControlPeer> seeds; ///< as configured
    std::vector<ControlPeer> peers; ///< the seeds, and those that a leader named last
    std::size_t current = 0; ///< index of the control process that gets the heartbeats
    Time nextHeartbeat;
    bool isHurried = false; ///< a heartbeat is due before the interval has passed
    Time unansweredSince;
    bool isWaiting = false;
    std::optional<Time> leaseUntil;
    std::optional<wire::ClusterView> newest;
    std::int64_t highestConfigHeard = 0;
};

} // namespace agatedrum
