#include "host_core_p.h"

#include "base_event_p.h"
#include "host_resources_p.h"

#include <algorithm>
#include <utility>

namespace agatedrum {

namespace {

constexpr auto component = "host";
constexpr Millis runRetention {30000}; ///< longer than the time after which a caller may resubmit a job
constexpr Millis stopResendInterval {150};
/// While the lease is limited to less than this, because a run could not be stopped yet, no task starts.
constexpr Millis minStartLease {150};
constexpr std::int64_t runNumberStep = 8; ///< added to the run number if the backend server knows a higher one

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
            sum = plus(sum, task.needs.demand);
        }
    }
    return sum;
}

void HostCore::startWaitingTasks()
{
    const auto now = this->clock.now();
    if (!this->isAccepting() || this->queue.waiting().empty() || this->leaseLimit(now) - now < minStartLease) {
        return;
    }
    for (const auto id : this->queue.takeStartable(this->capacityForecast(), now)) {
        auto &task = this->tasks.at(id);
        if (now >= task.abandonAt || !this->entries.hasLease(task.entry, now)) {
            this->finish(id, wire::TaskPhase::REFUSED, "the time of the task has passed while it was waiting");
        } else if (const auto reason = this->refusalReason(task); !reason.empty()) {
            this->finish(id, wire::TaskPhase::REFUSED, std::string(reason));
        } else {
            this->startTask(id, task);
        }
    }
}

std::string_view HostCore::refusalReason(const HostTask &task) const
{
    if (task.serviceName != this->registered->serviceName) {
        return "the backend server belongs to another service";
    }
    int groupTasks = 0;
    for (const auto &[id, other] : this->tasks) {
        if (other.name == task.name) {
            continue;
        }
        if (task.isSuspected && other.isSuspected) {
            return "another task under which a backend server has crashed is running";
        }
        // Runs at an earlier instance do not count for this one.
        const bool isCounted = other.phase != Phase::ServerReplaced && other.name.job == task.name.job
            && other.needs.group == task.needs.group;
        groupTasks += isCounted ? 1 : 0;
    }
    const ServerOffer offer {this->registered->capacity, this->registered->labels, this->isEvacuated()};
    return unmetNeed(task.needs, offer, groupTasks);
}

void HostCore::startTask(std::int64_t id, HostTask &task)
{
    const auto now = this->clock.now();
    auto &last = this->lastRuns[task.name];
    task.run = std::max(task.run, last.run) + 1;
    last = {task.run, now, false};
    task.phase = Phase::Starting;
    task.startedAt = now;
    task.changedAt = now;
    task.progress = RunProgress(now);
    this->waitLatency.observe(now - task.acceptedAt);
    StartOrder order;
    order.server = this->registered->server;
    order.task = task.name;
    order.run = task.run;
    order.spec = *task.spec;
    order.fence = this->fence;
    order.leaseUntilMs = this->grantLease(this->leaseLimit(now));
    logEvent(component, "start",
             {{"job", task.name.job},
              {"task", task.name.index},
              {"run", task.run},
              {"entry", task.entry.name},
              {"order", task.order},
              {"server", this->instanceName()},
              {"fence", order.fence},
              {"leaseUntilMs", order.leaseUntilMs}});
    this->server.start(order, [this, id, context = this->orderContext()](const OrderReply &reply) {
        const std::lock_guard lock(this->mutex);
        this->onStarted(id, context, reply);
        this->startWaitingTasks();
        this->sendReports();
    });
}

HostCore::HostTask *HostCore::findAnsweredTask(std::int64_t id, const OrderContext &context, const OrderReply &reply)
{
    const auto found = this->tasks.find(id);
    if (found == this->tasks.end() || context.instanceName != this->instanceName()) {
        return nullptr;
    }
    this->recordAnswer(reply.outcome, reply.clockMs);
    return &found->second;
}

void HostCore::onStarted(std::int64_t id, const OrderContext &context, const OrderReply &reply)
{
    auto *known = this->findAnsweredTask(id, context, reply);
    if (known == nullptr || known->phase != Phase::Starting) {
        return; // the task has ended, or a poll has already shown whether it started
    }
    auto &task = *known;
    task.changedAt = this->clock.now();
    if (reply.outcome != OrderOutcome::Unanswered) {
        this->startLatency.observe(task.changedAt - task.startedAt);
    }
    if (reply.outcome == OrderOutcome::Accepted) {
        ++this->counters.started;
        this->recordStarted(task);
        if (task.mustStop) {
            this->sendStop(id, task);
        }
        return;
    }
    if (reply.outcome == OrderOutcome::Unanswered) {
        this->markUnconfirmed(task);
        return;
    }
    if (reply.outcome == OrderOutcome::Fenced) {
        this->onFenced(context);
    } else if (reply.outcome == OrderOutcome::RunTooLow) {
        this->lastRuns[task.name].run += runNumberStep;
    }
    this->finish(id, wire::TaskPhase::REFUSED, outcomeName(reply.outcome));
}

void HostCore::recordStarted(HostTask &task)
{
    task.phase = Phase::Running;
    task.isStarted = true;
    this->reportPhase(task);
}

void HostCore::markUnconfirmed(HostTask &task)
{
    const auto now = this->clock.now();
    ++this->counters.unanswered;
    logEvent(component, "start_unanswered",
             {{"job", task.name.job},
              {"task", task.name.index},
              {"run", task.run},
              {"afterMs", toMillis(now - task.startedAt)}});
    task.phase = Phase::Unconfirmed;
    task.changedAt = std::min(now, task.startedAt + this->options.startConfirmTimeout);
    this->mustRaiseFence = true;
    this->pollSchedule.recordLoss(now);
    wire::TaskPlace place;
    place.host = this->options.self.name;
    place.hostIncarnation = this->options.self.incarnation;
    place.indexes = {task.name.index};
    wire::JobInDoubt job;
    job.job = task.name.job;
    job.places = {std::move(place)};
    job.leftMicros = (task.startedAt + this->options.lateStartTime - now).count();
    this->witness.learn({job}, now);
    this->unanswered.push_back(std::move(job));
    this->reportPhase(task);
}

