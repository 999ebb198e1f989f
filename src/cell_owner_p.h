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

/// Defects that a test switches on to show that its checks find them. All off in the programs.
struct OwnerDefects
{
    bool ignoresLease = false;
    bool skipsFencing = false; ///< takes the tasks of taken-over jobs as not started without asking the agents
    bool saysNotRunEarly = false; ///< says "not run" at the record timeout and keeps the job
    bool runsResubmissions = false; ///< takes a resubmission of an ended job as a new job
};

/// What a cell's owner needs from its process.
struct CellContext
{
    MessageSinkI &sink;
    const ClockI &clock;
    std::function<bool()> mayAct; ///< lease valid and view current
    wire::ProcessId self;
    const OwnerDefects *defects = nullptr;
};

/// One cell under one epoch: ledger, scheduler, agents, holders. Not thread-safe; guarded by the lock of its shard.
/// Nothing is sent without a lease, except NotOwner.
class CellOwner
{
public:
    /// @param ledger taken over from a whole copy, or empty. Precondition: config names the view's service.
    CellOwner(CellContext context, const wire::CellView &view, const ClusterConfig &config, CellLedger ledger);

    void submit(const Incoming &from, const wire::SubmitJob &message);
    void cancel(const Incoming &from, const wire::CancelJob &message);
    void query(const Incoming &from, const wire::QueryJob &message);
    void acknowledged(const Incoming &from, const wire::RecordAck &message);
    void hello(const Incoming &from, const wire::AgentHello &message);
    void results(const Incoming &from, const wire::ResultBatch &message);
    void refused(const Incoming &from, const wire::StartRefused &message);
    void state(const Incoming &from, const wire::AgentState &message);

    /// Takes over what a newer view says of the cell. Precondition: same cell, epoch and owner.
    void applyView(const wire::CellView &view);
    /// Takes over a newer configuration. Precondition: it names the cell's service.
    void configure(const ClusterConfig &config);
    void tick();
    /// Sends the waiting requests to the cell's next owner. Call once, before the object is destroyed.
    void resign(std::int64_t newEpoch);

    std::int64_t epoch() const;
    const std::string &service() const;
    /// What the heartbeat says of this cell.
    wire::CellReport report() const;
    /// True once since the report changed.
    bool takeReportChanged();
    /// True when no job is unfinished and no answer waits.
    bool isIdle() const;
    nlohmann::json dump() const;

private:
    enum class Stage {
        AwaitingAgents, ///< taken over; its tasks' states are asked for
        AwaitingRecord, ///< not yet at enough holders
        Running,
        Ended ///< removed once the message is handled
    };
    /// Where a task is. Without an agent it waits for its job or in the scheduler.
    struct Place
    {
        std::string agent;
        std::int64_t sequence = 0; ///< of its last start in this epoch; 0 for a task that was found running
        int sends = 0;
    };
    struct ActiveJob
    {
        LedgerJob *job = nullptr;
        Stage stage = Stage::AwaitingRecord;
        std::int64_t recordSequence = 0;
        Time since; ///< start of the wait for the record
        bool hasStarted = false; ///< some task may have been sent to an agent
        std::vector<Place> places;
    };
    struct Flight
    {
        JobNumber job = 0;
        int index = 0;
        std::int64_t sequence = 0;
        Time sentAt;
        bool isConfirmed = false; ///< the agent reported it as running
    };
    struct PendingFence
    {
        std::int64_t barrier = 0;
        std::optional<Time> sentAt;
    };
    struct Agent
    {
        wire::ProcessId id;
        wire::Endpoint address;
        wire::ServerInfo server;
        bool isListed = false;
        bool hasState = false; ///< answered a fence of this epoch
        bool isLost = false;
        Time heardAt;
        Time stateAt;
        Micros uptime {0}; ///< at stateAt
        Time pausedUntil; ///< after a refused start
        int refusals = 0; ///< since a task last ended there
        std::int64_t lastSequence = 0;
        std::int64_t heardSequence = 0;
        std::map<std::pair<JobNumber, int>, Flight> flights;
        std::optional<PendingFence> fence;
        std::vector<wire::TaskRef> recorded; ///< results to acknowledge
        Time recordedSince; ///< of the oldest of them
    };
    struct PendingAnswer
    {
        std::int64_t sequence = 0; ///< must be recorded before the answer leaves
        std::optional<wire::Refusal> refusal;
        Time giveUpAt; ///< with a refusal: then it no longer says not run
    };
    struct PendingAck
    {
        std::int64_t sequence = 0;
        std::string agent;
        wire::TaskRef ref;
    };

