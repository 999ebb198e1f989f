#include "host_core_p.h"

#include "base_event_p.h"
#include "host_room_p.h"

#include <algorithm>
#include <utility>

namespace agatedrum {

namespace {

constexpr auto part = "host";
constexpr Millis runMemory {30000}; ///< above the time after which a caller may send a job again
constexpr Millis stopRepeat {150};
constexpr std::int64_t runStep = 8; ///< skipped when a run is too low for a backend server that remembers more

const char *phaseName(wire::TaskPhase::type phase)
{
    switch (phase) {
    case wire::TaskPhase::QUEUED:
        return "queued";
    case wire::TaskPhase::RUNNING:
        return "running";
    case wire::TaskPhase::SUCCEEDED:
        return "succeeded";
    case wire::TaskPhase::FAILED:
        return "failed";
    case wire::TaskPhase::ENDED:
        return "ended";
    case wire::TaskPhase::REFUSED:
        break;
    }
    return "refused";
}

} // namespace

wire::Resources HostCore::reserved() const
{
    wire::Resources sum;
    for (const auto &[id, task] : this->tasks) {
        if (task.phase != Phase::Waiting) {
            sum = plus(sum, task.demand);
        }
    }
    return sum;
}

wire::Resources HostCore::freeRoom() const
{
    return minus(this->registered->capacity, this->reserved());
}

void HostCore::startWaiting()
{
    if (!this->isAccepting() || this->queue.waiting().empty()) {
        return;
    }
    for (const auto id : this->queue.takeStartable(this->freeRoom(), this->clock.now())) {
        this->start(id, this->tasks.at(id));
    }
}

void HostCore::start(std::int64_t id, HostTask &task)
{
    const auto now = this->clock.now();
    auto &last = this->lastRuns[task.name];
    task.run = std::max(task.run, last.run) + 1;
    last = {task.run, now, false};
    task.phase = Phase::Starting;
    task.startedAt = now;
    task.changedAt = now;
    task.progress = RunProgress(now);
    this->waitLatency.observe(now - task.takenAt);
    StartOrder order;
    order.server = this->registered->server;
    order.task = task.name;
    order.run = task.run;
    order.spec = *task.spec;
    order.fence = this->fence;
    order.holdUntilMs = this->serverClock(this->options.serverHold);
    this->server.start(order, [this, id, life = this->life()](const OrderReply &reply) {
        const std::lock_guard lock(this->mutex);
        this->onStarted(id, life, reply);
        this->startWaiting();
        this->sendReports();
    });
}

HostCore::HostTask *HostCore::answered(std::int64_t id, const std::string &life, const OrderReply &reply)
{
    const auto found = this->tasks.find(id);
    if (found == this->tasks.end() || life != this->life()) {
        return nullptr;
    }
    this->noteClock(reply.clockMs);
    return &found->second;
}

void HostCore::onStarted(std::int64_t id, const std::string &life, const OrderReply &reply)
{
    auto *known = this->answered(id, life, reply);
    if (known == nullptr || known->phase != Phase::Starting) {
        return; // it has ended, or a hold has shown already what became of the start
    }
    auto &task = *known;
    task.changedAt = this->clock.now();
    if (reply.outcome != OrderOutcome::Unanswered) {
        this->startLatency.observe(task.changedAt - task.startedAt);
    }
    if (reply.outcome == OrderOutcome::Accepted) {
        ++this->counters.started;
        task.phase = Phase::Running;
        if (task.mustStop) {
            this->sendStop(id, task);
        }
        return;
    }
    if (reply.outcome == OrderOutcome::Unanswered) {
        this->doubt(task);
        return;
    }
    if (reply.outcome == OrderOutcome::Fenced) {
        this->raiseFence(reply.clockMs);
    } else if (reply.outcome == OrderOutcome::RunTooLow) {
        this->lastRuns[task.name].run += runStep;
    }
    this->finish(id, wire::TaskPhase::REFUSED, outcomeName(reply.outcome));
}

void HostCore::doubt(HostTask &task)
{
    const auto now = this->clock.now();
    ++this->counters.unanswered;
    logEvent(part, "start_unanswered",
             {{"job", task.name.job},
              {"task", task.name.index},
              {"run", task.run},
              {"afterMs", toMillis(now - task.startedAt)}});
    task.phase = Phase::Doubtful;
    task.changedAt = std::min(now, task.startedAt + this->options.startDoubt);
    this->holds.noteLoss(now);
}

void HostCore::stopTask(std::int64_t id, HostTask &task, const std::string &reason)
{
    if (task.phase == Phase::Waiting) {
        this->finish(id, wire::TaskPhase::REFUSED, reason);
        return;
    }
    if (!task.mustStop) {
        task.mustStop = true;
        if (const auto total = task.progress.total(this->clock.now())) {
            this->stoppedRuns.add(slownessOf(task.estimate, *total), this->clock.now());
        }
        logEvent(part, "stop",
                 {{"job", task.name.job}, {"task", task.name.index}, {"run", task.run}, {"reason", reason}});
    }
    if (task.phase == Phase::Running && !task.isStopSent) {
        this->sendStop(id, task);
    }
}

void HostCore::sendStop(std::int64_t id, HostTask &task)
{
    task.isStopSent = true;
    task.changedAt = this->clock.now();
    StopOrder order;
    order.server = this->registered->server;
    order.task = task.name;
    order.run = task.run;
    order.fence = this->fence;
    this->server.stop(order, [this, id, life = this->life()](const OrderReply &reply) {
        const std::lock_guard lock(this->mutex);
        this->onStopped(id, life, reply);
        this->keepHolds();
    });
}

void HostCore::onStopped(std::int64_t id, const std::string &life, const OrderReply &reply)
{
    auto *task = this->answered(id, life, reply);
    if (task == nullptr) {
        return;
    }
    if (reply.outcome == OrderOutcome::Accepted) {
        task->stoppedAt = this->clock.now();
    } else {
        task->isStopSent = false; // sent again by the next check
        if (reply.outcome == OrderOutcome::Unanswered) {
            this->holds.noteLoss(this->clock.now());
        }
    }
}

void HostCore::finish(std::int64_t id, wire::TaskPhase::type phase, const std::string &reason, Micros runTime)
{
    auto node = this->tasks.extract(id);
    const auto &task = node.mapped();
    this->queue.remove(id);
    this->byName.erase(task.name);
    if (const auto last = this->lastRuns.find(task.name); last != this->lastRuns.end()) {
        last->second.at = this->clock.now();
    }
    this->counters.succeeded += phase == wire::TaskPhase::SUCCEEDED ? 1 : 0;
    this->counters.failed += phase == wire::TaskPhase::FAILED ? 1 : 0;
    this->counters.ended += phase == wire::TaskPhase::ENDED ? 1 : 0;
    this->counters.refused += phase == wire::TaskPhase::REFUSED ? 1 : 0;
    logEvent(part, "task_ended",
             {{"job", task.name.job},
              {"task", task.name.index},
              {"run", task.run},
              {"outcome", phaseName(phase)},
              {"waitMs", task.run == 0 ? 0 : toMillis(task.startedAt - task.takenAt)},
              {"runMs", toMillis(runTime)},
              {"estimateMs", toMillis(task.estimate)},
              {"slowness", fmt::format("{:.2f}", this->runTimes.slowness())},
              {"reason", reason}});
    this->report(task, phase, reason, runTime);
}

void HostCore::refuseWaiting(const std::string &reason)
{
    const auto waiting = this->queue.waiting();
    for (const auto &task : waiting) {
        this->finish(task.id, wire::TaskPhase::REFUSED, reason);
    }
}

void HostCore::checkTasks()
{
    const auto now = this->clock.now();
    std::vector<std::int64_t> ids;
    for (const auto &[id, task] : this->tasks) {
        ids.push_back(id);
    }
    for (const auto id : ids) {
        auto &task = this->tasks.at(id);
        if (task.phase == Phase::Waiting && now >= task.giveUpAt) {
            this->finish(id, wire::TaskPhase::REFUSED, "it waited until it was too late");
            continue;
        }
        if (!task.mustStop && !this->entries.hasLease(task.entry, now)) {
            ++this->counters.leasesLapsed;
            this->stopTask(id, task, "the entry's lease has lapsed");
            continue;
        }
        const bool mayBeThere = task.phase == Phase::Running || task.phase == Phase::Doubtful;
        const bool isStopWanted = task.phase == Phase::Running ? task.mustStop : task.changedAt < this->heldAt;
        if (mayBeThere && isStopWanted && !task.stoppedAt && (!task.isStopSent || now - task.changedAt >= stopRepeat)) {
            this->sendStop(id, task);
        }
    }
    for (auto last = this->lastRuns.begin(); last != this->lastRuns.end();) {
        last = now - last->second.at > runMemory ? this->lastRuns.erase(last) : std::next(last);
    }
}

double HostCore::currentSlowness() const
{
    const auto now = this->clock.now();
    auto present = this->stoppedRuns.fading(this->runTimes.slowness(), now);
    for (const auto &[id, task] : this->tasks) {
        const bool isGoingOn = task.phase == Phase::Running && !task.mustStop;
        const auto total = isGoingOn ? task.progress.total(now) : std::nullopt;
        if (total) {
            present.push_back(slownessOf(task.estimate, *total));
        }
    }
    return presentSlowness(this->runTimes.slowness(), std::move(present));
}

} // namespace agatedrum
