#include "dispatch_core_p.h"

#include "base_event_p.h"
#include "dispatch_relocation_p.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace agatedrum {

namespace {

constexpr auto component = "dispatch";
/// Delay before a task that was refused several times is placed again; avoids rapid cycles of orders and refusals.
constexpr Millis placementRetryDelay {5};
/// Number of refusals after which a task may wait in the queue of the host where it is placed. An entry's view may be
/// outdated several times in a row.
constexpr int maxRefusals = 3;
constexpr Millis stopRetention {AGATEDRUM_ENTRY_STOP_RETENTION_MS};
constexpr Millis defaultRetryDelay {1000}; ///< used if this entry cannot estimate the delay

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

/// Removes a host from the candidates, unless there is no other.
void excludeHost(const std::string &host, std::vector<HostCandidate> &candidates)
{
    const auto isOtherHost = [&host](const HostCandidate &candidate) { return candidate.name != host; };
    if (std::any_of(candidates.begin(), candidates.end(), isOtherHost)) {
        candidates.erase(std::stable_partition(candidates.begin(), candidates.end(), isOtherHost), candidates.end());
    }
}

} // namespace

PlacementGoal DispatchCore::placementGoalOf(const Job &job, Time now)
{
    // A part of the objective is reserved for message delays and for hosts that have become slower.
    constexpr double usableShare = 0.9;
    PlacementGoal goal;
    goal.objective
        = Micros(static_cast<std::int64_t>(usableShare * static_cast<double>((job.objective - now).count())));
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
        this->decide(route, {std::move(request), std::move(handler), this->clock.now()}, answers);
    }
    deliverAnswers(answers);
}

void DispatchCore::decide(const RouteConfig &route, Submission submission, Answers &answers)
{
    const auto &request = submission.request;
    if (this->isInFlight(request.id)) {
        // The caller of the earlier request has disconnected or will be answered. No two runs of a task may overlap.
        ++this->counters.refused;
        const std::string reason = "the job is already in flight at this entry";
        logEvent(component, "unfinished", {{"job", request.id}, {"route", route.name}, {"reason", reason}});
        answers.emplace_back(std::move(submission.handler), JobOutcome {JobEnd::Unfinished, reason, defaultRetryDelay});
    } else if (const auto reason = this->staleReason(request); !reason.empty()) {
        ++this->counters.refused;
        logEvent(component, "refused", {{"job", request.id}, {"route", route.name}, {"reason", reason}});
        answers.emplace_back(std::move(submission.handler), JobOutcome {JobEnd::Refused, reason, defaultRetryDelay});
    } else if (const auto cause = this->givenUpReason(request); !cause.empty()) {
        ++this->counters.givenUp;
        ++this->counters.failed;
        logEvent(component, "failed", {{"job", request.id}, {"route", route.name}, {"reason", cause}});
        answers.emplace_back(std::move(submission.handler), JobOutcome {JobEnd::Failed, cause, {}});
    } else if (const auto doubt = this->doubtReason(request); doubt.empty()) {
        this->admit(route, this->makeJob(route, std::move(submission)), answers);
    } else if (this->listenForDoubt(submission)) {
        this->hold(route, std::move(submission), doubt);
    } else {
        ++this->counters.heldForDoubt;
        logEvent(component, "unfinished", {{"job", request.id}, {"route", route.name}, {"reason", doubt}});
        answers.emplace_back(std::move(submission.handler), JobOutcome {JobEnd::Unfinished, doubt, defaultRetryDelay});
    }
}

bool DispatchCore::isInFlight(const std::string &id) const
{
    return this->jobs.count(id) > 0
        || std::any_of(this->held.begin(), this->held.end(),
                       [&id](const HeldSubmission &each) { return each.submission.request.id == id; });
}

std::string DispatchCore::staleReason(const JobRequest &request) const
{
    if (request.isCallerDisconnected()) {
        return "the caller disconnected before the request was read";
    }
    const auto now = this->clock.now();
    const bool isStalled = this->tickedAt != Time {} && now - this->tickedAt >= this->options.stallTime;
    return isStalled || now < this->stalledUntil ? "this entry was stalled while the request may have been waiting"
                                                 : "";
}