void HostCore::stopTask(std::int64_t id, HostTask &task, Time mustEndBy, const std::string &reason)
{
    if (task.phase == Phase::Waiting) {
        this->finish(id, wire::TaskPhase::REFUSED, reason);
        return;
    }
    if (!task.mustStop) {
        task.mustStop = true;
        task.mustEndBy = mustEndBy;
        if (const auto total = task.progress.total(this->clock.now())) {
            this->stoppedRuns.add({task.name.job, slownessOf(task.estimate, *total)}, this->clock.now());
        }
        logEvent(component, "stop",
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
    this->server.stop(order, [this, id, context = this->orderContext()](const OrderReply &reply) {
        const std::lock_guard lock(this->mutex);
        this->onStopped(id, context, reply);
        this->sendDuePolls();
    });
}

void HostCore::onStopped(std::int64_t id, const OrderContext &context, const OrderReply &reply)
{
    auto *task = this->findAnsweredTask(id, context, reply);
    if (task == nullptr) {
        return;
    }
    if (reply.outcome == OrderOutcome::Accepted) {
        task->stopAcceptedAt = this->clock.now();
    } else {
        task->isStopSent = false; // resent by the next check
        if (reply.outcome == OrderOutcome::Unanswered) {
            this->mustRaiseFence = true;
            this->pollSchedule.recordLoss(this->clock.now());
        }
    }
}

void HostCore::finish(std::int64_t id, wire::TaskPhase::type phase, const std::string &reason, Micros runTime)
{
    auto node = this->tasks.extract(id);
    const auto &task = node.mapped();
    this->queue.remove(id);
    this->idByName.erase(task.name);
    if (const auto last = this->lastRuns.find(task.name); last != this->lastRuns.end()) {
        last->second.updatedAt = this->clock.now();
    }
    this->counters.succeeded += phase == wire::TaskPhase::SUCCEEDED ? 1 : 0;
    this->counters.failed += phase == wire::TaskPhase::FAILED ? 1 : 0;
    this->counters.ended += phase == wire::TaskPhase::ENDED ? 1 : 0;
    this->counters.refused += phase == wire::TaskPhase::REFUSED ? 1 : 0;
    logEvent(component, "task_ended",
             {{"job", task.name.job},
              {"task", task.name.index},
              {"run", task.run},
              {"outcome", phaseName(phase)},
              {"waitMs", task.run == 0 ? 0 : toMillis(task.startedAt - task.acceptedAt)},
              {"runMs", toMillis(runTime)},
              {"estimateMs", toMillis(task.estimate)},
              {"slowness", fmt::format("{:.2f}", this->runTimeEstimator.slowness())},
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

void HostCore::refuseGivenUp()
{
    for (const auto id : this->queue.takeGivenUp(this->clock.now())) {
        ++this->counters.givenUp;
        this->finish(id, wire::TaskPhase::REFUSED, "the task cannot end before the caller's deadline any more");
    }
}

void HostCore::refuseUnfit()
{
    const auto waiting = this->queue.waiting();
    for (const auto &each : waiting) {
        const auto reason = this->refusalReason(this->tasks.at(each.id));
        if (!reason.empty()) {
            this->finish(each.id, wire::TaskPhase::REFUSED, std::string(reason));
        }
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
        if (task.phase == Phase::Waiting && now >= task.abandonAt) {
            this->finish(id, wire::TaskPhase::REFUSED, "the caller's deadline passed while the task was waiting");
            continue;
        }
        if (!task.mustStop && !this->entries.hasLease(task.entry, now)) {
            ++this->counters.leasesExpired;
            const auto expiredAt = this->entries.leaseEnd(task.entry);
            this->stopTask(id, task, expiredAt + this->options.leaseTerms.expiryStopTime(),
                           "the lease of the entry has expired");
            continue;
        }
        if (!task.mustStop && now >= task.abandonAt) {
            this->stopTask(id, task, task.abandonAt + this->options.leaseTerms.expiryStopTime(),
                           "the caller's deadline has passed");
            continue;
        }
        const bool mayBeRunning = task.phase == Phase::Running || task.phase == Phase::Unconfirmed;
        const bool isStopDue = task.phase == Phase::Running ? task.mustStop : task.changedAt < this->polledAt;
        if (mayBeRunning && isStopDue && !task.stopAcceptedAt
            && (!task.isStopSent || now - task.changedAt >= stopResendInterval)) {
            this->sendStop(id, task);
        }
    }
    for (auto last = this->lastRuns.begin(); last != this->lastRuns.end();) {
        last = now - last->second.updatedAt > runRetention ? this->lastRuns.erase(last) : std::next(last);
    }
}

double HostCore::currentSlowness() const
{
    const auto now = this->clock.now();
    auto observed = this->stoppedRuns.decayedSlowness(this->runTimeEstimator.slowness(), now);
    for (const auto &[id, task] : this->tasks) {
        const bool isActive = task.phase == Phase::Running && !task.mustStop;
        const auto total = isActive ? task.progress.total(now) : std::nullopt;
        if (total) {
            observed.push_back({task.name.job, slownessOf(task.estimate, *total)});
        }
    }
    return estimateSlowness(this->runTimeEstimator.slowness(), observed);
}

} // namespace agatedrum
