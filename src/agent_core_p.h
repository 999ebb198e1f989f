#pragma once

#include "agatedrum/config.h"
#include "agent_backend_p.h"
#include "agent_tasks_p.h"
#include "base_core_p.h"
#include "member_link_p.h"

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace agatedrum {

struct AgentOptions
{
    wire::ProcessId self;
    Millis helloInterval {AGATEDRUM_AGENT_HELLO_MS};
    Millis backendSilent {AGATEDRUM_BACKEND_SILENT_MS};
    Millis repeatInterval {AGATEDRUM_RESULT_RESEND_MS};
    Millis taskTime {AGATEDRUM_TASK_TIME_MS}; ///< limit of a task whose start has none
    int resultsPerSlot = AGATEDRUM_RESULTS_PER_SLOT;
    std::size_t resultBytes = AGATEDRUM_AGENT_RESULT_BYTES;
    int maxConnections = 64; ///< to the backend server, whatever it announces
};

/// What a backend server says of itself.
struct Announcement
{
    std::string name;
    std::string service;
    int slots = 0;
    int connections = 0;
    std::string url; ///< takes one POST for each task
    bool isLeaving = false;
    double usage = -1; ///< of the worker, 0 to 1; negative if not known
};

/// Starts tasks at one backend server on behalf of the owner of its cell, and keeps each task until its result is
/// acknowledged. Thread-safe.
class AgentCore : public CoreI
{
public:
    /// The references must outlive the core. The caller's outcomes must be given to finished().
    AgentCore(MessageSinkI &sink, const ClockI &clock, MemberLink &link, BackendCallerI &caller, AgentOptions options);

    void handle(const Incoming &incoming) override;
    void tick() override;
    nlohmann::json dump() const override;
    /// True when the agent knows its cell and its backend server is up.
    bool isReady() const override;
    void beginStop() override;
    /// True when no task runs and every result is acknowledged.
    bool isDrained() const override;
    std::int64_t configNumber() const override;

    /// Takes what the backend server announced. Precondition: slots and connections are positive.
    void announce(const Announcement &announcement);
    /// Takes the outcome of a call that this core started. Others are ignored.
    void finished(const BackendOutcome &outcome);

private:
    /// What fences the starts of one cell, and where its results go.
    struct CellState
    {
        std::int64_t epoch = 0; ///< highest one that sent a start or a fence
        std::int64_t lastSequence = 0; ///< of that epoch
        std::int64_t ownerEpoch = 0; ///< of the owner below
        std::optional<wire::Endpoint> owner;
    };
    using Refusals = std::map<std::string, wire::StartRefused>;

    void apply(const wire::StartBatch &batch, const Incoming &incoming);
    void apply(const wire::CancelBatch &batch, const Incoming &incoming);
    void apply(const wire::ResultAck &ack, const Incoming &incoming);
    void apply(const wire::Fence &fence, const Incoming &incoming);

    void takeView();
    void raiseEpoch(CellState &cell, std::int64_t epoch, const wire::Endpoint &owner);
    std::string refusalReason(const wire::StartTask &start, const wire::StartBatch &batch, const CellState &cell) const;
    void startTask(const wire::StartTask &start, const wire::StartBatch &batch);
    void refuse(const AgentTask &task);
    void sendResults(const std::vector<const AgentTask *> &tasks);
    void sendHello();
    void updateBackend();

    bool isBackendUp() const;
    bool isLeaving() const;
    wire::ServerInfo serverInfo() const;

    MessageSinkI &sink;
    const ClockI &clock;
    MemberLink &link;
    BackendCallerI &caller;
    const AgentOptions options;
    const Time createdAt;

    mutable std::mutex mutex;
    std::optional<Announcement> announced;
    Time announcedAt;
    bool isUnreachable = false; ///< a connection failed since the last announcement
    bool wasBackendUp = false;
    bool isStopping = false;

    std::int64_t takenView = 0;
    std::optional<std::int32_t> ownCell;
    std::map<std::int32_t, CellState> cells;
    AgentTasks tasks;
    std::int64_t lastCall = 0;
    Time nextHello;
    std::uint64_t refusals = 0;
    std::uint64_t formerOwnerStarts = 0; ///< refused because their epoch is over
    std::uint64_t otherIncarnation = 0;
};

} // namespace agatedrum
