#pragma once

#include "agatedrum/config.h"
#include "base_core_p.h"
#include "base_latency_p.h"
#include "host_audience_p.h"
#include "host_crashes_p.h"
#include "host_entries_p.h"
#include "host_holds_p.h"
#include "host_lease_terms_p.h"
#include "host_progress_p.h"
#include "host_queue_p.h"
#include "host_ramp_p.h"
#include "host_registration_p.h"
#include "host_server_p.h"
#include "host_witness_p.h"
#include "member_link_p.h"
#include "task_needs_p.h"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace agatedrum {

struct HostOptions
{
    wire::ProcessId self;
    Millis reportInterval {AGATEDRUM_HOST_REPORT_MS};
    Millis summaryInterval {AGATEDRUM_HOST_SUMMARY_MS};
    Millis listenTime {AGATEDRUM_HOST_LISTENER_MS};
    HostLeaseTerms leaseTerms;
    Millis repeatInterval {AGATEDRUM_HOST_REPEAT_MS};
    Millis taskLease {AGATEDRUM_SERVER_HOLD_MS};
    Millis serverTimeout {AGATEDRUM_SERVER_SILENT_MS};
    Millis startConfirmTimeout {AGATEDRUM_START_DOUBT_MS};
    Millis lateStartTime {AGATEDRUM_LATE_START_MS};
    Millis capacityValidity {AGATEDRUM_CAPACITY_VALID_MS};
    Millis rampTime {AGATEDRUM_HOST_RAMP_MS};
    const OverloadPolicy *overloadPolicy = &deadlinePolicy; ///< must outlive the core
};

/// Manages the capacity of one backend server that runs tasks with resource demands. Thread-safe.
///
/// Only this process starts tasks on the backend server, so its reservations are exact even if the views of the entries
/// are out of date. A start order without an answer keeps its reservation until a later answer of the backend server
/// shows that the task runs, or an accepted stop guarantees that it cannot run. Tasks run only while the entry that
/// ordered them renews its lease at this host.
class HostCore : public CoreI
{
public:
    /// The referenced objects must outlive the core.
    HostCore(MessageSinkI &sink, const ClockI &clock, MemberLink &link, TaskServerI &server, HostOptions options);

    void handle(const IncomingMessage &incoming) override;
    void tick() override;
    nlohmann::json dump() const override;
    std::vector<prometheus::MetricFamily> latencyHistograms() const override;
    bool isReady() const override;
    void beginStop() override;
    /// Returns true if no task is waiting or running and, once a stop has begun, the entries have learned of it.
    bool isDrained() const override;
    std::int64_t configNumber() const override;

    /// Applies a registration of the backend server. Ignores outdated ones, those of an earlier instance, and those of
    /// another instance while the present one answers; see RegistrationReview.
    void registerServer(const ServerRegistration &registration);
    /// Handles the departure of the backend server: refuses the waiting tasks and accepts no new ones.
    void removeServer(const std::string &id);

private:
    enum class Phase {
        Waiting,
        Starting,
        Unconfirmed,
        Running,
        ServerReplaced ///< ordered at an earlier instance of the backend server, which may still run it
    };

    struct HostTask
    {
        TaskName name;
        std::int64_t order = 0;
        wire::ProcessId entry;
        std::shared_ptr<const std::string> spec;
        std::string serviceName;
        TaskNeeds needs;
        int priority = 0; ///< 0 is the most urgent
        Micros estimate {0};
        Time objective; ///< a task that ends after this time misses the job's latency objective
        Time abandonAt; ///< the caller's deadline; a result after this time is of no use
        Phase phase = Phase::Waiting;
        std::int64_t run = 0;
        Time acceptedAt; ///< when the order of the entry was accepted
        Time startedAt;
        Time changedAt; ///< last change of the phase, or when the last stop was sent
        RunProgress progress;
        Time warnedAt; ///< when the entry was last warned that the task is expected to end late
        bool isStarted = false; ///< the backend server has shown that it has started the run
        bool isSuspected = false; ///< a backend server has crashed under the task
        bool mustStop = false;
        std::optional<Time>
            mustEndBy; ///< set with mustStop; no lease is granted beyond this time until the run has ended
        bool isStopSent = false;
        std::optional<Time> stopAcceptedAt; ///< when the backend server accepted the stop
    };

