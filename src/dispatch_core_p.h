#pragma once

#include "agatedrum/config.h"
#include "base_core_p.h"
#include "base_latency_p.h"
#include "config_routing_p.h"
#include "dispatch_admission_p.h"
#include "dispatch_crashes_p.h"
#include "dispatch_doubts_p.h"
#include "dispatch_hosts_p.h"
#include "dispatch_job_p.h"
#include "dispatch_listening_p.h"
#include "dispatch_stops_p.h"
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

struct DispatchOptions
{
    wire::ProcessId self;
    Millis hostTimeout {AGATEDRUM_HOST_SILENT_MS};
    Millis repeatInterval {AGATEDRUM_HOST_REPEAT_MS};
    double maxLateness = 0.0; ///< see Admission
    double farFactor = 1.0; ///< run time factor of a task that runs remote from its data
    std::size_t maxJobs = 20000; ///< maximum number of jobs in flight
    Millis stallTime {AGATEDRUM_ENTRY_STALL_MS};
    Millis lateStartTime {AGATEDRUM_LATE_START_MS};
    Millis hostEntryLease {AGATEDRUM_HOST_ENTRY_LEASE_MS}; ///< longest time after which a host still accepts an order
    Millis askTime {AGATEDRUM_ENTRY_ASK_MS}; ///< time for which a request is held until asked hosts have answered
    std::size_t hostsPerService = AGATEDRUM_ENTRY_HOSTS; ///< see ListeningOptions
    std::size_t entriesPerHost = AGATEDRUM_ENTRIES_PER_HOST; ///< see ListeningOptions
    Millis drainTime {0}; ///< time after the start of a stop during which jobs are still accepted
};

/// Places the tasks of best-effort jobs at hosts and answers each job when it has ended. Thread-safe.
///
/// Each entry decides independently. The hosts guard the capacity, so entries need no agreement, and the failure of an
/// entry affects only its own jobs.
class DispatchCore : public CoreI
{
public:
    /// The referenced objects must outlive the core.
    DispatchCore(MessageSinkI &sink, const ClockI &clock, MemberLink &link, DispatchOptions options);

    /// Submits a job. Precondition: the route comes from routing().
    /// @param handler called once, on any thread, possibly before this returns
    void submit(const RouteConfig &route, JobRequest request, JobHandler handler);
    /// Returns the routing in force, or null before the first one.
    std::shared_ptr<const RoutingConfig> routing() const;
    /// Sets the listener for new routings. It is called with the core's lock held.
    void onRouting(std::function<void(const RoutingConfig &)> listener);

    void handle(const IncomingMessage &incoming) override;
    void tick() override;
    nlohmann::json dump() const override;
    std::vector<prometheus::MetricFamily> latencyHistograms() const override;
    /// Returns true if a configuration is in force and the process is not stopping.
    bool isReady() const override;
    void beginStop() override;
    /// Returns true if a stop has begun and its drain time is over, so that no more jobs are accepted.
    bool isClosed() const;
    /// Returns true if no more jobs are accepted and all accepted ones have been answered.
    bool isDrained() const override;
    std::int64_t configNumber() const override;

private:
    enum class TaskPhase { Unassigned, Ordered, Accepted, Done };

    struct Task
    {
        TaskPhase phase = TaskPhase::Unassigned;
        std::string host; ///< process name; set while ordered or accepted
        std::int64_t hostIncarnation = 0; ///< process that received the order; a later one knows nothing of it
        std::int64_t order = 0;
        Time orderedAt;
        int failures = 0;
        Time retryAt;
        std::optional<Micros> observedWork; ///< run time at slowness 1, derived from an earlier run
        std::string excludedHost; ///< host from which the task was relocated
        int refusals = 0; ///< number of refusals by hosts
        bool isStarted = false; ///< the host has reported the run, so its start order is not carried out late any more
        bool mayWait = false; ///< whether the host may queue the task under the current order
    };

