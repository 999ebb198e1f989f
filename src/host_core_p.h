#pragma once

#include "agatedrum/config.h"
#include "base_core_p.h"
#include "base_latency_p.h"
#include "host_entries_p.h"
#include "host_holds_p.h"
#include "host_progress_p.h"
#include "host_queue_p.h"
#include "host_server_p.h"
#include "member_link_p.h"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace agatedrum {

struct HostOptions
{
    wire::ProcessId self;
    Millis reportInterval {AGATEDRUM_HOST_REPORT_MS};
    Millis entryLease {AGATEDRUM_HOST_ENTRY_LEASE_MS};
    Millis repeatInterval {AGATEDRUM_HOST_REPEAT_MS};
    Millis serverHold {AGATEDRUM_SERVER_HOLD_MS};
    Millis serverSilent {AGATEDRUM_SERVER_SILENT_MS};
    Millis startDoubt {AGATEDRUM_START_DOUBT_MS};
};

/// Guards the capacity of one backend server that takes tasks with demands. Thread-safe.
///
/// Only this process orders starts there, so reservations are exact however old the entries' views are. An order
/// without an answer keeps its room until a later answer of the backend server shows that it runs, or a stop rules it
/// out. Tasks run only while the entry that wants them keeps up its lease here.
class HostCore : public CoreI
{
public:
    /// The references must outlive the core.
    HostCore(MessageSinkI &sink, const ClockI &clock, MemberLink &link, TaskServerI &server, HostOptions options);

    void handle(const Incoming &incoming) override;
    void tick() override;
    nlohmann::json dump() const override;
    std::vector<prometheus::MetricFamily> latencies() const override;
    bool isReady() const override;
    void beginStop() override;
    /// True when no task runs.
    bool isDrained() const override;
    std::int64_t configNumber() const override;

    /// Takes what the backend server says of itself. A registration of an earlier life, or an older one, is ignored.
    void registerServer(const ServerRegistration &registration);
    /// The backend server has left.
    void removeServer(const std::string &id);

private:
    enum class Phase { Waiting, Starting, Doubtful, Running };

    struct HostTask
    {
        TaskName name;
        std::int64_t order = 0;
        wire::ProcessId entry;
        std::shared_ptr<const std::string> spec;
        wire::Resources demand;
        Micros estimate {0};
        Time objective; ///< an end after it is late for the caller
        Time giveUpAt; ///< the caller gets no use of it later
        Phase phase = Phase::Waiting;
        std::int64_t run = 0;
        Time takenAt; ///< when the order came
        Time startedAt;
        Time changedAt; ///< of the phase
        RunProgress progress;
        Time warnedAt; ///< when the entry was last told that it should end too late
        bool mustStop = false;
        bool isStopSent = false;
        std::optional<Time> stoppedAt; ///< when the backend server took the stop
    };

    /// The highest run of a task that is known here.
    struct LastRun
    {
        std::int64_t run = 0;
        Time at; ///< of its start order or, once it is known, of its end
        bool isForeign = false; ///< an earlier process of the host started it
    };

    struct Counters
    {
        std::uint64_t started = 0;
        std::uint64_t succeeded = 0;
        std::uint64_t failed = 0;
        std::uint64_t ended = 0;
        std::uint64_t refused = 0;
        std::uint64_t unanswered = 0;
        std::uint64_t leasesLapsed = 0;
        std::uint64_t serverLives = 0;
    };

    // Entries.
    void apply(const wire::RunTasks &message, const Incoming &incoming);
    void apply(const wire::StopTasks &message, const Incoming &incoming);
    void apply(const wire::HostContact &message, const Incoming &incoming);
    /// Whether this process has the order already; reports the present phase of its task.
    bool isRepeated(const std::string &job, const wire::TaskOrder &order, const wire::ProcessId &entry);
    void takeOrder(const wire::RunTasks &message, const wire::TaskOrder &order, const wire::ProcessId &entry,
                   const std::shared_ptr<const std::string> &spec, Time objective);
    void refuse(const wire::ProcessId &entry, const std::string &job, const wire::TaskOrder &order,
                const std::string &reason);
    void report(const HostTask &task, wire::TaskPhase::type phase, const std::string &reason, Micros runTime = {});
    void report(const HostTask &task, wire::TaskReport report);
    void sendReports();
    void sendHostReport(const std::vector<wire::Endpoint> &to);
    wire::HostReport hostReport() const;

