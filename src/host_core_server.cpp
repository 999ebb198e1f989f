#include "host_core_p.h"

#include "base_event_p.h"

#include <algorithm>
#include <utility>

namespace agatedrum {

namespace {

constexpr auto component = "host";
constexpr Millis failedPollDelay {100}; ///< delay before the next poll after one that was refused or not sent
constexpr Millis warningInterval {150}; ///< minimum time between two warnings about one task
constexpr std::size_t maxEndsPerReply = 100; ///< a reply with this many ended runs may be incomplete

/// Returns the resources as CPU/MEMORY/ACCELERATORS.
std::string textOf(const wire::Resources &resources)
{
    return fmt::format("{}/{}/{}", resources.cpuMillis, resources.memoryMb, resources.accelerators);
}

} // namespace

std::string HostCore::instanceName() const
{
    return this->registered ? fmt::format("{}@{}", this->registered->server.id, this->registered->server.startedAtMs)
                            : std::string();
}

bool HostCore::isAccepting() const
{
    return this->registered && !this->registered->isDraining && !this->hasLeft && !this->isStopping
        && this->hasOnlyOwnRuns && !this->crashes.isRefusing() && !this->otherInstanceSeenAt
        && this->clock.now() - this->polledAt < this->options.serverTimeout && this->isCapacityCurrent();
}

void HostCore::recordAccepting()
{
    if (!this->isAccepting()) {
        this->notAcceptingAt = this->clock.now();
    }
}

Time HostCore::sendTimeOf(const ServerRegistration &registration) const
{
    const auto now = this->clock.now();
    const auto ageMs = registration.clockMs == 0 ? 0 : this->serverClock(now) - registration.clockMs;
    return now - Millis(std::max<std::int64_t>(0, ageMs));
}

bool HostCore::isCapacityCurrent() const
{
    return this->clock.now() - this->registeredAt < this->options.capacityValidity;
}

void HostCore::registerServer(const ServerRegistration &registration)
{
    const std::lock_guard lock(this->mutex);
    this->recordAccepting();
    this->reviewRegistration(registration);
}

void HostCore::reviewRegistration(const ServerRegistration &registration)
{
    const auto verdict
        = this->registrations.review(registration, this->serverEvidence(), this->clock.now(), this->clock.wallMs());
    if (verdict == RegistrationVerdict::Follow || verdict == RegistrationVerdict::Update) {
        this->applyRegistration(registration, verdict == RegistrationVerdict::Follow);
        return;
    }
    logEvent(component, verdict == RegistrationVerdict::Defer ? "deferred_registration" : "late_registration",
             {{"server", registration.server.id},
              {"born", registration.server.startedAtMs},
              {"sequence", registration.sequence},
              {"present", this->instanceName()}});
}

void HostCore::applyRegistration(const ServerRegistration &registration, bool isOtherInstance)
{
    if (isOtherInstance) {
        this->beginInstance(registration);
    }
    const bool isDrainStart = registration.isDraining && !this->registered->isDraining;
    const auto previousCapacity = this->registered->capacity;
    this->registered = registration;
    this->registeredAt = isOtherInstance ? this->clock.now() : this->sendTimeOf(registration);
    this->hasLeft = false;
    if (isDrainStart) {
        logEvent(component, "server_drains", {{"server", registration.server.id}});
        this->refuseWaiting("the backend server is draining");
    }
    this->refuseUnfit();
    this->startWaitingTasks();
    this->sendDuePolls();
    this->sendReports();
    if (registration.capacity != previousCapacity) {
        logEvent(component, "capacity_changed",
                 {{"server", registration.server.id},
                  {"sequence", registration.sequence},
                  {"old", textOf(previousCapacity)},
                  {"new", textOf(registration.capacity)}});
        this->urgentReports = std::max(this->urgentReports, 1); // all entries know the capacity
        this->announce();
    }
}

void HostCore::applyDeferredRegistration()
{
    const auto deferred
        = this->registrations.takeDeferred(this->serverEvidence(), this->clock.now(), this->clock.wallMs());
    if (deferred) {
        this->reviewRegistration(*deferred);
    }
}

ServerEvidence HostCore::serverEvidence() const
{
    ServerEvidence evidence;
    evidence.registration = this->registered ? &*this->registered : nullptr;
    const auto now = this->clock.now();
    evidence.clockMs = this->serverClock(now);
    if (this->polledAt != Time {}) {
        evidence.sinceAnswer = now - this->polledAt;
    }
    evidence.isGone = this->hasLeft || this->otherInstanceSeenAt;
    return evidence;
}

void HostCore::beginInstance(const ServerRegistration &registration)
{
    this->recordServerLoss("a new instance was registered");
    const bool isAddressReused = this->registered && this->registered->server.address == registration.server.address;
    this->endInstance("a new instance of the backend server was registered");
    ++this->counters.serverInstances;
    if (!isAddressReused) {
        this->replacedRunsEnd = std::max(this->replacedRunsEnd, this->leaseGrantedUntil);
    }
    this->leaseGrantedUntil = Time {};
    this->registered = registration;
    this->registered->isDraining = false;
    this->serverClockMs = registration.clockMs;
    this->serverClockReadAt = this->clock.now();
    this->fenceStep = 1;
    this->raiseFence(1);
    logEvent(component, "server_life",
             {{"server", registration.server.id},
              {"born", registration.server.startedAtMs},
              {"address", fmt::format("{}:{}", registration.server.address.host, registration.server.address.port)},
              {"fence", this->fence},
              {"cpuMillis", registration.capacity.cpuMillis}});
    this->lastSeenEnd = 0;
    this->pollSchedule = PollSchedule();
    this->polledAt = Time {};
    this->otherInstanceSeenAt.reset();
    this->runTimeEstimator = RunTimeEstimator();
    this->stoppedRuns = StoppedRuns();
    this->failureShare = 0.0;
}

void HostCore::endInstance(const std::string &reason)
{
    this->hasOnlyOwnRuns = false;
    std::vector<std::int64_t> ids;
    for (const auto &[id, task] : this->tasks) {
        ids.push_back(id);
    }
    for (const auto id : ids) {
        auto &task = this->tasks.at(id);
        if (task.phase == Phase::Waiting) {
            this->finish(id, wire::TaskPhase::REFUSED, reason);
        } else {
            task.phase = Phase::ServerReplaced;
        }
    }
}

void HostCore::endReplacedTasks()
{
    // An accepted poll rules out that orders with earlier tokens are carried out late.
    if (!this->hasOnlyOwnRuns || this->clock.now() < this->replacedRunsEnd) {
        return;
    }
    std::vector<std::int64_t> ids;
    for (const auto &[id, task] : this->tasks) {
        if (task.phase == Phase::ServerReplaced) {
            ids.push_back(id);
        }
    }
    for (const auto id : ids) {
        this->finish(id, wire::TaskPhase::ENDED, "the backend server was replaced by a new instance");
    }
}

void HostCore::removeServer(const std::string &id)
{
    const std::lock_guard lock(this->mutex);
    this->registrations.drop(id);
    if (!this->registered || this->registered->server.id != id) {
        return;
    }
    logEvent(component, "server_left", {{"server", id}});
    this->hasLeft = true;
    this->refuseWaiting("the backend server has left");
    this->sendReports();
}

void HostCore::sendDuePolls()
{
    const auto now = this->clock.now();
    if (!this->registered) {
        return;
    }
    const auto unconfirmedSince = this->unconfirmedSince();
    while (const auto poll = this->pollSchedule.takeDue(now, unconfirmedSince)) {
        this->sendPoll(*poll);
    }
}

void HostCore::sendPoll(const PollSchedule::Poll &poll)
{
    if (this->mustRaiseFence) {
        this->raiseFence(1);
    }
    PollOrder order;
    order.server = this->registered->server;
    order.fence = this->fence;
    order.lastSeenEnd = this->lastSeenEnd;
    // The lease of runs that this process did not start is not renewed.
    const auto limit = this->leaseLimit(poll.sentAt);
    order.leaseUntilMs = this->hasOnlyOwnRuns && limit > poll.sentAt ? this->grantLease(limit) : 0;
    order.wait = this->hasOnlyOwnRuns ? poll.wait : Millis(0);
    this->server.poll(order, [this, poll, context = this->orderContext()](const PollReply &reply) {
        const std::lock_guard lock(this->mutex);
        this->onPolled(context, poll, reply);
        this->startWaitingTasks();
        this->sendReports();
    });
}

void HostCore::recordAnswer(OrderOutcome outcome, std::int64_t clockMs)
{
    if (outcome != OrderOutcome::OtherInstance) {
        this->updateClock(clockMs);
        return;
    }
    if (!this->otherInstanceSeenAt) {
        logEvent(component, "other_instance", {{"present", this->instanceName()}});
    }
    this->recordAccepting();
    this->otherInstanceSeenAt = this->clock.now();
}

std::vector<Time> HostCore::unconfirmedSince() const
{
    std::vector<Time> result;
    for (const auto &[id, task] : this->tasks) {
        if (task.phase == Phase::Starting) {
            result.push_back(task.startedAt + this->options.startConfirmTimeout);
        } else if (task.phase == Phase::Unconfirmed) {
            result.push_back(task.stopAcceptedAt.value_or(task.changedAt));
        }
    }
    return result;
}

void HostCore::onPolled(const OrderContext &context, const PollSchedule::Poll &poll, const PollReply &reply)
{
    if (context.instanceName != this->instanceName()) {
        return;
    }
    this->recordAccepting();
    if (reply.outcome == OrderOutcome::Unanswered) {
        this->mustRaiseFence = true;
        this->pollSchedule.recordLoss(poll, this->clock.now());
    } else {
        this->pollSchedule.recordAnswer(poll);
    }
    this->recordAnswer(reply.outcome, reply.clockMs);
    this->reviewServerLoss(poll, reply);
    const auto previous = std::exchange(this->lastPollOutcome, reply.outcome);
    if (reply.outcome == OrderOutcome::Accepted) {
        if (this->otherInstanceSeenAt && poll.sentAt > *this->otherInstanceSeenAt) {
            this->otherInstanceSeenAt.reset();
        }
        this->polledAt = std::max(this->polledAt, poll.sentAt);
        this->fenceStep = 1;
        this->handleEndedRuns(reply);
        this->handleListedRuns(reply, poll.sentAt);
        this->endReplacedTasks();
        this->reportLateRuns();
    } else {
        if (reply.outcome == OrderOutcome::Fenced) {
            this->onFenced(context);
        }
        if (reply.outcome != previous) {
            logEvent(component, "hold_failed",
                     {{"server", this->instanceName()}, {"outcome", outcomeName(reply.outcome)}});
        }
        if (reply.outcome != OrderOutcome::Unanswered) {
            this->pollSchedule.delayUntil(
                this->clock.now() + (this->crashes.isRefusing() ? this->crashes.retryDelay() : failedPollDelay));
        }
    }
    this->applyDeferredRegistration();
    this->checkTasks();
    this->sendDuePolls();
}

void HostCore::handleEndedRuns(const PollReply &reply)
{
    constexpr double weight = 0.1; // averages over about the last ten tasks
    for (const auto &end : reply.ended) {
        if (end.number <= this->lastSeenEnd) {
            continue;
        }
        this->lastSeenEnd = end.number;
        const auto known = this->idByName.find(end.task);
        if (known == this->idByName.end() || this->tasks.at(known->second).run != end.run) {
            continue;
        }
        const auto id = known->second;
        const auto &task = this->tasks.at(id);
        const auto runTime = this->clock.now() - task.startedAt;
        if (end.outcome == RunEnd::Done) {
            this->stoppedRuns.recordSuccess(slownessOf(task.estimate, runTime), this->runTimeEstimator.slowness());
            this->runTimeEstimator.learn(task.estimate, runTime);
            this->runLatency.observe(runTime);
            this->failureShare -= weight * this->failureShare;
            this->finish(id, wire::TaskPhase::SUCCEEDED, {}, runTime);
        } else if (end.outcome == RunEnd::Failed) {
            this->failureShare += weight * (1 - this->failureShare);
            this->finish(id, wire::TaskPhase::FAILED, "the task failed", runTime);
        } else {
            this->finish(id, wire::TaskPhase::ENDED, end.outcome == RunEnd::Stopped ? "stopped" : "lease expired",
                         runTime);
        }
    }
}

void HostCore::handleListedRuns(const PollReply &reply, Time sentAt)
{
    bool hasOrphanedRuns = false;
    std::map<TaskName, std::int64_t> listed;
    for (const auto &running : reply.running) {
        listed[running.task] = running.run;
        const auto known = this->idByName.find(running.task);
        const bool isReplaced
            = known != this->idByName.end() && this->tasks.at(known->second).phase == Phase::ServerReplaced;
        if (known == this->idByName.end() || this->tasks.at(known->second).run != running.run || isReplaced) {
            const auto last = this->lastRuns.find(running.task);
            const bool isOwnRun = last != this->lastRuns.end() && !last->second.isOrphaned && !isReplaced
                && running.run <= last->second.run;
            if (isOwnRun && sentAt <= last->second.updatedAt) {
                continue; // an outdated reply that arrived out of order; a newer one has shown the end of this run
            }
            hasOrphanedRuns = true;
            this->stopOrphanedRun(running);
            continue;
        }
        auto &task = this->tasks.at(known->second);
        task.progress.observe(running.percent, this->clock.now());
        if (task.phase == Phase::Starting || task.phase == Phase::Unconfirmed) {
            this->recordStarted(task);
            task.changedAt = this->clock.now(); // a reply to an earlier poll may show the state before the start
            task.isStopSent = false;
            task.stopAcceptedAt.reset();
        }
    }
    // A run has ended if it was accepted or its stop was accepted before the poll, and the reply does not list it.
    std::vector<std::int64_t> endedIds;
    for (auto &[id, task] : this->tasks) {
        if (task.phase == Phase::Starting && task.startedAt + this->options.startConfirmTimeout < sentAt
            && listed.count(task.name) == 0 && reply.hasAllRuns) {
            this->markUnconfirmed(task);
        }
        const bool isConclusive = (task.phase == Phase::Running && task.changedAt < sentAt)
            || (task.phase == Phase::Unconfirmed && task.stopAcceptedAt && *task.stopAcceptedAt < sentAt);
        const bool isListComplete = reply.hasAllRuns && reply.ended.size() < maxEndsPerReply;
        if (isConclusive && listed.count(task.name) == 0 && isListComplete) {
            endedIds.push_back(id);
        }
    }
    for (const auto id : endedIds) {
        this->finish(id, wire::TaskPhase::ENDED, "the run is no longer listed by the backend server");
    }
    const bool showsOnlyOwnRuns = !hasOrphanedRuns && (reply.hasAllRuns || this->hasOnlyOwnRuns);
    if (this->hasOnlyOwnRuns != showsOnlyOwnRuns) {
        this->hasOnlyOwnRuns = showsOnlyOwnRuns;
        logEvent(component, this->hasOnlyOwnRuns ? "server_clean" : "server_has_foreign_runs",
                 {{"server", this->instanceName()}});
    }
}

void HostCore::reportLateRuns()
{
    const auto now = this->clock.now();
    const auto slowness = this->currentSlowness();
    for (auto &[id, task] : this->tasks) {
        const auto remaining = task.phase == Phase::Running ? task.progress.remaining(now) : std::nullopt;
        if (!remaining || task.mustStop || now - task.warnedAt < warningInterval) {
            continue;
        }
        const auto end = now + *remaining;
        if ((now < task.objective && end > task.objective) || end > task.abandonAt) {
            task.warnedAt = now;
            const auto workTime = workTimeOf(end - task.startedAt);
            const auto estimatedWorkMicros = static_cast<double>(workTime.count()) / slowness;
            wire::TaskReport report;
            report.phase = wire::TaskPhase::RUNNING;
            report.remainingMicros = remaining->count();
            report.leastRemainingMicros = task.progress.minRemaining(now).value_or(*remaining).count();
            report.workMicros = static_cast<std::int64_t>(estimatedWorkMicros);
            this->report(task, std::move(report));
        }
    }
}

void HostCore::stopOrphanedRun(const RunningTask &running)
{
    logEvent(component, "stop_foreign",
             {{"job", running.task.job}, {"task", running.task.index}, {"run", running.run}});
    auto &last = this->lastRuns[running.task];
    last = {std::max(last.run, running.run), this->clock.now(), true};
    StopOrder order;
    order.server = this->registered->server;
    order.task = running.task;
    order.run = running.run;
    order.fence = this->fence;
    this->server.stop(order, [](const OrderReply &) {}); // the next poll shows whether the run was stopped
}

} // namespace agatedrum
