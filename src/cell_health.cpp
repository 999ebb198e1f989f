#include "cell_health_p.h"

#include "base_log_p.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace agatedrum {

namespace {

/// Outcomes that a server is judged by: a server must be ejected within 20 failing tasks.
constexpr std::size_t verdictWindow = 20;
/// Blame within the window at which a server is ejected. Tasks that fail everywhere at a rate of 10% reach it in less
/// than one of 10,000 windows.
constexpr double ejectionBlame = 7.5;
/// Blame at which a returning server is ejected again.
constexpr double returningBlame = 1.5;
/// Failures in a row after which a server gets no new task until they are judged.
constexpr int suspendAfter = 6;
/// Longest time a failure waits for other servers to show how the same job fares there. Ejection is due within 1 s.
constexpr Micros evidenceTime {500000};
constexpr Micros firstEjection {2000000};
constexpr Micros longestEjection {60000000};
/// Time for which a returning server is kept for idempotent jobs, and successes that end it earlier.
constexpr Micros idempotentTime {1000000};
constexpr int idempotentSuccesses = 3;
/// A team's tallies are halved at this weight: short, so that a team whose tasks begin to fail everywhere is noticed
/// before it causes an ejection.
constexpr double teamWindow = 64;

} // namespace

void CellHealth::setMaxEjectedShare(double share)
{
    this->maxEjectedShare = share;
}

CellHealth::Server *CellHealth::find(int index)
{
    const auto at = static_cast<std::size_t>(index);
    return index >= 0 && at < this->servers.size() && this->servers[at].isKnown ? &this->servers[at] : nullptr;
}

const CellHealth::Server *CellHealth::find(int index) const
{
    const auto at = static_cast<std::size_t>(index);
    return index >= 0 && at < this->servers.size() && this->servers[at].isKnown ? &this->servers[at] : nullptr;
}

void CellHealth::watch(int index)
{
    this->watched.insert(index);
}

void CellHealth::addServer(int index)
{
    if (this->find(index) != nullptr) {
        return;
    }
    const auto at = static_cast<std::size_t>(index);
    if (at >= this->servers.size()) {
        this->servers.resize(at + 1);
    }
    this->servers[at].isKnown = true;
    this->knownServers++;
}

void CellHealth::removeServer(int server)
{
    auto *known = this->find(server);
    if (known == nullptr) {
        return;
    }
    if (known->state == State::Suspended || known->state == State::Ejected) {
        this->out--;
    }
    *known = Server {};
    this->knownServers--;
    this->watched.erase(server);
    for (auto &[team, tally] : this->teams) {
        tallyOf(tally, server) = Tally {};
    }
}

void CellHealth::record(int index, int team, std::int64_t job, bool isSuccess, Time now)
{
    auto *known = this->find(index);
    if (known == nullptr) {
        return;
    }
    auto &server = *known;
    auto &tally = this->jobs[job];
    auto &own = tallyOf(tally, index);
    (isSuccess ? tally.all.successes : tally.all.failures) += 1;
    (isSuccess ? own.successes : own.failures) += 1;
    this->countTeam(index, team, isSuccess);
    if (isSuccess) {
        server.failuresInRow = 0;
        addVerdict(server, 0);
    } else {
        if (std::find(tally.failedOn.begin(), tally.failedOn.end(), index) == tally.failedOn.end()) {
            tally.failedOn.push_back(index);
        }
        server.pending.push_back({job, team, now});
        this->watch(index);
        server.failuresInRow++;
        if (server.state == State::Serving && server.failuresInRow >= suspendAfter && this->mayEject()) {
            server.state = State::Suspended;
            this->out++;
            this->changed.push_back(index);
        }
    }
    if (server.state == State::Returning) {
        this->recordReturning(index, server, isSuccess);
    }
}

void CellHealth::endJob(std::int64_t job, Time now)
{
    const auto found = this->jobs.find(job);
    if (found == this->jobs.end()) {
        return;
    }
    for (const int index : found->second.failedOn) {
        if (auto *server = this->find(index)) {
            this->judgeJob(index, *server, job);
            this->decide(index, *server, now);
        }
    }
    this->jobs.erase(found);
}

std::vector<int> CellHealth::tick(Time now)
{
    for (auto next = this->watched.begin(); next != this->watched.end();) {
        const int index = *next;
        auto &server = this->servers[static_cast<std::size_t>(index)];
        this->judgeDue(index, server, now);
        if (server.state == State::Suspended && server.pending.empty()) {
            server.state = State::Serving;
            server.failuresInRow = 0;
            this->out--;
            this->changed.push_back(index);
        }
        if (server.state == State::Ejected && now >= server.until) {
            server.state = State::Returning;
            server.returnedAt = now;
            server.returnLimit = 1;
            server.returnSuccesses = 0;
            server.failuresInRow = 0;
            server.verdicts.clear();
            server.pending.clear();
            this->out--;
            this->changed.push_back(index);
        }
        if (server.state == State::Returning) {
            this->changed.push_back(index); // its restriction to idempotent jobs ends with time
        }
        const bool isQuiet = server.state == State::Serving && server.pending.empty();
        next = isQuiet ? this->watched.erase(next) : std::next(next);
    }
    return std::exchange(this->changed, {});
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
    return known->state == State::Returning ? std::min(slots, known->returnLimit) : 0;
}

