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

/// Settings of an AgentCore.
struct AgentOptions
{
    wire::ProcessId self;
    Millis helloInterval {AGATEDRUM_AGENT_HELLO_MS}; ///< between hello messages to the owner
    /// time after the last announcement at which the backend server is considered down
    Millis backendTimeout {AGATEDRUM_BACKEND_SILENT_MS};
    Millis resendInterval {AGATEDRUM_RESULT_RESEND_MS}; ///< between transmissions of an unacknowledged result
    Millis defaultTaskTimeout {AGATEDRUM_TASK_TIME_MS}; ///< time limit of a task whose start message has none
    int maxResultsPerSlot = AGATEDRUM_RESULTS_PER_SLOT; ///< maximum number of unacknowledged results per slot
    std::size_t maxResultBytes = AGATEDRUM_AGENT_RESULT_BYTES; ///< maximum total size of unacknowledged result bodies
    int maxConnections = 64; ///< to the backend server; a higher announced number is reduced to this
};

/// The properties that a backend server announces to its agent.
struct Announcement
{
    std::string name;
    std::string service;
    int slots = 0; ///< number of tasks that may run at the same time
    int connections = 0; ///< maximum number of connections that the agent may open
    std::string url; ///< receives one POST request for each task
    bool isLeaving = false; ///< whether no new tasks may be started
    double usage = -1; ///< usage of the worker, 0 to 1; negative if unknown
};

/// The role "agent": runs tasks at one backend server on behalf of the owner of its cell, and keeps each task until its
/// result has been acknowledged. Thread-safe.
class AgentCore : public CoreI
{
public:
    /// The referenced arguments must outlive the object. Each outcome that backendClient reports must be passed to
    /// finished().
    AgentCore(MessageSinkI &sink, const ClockI &clock, MemberLink &link, BackendClientI &backendClient,
              AgentOptions options);

    void handle(const IncomingMessage &incoming) override;
    void tick() override;
    nlohmann::json dump() const override;
    /// Returns whether the agent has a cell and its backend server is up.
    bool isReady() const override;
    void beginStop() override;
    /// Returns whether no task is running and all results have been acknowledged.
    bool isDrained() const override;
    std::int64_t configNumber() const override;

    /// Applies an announcement of the backend server. Precondition: slots and connections are positive.
    void announce(const Announcement &announcement);
    /// Handles the outcome of a call that this object started. Other outcomes are ignored.
    void finished(const BackendOutcome &outcome);

private:
    /// Epoch and sequence that fence the starts of a cell, and the owner that receives its results.
    struct CellState
    {
        std::int64_t epoch = 0; ///< highest epoch that sent a start or a fence
        std::int64_t lastSequence = 0; ///< highest sequence or barrier of that epoch
        std::int64_t ownerEpoch = 0; ///< epoch of owner
        std::optional<wire::Endpoint> owner;
    };
    using RefusalsByReason = std::map<std::string, wire::StartRefused>;

    void apply(const wire::StartBatch &batch, const IncomingMessage &incoming);
    void apply(const wire::CancelBatch &batch, const IncomingMessage &incoming);
    void apply(const wire::ResultAck &ack, const IncomingMessage &incoming);
    void apply(const wire::Fence &fence, const IncomingMessage &incoming);

    void applyNewView();
    void updateEpoch(CellState &cell, std::int64_t epoch, const wire::Endpoint &owner);
    std::string refusalReason(const wire::StartTask &start, const wire::StartBatch &batch, const CellState &cell) const;
    void startTask(const wire::StartTask &start, const wire::StartBatch &batch);
    void refuse(const AgentTask &task);
    void sendResults(const std::vector<const AgentTask *> &tasks);
    void sendHello();
    void updateBackendState();

    bool isBackendUp() const;
    bool isLeaving() const;
    wire::ServerInfo serverInfo() const;

    MessageSinkI &sink;
    const ClockI &clock;
    MemberLink &link;
    BackendClientI &backendClient;
    const AgentOptions options;
    const Time createdAt;

    mutable std::mutex mutex;
    std::optional<Announcement> announced; ///< last announcement
    Time announcedAt; ///< time of the last announcement
    bool isBackendUnreachable = false; ///< whether a connection has failed since the last announcement
    bool wasBackendUp = false;
    bool isStopping = false;

    std::int64_t appliedViewVersion = 0; ///< version of the last applied view
    std::optional<std::int32_t> ownCell; ///< cell of this agent in that view
    std::map<std::int32_t, CellState> cells;
    AgentTasks tasks;
    std::int64_t lastCallNumber = 0; ///< number of the last call to the backend server
    Time nextHelloAt;
    std::uint64_t refusedStarts = 0;
    std::uint64_t formerOwnerStarts = 0; ///< starts refused because their epoch is over
    std::uint64_t otherIncarnationStarts = 0; ///< starts ignored because they were for another incarnation
};

} // namespace agatedrum