DispatchCore::Job DispatchCore::makeJob(const RouteConfig &route, Submission submission) const
{
    Job job;
    auto request = std::move(submission.request);
    job.handler = std::move(submission.handler);
    job.service = route.serviceName;
    job.priority = route.priority;
    job.maxAttempts = route.maxAttempts;
    job.arrivedAt = submission.arrivedAt;
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
    const auto now = this->clock.now();
    this->listenForLabels(job.service, job.request.tasks);
    auto candidates = this->candidatesFor(job);
    const auto placements
        = placeTasks(job.request.tasks, placementGoalOf(job, now), candidates, this->options.farFactor);
    auto refusal = this->admission.evaluate(route, job.request.tasks, placements, job.deadline - now);
    if (refusal) {
        Submission submission {std::move(job.request), std::move(job.handler), job.arrivedAt};
        if (this->listenForRefused(route, submission)) {
            this->hold(route, std::move(submission), refusal->reason);
            return;
        }
        job.request = std::move(submission.request);
        job.handler = std::move(submission.handler);
    }
    if (!refusal && (this->isClosedLocked() || this->jobs.size() >= this->options.maxJobs)) {
        refusal = AdmissionRefusal {"this entry is not accepting jobs", defaultRetryDelay};
    }
    if (refusal) {
        ++this->counters.refused;
        logEvent(component, "refused",
                 {{"job", id},
                  {"route", route.name},
                  {"reason", refusal->reason},
                  {"hosts", candidates.size()},
                  {"retryAfterMs", refusal->retryAfter.count()},
                  {"config", this->link.configNumber()}});
        answers.emplace_back(std::move(job.handler),
                             JobOutcome {JobEnd::Refused, refusal->reason, refusal->retryAfter});
        return;
    }
    auto &accepted = this->jobs.emplace(id, std::move(job)).first->second;
    std::vector<std::int32_t> indexes(accepted.tasks.size());
    std::iota(indexes.begin(), indexes.end(), 0);
    const bool mustWait = std::any_of(indexes.begin(), indexes.end(), [this, &id](std::int32_t index) {
        return this->stops.isPending(id, index) || this->startInDoubt(id, index);
    });
    if (mustWait) {
        accepted.mayHaveRun = true;
        this->placeUnassigned(id, accepted, answers); // tasks of an earlier request for this job must end first
    } else {
        this->orderPlacedTasks(id, accepted, indexes, candidates, placements);
    }
}

std::vector<HostCandidate> DispatchCore::candidatesFor(const Job &job) const
{
    auto candidates = this->hosts.candidates({job.service, job.priority, this->evacuatedDomains}, this->clock.now());
    for (std::size_t i = 0; i < job.tasks.size(); ++i) {
        const auto group = static_cast<std::size_t>(job.request.tasks[i].group);
        for (auto &candidate : candidates) {
            if (!job.tasks[i].host.empty() && candidate.name == job.tasks[i].host) {
                candidate.groupTasks.resize(std::max(candidate.groupTasks.size(), group + 1));
                ++candidate.groupTasks[group];
            }
        }
    }
    return candidates;
}

bool DispatchCore::placeUnassigned(const std::string &id, Job &job, Answers &answers)
{
    const auto now = this->clock.now();
    if (job.request.isCallerDisconnected()) {
        return true; // the next tick ends the job; its caller may have submitted it again elsewhere
    }
    std::vector<std::int32_t> indexes;
    std::vector<TaskRequest> requests;
    for (std::size_t i = 0; i < job.tasks.size(); ++i) {
        if (job.tasks[i].phase == TaskPhase::Unassigned && now >= job.tasks[i].retryAt
            && !this->stops.isPending(id, static_cast<std::int32_t>(i))
            && !this->startInDoubt(id, static_cast<std::int32_t>(i))) {
            indexes.push_back(static_cast<std::int32_t>(i));
            requests.push_back(job.request.tasks[i]);
            requests.back().estimate = job.tasks[i].observedWork.value_or(requests.back().estimate);
        }
    }
    if (indexes.empty()) {
        return true;
    }
    auto candidates = this->candidatesFor(job);
    if (indexes.size() == 1) {
        excludeHost(job.tasks[static_cast<std::size_t>(indexes.front())].excludedHost, candidates);
    }
    const auto placements = placeTasks(requests, placementGoalOf(job, now), candidates, this->options.farFactor);
    if (Admission::isHopeless(placements, job.deadline - now)) {
        this->giveUp(id, answers);
        return false;
    }
    this->orderPlacedTasks(id, job, indexes, candidates, placements);
    return true;
}