    /// The highest run number of a task that is known to this host.
    struct LastRun
    {
        std::int64_t run = 0;
        Time updatedAt; ///< time of its start order or, once known, of its end
        bool isOrphaned = false; ///< started by an earlier process of this host
    };

    /// What the host knew when it sent an order to the backend server.
    struct OrderContext
    {
        std::string instanceName;
        std::int64_t fence = 0;
    };

    struct Counters
    {
        std::uint64_t started = 0;
        std::uint64_t succeeded = 0;
        std::uint64_t failed = 0;
        std::uint64_t ended = 0;
        std::uint64_t refused = 0;
        std::uint64_t unanswered = 0;
        std::uint64_t leasesExpired = 0;
        std::uint64_t serverInstances = 0;
        std::uint64_t serversLost = 0;
        std::uint64_t evacuations = 0;
        std::uint64_t givenUp = 0;
    };

    /// Applies the evacuated failure domains of the newest view.
    void updateEvacuation();
    bool isEvacuated() const;

    // Messages from and to entries.
    void apply(const wire::RunTasks &message, const IncomingMessage &incoming);
    void apply(const wire::StopTasks &message, const IncomingMessage &incoming);
    void apply(const wire::HostContact &message, const IncomingMessage &incoming);
    void apply(const wire::StartsInDoubt &message, const IncomingMessage &incoming);
    void apply(const wire::OrdersElsewhere &message, const IncomingMessage &incoming);
    /// Returns true if this process already has the order; in that case reports the current phase of its task.
    bool handleDuplicate(const std::string &job, const wire::TaskOrder &order, const wire::ProcessId &entry);
    /// Returns the task that is ordered, without its times.
    static HostTask makeTask(const wire::RunTasks &message, const wire::TaskOrder &order, const wire::ProcessId &entry);
    void acceptOrder(const wire::RunTasks &message, const wire::TaskOrder &order, const wire::ProcessId &entry,
                     const std::shared_ptr<const std::string> &spec, Time objective);
    /// Returns why the backend server may not run the task, or an empty string if it may, now or when it has free
    /// capacity. Checked when a task is accepted, when it starts, and when the backend server's registration changes.
    /// Precondition: a backend server is registered.
    std::string_view refusalReason(const HostTask &task) const;
    void refuse(const wire::ProcessId &entry, const std::string &job, const wire::TaskOrder &order,
                const std::string &reason);
    void report(const HostTask &task, wire::TaskPhase::type phase, const std::string &reason, Micros runTime = {});
    void report(const HostTask &task, wire::TaskReport report);
    /// Reports whether the run of a task that has not ended is known to have started.
    void reportPhase(const HostTask &task);
    void recordStarted(HostTask &task);
    void sendReports();
    /// Sends the host's report to the entries that listen to it, and a summary to others that are due one.
    void announce();
    /// Sends the host's report to an entry that begins to listen.
    void reportToListener(const wire::Endpoint &entry);
    /// Applies an entry's message that extends its lease.
    /// @return false if the resulting lease has expired already
    bool applyContact(const IncomingMessage &incoming, std::int64_t heardAtMicros, std::int64_t reportsSeen);
    /// Tells all known entries which tasks may still be started.
    void sendToEntries(const wire::StartsInDoubt &message);
    /// Reports the tasks of lost entries that were ordered at other hosts.
    void reportWitnessed();
    /// Tells an entry process that was not known before which tasks may still be started.
    void greetNewEntry(const wire::Endpoint &entry);
    wire::HostReport hostReport() const;

