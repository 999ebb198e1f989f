#include "cell_owner_p.h"

#include "base_log_p.h"

#include <algorithm>
#include <utility>

namespace agatedrum {

namespace {

/// Delay before outcomes are sent to the holders, so that many share one batch. Together with the delay of the
/// acknowledgement it stays well below the interval at which an agent resends its results.
constexpr Millis resultBatchDelay {150};
static_assert(AGATEDRUM_RESULT_RESEND_MS >= 400, "agents would repeat results that are about to be acknowledged");
/// Tasks of cancelled jobs handled in one tick. Limited so that a burst of cancellations does not delay other jobs.
constexpr std::size_t maxCancelledTasksPerTick = 2000;
constexpr Millis cancelRepeatDelay {500};
constexpr Millis expiryInterval {1000};
/// Tasks started in one call of dispatch(). Limited so that the lock of the shard is not held for long.
constexpr int maxStartsPerDispatch = 4096;
/// Margin in the comparison of an agent's uptime with the age of a job, for differences of clock rate and the delay of
/// messages.
constexpr Millis uptimeMargin {1000};

} // namespace

CellOwner::ActiveJob *CellOwner::findActiveJob(JobNumber number)
{
    const auto found = this->activeJobs.find(number);
    return found == this->activeJobs.end() ? nullptr : &found->second;
}

/// Runs the steps that a handled message may have made possible: flushes records, starts recorded jobs, dispatches
/// tasks, sends answers and removes ended jobs.
void CellOwner::runFollowUps()
{
    this->flushRecords(false);
    this->startRecordedJobs();
    this->dispatch();
    this->sendAnswers();
    this->removeEndedJobs();
}

void CellOwner::tick()
{
    if (!this->context.mayAct()) {
        return;
    }
    const auto now = this->now();
    this->scheduler.tick(now);
    this->collectRecordedResults();
    this->tickAgents();
    this->recordStream.tick(this->ledger, now);
    this->resolveTakeover();
    this->abandonOverdueJobs();
    this->processCancels();
    this->repeatCancels();
    if (now >= this->nextExpiry) {
        this->nextExpiry = now + expiryInterval;
        this->ledger.expire(this->context.clock.wallMs(), now);
        this->refusedRequests.expire(now);
    }
    this->flushRecords(true);
    this->runFollowUps();
}

/// Sends the next batch of records. A batch with the record of a new job is sent at once if all earlier ones are
/// acknowledged, else with the next acknowledgement or tick.
void CellOwner::flushRecords(bool isTick)
{
    const auto now = this->now();
    const bool isResultDelayOver = now - this->oldestUnsentResultAt >= resultBatchDelay;
    const bool shouldFlush
        = this->isFlushUrgent ? isTick || !this->recordStream.hasUnacknowledged() : isResultDelayOver;
    if (!this->recordStream.hasUnsent() || !shouldFlush || !this->context.mayAct()) {
        return;
    }
    this->isFlushUrgent = false;
    this->recordStream.flush(now);
}

void CellOwner::removeEndedJobs()
{
    for (const auto number : std::exchange(this->ended, {})) {
        this->activeJobs.erase(number);
    }
}

void CellOwner::startRecordedJobs()
{
    while (!this->awaitingRecord.empty()) {
        auto *activeJob = this->findActiveJob(this->awaitingRecord.front());
        const bool isWaiting = activeJob != nullptr && activeJob->stage == Stage::AwaitingRecord;
        if (isWaiting && !this->recordStream.isRecorded(activeJob->recordSequence, this->replicaCount)) {
            return;
        }
        this->awaitingRecord.pop_front();
        if (isWaiting) {
            this->enqueueTasks(*activeJob);
        }
    }
}

void CellOwner::enqueueTasks(ActiveJob &activeJob)
{
    activeJob.stage = Stage::Running;
    std::vector<int> tasks;
    for (const auto &result : activeJob.job->results) {
        const auto &location = activeJob.locations[static_cast<std::size_t>(result.index)];
        if (result.outcome == wire::Outcome::PENDING && location.agent.empty()) {
            tasks.push_back(result.index);
        }
    }
    if (!activeJob.job->isCancelled) {
        this->scheduler.add(this->toScheduledJob(*activeJob.job), tasks, this->now());
        return;
    }
    for (const auto index : tasks) {
        this->completeTask(activeJob, index, wire::Outcome::NOT_RUN);
    }
}

void CellOwner::dispatch()
{
    std::map<std::string, wire::StartBatch> batches;
    for (int i = 0; i < maxStartsPerDispatch; ++i) {
        if (!this->context.mayAct()) {
            break;
        }
        const auto assignment = this->scheduler.next(this->now());
        if (!assignment) {
            break;
        }
        if (auto start = this->assignTask(*assignment)) {
            batches[assignment->server].starts.push_back(std::move(*start));
        }
    }
    for (auto &[server, batch] : batches) {
        this->sendStarts(server, std::move(batch));
    }
}

/// Assigns a task to the agent of the chosen backend server.
/// @return the start to send, or std::nullopt if the task no longer has to run or the agent is unknown.
std::optional<wire::StartTask> CellOwner::assignTask(const Assignment &assignment)
{
    const auto now = this->now();
    auto *activeJob = this->findActiveJob(assignment.task.job);
    const auto index = static_cast<std::size_t>(assignment.task.index);
    const auto found = this->agents.find(assignment.server);
    if (activeJob == nullptr || activeJob->job->results[index].outcome != wire::Outcome::PENDING
        || found == this->agents.end()) {
        this->scheduler.finished(assignment, wire::Outcome::STOPPED, Micros(0), now);
        return std::nullopt;
    }
    auto &agent = found->second;
    auto &location = activeJob->locations[index];
    location.agent = assignment.server;
    location.sequence = ++agent.lastSequence;
    ++location.sendCount;
    activeJob->hasStarted = true;
    agent.inFlight[{assignment.task.job, assignment.task.index}]
        = {assignment.task.job, assignment.task.index, location.sequence, now, false};
    const auto &spec = activeJob->job->spec;
    wire::StartTask start;
    start.ref.key = spec.key;
    start.ref.index = assignment.task.index;
    start.taskId = spec.tasks[index].id;
    start.body = spec.tasks[index].body;
    start.sequence = location.sequence;
    start.timeLimitMs = this->timeLimit(*activeJob->job).count();
    return start;
}

/// Returns the smaller of the service's maximum task time and the time left until the job's deadline; at least 1 ms.
Millis CellOwner::timeLimit(const LedgerJob &job) const
{
    const auto *service = this->config.service(this->serviceName);
    auto limit = service == nullptr ? Millis(AGATEDRUM_TASK_TIME_MS) : service->maxTaskTime;
    if (job.spec.deadlineMs > 0) {
        const auto timeLeft = job.acceptedAt + Millis(job.spec.deadlineMs) - this->now();
        limit = std::min(limit, std::chrono::duration_cast<Millis>(timeLeft));
    }
    return std::max(limit, Millis(1));
}

void CellOwner::sendStarts(const std::string &server, wire::StartBatch batch)
{
    auto &agent = this->agents.at(server);
    batch.cell = this->cell;
    batch.epoch = this->cellEpoch;
    batch.agentIncarnation = agent.id.incarnation;
    if (this->context.mayAct()) {
        this->context.sink.send(agent.address, std::move(batch));
        this->sendAcks(agent);
        return;
    }
    for (const auto &start : batch.starts) {
        this->clearAssignment(start);
    }
}

/// Reverts assignTask() for a start that was not sent.
void CellOwner::clearAssignment(const wire::StartTask &start)
{
    const auto *job = this->ledger.find(start.ref.key);
    auto &activeJob = *this->findActiveJob(job->number);
    auto &location = activeJob.locations[static_cast<std::size_t>(start.ref.index)];
    const Assignment assignment {{job->number, start.ref.index}, location.agent};
    --location.sendCount;
    this->clearLocation(activeJob, start.ref.index);
    this->scheduler.requeue(assignment, this->now());
}

/// Abandons jobs whose record did not reach enough holders within the timeout.
void CellOwner::abandonOverdueJobs()
{
    const auto limit = this->now() - Millis(AGATEDRUM_RECORD_TIMEOUT_MS);
    while (!this->awaitingRecord.empty()) {
        auto *activeJob = this->findActiveJob(this->awaitingRecord.front());
        const bool isWaiting = activeJob != nullptr && activeJob->stage == Stage::AwaitingRecord;
        if (isWaiting && activeJob->waitStartedAt > limit) {
            return;
        }
        this->awaitingRecord.pop_front();
        if (isWaiting) {
            this->abandonUnrecordedJob(*activeJob);
        }
    }
}

void CellOwner::abandonUnrecordedJob(ActiveJob &activeJob)
{
    const auto refusal = makeRefusal(wire::RefusalCode::RECORD_UNAVAILABLE, "too few processes could record the job",
                                     true, AGATEDRUM_RECORD_TIMEOUT_MS);
    if (this->context.defects != nullptr && this->context.defects->reportsNotRunEarly) {
        for (const auto &waiter : std::exchange(activeJob.job->waiters, {})) {
            this->refuse(waiter, activeJob.job->spec.key, refusal);
        }
        this->enqueueTasks(activeJob);
        return;
    }
    const bool hasStarted = activeJob.hasStarted;
    const auto number = activeJob.job->number;
    for (const auto &result : std::vector<wire::TaskResult>(activeJob.job->results)) {
        const auto &location = activeJob.locations[static_cast<std::size_t>(result.index)];
        if (result.outcome == wire::Outcome::PENDING && location.agent.empty()) {
            this->completeTask(activeJob, result.index, wire::Outcome::NOT_RUN);
        }
    }
    if (!hasStarted) {
        auto &pending = this->pendingAnswers[number];
        pending.refusal = refusal;
        pending.recordDeadline = this->now() + Millis(AGATEDRUM_RECORD_TIMEOUT_MS);
    } else if (activeJob.stage == Stage::AwaitingRecord) {
        activeJob.stage = Stage::Running;
    }
}

bool CellOwner::hasAllAgentStates() const
{
    return std::all_of(this->agents.begin(), this->agents.end(),
                       [](const auto &entry) { return entry.second.hasReportedState; });
}

/// Continues the jobs taken over once all agents have reported their state or the wait for it has timed out.
void CellOwner::resolveTakeover()
{
    if (!this->takeoverDeadline) {
        return;
    }
    const bool skipsFencing = this->context.defects != nullptr && this->context.defects->skipsFencing;
    const bool hasAllStates = this->hasAllAgentStates();
    if (!hasAllStates && !skipsFencing && this->now() < *this->takeoverDeadline) {
        return;
    }
    this->takeoverDeadline.reset();
    for (auto &[number, activeJob] : this->activeJobs) {
        if (activeJob.stage == Stage::AwaitingAgents) {
            this->resolveTakenOverJob(activeJob, hasAllStates || skipsFencing);
        }
    }
}

/// True if every agent has been up for longer than the job exists, so that an agent that had started one of its tasks
/// would have reported the task.
bool CellOwner::isCertainlyNotStarted(const LedgerJob &job) const
{
    if (this->context.defects != nullptr && this->context.defects->skipsFencing) {
        return true;
    }
    return std::all_of(this->agents.begin(), this->agents.end(), [&job](const auto &entry) {
        const auto &agent = entry.second;
        return agent.uptime > agent.stateReportedAt - job.acceptedAt + uptimeMargin;
    });
}

void CellOwner::resolveTakenOverJob(ActiveJob &activeJob, bool areAllStatesKnown)
{
    const bool isCertain = areAllStatesKnown && this->isCertainlyNotStarted(*activeJob.job);
    activeJob.stage = Stage::AwaitingRecord;
    activeJob.waitStartedAt = this->now();
    // A holder that is in sync has every job taken over, since they are in its snapshot.
    activeJob.recordSequence = 0;
    if (!isCertain) {
        for (const auto &result : std::vector<wire::TaskResult>(activeJob.job->results)) {
            const auto &location = activeJob.locations[static_cast<std::size_t>(result.index)];
            if (result.outcome == wire::Outcome::PENDING && location.agent.empty()) {
                this->completeTask(activeJob, result.index, wire::Outcome::UNKNOWN);
            }
        }
    }
    if (activeJob.stage != Stage::Ended) {
        this->awaitingRecord.push_back(activeJob.job->number);
    }
}

void CellOwner::processCancels()
{
    std::map<std::string, std::vector<wire::TaskRef>> byAgent;
    std::size_t handled = 0;
    while (!this->pendingCancels.empty() && handled < maxCancelledTasksPerTick && this->context.mayAct()) {
        auto *activeJob = this->findActiveJob(this->pendingCancels.front());
        this->pendingCancels.pop_front();
        if (activeJob != nullptr && activeJob->stage != Stage::Ended) {
            handled += activeJob->locations.size();
            this->cancelTasks(*activeJob, byAgent);
        }
    }
    this->sendCancels(byAgent);
}

void CellOwner::cancelTasks(ActiveJob &activeJob, std::map<std::string, std::vector<wire::TaskRef>> &byAgent)
{
    const auto number = activeJob.job->number;
    this->scheduler.dropQueued(number);
    for (std::size_t i = 0; i < activeJob.locations.size() && activeJob.stage != Stage::Ended; ++i) {
        const auto index = static_cast<int>(i);
        if (activeJob.job->results[i].outcome != wire::Outcome::PENDING) {
            continue;
        }
        if (!activeJob.locations[i].agent.empty()) {
            wire::TaskRef ref;
            ref.key = activeJob.job->spec.key;
            ref.index = index;
            byAgent[activeJob.locations[i].agent].push_back(std::move(ref));
            this->cancelled[number] = this->now();
        } else if (activeJob.stage != Stage::AwaitingAgents) {
            this->completeTask(activeJob, index, wire::Outcome::NOT_RUN);
        }
    }
}

/// Sends the cancellation again for jobs with tasks that have not ended.
void CellOwner::repeatCancels()
{
    const auto now = this->now();
    for (auto &[number, sentAt] : this->cancelled) {
        if (now - sentAt >= cancelRepeatDelay) {
            sentAt = now;
            this->pendingCancels.push_back(number);
        }
    }
}

void CellOwner::sendCancels(const std::map<std::string, std::vector<wire::TaskRef>> &byAgent)
{
    for (const auto &[name, refs] : byAgent) {
        const auto agent = this->agents.find(name);
        if (agent == this->agents.end()) {
            continue;
        }
        wire::CancelBatch batch;
        batch.cell = this->cell;
        batch.epoch = this->cellEpoch;
        batch.refs = refs;
        this->send(agent->second.address, std::move(batch));
    }
}

} // namespace agatedrum
