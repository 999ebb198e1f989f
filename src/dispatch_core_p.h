#pragma once

#include "agatedrum/config.h"
#include "base_core_p.h"
#include "base_latency_p.h"
#include "config_routing_p.h"
#include "dispatch_admission_p.h"
#include "dispatch_hosts_p.h"
#include "dispatch_job_p.h"
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
    Millis hostSilent {AGATEDRUM_HOST_SILENT_MS};
    Millis repeatInterval {AGATEDRUM_HOST_REPEAT_MS};
    double lateness = 0.0; ///< see Admission
    double farFactor = 1.0; ///< how much longer a task takes away from its data
    std::size_t maxJobs = 20000; ///< in flight
    Millis drainTime {0}; ///< after the beginning of a stop, for which jobs are still taken
};

/// Places the tasks of best-effort jobs at hosts and answers each job when it has ended. Thread-safe.
///
/// Each entry decides alone: the hosts guard the capacity, so entries need not agree, and the loss of one touches only
/// its own jobs.
class DispatchCore : public CoreI
{
public:
    /// The references must outlive the core.
    DispatchCore(MessageSinkI &sink, const ClockI &clock, MemberLink &link, DispatchOptions options);

    /// Takes a job. Precondition: the route comes from routing().
    /// @param handler called once, on any thread, possibly before this returns
    void submit(const RouteConfig &route, JobRequest request, JobHandler handler);
    /// The routing in force; null before the first one.
    std::shared_ptr<const RoutingConfig> routing() const;
    /// Sets what is called with each new routing, with the core's lock held.
    void onRouting(std::function<void(const RoutingConfig &)> listener);

    void handle(const Incoming &incoming) override;
    void tick() override;
    nlohmann::json dump() const override;
    std::vector<prometheus::MetricFamily> latencies() const override;
    /// True when a configuration is in force and the process does not stop.
    bool isReady() const override;
    void beginStop() override;
    /// Whether a stop has begun and its drain time is over, so that no job is taken any more.
    bool isClosed() const;
    /// True when no job is taken any more and every one is answered.
    bool isDrained() const override;
    std::int64_t configNumber() const override;

private:
    enum class TaskPhase { Unplaced, Ordered, Taken, Done };

    struct Task
    {
        TaskPhase phase = TaskPhase::Unplaced;
        std::string host; ///< process name, while ordered or taken
        std::int64_t order = 0;
        Time orderedAt;
        int failures = 0;
        Time retryAt;
        std::optional<Micros> work; ///< run time at the speed of estimates, as an earlier run showed
        std::string avoided; ///< host from which it was moved
        int refusals = 0; ///< by hosts
        bool mayWait = false; ///< the present order is for a host where it has to wait
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
    };

    using Answers = std::vector<std::pair<JobHandler, JobOutcome>>;

    struct Counters
    {
        std::uint64_t submitted = 0;
        std::uint64_t completed = 0;
        std::uint64_t failed = 0;
        std::uint64_t refused = 0;
        std::uint64_t unfinished = 0;
        std::uint64_t callersGone = 0;
        std::uint64_t late = 0;
        std::uint64_t orders = 0;
        std::uint64_t tasksRefused = 0;
        std::uint64_t tasksEnded = 0;
        std::uint64_t tasksFailed = 0;
        std::uint64_t tasksMoved = 0;
        std::uint64_t hostsLost = 0;
    };

    void takeView();
    void apply(const Incoming &incoming, const wire::HostReport &report);
    void apply(const Incoming &incoming, const wire::TaskReports &message, Answers &answers);
    void takeReport(const wire::TaskReport &report, const std::string &host, Answers &answers);
    void takeSuccess(const std::string &id, Job &job, Task &task, Answers &answers);
    /// Moves a task that should end too late, or gives its job up.
    void reviewRun(const wire::TaskReport &report, Job &job, Answers &answers);
    void takeFailure(const std::string &id, Job &job, const wire::TaskReport &report, Answers &answers);
    Job makeJob(const RouteConfig &route, JobRequest request, JobHandler handler) const;
    /// Refuses the job, or orders its tasks.
    void admit(const RouteConfig &route, Job job, Answers &answers);
    /// Places the tasks that wait for a place.
    void placeUnplaced(const std::string &id, Job &job);
    /// Orders the tasks that have a placement. The placements are those of the tasks with these indexes.
    void orderPlaced(const std::string &id, Job &job, const std::vector<std::int32_t> &indexes,
                     const std::vector<HostChoice> &choices, const std::vector<Placement> &placements);
    void sendOrders(const std::string &id, Job &job, const std::vector<std::int32_t> &indexes);
    void stopTasks(const std::string &id, Job &job);
    void sendStops();
    void end(const std::string &id, JobEnd end, const std::string &reason, Answers &answers, Millis retryAfter = {});
    void loseHosts(Answers &answers);
    void checkJobs(Answers &answers);
    void repeatOrders(const std::string &id, Job &job);
    static PlacementGoal goalOf(const Job &job, Time now);
    static void deliver(const Answers &answers);
    bool isClosedLocked() const;
    std::vector<HostChoice> choicesFor(const Job &job) const;

    MessageSinkI &sink;
    const ClockI &clock;
    MemberLink &link;
    const DispatchOptions options;
    const Admission admission;

    mutable std::mutex mutex;
    std::shared_ptr<const RoutingConfig> current;
    std::function<void(const RoutingConfig &)> routingListener;
    std::map<std::string, Job> jobs; ///< by id
    DispatchStops stops;
    DispatchHosts hosts;
    std::int64_t lastOrder = 0;
    bool isStopping = false;
    Time closedAt; ///< end of the drain time, once a stop has begun
    Counters counters;
    LatencyHistogram answerLatency {"dispatch_answer_seconds", "Time from taking a job to its complete answer."};
    LatencyHistogram giveUpLatency {"dispatch_give_up_seconds", "Time from taking a job to an answer without success."};
    LatencyHistogram orderLatency {"dispatch_order_seconds", "Time from ordering a task to the host's first report."};
};

} // namespace agatedrum