    // cell_owner.cpp: requests and answers
    Time now() const;
    bool send(const wire::Endpoint &to, Payload payload) const;
    void reply(const Waiter &waiter, wire::JobAnswer answer) const;
    void refuse(const Waiter &waiter, const wire::JobKey &key, wire::Refusal refusal);
    void sendNotOwner(const Waiter &waiter, std::int64_t epoch) const;
    bool turnAway(const Waiter &waiter, std::int64_t epoch) const;
    void accept(const Waiter &waiter, const wire::JobSpec &spec);
    void joinOrAnswer(const Waiter &waiter, LedgerJob &job, const wire::JobSpec &spec);
    ScheduledJob scheduled(const LedgerJob &job) const;
    wire::JobAnswer settledAnswer(const LedgerJob &job, const wire::JobSpec &spec) const;
    void sendAnswers();
    bool sendAnswer(LedgerJob &job, PendingAnswer &pending);
    void forgetRefused(const LedgerJob &job);

    // cell_owner_agents.cpp: agents and outcomes
    Agent *meet(const wire::ProcessId &id, const wire::Endpoint &address);
    void heard(Agent &agent, const wire::ServerInfo &server);
    void updateAvailability(Agent &agent);
    void checkForLoss(Agent &agent, const wire::AgentHello &hello);
    void fence(Agent &agent);
    void sendFence(Agent &agent);
    void lose(Agent &agent);
    void tickAgents();
    void acceptResult(const std::string &sender, const wire::JobKey &key, const wire::TaskResult &result,
                      std::int64_t sequence);
    bool isStaleNotRun(const Place &place, const std::string &sender, std::int64_t sequence) const;
    void takeBack(ActiveJob &active, int index);
    void leaveAgent(ActiveJob &active, int index);
    void acceptNotRun(ActiveJob &active, const wire::TaskResult &result, std::int64_t sequence);
    void decide(ActiveJob &active, const wire::TaskResult &result);
    void decide(ActiveJob &active, int index, wire::Outcome::type outcome);
    void finish(ActiveJob &active);
    void adopt(Agent &agent, const wire::AgentTask &task);
    void acknowledgeLater(const std::string &agent, const wire::JobKey &key, int index);
    void takeRecorded();
    void sendAcks(Agent &agent);

    // cell_owner_run.cpp: from the record to the start, takeover, cancellation
    void afterMessage();
    void flush(bool isTick);
    void removeEnded();
    void dispatch();
    void sendStarts(const std::string &server, wire::StartBatch batch);
    std::optional<wire::StartTask> place(const Assignment &assignment);
    Millis timeLimit(const LedgerJob &job) const;
    void unplace(const wire::StartTask &start);
    void releaseRecorded();
    void startRunning(ActiveJob &active);
    void expireWaiting();
    void giveUpRecord(ActiveJob &active);
    void resolveTakeover();
    bool haveAllStates() const;
    bool certainlyNotStarted(const LedgerJob &job) const;
    void resolve(ActiveJob &active, bool areAllKnown);
    void cancelSlices();
    void cancelNow(ActiveJob &active, std::map<std::string, std::vector<wire::TaskRef>> &byAgent);
    void repeatCancels();
    void sendCancels(const std::map<std::string, std::vector<wire::TaskRef>> &byAgent);
    ActiveJob *findActive(JobNumber number);

    CellContext context;
    int cell;
    std::int64_t cellEpoch;
    std::string serviceName;
    int copies = 1;
    ClusterConfig config;
    CellLedger ledger;
    RecordStream stream;
    CellScheduler scheduler;
    RefusedRequests refusals;
    std::unordered_map<JobNumber, ActiveJob> active;
    std::vector<JobNumber> ended; ///< to be removed from active
    std::deque<JobNumber> awaitingRecord; ///< in the order of their record sequences
    std::map<std::string, Agent> agents; ///< by name
    std::optional<Time> takeoverUntil; ///< set while agents' states are waited for
    std::unordered_map<JobNumber, PendingAnswer> answers;
    std::deque<PendingAck> acks; ///< in the order of their sequences
    std::deque<JobNumber> cancels;
    std::map<JobNumber, Time> cancelled; ///< jobs with started tasks and when their cancellation was sent
    Time nextExpiry;
    Time resultsSince; ///< when the oldest unsent outcome was appended
    bool isUrgent = false; ///< a new job waits for the next batch
};

} // namespace agatedrum
