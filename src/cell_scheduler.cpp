#include "cell_scheduler_state_p.h"

#include <algorithm>
#include <utility>

namespace agatedrum {

namespace {

std::size_t toSize(int index)
{
    return static_cast<std::size_t>(index);
}

std::string_view stateName(CellHealth::State state)
{
    switch (state) {
    case CellHealth::State::Suspended:
        return "suspended";
    case CellHealth::State::Ejected:
        return "ejected";
    case CellHealth::State::Returning:
        return "returning";
    default:
        return "serving";
    }
}

} // namespace

CellScheduler::CellScheduler(const ClusterConfig &config, const std::string &service, std::uint64_t seed)
    : impl(std::make_unique<Impl>(config, service, seed))
{
}

CellScheduler::~CellScheduler() = default;

void CellScheduler::configure(const ClusterConfig &config)
{
    this->impl->configure(config);
}

void CellScheduler::setServer(const std::string &name, int slots, int connections, double usage, Time now)
{
    const int index = this->impl->findOrAddServer(name);
    auto &server = this->impl->servers[toSize(index)];
    server.slots = slots;
    server.connections = connections;
    // A usage report arrives late, so it may include tasks that ran before the previous report.
    const int ownRunning = std::max(server.peakRunning, server.previousPeakRunning);
    server.externalUsage = usage - static_cast<double>(ownRunning) / std::max(1, slots);
    server.previousPeakRunning = std::exchange(server.peakRunning, server.running);
    server.isAvailable = server.isAvailable || !server.isAnnounced;
    server.isAnnounced = true;
    this->impl->refreshServer(index, now);
}

void CellScheduler::setAvailable(const std::string &name, bool isAvailable, Time now)
{
    if (const auto found = this->impl->serverIndices.find(name); found != this->impl->serverIndices.end()) {
        this->impl->servers[toSize(found->second)].isAvailable = isAvailable;
        this->impl->refreshServer(found->second, now);
    }
}

void CellScheduler::removeServer(const std::string &name)
{
    const auto found = this->impl->serverIndices.find(name);
    if (found == this->impl->serverIndices.end()) {
        return;
    }
    auto &server = this->impl->servers[toSize(found->second)];
    server.isAvailable = false;
    this->impl->refreshServer(found->second, this->impl->lastTickAt);
    server.isInUse = false;
    this->impl->health.removeServer(found->second);
    this->impl->serverIndices.erase(found);
}

std::optional<wire::Refusal> CellScheduler::admit(const ScheduledJob &job, Time now)
{
    const int team = this->impl->teams.findOrAddTeam(job.team);
    if (auto refusal = this->impl->refuseNeverRunnable(job, team)) {
        return refusal;
    }
    if (auto refusal = this->impl->refuseOverLimits(job, team, now)) {
        return refusal;
    }
    return this->impl->refuseMissedDeadline(job, team, now);
}

void CellScheduler::add(const ScheduledJob &job, const std::vector<int> &tasks, Time now)
{
    auto &state = this->impl->findOrAddJob(job, now);
    Micros work {0};
    std::vector<int> accepted;
    for (const int index : tasks) {
        if (index >= 0 && toSize(index) < state.tasks.size()) {
            accepted.push_back(index);
            work += state.tasks[toSize(index)].expected;
        }
    }
    if (state.queued.empty()) {
        state.rank = this->impl->order->rank(now, work);
    }
    this->impl->teams.charge(state.team, accepted.size(), now);
    for (const int index : accepted) {
        this->impl->enqueue(job.number, state, index);
    }
    this->impl->removeJobIfDone(job.number, now);
}

std::optional<Assignment> CellScheduler::next(Time now)
{
    this->impl->releaseHeldSlots(now);
    if (auto assignment = this->impl->startOnReturningServer(now)) {
        return assignment;
    }
    const auto job = this->impl->teams.next();
    if (!job) {
        return std::nullopt;
    }
    const auto server = this->impl->placement->choose();
    if (!server) {
        return std::nullopt;
    }
    if (this->impl->placement->mayWait()) {
        return this->impl->startOrDefer(*server, now);
    }
    return this->impl->start(job->second.second, *server, now);
}

void CellScheduler::finished(const Assignment &assignment, wire::Outcome::type outcome, Micros runTime, Time now)
{
    const auto *job = this->impl->removeRunning(assignment);
    if (job == nullptr) {
        return;
    }
    const auto server = this->impl->serverIndices.find(assignment.server);
    if (server != this->impl->serverIndices.end()) {
        const auto &task = job->tasks[toSize(assignment.task.index)];
        this->impl->learnFromRun(*job, task, server->second, outcome, runTime, now);
        const bool isLost = outcome == wire::Outcome::UNKNOWN && runTime.count() == 0;
        if (outcome != wire::Outcome::STOPPED && !isLost) {
            this->impl->health.recordOutcome(server->second, job->team, assignment.task.job,
                                             outcome == wire::Outcome::FINISHED, now);
        }
        this->impl->refreshServer(server->second, now);
    }
    this->impl->removeJobIfDone(assignment.task.job, now);
}

void CellScheduler::requeue(const Assignment &assignment, Time now)
{
    if (auto *job = this->impl->removeRunning(assignment)) {
        this->impl->enqueue(assignment.task.job, *job, assignment.task.index);
        const auto server = this->impl->serverIndices.find(assignment.server);
        if (server != this->impl->serverIndices.end()) {
            this->impl->refreshServer(server->second, now);
        }
    }
}

void CellScheduler::adopt(const ScheduledJob &job, const Assignment &assignment, Time now)
{
    auto &state = this->impl->findOrAddJob(job, now);
    const int index = assignment.task.index;
    if (index < 0 || toSize(index) >= state.tasks.size() || state.tasks[toSize(index)].server >= 0) {
        return;
    }
    const int server = this->impl->findOrAddServer(assignment.server);
    auto &task = state.tasks[toSize(index)];
    task.server = server;
    state.running++;
    this->impl->runningCount++;
    this->impl->runningWork += task.expected;
    this->impl->teams.adjustRunningCount(state.team, 1);
    this->impl->servers[toSize(server)].running++;
    this->impl->refreshServer(server, now);
}

std::vector<int> CellScheduler::dropQueued(JobNumber number)
{
    const auto found = this->impl->jobs.find(number);
    if (found == this->impl->jobs.end() || found->second.queued.empty()) {
        return {};
    }
    auto &job = found->second;
    auto dropped = std::exchange(job.queued, {});
    job.queuedWork = Micros(0);
    this->impl->removeFromQueue(number, job);
    for (const int index : dropped) {
        this->impl->queuedWork.remove(job.rank, job.tasks[toSize(index)].expected);
    }
    this->impl->queuedCount -= dropped.size();
    this->impl->teams.adjustQueuedCount(job.team, -static_cast<long>(dropped.size()));
    if (job.running == 0) {
        this->impl->jobs.erase(found);
        this->impl->health.endJob(number, this->impl->lastTickAt);
    }
    std::sort(dropped.begin(), dropped.end());
    return dropped;
}

void CellScheduler::tick(Time now)
{
    this->impl->lastTickAt = std::max(this->impl->lastTickAt, now);
    this->impl->releaseHeldSlots(now);
    for (const int index : this->impl->health.tick(now)) {
        if (this->impl->hasServer(index)) {
            this->impl->refreshServer(index, now);
        }
    }
    this->impl->refreshSpeeds(now);
    if (this->impl->usableServerCount > 0) {
        this->impl->noServerSince.reset();
    } else if (!this->impl->noServerSince) {
        this->impl->noServerSince = now;
    }
}

std::size_t CellScheduler::queuedTasks() const
{
    return this->impl->queuedCount;
}

std::size_t CellScheduler::runningTasks() const
{
    return this->impl->runningCount;
}

nlohmann::json CellScheduler::dump(Time now) const
{
    auto servers = nlohmann::json::array();
    for (std::size_t index = 0; index < this->impl->servers.size(); ++index) {
        const auto &server = this->impl->servers[index];
        if (server.isInUse) {
            servers.push_back({{"name", server.name},
                               {"slots", server.slots},
                               {"limit", server.limit},
                               {"running", server.running},
                               {"held", server.held},
                               {"available", server.isAvailable},
                               {"drained", server.isDrained},
                               {"slowness", this->impl->relativeSlowness(server)},
                               {"state", stateName(this->impl->health.state(static_cast<int>(index)))},
                               {"idempotentOnly", this->impl->health.isIdempotentOnly(static_cast<int>(index), now)}});
        }
    }
    auto teams = nlohmann::json::array();
    for (const auto &team : this->impl->teams.summaries()) {
        teams.push_back({{"name", team.name},
                         {"weight", team.weight},
                         {"queued", team.queued},
                         {"running", team.running},
                         {"sizeFactor", team.sizeFactor}});
    }
    return {{"queued", this->queuedTasks()},
            {"running", this->runningTasks()},
            {"queuedWorkMs", this->impl->queuedWork.total().count() / 1000},
            {"capacity", this->impl->capacity},
            {"servers", servers},
            {"teams", teams}};
}

} // namespace agatedrum
