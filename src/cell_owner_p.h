#pragma once

#include "cell_ledger_p.h"
#include "cell_owner_refusals_p.h"
#include "cell_owner_stream_p.h"
#include "cell_scheduler_p.h"
#include "wire_message_p.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace agatedrum {

/// Defects that a test enables in order to verify that its checks detect them. All are disabled in production.
struct OwnerDefects
{
    bool ignoresLease = false;
    bool skipsFencing = false; ///< on a takeover, treats the jobs' tasks as not started without asking the agents
    bool reportsNotRunEarly = false; ///< replies "not run" at the record timeout but still runs the job
    bool runsResubmissions = false; ///< accepts a resubmission of an ended job as a new job
};

/// Services that the process provides to the owner of a cell.
struct CellContext
{
    MessageSinkI &sink;
    const ClockI &clock;
    std::function<bool()> mayAct; ///< true while the lease is valid and the view is current
    wire::ProcessId self;
    const OwnerDefects *defects = nullptr;
};

/// Owner of one cell for one epoch: keeps the ledger, schedules tasks, and talks to agents and holders. Sends no
/// message without a valid lease, except NotOwner. Not thread-safe; guarded by the lock of its shard.
class CellOwner
{
public:
    /// Precondition: config contains the view's service.
    /// @param ledger the ledger of a replica that is in sync, or an empty one.
    CellOwner(CellContext context, const wire::CellView &view, const ClusterConfig &config, CellLedger ledger);

    void submit(const IncomingMessage &from, const wire::SubmitJob &message);
    void cancel(const IncomingMessage &from, const wire::CancelJob &message);
    void query(const IncomingMessage &from, const wire::QueryJob &message);
    void handleRecordAck(const IncomingMessage &from, const wire::RecordAck &message);
    void handleHello(const IncomingMessage &from, const wire::AgentHello &message);
    void handleResults(const IncomingMessage &from, const wire::ResultBatch &message);
    void handleStartRefused(const IncomingMessage &from, const wire::StartRefused &message);
    void handleAgentState(const IncomingMessage &from, const wire::AgentState &message);

    /// Applies the holders and agents of a newer view. Precondition: same cell, epoch and owner.
    void applyView(const wire::CellView &view);
    /// Applies a newer configuration. Precondition: it contains the cell's service.
    void configure(const ClusterConfig &config);
    void tick();
    /// Sends NotOwner for all waiting requests, so that the entries resend them to the cell's next owner. Call once,
    /// before the object is destroyed.
    void releaseOwnership(std::int64_t newEpoch);

    std::int64_t epoch() const;
    const std::string &service() const;
    /// Returns the report on this cell for the heartbeat.
    wire::CellReport report() const;
    /// Returns whether the report has changed since the last call.
    bool takeReportChanged();
    /// True if every job has ended and no answer or acknowledgement remains to be sent.
    bool isIdle() const;
    nlohmann::json dump() const;

private:
    enum class Stage {
        AwaitingAgents, ///< taken over; waits until the agents have reported the states of its tasks
        AwaitingRecord, ///< not yet recorded by enough holders
        Running,
        Ended ///< removed after the current message has been handled
    };
    /// The agent that a task was sent to. Empty while the task waits for its job's record or in the scheduler.
    struct TaskLocation
    {
        std::string agent;
        std::int64_t sequence = 0; ///< of its last start in this epoch; 0 for a task that was found running
        int sendCount = 0; ///< starts of the task sent to agents so far
    };
    /// A job that has not ended, or has ended while the current message was handled.
    struct ActiveJob
    {
        LedgerJob *job = nullptr;
        Stage stage = Stage::AwaitingRecord;
        std::int64_t recordSequence = 0;
        Time waitStartedAt; ///< when the wait for the record began
        bool hasStarted = false; ///< at least one task may have been sent to an agent
        std::vector<TaskLocation> locations;
    };
    /// A task that was sent to an agent and has no outcome yet.
    struct InFlightTask
    {
        JobNumber job = 0;
        int index = 0;
        std::int64_t sequence = 0;
        Time sentAt;
        bool isConfirmed = false; ///< the agent reported it as running
    };
    /// A request for an agent's state that has not been answered.
    struct PendingFence
    {
        std::int64_t barrier = 0; ///< sequence of the last start sent before the request
        std::optional<Time> sentAt; ///< std::nullopt if it could not be sent yet
    };
    /// What the owner knows of one agent and of its backend server.
    struct Agent
    {
        wire::ProcessId id;
        wire::Endpoint address;
        wire::ServerInfo server;
        bool isListed = false; ///< in the current view
        bool isEvacuated = false; ///< its failure domain is evacuated
        bool hasReportedState = false; ///< answered a fence of this epoch
        bool isLost = false;
        Time lastHeardAt;
        Time stateReportedAt;
        Micros uptime {0}; ///< at the time of stateReportedAt
        Time pausedUntil; ///< no starts before this time, after a refused start
        int consecutiveRefusals = 0; ///< refused starts since a task last ended there
        std::int64_t lastSequence = 0; ///< of the last start sent
        std::int64_t reportedSequence = 0; ///< of the last start that the agent has reported as received
        std::map<std::pair<JobNumber, int>, InFlightTask> inFlight;
        std::optional<PendingFence> fence;
        std::vector<wire::TaskRef> recordedResults; ///< results that are recorded and can be acknowledged to the agent
        Time oldestRecordedAt; ///< when the oldest of them was recorded
    };
    /// The answer of an ended job that waits for its record.
    struct PendingAnswer
    {
        std::int64_t sequence = 0; ///< must be recorded before the answer is sent
        std::optional<wire::Refusal> refusal; ///< sent instead of the answer
        Time recordDeadline; ///< time from which the refusal is sent without "not run" if it is still not recorded
    };
    /// The acknowledgement of a result that waits for its record.
    struct PendingAck
    {
        std::int64_t sequence = 0; ///< must be recorded before the acknowledgement is sent
        std::string agent;
        wire::TaskRef ref;
    };

