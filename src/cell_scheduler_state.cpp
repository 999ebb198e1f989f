#include "cell_scheduler_state_p.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace agatedrum {

namespace {

/// External usage of a worker above which its server gets fewer slots, down to half of them at full usage.
constexpr double externalUsageThreshold = 0.2;
/// Slowness relative to the median above which a server gets fewer slots.
constexpr double slowServerThreshold = 3;
/// Maximum time for which a slot is kept free after a fast failure.
constexpr Micros maxSlotHoldTime {2000000};
/// Interval between updates of the values that depend on learned speeds.
constexpr Micros speedRefreshInterval {100000};
/// Maximum number of jobs that are considered for a slow server.
constexpr int maxConsideredJobs = 16;

std::size_t toSize(int index)
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
    ServiceConfig newConfig;
    for (const auto &candidate : config.services) {
        if (candidate.name == this->service) {
            newConfig = candidate;
        }
    }
    const bool isNewPlacement = !this->placement || newConfig.placement != this->serviceConfig.placement;
    if (!this->order || newConfig.order != this->serviceConfig.order) {
        this->order = makeOrderStrategy(newConfig.order);
    }
    if (isNewPlacement) {
        this->placement = makePlacementStrategy(newConfig.placement, this->seed);
    }
    this->serviceConfig = newConfig;
    this->serverConfigs = config.backendServers;
    this->teams.configure(config.teams, newConfig.cells);
    this->health.setMaxEjectedShare(newConfig.maxEjectedShare);
    for (std::size_t index = 0; index < this->servers.size(); ++index) {
        if (this->servers[index].isInUse) {
            this->applyServerConfig(this->servers[index]);
            this->refreshServer(static_cast<int>(index), this->lastTickAt);
        }
    }
}

void CellScheduler::Impl::applyServerConfig(Server &server) const
{
    const auto found
        = std::find_if(this->serverConfigs.begin(), this->serverConfigs.end(),
                       [&server](const BackendServerConfig &config) { return config.name == server.name; });
    server.isDrained = found != this->serverConfigs.end() && found->isDrained;
    server.configuredSlots = found != this->serverConfigs.end() ? found->maxSlots : 0;
}

int CellScheduler::Impl::findOrAddServer(const std::string &name)
{
    if (const auto known = this->serverIndices.find(name); known != this->serverIndices.end()) {
        return known->second;
    }
    const auto unused = std::find_if(this->servers.begin(), this->servers.end(),
                                     [](const Server &server) { return !server.isInUse; });
    const int index = static_cast<int>(unused - this->servers.begin());
    if (unused == this->servers.end()) {
        this->servers.emplace_back();
    }
    auto &server = this->servers[toSize(index)];
    server = Server {};
    server.name = name;
    server.isInUse = true;
    this->serverIndices.emplace(name, index);
    this->health.addServer(index);
    this->applyServerConfig(server);
    return index;
}

bool CellScheduler::Impl::hasServer(int index) const
{
    return index >= 0 && toSize(index) < this->servers.size() && this->servers[toSize(index)].isInUse;
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
    const double excess
        = std::clamp((server.externalUsage - externalUsageThreshold) / (1 - externalUsageThreshold), 0.0, 1.0);
    const int slotsLostToUsage = static_cast<int>(slots * excess / 2);
    return std::max(1, slots - std::max(slotsLostToUsage, server.slotsLostToSlowness));
}

void CellScheduler::Impl::refreshServer(int index, Time now)
{
    auto &server = this->servers[toSize(index)];
    const int slots = this->usableSlots(server);
    this->usableServerCount += static_cast<int>(slots > 0) - static_cast<int>(server.isUsable);
    server.isUsable = slots > 0;
    server.limit = this->health.limit(index, slots);
    this->capacity -= server.capacity;
    server.capacity = server.limit / this->relativeSlowness(server);
    this->capacity += server.capacity;
    const bool hasFreeSlot = server.running + server.held < server.limit;
    const bool isRestricted = this->health.isIdempotentOnly(index, now);
    if (hasFreeSlot && isRestricted) {
        this->idempotentOnlyServers.insert(index);
    } else {
        this->idempotentOnlyServers.erase(index);
    }
    if (hasFreeSlot && !isRestricted) {
        this->placement->addOrUpdate(index, {server.running, server.limit, server.speed.slowness()});
    } else {
        this->placement->remove(index);
    }
}

// A task that fails quickly would free its slot early, so the failing server would attract more tasks than others.
void CellScheduler::Impl::holdSlot(int index, Micros time, Time now)
{
    if (time.count() > 0) {
        this->servers[toSize(index)].held++;
        this->heldSlots.emplace(now + std::min(time, maxSlotHoldTime), index);
    }
}

