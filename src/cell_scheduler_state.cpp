#include "cell_scheduler_state_p.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace agatedrum {

namespace {

/// Share of a worker used by others from which its server loses slots, down to half of them at full use.
constexpr double highForeignUsage = 0.2;
/// Slowness relative to the median from which a server loses slots.
constexpr double tooSlow = 3;
/// Longest time for which a slot stays free after a fast failure.
constexpr Micros longestHold {2000000};
constexpr Micros speedInterval {100000};
/// Jobs that are looked at for a slow server.
constexpr int maxLookedJobs = 16;

std::size_t at(int index)
{
    return static_cast<std::size_t>(index);
}

} // namespace

CellScheduler::Impl::Impl(const ClusterConfig &config, std::string service, std::uint64_t seed)
    : service(std::move(service))
    , seed(seed)
{
    this->configure(config);
}

void CellScheduler::Impl::configure(const ClusterConfig &config)
{
    ServiceConfig next;
    for (const auto &candidate : config.services) {
        if (candidate.name == this->service) {
            next = candidate;
        }
    }
    const bool isNewPlacement = !this->placement || next.placement != this->options.placement;
    if (!this->order || next.order != this->options.order) {
        this->order = makeOrderStrategy(next.order);
    }
    if (isNewPlacement) {
        this->placement = makePlacementStrategy(next.placement, this->seed);
    }
    this->options = next;
    this->serverOptions = config.backendServers;
    this->teams.configure(config.teams, next.cells);
    this->health.setMaxEjectedShare(next.maxEjectedShare);
    for (std::size_t index = 0; index < this->servers.size(); ++index) {
        if (this->servers[index].isKnown) {
            this->setServerOptions(this->servers[index]);
            this->refreshServer(static_cast<int>(index), this->latest);
        }
    }
}

void CellScheduler::Impl::setServerOptions(Server &server) const
{
    const auto found = std::find_if(this->serverOptions.begin(), this->serverOptions.end(),
                                    [&server](const BackendServerConfig &c) { return c.name == server.name; });
    server.isDrained = found != this->serverOptions.end() && found->isDrained;
    server.configuredSlots = found != this->serverOptions.end() ? found->maxSlots : 0;
}

int CellScheduler::Impl::serverIndex(const std::string &name)
{
    if (const auto known = this->indices.find(name); known != this->indices.end()) {
        return known->second;
    }
    const auto unused = std::find_if(this->servers.begin(), this->servers.end(),
                                     [](const Server &server) { return !server.isKnown; });
    const int index = static_cast<int>(unused - this->servers.begin());
    if (unused == this->servers.end()) {
        this->servers.emplace_back();
    }
    auto &server = this->servers[at(index)];
    server = Server {};
    server.name = name;
    server.isKnown = true;
    this->indices.emplace(name, index);
    this->health.addServer(index);
    this->setServerOptions(server);
    return index;
}

bool CellScheduler::Impl::hasServer(int index) const
{
    return index >= 0 && at(index) < this->servers.size() && this->servers[at(index)].isKnown;
}

double CellScheduler::Impl::relativeSlowness(const Server &server) const
{
    return server.speed.slowness() / this->meanSlowness;
}

int CellScheduler::Impl::usableSlots(const Server &server) const
{
    if (!server.isAvailable || server.isDrained) {
        return 0;
    }
    int slots = server.connections > 0 ? std::min(server.slots, server.connections) : server.slots;
    if (server.configuredSlots > 0) {
        slots = std::min(slots, server.configuredSlots);
    }
    if (slots <= 0) {
        return 0;
    }
    const double excess = std::clamp((server.foreignUsage - highForeignUsage) / (1 - highForeignUsage), 0.0, 1.0);
    const int lostByUsage = static_cast<int>(slots * excess / 2);
    return std::max(1, slots - std::max(lostByUsage, server.slowSlots));
}

void CellScheduler::Impl::refreshServer(int index, Time now)
{
    auto &server = this->servers[at(index)];
    const int slots = this->usableSlots(server);
    this->usableServers += static_cast<int>(slots > 0) - static_cast<int>(server.isUsable);
    server.isUsable = slots > 0;
    server.limit = this->health.limit(index, slots);
    this->capacity -= server.capacity;
    server.capacity = server.limit / this->relativeSlowness(server);
    this->capacity += server.capacity;
    const bool hasRoom = server.running + server.held < server.limit;
    const bool isRestricted = this->health.isIdempotentOnly(index, now);
    if (hasRoom && isRestricted) {
        this->returning.insert(index);
    } else {
        this->returning.erase(index);
    }
    if (hasRoom && !isRestricted) {
        this->placement->put(index, {server.running, server.limit, server.speed.slowness()});
    } else {
        this->placement->remove(index);
    }
}

