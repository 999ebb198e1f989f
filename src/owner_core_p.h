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

struct OwnerOptions
{
    wire::ProcessId self;
    std::string failureDomain;
    int shards = 8;
    LedgerLimits limits;
    const OwnerDefects *defects = nullptr; ///< for tests
};

/// The role "owner": the cells that this process owns and the copies that it holds for other owners, in shards that
/// each have their own lock. Thread-safe.
class OwnerCore : public CoreI
{
public:
    /// The arguments must outlive the object. The link is ticked here and by nobody else.
    OwnerCore(MessageSinkI &sink, const ClockI &clock, MemberLink &link, OwnerOptions options);
    ~OwnerCore() override;

    void handle(const Incoming &incoming) override;
    void tick() override;
    nlohmann::json dump() const override;
    bool isReady() const override;
    void beginStop() override;
    bool isDrained() const override;
    std::int64_t configNumber() const override;
    /// False for a start once the lease has ended, whatever delayed it since it was decided.
    bool mayLeave(const Payload &payload) const override;

private:
    struct Shard
    {
        mutable std::mutex mutex;
        std::map<int, std::unique_ptr<CellOwner>> owned;
        std::map<int, CellRecords> held;
        std::map<int, std::int64_t> highestEpoch; ///< of any message or view, by cell
        std::map<int, std::pair<std::int64_t, std::int64_t>> floors; ///< epoch and floor of the last view, by cell
        std::map<int, std::int64_t> ownedEpoch; ///< last epoch owned, by cell
    };

    bool mayAct() const;
    void handleReply(const wire::HeartbeatReply &reply);
    void confirmLease();
    void applyNewView();
    void applyView(const wire::CellView &view, const ClusterConfig &config);
    void applyCell(Shard &shard, const wire::CellView &view, const ClusterConfig &config);
    void activate(Shard &shard, const wire::CellView &view, const ClusterConfig &config);
    void dropUnlisted(const wire::ClusterView &view);
    void resign(Shard &shard, int cell, std::int64_t newEpoch);
    template<typename Request>
    void handleRequest(const Incoming &incoming, const Request &request,
                       void (CellOwner::*member)(const Incoming &, const Request &));
    template<typename Message>
    void handleForOwned(const Incoming &incoming, const Message &message,
                        void (CellOwner::*member)(const Incoming &, const Message &));
    template<typename Record>
    void handleRecord(const Incoming &incoming, const Record &record);
    Shard &shardOf(int cell);
    MemberReport report();

    MessageSinkI &sink;
    const ClockI &clock;
    MemberLink &link;
    const OwnerOptions options;
    std::vector<std::unique_ptr<Shard>> shards;

    std::mutex viewMutex; ///< held while a new view is applied; taken before the lock of a shard
    std::int64_t appliedVersion = -1;
    ClusterConfig config;
    std::atomic<std::int64_t> leaseUntilMicros {0}; ///< end of the lease under the newest view
    std::mutex leaseMutex;
    std::map<std::int64_t, std::int64_t> unconfirmed; ///< lease ends by the view version that they need
    std::atomic<bool> isStopping {false};
};

} // namespace agatedrum
