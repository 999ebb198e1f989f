#include "cell_scheduler_p.h"

#include <algorithm>
#include <deque>
#include <map>
#include <utility>

namespace agatedrum {

namespace {

using TaskId = std::pair<JobNumber, int>;

/// Expected run time of a task whose caller declared none.
constexpr Micros defaultTaskTime {300000};

struct Server
{
    int slots = 0;
    int running = 0;
    bool isAvailable = true;
    double slowness = 1; ///< smoothed ratio of actual to declared run time
};

TaskId idOf(const ScheduledTask &task)
{
    return {task.job, task.index};
}

} // namespace

struct CellScheduler::Impl
{
    ClusterConfig config;
    std::string service;
    std::deque<ScheduledTask> queue;
    std::map<std::string, Server> servers;
    std::map<TaskId, Micros> expected; ///< of queued and running tasks
    std::map<TaskId, std::string> running;

    std::size_t maxQueued() const
    {
        const auto found = std::find_if(this->config.services.begin(), this->config.services.end(),
                                        [this](const ServiceConfig &s) { return s.name == this->service; });
        return found == this->config.services.end() ? AGATEDRUM_MAX_QUEUED_TASKS : found->maxQueuedTasks;
    }

    void release(const Assignment &assignment)
    {
        if (this->running.erase(idOf(assignment.task)) == 0) {
            return;
        }
        if (const auto server = this->servers.find(assignment.server); server != this->servers.end()) {
            server->second.running--;
        }
    }

    Micros expectedOf(const ScheduledJob &job, int index) const
    {
        const auto at = static_cast<std::size_t>(index);
        return at < job.declared.size() && job.declared[at].count() > 0 ? job.declared[at] : defaultTaskTime;
    }
};

CellScheduler::CellScheduler(const ClusterConfig &config, const std::string &service, std::uint64_t /*seed*/)
    : impl(std::make_unique<Impl>())
{
    this->impl->config = config;
    this->impl->service = service;
}

CellScheduler::~CellScheduler() = default;

void CellScheduler::configure(const ClusterConfig &config)
{
    this->impl->config = config;
}

void CellScheduler::setServer(const std::string &server, int slots, int connections, double /*usage*/, Time /*now*/)
{
    this->impl->servers[server].slots = connections > 0 ? std::min(slots, connections) : slots;
}

void CellScheduler::setAvailable(const std::string &server, bool isAvailable, Time /*now*/)
{
    if (const auto found = this->impl->servers.find(server); found != this->impl->servers.end()) {
        found->second.isAvailable = isAvailable;
    }
}

void CellScheduler::removeServer(const std::string &server)
{
    this->impl->servers.erase(server);
}

std::optional<wire::Refusal> CellScheduler::admit(const ScheduledJob &job, Time /*now*/)
{
    if (this->impl->queue.size() + job.declared.size() <= this->impl->maxQueued()) {
        return std::nullopt;
    }
    wire::Refusal refusal;
    refusal.code = wire::RefusalCode::QUEUE_FULL;
    refusal.message = "the queue of the cell is full";
    refusal.notRun = true;
    refusal.retryAfterMs = 1000;
    return refusal;
}

void CellScheduler::add(const ScheduledJob &job, const std::vector<int> &tasks, Time /*now*/)
{
    for (const int index : tasks) {
        this->impl->queue.push_back({job.number, index});
        this->impl->expected[{job.number, index}] = this->impl->expectedOf(job, index);
    }
}

std::optional<Assignment> CellScheduler::next(Time /*now*/)
{
    if (this->impl->queue.empty()) {
        return std::nullopt;
    }
    auto best = this->impl->servers.end();
    for (auto server = this->impl->servers.begin(); server != this->impl->servers.end(); ++server) {
        const bool isFree = server->second.isAvailable && server->second.running < server->second.slots;
        if (isFree && (best == this->impl->servers.end() || server->second.slowness < best->second.slowness)) {
            best = server;
        }
    }
    if (best == this->impl->servers.end()) {
        return std::nullopt;
    }
    Assignment assignment {this->impl->queue.front(), best->first};
    this->impl->queue.pop_front();
    best->second.running++;
    this->impl->running[idOf(assignment.task)] = assignment.server;
    return assignment;
}

void CellScheduler::finished(const Assignment &assignment, wire::Outcome::type outcome, Micros runTime, Time /*now*/)
{
    this->impl->release(assignment);
    const auto expected = this->impl->expected.find(idOf(assignment.task));
    if (expected == this->impl->expected.end()) {
        return;
    }
    const auto server = this->impl->servers.find(assignment.server);
    if (outcome == wire::Outcome::FINISHED && server != this->impl->servers.end()) {
        const double ratio = static_cast<double>(runTime.count()) / static_cast<double>(expected->second.count());
        server->second.slowness += 0.1 * (std::clamp(ratio, 0.1, 10.0) - server->second.slowness);
    }
    this->impl->expected.erase(expected);
}

void CellScheduler::requeue(const Assignment &assignment, Time /*now*/)
{
    this->impl->release(assignment);
    this->impl->queue.push_front(assignment.task);
}

void CellScheduler::adopt(const ScheduledJob &job, const Assignment &assignment, Time /*now*/)
{
    this->impl->expected[idOf(assignment.task)] = this->impl->expectedOf(job, assignment.task.index);
    this->impl->running[idOf(assignment.task)] = assignment.server;
    this->impl->servers[assignment.server].running++;
}

std::vector<int> CellScheduler::dropQueued(JobNumber job)
{
    std::vector<int> dropped;
    auto &queue = this->impl->queue;
    for (const auto &task : queue) {
        if (task.job == job) {
            dropped.push_back(task.index);
            this->impl->expected.erase(idOf(task));
        }
    }
    queue.erase(std::remove_if(queue.begin(), queue.end(), [job](const ScheduledTask &t) { return t.job == job; }),
                queue.end());
    return dropped;
}

void CellScheduler::tick(Time /*now*/) { }

std::size_t CellScheduler::queuedTasks() const
{
    return this->impl->queue.size();
}

std::size_t CellScheduler::runningTasks() const
{
    return this->impl->running.size();
}

nlohmann::json CellScheduler::dump(Time /*now*/) const
{
    nlohmann::json servers = nlohmann::json::array();
    for (const auto &[name, server] : this->impl->servers) {
        servers.push_back({{"name", name},
                           {"slots", server.slots},
                           {"running", server.running},
                           {"available", server.isAvailable},
                           {"slowness", server.slowness}});
    }
    return {{"queued", this->queuedTasks()}, {"running", this->runningTasks()}, {"servers", servers}};
}

} // namespace agatedrum