    // Task life cycle.
    void startWaitingTasks();
    void startTask(std::int64_t id, HostTask &task);
    /// Ends a waiting task, or orders the stop of its run. Idempotent.
    /// @param mustEndBy time at which the run must have ended, with or without an accepted stop
    void stopTask(std::int64_t id, HostTask &task, Time mustEndBy, const std::string &reason);
    /// Treats the answer to the start order as lost. The run may still begin until a stop is accepted.
    void markUnconfirmed(HostTask &task);
    void sendStop(std::int64_t id, HostTask &task);
    void finish(std::int64_t id, wire::TaskPhase::type phase, const std::string &reason, Micros runTime = {});
    void checkTasks();
    void refuseWaiting(const std::string &reason);
    /// Refuses the waiting tasks that the overload policy gives up.
    void refuseGivenUp();
    /// Refuses the waiting tasks that the backend server may not run. Precondition: a backend server is registered.
    void refuseUnfit();

    // Communication with the backend server.
    /// Reads the backend server's clock from the answer to an order for the present instance. If another instance has
    /// answered, keeps the host from accepting tasks instead: the other one need not have the same capacity and labels.
    void recordAnswer(OrderOutcome outcome, std::int64_t clockMs);
    /// Returns the task whose order was answered, or null if the task has ended or the answer belongs to an earlier
    /// instance of the backend server. Updates the backend server's clock from the answer.
    HostTask *findAnsweredTask(std::int64_t id, const OrderContext &context, const OrderReply &reply);
    void onStarted(std::int64_t id, const OrderContext &context, const OrderReply &reply);
    void onStopped(std::int64_t id, const OrderContext &context, const OrderReply &reply);
    void sendPoll(const PollSchedule::Poll &poll);
    void onPolled(const OrderContext &context, const PollSchedule::Poll &poll, const PollReply &reply);
    /// Returns, for each run whose start is not confirmed, the time after which a poll must be sent to give new
    /// information about it.
    std::vector<Time> unconfirmedSince() const;
    /// Evaluates whether the reply shows that the backend server has crashed, or that it has not.
    void reviewServerLoss(const PollSchedule::Poll &poll, const PollReply &reply);
    /// Records, unless that is done, that the present instance of the backend server has crashed with its active runs.
    void recordServerLoss(const std::string &reason);
    void handleEndedRuns(const PollReply &reply);
    void handleListedRuns(const PollReply &reply, Time sentAt);
    void stopOrphanedRun(const RunningTask &running);
    void reportLateRuns();
    void sendDuePolls();
    void reviewRegistration(const ServerRegistration &registration);
    void applyRegistration(const ServerRegistration &registration, bool isOtherInstance);
    /// Follows the deferred registration if the present instance no longer answers.
    void applyDeferredRegistration();
    ServerEvidence serverEvidence() const;
    void beginInstance(const ServerRegistration &registration);
    void endInstance(const std::string &reason);
    /// Reports the tasks of earlier instances as ended if none of them can run any more.
    void endReplacedTasks();
    std::string instanceName() const;

    // Fencing tokens and the lease of all runs at the backend server.
    OrderContext orderContext() const;
    void updateClock(std::int64_t newClockMs);
    std::int64_t serverClock(Time at) const;
    /// Takes a token above those of all orders that this process has sent. It normally is above those of earlier
    /// processes of this host and earlier instances of the backend server as well; onFenced() handles the exceptions.
    void raiseFence(std::int64_t step);
    /// Handles an order that was refused because of its token. Raises the token if no newer one was in use, since
    /// another process has used a higher one; the runs there must then be listed again.
    void onFenced(const OrderContext &context);
    /// Returns the time up to which all runs may get a lease now: no run may outlive the lease of its entry, or the
    /// time at which it must have ended, by more than the time that a stop takes.
    Time leaseLimit(Time now) const;
    /// Returns the end of the lease to send with an order, on the backend server's clock.
    std::int64_t grantLease(Time limit);
    bool isAccepting() const;
    /// Must be called before each change that may make the host accept tasks again.
    void recordAccepting();
    /// Returns false if the newest registration is so old that the backend server may have had less capacity for longer
    /// than it allows. Precondition: a backend server is registered.
    bool isCapacityCurrent() const;
    /// Returns when the present instance sent the registration, by its clock; now if that is unknown.
    Time sendTimeOf(const ServerRegistration &registration) const;
    wire::Resources reserved() const;
    double currentSlowness() const;
    /// Returns a demand that does not fit into the free resources. The host's report contains the start delay of such a
    /// demand only, since an entry assumes that a demand within the reported free capacity starts without delay.
    wire::Resources demandBeyond(const wire::Resources &free) const;
    /// Returns whether a new task could start now or after a short wait. Precondition: a backend server is registered.
    bool startsSoon(const wire::Resources &demand, int priority) const;
    /// Returns the tasks that reserve capacity, and the part that the ramp withholds. Precondition: a backend server is
    /// registered.
    CapacityForecast capacityForecast() const;