void CellScheduler::Impl::releaseHeldSlots(Time now)
{
    while (!this->heldSlots.empty() && this->heldSlots.top().first <= now) {
        const int index = this->heldSlots.top().second;
        this->heldSlots.pop();
        if (this->hasServer(index) && this->servers[toSize(index)].held > 0) {
            this->servers[toSize(index)].held--;
            this->refreshServer(index, now);
        }
    }
}

void CellScheduler::Impl::refreshSpeeds(Time now)
{
    if (now < this->nextSpeedRefreshAt) {
        return;
    }
    this->nextSpeedRefreshAt = now + speedRefreshInterval;
    std::vector<double> slownessValues;
    double logSum = 0;
    for (const auto &server : this->servers) {
        if (server.isInUse) {
            slownessValues.push_back(server.speed.slowness());
            logSum += std::log(slownessValues.back());
        }
    }
    if (slownessValues.empty()) {
        return;
    }
    this->meanSlowness = std::exp(logSum / static_cast<double>(slownessValues.size()));
    this->minRelativeSlowness = *std::min_element(slownessValues.begin(), slownessValues.end()) / this->meanSlowness;
    const auto median = slownessValues.begin() + static_cast<std::ptrdiff_t>(slownessValues.size() / 2);
    std::nth_element(slownessValues.begin(), median, slownessValues.end());
    this->medianSlowness = *median;
    this->capacity = 0; // recomputed from zero so that rounding errors don't accumulate
    for (std::size_t index = 0; index < this->servers.size(); ++index) {
        auto &server = this->servers[index];
        server.capacity = 0;
        if (server.isInUse) {
            const double excess = server.speed.slowness() / this->medianSlowness / slowServerThreshold;
            server.slotsLostToSlowness = excess > 1 ? static_cast<int>(server.slots * (1 - 1 / excess)) : 0;
            this->refreshServer(static_cast<int>(index), now);
        }
    }
    this->updateFasterCapacities();
}

void CellScheduler::Impl::updateFasterCapacities()
{
    std::vector<int> order;
    for (std::size_t index = 0; index < this->servers.size(); ++index) {
        if (this->servers[index].isInUse) {
            order.push_back(static_cast<int>(index));
        }
    }
    std::sort(order.begin(), order.end(), [this](int a, int b) {
        return this->servers[toSize(a)].speed.slowness() < this->servers[toSize(b)].speed.slowness();
    });
    double capacitySum = 0;
    double slots = 0;
    for (const int index : order) {
        auto &server = this->servers[toSize(index)];
        server.fasterCapacity = capacitySum;
        server.fasterSlowness = capacitySum > 0 ? slots / capacitySum : 1;
        capacitySum += server.capacity;
        slots += server.limit;
    }
}

