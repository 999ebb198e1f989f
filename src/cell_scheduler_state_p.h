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

/// Implementation of CellScheduler. Not thread-safe.
struct CellScheduler::Impl
{
    struct Server
    {
        std::string name;
        int slots = 0; ///< announced number of slots
        int connections = 0; ///< announced maximum number of connections; 0 if not limited
        double externalUsage = 0; ///< reported usage that is not caused by tasks of this scheduler; below 0 if unknown
        int peakRunning = 0; ///< maximum number of running tasks since the last report
        int previousPeakRunning = 0; ///< maximum number of running tasks between the last two reports
        bool isInUse = false; ///< false if the index is free and may be reused
        bool isAnnounced = false; ///< false if the server is known only from adopted tasks
        bool isAvailable = false;
        bool isDrained = false;
        int configuredSlots = 0; ///< maximum from the configuration; 0 if there is none
        int running = 0; ///< number of running tasks
        int held = 0; ///< slots that are kept free for a time after a fast failure
        int slotsLostToSlowness = 0; ///< number of slots that are not used since the server is slow
        int limit = 0; ///< maximum number of running and held slots
        bool isUsable = false; ///< available and with slots, regardless of its health
        double capacity = 0; ///< work per unit of time
        double fasterCapacity = 0; ///< sum of the capacities of all faster servers
        double fasterSlowness = 1; ///< mean relative slowness of the faster servers
        ServerSpeed speed;
    };

    struct Task
    {
        Micros declared {0}; ///< zero if the caller declared no run time
        Micros expected {0}; ///< expected run time on a server of slowness 1
        int server = -1; ///< index of the server that runs the task; -1 if it isn't running
    };

    struct Job
    {
        int team = 0;
        Time rank;
        bool isIdempotent = false;
        std::vector<Task> tasks;
        std::vector<int> queued; ///< indices of queued tasks by expected run time, the longest last
        Micros queuedWork {0}; ///< sum of the expected run times of queued tasks
        int running = 0; ///< number of running tasks
    };

    /// Expected times of a job that would be accepted now.
    struct Forecast
    {
        Micros wait {0}; ///< until the job starts
        Micros run {0}; ///< from its start to its end
    };

    using HeldSlot = std::pair<Time, int>; ///< time of the release and server index

    Impl(const ClusterConfig &config, std::string service, std::uint64_t seed);

    void configure(const ClusterConfig &config);
    /// Returns the index of a server, which is added if it is unknown.
    int findOrAddServer(const std::string &name);
    /// Applies the configuration of this server, or the defaults if it has none.
    void applyServerConfig(Server &server) const;
    /// Recomputes the slot limit and the capacity of a server and offers its free slots. Must be called after each
    /// change to the server.
    void refreshServer(int index, Time now);
    /// Returns the number of slots without regard to the health of the server.
    int usableSlots(const Server &server) const;
    /// Returns the slowness of a server relative to the geometric mean of all servers.
    double relativeSlowness(const Server &server) const;
    /// Keeps one slot of a server free for a time; does nothing if time is not positive.
    void holdSlot(int index, Micros time, Time now);
    /// Releases held slots whose time is over.
    void releaseHeldSlots(Time now);
    /// Updates all values that depend on the learned speeds, at most once per interval.
    void refreshSpeeds(Time now);
    /// Returns whether the index belongs to a server.
    bool hasServer(int index) const;

    /// Returns a job, which is added if it is unknown.
    Job &findOrAddJob(const ScheduledJob &job, Time now);
    /// Inserts a task into the queue of its job, in the order of the expected run time.
    void enqueue(JobNumber number, Job &job, int index);
    /// Removes a job that has no more queued tasks from the jobs that may start tasks.
    void removeFromQueue(JobNumber number, Job &job);
    /// Starts the longest or the shortest queued task of a job. Precondition: the job has queued tasks.
    Assignment start(JobNumber number, int server, Time now, bool isShortestFirst = false);
    /// Starts a task on a free server, unless all tasks should wait for a faster one. Precondition: a team may start a
    /// task.
    std::optional<Assignment> startOrDefer(int server, Time now);
    /// Returns whether the shortest queued task of a job should start on a slow server instead of waiting.
    /// @param workBefore queued work of the jobs that come before this job.
    bool shouldStart(const Job &job, Micros workBefore, const Server &server, Time now) const;
    /// Updates the capacity and the mean slowness of the faster servers for each server.
    void updateFasterCapacities();
    /// Starts a task of an idempotent job on a server that returns from an ejection, if possible.
    std::optional<Assignment> startOnReturningServer(Time now);
    /// Marks a task as not running any more. The caller must call refreshServer() afterwards.
    /// @return the job, or nullptr if the task isn't running.
    Job *removeRunning(const Assignment &assignment);
    /// Removes a job that has no queued and no running tasks.
    void removeJobIfDone(JobNumber number, Time now);
    /// Updates the learned sizes of the team and the speed of the server after a success; holds the slot after a
    /// failure that was faster than the expected run time.
    void learnFromRun(const Job &job, const Task &task, int server, wire::Outcome::type outcome, Micros runTime,
                      Time now);

    /// Refuses a job of an unknown team, or one that could never run.
    std::optional<wire::Refusal> refuseNeverRunnable(const ScheduledJob &job, int team) const;
    /// Refuses a job if the queue is full, a quota is used up or no server has been available for some time.
    std::optional<wire::Refusal> refuseOverLimits(const ScheduledJob &job, int team, Time now);
    /// Refuses a job that isn't expected to finish before its deadline.
    std::optional<wire::Refusal> refuseMissedDeadline(const ScheduledJob &job, int team, Time now) const;
    /// Estimates when a job would start and how long it would run. Precondition: the capacity is positive.
    Forecast forecast(const ScheduledJob &job, int team, Time now) const;

    ServiceConfig serviceConfig;
    std::vector<BackendServerConfig> serverConfigs;
    std::string service;
    std::uint64_t seed;
    std::unique_ptr<OrderStrategyI> order;
    std::unique_ptr<PlacementStrategyI> placement;
    CellTeams teams;
    CellHealth health;
    QueuedWork queuedWork;
    std::unordered_map<JobNumber, Job> jobs;
    std::set<CellTeams::RankedJob> idempotentJobs; ///< idempotent jobs with queued tasks
    std::vector<Server> servers;
    std::unordered_map<std::string, int> serverIndices; ///< server index by name
    std::set<int> idempotentOnlyServers; ///< servers with a free slot that may run only tasks of idempotent jobs
    std::priority_queue<HeldSlot, std::vector<HeldSlot>, std::greater<>> heldSlots;
    std::size_t queuedCount = 0; ///< number of queued tasks
    std::size_t runningCount = 0; ///< number of running tasks
    Micros runningWork {0}; ///< sum of the expected run times of running tasks
    double capacity = 0; ///< work per unit of time of all usable slots
    double meanSlowness = 1; ///< geometric mean of the slowness of all servers; the unit of relative slowness
    double medianSlowness = 1;
    double minRelativeSlowness = 1; ///< relative slowness of the fastest server
    int usableServerCount = 0; ///< number of servers with Server::isUsable
    Time nextSpeedRefreshAt; ///< earliest time of the next refreshSpeeds()
    Time lastStartAt; ///< when a task was last started
    Time lastTickAt; ///< latest time passed to tick(), for functions without a time parameter
    std::optional<Time> noServerSince; ///< set while no server is usable
};

} // namespace agatedrum
