#include "host_core_p.h"

#include "base_event_p.h"

#include <algorithm>
#include <utility>

namespace agatedrum {

namespace {

constexpr auto part = "host";
constexpr Millis unreachableDelay {100}; ///< between holds while no connection can be made
constexpr Millis warningInterval {150}; ///< between warnings of one task
constexpr std::size_t endsPage = 100; ///< an answer with more ends may not have them all

} // namespace

std::string HostCore::life() const
{
    return this->registered ? fmt::format("{}@{}", this->registered->server.id, this->registered->server.bornMs)
                            : std::string();
}

void HostCore::noteClock(std::int64_t reading)
{
    if (reading > 0) {
        this->clockMs = reading;
        this->clockReadAt = this->clock.now();
    }
}

void HostCore::raiseFence(std::int64_t reading)
{
    this->fence = std::max(this->fence, reading) + 1;
    this->isClean = false;
}

std::int64_t HostCore::serverClock(Millis ahead) const
{
    const auto passed = std::chrono::duration_cast<Millis>(this->clock.now() - this->clockReadAt);
    return this->clockMs + (passed + ahead).count();
}

bool HostCore::isAccepting() const
{
    return this->registered && !this->registered->isDraining && !this->hasLeft && !this->isStopping && this->isClean
        && this->clock.now() - this->heldAt < this->options.serverSilent;
}

void HostCore::registerServer(const ServerRegistration &registration)
{
    const std::lock_guard lock(this->mutex);
    const bool isSame = this->registered && this->registered->server.id == registration.server.id
        && this->registered->server.bornMs == registration.server.bornMs;
    if (this->registered && !isSame && registration.server.bornMs < this->registered->server.bornMs) {
        logEvent(part, "late_registration", {{"server", registration.server.id}, {"born", registration.server.bornMs}});
        return;
    }
    if (isSame && registration.sequence < this->registered->sequence) {
        return;
    }
    if (!isSame) {
        this->beginLife(registration);
    }
    const bool isNewDrain = registration.isDraining && !this->registered->isDraining;
    this->registered = registration;
    this->hasLeft = false;
    if (isNewDrain) {
        logEvent(part, "server_drains", {{"server", registration.server.id}});
        this->refuseWaiting("the backend server leaves");
    }
    this->keepHolds();
    this->sendReports();
}

void HostCore::beginLife(const ServerRegistration &registration)
{
    this->endLife("the backend server began another life");
    ++this->counters.serverLives;
    logEvent(part, "server_life",
             {{"server", registration.server.id},
              {"born", registration.server.bornMs},
              {"cpuMillis", registration.capacity.cpuMillis}});
    this->registered = registration;
    this->registered->isDraining = false;
    // The backend server's clock rises within its life, so a later process of this host has a higher token.
    this->fence = std::max<std::int64_t>(registration.clockMs, 1);
    this->clockMs = 0;
    this->noteClock(registration.clockMs);
    this->seenEnds = 0;
    this->holds = HoldSchedule();
    this->heldAt = Time {};
    this->runTimes = RunTimes();
    this->stoppedRuns = StoppedRuns();
    this->failureShare = 0.0;
}

void HostCore::endLife(const std::string &reason)
{
    this->isClean = false;
    std::vector<std::int64_t> ids;
    for (const auto &[id, task] : this->tasks) {
        ids.push_back(id);
    }
    for (const auto id : ids) {
        const bool isWaiting = this->tasks.at(id).phase == Phase::Waiting;
        this->finish(id, isWaiting ? wire::TaskPhase::REFUSED : wire::TaskPhase::ENDED, reason);
    }
}

void HostCore::removeServer(const std::string &id)
{
    const std::lock_guard lock(this->mutex);
    if (!this->registered || this->registered->server.id != id) {
        return;
    }
    logEvent(part, "server_left", {{"server", id}});
    this->hasLeft = true;
    this->refuseWaiting("the backend server has left");
    this->sendReports();
}

void HostCore::keepHolds()
{
    const auto now = this->clock.now();
    if (!this->registered) {
        return;
    }
    const auto doubts = this->doubts();
    while (const auto hold = this->holds.takeDue(now, doubts)) {
        this->sendHold(*hold);
    }
}

void HostCore::sendHold(const HoldSchedule::Hold &hold)
{
    HoldOrder order;
    order.server = this->registered->server;
    order.fence = this->fence;
    order.seenEnds = this->seenEnds;
    // Runs that this process did not start are not kept.
    order.holdUntilMs = this->isClean ? this->serverClock(this->options.serverHold) : 0;
    order.wait = this->isClean ? hold.wait : Millis(0);
    this->server.hold(order, [this, hold, life = this->life()](const HoldReply &reply) {
        const std::lock_guard lock(this->mutex);
        this->onHeld(life, hold, reply);
        this->startWaiting();
        this->sendReports();
    });
}

std::vector<Time> HostCore::doubts() const
{
    std::vector<Time> result;
    for (const auto &[id, task] : this->tasks) {
        if (task.phase == Phase::Starting) {
            result.push_back(task.startedAt + this->options.startDoubt);
        } else if (task.phase == Phase::Doubtful) {
            result.push_back(task.stoppedAt.value_or(task.changedAt));
        }
    }
    return result;
}

void HostCore::onHeld(const std::string &life, const HoldSchedule::Hold &hold, const HoldReply &reply)
{
    if (life != this->life()) {
        return;
    }
    if (reply.outcome == OrderOutcome::Unanswered) {
        this->holds.noteLoss(hold, this->clock.now());
    } else {
        this->holds.noteAnswer(hold);
    }
    this->noteClock(reply.clockMs);
    const auto previous = std::exchange(this->lastHold, reply.outcome);
    if (reply.outcome == OrderOutcome::Accepted) {
        this->heldAt = std::max(this->heldAt, hold.sentAt);
        this->takeEnds(reply);
        this->takeRunning(reply, hold.sentAt);
        this->warnOfLateRuns();
    } else {
        if (reply.outcome == OrderOutcome::Fenced) {
            this->raiseFence(reply.clockMs);
        }
        if (reply.outcome != previous) {
            logEvent(part, "hold_failed", {{"server", this->life()}, {"outcome", outcomeName(reply.outcome)}});
        }
        if (reply.outcome != OrderOutcome::Unanswered) {
            this->holds.delayUntil(this->clock.now() + unreachableDelay);
        }
    }
    this->checkTasks();
    this->keepHolds();
}

void HostCore::takeEnds(const HoldReply &reply)
{
    constexpr double weight = 0.1; // about the last ten tasks
    for (const auto &end : reply.ended) {
        if (end.number <= this->seenEnds) {
            continue;
        }
        this->seenEnds = end.number;
        const auto known = this->byName.find(end.task);
        if (known == this->byName.end() || this->tasks.at(known->second).run != end.run) {
            continue;
        }
        const auto id = known->second;
        const auto &task = this->tasks.at(id);
        const auto runTime = this->clock.now() - task.startedAt;
        if (end.how == RunEnd::Done) {
            this->stoppedRuns.noteEnd(slownessOf(task.estimate, runTime), this->runTimes.slowness());
            this->runTimes.learn(task.estimate, runTime);
            this->runLatency.observe(runTime);
            this->failureShare -= weight * this->failureShare;
            this->finish(id, wire::TaskPhase::SUCCEEDED, {}, runTime);
        } else if (end.how == RunEnd::Failed) {
            this->failureShare += weight * (1 - this->failureShare);
            this->finish(id, wire::TaskPhase::FAILED, "it failed", runTime);
        } else {
            this->finish(id, wire::TaskPhase::ENDED, end.how == RunEnd::Stopped ? "stopped" : "lapsed", runTime);
        }
    }
}

void HostCore::takeRunning(const HoldReply &reply, Time sentAt)
{
    bool isForeign = false;
    std::map<TaskName, std::int64_t> listed;
    for (const auto &running : reply.running) {
        listed[running.task] = running.run;
        const auto known = this->byName.find(running.task);
        if (known == this->byName.end() || this->tasks.at(known->second).run != running.run) {
            const auto last = this->lastRuns.find(running.task);
            const bool isOwn
                = last != this->lastRuns.end() && !last->second.isForeign && running.run <= last->second.run;
            if (isOwn && sentAt <= last->second.at) {
                continue; // answers overtake each other, and a newer one has shown the end of this run
            }
            isForeign = true;
            this->stopForeign(running);
            continue;
        }
        auto &task = this->tasks.at(known->second);
        task.progress.observe(running.percent, this->clock.now());
        if (task.phase == Phase::Starting || task.phase == Phase::Doubtful) {
            task.phase = Phase::Running;
            task.changedAt = this->clock.now(); // an earlier question may be answered by what was before the start
            task.isStopSent = false;
            task.stoppedAt.reset();
        }
    }
    // A run that an answered hold does not list, although it was accepted or ruled out before, is over.
    std::vector<std::int64_t> gone;
    for (auto &[id, task] : this->tasks) {
        if (task.phase == Phase::Starting && task.startedAt + this->options.startDoubt < sentAt
            && listed.count(task.name) == 0) {
            this->doubt(task);
        }
        const bool isCertain = (task.phase == Phase::Running && task.changedAt < sentAt)
            || (task.phase == Phase::Doubtful && task.stoppedAt && *task.stoppedAt < sentAt);
        if (isCertain && listed.count(task.name) == 0 && reply.ended.size() < endsPage) {
            gone.push_back(id);
        }
    }
    for (const auto id : gone) {
        this->finish(id, wire::TaskPhase::ENDED, "it does not run any more");
    }
    if (this->isClean != !isForeign) {
        this->isClean = !isForeign;
        logEvent(part, this->isClean ? "server_clean" : "server_has_foreign_runs", {{"server", this->life()}});
    }
}

void HostCore::warnOfLateRuns()
{
    const auto now = this->clock.now();
    const auto current = this->currentSlowness();
    for (auto &[id, task] : this->tasks) {
        const auto remaining = task.phase == Phase::Running ? task.progress.remaining(now) : std::nullopt;
        if (!remaining || task.mustStop || now - task.warnedAt < warningInterval) {
            continue;
        }
        const auto end = now + *remaining;
        if ((now < task.objective && end > task.objective) || end > task.giveUpAt) {
            task.warnedAt = now;
            const auto run = runPart(end - task.startedAt);
            const auto work = static_cast<double>(run.count()) / current;
            wire::TaskReport report;
            report.phase = wire::TaskPhase::RUNNING;
            report.remainingMicros = remaining->count();
            report.leastRemainingMicros = task.progress.leastRemaining(now).value_or(*remaining).count();
            report.workMicros = static_cast<std::int64_t>(work);
            this->report(task, std::move(report));
        }
    }
}

void HostCore::stopForeign(const RunningTask &running)
{
    logEvent(part, "stop_foreign", {{"job", running.task.job}, {"task", running.task.index}, {"run", running.run}});
    auto &last = this->lastRuns[running.task];
    last = {std::max(last.run, running.run), this->clock.now(), true};
    StopOrder order;
    order.server = this->registered->server;
    order.task = running.task;
    order.run = running.run;
    order.fence = this->fence;
    this->server.stop(order, [](const OrderReply &) {}); // the next hold shows whether it worked
}

} // namespace agatedrum