CellScheduler::Impl::Job &CellScheduler::Impl::findOrAddJob(const ScheduledJob &job, Time now)
{
    const auto [found, isNew] = this->jobs.try_emplace(job.number);
    auto &state = found->second;
    if (isNew) {
        state.team = this->teams.findOrAddTeam(job.team);
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
    const auto expected = job.tasks[toSize(index)].expected;
    const auto position
        = std::lower_bound(job.queued.begin(), job.queued.end(), expected, [&job](int queuedIndex, Micros value) {
              return job.tasks[toSize(queuedIndex)].expected < value;
          });
    job.queued.insert(position, index);
    if (job.queued.size() == 1) {
        this->teams.addJob(job.team, {job.rank, number});
        if (job.isIdempotent) {
            this->idempotentJobs.emplace(job.rank, number);
        }
    }
    this->queuedWork.add(job.rank, expected);
    job.queuedWork += expected;
    this->teams.adjustQueuedCount(job.team, 1);
    this->queuedCount++;
}

void CellScheduler::Impl::removeFromQueue(JobNumber number, Job &job)
{
    this->teams.removeJob(job.team, {job.rank, number});
    this->idempotentJobs.erase({job.rank, number});
}

// A task should start on a slow server only if waiting for a faster one would take longer than the faster one saves.
// All faster servers are busy, so the expected wait is about the work before the task divided by their capacity. Within
// a job the shortest task is best suited: it would wait longest, and it loses least on a slow server.
bool CellScheduler::Impl::shouldStart(const Job &job, Micros workBefore, const Server &server, Time now) const
{
    const auto expected = static_cast<double>(job.tasks[toSize(job.queued.front())].expected.count());
    const double gain = expected * (this->relativeSlowness(server) - server.fasterSlowness);
    const double wait = static_cast<double>((workBefore + job.queuedWork).count()) / server.fasterCapacity;
    // Limits the wait if the faster servers stay busy for longer than expected.
    const auto waitedFor = now - std::max(job.rank, this->lastStartAt);
    return wait >= gain || static_cast<double>(waitedFor.count()) >= gain / 2;
}

// Considers the jobs of all teams: if the few tasks of the first team should wait for a faster server, a team with a
// longer queue may still use the slow one.
std::optional<Assignment> CellScheduler::Impl::startOrDefer(int index, Time now)
{
    const auto &server = this->servers[toSize(index)];
    const auto firstJob = this->teams.next()->second.second;
    if (server.fasterCapacity <= 0) {
        return this->start(firstJob, index, now);
    }
    if (server.running == 0 && server.speed.isStale(now)) {
        return this->start(firstJob, index, now, true);
    }
    Micros workBefore {0};
    int consideredJobs = 0;
    for (const int team : this->teams.readyTeams(maxConsideredJobs)) {
        for (const auto &[rank, number] : this->teams.jobs(team)) {
            const auto &job = this->jobs.at(number);
            if (++consideredJobs == maxConsideredJobs || this->shouldStart(job, workBefore, server, now)) {
                return this->start(number, index, now, true);
            }
            workBefore += job.queuedWork;
        }
    }
    return std::nullopt;
}

Assignment CellScheduler::Impl::start(JobNumber number, int server, Time now, bool isShortestFirst)
{
    auto &job = this->jobs.at(number);
    const auto chosen = isShortestFirst ? job.queued.begin() : std::prev(job.queued.end());
    const int index = *chosen;
    auto &task = job.tasks[toSize(index)];
    job.queued.erase(chosen);
    job.queuedWork -= task.expected;
    this->lastStartAt = now;
    if (job.queued.empty()) {
        this->removeFromQueue(number, job);
    }
    task.server = server;
    job.running++;
    this->runningCount++;
    this->runningWork += task.expected;
    this->queuedCount--;
    this->queuedWork.remove(job.rank, task.expected);
    this->teams.adjustQueuedCount(job.team, -1);
    this->teams.adjustRunningCount(job.team, 1);
    auto &usedServer = this->servers[toSize(server)];
    usedServer.peakRunning = std::max(usedServer.peakRunning, ++usedServer.running);
    this->refreshServer(server, now);
    return {{number, index}, this->servers[toSize(server)].name};
}

std::optional<Assignment> CellScheduler::Impl::startOnReturningServer(Time now)
{
    if (this->idempotentOnlyServers.empty() || this->idempotentJobs.empty()) {
        return std::nullopt;
    }
    const auto number = this->idempotentJobs.begin()->second;
    if (!this->teams.mayStart(this->jobs.at(number).team)) {
        return std::nullopt;
    }
    return this->start(number, *this->idempotentOnlyServers.begin(), now);
}

CellScheduler::Impl::Job *CellScheduler::Impl::removeRunning(const Assignment &assignment)
{
    const auto found = this->jobs.find(assignment.task.job);
    if (found == this->jobs.end() || assignment.task.index < 0
        || toSize(assignment.task.index) >= found->second.tasks.size()) {
        return nullptr;
    }
    auto &job = found->second;
    auto &task = job.tasks[toSize(assignment.task.index)];
    const int server = task.server;
    if (server < 0) {
        return nullptr;
    }
    task.server = -1;
    job.running--;
    this->runningCount--;
    this->runningWork -= task.expected;
    this->teams.adjustRunningCount(job.team, -1);
    if (this->hasServer(server) && this->servers[toSize(server)].name == assignment.server) {
        this->servers[toSize(server)].running--;
    }
    return &job;
}

void CellScheduler::Impl::removeJobIfDone(JobNumber number, Time now)
{
    const auto found = this->jobs.find(number);
    if (found != this->jobs.end() && found->second.running == 0 && found->second.queued.empty()) {
        this->jobs.erase(found);
        this->health.endJob(number, now);
    }
}

void CellScheduler::Impl::learnFromRun(const Job &job, const Task &task, int index, wire::Outcome::type outcome,
                                       Micros runTime, Time now)
{
    auto &server = this->servers[toSize(index)];
    auto &sizes = this->teams.sizes(job.team);
    const double slowness = this->relativeSlowness(server);
    if (outcome == wire::Outcome::FINISHED && runTime.count() > 0) {
        const double normalizedRunTime = static_cast<double>(runTime.count()) / slowness;
        const auto deviation
            = task.declared.count() > 0 ? server.speed.recordDeviation(task.declared, runTime) : SizeDeviation {};
        const double error
            = sizes.learn(task.declared, Micros(static_cast<std::int64_t>(normalizedRunTime)), deviation);
        // The mean must change together with the speed: when it was updated later, thousands of samples per second made
        // the learned speeds of all servers diverge.
        const double logSlownessChange = server.speed.learn(error, now);
        this->meanSlowness *= std::exp(logSlownessChange / static_cast<double>(this->serverIndices.size()));
    }
    if (outcome == wire::Outcome::FAILED || outcome == wire::Outcome::NOT_RUN || outcome == wire::Outcome::UNKNOWN) {
        const auto expectedRunTime
            = Micros(static_cast<std::int64_t>(static_cast<double>(task.expected.count()) * slowness));
        this->holdSlot(index, expectedRunTime - runTime, now);
    }
}

} // namespace agatedrum
