#pragma once

#include "base_core_p.h"
#include "cell_owner_p.h"
#include "cell_records_p.h"
#include "member_link_p.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace agatedrum {

/// Settings of an OwnerCore.
struct OwnerOptions
{
    wire::ProcessId self;
    std::string failureDomain;
    int shards = 8; ///< number of shards of the cells, each with its own lock
    LedgerLimits limits;
    const OwnerDefects *defects = nullptr; ///< faults injected by tests; may be null
};

/// The role "owner": manages the cells that this process owns and the replicas that it holds for other owners, in
/// shards that each have their own lock. Thread-safe.
class OwnerCore : public CoreI
{
public:
    /// The referenced arguments must outlive the object. Nothing else may call tick() of the link.
    OwnerCore(MessageSinkI &sink, const ClockI &clock, MemberLink &link, OwnerOptions options);
    ~OwnerCore() override;

    void handle(const IncomingMessage &incoming) override;
    void tick() override;
    nlohmann::json dump() const override;
    bool isReady() const override;
    void beginStop() override;
    bool isDrained() const override;
    std::int64_t configNumber() const override;
    /// Returns false for a batch of starts if the lease is not valid or the epoch of the batch is over. Either can
    /// happen while the batch waits to be sent. Locks the cell's shard.
    bool maySend(const Payload &payload) const override;

private:
    struct Shard
    {
        mutable std::mutex mutex;
        std::map<int, std::unique_ptr<CellOwner>> owned; ///< cells that this process owns, by number
        std::map<int, CellRecords> replicas; ///< replicas that this process holds for other owners, by cell
        std::map<int, std::int64_t> highestEpoch; ///< highest epoch in any message or view, by cell
        /// epoch and minimum submission time in the last view, by cell
        std::map<int, std::pair<std::int64_t, std::int64_t>> minSubmissionTimes;
        std::map<int, std::int64_t> ownedEpoch; ///< last epoch in which this process owned the cell, by cell
    };

    bool mayAct() const;
    void handleHeartbeatReply(const wire::HeartbeatReply &reply);
    void confirmLease();
    void applyNewView();
    void applyView(const wire::CellView &view, const ClusterConfig &config);
    void applyCell(Shard &shard, const wire::CellView &view, const ClusterConfig &config);
    void activateCell(Shard &shard, const wire::CellView &view, const ClusterConfig &config);
    void resignUnlistedCells(const wire::ClusterView &view);
    void resignCell(Shard &shard, int cell, std::int64_t newEpoch);
    template<typename Request>
    void handleRequest(const IncomingMessage &incoming, const Request &request,
                       void (CellOwner::*method)(const IncomingMessage &, const Request &));
    template<typename Message>
    void handleIfOwned(const IncomingMessage &incoming, const Message &message,
                       void (CellOwner::*method)(const IncomingMessage &, const Message &));
    template<typename Record>
    void handleRecord(const IncomingMessage &incoming, const Record &record);
    Shard &shardFor(int cell);
    MemberReport report();

    MessageSinkI &sink;
    const ClockI &clock;
    MemberLink &link;
    const OwnerOptions options;
    std::vector<std::unique_ptr<Shard>> shards;

    std::mutex viewMutex; ///< held while a new view is applied; must be locked before the mutex of a shard
    /// version of the last applied view; written only under viewMutex, after the view has been applied to all cells
    std::atomic<std::int64_t> appliedViewVersion {-1};
    ClusterConfig config; ///< configuration of the last applied view; guarded by viewMutex
    std::atomic<std::int64_t> leaseUntilMicros {0}; ///< end of the lease that is confirmed by the applied view
    std::mutex leaseMutex;
    /// ends of granted leases, by the view version that they require; guarded by leaseMutex
    std::map<std::int64_t, std::int64_t> unconfirmedLeaseEnds;
    std::atomic<bool> isStopping {false};
};

} // namespace agatedrum