    // Tasks.
    void startWaiting();
    void start(std::int64_t id, HostTask &task);
    void stopTask(std::int64_t id, HostTask &task, const std::string &reason);
    /// Takes the start's answer for lost: the run may begin later, until a stop rules it out.
    void doubt(HostTask &task);
    void sendStop(std::int64_t id, HostTask &task);
    void finish(std::int64_t id, wire::TaskPhase::type phase, const std::string &reason, Micros runTime = {});
    void checkTasks();
    void refuseWaiting(const std::string &reason);

    // Backend server.
    /// The task whose order is answered; null when it has ended or the life of the backend server is over.
    HostTask *answered(std::int64_t id, const std::string &life, const OrderReply &reply);
    void onStarted(std::int64_t id, const std::string &life, const OrderReply &reply);
    void onStopped(std::int64_t id, const std::string &life, const OrderReply &reply);
    void sendHold(const HoldSchedule::Hold &hold);
    void onHeld(const std::string &life, const HoldSchedule::Hold &hold, const HoldReply &reply);
    /// For each doubtful run, the time after which a hold tells something new about it.
    std::vector<Time> doubts() const;
    void takeEnds(const HoldReply &reply);
    void takeRunning(const HoldReply &reply, Time sentAt);
    void stopForeign(const RunningTask &running);
    void warnOfLateRuns();
    void keepHolds();
    void beginLife(const ServerRegistration &registration);
    void endLife(const std::string &reason);
    void noteClock(std::int64_t clockMs);
    /// Goes above the token that the backend server has seen, and looks again what runs there.
    void raiseFence(std::int64_t clockMs);
    std::int64_t serverClock(Millis ahead) const;
    std::string life() const;
    bool isAccepting() const;
    wire::Resources reserved() const;
    /// Room that no task holds. Precondition: a backend server is registered.
    wire::Resources freeRoom() const;
    double currentSlowness() const;
    /// Demand of the tasks that have to wait; an entry knows itself that one which fits into what is free need not.
    wire::Resources demandBeyondFree() const;
    /// Expected wait of one more task. Precondition: a backend server is registered.
    Micros startDelayOf(const wire::Resources &demand) const;

    MessageSinkI &sink;
    const ClockI &clock;
    MemberLink &link;
    TaskServerI &server;
    const HostOptions options;

    mutable std::mutex mutex;
    std::optional<ServerRegistration> registered;
    bool hasLeft = false;
    bool isStopping = false;

    std::int64_t fence = 0; ///< fencing token of this process at the present life of the backend server
    std::int64_t clockMs = 0; ///< last reading of the backend server's clock
    Time clockReadAt;
    std::int64_t seenEnds = 0;
    bool isClean = false; ///< a hold under this token showed only runs of this process
    HoldSchedule holds;
    Time heldAt; ///< when the newest answered hold was sent
    OrderOutcome lastHold = OrderOutcome::Accepted;

    std::map<std::int64_t, HostTask> tasks;
    std::map<TaskName, std::int64_t> byName;
    std::map<TaskName, LastRun> lastRuns; ///< of recent tasks
    HostQueue queue;
    HostEntries entries;
    std::int64_t lastId = 0;
    wire::Resources commonDemand; ///< of recent tasks
    RunTimes runTimes;
    StoppedRuns stoppedRuns;
    double failureShare = 0.0;
    Counters counters;
    LatencyHistogram waitLatency {"host_task_wait_seconds", "Time from taking a task to its start order."};
    LatencyHistogram startLatency {"host_start_answer_seconds", "Time from a start order to its answer."};
    LatencyHistogram runLatency {"host_task_run_seconds", "Time from a start order to the known end with success."};
    bool wasAccepting = false;
    std::int64_t reportSequence = 0;
    Time nextReport;
};

} // namespace agatedrum
