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

/// Shares and quotas of the teams of one cell, and the order of the jobs of each team. A free slot goes to the team
/// that has the fewest running tasks for its weight, so idle capacity is lent and comes back as tasks end. Not
/// thread-safe.
class CellTeams
{
public:
    using RankedJob = std::pair<Time, std::int64_t>;

    /// A quota that has no room.
    struct QuotaRefusal
    {
        std::string message;
        bool isPermanent = false; ///< the job alone exceeds the quota
        Micros retryAfter {0};
    };

    /// Takes over weights and quotas. A rate is divided evenly among the cells of the service.
    void configure(const std::vector<TeamConfig> &teams, int cells);
    /// Index of a team, which is created when it is new.
    int indexOf(const std::string &name);
    /// Whether the configuration names the team; true for all when it names none.
    bool isKnown(const std::string &name) const;

    /// Whether the quotas have room for a job. Changes nothing but the clock of the rate.
    std::optional<QuotaRefusal> check(int team, std::size_t tasks, Time now);
    /// Charges a job to the rate.
    void charge(int team, std::size_t tasks, Time now);

    void addJob(int team, const RankedJob &job);
    /// Harmless when the job is not queued.
    void removeJob(int team, const RankedJob &job);
    void changeQueued(int team, long tasks);
    void changeRunning(int team, long tasks);

    /// Team that the next free slot belongs to and its first job, or nothing.
    std::optional<std::pair<int, RankedJob>> next() const;
    /// The teams that may start a task, in the order in which free slots belong to them.
    std::vector<int> readyTeams(std::size_t most) const;
    bool mayStart(int team) const;
    /// Queued jobs of a team in their order.
    const std::set<RankedJob> &jobs(int team) const;

    TeamSizes &sizes(int team);
    const TeamSizes &sizes(int team) const;

    struct Summary
    {
        std::string name;
        double weight = 1;
        long queued = 0;
        long running = 0;
        double sizeFactor = 1;
    };
    std::vector<Summary> summaries() const;

private:
    using ReadyKey = std::tuple<double, Time, int>;

    struct Team
    {
        TeamConfig config;
        bool isConfigured = false;
        double ratePerCell = 0;
        double tokens = 0;
        Time refilled;
        long queued = 0;
        long running = 0;
        std::set<RankedJob> jobs;
        std::optional<ReadyKey> ready;
        TeamSizes sizes;
    };

    void refresh(int index);
    static void refill(Team &team, Time now);

    std::vector<Team> teams;
    std::unordered_map<std::string, int> indices;
    std::set<ReadyKey> ready;
    bool hasConfiguredTeams = false;
};

} // namespace agatedrum