    struct Job
    {
        JobRequest request;
        JobHandler handler;
        std::string service;
        int priority = 0;
        int maxAttempts = 1;
        Time arrivedAt;
        Time deadline;
        Time objective;
        std::vector<Task> tasks;
        bool mayHaveRun = false; ///< a task has run, under this or an earlier request of the caller
    };

    /// A request of a caller on which nothing is decided yet.
    struct Submission
    {
        JobRequest request;
        JobHandler handler;
        Time arrivedAt;
    };

    /// A request that could only be refused by the reports at hand, while hosts that were asked may still answer.
    struct HeldSubmission
    {
        RouteConfig route;
        Submission submission;
    };

    using Answers = std::vector<std::pair<JobHandler, JobOutcome>>;

    struct Counters
    {
        std::uint64_t submitted = 0;
        std::uint64_t completed = 0;
        std::uint64_t failed = 0;
        std::uint64_t refused = 0;
        std::uint64_t unfinished = 0;
        std::uint64_t callersDisconnected = 0;
        std::uint64_t late = 0;
        std::uint64_t orders = 0;
        std::uint64_t tasksRefused = 0;
        std::uint64_t tasksEnded = 0;
        std::uint64_t tasksFailed = 0;
        std::uint64_t tasksRelocated = 0;
        std::uint64_t hostsLost = 0;
        std::uint64_t startsInDoubt = 0;
        std::uint64_t heldForDoubt = 0;
        std::uint64_t serversLost = 0;
        std::uint64_t givenUp = 0;
        std::uint64_t heldForHosts = 0;
        std::uint64_t hopeless = 0;
    };

    void updateRouting();
    /// Applies the evacuated failure domains of the newest view.
    void updateEvacuations();
    void apply(const IncomingMessage &incoming, const wire::HostReport &report);
    void apply(const IncomingMessage &incoming, const wire::TaskReports &message, Answers &answers);
    void apply(const IncomingMessage &incoming, const wire::StartsInDoubt &message);
    /// Applies the crashes that a host reports, and fails the jobs of the tasks that are given up because of them.
    void applyCrashes(const wire::HostReport &report, Answers &answers);
    /// Returns why the job must not run because of earlier crashes, or an empty string.
    std::string givenUpReason(const JobRequest &request) const;
    void handleReport(const wire::TaskReport &report, const wire::ProcessId &host, Answers &answers);
    void handleSuccess(const std::string &id, Job &job, Task &task, Answers &answers);
    /// Decides about a task that is expected to end late: keeps it, relocates it, or abandons its job.
    void reviewLateRun(const wire::TaskReport &report, Job &job, Answers &answers);
    void handleFailure(const std::string &id, Job &job, const wire::TaskReport &report, Answers &answers);
    /// Refuses the request, accepts it as a job, or holds it for a short time.
    void decide(const RouteConfig &route, Submission submission, Answers &answers);
    Job makeJob(const RouteConfig &route, Submission submission) const;
    /// Refuses the job, or accepts it and orders its tasks.
    void admit(const RouteConfig &route, Job job, Answers &answers);
    bool isInFlight(const std::string &id) const;

