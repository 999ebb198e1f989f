#pragma once

#include "base_clock_p.h"
#include "cell_speeds_p.h"
#include "config_cluster_p.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

namespace agatedrum {

/// Shares and quotas of the teams of one cell, and the queued jobs of each team. A free slot goes to the team with the
/// lowest ratio of running tasks to weight. A team may thus use slots that other teams leave idle; these teams get the
/// slots back as its tasks end. Not thread-safe.
class CellTeams
{
public:
    /// Rank and number of a job.
    using RankedJob = std::pair<Time, std::int64_t>;

    /// Refusal of a job that exceeds a quota.
    struct QuotaRefusal
    {
        std::string message;
        bool isPermanent = false; ///< the job alone exceeds the quota, so it would never be accepted
        Micros retryAfter {0}; ///< time until a retry may succeed; zero if isPermanent
    };

    /// Applies weights and quotas. Rates are divided evenly among the cells of the service.
    void configure(const std::vector<TeamConfig> &teams, int cells);
    /// Returns the index of a team, which is added if it is unknown.
    int findOrAddTeam(const std::string &name);
    /// Returns whether the configuration contains the team. Always true if the name is empty or the configuration
    /// contains no teams.
    bool isKnown(const std::string &name) const;

    /// Checks whether a job exceeds a quota. Refills the tokens of the rate limit, but takes none.
    /// @return std::nullopt if the job is within the quotas.
    std::optional<QuotaRefusal> check(int team, std::size_t tasks, Time now);
    /// Takes the tokens of a job from the rate limit.
    void charge(int team, std::size_t tasks, Time now);

    /// Adds a job with queued tasks.
    void addJob(int team, const RankedJob &job);
    /// Removes a job that has no more queued tasks; does nothing if the job was not added.
    void removeJob(int team, const RankedJob &job);
    /// Adds a number, which may be negative, to the count of queued tasks.
    void adjustQueuedCount(int team, long tasks);
    /// Adds a number, which may be negative, to the count of running tasks.
    void adjustRunningCount(int team, long tasks);

    /// Returns the team that gets the next free slot and its first job, or std::nullopt if no team may start a task.
    std::optional<std::pair<int, RankedJob>> next() const;
    /// Returns the teams that have queued jobs and may start a task, in the order in which they get free slots.
    /// @param maxTeams maximum number of teams.
    std::vector<int> readyTeams(std::size_t maxTeams) const;
    /// Returns whether the team is below its limit of tasks in flight.
    bool mayStart(int team) const;
    /// Returns the jobs of a team that have queued tasks, in the order of their ranks.
    const std::set<RankedJob> &jobs(int team) const;

    /// Returns the learned run times of the tasks of a team.
    TeamSizes &sizes(int team);
    const TeamSizes &sizes(int team) const;

    /// State of a team for operators.
    struct Summary
    {
        std::string name;
        double weight = 1;
        long queued = 0; ///< number of queued tasks
        long running = 0; ///< number of running tasks
        double sizeFactor = 1; ///< TeamSizes::factor()
    };
    /// Returns the state of all teams.
    std::vector<Summary> summaries() const;

private:
    /// Ratio of running tasks to weight, rank of the first job, and index of the team.
    using ReadyKey = std::tuple<double, Time, int>;

    struct Team
    {
        TeamConfig config;
        bool isConfigured = false; ///< whether the configuration contains the team
        double ratePerCell = 0; ///< tokens per second; 0 if there is no limit
        double tokens = 0; ///< of the rate limit; one per task; may be negative
        Time refilledAt; ///< when tokens were last added
        long queued = 0; ///< number of queued tasks
        long running = 0; ///< number of running tasks
        std::set<RankedJob> jobs; ///< jobs with queued tasks
        std::optional<ReadyKey> ready; ///< entry of this team in CellTeams::ready
        TeamSizes sizes;
    };

    /// Updates the entry of a team in ready.
    void updateReadyEntry(int index);
    /// Adds the tokens for the time since the last refill. A team keeps at most the tokens of one second, or one token
    /// if these are fewer.
    static void refill(Team &team, Time now);

    std::vector<Team> teams;
    std::unordered_map<std::string, int> teamIndices;
    std::set<ReadyKey> ready; ///< teams that have queued jobs and may start a task
    bool hasConfiguredTeams = false;
};

} // namespace agatedrum
