#include "host_core_p.h"

#include "base_event_p.h"
#include "host_room_p.h"

#include <algorithm>
#include <utility>

namespace agatedrum {

namespace {

constexpr auto part = "host";
/// A hold whose answer is lost hides all ends until it times out, so it waits for ends for a short time only.
constexpr Millis holdWait {60};
constexpr Millis unreachableDelay {100}; ///< between holds while no connection can be made
constexpr Millis runMemory {30000}; ///< above the time after which a caller may send a job again
constexpr Millis stopRepeat {150};
constexpr Micros worthWaiting = Millis(10); ///< longer than the way to another host through the entry
constexpr Millis warningInterval {150}; ///< between warnings of one task
constexpr std::size_t endsPage = 100; ///< an answer with more ends may not have them all
constexpr std::int64_t runStep = 8; ///< skipped when a run is too low for a backend server that remembers more

std::int64_t millis(Micros time)
{
    return std::chrono::duration_cast<Millis>(time).count();
}

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

HostCore::HostCore(MessageSinkI &sink, const ClockI &clock, MemberLink &link, TaskServerI &server, HostOptions options)
    : sink(sink)
    , clock(clock)
    , link(link)
    , server(server)
    , options(std::move(options))
    , entries(this->options.entryLease, this->options.repeatInterval)
{
}

// Messages.

void HostCore::handle(const Incoming &incoming)
{
    if (this->link.handle(incoming)) {
        return;
    }
    const std::lock_guard lock(this->mutex);
    if (const auto *run = std::get_if<wire::RunTasks>(&incoming.payload)) {
        this->apply(*run, incoming);
    } else if (const auto *stop = std::get_if<wire::StopTasks>(&incoming.payload)) {
        this->apply(*stop, incoming);
    } else if (const auto *contact = std::get_if<wire::HostContact>(&incoming.payload)) {
        this->apply(*contact, incoming);
    }
    this->startWaiting();
    this->sendReports();
}

void HostCore::apply(const wire::HostContact &message, const Incoming &incoming)
{
    if (message.hostIncarnation == this->options.self.incarnation) {
        this->entries.contact(incoming, message.heardAtMicros, message.reportsSeen, this->clock.now());
    }
}

void HostCore::apply(const wire::RunTasks &message, const Incoming &incoming)
{
    const auto now = this->clock.now();
    const bool isForThis = message.hostIncarnation == this->options.self.incarnation;
    if (!isForThis) {
        return; // the entry learns from this process's reports that the earlier one has gone
    }
    const bool isFresh = this->entries.contact(incoming, message.heardAtMicros, message.reportsSeen, now);
    const auto spec = std::make_shared<const std::string>(message.spec);
    std::int64_t longest = 0;
    for (const auto &order : message.orders) {
        longest = std::max(longest, order.estimateMicros);
    }
    // The time to start is that of the longest task.
    const auto objective = now + Micros(message.startWithinMicros + longest);
    for (const auto &order : message.orders) {
        if (!isFresh) {
            this->refuse(incoming.sender, message.job, order, "the order is older than the entry's lease");
        } else {
            this->takeOrder(message, order, incoming.sender, spec, objective);
        }
    }
}

void HostCore::takeOrder(const wire::RunTasks &message, const wire::TaskOrder &order, const wire::ProcessId &entry,
                         const std::shared_ptr<const std::string> &spec, Time objective)
{
    if (this->entries.hasFinished(entry, order.order)) {
        return; // a repeated order; its report is on the way
    }
    const TaskName name {message.job, order.index};
    if (const auto known = this->byName.find(name); known != this->byName.end()) {
        const auto &task = this->tasks.at(known->second);
        if (task.entry == entry && task.order == order.order) {
            this->report(task, task.phase == Phase::Waiting ? wire::TaskPhase::QUEUED : wire::TaskPhase::RUNNING, {});
        } else {
            this->refuse(entry, message.job, order, "an earlier run of the task has not ended");
        }
        return;
    }
    if (!this->isAccepting() || message.serviceName != this->registered->serviceName) {
        this->refuse(entry, message.job, order, "the backend server takes no tasks now");
        return;
    }
    if (!fits(order.demand, this->registered->capacity)) {
        this->refuse(entry, message.job, order, "the demand exceeds the backend server");
        return;
    }
    if (!order.mayWait && this->startDelayOf(order.demand) > worthWaiting) {
        this->refuse(entry, message.job, order, "there is no room for it now");
        return;
    }
    const auto now = this->clock.now();
    const auto id = ++this->lastId;
    HostTask task;
    task.name = name;
    task.order = order.order;
    task.entry = entry;
    task.spec = spec;
    task.demand = order.demand;
    task.estimate = Micros(std::max<std::int64_t>(order.estimateMicros, 1000));
    task.objective = objective;
    task.giveUpAt = now + Micros(message.timeLeftMicros);
    task.changedAt = now;
    task.takenAt = now;
    this->commonDemand = order.demand;
    WaitingTask waiting;
    waiting.id = id;
    waiting.priority = message.priority;
    waiting.demand = order.demand;
    waiting.expected = this->runTimes.expected(task.estimate);
    waiting.latestStart = objective - waiting.expected;
    this->queue.add(waiting);
    this->byName[name] = id;
    this->tasks.emplace(id, std::move(task));
    this->startWaiting();
    const auto &taken = this->tasks.at(id);
    this->report(taken, taken.phase == Phase::Waiting ? wire::TaskPhase::QUEUED : wire::TaskPhase::RUNNING, {});
}

void HostCore::apply(const wire::StopTasks &message, const Incoming &incoming)
{
    for (const auto index : message.indexes) {
        const auto found = this->byName.find({message.job, index});
        if (message.hostIncarnation == this->options.self.incarnation && found != this->byName.end()
            && this->tasks.at(found->second).entry == incoming.sender) {
            const auto id = found->second;
            this->stopTask(id, this->tasks.at(id), "the entry wants it no more");
        }
    }
}

void HostCore::refuse(const wire::ProcessId &entry, const std::string &job, const wire::TaskOrder &order,
                      const std::string &reason)
{
    HostTask task;
    task.name = {job, order.index};
    task.order = order.order;
    task.entry = entry;
    ++this->counters.refused;
    this->report(task, wire::TaskPhase::REFUSED, reason);
}

void HostCore::report(const HostTask &task, wire::TaskPhase::type phase, const std::string &reason, Micros runTime)
{
    wire::TaskReport report;
    report.phase = phase;
    report.reason = reason;
    report.runMicros = runTime.count();
    this->report(task, std::move(report));
}

void HostCore::report(const HostTask &task, wire::TaskReport report)
{
    report.job = task.name.job;
    report.index = task.name.index;
    report.order = task.order;
    this->entries.report(task.entry, std::move(report));
}

void HostCore::sendReports()
{
    const auto now = this->clock.now();
    auto due = this->entries.takeDue(now);
    if (due.empty()) {
        return;
    }
    const auto host = this->hostReport();
    for (auto &[address, message] : due) {
        message.host = host;
        message.host.sequence = ++this->reportSequence;
        this->sink.send(address, std::move(message));
    }
}

wire::HostReport HostCore::hostReport() const
{
    wire::HostReport report;
    const auto now = this->clock.now();
    report.sentAtMicros = now.time_since_epoch().count();
    report.accepting = this->isAccepting();
    report.slowness = this->currentSlowness();
    report.failureShare = this->failureShare;
    if (!this->registered) {
        return report;
    }
    report.serviceName = this->registered->serviceName;
    report.server = this->registered->server.id;
    report.capacity = this->registered->capacity;
    report.labels = this->registered->labels;
    report.failureDomain = this->registered->failureDomain;
    report.reserved = this->reserved();
    report.startDelayMicros = this->startDelayOf(this->commonDemand).count();
    return report;
}

Micros HostCore::startDelayOf(const wire::Resources &demand) const
{
    const auto now = this->clock.now();
    std::vector<OccupyingTask> occupying;
    for (const auto &[id, task] : this->tasks) {
        if (task.phase == Phase::Waiting) {
            continue;
        }
        // While its progress is not known, a task past its estimate is expected to last a quarter of it more.
        const auto expected = this->runTimes.expected(task.estimate);
        const auto left = std::max<Micros>(expected - (now - task.startedAt), expected / 4);
        occupying.push_back({task.demand, task.progress.remaining(now).value_or(left)});
    }
    return expectedStartDelay(this->registered->capacity, occupying, this->queue.waitingInTime(now), demand);
}

void HostCore::sendHostReport(const std::vector<wire::Endpoint> &to)
{
    const auto report = this->hostReport();
    for (const auto &address : to) {
        auto copy = report;
        copy.sequence = ++this->reportSequence;
        this->sink.send(address, std::move(copy));
    }
}

// Tasks.

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

void HostCore::startWaiting()
{
    if (!this->isAccepting() || this->queue.waiting().empty()) {
        return;
    }
    for (const auto id :
         this->queue.takeStartable(minus(this->registered->capacity, this->reserved()), this->clock.now())) {
        this->start(id, this->tasks.at(id));
    }
}

void HostCore::start(std::int64_t id, HostTask &task)
{
    const auto now = this->clock.now();
    auto &last = this->lastRuns[task.name];
    task.run = std::max(task.run, last.first) + 1;
    last = {task.run, now};
    task.phase = Phase::Starting;
    task.startedAt = now;
    task.changedAt = now;
    task.progress = RunProgress(now);
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

void HostCore::onStarted(std::int64_t id, const std::string &life, const OrderReply &reply)
{
    const auto found = this->tasks.find(id);
    if (found == this->tasks.end() || life != this->life()) {
        return;
    }
    auto &task = found->second;
    this->noteClock(reply.clockMs);
    if (task.phase != Phase::Starting) {
        return; // a hold has shown already what became of it
    }
    task.changedAt = this->clock.now();
    if (reply.outcome == OrderOutcome::Accepted) {
        ++this->counters.started;
        task.phase = Phase::Running;
        if (task.mustStop) {
            this->sendStop(id, task);
        }
        return;
    }
    if (reply.outcome == OrderOutcome::Unanswered) {
        ++this->counters.unanswered;
        logEvent(part, "start_unanswered", {{"job", task.name.job}, {"task", task.name.index}, {"run", task.run}});
        task.phase = Phase::Doubtful;
        return;
    }
    if (reply.outcome == OrderOutcome::Fenced) {
        this->fence = std::max(this->fence, reply.clockMs) + 1;
        this->isClean = false;
    } else if (reply.outcome == OrderOutcome::RunTooLow) {
        this->lastRuns[task.name].first += runStep;
    }
    this->finish(id, wire::TaskPhase::REFUSED, outcomeName(reply.outcome));
}

void HostCore::stopTask(std::int64_t id, HostTask &task, const std::string &reason)
{
    if (task.phase == Phase::Waiting) {
        this->finish(id, wire::TaskPhase::REFUSED, reason);
        return;
    }
    if (!task.mustStop) {
        task.mustStop = true;
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
    });
}

void HostCore::onStopped(std::int64_t id, const std::string &life, const OrderReply &reply)
{
    const auto found = this->tasks.find(id);
    if (found == this->tasks.end() || life != this->life()) {
        return;
    }
    auto &task = found->second;
    this->noteClock(reply.clockMs);
    if (reply.outcome == OrderOutcome::Accepted) {
        task.stoppedAt = this->clock.now();
    } else {
        task.isStopSent = false; // sent again by the next check
    }
}

void HostCore::finish(std::int64_t id, wire::TaskPhase::type phase, const std::string &reason, Micros runTime)
{
    auto node = this->tasks.extract(id);
    const auto &task = node.mapped();
    this->queue.remove(id);
    this->byName.erase(task.name);
    this->counters.succeeded += phase == wire::TaskPhase::SUCCEEDED ? 1 : 0;
    this->counters.failed += phase == wire::TaskPhase::FAILED ? 1 : 0;
    this->counters.ended += phase == wire::TaskPhase::ENDED ? 1 : 0;
    this->counters.refused += phase == wire::TaskPhase::REFUSED ? 1 : 0;
    logEvent(part, "task_ended",
             {{"job", task.name.job},
              {"task", task.name.index},
              {"run", task.run},
              {"outcome", phaseName(phase)},
              {"waitMs", task.run == 0 ? 0 : millis(task.startedAt - task.takenAt)},
              {"runMs", millis(runTime)},
              {"estimateMs", millis(task.estimate)},
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
        last = now - last->second.second > runMemory ? this->lastRuns.erase(last) : std::next(last);
    }
}

double HostCore::currentSlowness() const
{
    const auto now = this->clock.now();
    std::vector<double> present;
    for (const auto &[id, task] : this->tasks) {
        const auto total = task.phase == Phase::Running ? task.progress.total(now) : std::nullopt;
        if (total) {
            present.push_back(slownessOf(task.estimate, *total));
        }
    }
    return presentSlowness(this->runTimes.slowness(), std::move(present));
}

// Backend server.

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
    this->keepHold();
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
    this->isHolding = false;
    this->heldAt = Time {};
    this->nextHold = Time {};
    this->runTimes = RunTimes();
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

void HostCore::keepHold()
{
    const auto now = this->clock.now();
    if (!this->registered || this->isHolding || now < this->nextHold) {
        return;
    }
    this->isHolding = true;
    this->holdSentAt = now;
    HoldOrder order;
    order.server = this->registered->server;
    order.fence = this->fence;
    order.seenEnds = this->seenEnds;
    // Runs that this process did not start are not kept.
    order.holdUntilMs = this->isClean ? this->serverClock(this->options.serverHold) : 0;
    order.wait = this->isClean ? holdWait : Millis(0);
    this->server.hold(order, [this, now, life = this->life()](const HoldReply &reply) {
        const std::lock_guard lock(this->mutex);
        this->onHeld(life, now, reply);
        this->startWaiting();
        this->sendReports();
    });
}

void HostCore::onHeld(const std::string &life, Time sentAt, const HoldReply &reply)
{
    if (life != this->life()) {
        return;
    }
    this->isHolding = false;
    this->noteClock(reply.clockMs);
    const auto previous = std::exchange(this->lastHold, reply.outcome);
    if (reply.outcome == OrderOutcome::Accepted) {
        this->heldAt = std::max(this->heldAt, sentAt);
        this->takeEnds(reply);
        this->takeRunning(reply, sentAt);
        this->warnOfLateRuns();
        this->nextHold = Time {};
    } else {
        if (reply.outcome == OrderOutcome::Fenced) {
            this->fence = std::max(this->fence, reply.clockMs) + 1;
            this->isClean = false;
        }
        if (reply.outcome != previous) {
            logEvent(part, "hold_failed", {{"server", this->life()}, {"outcome", outcomeName(reply.outcome)}});
        }
        const bool isLost = reply.outcome == OrderOutcome::Unanswered;
        this->nextHold = isLost ? Time {} : this->clock.now() + unreachableDelay;
    }
    this->checkTasks();
    this->keepHold();
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
            this->runTimes.learn(task.estimate, runTime);
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
            isForeign = true;
            this->stopForeign(running);
            continue;
        }
        auto &task = this->tasks.at(known->second);
        task.progress.observe(running.percent, this->clock.now());
        if (task.phase == Phase::Starting || task.phase == Phase::Doubtful) {
            task.phase = Phase::Running;
            task.isStopSent = false;
            task.stoppedAt.reset();
        }
    }
    // A run that an answered hold does not list, although it was accepted or ruled out before, is over.
    std::vector<std::int64_t> gone;
    for (const auto &[id, task] : this->tasks) {
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
            const auto run = runPart(now + *remaining - task.startedAt);
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
    last = {std::max(last.first, running.run), this->clock.now()};
    StopOrder order;
    order.server = this->registered->server;
    order.task = running.task;
    order.run = running.run;
    order.fence = this->fence;
    this->server.stop(order, [](const OrderReply &) {}); // the next hold shows whether it worked
}

// CoreI.

void HostCore::tick()
{
    MemberReport memberReport;
    std::vector<wire::Endpoint> due;
    {
        const std::lock_guard lock(this->mutex);
        const auto now = this->clock.now();
        this->checkTasks();
        this->keepHold();
        this->startWaiting();
        this->sendReports();
        const bool isChanged = this->isAccepting() != this->wasAccepting;
        if (isChanged) {
            this->wasAccepting = !this->wasAccepting;
            logEvent(part, this->wasAccepting ? "accepting" : "not_accepting", {{"server", this->life()}});
            if (!this->wasAccepting) {
                this->refuseWaiting("the backend server takes no tasks now");
            }
        }
        if (isChanged || now >= this->nextReport) {
            this->nextReport = now + this->options.reportInterval;
            for (const auto &entry : this->link.view().entries) {
                due.push_back(entry.address);
            }
            this->sendHostReport(due);
            this->entries.forgetSilent(now);
        }
        memberReport.isLeaving = this->isStopping;
    }
    this->link.tick(memberReport);
}

nlohmann::json HostCore::dump() const
{
    const std::lock_guard lock(this->mutex);
    const auto reserved = this->reserved();
    nlohmann::json tasks = nlohmann::json::array();
    for (const auto &[id, task] : this->tasks) {
        tasks.push_back({{"job", task.name.job},
                         {"index", task.name.index},
                         {"run", task.run},
                         {"entry", task.entry.name},
                         {"waiting", task.phase == Phase::Waiting},
                         {"mustStop", task.mustStop}});
    }
    return {{"server", this->life()},
            {"accepting", this->isAccepting()},
            {"fence", this->fence},
            {"slowness", this->runTimes.slowness()},
            {"failureShare", this->failureShare},
            {"tasks", tasks},
            {"counters",
             {{"host_tasks_started_total", this->counters.started},
              {"host_tasks_succeeded_total", this->counters.succeeded},
              {"host_tasks_failed_total", this->counters.failed},
              {"host_tasks_ended_total", this->counters.ended},
              {"host_tasks_refused_total", this->counters.refused},
              {"host_starts_unanswered_total", this->counters.unanswered},
              {"host_entry_leases_lapsed_total", this->counters.leasesLapsed},
              {"host_server_lives_total", this->counters.serverLives},
              {"host_tasks_waiting", this->queue.waiting().size()},
              {"host_cpu_millis_reserved", reserved.cpuMillis},
              {"host_slowness", this->runTimes.slowness()},
              {"host_failure_share", this->failureShare},
              {"host_accepting", this->isAccepting() ? 1 : 0}}}};
}

bool HostCore::isReady() const
{
    const std::lock_guard lock(this->mutex);
    return this->isAccepting();
}

void HostCore::beginStop()
{
    const std::lock_guard lock(this->mutex);
    this->isStopping = true;
    this->refuseWaiting("the host stops");
    this->sendReports();
}

bool HostCore::isDrained() const
{
    const std::lock_guard lock(this->mutex);
    return this->tasks.empty();
}

std::int64_t HostCore::configNumber() const
{
    return this->link.configNumber();
}

} // namespace agatedrum
