#include "cell_health_p.h"

#include "base_log_p.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace agatedrum {

namespace {

/// Number of recent outcomes by which a server is evaluated: a server must be ejected within 20 failing tasks.
constexpr std::size_t faultScoreWindow = 20;
/// Sum of the fault scores in the window at which a server is ejected. If 10% of the tasks fail on all servers, fewer
/// than one window in 10,000 reaches it.
constexpr double ejectionThreshold = 7.5;
/// Sum of the fault scores at which a returning server is ejected again.
constexpr double returningEjectionThreshold = 1.5;
/// Number of consecutive failures after which a serving server gets no new task until they are evaluated.
constexpr int failuresUntilSuspension = 6;
/// Maximum time for which a failure waits for outcomes of the same job on other servers. A faulty server must be
/// ejected within 1 s.
constexpr Micros maxEvidenceWait {500000};
/// Each further ejection lasts twice as long, up to the maximum.
constexpr Micros firstEjectionTime {2000000};
constexpr Micros maxEjectionTime {60000000};
/// Time for which a returning server gets only tasks of idempotent jobs.
constexpr Micros idempotentOnlyTime {1000000};
/// Number of successes that end the restriction to idempotent jobs earlier.
constexpr int idempotentOnlySuccesses = 3;
/// A team's counts are halved when the number of outcomes reaches this value. It is low so that old successes lose
/// their weight quickly: if the tasks of a team start to fail on all servers, this must not eject a server.
constexpr double teamHalvingThreshold = 64;

} // namespace

void CellHealth::setMaxEjectedShare(double share)
{
    this->maxEjectedShare = share;
}

CellHealth::Server *CellHealth::find(int index)
{
    const auto position = static_cast<std::size_t>(index);
    return index >= 0 && position < this->servers.size() && this->servers[position].isKnown ? &this->servers[position]
                                                                                            : nullptr;
}

const CellHealth::Server *CellHealth::find(int index) const
{
    const auto position = static_cast<std::size_t>(index);
    return index >= 0 && position < this->servers.size() && this->servers[position].isKnown ? &this->servers[position]
                                                                                            : nullptr;
}

void CellHealth::watch(int index)
{
    this->watchedServers.insert(index);
}

void CellHealth::addServer(int index)
{
    if (this->find(index) != nullptr) {
        return;
    }
    const auto position = static_cast<std::size_t>(index);
    if (position >= this->servers.size()) {
        this->servers.resize(position + 1);
    }
    this->servers[position].isKnown = true;
    this->serverCount++;
}

void CellHealth::removeServer(int server)
{
    auto *known = this->find(server);
    if (known == nullptr) {
        return;
    }
    if (known->state == State::Suspended || known->state == State::Ejected) {
        this->outOfServiceCount--;
    }
    *known = Server {};
    this->serverCount--;
    this->watchedServers.erase(server);
    for (auto &[team, outcomes] : this->teams) {
        countsOf(outcomes, server) = OutcomeCounts {};
    }
}

void CellHealth::recordOutcome(int index, int team, std::int64_t job, bool isSuccess, Time now)
{
    auto *known = this->find(index);
    if (known == nullptr) {
        return;
    }
    auto &server = *known;
    auto &outcomes = this->jobs[job];
    auto &own = countsOf(outcomes, index);
    (isSuccess ? outcomes.all.successes : outcomes.all.failures) += 1;
    (isSuccess ? own.successes : own.failures) += 1;
    this->recordTeamOutcome(index, team, isSuccess);
    if (isSuccess) {
        server.consecutiveFailures = 0;
        addFaultScore(server, 0);
    } else {
        if (std::find(outcomes.serversWithFailures.begin(), outcomes.serversWithFailures.end(), index)
            == outcomes.serversWithFailures.end()) {
            outcomes.serversWithFailures.push_back(index);
        }
        server.pending.push_back({job, team, now});
        this->watch(index);
        server.consecutiveFailures++;
        if (server.state == State::Serving && server.consecutiveFailures >= failuresUntilSuspension
            && this->mayEject()) {
            server.state = State::Suspended;
            this->outOfServiceCount++;
            this->changedServers.push_back(index);
        }
    }
    if (server.state == State::Returning) {
        this->recordReturningOutcome(index, server, isSuccess);
    }
}