void DispatchCore::giveUp(const std::string &id, Answers &answers)
{
    const auto &job = this->jobs.at(id);
    ++this->counters.hopeless;
    // A task that a host has accepted may start before the order to stop it arrives.
    const bool isNotRun = !job.mayHaveRun && std::all_of(job.tasks.begin(), job.tasks.end(), [](const Task &task) {
        return task.phase == TaskPhase::Unassigned;
    });
    this->endJob(id, isNotRun ? JobEnd::Refused : JobEnd::Unfinished,
                 "no host can end a task before the caller's deadline", answers, defaultRetryDelay);
}

void DispatchCore::orderPlacedTasks(const std::string &id, Job &job, const std::vector<std::int32_t> &indexes,
                                    const std::vector<HostCandidate> &candidates,
                                    const std::vector<Placement> &placements)
{
    std::vector<std::int32_t> orderedIndexes;
    std::string placesText;
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
        task.isStarted = false;
        task.host = candidates[static_cast<std::size_t>(placement.host)].name;
        auto &host = *this->hosts.find(task.host);
        task.hostIncarnation = host.id.incarnation;
        task.order = ++this->lastOrder;
        task.mayWait = mustWait || task.refusals >= maxRefusals;
        this->hosts.recordOrder(host, job.request.tasks[index].demand, runTime, mustWait);
        orderedIndexes.push_back(indexes[i]);
        placesText += fmt::format("{}{}@{}:{}+{}", placesText.empty() ? "" : ",", index, task.host,
                                  toMillis(placement.start), toMillis(runTime));
    }
    if (orderedIndexes.empty()) {
        return; // no host can run a task now; the next tick retries
    }
    logEvent(component, "placed",
             {{"job", id},
              {"route", job.request.routeName},
              {"goalMs", toMillis(placementGoalOf(job, this->clock.now()).objective)},
              {"hosts", candidates.size()},
              {"places", placesText}});
    this->sendOrders(id, job, orderedIndexes);
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
        const auto estimate = task.observedWork.value_or(request.estimate);
        order.estimateMicros = estimate.count();
        order.mayWait = task.mayWait;
        order.suspected = this->crashes.isSuspected({id, index});
        order.requiredLabel = request.requiredLabel;
        order.group = request.group;
        order.maxPerHost = request.maxPerHost;
        message.orders.push_back(std::move(order));
        const auto slack = (job.objective - now - estimate).count();
        message.startWithinMicros
            = message.orders.size() == 1 ? slack : std::min<std::int64_t>(message.startWithinMicros, slack);
    }
    this->addWitnesses(id, job.deadline - now, messages);
    for (auto &[name, message] : messages) {
        const auto *host = this->hosts.find(name);
        this->listening.require(name, job.deadline + stopRetention, now);
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

StoppingTask DispatchCore::stoppingTask(const Job &job, std::size_t index)
{
    const auto &task = job.tasks[index];
    return {job.request.id, static_cast<std::int32_t>(index), task.host, task.hostIncarnation, task.isStarted,
            job.deadline};
}

void DispatchCore::stopTasks(const Job &job)
{
    for (std::size_t i = 0; i < job.tasks.size(); ++i) {
        const auto &task = job.tasks[i];
        if (task.phase == TaskPhase::Ordered || task.phase == TaskPhase::Accepted) {
            this->stops.add(task.order, stoppingTask(job, i), this->clock.now());
        }
    }
    this->sendStops();
}

void DispatchCore::sendStops()
{
    std::map<std::pair<std::string, std::string>, wire::StopTasks> messages; // keyed by host and job
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

void DispatchCore::endJob(const std::string &id, JobEnd end, const std::string &reason, Answers &answers,
                          Millis retryAfter)
{
    auto node = this->jobs.extract(id);
    auto &job = node.mapped();
    this->stopTasks(job);
    const auto elapsed = this->clock.now() - job.arrivedAt;
    const bool isLate = this->clock.now() > job.objective;
    (end == JobEnd::Completed ? this->answerLatency : this->unsuccessfulLatency).observe(elapsed);
    this->counters.completed += end == JobEnd::Completed ? 1 : 0;
    this->counters.late += end == JobEnd::Completed && isLate ? 1 : 0;
    this->counters.failed += end == JobEnd::Failed ? 1 : 0;
    this->counters.refused += end == JobEnd::Refused ? 1 : 0;
    this->counters.unfinished += end == JobEnd::Unfinished ? 1 : 0;
    logEvent(component, endName(end),
             {{"job", id},
              {"route", job.request.routeName},
              {"tasks", job.tasks.size()},
              {"tookMs", toMillis(elapsed)},
              {"objectiveMs", toMillis(job.objective - job.arrivedAt)},
              {"reason", reason}});
    answers.emplace_back(std::move(job.handler), JobOutcome {end, reason, retryAfter});
}

// Reports on tasks.

void DispatchCore::handleReport(const wire::TaskReport &report, const wire::ProcessId &host, Answers &answers)
{
    if (report.phase != wire::TaskPhase::QUEUED && report.phase != wire::TaskPhase::RUNNING) {
        this->stops.confirm(report.order, report.job, report.index);
    }
    const auto found = this->jobs.find(report.job);
    if (found == this->jobs.end() || report.index < 0
        || static_cast<std::size_t>(report.index) >= found->second.tasks.size()) {
        return;
    }
    auto &job = found->second;
    auto &task = job.tasks[static_cast<std::size_t>(report.index)];
    if (task.host != host.name || task.hostIncarnation != host.incarnation || task.order != report.order) {
        return; // the report belongs to an earlier order of the task, or comes from a later process of the host
    }
    job.mayHaveRun
        = job.mayHaveRun || (report.phase != wire::TaskPhase::QUEUED && report.phase != wire::TaskPhase::REFUSED);
    if (task.phase == TaskPhase::Ordered) {
        this->orderLatency.observe(this->clock.now() - task.orderedAt);
    }
    switch (report.phase) {
    case wire::TaskPhase::QUEUED:
    case wire::TaskPhase::RUNNING:
        task.phase = TaskPhase::Accepted;
        task.isStarted = task.isStarted || report.phase == wire::TaskPhase::RUNNING;
        if (report.remainingMicros > 0) {
            this->reviewLateRun(report, job, answers);
        }
        return;
    case wire::TaskPhase::SUCCEEDED:
        this->crashes.clear({report.job, report.index});
        this->handleSuccess(report.job, job, task, answers);
        return;
    case wire::TaskPhase::FAILED:
    case wire::TaskPhase::ENDED:
    case wire::TaskPhase::REFUSED:
        this->handleFailure(report.job, job, report, answers);
        return;
    }
}

void DispatchCore::handleSuccess(const std::string &id, Job &job, Task &task, Answers &answers)
{
    task.phase = TaskPhase::Done;
    const bool isComplete = std::all_of(job.tasks.begin(), job.tasks.end(),
                                        [](const Task &each) { return each.phase == TaskPhase::Done; });
    if (isComplete) {
        this->endJob(id, JobEnd::Completed, {}, answers);
    }
}

void DispatchCore::handleFailure(const std::string &id, Job &job, const wire::TaskReport &report, Answers &answers)
{
    auto &task = job.tasks[static_cast<std::size_t>(report.index)];
    const auto now = this->clock.now();
    logEvent(component, "task_returned",
             {{"job", id},
              {"task", report.index},
              {"host", task.host},
              {"incarnation", task.hostIncarnation},
              {"order", report.order},
              {"phase", static_cast<int>(report.phase)},
              {"serverLost", report.serverLost},
              {"reason", report.reason}});
    task.phase = TaskPhase::Unassigned;
    task.host.clear();
    if (report.phase == wire::TaskPhase::FAILED) {
        ++this->counters.tasksFailed;
        if (++task.failures >= job.maxAttempts) {
            this->endJob(id, JobEnd::Failed, "a task has failed the maximum number of times", answers);
            return;
        }
    } else if (report.phase == wire::TaskPhase::ENDED) {
        ++this->counters.tasksEnded;
        this->counters.serversLost += report.serverLost ? 1 : 0;
    } else {
        ++this->counters.tasksRefused;
        // The refusal contains the host's newest report, so the task is placed again at once. A delay follows only
        // after several refusals.
        task.retryAt = ++task.refusals > maxRefusals ? now + placementRetryDelay : now;
    }
    this->placeUnassigned(id, job, answers);
}

void DispatchCore::reviewLateRun(const wire::TaskReport &report, Job &job, Answers &answers)
{
    auto &task = job.tasks[static_cast<std::size_t>(report.index)];
    if (this->stops.isPending(report.job, report.index)) {
        return;
    }
    auto request = job.request.tasks[static_cast<std::size_t>(report.index)];
    request.estimate = Micros(report.workMicros);
    auto candidates = this->candidatesFor(job);
    excludeHost(task.host, candidates);
    const auto goal = placementGoalOf(job, this->clock.now());
    const auto alternative = placeTasks({request}, goal, candidates, this->options.farFactor).front();
    const auto decision
        = decideRun({Micros(report.remainingMicros), Micros(report.leastRemainingMicros)}, alternative, goal);
    if (decision == RunDecision::Keep) {
        return;
    }
    logEvent(component, decision == RunDecision::Relocate ? "task_moves" : "task_hopeless",
             {{"job", report.job},
              {"task", report.index},
              {"host", task.host},
              {"remainingMs", report.remainingMicros / 1000},
              {"workMs", report.workMicros / 1000},
              {"otherEndMs", toMillis(alternative.end)},
              {"objectiveMs", toMillis(goal.objective)},
              {"deadlineMs", toMillis(goal.deadline)}});
    if (decision == RunDecision::Abandon) {
        this->endJob(report.job, JobEnd::Unfinished, "a task cannot end before the caller's deadline", answers);
        return;
    }
    ++this->counters.tasksRelocated;
    task.observedWork = request.estimate;
    task.excludedHost = task.host;
    this->stops.add(task.order, stoppingTask(job, static_cast<std::size_t>(report.index)), this->clock.now());
    this->sendStops();
}

// Periodic checks.

void DispatchCore::failLostHosts(Answers &answers)
{
    const auto now = this->clock.now();
    std::vector<std::pair<std::string, std::string>> lostJobs; // with the reason
    for (const auto &[id, job] : this->jobs) {
        for (const auto &task : job.tasks) {
            auto reason = this->lossReason(task, now);
            if (!reason.empty()) {
                ++this->counters.hostsLost;
                lostJobs.emplace_back(id, std::move(reason));
                break;
            }
        }
    }
    // A task at a lost host may run until its leases expire, so the job cannot be restarted under this request.
    for (const auto &[id, reason] : lostJobs) {
        this->endJob(id, JobEnd::Unfinished, reason, answers);
    }
}

std::string DispatchCore::lossReason(const Task &task, Time now) const
{
    if (task.phase != TaskPhase::Ordered && task.phase != TaskPhase::Accepted) {
        return {};
    }
    const auto *host = this->hosts.find(task.host);
    if (host == nullptr || !this->hosts.isLive(*host, now)) {
        return fmt::format("the host {} of a task is unresponsive", task.host);
    }
    if (host->id.incarnation != task.hostIncarnation) {
        return fmt::format("the host {} of a task has restarted", task.host);
    }
    return {};
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
        if (job.request.isCallerDisconnected()) {
            ++this->counters.callersDisconnected;
            this->endJob(id, JobEnd::Unfinished, "the caller has disconnected", answers);
            continue;
        }
        if (now >= job.deadline) {
            this->endJob(id, JobEnd::Unfinished, "the caller's deadline has passed", answers);
            continue;
        }
        if (this->placeUnassigned(id, job, answers)) {
            this->resendOrders(id, job);
        }
    }
}

void DispatchCore::resendOrders(const std::string &id, Job &job)
{
    const auto now = this->clock.now();
    std::vector<std::int32_t> overdue;
    for (std::size_t i = 0; i < job.tasks.size(); ++i) {
        const auto &task = job.tasks[i];
        if (task.phase == TaskPhase::Ordered && now - task.orderedAt >= this->options.repeatInterval) {
            logEvent(component, "order_resent",
                     {{"job", id},
                      {"task", i},
                      {"host", task.host},
                      {"incarnation", task.hostIncarnation},
                      {"order", task.order},
                      {"ageMs", toMillis(now - task.orderedAt)}});
            overdue.push_back(static_cast<std::int32_t>(i));
        }
    }
    this->sendOrders(id, job, overdue);
}

} // namespace agatedrum
