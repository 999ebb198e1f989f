#pragma once

#include "base_clock_p.h"

#include <cstdint>
#include <deque>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace agatedrum {

/// Outlier detection: ejects backend servers that fail tasks which other servers finish. Each failure of a server gets
/// a fault score between 0 and 1: the success rate of the same job or team on the other servers. A server whose recent
/// scores add up to a threshold gets no tasks for a time and then returns gradually. Not thread-safe.
class CellHealth
{
public:
    enum class State {
        Serving,
        Suspended, ///< gets no new task until its consecutive failures are evaluated
        Ejected, ///< gets no new task until the ejection ends
        Returning ///< gets a few tasks after an ejection, at first only tasks of idempotent jobs
    };

    /// @param share maximum share of all servers that may be suspended or ejected at the same time, from 0 to 1.
    void setMaxEjectedShare(double share);
    /// Adds a server; does nothing if the index is known. An index may be reused after removeServer().
    void addServer(int server);
    /// Removes a server and its failures; does nothing if the index is unknown.
    void removeServer(int server);

    /// Records the outcome of a task. Ignored if the server is unknown.
    void recordOutcome(int server, int team, std::int64_t job, bool isSuccess, Time now);
    /// Evaluates the pending failures of a job and removes the job. Call it when no more outcomes of the job will
    /// follow.
    void endJob(std::int64_t job, Time now);
    /// Evaluates failures that have waited long enough, ejects servers and ends ejections. Call it every few
    /// milliseconds.
    /// @return servers whose state, slot limit or restriction to idempotent jobs may have changed since the last call.
    std::vector<int> tick(Time now);

    /// @return State::Serving if the server is unknown.
    State state(int server) const;
    /// Returns the maximum number of tasks that may run at the same time on a server with that number of slots.
    int limit(int server, int slots) const;
    /// Returns whether the server may run only tasks of idempotent jobs at this time.
    bool isIdempotentOnly(int server, Time now) const;

private:
    /// Numbers of successes and failures. Fractions come from halved counts.
    struct OutcomeCounts
    {
        double successes = 0;
        double failures = 0;
    };
    /// A failure that is not evaluated yet.
    struct PendingFailure
    {
        std::int64_t job = 0;
        int team = 0;
        Time failedAt;
    };
    struct Server
    {
        bool isKnown = false;
        State state = State::Serving;
        std::deque<double> faultScores; ///< of the last outcomes: 0 for a success, up to 1 for a failure
        std::deque<PendingFailure> pending; ///< oldest first
        int consecutiveFailures = 0;
        Time ejectedUntil;
        Time returnedAt; ///< end of the last ejection
        Micros ejectionTime {0}; ///< length of the last ejection; zero before the first one and after a complete return
        int returningLimit = 0; ///< maximum number of tasks at the same time while the server returns
        int returningSuccesses = 0; ///< successes since the end of the ejection
    };

    struct JobOutcomes
    {
        OutcomeCounts all; ///< on all servers
        std::vector<std::pair<int, OutcomeCounts>> byServer; ///< by server index
        std::vector<int> serversWithFailures; ///< servers on which a task of this job failed
    };
    struct TeamOutcomes
    {
        OutcomeCounts all; ///< on all servers
        std::int64_t halvings = 0; ///< number of times that the counts were halved
        /// Indexed by server: the counts and the number of halvings that are already applied to them.
        std::vector<std::pair<OutcomeCounts, std::int64_t>> byServer;
    };

    /// Returns the success rate on all servers but one. Returns 0 if no task ended on the other servers, or almost none
    /// after halvings.
    /// @param all outcomes on all servers.
    /// @param own outcomes on the server to leave out.
    static double faultScoreOf(const OutcomeCounts &all, const OutcomeCounts &own);
    /// Returns the fault score of a failure.
    double evaluateFailure(int server, const PendingFailure &failure);
    /// Evaluates the pending failures of one job.
    void evaluateJobFailures(int index, Server &server, std::int64_t job);
    /// Evaluates failures that have waited for the maximum time, and ejects the server if necessary.
    void evaluateDueFailures(int index, Server &server, Time now);
    /// Adds the score of one outcome and removes the oldest if the window is full.
    static void addFaultScore(Server &server, double faultScore);
    /// Ejects the server if its fault scores reach the threshold and the share of ejected servers allows it.
    void ejectIfFaulty(int index, Server &server, Time now);
    /// Starts an ejection, which is twice as long as the previous one, up to a maximum.
    void eject(int index, Server &server, Time now);
    /// Adjusts the limit of a returning server; ends the return after enough successes.
    void recordReturningOutcome(int index, Server &server, bool isSuccess);
    /// Returns whether one more server may be suspended or ejected.
    bool mayEject() const;
    /// Returns the counts of one server, which are created if necessary.
    static OutcomeCounts &countsOf(JobOutcomes &job, int server);
    /// Returns the counts of one server, with all halvings applied.
    static OutcomeCounts &countsOf(TeamOutcomes &team, int server);
    void recordTeamOutcome(int server, int team, bool isSuccess);

    /// @return nullptr if the server is unknown.
    Server *find(int index);
    const Server *find(int index) const;
    /// Lets tick() check the server until it serves normally and has no pending failures.
    void watch(int index);

    std::vector<Server> servers; ///< indexed by server
    std::set<int> watchedServers; ///< servers that have pending failures or are not in State::Serving
    std::size_t serverCount = 0;
    std::unordered_map<std::int64_t, JobOutcomes> jobs;
    std::unordered_map<int, TeamOutcomes> teams;
    std::vector<int> changedServers; ///< result of the next tick()
    double maxEjectedShare = 0.3;
    int outOfServiceCount = 0; ///< number of suspended and ejected servers
};

} // namespace agatedrum