void CellHealth::endJob(std::int64_t job, Time now)
{
    const auto found = this->jobs.find(job);
    if (found == this->jobs.end()) {
        return;
    }
    for (const int index : found->second.serversWithFailures) {
        if (auto *server = this->find(index)) {
            this->evaluateJobFailures(index, *server, job);
            this->ejectIfFaulty(index, *server, now);
        }
    }
    this->jobs.erase(found);
}

std::vector<int> CellHealth::tick(Time now)
{
    for (auto next = this->watchedServers.begin(); next != this->watchedServers.end();) {
        const int index = *next;
        auto &server = this->servers[static_cast<std::size_t>(index)];
        this->evaluateDueFailures(index, server, now);
        if (server.state == State::Suspended && server.pending.empty()) {
            server.state = State::Serving;
            server.consecutiveFailures = 0;
            this->outOfServiceCount--;
            this->changedServers.push_back(index);
        }
        if (server.state == State::Ejected && now >= server.ejectedUntil) {
            server.state = State::Returning;
            server.returnedAt = now;
            server.returningLimit = 1;
            server.returningSuccesses = 0;
            server.consecutiveFailures = 0;
            server.faultScores.clear();
            server.pending.clear();
            this->outOfServiceCount--;
            this->changedServers.push_back(index);
        }
        if (server.state == State::Returning) {
            this->changedServers.push_back(index); // the restriction to idempotent jobs ends after a time
        }
        const bool isHealthy = server.state == State::Serving && server.pending.empty();
        next = isHealthy ? this->watchedServers.erase(next) : std::next(next);
    }
    return std::exchange(this->changedServers, {});
}

CellHealth::State CellHealth::state(int server) const
{
    const auto *known = this->find(server);
    return known == nullptr ? State::Serving : known->state;
}

int CellHealth::limit(int index, int slots) const
{
    const auto *known = this->find(index);
    if (known == nullptr || known->state == State::Serving) {
        return slots;
    }
    return known->state == State::Returning ? std::min(slots, known->returningLimit) : 0;
}

bool CellHealth::isIdempotentOnly(int index, Time now) const
{
    const auto *known = this->find(index);
    return known != nullptr && known->state == State::Returning && known->returningSuccesses < idempotentOnlySuccesses
        && now - known->returnedAt < idempotentOnlyTime;
}

double CellHealth::faultScoreOf(const OutcomeCounts &all, const OutcomeCounts &own)
{
    const double successes = all.successes - own.successes;
    const double totalOutcomes = successes + all.failures - own.failures;
    return totalOutcomes > 0.5 ? successes / totalOutcomes : 0;
}

CellHealth::OutcomeCounts &CellHealth::countsOf(JobOutcomes &job, int server)
{
    const auto found = std::find_if(job.byServer.begin(), job.byServer.end(),
                                    [server](const auto &entry) { return entry.first == server; });
    return found != job.byServer.end() ? found->second : job.byServer.emplace_back(server, OutcomeCounts {}).second;
}

CellHealth::OutcomeCounts &CellHealth::countsOf(TeamOutcomes &team, int server)
{
    const auto position = static_cast<std::size_t>(server);
    if (position >= team.byServer.size()) {
        team.byServer.resize(position + 1);
    }
    auto &[counts, halvings] = team.byServer[position];
    if (halvings < team.halvings) {
        const double decayFactor = std::pow(0.5, static_cast<double>(team.halvings - halvings));
        counts.successes *= decayFactor;
        counts.failures *= decayFactor;
        halvings = team.halvings;
    }
    return counts;
}

