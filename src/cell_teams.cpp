#include "cell_teams_p.h"

#include <fmt/format.h>

#include <algorithm>

namespace agatedrum {

namespace {

/// Lower limit of weights; avoids a division by zero.
constexpr double minWeight = 0.001;
/// Retry delay if it is unknown when the quota will allow the job.
constexpr Micros defaultRetryDelay {1000000};

double secondsOf(Micros time)
{
    return static_cast<double>(time.count()) / 1e6;
}

} // namespace

void CellTeams::configure(const std::vector<TeamConfig> &configs, int cells)
{
    this->hasConfiguredTeams = !configs.empty();
    for (auto &team : this->teams) {
        const auto name = team.config.name;
        team.config = TeamConfig {};
        team.config.name = name;
        team.isConfigured = false;
        team.ratePerCell = 0;
    }
    for (const auto &config : configs) {
        auto &team = this->teams[static_cast<std::size_t>(this->findOrAddTeam(config.name))];
        const double rate = config.maxTasksPerSecond / std::max(1, cells);
        if (team.ratePerCell != rate) {
            team.tokens = rate;
        }
        team.config = config;
        team.isConfigured = true;
        team.ratePerCell = rate;
    }
    for (std::size_t index = 0; index < this->teams.size(); ++index) {
        this->updateReadyEntry(static_cast<int>(index));
    }
}

int CellTeams::findOrAddTeam(const std::string &name)
{
    const auto [found, isNew] = this->teamIndices.try_emplace(name, static_cast<int>(this->teams.size()));
    if (isNew) {
        this->teams.emplace_back();
        this->teams.back().config.name = name;
    }
    return found->second;
}

bool CellTeams::isKnown(const std::string &name) const
{
    if (!this->hasConfiguredTeams || name.empty()) {
        return true;
    }
    const auto found = this->teamIndices.find(name);
    return found != this->teamIndices.end() && this->teams[static_cast<std::size_t>(found->second)].isConfigured;
}

std::optional<CellTeams::QuotaRefusal> CellTeams::check(int index, std::size_t tasks, Time now)
{
    auto &team = this->teams[static_cast<std::size_t>(index)];
    const auto &config = team.config;
    if (config.maxQueuedTasks > 0) {
        if (tasks > static_cast<std::size_t>(config.maxQueuedTasks)) {
            return QuotaRefusal {fmt::format("the job has {} tasks, and team {} may queue at most {} per cell", tasks,
                                             config.name, config.maxQueuedTasks),
                                 true, Micros(0)};
        }
        if (team.queued + static_cast<long>(tasks) > config.maxQueuedTasks) {
            return QuotaRefusal {fmt::format("team {} has {} tasks queued and may queue at most {} per cell",
                                             config.name, team.queued, config.maxQueuedTasks),
                                 false, defaultRetryDelay};
        }
    }
    if (team.ratePerCell > 0) {
        refill(team, now);
        if (team.tokens <= 0) {
            const double wait = (1 - team.tokens) / team.ratePerCell;
            return QuotaRefusal {fmt::format("team {} has used up its rate limit of {} tasks per second", config.name,
                                             config.maxTasksPerSecond),
                                 false, Micros(static_cast<std::int64_t>(wait * 1e6))};
        }
    }
    return std::nullopt;
}

// The tokens may become negative: a job with more tasks than the tokens of one second can run, and later jobs have to
// wait until the tokens are positive again.
void CellTeams::charge(int index, std::size_t tasks, Time now)
{
    auto &team = this->teams[static_cast<std::size_t>(index)];
    if (team.ratePerCell > 0) {
        refill(team, now);
        team.tokens -= static_cast<double>(tasks);
    }
}

void CellTeams::refill(Team &team, Time now)
{
    if (now > team.refilledAt) {
        const double newTokens = secondsOf(now - team.refilledAt) * team.ratePerCell;
        team.tokens = std::min(std::max(team.ratePerCell, 1.0), team.tokens + newTokens);
        team.refilledAt = now;
    }
}

void CellTeams::addJob(int index, const RankedJob &job)
{
    this->teams[static_cast<std::size_t>(index)].jobs.insert(job);
    this->updateReadyEntry(index);
}

void CellTeams::removeJob(int index, const RankedJob &job)
{
    this->teams[static_cast<std::size_t>(index)].jobs.erase(job);
    this->updateReadyEntry(index);
}

void CellTeams::adjustQueuedCount(int index, long tasks)
{
    this->teams[static_cast<std::size_t>(index)].queued += tasks;
}

void CellTeams::adjustRunningCount(int index, long tasks)
{
    this->teams[static_cast<std::size_t>(index)].running += tasks;
    this->updateReadyEntry(index);
}

bool CellTeams::mayStart(int index) const
{
    const auto &team = this->teams[static_cast<std::size_t>(index)];
    return team.config.maxTasksInFlight <= 0 || team.running < team.config.maxTasksInFlight;
}

const std::set<CellTeams::RankedJob> &CellTeams::jobs(int index) const
{
    return this->teams[static_cast<std::size_t>(index)].jobs;
}

std::optional<std::pair<int, CellTeams::RankedJob>> CellTeams::next() const
{
    if (this->ready.empty()) {
        return std::nullopt;
    }
    const int index = std::get<2>(*this->ready.begin());
    return std::pair(index, *this->teams[static_cast<std::size_t>(index)].jobs.begin());
}

std::vector<int> CellTeams::readyTeams(std::size_t maxTeams) const
{
    std::vector<int> result;
    for (auto key = this->ready.begin(); key != this->ready.end() && result.size() < maxTeams; ++key) {
        result.push_back(std::get<2>(*key));
    }
    return result;
}

void CellTeams::updateReadyEntry(int index)
{
    auto &team = this->teams[static_cast<std::size_t>(index)];
    std::optional<ReadyKey> key;
    if (!team.jobs.empty() && this->mayStart(index)) {
        const double share = static_cast<double>(team.running) / std::max(minWeight, team.config.weight);
        key = ReadyKey(share, team.jobs.begin()->first, index);
    }
    if (key == team.ready) {
        return;
    }
    if (team.ready) {
        this->ready.erase(*team.ready);
    }
    if (key) {
        this->ready.insert(*key);
    }
    team.ready = key;
}

TeamSizes &CellTeams::sizes(int index)
{
    return this->teams[static_cast<std::size_t>(index)].sizes;
}

const TeamSizes &CellTeams::sizes(int index) const
{
    return this->teams[static_cast<std::size_t>(index)].sizes;
}

std::vector<CellTeams::Summary> CellTeams::summaries() const
{
    std::vector<Summary> result;
    result.reserve(this->teams.size());
    for (const auto &team : this->teams) {
        result.push_back({team.config.name, team.config.weight, team.queued, team.running, team.sizes.factor()});
    }
    return result;
}

} // namespace agatedrum
