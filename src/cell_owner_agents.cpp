#include "cell_owner_p.h"

#include "base_log_p.h"

#include <algorithm>
#include <utility>

namespace agatedrum {

namespace {

/// A start that the agent's hello does not cover after this time is taken as lost and asked for.
constexpr Millis startLostAfter {200};
/// As above, when only the number of tasks at the agent tells; results may be under way.
constexpr Millis countLostAfter {500};
/// A start that nothing has confirmed is asked for after this time.
constexpr Millis confirmAfter {3000};
constexpr Millis fenceRepeatAfter {300};
/// Time for which recorded results wait for a start to the same agent, with which their acknowledgement travels.
constexpr Millis ackDelay {100};
/// Pause in starts to an agent that refused one; doubled with each refusal until a task ends there.
constexpr Millis refusalPause {20};
constexpr int maxPauseDoublings = 6;
/// Sends of one task whose backend server could not be reached after which its outcome is NOT_RUN.
constexpr int maxUnreachedSends = 4;
/// Sends of one task that agents refused after which its outcome is NOT_RUN.
constexpr int maxRefusedSends = 64;

wire::TaskRef refOf(const wire::JobKey &key, int index)
{
    wire::TaskRef ref;
    ref.key = key;
    ref.index = index;
    return ref;
}

} // namespace

/// Finds or adds an agent. @return nullptr for an earlier incarnation of a known agent.
CellOwner::Agent *CellOwner::meet(const wire::ProcessId &id, const wire::Endpoint &address)
{
    auto &agent = this->agents[id.name];
    const bool isNew = agent.id.name.empty();
    if (!isNew && id.incarnation < agent.id.incarnation) {
        return nullptr;
    }
    if (isNew || id.incarnation > agent.id.incarnation) {
        if (!isNew) {
            this->lose(agent);
        }
        const bool isListed = agent.isListed;
        agent = Agent();
        agent.id = id;
        agent.isListed = isListed;
        agent.heardAt = this->now();
        agent.address = address;
        this->fence(agent);
    }
    agent.address = address;
    return &agent;
}

void CellOwner::heard(Agent &agent, const wire::ServerInfo &server)
{
    const auto now = this->now();
    agent.heardAt = now;
    agent.server = server;
    if (agent.isLost) {
        agent.isLost = false;
        agent.hasState = false;
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
    const bool isSilent = now - agent.heardAt >= Millis(AGATEDRUM_AGENT_SILENT_MS);
    const bool isAvailable = agent.hasState && !agent.isLost && !isSilent && !isDrained && !agent.server.leaving
        && agent.server.backendUp && now >= agent.pausedUntil;
    this->scheduler.setAvailable(agent.id.name, isAvailable, now);
}

void CellOwner::hello(const Incoming &from, const wire::AgentHello &message)
{
    if (message.epoch > this->cellEpoch || !this->context.mayAct()) {
        return;
    }
    auto *agent = this->meet(from.sender, from.address);
    if (agent == nullptr) {
        return;
    }
    this->heard(*agent, message.server);
    if (message.epoch < this->cellEpoch) {
        this->fence(*agent);
    } else if (agent->hasState) {
        agent->heardSequence = std::max(agent->heardSequence, message.lastSequence);
        this->checkForLoss(*agent, message);
    }
    this->afterMessage();
}

/// Asks for the agent's state when a start seems to have been lost on the way.
void CellOwner::checkForLoss(Agent &agent, const wire::AgentHello &hello)
{
    const auto now = this->now();
    std::int64_t unaccounted = 0;
    bool isLost = false;
    for (const auto &[id, flight] : agent.flights) {
        const auto age = now - flight.sentAt;
        unaccounted += age >= countLostAfter ? 1 : 0;
        isLost = isLost || (flight.sequence > agent.heardSequence && age >= startLostAfter)
            || (!flight.isConfirmed && age >= confirmAfter);
    }
    // Results that arrived and are not yet acknowledged say nothing of the tasks still open here.
    const auto arrived = std::count_if(this->acks.begin(), this->acks.end(),
                                       [&agent](const PendingAck &ack) { return ack.agent == agent.id.name; })
        + static_cast<std::int64_t>(agent.recorded.size());
    if (isLost || unaccounted > hello.running + std::max<std::int64_t>(0, hello.unacknowledged - arrived)) {
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

void CellOwner::state(const Incoming &from, const wire::AgentState &message)
{
    if (message.epoch != this->cellEpoch || !this->context.mayAct()) {
        return;
    }
    auto *agent = this->meet(from.sender, from.address);
    if (agent == nullptr) {
        return;
    }
    const auto now = this->now();
    if (agent->fence && message.barrier >= agent->fence->barrier) {
        agent->fence.reset();
        agent->hasState = true;
        agent->stateAt = now;
        agent->uptime = Micros(message.uptimeMicros);
    }
    this->heard(*agent, message.server);
    std::set<std::pair<JobNumber, int>> listed;
    for (const auto &task : message.tasks) {
        if (const auto *job = this->ledger.find(task.ref.key)) {
            listed.emplace(job->number, task.ref.index);
        }
        if (task.running) {
            this->adopt(*agent, task);
        } else {
            this->acceptResult(from.sender.name, task.ref.key, task.result, 0);
        }
    }
    std::vector<std::pair<JobNumber, int>> notStarted;
    for (const auto &[id, flight] : agent->flights) {
        // A task that was found running has sequence 0: the agent drops it only when it certainly did not run.
        if (flight.sequence <= message.barrier && listed.count(id) == 0) {
            notStarted.push_back(id);
        }
    }
    for (const auto &[number, index] : notStarted) {
        this->takeBack(*this->findActive(number), index);
    }
    this->afterMessage();
}

/// Notes a task that an agent reports as running.
void CellOwner::adopt(Agent &agent, const wire::AgentTask &task)
{
    auto *job = this->ledger.find(task.ref.key);
    auto *active = job == nullptr ? nullptr : this->findActive(job->number);
    const auto index = static_cast<std::size_t>(task.ref.index);
    const bool skipsFencing = this->context.defects != nullptr && this->context.defects->skipsFencing;
    if (active == nullptr || index >= active->places.size() || job->results[index].outcome != wire::Outcome::PENDING
        || skipsFencing) {
        return;
    }
    auto &place = active->places[index];
    const auto id = std::make_pair(job->number, task.ref.index);
    if (place.agent == agent.id.name) {
        agent.flights[id].isConfirmed = true;
    } else if (place.agent.empty() && active->stage == Stage::AwaitingAgents) {
        place.agent = agent.id.name;
        place.sequence = 0;
        agent.flights[id] = {job->number, task.ref.index, 0, this->now(), true};
        this->scheduler.adopt(this->scheduled(*job), {{job->number, task.ref.index}, agent.id.name}, this->now());
        if (job->isCancelled) {
            this->cancels.push_back(job->number);
        }
    } else {
        log(LogLevel::Error, "owner", "cell {}: agent {} runs task {} of {}, which was not sent to it", this->cell,
            agent.id.name, task.ref.index, job->spec.key.submission);
    }
}

void CellOwner::refused(const Incoming &from, const wire::StartRefused &message)
{
    if (message.epoch != this->cellEpoch || !this->context.mayAct()) {
        return;
    }
    auto *agent = this->meet(from.sender, from.address);
    if (agent == nullptr) {
        return;
    }
    bool isPaused = false;
    for (std::size_t i = 0; i < message.refs.size(); ++i) {
        const auto &ref = message.refs[i];
        const auto *job = this->ledger.find(ref.key);
        auto *active = job == nullptr ? nullptr : this->findActive(job->number);
        const auto index = static_cast<std::size_t>(ref.index);
        if (active == nullptr || index >= active->places.size() || active->places[index].agent != agent->id.name) {
            continue;
        }
        const auto &place = active->places[index];
        const auto sequence = i < message.sequences.size() ? message.sequences[i] : 0;
        if (sequence > 0 ? sequence == place.sequence : place.sends == 1) {
            isPaused = true;
            this->takeBack(*active, ref.index);
        } else if (sequence == 0) {
            // The refusal may be a copy of that of an earlier start.
            this->fence(*agent);
        }
    }
    if (isPaused) {
        const auto doublings = std::min(agent->refusals++, maxPauseDoublings);
        agent->pausedUntil = this->now() + refusalPause * (1 << doublings);
    }
    this->updateAvailability(*agent);
    this->afterMessage();
}

/// The agent certified that the task did not start.
void CellOwner::takeBack(ActiveJob &active, int index)
{
    const auto number = active.job->number;
    const Assignment assignment {{number, index}, active.places[static_cast<std::size_t>(index)].agent};
    this->leaveAgent(active, index);
    if (active.job->isCancelled || active.places[static_cast<std::size_t>(index)].sends >= maxRefusedSends) {
        this->scheduler.finished(assignment, wire::Outcome::STOPPED, Micros(0), this->now());
        this->decide(active, index, wire::Outcome::NOT_RUN);
    } else {
        this->scheduler.requeue(assignment, this->now());
    }
}

void CellOwner::leaveAgent(ActiveJob &active, int index)
{
    auto &place = active.places[static_cast<std::size_t>(index)];
    if (const auto agent = this->agents.find(place.agent); agent != this->agents.end()) {
        agent->second.flights.erase({active.job->number, index});
    }
    place.agent.clear();
    place.sequence = 0;
}

void CellOwner::results(const Incoming &from, const wire::ResultBatch &message)
{
    if (!this->context.mayAct()) {
        return;
    }
    // The acknowledgement needs the agent's address, also when the agent was not met before.
    if (this->meet(from.sender, from.address) == nullptr) {
        return;
    }
    for (const auto &result : message.results) {
        this->acceptResult(from.sender.name, result.key, result.result, result.sequence);
    }
    this->afterMessage();
}

/// Whether a report that a task did not run belongs to an earlier start than the present one.
bool CellOwner::isStaleNotRun(const Place &place, const std::string &sender, std::int64_t sequence) const
{
    return place.agent != sender || (sequence > 0 && place.sequence > 0 && sequence != place.sequence);
}

void CellOwner::acceptResult(const std::string &sender, const wire::JobKey &key, const wire::TaskResult &result,
                             std::int64_t sequence)
{
    auto *job = this->ledger.find(key);
    const auto index = static_cast<std::size_t>(result.index);
    auto *active = job == nullptr ? nullptr : this->findActive(job->number);
    if (active == nullptr || index >= active->places.size() || job->results[index].outcome != wire::Outcome::PENDING) {
        this->acknowledgeLater(sender, key, result.index);
        return;
    }
    const auto &place = active->places[index];
    if (result.outcome != wire::Outcome::NOT_RUN) {
        this->decide(*active, result);
    } else if (active->stage != Stage::AwaitingAgents && !this->isStaleNotRun(place, sender, sequence)) {
        this->acceptNotRun(*active, result, sequence);
    }
    this->acknowledgeLater(sender, key, result.index);
}

/// The agent could not reach its backend server. Precondition: the report belongs to the present start.
void CellOwner::acceptNotRun(ActiveJob &active, const wire::TaskResult &result, std::int64_t sequence)
{
    const auto &place = active.places[static_cast<std::size_t>(result.index)];
    if (sequence > 0 && place.sequence > 0 && place.sends < maxUnreachedSends && !active.job->isCancelled) {
        this->takeBack(active, result.index);
        return;
    }
    // Without a sequence the report may be of an earlier start than the present one.
    const bool isCertain = sequence > 0 || place.sends <= 1;
    this->decide(active, result.index, isCertain ? wire::Outcome::NOT_RUN : wire::Outcome::UNKNOWN);
}

void CellOwner::decide(ActiveJob &active, int index, wire::Outcome::type outcome)
{
    wire::TaskResult result;
    result.index = index;
    result.outcome = outcome;
    this->decide(active, result);
}

/// Sets a task's outcome, frees its slot, and records it.
void CellOwner::decide(ActiveJob &active, const wire::TaskResult &result)
{
    const auto now = this->now();
    const auto index = result.index;
    const auto number = active.job->number;
    const auto &place = active.places[static_cast<std::size_t>(index)];
    if (!place.agent.empty()) {
        const Assignment assignment {{number, index}, place.agent};
        this->agents.at(place.agent).refusals = 0;
        this->leaveAgent(active, index);
        this->scheduler.finished(assignment, result.outcome, Micros(result.runMicros), now);
    }
    if (!this->ledger.decide(*active.job, result, now)) {
        return;
    }
    if (!this->stream.hasUnsent()) {
        this->resultsSince = now;
    }
    this->stream.appendResult(active.job->spec.key, result);
    if (active.job->hasEnded()) {
        this->finish(active);
    }
}

/// Queues the answer of a job that has ended, and ends its activity.
void CellOwner::finish(ActiveJob &active)
{
    auto &pending = this->answers[active.job->number];
    // Outcomes that agents reported are still held there; the others are only in the record.
    const auto &results = active.job->results;
    const bool mustBeRecorded = std::any_of(results.begin(), results.end(), [](const auto &result) {
        return result.outcome == wire::Outcome::NOT_RUN || result.outcome == wire::Outcome::UNKNOWN;
    });
    if (mustBeRecorded) {
        pending.sequence = this->stream.lastAppended();
        this->isUrgent = true;
    }
    this->cancelled.erase(active.job->number);
    active.stage = Stage::Ended;
    this->ended.push_back(active.job->number);
}

void CellOwner::acknowledgeLater(const std::string &agent, const wire::JobKey &key, int index)
{
    this->acks.push_back({this->stream.lastAppended(), agent, refOf(key, index)});
}

/// Hands the results that all holders have to their agents' acknowledgements.
void CellOwner::takeRecorded()
{
    while (!this->acks.empty() && this->stream.isRecorded(this->acks.front().sequence, 1)) {
        auto &ack = this->acks.front();
        if (const auto found = this->agents.find(ack.agent); found != this->agents.end()) {
            auto &agent = found->second;
            if (agent.recorded.empty()) {
                agent.recordedSince = this->now();
            }
            agent.recorded.push_back(std::move(ack.ref));
        }
        this->acks.pop_front();
    }
}

void CellOwner::sendAcks(Agent &agent)
{
    if (agent.recorded.empty() || !this->context.mayAct()) {
        return;
    }
    wire::ResultAck ack;
    ack.cell = this->cell;
    ack.epoch = this->cellEpoch;
    ack.refs = std::exchange(agent.recorded, {});
    this->send(agent.address, std::move(ack));
}

/// The agent is gone or has restarted: its tasks may have run.
void CellOwner::lose(Agent &agent)
{
    if (agent.isLost) {
        return;
    }
    agent.isLost = true;
    agent.fence.reset();
    const auto flights = agent.flights;
    for (const auto &[id, flight] : flights) {
        if (auto *active = this->findActive(id.first)) {
            this->decide(*active, id.second, wire::Outcome::UNKNOWN);
        }
    }
    agent.flights.clear();
    this->scheduler.removeServer(agent.id.name);
    log(LogLevel::Info, "owner", "cell {}: agent {} lost, {} tasks unknown", this->cell, agent.id.name, flights.size());
}

void CellOwner::tickAgents()
{
    const auto now = this->now();
    // A lost agent is kept: when the same incarnation returns, its start sequence goes on.
    for (auto &[name, agent] : this->agents) {
        if (now - agent.heardAt >= Millis(AGATEDRUM_AGENT_LOST_MS)) {
            this->lose(agent);
        }
        if (agent.fence && (!agent.fence->sentAt || now - *agent.fence->sentAt >= fenceRepeatAfter)) {
            this->sendFence(agent);
        }
        if (now - agent.recordedSince >= ackDelay) {
            this->sendAcks(agent);
        }
        this->updateAvailability(agent);
    }
}

} // namespace agatedrum