// Compares the server with the other servers that ran the same job, which is the best evidence. If the job ran on no
// other server, compares it with the other servers that ran tasks of the same team.
double CellHealth::evaluateFailure(int server, const PendingFailure &failure)
{
    if (const auto job = this->jobs.find(failure.job); job != this->jobs.end()) {
        const auto &own = countsOf(job->second, server);
        const auto &all = job->second.all;
        if (all.successes + all.failures > own.successes + own.failures) {
            return faultScoreOf(all, own);
        }
    }
    auto &team = this->teams[failure.team];
    return faultScoreOf(team.all, countsOf(team, server));
}

void CellHealth::evaluateJobFailures(int index, Server &server, std::int64_t job)
{
    auto &pending = server.pending;
    const auto firstEvaluated = std::stable_partition(
        pending.begin(), pending.end(), [job](const PendingFailure &failure) { return failure.job != job; });
    for (auto failure = firstEvaluated; failure != pending.end(); ++failure) {
        addFaultScore(server, this->evaluateFailure(index, *failure));
    }
    pending.erase(firstEvaluated, pending.end());
}

void CellHealth::evaluateDueFailures(int index, Server &server, Time now)
{
    if (server.pending.empty()) {
        return;
    }
    while (!server.pending.empty() && now - server.pending.front().failedAt >= maxEvidenceWait) {
        addFaultScore(server, this->evaluateFailure(index, server.pending.front()));
        server.pending.pop_front();
    }
    this->ejectIfFaulty(index, server, now);
}

void CellHealth::addFaultScore(Server &server, double faultScore)
{
    server.faultScores.push_back(faultScore);
    if (server.faultScores.size() > faultScoreWindow) {
        server.faultScores.pop_front();
    }
}

void CellHealth::ejectIfFaulty(int index, Server &server, Time now)
{
    if (server.state == State::Ejected) {
        return;
    }
    double scoreSum = 0;
    for (const double faultScore : server.faultScores) {
        scoreSum += faultScore;
    }
    const double threshold = server.state == State::Returning ? returningEjectionThreshold : ejectionThreshold;
    if (scoreSum >= threshold && (server.state == State::Suspended || this->mayEject())) {
        this->eject(index, server, now);
    }
}

void CellHealth::eject(int index, Server &server, Time now)
{
    if (server.state != State::Suspended) {
        this->outOfServiceCount++;
    }
    server.state = State::Ejected;
    server.ejectionTime
        = server.ejectionTime.count() == 0 ? firstEjectionTime : std::min(maxEjectionTime, server.ejectionTime * 2);
    server.ejectedUntil = now + server.ejectionTime;
    this->changedServers.push_back(index);
    this->watch(index);
    log(LogLevel::Warning, "health", "ejected backend server {} for {} ms", index, server.ejectionTime.count() / 1000);
}

void CellHealth::recordReturningOutcome(int index, Server &server, bool isSuccess)
{
    constexpr int successesUntilServing = 64;
    if (!isSuccess) {
        server.returningLimit = 1;
    } else if (++server.returningSuccesses >= idempotentOnlySuccesses) {
        server.returningLimit++;
    }
    if (server.returningSuccesses >= successesUntilServing) {
        server.state = State::Serving;
        server.ejectionTime = Micros(0);
    }
    this->changedServers.push_back(index);
}

bool CellHealth::mayEject() const
{
    return this->outOfServiceCount + 1 <= this->maxEjectedShare * static_cast<double>(this->serverCount) + 1e-9;
}

void CellHealth::recordTeamOutcome(int server, int index, bool isSuccess)
{
    auto &team = this->teams[index];
    auto &own = countsOf(team, server);
    (isSuccess ? team.all.successes : team.all.failures) += 1;
    (isSuccess ? own.successes : own.failures) += 1;
    if (team.all.successes + team.all.failures >= teamHalvingThreshold) {
        team.all.successes /= 2;
        team.all.failures /= 2;
        team.halvings++;
    }
}

} // namespace agatedrum