    // Hosts that this entry listens to.
    /// Chooses the hosts to listen to, if that is due, and asks those that are not heard for their reports.
    void listen();
    void reviewListening();
    void askForReports();
    void sendContact(const DispatchHost &host);
    /// Listens to hosts with the labels that the tasks need.
    void listenForLabels(const std::string &service, const std::vector<TaskRequest> &tasks);
    /// Listens to further hosts for a request that would be refused.
    /// @return true if hosts may answer within the time for which the request may be held
    bool listenForRefused(const RouteConfig &route, const Submission &submission);
    /// Listens to the hosts that can tell whether earlier start orders of the tasks are still carried out.
    /// @return as listenForRefused()
    bool listenForDoubt(const Submission &submission);
    bool mayAwaitAnswers(const Submission &submission) const;
    void hold(const RouteConfig &route, Submission submission, const std::string &reason);
    void decideHeld(Answers &answers);
    /// Places the tasks that are not assigned to a host. Ends the job if no host can end one of them in time.
    /// @return false if the job was ended
    bool placeUnassigned(const std::string &id, Job &job, Answers &answers);
    /// Answers a job that cannot end in time: as not run if that is certain.
    void giveUp(const std::string &id, Answers &answers);
    /// Orders the tasks for which a host was found.
    /// @param placements the placements of the tasks in indexes, in the same order
    void orderPlacedTasks(const std::string &id, Job &job, const std::vector<std::int32_t> &indexes,
                          const std::vector<HostCandidate> &candidates, const std::vector<Placement> &placements);
    void sendOrders(const std::string &id, Job &job, const std::vector<std::int32_t> &indexes);
    /// Tells other hosts where the tasks are ordered, so that this is known if this entry and the task's host are lost.
    void addWitnesses(const std::string &id, Micros timeLeft, std::map<std::string, wire::RunTasks> &messages);
    static StoppingTask stoppingTask(const Job &job, std::size_t index);
    void stopTasks(const Job &job);
    void sendStops();
    void endJob(const std::string &id, JobEnd end, const std::string &reason, Answers &answers, Millis retryAfter = {});
    /// Announces the tasks that are stopping at lost hosts, whose start orders may still be carried out.
    void announceLostStarts();
    /// Returns a start order of the task that may still be carried out although no host can rule it out now.
    std::optional<StartInDoubt> startInDoubt(const std::string &job, std::int32_t index) const;
    /// Returns why a new request cannot be run now, or an empty string: a start order of one of its tasks may still be
    /// carried out, and its host is not heard.
    std::string doubtReason(const JobRequest &request) const;
    void failLostHosts(Answers &answers);
    /// Returns why the run of the task is out of this entry's control, or an empty string while its host is live.
    std::string lossReason(const Task &task, Time now) const;
    void checkJobs(Answers &answers);
    void resendOrders(const std::string &id, Job &job);
    static PlacementGoal placementGoalOf(const Job &job, Time now);
    static void deliverAnswers(const Answers &answers);
    bool isClosedLocked() const;
    /// Returns why a new request must not be run, or an empty string.
    std::string staleReason(const JobRequest &request) const;
    /// Records that a tick begins, and whether the process has stood still since the last one.
    void recordTick();
    std::vector<HostCandidate> candidatesFor(const Job &job) const;

    MessageSinkI &sink;
    const ClockI &clock;
    MemberLink &link;
    const DispatchOptions options;
    const Admission admission;

    mutable std::mutex mutex;
    std::shared_ptr<const RoutingConfig> currentRouting;
    std::function<void(const RoutingConfig &)> routingListener;
    std::map<std::string, Job> jobs; ///< keyed by job id
    DispatchStops stops;
    DispatchDoubts doubts;
    std::vector<std::string> evacuatedDomains; ///< by the newest view that was applied
    DispatchHosts hosts;
    DispatchListening listening;
    Time listeningReviewedAt;
    bool mustReviewListening = false; ///< a host has become known
    std::size_t entryCount = 0; ///< number of entries by the newest report of a host
    std::vector<HeldSubmission> held;
    std::int64_t lastOrder = 0;
    Time tickedAt; ///< begin of the newest tick; Time {} before the first one
    Time stalledUntil; ///< requests that are read until then may have arrived while the process stood still
    DispatchCrashes crashes;
    bool isStopping = false;
    Time closesAt; ///< end of the drain time; valid once a stop has begun
    Counters counters;
    LatencyHistogram answerLatency {"dispatch_answer_seconds", "Time from taking a job to its complete answer."};
    LatencyHistogram unsuccessfulLatency {"dispatch_give_up_seconds",
                                          "Time from taking a job to an answer without success."};
    LatencyHistogram orderLatency {"dispatch_order_seconds", "Time from ordering a task to the host's first report."};
};

} // namespace agatedrum
