#pragma once

#include "cell_health_p.h"
#include "cell_order_p.h"
#include "cell_placement_p.h"
#include "cell_scheduler_p.h"
#include "cell_speeds_p.h"
#include "cell_teams_p.h"

#include <queue>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace agatedrum {

/// State of CellScheduler. Not thread-safe.
struct CellScheduler::Impl
{
    struct Server
    {
        std::string name;
        int slots = 0;
        int connections = 0;
        double foreignUsage = 0; ///< reported usage that the tasks started here do not explain
        int peakRunning = 0; ///< since the last report
        int lastPeakRunning = 0; ///< between the last two reports
        bool isKnown = false; ///< false for an index that may be used again
        bool isAnnounced = false; ///< false for a server that is only known from adopted tasks
        bool isAvailable = false;
        bool isDrained = false;
        int configuredSlots = 0;
        int running = 0;
        int held = 0; ///< slots kept free after a fast failure
        int slowSlots = 0; ///< slots that the server loses because it is slow
        int limit = 0;
        bool isUsable = false;
        double capacity = 0;
        double fasterCapacity = 0; ///< of all faster servers
        double fasterSlowness = 1; ///< mean relative slowness of the faster servers
        ServerSpeed speed;
    };

    struct Task
    {
        Micros declared {0};
        Micros expected {0};
        int server = -1; ///< where it runs
    };

    struct Job
    {
        int team = 0;
        Time rank;
        bool isIdempotent = false;
        std::vector<Task> tasks;
        std::vector<int> queued; ///< the longest task comes last
        Micros queuedWork {0};
        int running = 0;
    };

    /// Expected finish of a job that would enter now.
    struct Forecast
    {
        Micros wait {0};
        Micros run {0};
    };

    using Held = std::pair<Time, int>;

    Impl(const ClusterConfig &config, std::string service, std::uint64_t seed);

    void configure(const ClusterConfig &config);
    int serverIndex(const std::string &name);
    void setServerOptions(Server &server) const;
    /// Recomputes what the server may take; call after each change to it.
    void refreshServer(int index, Time now);
    int usableSlots(const Server &server) const;
    double relativeSlowness(const Server &server) const;
    void holdSlot(int index, Micros time, Time now);
    void releaseHeld(Time now);
    void refreshSpeeds(Time now);
    bool hasServer(int index) const;

    Job &jobOf(const ScheduledJob &job, Time now);
    void enqueue(JobNumber number, Job &job, int index);
    void removeFromQueue(JobNumber number, Job &job);
    /// Precondition: the job has queued tasks.
    Assignment start(JobNumber number, int server, Time now, bool isShortest = false);
    std::optional<Assignment> startOrWait(int server, Time now);
    bool shouldStart(const Job &job, Micros ahead, const Server &server, Time now) const;
    void rankServers();
    std::optional<Assignment> nextForReturning(Time now);
    /// Takes a task out of the running ones; the caller refreshes the server.
    /// @return nullptr when the task is not known to run.
    Job *release(const Assignment &assignment);
    void endIfDone(JobNumber number, Time now);
    void learn(const Job &job, const Task &task, int server, wire::Outcome::type outcome, Micros runTime, Time now);

    std::optional<wire::Refusal> refuseImpossible(const ScheduledJob &job, int team) const;
    std::optional<wire::Refusal> refuseFull(const ScheduledJob &job, int team, Time now);
    std::optional<wire::Refusal> refuseLate(const ScheduledJob &job, int team, Time now) const;
    Forecast forecast(const ScheduledJob &job, int team, Time now) const;

    ServiceConfig options;
    std::vector<BackendServerConfig> serverOptions;
    std::string service;
    std::uint64_t seed;
    std::unique_ptr<OrderStrategyI> order;
    std::unique_ptr<PlacementStrategyI> placement;
    CellTeams teams;
    CellHealth health;
    QueuedWork queuedWork;
    std::unordered_map<JobNumber, Job> jobs;
    std::set<CellTeams::RankedJob> idempotentJobs; ///< those with queued tasks
    std::vector<Server> servers;
    std::unordered_map<std::string, int> indices;
    std::set<int> returning; ///< servers with a free slot for tasks of idempotent jobs only
    std::priority_queue<Held, std::vector<Held>, std::greater<>> heldSlots;
    std::size_t queuedCount = 0;
    std::size_t runningCount = 0;
    Micros runningWork {0};
    double capacity = 0; ///< work per unit of time of all usable slots
    double meanSlowness = 1; ///< geometric mean, the unit of relative slowness
    double medianSlowness = 1;
    double fastest = 1; ///< lowest relative slowness
    int usableServers = 0; ///< available and with slots, whatever their health
    Time nextRefresh;
    Time lastStart;
    Time latest; ///< highest time seen, for calls that carry none
    std::optional<Time> noServerSince;
};

} // namespace agatedrum