    // cell_owner.cpp: requests and answers
    Time now() const;
    bool send(const wire::Endpoint &to, Payload payload) const;
    void reply(const Waiter &waiter, wire::JobAnswer answer) const;
    void refuse(const Waiter &waiter, const wire::JobKey &key, wire::Refusal refusal);
    void sendNotOwner(const Waiter &waiter, std::int64_t epoch) const;
    bool refuseIfNotOwner(const Waiter &waiter, std::int64_t epoch) const;
    void acceptJob(const Waiter &waiter, const wire::JobSpec &spec);
    void answerOrAddWaiter(const Waiter &waiter, LedgerJob &job, const wire::JobSpec &spec);
    ScheduledJob toScheduledJob(const LedgerJob &job) const;
    wire::JobAnswer confirmedAnswer(const LedgerJob &job, const wire::JobSpec &spec) const;
    void sendAnswers();
    bool sendAnswer(LedgerJob &job, PendingAnswer &pending);
    void removeRefused(const LedgerJob &job);

    // cell_owner_agents.cpp: agents and task outcomes
    Agent *addOrUpdateAgent(const wire::ProcessId &id, const wire::Endpoint &address);
    void recordContact(Agent &agent, const wire::ServerInfo &server);
    void updateAvailability(Agent &agent);
    void checkForLostStarts(Agent &agent, const wire::AgentHello &hello);
    void fence(Agent &agent);
    void sendFence(Agent &agent);
    void markLost(Agent &agent);
    void tickAgents();
    void handleResult(const std::string &sender, const wire::JobKey &key, const wire::TaskResult &result,
                      std::int64_t sequence);
    bool isStaleNotRun(const TaskLocation &location, const std::string &sender, std::int64_t sequence) const;
    void handleNotStarted(ActiveJob &activeJob, int index);
    void clearLocation(ActiveJob &activeJob, int index);
    void handleNotRun(ActiveJob &activeJob, const wire::TaskResult &result, std::int64_t sequence);
    void completeTask(ActiveJob &activeJob, const wire::TaskResult &result);
    void completeTask(ActiveJob &activeJob, int index, wire::Outcome::type outcome);
    void finishJob(ActiveJob &activeJob);
    void adoptRunningTask(Agent &agent, const wire::AgentTask &task);
    void queueAck(const std::string &agent, const wire::JobKey &key, int index);
    void collectRecordedResults();
    void sendAcks(Agent &agent);

    // cell_owner_run.cpp: starting recorded jobs, takeover, cancellation
    void runFollowUps();
    void flushRecords(bool isTick);
    void removeEndedJobs();
    void dispatch();
    void sendStarts(const std::string &server, wire::StartBatch batch);
    std::optional<wire::StartTask> assignTask(const Assignment &assignment);
    Millis timeLimit(const LedgerJob &job) const;
    void clearAssignment(const wire::StartTask &start);
    void startRecordedJobs();
    void enqueueTasks(ActiveJob &activeJob);
    void abandonOverdueJobs();
    void abandonUnrecordedJob(ActiveJob &activeJob);
    void resolveTakeover();
    bool hasAllAgentStates() const;
    bool isCertainlyNotStarted(const LedgerJob &job) const;
    void resolveTakenOverJob(ActiveJob &activeJob, bool areAllStatesKnown);
    void processCancels();
    void cancelTasks(ActiveJob &activeJob, std::map<std::string, std::vector<wire::TaskRef>> &byAgent);
    void repeatCancels();
    void sendCancels(const std::map<std::string, std::vector<wire::TaskRef>> &byAgent);
    ActiveJob *findActiveJob(JobNumber number);

    CellContext context;
    int cell;
    std::int64_t cellEpoch;
    std::string serviceName;
    int replicaCount = 1;
    ClusterConfig config;
    CellLedger ledger;
    RecordStream recordStream;
    CellScheduler scheduler;
    RefusedRequests refusedRequests;
    std::unordered_map<JobNumber, ActiveJob> activeJobs;
    std::vector<JobNumber> ended; ///< to be removed from activeJobs
    std::deque<JobNumber> awaitingRecord; ///< in the order of their record sequences
    std::map<std::string, Agent> agents; ///< by name
    std::optional<Time> takeoverDeadline; ///< end of the wait for the agents' states; std::nullopt when it is over
    std::unordered_map<JobNumber, PendingAnswer> pendingAnswers; ///< by job
    std::deque<PendingAck> pendingAcks; ///< in the order of their sequences
    std::deque<JobNumber> pendingCancels; ///< cancelled jobs whose tasks have to be stopped
    std::map<JobNumber, Time> cancelled; ///< cancelled jobs with started tasks; when the cancellation was last sent
    Time nextExpiry;
    Time oldestUnsentResultAt; ///< when the oldest outcome was appended that is not yet sent
    bool isFlushUrgent = false; ///< the next batch should be sent without resultBatchDelay
};

} // namespace agatedrum
