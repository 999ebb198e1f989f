#include "cell_health_p.h"

#include "base_log_p.h"

#include <algorithm>
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

void CellHealth::addServer(int server)
{
    this->servers.try_emplace(server);
}

void CellHealth::removeServer(int server)
{
    const auto found = this->servers.find(server);
    if (found == this->servers.end()) {
        return;
    }
    if (found->second.state == State::Suspended || found->second.state == State::Ejected) {
        this->out--;
    }
    this->servers.erase(found);
    for (auto entry = this->teamServers.begin(); entry != this->teamServers.end();) {
        entry = entry->first.second == server ? this->teamServers.erase(entry) : std::next(entry);
    }
}

void CellHealth::record(int index, int team, std::int64_t job, bool isSuccess, Time now)
{
    const auto found = this->servers.find(index);
    if (found == this->servers.end()) {
        return;
    }
    auto &server = found->second;
    auto &tally = this->jobs[job];
    auto &own = tally.byServer[index];
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
        if (const auto server = this->servers.find(index); server != this->servers.end()) {
            this->judgeJob(index, server->second, job);
            this->decide(index, server->second, now);
        }
    }
    this->jobs.erase(found);
}

std::vector<int> CellHealth::tick(Time now)
{
    for (auto &[index, server] : this->servers) {
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
    }
    return std::exchange(this->changed, {});
}

CellHealth::State CellHealth::state(int server) const
{
    const auto found = this->servers.find(server);
    return found == this->servers.end() ? State::Serving : found->second.state;
}

int CellHealth::limit(int index, int slots) const
{
    const auto found = this->servers.find(index);
    if (found == this->servers.end()) {
        return slots;
    }
    switch (found->second.state) {
    case State::Serving:
        return slots;
    case State::Returning:
        return std::min(slots, found->second.returnLimit);
    default:
        return 0;
    }
}

bool CellHealth::isIdempotentOnly(int index, Time now) const
{
    const auto found = this->servers.find(index);
    return found != this->servers.end() && found->second.state == State::Returning
        && found->second.returnSuccesses < idempotentSuccesses && now - found->second.returnedAt < idempotentTime;
}

double CellHealth::blameOf(const Tally &all, const Tally &own)
{
    const double successes = all.successes - own.successes;
    const double total = successes + all.failures - own.failures;
    return total > 0.5 ? successes / total : 0;
}

// The same job on other servers says most; a job that ran nowhere else is compared with the team's other tasks.
double CellHealth::judge(int server, const Failure &failure) const
{
    if (const auto job = this->jobs.find(failure.job); job != this->jobs.end()) {
        const auto &own = job->second.byServer.at(server);
        const auto &all = job->second.all;
        if (all.successes + all.failures > own.successes + own.failures) {
            return blameOf(all, own);
        }
    }
    const auto all = this->teams.find(failure.team);
    const auto own = this->teamServers.find({failure.team, server});
    if (all == this->teams.end() || own == this->teamServers.end()) {
        return 0;
    }
    return blameOf(all->second, own->second);
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
    return this->out + 1 <= this->maxEjectedShare * static_cast<double>(this->servers.size()) + 1e-9;
}

void CellHealth::countTeam(int server, int team, bool isSuccess)
{
    auto &all = this->teams[team];
    auto &own = this->teamServers[{team, server}];
    (isSuccess ? all.successes : all.failures) += 1;
    (isSuccess ? own.successes : own.failures) += 1;
    if (all.successes + all.failures < teamWindow) {
        return;
    }
    const auto halve = [](Tally &tally) {
        tally.successes /= 2;
        tally.failures /= 2;
    };
    halve(all);
    for (auto entry = this->teamServers.lower_bound({team, 0});
         entry != this->teamServers.end() && entry->first.first == team; ++entry) {
        halve(entry->second);
    }
}

} // namespace agatedrum
