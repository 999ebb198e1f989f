#include "cell_owner_p.h"

#include "base_log_p.h"

#include <algorithm>
#include <utility>

namespace agatedrum {

namespace {

/// Time after which a start is considered lost, and the agent's state requested, if the sequence in the agent's hello
/// is still lower.
constexpr Millis startLossTimeout {200};
/// Like startLossTimeout, for lost starts that show only in the agent's number of tasks. Longer, since results may
/// still be on their way to the owner.
constexpr Millis taskCountLossTimeout {500};
/// Time after which the agent's state is requested if the agent has not reported the started task as running.
constexpr Millis startConfirmTimeout {3000};
constexpr Millis fenceRepeatDelay {300};
/// Time for which the acknowledgement of recorded results waits to be sent together with a start to the same agent.
constexpr Millis ackDelay {100};
/// Pause before the next start to an agent that refused one. Doubled with each refusal until a task ends there.
constexpr Millis refusalPause {20};
constexpr int maxPauseDoublings = 6;
/// Number of starts of one task after which its outcome is NOT_RUN if the agent cannot reach its backend server.
constexpr int maxUnreachableSends = 4;
/// Number of starts of one task after which its outcome is NOT_RUN if the agent refuses the task.
constexpr int maxRefusedSends = 64;

wire::TaskRef makeTaskRef(const wire::JobKey &key, int index)
{
    wire::TaskRef ref;
    ref.key = key;
    ref.index = index;
    return ref;
}

} // namespace

/// Returns the agent with this id, which is added if it is new. A new incarnation replaces the earlier one, which is
/// marked as lost.
/// @return nullptr if the id is that of an earlier incarnation of a known agent.
CellOwner::Agent *CellOwner::addOrUpdateAgent(const wire::ProcessId &id, const wire::Endpoint &address)
{
    auto &agent = this->agents[id.name];
    const bool isNew = agent.id.name.empty();
    if (!isNew && id.incarnation < agent.id.incarnation) {
        return nullptr;
    }
    if (isNew || id.incarnation > agent.id.incarnation) {
        if (!isNew) {
            this->markLost(agent);
        }
        const bool isListed = agent.isListed;
        const bool isEvacuated = agent.isEvacuated;
        agent = Agent();
        agent.id = id;
        agent.isListed = isListed;
        agent.isEvacuated = isEvacuated;
        agent.lastHeardAt = this->now();
        agent.address = address;
        this->fence(agent);
    }
    agent.address = address;
    return &agent;
}

void CellOwner::recordContact(Agent &agent, const wire::ServerInfo &server)
{
    const auto now = this->now();
    agent.lastHeardAt = now;
    agent.server = server;
    if (agent.isLost) {
        agent.isLost = false;
        agent.hasReportedState = false;
        this->fence(agent);
    }
    const auto *configured = this->config.backendServer(agent.id.name);
    const int limit = configured == nullptr ? 0 : configured->maxSlots;
    const int slots = limit > 0 ? std::min(limit, server.slots) : server.slots;
    this->scheduler.setServer(agent.id.name, slots, server.connections, server.usage, now);
    this->updateAvailability(agent);
}

void CellOwner::updateAvailability(Agent &agent)
{
    const auto now = this->now();
    const auto *configured = this->config.backendServer(agent.id.name);
    const bool isDrained = configured != nullptr && configured->isDrained;
    const bool isUnresponsive = now - agent.lastHeardAt >= Millis(AGATEDRUM_AGENT_SILENT_MS);
    const bool isAvailable = agent.hasReportedState && !agent.isLost && !isUnresponsive && !isDrained
        && !agent.isEvacuated && !agent.server.leaving && agent.server.backendUp && now >= agent.pausedUntil;
    this->scheduler.setAvailable(agent.id.name, isAvailable, now);
}

void CellOwner::handleHello(const IncomingMessage &from, const wire::AgentHello &message)
{
    if (message.epoch > this->cellEpoch || !this->context.mayAct()) {
        return;
    }
    auto *agent = this->addOrUpdateAgent(from.sender, from.address);
    if (agent == nullptr) {
        return;
    }
    this->recordContact(*agent, message.server);
    if (message.epoch < this->cellEpoch) {
        this->fence(*agent);
    } else if (agent->hasReportedState) {
        agent->reportedSequence = std::max(agent->reportedSequence, message.lastSequence);
        this->checkForLostStarts(*agent, message);
    }
    this->runFollowUps();
}

/// Requests the agent's state if a start seems to have been lost on the way.
void CellOwner::checkForLostStarts(Agent &agent, const wire::AgentHello &hello)
{
    const auto now = this->now();
    std::int64_t overdueTasks = 0;
    bool isStartLost = false;
    for (const auto &[id, task] : agent.inFlight) {
        const auto age = now - task.sentAt;
        overdueTasks += age >= taskCountLossTimeout ? 1 : 0;
        isStartLost = isStartLost || (task.sequence > agent.reportedSequence && age >= startLossTimeout)
            || (!task.isConfirmed && age >= startConfirmTimeout);
    }
    // The agent also counts results that have arrived here but are not yet acknowledged. Their tasks are no longer in
    // flight, so they must not be counted.
    const auto unacknowledgedResults
        = std::count_if(this->pendingAcks.begin(), this->pendingAcks.end(),
                        [&agent](const PendingAck &ack) { return ack.agent == agent.id.name; })
        + static_cast<std::int64_t>(agent.recordedResults.size());
    if (isStartLost
        || overdueTasks > hello.running + std::max<std::int64_t>(0, hello.unacknowledged - unacknowledgedResults)) {
        this->fence(agent);
    }
}

void CellOwner::fence(Agent &agent)
{
    if (agent.fence) {
        return;
    }
    agent.fence = PendingFence {agent.lastSequence, std::nullopt};
    this->sendFence(agent);
}

void CellOwner::sendFence(Agent &agent)
{
    wire::Fence fence;
    fence.cell = this->cell;
    fence.epoch = this->cellEpoch;
    fence.barrier = agent.fence->barrier;
    if (this->send(agent.address, std::move(fence))) {
        agent.fence->sentAt = this->now();
    }
}

void CellOwner::handleAgentState(const IncomingMessage &from, const wire::AgentState &message)
{
    if (message.epoch != this->cellEpoch || !this->context.mayAct()) {
        return;
    }
    auto *agent = this->addOrUpdateAgent(from.sender, from.address);
    if (agent == nullptr) {
        return;
    }
    const auto now = this->now();
    if (agent->fence && message.barrier >= agent->fence->barrier) {
        agent->fence.reset();
        agent->hasReportedState = true;
        agent->stateReportedAt = now;
        agent->uptime = Micros(message.uptimeMicros);
    }
    this->recordContact(*agent, message.server);
    std::set<std::pair<JobNumber, int>> listed;
    for (const auto &task : message.tasks) {
        if (const auto *job = this->ledger.find(task.ref.key)) {
            listed.emplace(job->number, task.ref.index);
        }
        if (task.running) {
            this->adoptRunningTask(*agent, task);
        } else {
            this->handleResult(from.sender.name, task.ref.key, task.result, 0);
        }
    }
    std::vector<std::pair<JobNumber, int>> notStarted;
    for (const auto &[id, task] : agent->inFlight) {
        // A task that was found running has sequence 0. The agent stops listing such a task only if it certainly did
        // not run.
        if (task.sequence <= message.barrier && listed.count(id) == 0) {
            notStarted.push_back(id);
        }
    }
    for (const auto &[number, index] : notStarted) {
        this->handleNotStarted(*this->findActiveJob(number), index);
    }
    this->runFollowUps();
}

/// Tracks a task that an agent reports as running.
void CellOwner::adoptRunningTask(Agent &agent, const wire::AgentTask &task)
{
    auto *job = this->ledger.find(task.ref.key);
    auto *activeJob = job == nullptr ? nullptr : this->findActiveJob(job->number);
    const auto index = static_cast<std::size_t>(task.ref.index);
    const bool skipsFencing = this->context.defects != nullptr && this->context.defects->skipsFencing;
    if (activeJob == nullptr || index >= activeJob->locations.size()
        || job->results[index].outcome != wire::Outcome::PENDING || skipsFencing) {
        return;
    }
    auto &location = activeJob->locations[index];
    const auto taskId = std::make_pair(job->number, task.ref.index);
    if (location.agent == agent.id.name) {
        agent.inFlight[taskId].isConfirmed = true;
    } else if (location.agent.empty() && activeJob->stage == Stage::AwaitingAgents) {
        location.agent = agent.id.name;
        location.sequence = 0;
        agent.inFlight[taskId] = {job->number, task.ref.index, 0, this->now(), true};
        this->scheduler.adopt(this->toScheduledJob(*job), {{job->number, task.ref.index}, agent.id.name}, this->now());
        if (job->isCancelled) {
            this->pendingCancels.push_back(job->number);
        }
    } else {
        log(LogLevel::Error, "owner", "cell {}: agent {} runs task {} of submission {}, which was not sent to it",
            this->cell, agent.id.name, task.ref.index, job->spec.key.submission);
    }
}

void CellOwner::handleStartRefused(const IncomingMessage &from, const wire::StartRefused &message)
{
    if (message.epoch != this->cellEpoch || !this->context.mayAct()) {
        return;
    }
    auto *agent = this->addOrUpdateAgent(from.sender, from.address);
    if (agent == nullptr) {
        return;
    }
    bool isPaused = false;
    for (std::size_t i = 0; i < message.refs.size(); ++i) {
        const auto &ref = message.refs[i];
        const auto *job = this->ledger.find(ref.key);
        auto *activeJob = job == nullptr ? nullptr : this->findActiveJob(job->number);
        const auto index = static_cast<std::size_t>(ref.index);
        if (activeJob == nullptr || index >= activeJob->locations.size()
            || activeJob->locations[index].agent != agent->id.name) {
            continue;
        }
        const auto &location = activeJob->locations[index];
        const auto sequence = i < message.sequences.size() ? message.sequences[i] : 0;
        if (sequence > 0 ? sequence == location.sequence : location.sendCount == 1) {
            isPaused = true;
            this->handleNotStarted(*activeJob, ref.index);
        } else if (sequence == 0) {
            // The message may be a duplicate of the refusal of an earlier start.
            this->fence(*agent);
        }
    }
    if (isPaused) {
        const auto pauseDoublings = std::min(agent->consecutiveRefusals++, maxPauseDoublings);
        agent->pausedUntil = this->now() + refusalPause * (1 << pauseDoublings);
    }
    this->updateAvailability(*agent);
    this->runFollowUps();
}

/// Queues a task again that certainly did not start, or gives it the outcome NOT_RUN if its job is cancelled or it was
/// sent too often.
void CellOwner::handleNotStarted(ActiveJob &activeJob, int index)
{
    const auto number = activeJob.job->number;
    const Assignment assignment {{number, index}, activeJob.locations[static_cast<std::size_t>(index)].agent};
    this->clearLocation(activeJob, index);
    if (activeJob.job->isCancelled
        || activeJob.locations[static_cast<std::size_t>(index)].sendCount >= maxRefusedSends) {
        this->scheduler.finished(assignment, wire::Outcome::STOPPED, Micros(0), this->now());
        this->completeTask(activeJob, index, wire::Outcome::NOT_RUN);
    } else {
        this->scheduler.requeue(assignment, this->now());
    }
}

void CellOwner::clearLocation(ActiveJob &activeJob, int index)
{
    auto &location = activeJob.locations[static_cast<std::size_t>(index)];
    if (const auto agent = this->agents.find(location.agent); agent != this->agents.end()) {
        agent->second.inFlight.erase({activeJob.job->number, index});
    }
    location.agent.clear();
    location.sequence = 0;
}

void CellOwner::handleResults(const IncomingMessage &from, const wire::ResultBatch &message)
{
    if (!this->context.mayAct()) {
        return;
    }
    // The acknowledgement needs the agent's address, so an unknown agent has to be added.
    if (this->addOrUpdateAgent(from.sender, from.address) == nullptr) {
        return;
    }
    for (const auto &result : message.results) {
        this->handleResult(from.sender.name, result.key, result.result, result.sequence);
    }
    this->runFollowUps();
}

/// Returns whether a report that a task did not run belongs to an earlier start than the current one.
bool CellOwner::isStaleNotRun(const TaskLocation &location, const std::string &sender, std::int64_t sequence) const
{
    return location.agent != sender || (sequence > 0 && location.sequence > 0 && sequence != location.sequence);
}

void CellOwner::handleResult(const std::string &sender, const wire::JobKey &key, const wire::TaskResult &result,
                             std::int64_t sequence)
{
    auto *job = this->ledger.find(key);
    const auto index = static_cast<std::size_t>(result.index);
    auto *activeJob = job == nullptr ? nullptr : this->findActiveJob(job->number);
    if (activeJob == nullptr || index >= activeJob->locations.size()
        || job->results[index].outcome != wire::Outcome::PENDING) {
        this->queueAck(sender, key, result.index);
        return;
    }
    const auto &location = activeJob->locations[index];
    if (result.outcome != wire::Outcome::NOT_RUN) {
        this->completeTask(*activeJob, result);
    } else if (activeJob->stage != Stage::AwaitingAgents && !this->isStaleNotRun(location, sender, sequence)) {
        this->handleNotRun(*activeJob, result, sequence);
    }
    this->queueAck(sender, key, result.index);
}

/// Handles the report that a task did not run because the agent could not reach its backend server. Precondition: the
/// report belongs to the current start.
void CellOwner::handleNotRun(ActiveJob &activeJob, const wire::TaskResult &result, std::int64_t sequence)
{
    const auto &location = activeJob.locations[static_cast<std::size_t>(result.index)];
    if (sequence > 0 && location.sequence > 0 && location.sendCount < maxUnreachableSends
        && !activeJob.job->isCancelled) {
        this->handleNotStarted(activeJob, result.index);
        return;
    }
    // Without a sequence the report may belong to an earlier start than the current one.
    const bool isCertain = sequence > 0 || location.sendCount <= 1;
    this->completeTask(activeJob, result.index, isCertain ? wire::Outcome::NOT_RUN : wire::Outcome::UNKNOWN);
}

void CellOwner::completeTask(ActiveJob &activeJob, int index, wire::Outcome::type outcome)
{
    wire::TaskResult result;
    result.index = index;
    result.outcome = outcome;
    this->completeTask(activeJob, result);
}

/// Sets the result of a task, frees its slot and records the result. Has no effect on the result if it is already set.
void CellOwner::completeTask(ActiveJob &activeJob, const wire::TaskResult &result)
{
    const auto now = this->now();
    const auto index = result.index;
    const auto number = activeJob.job->number;
    const auto &location = activeJob.locations[static_cast<std::size_t>(index)];
    if (!location.agent.empty()) {
        const Assignment assignment {{number, index}, location.agent};
        this->agents.at(location.agent).consecutiveRefusals = 0;
        this->clearLocation(activeJob, index);
        this->scheduler.finished(assignment, result.outcome, Micros(result.runMicros), now);
    }
    if (!this->ledger.setResult(*activeJob.job, result, now)) {
        return;
    }
    if (!this->recordStream.hasUnsent()) {
        this->oldestUnsentResultAt = now;
    }
    this->recordStream.appendResult(activeJob.job->spec.key, result);
    if (activeJob.job->hasEnded()) {
        this->finishJob(activeJob);
    }
}

/// Queues the answer of a job that has ended and marks the job for removal from the active jobs.
void CellOwner::finishJob(ActiveJob &activeJob)
{
    auto &pending = this->pendingAnswers[activeJob.job->number];
    // Agents keep the results that they reported until they are acknowledged. NOT_RUN and UNKNOWN may exist only in the
    // record, so the answer must wait until they are recorded.
    const auto &results = activeJob.job->results;
    const bool mustBeRecorded = std::any_of(results.begin(), results.end(), [](const auto &result) {
        return result.outcome == wire::Outcome::NOT_RUN || result.outcome == wire::Outcome::UNKNOWN;
    });
    if (mustBeRecorded) {
        pending.sequence = this->recordStream.lastAppendedSequence();
        this->isFlushUrgent = true;
    }
    this->cancelled.erase(activeJob.job->number);
    activeJob.stage = Stage::Ended;
    this->ended.push_back(activeJob.job->number);
}

void CellOwner::queueAck(const std::string &agent, const wire::JobKey &key, int index)
{
    this->pendingAcks.push_back({this->recordStream.lastAppendedSequence(), agent, makeTaskRef(key, index)});
}

/// Moves the acknowledgements whose results are recorded by all required holders to the queues of their agents.
void CellOwner::collectRecordedResults()
{
    while (!this->pendingAcks.empty() && this->recordStream.isRecorded(this->pendingAcks.front().sequence, 1)) {
        auto &ack = this->pendingAcks.front();
        if (const auto found = this->agents.find(ack.agent); found != this->agents.end()) {
            auto &agent = found->second;
            if (agent.recordedResults.empty()) {
                agent.oldestRecordedAt = this->now();
            }
            agent.recordedResults.push_back(std::move(ack.ref));
        }
        this->pendingAcks.pop_front();
    }
}

void CellOwner::sendAcks(Agent &agent)
{
    if (agent.recordedResults.empty() || !this->context.mayAct()) {
        return;
    }
    wire::ResultAck ack;
    ack.cell = this->cell;
    ack.epoch = this->cellEpoch;
    ack.refs = std::exchange(agent.recordedResults, {});
    this->send(agent.address, std::move(ack));
}

/// Marks an agent as lost that has timed out or restarted. Its tasks get the outcome UNKNOWN, since they may have run.
void CellOwner::markLost(Agent &agent)
{
    if (agent.isLost) {
        return;
    }
    agent.isLost = true;
    agent.fence.reset();
    const auto inFlight = agent.inFlight;
    for (const auto &[id, task] : inFlight) {
        if (auto *activeJob = this->findActiveJob(id.first)) {
            this->completeTask(*activeJob, id.second, wire::Outcome::UNKNOWN);
        }
    }
    agent.inFlight.clear();
    this->scheduler.removeServer(agent.id.name);
    log(LogLevel::Info, "owner", "cell {}: agent {} lost, outcome of {} tasks unknown", this->cell, agent.id.name,
        inFlight.size());
}

void CellOwner::tickAgents()
{
    const auto now = this->now();
    // A lost agent is kept so that the sequence of its starts continues if the same incarnation returns.
    for (auto &[name, agent] : this->agents) {
        if (now - agent.lastHeardAt >= Millis(AGATEDRUM_AGENT_LOST_MS)) {
            this->markLost(agent);
        }
        if (agent.fence && (!agent.fence->sentAt || now - *agent.fence->sentAt >= fenceRepeatDelay)) {
            this->sendFence(agent);
        }
        if (now - agent.oldestRecordedAt >= ackDelay) {
            this->sendAcks(agent);
        }
        this->updateAvailability(agent);
    }
}

} // namespace agatedrum