// A failure that is quicker than a run would free its slot early and so draw more tasks to the failing server.
void CellScheduler::Impl::holdSlot(int index, Micros time, Time now)
{
    if (time.count() > 0) {
        this->servers[at(index)].held++;
        this->heldSlots.emplace(now + std::min(time, longestHold), index);
    }
}

void CellScheduler::Impl::releaseHeld(Time now)
{
    while (!this->heldSlots.empty() && this->heldSlots.top().first <= now) {
        const int index = this->heldSlots.top().second;
        this->heldSlots.pop();
        if (this->hasServer(index) && this->servers[at(index)].held > 0) {
            this->servers[at(index)].held--;
            this->refreshServer(index, now);
        }
    }
}

void CellScheduler::Impl::refreshSpeeds(Time now)
{
    if (now < this->nextRefresh) {
        return;
    }
    this->nextRefresh = now + speedInterval;
    std::vector<double> speeds;
    double sum = 0;
    for (const auto &server : this->servers) {
        if (server.isKnown) {
            speeds.push_back(server.speed.slowness());
            sum += std::log(speeds.back());
        }
    }
    if (speeds.empty()) {
        return;
    }
    this->meanSlowness = std::exp(sum / static_cast<double>(speeds.size()));
    this->fastest = *std::min_element(speeds.begin(), speeds.end()) / this->meanSlowness;
    const auto middle = speeds.begin() + static_cast<std::ptrdiff_t>(speeds.size() / 2);
    std::nth_element(speeds.begin(), middle, speeds.end());
    this->medianSlowness = *middle;
    this->capacity = 0; // summed anew, so that rounding errors do not add up
    for (std::size_t index = 0; index < this->servers.size(); ++index) {
        auto &server = this->servers[index];
        server.capacity = 0;
        if (server.isKnown) {
            const double excess = server.speed.slowness() / this->medianSlowness / tooSlow;
            server.slowSlots = excess > 1 ? static_cast<int>(server.slots * (1 - 1 / excess)) : 0;
            this->refreshServer(static_cast<int>(index), now);
        }
    }
    this->rankServers();
}

void CellScheduler::Impl::rankServers()
{
    std::vector<int> order;
    for (std::size_t index = 0; index < this->servers.size(); ++index) {
        if (this->servers[index].isKnown) {
            order.push_back(static_cast<int>(index));
        }
    }
    std::sort(order.begin(), order.end(), [this](int a, int b) {
        return this->servers[at(a)].speed.slowness() < this->servers[at(b)].speed.slowness();
    });
    double faster = 0;
    double slots = 0;
    for (const int index : order) {
        auto &server = this->servers[at(index)];
        server.fasterCapacity = faster;
        server.fasterSlowness = faster > 0 ? slots / faster : 1;
        faster += server.capacity;
        slots += server.limit;
    }
}

CellScheduler::Impl::Job &CellScheduler::Impl::jobOf(const ScheduledJob &job, Time now)
{
    const auto [found, isNew] = this->jobs.try_emplace(job.number);
    auto &state = found->second;
    if (isNew) {
        state.team = this->teams.indexOf(job.team);
        state.rank = now;
        state.isIdempotent = job.idempotent;
        const auto &sizes = this->teams.sizes(state.team);
        state.tasks.reserve(job.declared.size());
        for (const auto declared : job.declared) {
            state.tasks.push_back({declared, sizes.mean(declared), -1});
        }
    }
    return state;
}

void CellScheduler::Impl::enqueue(JobNumber number, Job &job, int index)
{
    const auto expected = job.tasks[at(index)].expected;
    const auto place
        = std::lower_bound(job.queued.begin(), job.queued.end(), expected,
                           [&job](int other, Micros value) { return job.tasks[at(other)].expected < value; });
    job.queued.insert(place, index);
    if (job.queued.size() == 1) {
        this->teams.addJob(job.team, {job.rank, number});
        if (job.isIdempotent) {
            this->idempotentJobs.emplace(job.rank, number);
        }
    }
    this->queuedWork.add(job.rank, expected);
    job.queuedWork += expected;
    this->teams.changeQueued(job.team, 1);
    this->queuedCount++;
}

void CellScheduler::Impl::removeFromQueue(JobNumber number, Job &job)
{
    this->teams.removeJob(job.team, {job.rank, number});
    this->idempotentJobs.erase({job.rank, number});
}

// A slow server is worth using only for a task that would wait longer for a faster one than it gains there. All faster
// servers are busy, so a task waits for about the work ahead of it divided by their capacity. The shortest tasks of a
// job wait longest and lose least on a slow server.
bool CellScheduler::Impl::shouldStart(const Job &job, Micros ahead, const Server &server, Time now) const
{
    const auto expected = static_cast<double>(job.tasks[at(job.queued.front())].expected.count());
    const double gain = expected * (this->relativeSlowness(server) - server.fasterSlowness);
    const double wait = static_cast<double>((ahead + job.queuedWork).count()) / server.fasterCapacity;
    // The faster servers may be busy for longer than expected.
    const auto idle = now - std::max(job.rank, this->lastStart);
    return wait >= gain || static_cast<double>(idle.count()) >= gain / 2;
}