bool CellHealth::isIdempotentOnly(int index, Time now) const
{
    const auto *known = this->find(index);
    return known != nullptr && known->state == State::Returning && known->returnSuccesses < idempotentSuccesses
        && now - known->returnedAt < idempotentTime;
}

double CellHealth::blameOf(const Tally &all, const Tally &own)
{
    const double successes = all.successes - own.successes;
    const double total = successes + all.failures - own.failures;
    return total > 0.5 ? successes / total : 0;
}

CellHealth::Tally &CellHealth::tallyOf(JobTally &job, int server)
{
    const auto found = std::find_if(job.byServer.begin(), job.byServer.end(),
                                    [server](const auto &entry) { return entry.first == server; });
    return found != job.byServer.end() ? found->second : job.byServer.emplace_back(server, Tally {}).second;
}

CellHealth::Tally &CellHealth::tallyOf(TeamTally &team, int server)
{
    const auto at = static_cast<std::size_t>(server);
    if (at >= team.byServer.size()) {
        team.byServer.resize(at + 1);
    }
    auto &[tally, halvings] = team.byServer[at];
    if (halvings < team.halvings) {
        const double share = std::pow(0.5, static_cast<double>(team.halvings - halvings));
        tally.successes *= share;
        tally.failures *= share;
        halvings = team.halvings;
    }
    return tally;
}

// The same job on other servers says most; a job that ran nowhere else is compared with the team's other tasks.
double CellHealth::judge(int server, const Failure &failure)
{
    if (const auto job = this->jobs.find(failure.job); job != this->jobs.end()) {
        const auto &own = tallyOf(job->second, server);
        const auto &all = job->second.all;
        if (all.successes + all.failures > own.successes + own.failures) {
            return blameOf(all, own);
        }
    }
    auto &team = this->teams[failure.team];
    return blameOf(team.all, tallyOf(team, server));
}

void CellHealth::judgeJob(int index, Server &server, std::int64_t job)
{
    auto &pending = server.pending;
    const auto end = std::stable_partition(pending.begin(), pending.end(),
                                           [job](const Failure &failure) { return failure.job != job; });
    for (auto failure = end; failure != pending.end(); ++failure) {
        addVerdict(server, this->judge(index, *failure));
    }
    pending.erase(end, pending.end());
}

void CellHealth::judgeDue(int index, Server &server, Time now)
{
    if (server.pending.empty()) {
        return;
    }
    while (!server.pending.empty() && now - server.pending.front().at >= evidenceTime) {
        addVerdict(server, this->judge(index, server.pending.front()));
        server.pending.pop_front();
    }
    this->decide(index, server, now);
}

void CellHealth::addVerdict(Server &server, double blame)
{
    server.verdicts.push_back(blame);
    if (server.verdicts.size() > verdictWindow) {
        server.verdicts.pop_front();
    }
}

void CellHealth::decide(int index, Server &server, Time now)
{
    if (server.state == State::Ejected) {
        return;
    }
    double blame = 0;
    for (const double verdict : server.verdicts) {
        blame += verdict;
    }
    const double bound = server.state == State::Returning ? returningBlame : ejectionBlame;
    if (blame >= bound && (server.state == State::Suspended || this->mayEject())) {
        this->eject(index, server, now);
    }
}

void CellHealth::eject(int index, Server &server, Time now)
{
    if (server.state != State::Suspended) {
        this->out++;
    }
    server.state = State::Ejected;
    server.ejection = server.ejection.count() == 0 ? firstEjection : std::min(longestEjection, server.ejection * 2);
    server.until = now + server.ejection;
    this->changed.push_back(index);
    this->watch(index);
    log(LogLevel::Warning, "health", "ejected backend server {} for {} ms", index, server.ejection.count() / 1000);
}

void CellHealth::recordReturning(int index, Server &server, bool isSuccess)
{
    constexpr int fullReturn = 64;
    if (!isSuccess) {
        server.returnLimit = 1;
    } else if (++server.returnSuccesses >= idempotentSuccesses) {
        server.returnLimit++;
    }
    if (server.returnSuccesses >= fullReturn) {
        server.state = State::Serving;
        server.ejection = Micros(0);
    }
    this->changed.push_back(index);
}

bool CellHealth::mayEject() const
{
    return this->out + 1 <= this->maxEjectedShare * static_cast<double>(this->knownServers) + 1e-9;
}

void CellHealth::countTeam(int server, int index, bool isSuccess)
{
    auto &team = this->teams[index];
    auto &own = tallyOf(team, server);
    (isSuccess ? team.all.successes : team.all.failures) += 1;
    (isSuccess ? own.successes : own.failures) += 1;
    if (team.all.successes + team.all.failures >= teamWindow) {
        team.all.successes /= 2;
        team.all.failures /= 2;
        team.halvings++;
    }
}

} // namespace agatedrum
