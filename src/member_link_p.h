#pragma once

#include "base_clock_p.h"
#include "wire_message_p.h"

#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace agatedrum {

/// Name and address of a control process.
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
    Millis heartbeatInterval {500}; ///< time between heartbeats that are answered; unanswered ones are retried sooner
};

/// Data of a heartbeat that changes over time.
struct MemberReport
{
    std::vector<wire::CellReport> cells;
    std::optional<wire::ServerInfo> server;
    bool isLeaving = false;
};

/// Connection of a process to the control group: heartbeats, lease, and the newest cluster view. Thread-safe.
class MemberLink
{
public:
    /// Precondition: options.control is not empty.
    MemberLink(MessageSinkI &sink, const ClockI &clock, MemberOptions options);

    /// Sends a heartbeat if one is due.
    void tick(const MemberReport &report);
    /// Replaces the configured control processes; the known processes stay in the list. Precondition: not empty.
    void setSeeds(const std::vector<ControlPeer> &seeds);
    /// Makes the next call of tick() send a heartbeat.
    void requestHeartbeat();

    /// Handles a message from a control process, and the configuration number of any message.
    /// @return true if the message is a HeartbeatReply or a ClusterView.
    bool handle(const IncomingMessage &incoming);
    /// Records the configuration number in a peer's message. A number higher than all earlier ones makes the next call
    /// of tick() send a heartbeat.
    void recordConfigNumber(std::int64_t number);

    /// Returns whether the lease is valid, under which the process may act. The lease is counted from when the last
    /// heartbeat that the leader accepted was sent.
    bool hasLease() const;
    /// Returns whether a view has been received.
    bool hasView() const;
    /// Returns the newest view, or a default one if none has been received.
    wire::ClusterView view() const;
    /// Returns the entries of the newest view. Only the views of agents name them.
    std::vector<wire::MemberRef> entries() const;
    /// Returns the evacuated failure domains of the newest view.
    std::vector<std::string> evacuatedDomains() const;
    /// Returns whether the newest view names the failure domain of this process as evacuated.
    bool isOwnDomainEvacuated() const;
    std::int64_t viewVersion() const;
    /// Returns the number of the configuration in the newest view, or 0 if there is none.
    std::int64_t configNumber() const;
    /// Returns the address of the leader, or of the next control process to try.
    wire::Endpoint controlAddress() const;

private:
    void handleReply(const wire::HeartbeatReply &reply, const std::string &sender);
    void handleView(const wire::ClusterView &view);
    std::int64_t nowMicros() const;
    void requestHeartbeatLocked();
    /// Replaces the peers by the given ones, followed by the seeds.
    void rebuildPeers(const std::vector<ControlPeer> &preferred);
    void updateGroup(const std::vector<wire::ControlEndpoint> &group);

    MessageSinkI &sink;
    const ClockI &clock;
    const MemberOptions options;

    mutable std::mutex mutex;
    std::vector<ControlPeer> seeds; ///< as configured
    std::vector<ControlPeer> peers; ///< the seeds and the processes named by a leader, without duplicates
    std::size_t currentPeer = 0; ///< index of the control process that gets the heartbeats
    Time nextHeartbeatAt;
    bool isHeartbeatRequested = false; ///< whether a heartbeat is due before the interval has passed
    Time unansweredSince;
    bool isAwaitingReply = false;
    std::optional<Time> leaseUntil;
    std::optional<wire::ClusterView> newestView;
    std::int64_t highestConfigNumber = 0;
};

} // namespace agatedrum
