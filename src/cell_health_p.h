#pragma once

#include "base_clock_p.h"

#include <cstdint>
#include <deque>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace agatedrum {

/// Judges backend servers by tasks that they fail and that other servers finish. Not thread-safe.
class CellHealth
{
public:
    enum class State {
        Serving,
        Suspended, ///< several failures in a row are not yet judged: no new task
        Ejected, ///< no new task
        Returning ///< few tasks, first those of idempotent jobs
    };

    /// @param share of the servers that may be suspended or ejected at once.
    void setMaxEjectedShare(double share);
    /// Adds a server. An index may be used again after removeServer().
    void addServer(int server);
    void removeServer(int server);

    /// A task ran to its end, with success or not.
    void record(int server, int team, std::int64_t job, bool isSuccess, Time now);
    /// No more tasks of the job will be recorded.
    void endJob(std::int64_t job, Time now);
    /// Judges failures that are due, ejects, and lets servers return.
    /// @return servers whose state or slot limit changed since the last call.
    std::vector<int> tick(Time now);

    State state(int server) const;
    /// Most tasks that may run on the server.
    int limit(int server, int slots) const;
    /// Whether only tasks of idempotent jobs may go to the server.
    bool isIdempotentOnly(int server, Time now) const;

private:
    struct Tally
    {
        double successes = 0;
        double failures = 0;
    };
    struct Failure
    {
        std::int64_t job = 0;
        int team = 0;
        Time at;
    };
    struct Server
    {
        bool isKnown = false;
        State state = State::Serving;
        std::deque<double> verdicts; ///< blame of the last outcomes: 0 for a success, up to 1 for a failure
        std::deque<Failure> pending; ///< failures that are not judged yet
        int failuresInRow = 0;
        Time until; ///< end of the ejection
        Time returnedAt;
        Micros ejection {0}; ///< length of the last one
        int returnLimit = 0;
        int returnSuccesses = 0;
    };

    struct JobTally
    {
        Tally all;
        std::vector<std::pair<int, Tally>> byServer;
        std::vector<int> failedOn; ///< servers with a failure of this job that may be pending
    };
    struct TeamTally
    {
        Tally all;
        std::int64_t halvings = 0;
        std::vector<std::pair<Tally, std::int64_t>> byServer; ///< with the halvings that are applied
    };

    static double blameOf(const Tally &all, const Tally &own);
    double judge(int server, const Failure &failure);
    void judgeJob(int index, Server &server, std::int64_t job);
    void judgeDue(int index, Server &server, Time now);
    static void addVerdict(Server &server, double blame);
    void decide(int index, Server &server, Time now);
    void eject(int index, Server &server, Time now);
    void recordReturning(int index, Server &server, bool isSuccess);
    bool mayEject() const;
    static Tally &tallyOf(JobTally &job, int server);
    static Tally &tallyOf(TeamTally &team, int server);
    void countTeam(int server, int team, bool isSuccess);

    Server *find(int index);
    const Server *find(int index) const;
    void watch(int index);

    std::vector<Server> servers; ///< by index
    std::set<int> watched; ///< servers with pending failures or not in service
    std::size_t knownServers = 0;
    std::unordered_map<std::int64_t, JobTally> jobs;
    std::unordered_map<int, TeamTally> teams;
    std::vector<int> changed;
    double maxEjectedShare = 0.3;
    int out = 0; ///< servers suspended or ejected
};

} // namespace agatedrum