    MessageSinkI &sink;
    const ClockI &clock;
    MemberLink &link;
    TaskServerI &server;
    const HostOptions options;

    mutable std::mutex mutex;
    std::optional<ServerRegistration> registered;
    Time registeredAt; ///< when the newest registration was sent, or applied if the former is unknown
    RegistrationReview registrations;
    bool hasLeft = false;
    bool isStopping = false;
    Time stopsAt; ///< a stopping host refuses orders until then, and ends when its runs have ended

    std::int64_t fence = 0; ///< fencing token of the orders that are sent now
    std::int64_t fenceStep = 1; ///< by how much the token rises after the next refusal
    bool mustRaiseFence = false; ///< an order was not answered; the next poll rules out that it is carried out late
    Time leaseGrantedUntil; ///< until then the present instance may run tasks without a further order
    Time replacedRunsEnd; ///< until then an earlier instance at another address may run tasks
    std::int64_t serverClockMs = 0; ///< last known time of the backend server's clock
    Time serverClockReadAt;
    std::int64_t lastSeenEnd = 0; ///< number of the newest processed EndedTask
    bool hasOnlyOwnRuns = false; ///< a poll with the current token listed no runs of other processes
    PollSchedule pollSchedule;
    Time polledAt; ///< when the newest successful poll was sent
    OrderOutcome lastPollOutcome = OrderOutcome::Accepted;
    std::optional<Time>
        otherInstanceSeenAt; ///< when another instance last answered; not set while the present one does
    HostCrashes crashes;

    std::map<std::int64_t, HostTask> tasks;
    std::map<TaskName, std::int64_t> idByName;
    std::map<TaskName, LastRun> lastRuns; ///< highest run numbers of recent tasks
    HostQueue queue;
    PriorityUse priorityUse;
    std::vector<std::string> evacuatedDomains; ///< by the newest view that was applied
    HostRamp ramp;
    HostEntries entries;
    HostAudience audience;
    int urgentReports = 0; ///< number of the next reports that go to all entries
    HostWitness witness;
    std::vector<wire::JobInDoubt> unanswered; ///< start orders found to have no answer since the last announcement
    std::vector<wire::JobInDoubt> announcedUnanswered; ///< those of the announcement before
    std::int64_t lastTaskId = 0;
    wire::Resources lastDemand; ///< demand of the last accepted order
    RunTimeEstimator runTimeEstimator;
    StoppedRuns stoppedRuns;
    double failureShare = 0.0;
    Counters counters;
    LatencyHistogram waitLatency {"host_task_wait_seconds", "Time from taking a task to its start order."};
    LatencyHistogram startLatency {"host_start_answer_seconds", "Time from a start order to its answer."};
    LatencyHistogram runLatency {"host_task_run_seconds", "Time from a start order to the known end with success."};
    bool wasAccepting = false;
    Time notAcceptingAt; ///< when the host last was found not to accept tasks
    std::int64_t reportSequence = 0;
    Time nextReport;
};

} // namespace agatedrum
