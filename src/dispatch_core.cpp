#include "dispatch_core_p.h"

#include "base_event_p.h"
#include "dispatch_relocation_p.h"
#include "host_room_p.h"

#include <algorithm>
#include <set>
#include <utility>

namespace agatedrum {

namespace {

constexpr auto part = "dispatch";
/// Delay before a task that was refused several times is placed again, so that refusals do not chase each other.
constexpr Millis replaceDelay {5};
/// Refusals for want of room after which a task waits where it is placed; views of entries are at times that wrong.
constexpr int mostRefusals = 3;
/// Above the time for which a task can run on at a host that is cut off.
constexpr Millis stopMemory {3000};

const char *endName(JobEnd end)
{
    switch (end) {
    case JobEnd::Completed:
        return "completed";
    case JobEnd::Failed:
        return "failed";
    case JobEnd::Refused:
        return "refused";
    case JobEnd::Unfinished:
        break;
    }
    return "unfinished";
}

/// Removes a host from the choice, unless it is the only one.
void leaveOut(const std::string &host, std::vector<HostChoice> &choices)
{
    const auto isOther = [&host](const HostChoice &choice) { return choice.name != host; };
    if (std::any_of(choices.begin(), choices.end(), isOther)) {
        choices.erase(std::stable_partition(choices.begin(), choices.end(), isOther), choices.end());
    }
}

std::int64_t millis(Micros time)
{
    return std::chrono::duration_cast<Millis>(time).count();
}

} // namespace

DispatchCore::DispatchCore(MessageSinkI &sink, const ClockI &clock, MemberLink &link, DispatchOptions options)
    : sink(sink)
    , clock(clock)
    , link(link)
    , options(std::move(options))
    , admission(this->options.lateness)
    , stops(this->options.repeatInterval, stopMemory)
    , hosts(this->options.hostSilent)
{
}

PlacementGoal DispatchCore::goalOf(const Job &job, Time now)
{
    // A part of the objective is kept for the way of messages and for hosts that are slower than they were.
    constexpr double share = 0.9;
    PlacementGoal goal;
    goal.objective = Micros(static_cast<std::int64_t>(share * static_cast<double>((job.objective - now).count())));
    goal.deadline = std::max<Micros>(job.deadline - now, Millis(1));
    return goal;
}

void DispatchCore::deliver(const Answers &answers)
{
    for (const auto &[handler, outcome] : answers) {
        handler(outcome);
    }
}

std::shared_ptr<const RoutingConfig> DispatchCore::routing() const
{
    const std::lock_guard lock(this->mutex);
    return this->current;
}

void DispatchCore::onRouting(std::function<void(const RoutingConfig &)> listener)
{
    const std::lock_guard lock(this->mutex);
    this->routingListener = std::move(listener);
}

// Jobs.

void DispatchCore::submit(const RouteConfig &route, JobRequest request, JobHandler handler)
{
    Answers answers;
    {
        const std::lock_guard lock(this->mutex);
        ++this->counters.submitted;
        const auto now = this->clock.now();
        const auto id = request.id;
        if (this->jobs.count(id) > 0) {
            // The earlier request's caller has gone or will be answered; two runs of a task must not meet.
            ++this->counters.refused;
            logEvent(part, "refused", {{"job", id}, {"route", route.name}, {"reason", "already in flight here"}});
            answers.emplace_back(std::move(handler),
                                 JobOutcome {JobEnd::Unfinished, "the job is in flight here already", Millis(1000)});
        } else {
            Job job;
            job.handler = std::move(handler);
            job.service = route.serviceName;
            job.priority = route.priority;
            job.maxAttempts = route.maxAttempts;
            job.arrivedAt = now;
            const auto timeLeft
                = request.timeLeft > Millis(0) ? std::min(request.timeLeft, route.timeout) : route.timeout;
            job.deadline = now + timeLeft;
            job.objective = now + objectiveOf(route, request.tasks);
            job.tasks.resize(request.tasks.size());
            job.request = std::move(request);
            auto choices = this->choicesFor(job);
            const auto placements = placeTasks(job.request.tasks, goalOf(job, now), choices, this->options.farFactor);
            const auto refusal = this->admission.judge(route, job.request.tasks, placements, timeLeft);
            if (refusal || this->isClosedLocked() || this->jobs.size() >= this->options.maxJobs) {
                ++this->counters.refused;
                const auto reason = refusal ? refusal->reason : std::string("this entry takes no more jobs");
                const auto retryAfter = refusal ? refusal->retryAfter : Millis(1000);
                logEvent(part, "refused",
                         {{"job", id},
                          {"route", route.name},
                          {"reason", reason},
                          {"hosts", choices.size()},
                          {"retryAfterMs", retryAfter.count()},
                          {"config", this->link.configNumber()}});
                answers.emplace_back(std::move(job.handler), JobOutcome {JobEnd::Refused, reason, retryAfter});
            } else {
                auto &taken = this->jobs.emplace(id, std::move(job)).first->second;
                this->placeUnplaced(id, taken);
            }
        }
    }
    deliver(answers);
}

std::vector<HostChoice> DispatchCore::choicesFor(const Job &job) const
{
    auto choices = this->hosts.choices(job.service, this->clock.now());
    for (std::size_t i = 0; i < job.tasks.size(); ++i) {
        const auto group = static_cast<std::size_t>(job.request.tasks[i].group);
        for (auto &choice : choices) {
            if (!job.tasks[i].host.empty() && choice.name == job.tasks[i].host) {
                choice.groupTasks.resize(std::max(choice.groupTasks.size(), group + 1));
                ++choice.groupTasks[group];
            }
        }
    }
    return choices;
}

bool DispatchCore::placeUnplaced(const std::string &id, Job &job)
{
    const auto now = this->clock.now();
    std::vector<std::int32_t> indexes;
    std::vector<TaskRequest> wanted;
    for (std::size_t i = 0; i < job.tasks.size(); ++i) {
        if (job.tasks[i].phase == TaskPhase::Unplaced && now >= job.tasks[i].retryAt
            && !this->stops.isPending(id, static_cast<std::int32_t>(i))) {
            indexes.push_back(static_cast<std::int32_t>(i));
            wanted.push_back(job.request.tasks[i]);
            wanted.back().estimate = job.tasks[i].work.value_or(wanted.back().estimate);
        }
    }
    if (indexes.empty()) {
        return true;
    }
    auto choices = this->choicesFor(job);
    if (indexes.size() == 1) {
        leaveOut(job.tasks[static_cast<std::size_t>(indexes.front())].avoided, choices);
    }
    const auto placements = placeTasks(wanted, goalOf(job, now), choices, this->options.farFactor);
    std::vector<std::int32_t> ordered;
    for (std::size_t i = 0; i < indexes.size(); ++i) {
        if (placements[i].host < 0) {
            continue;
        }
        auto &task = job.tasks[static_cast<std::size_t>(indexes[i])];
        task.phase = TaskPhase::Ordered;
        task.host = choices[static_cast<std::size_t>(placements[i].host)].name;
        task.order = ++this->lastOrder;
        task.mayWait = placements[i].start > Micros(0) || task.refusals >= mostRefusals;
        ordered.push_back(indexes[i]);
        auto *host = this->hosts.find(task.host);
        this->hosts.noteOrder(*host, wanted[i].demand, placements[i].end - placements[i].start,
                              placements[i].start > Micros(0));
    }
    std::string places;
    for (std::size_t i = 0; i < indexes.size(); ++i) {
        if (placements[i].host >= 0) {
            places += fmt::format("{}{}@{}:{}+{}", places.empty() ? "" : ",", indexes[i],
                                  choices[static_cast<std::size_t>(placements[i].host)].name,
                                  millis(placements[i].start), millis(placements[i].end - placements[i].start));
        }
    }
    logEvent(part, "placed",
             {{"job", id},
              {"route", job.request.routeName},
              {"goalMs", millis(goalOf(job, now).objective)},
              {"hosts", choices.size()},
              {"places", places}});
    this->sendOrders(id, job, ordered);
    return ordered.size() == indexes.size();
}

void DispatchCore::sendOrders(const std::string &id, Job &job, const std::vector<std::int32_t> &indexes)
{
    const auto now = this->clock.now();
    std::map<std::string, wire::RunTasks> messages;
    for (const auto index : indexes) {
        auto &task = job.tasks[static_cast<std::size_t>(index)];
        const auto &request = job.request.tasks[static_cast<std::size_t>(index)];
        task.orderedAt = now;
        ++this->counters.orders;
        auto &message = messages[task.host];
        wire::TaskOrder order;
        order.index = index;
        order.order = task.order;
        order.demand = request.demand;
        const auto estimate = task.work.value_or(request.estimate);
        order.estimateMicros = estimate.count();
        order.mayWait = task.mayWait;
        message.orders.push_back(std::move(order));
        const auto slack = (job.objective - now - estimate).count();
        message.startWithinMicros
            = message.orders.size() == 1 ? slack : std::min<std::int64_t>(message.startWithinMicros, slack);
    }
    for (auto &[name, message] : messages) {
        const auto *host = this->hosts.find(name);
        message.hostIncarnation = host->id.incarnation;
        message.heardAtMicros = host->report.sentAtMicros;
        message.reportsSeen = host->reportsSeen;
        message.job = id;
        message.spec = job.request.spec;
        message.timeLeftMicros = (job.deadline - now).count();
        message.priority = job.priority;
        message.serviceName = job.service;
        this->sink.send(host->address, std::move(message));
    }
}

void DispatchCore::stopTasks(const std::string &id, Job &job)
{
    for (std::size_t i = 0; i < job.tasks.size(); ++i) {
        const auto &task = job.tasks[i];
        if (task.phase == TaskPhase::Ordered || task.phase == TaskPhase::Taken) {
            this->stops.add(task.order, {id, static_cast<std::int32_t>(i), task.host}, this->clock.now());
        }
    }
    this->sendStops();
}

void DispatchCore::sendStops()
{
    std::map<std::pair<std::string, std::string>, wire::StopTasks> messages; // by host and job
    for (const auto &stop : this->stops.takeDue(this->clock.now())) {
        messages[{stop.host, stop.job}].indexes.push_back(stop.index);
    }
    for (auto &[key, message] : messages) {
        if (const auto *host = this->hosts.find(key.first)) {
            message.hostIncarnation = host->id.incarnation;
            message.job = key.second;
            this->sink.send(host->address, std::move(message));
        }
    }
}

void DispatchCore::end(const std::string &id, JobEnd end, const std::string &reason, Answers &answers,
                       Millis retryAfter)
{
    auto node = this->jobs.extract(id);
    auto &job = node.mapped();
    this->stopTasks(id, job);
    const auto took = this->clock.now() - job.arrivedAt;
    const bool isLate = this->clock.now() > job.objective;
    this->counters.completed += end == JobEnd::Completed ? 1 : 0;
    this->counters.late += end == JobEnd::Completed && isLate ? 1 : 0;
    this->counters.failed += end == JobEnd::Failed ? 1 : 0;
    this->counters.refused += end == JobEnd::Refused ? 1 : 0;
    this->counters.unfinished += end == JobEnd::Unfinished ? 1 : 0;
    logEvent(part, endName(end),
             {{"job", id},
              {"route", job.request.routeName},
              {"tasks", job.tasks.size()},
              {"tookMs", millis(took)},
              {"objectiveMs", millis(job.objective - job.arrivedAt)},
              {"reason", reason}});
    answers.emplace_back(std::move(job.handler), JobOutcome {end, reason, retryAfter});
}

// Messages.

void DispatchCore::handle(const Incoming &incoming)
{
    if (this->link.handle(incoming)) {
        this->takeView();
        return;
    }
    Answers answers;
    {
        const std::lock_guard lock(this->mutex);
        if (const auto *report = std::get_if<wire::HostReport>(&incoming.payload)) {
            this->apply(incoming, *report);
        } else if (const auto *reports = std::get_if<wire::TaskReports>(&incoming.payload)) {
            this->apply(incoming, *reports, answers);
        }
    }
    deliver(answers);
}

void DispatchCore::takeView()
{
    const std::lock_guard lock(this->mutex);
    if (this->current && this->link.configNumber() <= this->current->number) {
        return;
    }
    const auto view = this->link.view();
    if (view.config.number == 0) {
        return;
    }
    const auto parsed = parseRouting(view.config.text);
    if (!isOk(parsed)) {
        logEvent(part, "config_unreadable", {{"number", view.config.number}, {"reason", error(parsed).message}});
        return;
    }
    this->current = std::make_shared<const RoutingConfig>(value(parsed));
    if (this->routingListener) {
        this->routingListener(*this->current);
    }
    logEvent(part, "config", {{"number", this->current->number}, {"routes", this->current->routes.size()}});
}

void DispatchCore::apply(const Incoming &incoming, const wire::HostReport &report)
{
    const auto *known = this->hosts.find(incoming.sender.name);
    if (known == nullptr || known->id != incoming.sender) {
        logEvent(part, "host",
                 {{"host", incoming.sender.name},
                  {"incarnation", incoming.sender.incarnation},
                  {"service", report.serviceName},
                  {"accepting", report.accepting}});
    }
    const auto *host = this->hosts.take(incoming, report, this->clock.now());
    if (host == nullptr) {
        return;
    }
    wire::HostContact contact;
    contact.hostIncarnation = host->id.incarnation;
    contact.heardAtMicros = host->report.sentAtMicros;
    contact.reportsSeen = host->reportsSeen;
    this->sink.send(host->address, std::move(contact));
}

void DispatchCore::apply(const Incoming &incoming, const wire::TaskReports &message, Answers &answers)
{
    auto *host = this->hosts.take(incoming, message.host, this->clock.now());
    if (host == nullptr) {
        return;
    }
    for (const auto &report : message.reports) {
        // A message holds all reports that the host does not know to be taken, so a gap means nothing is missing.
        if (report.number > host->reportsSeen) {
            host->reportsSeen = report.number;
            this->takeReport(report, incoming.sender.name, answers);
        }
    }
    if (!message.reports.empty()) {
        wire::HostContact contact;
        contact.hostIncarnation = host->id.incarnation;
        contact.heardAtMicros = host->report.sentAtMicros;
        contact.reportsSeen = host->reportsSeen;
        this->sink.send(host->address, std::move(contact));
    }
}

void DispatchCore::takeReport(const wire::TaskReport &report, const std::string &host, Answers &answers)
{
    if (report.phase != wire::TaskPhase::QUEUED && report.phase != wire::TaskPhase::RUNNING) {
        this->stops.confirm(report.order);
    }
    const auto found = this->jobs.find(report.job);
    if (found == this->jobs.end() || report.index < 0
        || static_cast<std::size_t>(report.index) >= found->second.tasks.size()) {
        return;
    }
    auto &job = found->second;
    auto &task = job.tasks[static_cast<std::size_t>(report.index)];
    if (task.host != host || task.order != report.order) {
        return; // an earlier order of the task
    }
    switch (report.phase) {
    case wire::TaskPhase::QUEUED:
    case wire::TaskPhase::RUNNING:
        task.phase = TaskPhase::Taken;
        if (report.remainingMicros > 0) {
            this->reviewRun(report, job, answers);
        }
        return;
    case wire::TaskPhase::SUCCEEDED:
        this->takeSuccess(report.job, job, task, answers);
        return;
    case wire::TaskPhase::FAILED:
    case wire::TaskPhase::ENDED:
    case wire::TaskPhase::REFUSED:
        this->takeFailure(report.job, job, report, answers);
        return;
    }
}

void DispatchCore::takeSuccess(const std::string &id, Job &job, Task &task, Answers &answers)
{
    task.phase = TaskPhase::Done;
    const bool isComplete = std::all_of(job.tasks.begin(), job.tasks.end(),
                                        [](const Task &each) { return each.phase == TaskPhase::Done; });
    if (isComplete) {
        this->end(id, JobEnd::Completed, {}, answers);
    }
}

void DispatchCore::takeFailure(const std::string &id, Job &job, const wire::TaskReport &report, Answers &answers)
{
    auto &task = job.tasks[static_cast<std::size_t>(report.index)];
    const auto now = this->clock.now();
    logEvent(part, "task_returned",
             {{"job", id},
              {"task", report.index},
              {"host", task.host},
              {"phase", static_cast<int>(report.phase)},
              {"reason", report.reason}});
    task.phase = TaskPhase::Unplaced;
    task.host.clear();
    if (report.phase == wire::TaskPhase::FAILED) {
        ++this->counters.tasksFailed;
        if (++task.failures >= job.maxAttempts) {
            this->end(id, JobEnd::Failed, "a task has failed as often as it may", answers);
            return;
        }
    } else if (report.phase == wire::TaskPhase::ENDED) {
        ++this->counters.tasksEnded;
    } else {
        ++this->counters.tasksRefused;
        // The refusal came with the host's newest report; only a host that refuses again is left alone for a moment.
        task.retryAt = ++task.refusals > mostRefusals ? now + replaceDelay : now;
    }
    this->placeUnplaced(id, job);
}

void DispatchCore::reviewRun(const wire::TaskReport &report, Job &job, Answers &answers)
{
    auto &task = job.tasks[static_cast<std::size_t>(report.index)];
    if (this->stops.isPending(report.job, report.index)) {
        return;
    }
    auto wanted = job.request.tasks[static_cast<std::size_t>(report.index)];
    wanted.estimate = Micros(report.workMicros);
    auto choices = this->choicesFor(job);
    leaveOut(task.host, choices);
    const auto goal = goalOf(job, this->clock.now());
    const auto other = placeTasks({wanted}, goal, choices, this->options.farFactor).front();
    const auto verdict = judgeRun({Micros(report.remainingMicros), Micros(report.leastRemainingMicros)}, other, goal);
    if (verdict == RunVerdict::Keep) {
        return;
    }
    logEvent(part, verdict == RunVerdict::Move ? "task_moves" : "task_hopeless",
             {{"job", report.job},
              {"task", report.index},
              {"host", task.host},
              {"remainingMs", report.remainingMicros / 1000},
              {"workMs", report.workMicros / 1000},
              {"otherEndMs", millis(other.end)},
              {"objectiveMs", millis(goal.objective)},
              {"deadlineMs", millis(goal.deadline)}});
    if (verdict == RunVerdict::GiveUp) {
        this->end(report.job, JobEnd::Unfinished, "a task cannot end in the caller's time", answers);
        return;
    }
    ++this->counters.tasksMoved;
    task.work = wanted.estimate;
    task.avoided = task.host;
    this->stops.add(task.order, {report.job, report.index, task.host}, this->clock.now());
    this->sendStops();
}

// Time.

void DispatchCore::tick()
{
    Answers answers;
    MemberReport report;
    {
        const std::lock_guard lock(this->mutex);
        this->loseHosts(answers);
        this->checkJobs(answers);
        this->sendStops();
        this->hosts.forgetSilent(this->clock.now());
        report.isLeaving = this->isStopping;
    }
    deliver(answers);
    this->link.tick(report);
}

void DispatchCore::loseHosts(Answers &answers)
{
    const auto now = this->clock.now();
    std::vector<std::string> lost;
    for (auto &[id, job] : this->jobs) {
        for (auto &task : job.tasks) {
            const bool isThere = task.phase == TaskPhase::Ordered || task.phase == TaskPhase::Taken;
            const auto *host = isThere ? this->hosts.find(task.host) : nullptr;
            if (isThere && (host == nullptr || !this->hosts.isLive(*host, now))) {
                ++this->counters.hostsLost;
                lost.push_back(id);
                break;
            }
        }
    }
    // A task there may run on until its leases lapse, so the job cannot be run again under this request.
    for (const auto &id : lost) {
        this->end(id, JobEnd::Unfinished, "the host of a task is silent", answers);
    }
}

void DispatchCore::checkJobs(Answers &answers)
{
    const auto now = this->clock.now();
    std::vector<std::string> ids;
    ids.reserve(this->jobs.size());
    for (const auto &[id, job] : this->jobs) {
        ids.push_back(id);
    }
    for (const auto &id : ids) {
        auto &job = this->jobs.at(id);
        if (job.request.isCallerGone()) {
            ++this->counters.callersGone;
            this->end(id, JobEnd::Unfinished, "the caller has gone", answers);
            continue;
        }
        if (now >= job.deadline) {
            this->end(id, JobEnd::Unfinished, "the caller's time is over", answers);
            continue;
        }
        this->placeUnplaced(id, job);
        this->repeatOrders(id, job);
    }
}

void DispatchCore::repeatOrders(const std::string &id, Job &job)
{
    const auto now = this->clock.now();
    std::vector<std::int32_t> repeated;
    for (std::size_t i = 0; i < job.tasks.size(); ++i) {
        const auto &task = job.tasks[i];
        if (task.phase == TaskPhase::Ordered && now - task.orderedAt >= this->options.repeatInterval) {
            repeated.push_back(static_cast<std::int32_t>(i));
        }
    }
    this->sendOrders(id, job, repeated);
}

// CoreI.

nlohmann::json DispatchCore::dump() const
{
    const std::lock_guard lock(this->mutex);
    auto hosts = nlohmann::json::array();
    const auto now = this->clock.now();
    for (const auto &[name, host] : this->hosts.all()) {
        hosts.push_back({{"host", name},
                         {"service", host.report.serviceName},
                         {"accepting", host.report.accepting},
                         {"live", this->hosts.isLive(host, now)},
                         {"cpuMillis", host.report.capacity.cpuMillis},
                         {"cpuMillisReserved", host.report.reserved.cpuMillis},
                         {"startDelayMicros", host.report.startDelayMicros},
                         {"slowness", host.report.slowness},
                         {"failureShare", host.report.failureShare}});
    }
    return {{"hosts", hosts},
            {"configNumber", this->current ? this->current->number : 0},
            {"counters",
             {{"dispatch_jobs_submitted_total", this->counters.submitted},
              {"dispatch_jobs_completed_total", this->counters.completed},
              {"dispatch_jobs_failed_total", this->counters.failed},
              {"dispatch_jobs_refused_total", this->counters.refused},
              {"dispatch_jobs_unfinished_total", this->counters.unfinished},
              {"dispatch_jobs_late_total", this->counters.late},
              {"dispatch_callers_gone_total", this->counters.callersGone},
              {"dispatch_orders_total", this->counters.orders},
              {"dispatch_tasks_refused_total", this->counters.tasksRefused},
              {"dispatch_tasks_ended_total", this->counters.tasksEnded},
              {"dispatch_tasks_failed_total", this->counters.tasksFailed},
              {"dispatch_tasks_moved_total", this->counters.tasksMoved},
              {"dispatch_hosts_lost_total", this->counters.hostsLost},
              {"dispatch_jobs_in_flight", this->jobs.size()}}}};
}

bool DispatchCore::isReady() const
{
    const std::lock_guard lock(this->mutex);
    return this->current && !this->isStopping;
}

void DispatchCore::beginStop()
{
    const std::lock_guard lock(this->mutex);
    if (!this->isStopping) {
        this->isStopping = true;
        this->closedAt = this->clock.now() + this->options.drainTime;
    }
}

bool DispatchCore::isClosedLocked() const
{
    return this->isStopping && this->clock.now() >= this->closedAt;
}

bool DispatchCore::isClosed() const
{
    const std::lock_guard lock(this->mutex);
    return this->isClosedLocked();
}

bool DispatchCore::isDrained() const
{
    const std::lock_guard lock(this->mutex);
    return this->isClosedLocked() && this->jobs.empty();
}

std::int64_t DispatchCore::configNumber() const
{
    return this->link.configNumber();
}

} // namespace agatedrum