// When the first team's few tasks wait for a faster server, a team with a longer queue may still use the slow one.
std::optional<Assignment> CellScheduler::Impl::startOrWait(int index, Time now)
{
    const auto &server = this->servers[at(index)];
    const auto first = this->teams.next()->second.second;
    if (server.fasterCapacity <= 0) {
        return this->start(first, index, now);
    }
    if (server.running == 0 && server.speed.isStale(now)) {
        return this->start(first, index, now, true);
    }
    Micros ahead {0};
    int looked = 0;
    for (const int team : this->teams.readyTeams(maxLookedJobs)) {
        for (const auto &[rank, number] : this->teams.jobs(team)) {
            const auto &job = this->jobs.at(number);
            if (++looked == maxLookedJobs || this->shouldStart(job, ahead, server, now)) {
                return this->start(number, index, now, true);
            }
            ahead += job.queuedWork;
        }
    }
    return std::nullopt;
}

Assignment CellScheduler::Impl::start(JobNumber number, int server, Time now, bool isShortest)
{
    auto &job = this->jobs.at(number);
    const auto chosen = isShortest ? job.queued.begin() : std::prev(job.queued.end());
    const int index = *chosen;
    auto &task = job.tasks[at(index)];
    job.queued.erase(chosen);
    job.queuedWork -= task.expected;
    this->lastStart = now;
    if (job.queued.empty()) {
        this->removeFromQueue(number, job);
    }
    task.server = server;
    job.running++;
    this->runningCount++;
    this->runningWork += task.expected;
    this->queuedCount--;
    this->queuedWork.remove(job.rank, task.expected);
    this->teams.changeQueued(job.team, -1);
    this->teams.changeRunning(job.team, 1);
    auto &used = this->servers[at(server)];
    used.peakRunning = std::max(used.peakRunning, ++used.running);
    this->refreshServer(server, now);
    return {{number, index}, this->servers[at(server)].name};
}

std::optional<Assignment> CellScheduler::Impl::nextForReturning(Time now)
{
    if (this->returning.empty() || this->idempotentJobs.empty()) {
        return std::nullopt;
    }
    const auto number = this->idempotentJobs.begin()->second;
    if (!this->teams.mayStart(this->jobs.at(number).team)) {
        return std::nullopt;
    }
    return this->start(number, *this->returning.begin(), now);
}

CellScheduler::Impl::Job *CellScheduler::Impl::release(const Assignment &assignment)
{
    const auto found = this->jobs.find(assignment.task.job);
    if (found == this->jobs.end() || assignment.task.index < 0
        || at(assignment.task.index) >= found->second.tasks.size()) {
        return nullptr;
    }
    auto &job = found->second;
    auto &task = job.tasks[at(assignment.task.index)];
    const int server = task.server;
    if (server < 0) {
        return nullptr;
    }
    task.server = -1;
    job.running--;
    this->runningCount--;
    this->runningWork -= task.expected;
    this->teams.changeRunning(job.team, -1);
    if (this->hasServer(server) && this->servers[at(server)].name == assignment.server) {
        this->servers[at(server)].running--;
    }
    return &job;
}

void CellScheduler::Impl::endIfDone(JobNumber number, Time now)
{
    const auto found = this->jobs.find(number);
    if (found != this->jobs.end() && found->second.running == 0 && found->second.queued.empty()) {
        this->jobs.erase(found);
        this->health.endJob(number, now);
    }
}

void CellScheduler::Impl::learn(const Job &job, const Task &task, int index, wire::Outcome::type outcome,
                                Micros runTime, Time now)
{
    auto &server = this->servers[at(index)];
    auto &sizes = this->teams.sizes(job.team);
    const double slowness = this->relativeSlowness(server);
    if (outcome == wire::Outcome::FINISHED && runTime.count() > 0) {
        const double normalised = static_cast<double>(runTime.count()) / slowness;
        const auto deviation
            = task.declared.count() > 0 ? server.speed.deviationOf(task.declared, runTime) : SizeDeviation {};
        const double error = sizes.learn(task.declared, Micros(static_cast<std::int64_t>(normalised)), deviation);
        // The mean follows at once: with one that lags behind, thousands of samples a second drove all speeds apart.
        const double change = server.speed.learn(error, now);
        this->meanSlowness *= std::exp(change / static_cast<double>(this->indices.size()));
    }
    if (outcome == wire::Outcome::FAILED || outcome == wire::Outcome::NOT_RUN || outcome == wire::Outcome::UNKNOWN) {
        const auto usual = Micros(static_cast<std::int64_t>(static_cast<double>(task.expected.count()) * slowness));
        this->holdSlot(index, usual - runTime, now);
    }
}

} // namespace agatedrum
