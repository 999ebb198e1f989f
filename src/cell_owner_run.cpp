#include "cell_owner_p.h"

#include "base_log_p.h"

#include <algorithm>
#include <utility>

namespace agatedrum {

namespace {

/// Delay of outcomes to the holders, so that many share one batch. With the delay of the acknowledgement it stays well
/// below an agent's repeat of its results.
constexpr Millis resultBatchDelay {150};
static_assert(AGATEDRUM_RESULT_RESEND_MS >= 400, "agents would repeat results that are about to be acknowledged");
/// Tasks of cancelled jobs handled in one tick, so that other jobs go on during a burst of cancellations.
constexpr std::size_t cancelSlice = 2000;
constexpr Millis cancelRepeatAfter {500};
constexpr Millis expiryInterval {1000};
/// Tasks started in one go, so that the lock of the shard is not held long.
constexpr int maxStartsAtOnce = 4096;
/// Allowance for the agent's clock rate and for messages under way when ages are compared.
constexpr Millis uptimeMargin {1000};

} // namespace

CellOwner::ActiveJob *CellOwner::findActive(JobNumber number)
{
    const auto found = this->active.find(number);
    return found == this->active.end() ? nullptr : &found->second;
}

/// Does what a handled message made possible.
void CellOwner::afterMessage()
{
    this->flush(false);
    this->releaseRecorded();
    this->dispatch();
    this->sendAnswers();
    this->removeEnded();
}

void CellOwner::tick()
{
    if (!this->context.mayAct()) {
        return;
    }
    const auto now = this->now();
    this->scheduler.tick(now);
    this->takeRecorded();
    this->tickAgents();
    this->stream.tick(this->ledger, now);
    this->resolveTakeover();
    this->expireWaiting();
    this->cancelSlices();
    this->repeatCancels();
    if (now >= this->nextExpiry) {
        this->nextExpiry = now + expiryInterval;
        this->ledger.expire(this->context.clock.wallMs(), now);
        this->refusals.expire(now);
    }
    this->flush(true);
    this->afterMessage();
}

/// A new job's record leaves at once when nothing is under way, else with the next acknowledgement or tick.
void CellOwner::flush(bool isTick)
{
    const auto now = this->now();
    const bool isDue = now - this->resultsSince >= resultBatchDelay;
    const bool isNow = this->isUrgent ? isTick || !this->stream.isBusy() : isDue;
    if (!this->stream.hasUnsent() || !isNow || !this->context.mayAct()) {
        return;
    }
    this->isUrgent = false;
    this->stream.flush(now);
}

void CellOwner::removeEnded()
{
    for (const auto number : std::exchange(this->ended, {})) {
        this->active.erase(number);
    }
}

void CellOwner::releaseRecorded()
{
    while (!this->awaitingRecord.empty()) {
        auto *active = this->findActive(this->awaitingRecord.front());
        const bool isWaiting = active != nullptr && active->stage == Stage::AwaitingRecord;
        if (isWaiting && !this->stream.isRecorded(active->recordSequence, this->copies)) {
            return;
        }
        this->awaitingRecord.pop_front();
        if (isWaiting) {
            this->startRunning(*active);
        }
    }
}

void CellOwner::startRunning(ActiveJob &active)
{
    active.stage = Stage::Running;
    std::vector<int> tasks;
    for (const auto &result : active.job->results) {
        const auto &place = active.places[static_cast<std::size_t>(result.index)];
        if (result.outcome == wire::Outcome::PENDING && place.agent.empty()) {
            tasks.push_back(result.index);
        }
    }
    if (!active.job->isCancelled) {
        this->scheduler.add(this->scheduled(*active.job), tasks, this->now());
        return;
    }
    for (const auto index : tasks) {
        this->decide(active, index, wire::Outcome::NOT_RUN);
    }
}

void CellOwner::dispatch()
{
    std::map<std::string, wire::StartBatch> batches;
    for (int i = 0; i < maxStartsAtOnce; ++i) {
        if (!this->context.mayAct()) {
            break;
        }
        const auto assignment = this->scheduler.next(this->now());
        if (!assignment) {
            break;
        }
        if (auto start = this->place(*assignment)) {
            batches[assignment->server].starts.push_back(std::move(*start));
        }
    }
    for (auto &[server, batch] : batches) {
        this->sendStarts(server, std::move(batch));
    }
}

/// @return the start to send, or nothing when the task no longer has to run.
std::optional<wire::StartTask> CellOwner::place(const Assignment &assignment)
{
    const auto now = this->now();
    auto *active = this->findActive(assignment.task.job);
    const auto index = static_cast<std::size_t>(assignment.task.index);
    const auto found = this->agents.find(assignment.server);
    if (active == nullptr || active->job->results[index].outcome != wire::Outcome::PENDING
        || found == this->agents.end()) {
        this->scheduler.finished(assignment, wire::Outcome::STOPPED, Micros(0), now);
        return std::nullopt;
    }
    auto &agent = found->second;
    auto &place = active->places[index];
    place.agent = assignment.server;
    place.sequence = ++agent.lastSequence;
    ++place.sends;
    active->hasStarted = true;
    agent.flights[{assignment.task.job, assignment.task.index}]
        = {assignment.task.job, assignment.task.index, place.sequence, now, false};
    const auto &spec = active->job->spec;
    wire::StartTask start;
    start.ref.key = spec.key;
    start.ref.index = assignment.task.index;
    start.taskId = spec.tasks[index].id;
    start.body = spec.tasks[index].body;
    start.sequence = place.sequence;
    start.timeLimitMs = this->timeLimit(*active->job).count();
    return start;
}

/// The lower of what the configuration allows a task and what is left until the job's deadline; at least 1 ms.
Millis CellOwner::timeLimit(const LedgerJob &job) const
{
    const auto *service = this->config.service(this->serviceName);
    auto limit = service == nullptr ? Millis(AGATEDRUM_TASK_TIME_MS) : service->maxTaskTime;
    if (job.spec.deadlineMs > 0) {
        const auto left = job.acceptedAt + Millis(job.spec.deadlineMs) - this->now();
        limit = std::min(limit, std::chrono::duration_cast<Millis>(left));
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
        this->unplace(start);
    }
}

/// Undoes place() for a start that was not sent.
void CellOwner::unplace(const wire::StartTask &start)
{
    const auto *job = this->ledger.find(start.ref.key);
    auto &active = *this->findActive(job->number);
    auto &place = active.places[static_cast<std::size_t>(start.ref.index)];
    const Assignment assignment {{job->number, start.ref.index}, place.agent};
    --place.sends;
    this->leaveAgent(active, start.ref.index);
    this->scheduler.requeue(assignment, this->now());
}

/// Gives up on jobs that waited too long for enough copies of their record.
void CellOwner::expireWaiting()
{
    const auto limit = this->now() - Millis(AGATEDRUM_RECORD_TIMEOUT_MS);
    while (!this->awaitingRecord.empty()) {
        auto *active = this->findActive(this->awaitingRecord.front());
        const bool isWaiting = active != nullptr && active->stage == Stage::AwaitingRecord;
        if (isWaiting && active->since > limit) {
            return;
        }
        this->awaitingRecord.pop_front();
        if (isWaiting) {
            this->giveUpRecord(*active);
        }
    }
}

void CellOwner::giveUpRecord(ActiveJob &active)
{
    const auto refusal = makeRefusal(wire::RefusalCode::RECORD_UNAVAILABLE, "too few processes could record the job",
                                     true, AGATEDRUM_RECORD_TIMEOUT_MS);
    if (this->context.defects != nullptr && this->context.defects->saysNotRunEarly) {
        for (const auto &waiter : std::exchange(active.job->waiters, {})) {
            this->refuse(waiter, active.job->spec.key, refusal);
        }
        this->startRunning(active);
        return;
    }
    const bool hasStarted = active.hasStarted;
    const auto number = active.job->number;
    for (const auto &result : std::vector<wire::TaskResult>(active.job->results)) {
        const auto &place = active.places[static_cast<std::size_t>(result.index)];
        if (result.outcome == wire::Outcome::PENDING && place.agent.empty()) {
            this->decide(active, result.index, wire::Outcome::NOT_RUN);
        }
    }
    if (!hasStarted) {
        auto &pending = this->answers[number];
        pending.refusal = refusal;
        pending.giveUpAt = this->now() + Millis(AGATEDRUM_RECORD_TIMEOUT_MS);
    } else if (active.stage == Stage::AwaitingRecord) {
        active.stage = Stage::Running;
    }
}

bool CellOwner::haveAllStates() const
{
    return std::all_of(this->agents.begin(), this->agents.end(),
                       [](const auto &entry) { return entry.second.hasState; });
}

/// Decides on the tasks of taken-over jobs once the agents have answered or had the time to.
void CellOwner::resolveTakeover()
{
    if (!this->takeoverUntil) {
        return;
    }
    const bool skipsFencing = this->context.defects != nullptr && this->context.defects->skipsFencing;
    const bool haveAll = this->haveAllStates();
    if (!haveAll && !skipsFencing && this->now() < *this->takeoverUntil) {
        return;
    }
    this->takeoverUntil.reset();
    for (auto &[number, active] : this->active) {
        if (active.stage == Stage::AwaitingAgents) {
            this->resolve(active, haveAll || skipsFencing);
        }
    }
}

/// True when every agent has been up for longer than the job is known, so that one of them would list a started task.
bool CellOwner::certainlyNotStarted(const LedgerJob &job) const
{
    if (this->context.defects != nullptr && this->context.defects->skipsFencing) {
        return true;
    }
    return std::all_of(this->agents.begin(), this->agents.end(), [&job](const auto &entry) {
        const auto &agent = entry.second;
        return agent.uptime > agent.stateAt - job.acceptedAt + uptimeMargin;
    });
}

void CellOwner::resolve(ActiveJob &active, bool areAllKnown)
{
    const bool isCertain = areAllKnown && this->certainlyNotStarted(*active.job);
    active.stage = Stage::AwaitingRecord;
    active.since = this->now();
    // The snapshot that makes a holder whole includes every job taken over.
    active.recordSequence = 0;
    if (!isCertain) {
        for (const auto &result : std::vector<wire::TaskResult>(active.job->results)) {
            const auto &place = active.places[static_cast<std::size_t>(result.index)];
            if (result.outcome == wire::Outcome::PENDING && place.agent.empty()) {
                this->decide(active, result.index, wire::Outcome::UNKNOWN);
            }
        }
    }
    if (active.stage != Stage::Ended) {
        this->awaitingRecord.push_back(active.job->number);
    }
}

void CellOwner::cancelSlices()
{
    std::map<std::string, std::vector<wire::TaskRef>> byAgent;
    std::size_t handled = 0;
    while (!this->cancels.empty() && handled < cancelSlice && this->context.mayAct()) {
        auto *active = this->findActive(this->cancels.front());
        this->cancels.pop_front();
        if (active != nullptr && active->stage != Stage::Ended) {
            handled += active->places.size();
            this->cancelNow(*active, byAgent);
        }
    }
    this->sendCancels(byAgent);
}

void CellOwner::cancelNow(ActiveJob &active, std::map<std::string, std::vector<wire::TaskRef>> &byAgent)
{
    const auto number = active.job->number;
    this->scheduler.dropQueued(number);
    for (std::size_t i = 0; i < active.places.size() && active.stage != Stage::Ended; ++i) {
        const auto index = static_cast<int>(i);
        if (active.job->results[i].outcome != wire::Outcome::PENDING) {
            continue;
        }
        if (!active.places[i].agent.empty()) {
            wire::TaskRef ref;
            ref.key = active.job->spec.key;
            ref.index = index;
            byAgent[active.places[i].agent].push_back(std::move(ref));
            this->cancelled[number] = this->now();
        } else if (active.stage != Stage::AwaitingAgents) {
            this->decide(active, index, wire::Outcome::NOT_RUN);
        }
    }
}

/// Sends cancellations again that have had no effect.
void CellOwner::repeatCancels()
{
    const auto now = this->now();
    for (auto &[number, sentAt] : this->cancelled) {
        if (now - sentAt >= cancelRepeatAfter) {
            sentAt = now;
            this->cancels.push_back(number);
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
