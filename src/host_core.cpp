#include "host_core_p.h"

#include "base_event_p.h"
#include "host_resources_p.h"

#include <algorithm>
#include <climits>
#include <utility>

namespace agatedrum {

namespace {

constexpr auto component = "host";
/// Time for which a stopping host still refuses orders: entries learn of the stop, and the orders that they sent before
/// arrive.
constexpr Millis stopNoticeTime {250};
/// Number of priorities, from the most urgent one, for which reports contain the start delay.
constexpr int reportedPriorities = 3;
constexpr int leastUrgent = INT_MAX;
constexpr Micros maxAcceptedDelay = Millis(10); ///< longer than a detour through the entry to another host

} // namespace

HostCore::HostCore(MessageSinkI &sink, const ClockI &clock, MemberLink &link, TaskServerI &server, HostOptions options)
    : sink(sink)
    , clock(clock)
    , link(link)
    , server(server)
    , options(std::move(options))
    , registrations(this->options.serverTimeout)
    , queue(*this->options.overloadPolicy)
    , ramp(this->options.rampTime)
    , entries(this->options.leaseTerms.entryLease(), this->options.listenTime, this->options.repeatInterval)
    , audience(this->options.summaryInterval)
    , witness(this->options.lateStartTime, this->options.leaseTerms.entryLease())
{
}

// Messages.

void HostCore::handle(const IncomingMessage &incoming)
{
    if (this->link.handle(incoming)) {
        this->updateEvacuation();
        return;
    }
    const std::lock_guard lock(this->mutex);
    if (const auto *run = std::get_if<wire::RunTasks>(&incoming.payload)) {
        this->apply(*run, incoming);
    } else if (const auto *stop = std::get_if<wire::StopTasks>(&incoming.payload)) {
        this->apply(*stop, incoming);
    } else if (const auto *contact = std::get_if<wire::HostContact>(&incoming.payload)) {
        this->apply(*contact, incoming);
    } else if (const auto *starts = std::get_if<wire::StartsInDoubt>(&incoming.payload)) {
        this->apply(*starts, incoming);
    } else if (const auto *elsewhere = std::get_if<wire::OrdersElsewhere>(&incoming.payload)) {
        this->apply(*elsewhere, incoming);
    }
    this->startWaitingTasks();
    this->sendReports();
}

void HostCore::updateEvacuation()
{
    auto domains = this->link.evacuatedDomains();
    const std::lock_guard lock(this->mutex);
    if (domains == this->evacuatedDomains) {
        return;
    }
    const bool wasEvacuated = this->isEvacuated();
    this->evacuatedDomains = std::move(domains);
    if (!this->registered || this->isEvacuated() == wasEvacuated) {
        return;
    }
    logEvent(component, wasEvacuated ? "returned_to_service" : "evacuated",
             {{"domain", this->registered->failureDomain},
              {"server", this->instanceName()},
              {"view", this->link.viewVersion()},
              {"waiting", this->queue.waiting().size()},
              {"running", this->tasks.size() - this->queue.waiting().size()}});
    if (wasEvacuated) {
        this->ramp.begin(this->clock.now());
    } else {
        ++this->counters.evacuations;
        this->ramp.cancel();
        this->refuseUnfit();
        this->sendReports();
    }
    this->announce();
}

bool HostCore::isEvacuated() const
{
    return this->registered && agatedrum::isEvacuated(this->evacuatedDomains, this->registered->failureDomain);
}

void HostCore::apply(const wire::HostContact &message, const IncomingMessage &incoming)
{
    if (message.hostIncarnation == this->options.self.incarnation) {
        this->applyContact(incoming, message.heardAtMicros, message.reportsSeen);
    }
}

bool HostCore::applyContact(const IncomingMessage &incoming, std::int64_t heardAtMicros, std::int64_t reportsSeen)
{
    const auto now = this->clock.now();
    // An entry that was greeted must not learn the same again: what it learns counts from then.
    if (!this->entries.isKnown(incoming.sender) && !this->audience.hasReportedTo(incoming.sender, incoming.address)) {
        this->greetNewEntry(incoming.address);
    }
    const bool wasListening = this->entries.isListening(incoming.sender, now);
    const bool hasLease = this->entries.handleContact(incoming, heardAtMicros, reportsSeen, now);
    if (!wasListening && this->entries.isListening(incoming.sender, now)) {
        logEvent(component, "listener",
                 {{"entry", incoming.sender.name}, {"incarnation", incoming.sender.incarnation}});
        this->reportToListener(incoming.address);
    }
    return hasLease;
}

void HostCore::apply(const wire::StartsInDoubt &message, const IncomingMessage &incoming)
{
    logEvent(component, "starts_in_doubt", {{"from", incoming.sender.name}, {"jobs", message.jobs.size()}});
    this->sendToEntries(message);
}

void HostCore::apply(const wire::OrdersElsewhere &message, const IncomingMessage &incoming)
{
    this->witness.record(incoming.sender, message.job, message.places,
                         this->clock.now() + Micros(message.timeLeftMicros));
}

void HostCore::greetNewEntry(const wire::Endpoint &entry)
{
    wire::StartsInDoubt message;
    message.jobs = this->witness.learned(this->clock.now());
    if (!message.jobs.empty()) {
        this->sink.send(entry, std::move(message));
    }
}

void HostCore::apply(const wire::RunTasks &message, const IncomingMessage &incoming)
{
    const auto now = this->clock.now();
    const bool isForThisProcess = message.hostIncarnation == this->options.self.incarnation;
    if (!isForThisProcess) {
        return; // the reports of this process tell the entry that the earlier process no longer exists
    }
    const bool isLeaseValid = this->applyContact(incoming, message.heardAtMicros, message.reportsSeen);
    this->witness.record(incoming.sender, message.job, message.elsewhere, now + Micros(message.timeLeftMicros));
    const auto spec = std::make_shared<const std::string>(message.spec);
    std::int64_t maxEstimateMicros = 0;
    for (const auto &order : message.orders) {
        maxEstimateMicros = std::max(maxEstimateMicros, order.estimateMicros);
    }
    // startWithinMicros is the latest start of the longest task.
    const auto objective = now + Micros(message.startWithinMicros + maxEstimateMicros);
    for (const auto &order : message.orders) {
        if (this->handleDuplicate(message.job, order, incoming.sender)) {
            continue; // not refused even if it was delayed: its task may run under a lease that newer messages renewed
        }
        if (!isLeaseValid) {
            this->refuse(incoming.sender, message.job, order,
                         "the lease of the entry expired before the order arrived");
        } else {
            this->acceptOrder(message, order, incoming.sender, spec, objective);
        }
    }
}

bool HostCore::handleDuplicate(const std::string &job, const wire::TaskOrder &order, const wire::ProcessId &entry)
{
    if (this->entries.hasFinished(entry, order.order)) {
        return true; // its final report was queued and is resent until acknowledged
    }
    const auto known = this->idByName.find({job, order.index});
    if (known == this->idByName.end()) {
        return false;
    }
    const auto &task = this->tasks.at(known->second);
    if (task.entry != entry || task.order != order.order) {
        return false;
    }
    this->reportPhase(task);
    return true;
}

HostCore::HostTask HostCore::makeTask(const wire::RunTasks &message, const wire::TaskOrder &order,
                                      const wire::ProcessId &entry)
{
    HostTask task;
    task.name = {message.job, order.index};
    task.order = order.order;
    task.entry = entry;
    task.serviceName = message.serviceName;
    task.needs = {order.demand, order.requiredLabel, order.group, order.maxPerHost};
    task.priority = message.priority;
    task.isSuspected = order.suspected;
    task.estimate = Micros(std::max<std::int64_t>(order.estimateMicros, 1000));
    return task;
}

void HostCore::acceptOrder(const wire::RunTasks &message, const wire::TaskOrder &order, const wire::ProcessId &entry,
                           const std::shared_ptr<const std::string> &spec, Time objective)
{
    const TaskName name {message.job, order.index};
    if (this->idByName.count(name) > 0) {
        this->refuse(entry, message.job, order, "an earlier run of the task has not ended yet");
        return;
    }
    if (!this->isAccepting()) {
        this->refuse(entry, message.job, order, "the backend server is not accepting tasks");
        return;
    }
    auto task = makeTask(message, order, entry);
    if (const auto reason = this->refusalReason(task); !reason.empty()) {
        this->refuse(entry, message.job, order, std::string(reason));
        return;
    }
    if (!order.mayWait && !this->startsSoon(order.demand, message.priority)) {
        this->refuse(entry, message.job, order, "the backend server has no free capacity for the task");
        return;
    }
    const auto now = this->clock.now();
    const auto id = ++this->lastTaskId;
    task.spec = spec;
    task.objective = objective;
    task.abandonAt = now + Micros(message.timeLeftMicros);
    task.changedAt = now;
    task.acceptedAt = now;
    this->lastDemand = order.demand;
    CapacityClaim waiting;
    waiting.id = id;
    waiting.priority = message.priority;
    waiting.demand = order.demand;
    waiting.expectedRunTime = this->runTimeEstimator.expectedTotalTime(task.estimate);
    waiting.latestStart = objective - waiting.expectedRunTime;
    waiting.deadline = task.abandonAt;
    waiting.waitingSince = now;
    this->queue.add(waiting);
    this->idByName[name] = id;
    this->tasks.emplace(id, std::move(task));
    this->startWaitingTasks();
    if (const auto accepted = this->tasks.find(id); accepted != this->tasks.end()) {
        // A run is reported once its start is known, since the entry must know which start orders may be late.
        if (accepted->second.phase == Phase::Waiting) {
            this->reportPhase(accepted->second);
        }
    }
}

void HostCore::apply(const wire::StopTasks &message, const IncomingMessage &incoming)
{
    for (const auto index : message.indexes) {
        const auto found = this->idByName.find({message.job, index});
        if (message.hostIncarnation == this->options.self.incarnation && found != this->idByName.end()
            && this->tasks.at(found->second).entry == incoming.sender) {
            const auto id = found->second;
            this->stopTask(id, this->tasks.at(id), this->clock.now() + this->options.leaseTerms.orderedStopTime(),
                           "stopped by the entry");
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
    logEvent(component, "order_refused",
             {{"job", job}, {"task", order.index}, {"entry", entry.name}, {"order", order.order}, {"reason", reason}});
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
    report.serverLost = task.phase == Phase::ServerReplaced;
    this->entries.addReport(task.entry, std::move(report));
}

void HostCore::reportPhase(const HostTask &task)
{
    this->report(task, task.isStarted ? wire::TaskPhase::RUNNING : wire::TaskPhase::QUEUED, {});
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
    report.acceptingMicros = report.accepting ? (now - this->notAcceptingAt).count() : 0;
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
    report.evacuated = this->isEvacuated();
    report.reserved = plus(this->reserved(), this->ramp.withheld(this->registered->capacity, now));
    const auto forecast = this->capacityForecast();
    const auto demand = this->demandBeyond(freeResources(forecast));
    report.startDelayMicros = this->queue.startDelay(forecast, demand, leastUrgent, now).count();
    for (int priority = 0; this->options.overloadPolicy->heedsPriority && priority < reportedPriorities; ++priority) {
        report.urgentDelayMicros.push_back(this->queue.startDelay(forecast, demand, priority, now).count());
        report.keptCpuMillis.push_back(this->options.overloadPolicy->keptCpuMillis(forecast, priority));
    }
    return report;
}

bool HostCore::startsSoon(const wire::Resources &demand, int priority) const
{
    const auto forecast = this->capacityForecast();
    return this->queue.couldStart(forecast, demand, priority)
        || this->queue.startDelay(forecast, demand, priority, this->clock.now()) <= maxAcceptedDelay;
}

wire::Resources HostCore::demandBeyond(const wire::Resources &free) const
{
    // A demand that was accepted when the capacity was larger would never fit.
    auto demand = fits(this->lastDemand, this->registered->capacity) ? this->lastDemand : wire::Resources();
    if (fits(demand, free)) {
        demand.cpuMillis = free.cpuMillis + 1;
    }
    return demand;
}

CapacityForecast HostCore::capacityForecast() const
{
    const auto now = this->clock.now();
    CapacityForecast forecast;
    forecast.capacity = this->registered->capacity;
    auto &reserving = forecast.reserving;
    for (const auto &[id, task] : this->tasks) {
        if (task.phase == Phase::Waiting) {
            continue;
        }
        // Without known progress, a task is expected to need at least another quarter of its expected total time.
        const auto expected = this->runTimeEstimator.expectedTotalTime(task.estimate);
        const auto estimatedRemaining = std::max<Micros>(expected - (now - task.startedAt), expected / 4);
        reserving.push_back(
            {task.needs.demand, task.progress.remaining(now).value_or(estimatedRemaining), task.priority});
    }
    if (const auto rampTime = this->ramp.remaining(now); rampTime > Micros(0)) {
        reserving.push_back({this->ramp.withheld(this->registered->capacity, now), rampTime, leastUrgent});
    }
    forecast.meanCpuMillis = this->priorityUse.meanCpuMillis();
    return forecast;
}

void HostCore::announce()
{
    this->nextReport = this->clock.now() + this->options.reportInterval;
    auto report = this->hostReport();
    // Each order is listed in two reports, since one may be lost.
    report.unanswered = std::exchange(this->announcedUnanswered, std::exchange(this->unanswered, {}));
    report.unanswered.insert(report.unanswered.end(), this->announcedUnanswered.begin(),
                             this->announcedUnanswered.end());
    report.crashes = this->crashes.notices(this->clock.now());
    const bool isUrgent = this->urgentReports > 0;
    this->urgentReports -= isUrgent ? 1 : 0;
    const auto known = this->link.entries();
    report.entryCount = static_cast<std::int32_t>(known.size());
    const ReportOccasion occasion {this->clock.now(), report.accepting && !report.evacuated,
                                   isUrgent || !report.unanswered.empty()};
    for (const auto &recipient : this->audience.recipients(known, this->entries, occasion)) {
        auto message = report;
        message.summary = recipient.isSummary;
        message.sequence = ++this->reportSequence;
        this->sink.send(recipient.address, std::move(message));
        if (recipient.isIntroduction) {
            this->greetNewEntry(recipient.address);
        }
    }
}

void HostCore::reportToListener(const wire::Endpoint &entry)
{
    auto report = this->hostReport();
    report.crashes = this->crashes.notices(this->clock.now());
    report.entryCount = static_cast<std::int32_t>(this->link.entries().size());
    report.sequence = ++this->reportSequence;
    this->sink.send(entry, std::move(report));
}

void HostCore::sendToEntries(const wire::StartsInDoubt &message)
{
    this->witness.learn(message.jobs, this->clock.now());
    for (const auto &entry : this->link.entries()) {
        this->sink.send(entry.address, message);
    }
}

void HostCore::reportWitnessed()
{
    wire::StartsInDoubt message;
    message.jobs = this->witness.takeLost(this->entries, this->clock.now());
    if (!message.jobs.empty()) {
        logEvent(component, "entry_lost_with_orders", {{"jobs", message.jobs.size()}});
        this->sendToEntries(message);
    }
}

// Implementation of CoreI.

void HostCore::tick()
{
    MemberReport memberReport;
    {
        const std::lock_guard lock(this->mutex);
        const auto now = this->clock.now();
        this->recordAccepting();
        this->applyDeferredRegistration();
        this->checkTasks();
        this->refuseGivenUp();
        if (this->registered && this->options.overloadPolicy->heedsPriority) {
            this->priorityUse.observe(this->capacityForecast().reserving, now);
        }
        this->reportWitnessed();
        this->sendDuePolls();
        this->startWaitingTasks();
        this->sendReports();
        const bool isChanged = this->isAccepting() != this->wasAccepting;
        if (isChanged) {
            this->wasAccepting = !this->wasAccepting;
            logEvent(component, this->wasAccepting ? "accepting" : "not_accepting", {{"server", this->instanceName()}});
            if (!this->wasAccepting) {
                this->refuseWaiting("the backend server is not accepting tasks");
            }
        }
        if (isChanged || now >= this->nextReport) {
            this->announce();
            this->entries.removeUnresponsive(now);
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
    return {{"server", this->instanceName()},
            {"accepting", this->isAccepting()},
            {"fence", this->fence},
            {"slowness", this->runTimeEstimator.slowness()},
            {"failureShare", this->failureShare},
            {"tasks", tasks},
            {"counters",
             {{"host_tasks_started_total", this->counters.started},
              {"host_tasks_succeeded_total", this->counters.succeeded},
              {"host_tasks_failed_total", this->counters.failed},
              {"host_tasks_ended_total", this->counters.ended},
              {"host_tasks_refused_total", this->counters.refused},
              {"host_starts_unanswered_total", this->counters.unanswered},
              {"host_entry_leases_lapsed_total", this->counters.leasesExpired},
              {"host_server_lives_total", this->counters.serverInstances},
              {"host_servers_lost_total", this->counters.serversLost},
              {"host_tasks_waiting", this->queue.waiting().size()},
              {"host_cpu_millis_reserved", reserved.cpuMillis},
              {"host_slowness", this->runTimeEstimator.slowness()},
              {"host_failure_share", this->failureShare},
              {"host_tasks_given_up_total", this->counters.givenUp},
              {"host_evacuations_total", this->counters.evacuations},
              {"host_evacuated", this->isEvacuated() ? 1 : 0},
              {"host_accepting", this->isAccepting() ? 1 : 0}}}};
}

std::vector<prometheus::MetricFamily> HostCore::latencyHistograms() const
{
    return {this->waitLatency.collect(), this->startLatency.collect(), this->runLatency.collect()};
}

bool HostCore::isReady() const
{
    const std::lock_guard lock(this->mutex);
    return this->isAccepting();
}

void HostCore::beginStop()
{
    const std::lock_guard lock(this->mutex);
    if (this->isStopping) {
        return;
    }
    this->isStopping = true;
    this->stopsAt = this->clock.now() + stopNoticeTime;
    this->refuseWaiting("the host is stopping");
    this->sendReports();
    this->announce();
}

bool HostCore::isDrained() const
{
    const std::lock_guard lock(this->mutex);
    return this->tasks.empty() && this->clock.now() >= this->stopsAt;
}

std::int64_t HostCore::configNumber() const
{
    return this->link.configNumber();
}

} // namespace agatedrum
