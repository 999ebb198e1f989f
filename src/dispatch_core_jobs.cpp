#include "dispatch_core_p.h"

#include "base_event_p.h"
#include "dispatch_relocation_p.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace agatedrum {

namespace {

constexpr auto part = "dispatch";
/// Delay before a task that was refused several times is placed again, so that refusals do not chase each other.
constexpr Millis replaceDelay {5};
/// Refusals for want of room after which a task waits where it is placed; views of entries are at times that wrong.
constexpr int mostRefusals = 3;
constexpr Millis retryLater {1000}; ///< when this entry cannot tell how long its callers should wait

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

} // namespace

PlacementGoal DispatchCore::goalOf(const Job &job, Time now)
{
    // A part of the objective is kept for the way of messages and for hosts that are slower than they were.
    constexpr double share = 0.9;
    PlacementGoal goal;
    goal.objective = Micros(static_cast<std::int64_t>(share * static_cast<double>((job.objective - now).count())));
    goal.deadline = std::max<Micros>(job.deadline - now, Millis(1));
    return goal;
}

// Admission and placement.

void DispatchCore::submit(const RouteConfig &route, JobRequest request, JobHandler handler)
{
    Answers answers;
    {
        const std::lock_guard lock(this->mutex);
        ++this->counters.submitted;
        if (this->jobs.count(request.id) > 0) {
            // The earlier request's caller has gone or will be answered; two runs of a task must not meet.
            ++this->counters.refused;
            const std::string reason = "the job is in flight here already";
            logEvent(part, "refused", {{"job", request.id}, {"route", route.name}, {"reason", reason}});
            answers.emplace_back(std::move(handler), JobOutcome {JobEnd::Unfinished, reason, retryLater});
        } else {
            this->admit(route, this->makeJob(route, std::move(request), std::move(handler)), answers);
        }
    }
    deliver(answers);
}

DispatchCore::Job DispatchCore::makeJob(const RouteConfig &route, JobRequest request, JobHandler handler) const
{
    Job job;
    job.handler = std::move(handler);
    job.service = route.serviceName;
    job.priority = route.priority;
    job.maxAttempts = route.maxAttempts;
    job.arrivedAt = this->clock.now();
    job.deadline
        = job.arrivedAt + (request.timeLeft > Millis(0) ? std::min(request.timeLeft, route.timeout) : route.timeout);
    job.objective = job.arrivedAt + objectiveOf(route, request.tasks);
    job.tasks.resize(request.tasks.size());
    job.request = std::move(request);
    return job;
}

void DispatchCore::admit(const RouteConfig &route, Job job, Answers &answers)
{
    const auto id = job.request.id;
    auto choices = this->choicesFor(job);
    const auto placements = placeTasks(job.request.tasks, goalOf(job, job.arrivedAt), choices, this->options.farFactor);
    auto refusal = this->admission.judge(route, job.request.tasks, placements, job.deadline - job.arrivedAt);
    if (!refusal && (this->isClosedLocked() || this->jobs.size() >= this->options.maxJobs)) {
        refusal = AdmissionRefusal {"this entry takes no more jobs", retryLater};
    }
    if (refusal) {
        ++this->counters.refused;
        logEvent(part, "refused",
                 {{"job", id},
                  {"route", route.name},
                  {"reason", refusal->reason},
                  {"hosts", choices.size()},
                  {"retryAfterMs", refusal->retryAfter.count()},
                  {"config", this->link.configNumber()}});
        answers.emplace_back(std::move(job.handler),
                             JobOutcome {JobEnd::Refused, refusal->reason, refusal->retryAfter});
        return;
    }
    auto &taken = this->jobs.emplace(id, std::move(job)).first->second;
    std::vector<std::int32_t> indexes(taken.tasks.size());
    std::iota(indexes.begin(), indexes.end(), 0);
    const bool isStopping = std::any_of(indexes.begin(), indexes.end(),
                                        [this, &id](std::int32_t index) { return this->stops.isPending(id, index); });
    if (isStopping) {
        this->placeUnplaced(id, taken); // tasks of an earlier request for the job have to end first
    } else {
        this->orderPlaced(id, taken, indexes, choices, placements);
    }
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

void DispatchCore::placeUnplaced(const std::string &id, Job &job)
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
        return;
    }
    auto choices = this->choicesFor(job);
    if (indexes.size() == 1) {
        leaveOut(job.tasks[static_cast<std::size_t>(indexes.front())].avoided, choices);
    }
    const auto placements = placeTasks(wanted, goalOf(job, now), choices, this->options.farFactor);
    this->orderPlaced(id, job, indexes, choices, placements);
}

void DispatchCore::orderPlaced(const std::string &id, Job &job, const std::vector<std::int32_t> &indexes,
                               const std::vector<HostChoice> &choices, const std::vector<Placement> &placements)
{
    std::vector<std::int32_t> ordered;
    std::string places;
    for (std::size_t i = 0; i < indexes.size(); ++i) {
        const auto &placement = placements[i];
        if (placement.host < 0) {
            continue;
        }
        const auto index = static_cast<std::size_t>(indexes[i]);
        auto &task = job.tasks[index];
        const bool mustWait = placement.start > Micros(0);
        const auto runTime = placement.end - placement.start;
        task.phase = TaskPhase::Ordered;
        task.host = choices[static_cast<std::size_t>(placement.host)].name;
        task.order = ++this->lastOrder;
        task.mayWait = mustWait || task.refusals >= mostRefusals;
        this->hosts.noteOrder(*this->hosts.find(task.host), job.request.tasks[index].demand, runTime, mustWait);
        ordered.push_back(indexes[i]);
        places += fmt::format("{}{}@{}:{}+{}", places.empty() ? "" : ",", index, task.host, toMillis(placement.start),
                              toMillis(runTime));
    }
    if (ordered.empty()) {
        return; // no host could run a task now; the next tick tries again
    }
    logEvent(part, "placed",
             {{"job", id},
              {"route", job.request.routeName},
              {"goalMs", toMillis(goalOf(job, this->clock.now()).objective)},
              {"hosts", choices.size()},
              {"places", places}});
    this->sendOrders(id, job, ordered);
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
    (end == JobEnd::Completed ? this->answerLatency : this->giveUpLatency).observe(took);
    this->counters.completed += end == JobEnd::Completed ? 1 : 0;
    this->counters.late += end == JobEnd::Completed && isLate ? 1 : 0;
    this->counters.failed += end == JobEnd::Failed ? 1 : 0;
    this->counters.refused += end == JobEnd::Refused ? 1 : 0;
    this->counters.unfinished += end == JobEnd::Unfinished ? 1 : 0;
    logEvent(part, endName(end),
             {{"job", id},
              {"route", job.request.routeName},
              {"tasks", job.tasks.size()},
              {"tookMs", toMillis(took)},
              {"objectiveMs", toMillis(job.objective - job.arrivedAt)},
              {"reason", reason}});
    answers.emplace_back(std::move(job.handler), JobOutcome {end, reason, retryAfter});
}

// Reports on tasks.

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
    if (task.phase == TaskPhase::Ordered) {
        this->orderLatency.observe(this->clock.now() - task.orderedAt);
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
              {"otherEndMs", toMillis(other.end)},
              {"objectiveMs", toMillis(goal.objective)},
              {"deadlineMs", toMillis(goal.deadline)}});
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

// Checks by time.

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

} // namespace agatedrum
