#include "agent_core_p.h"

#include "base_log_p.h"

#include <event2/http.h>

#include <algorithm>
#include <cstdlib>
#include <memory>
#include <utility>

namespace agatedrum {

namespace {

/// Result bodies per message; keeps the message well below the maximum frame size.
constexpr std::size_t maxBatchBytes = 1024UL * 1024;

std::string uriEncoded(const std::string &text)
{
    const std::unique_ptr<char, decltype(&std::free)> result(evhttp_encode_uri(text.c_str()), &std::free);
    return result ? std::string(result.get()) : std::string();
}

std::string taskHeader(const wire::StartTask &start)
{
    return uriEncoded(start.ref.key.caller) + "/" + uriEncoded(start.ref.key.submission) + "/"
        + uriEncoded(start.taskId);
}

wire::AgentTask toWire(const AgentTask &task, bool isResultIncluded)
{
    wire::AgentTask result;
    result.ref = task.ref;
    result.running = task.isRunning || !isResultIncluded;
    if (!result.running) {
        result.result = task.result;
    }
    result.result.index = task.ref.index;
    return result;
}

} // namespace

AgentCore::AgentCore(MessageSinkI &sink, const ClockI &clock, MemberLink &link, BackendClientI &backendClient,
                     AgentOptions options)
    : sink(sink)
    , clock(clock)
    , link(link)
    , backendClient(backendClient)
    , options(std::move(options))
    , createdAt(clock.now())
{
}

void AgentCore::handle(const IncomingMessage &incoming)
{
    const std::lock_guard lock(this->mutex);
    if (this->link.handle(incoming)) {
        this->applyNewView();
        return;
    }
    if (const auto *start = std::get_if<wire::StartBatch>(&incoming.payload)) {
        this->apply(*start, incoming);
    } else if (const auto *cancel = std::get_if<wire::CancelBatch>(&incoming.payload)) {
        this->apply(*cancel, incoming);
    } else if (const auto *ack = std::get_if<wire::ResultAck>(&incoming.payload)) {
        this->apply(*ack, incoming);
    } else if (const auto *fence = std::get_if<wire::Fence>(&incoming.payload)) {
        this->apply(*fence, incoming);
    }
}

void AgentCore::tick()
{
    const std::lock_guard lock(this->mutex);
    const auto now = this->clock.now();
    this->updateBackendState();
    MemberReport report;
    if (this->announced) {
        report.server = this->serverInfo();
    }
    report.isLeaving = this->isStopping;
    this->link.tick(report);
    if (now >= this->nextHelloAt) {
        this->sendHello();
    }
    this->sendResults(this->tasks.collectDueResults(now, now + this->options.resendInterval));
}

void AgentCore::applyNewView()
{
    if (this->link.viewVersion() == this->appliedViewVersion) {
        return;
    }
    const auto view = this->link.view();
    this->appliedViewVersion = view.version;
    this->ownCell.reset();
    if (view.cells.empty()) {
        return;
    }
    const auto &own = view.cells.front();
    this->ownCell = own.cell;
    auto &cell = this->cells[own.cell];
    if (own.epoch < cell.ownerEpoch) {
        return;
    }
    cell.ownerEpoch = own.epoch;
    const auto owner = own.__isset.owner ? std::optional(own.owner.address) : std::nullopt;
    if (owner != cell.owner) {
        cell.owner = owner;
        this->nextHelloAt = Time {};
    }
}

/// Accepts a higher epoch, which ends the lower one: starts of the lower epoch are refused from now on.
void AgentCore::updateEpoch(CellState &cell, std::int64_t epoch, const wire::Endpoint &owner)
{
    if (epoch > cell.epoch) {
        cell.epoch = epoch;
        cell.lastSequence = 0;
    }
    if (epoch >= cell.ownerEpoch) {
        cell.ownerEpoch = epoch;
        cell.owner = owner;
    }
}

void AgentCore::apply(const wire::StartBatch &batch, const IncomingMessage &incoming)
{
    // An earlier incarnation of this agent may have run these tasks, so they must not be reported as refused.
    if (batch.agentIncarnation != this->options.self.incarnation) {
        this->otherIncarnationStarts += batch.starts.size();
        log(LogLevel::Info, "agent", "ignored {} starts for incarnation {}", batch.starts.size(),
            batch.agentIncarnation);
        return;
    }
    auto &cell = this->cells[batch.cell];
    if (batch.epoch >= cell.epoch) {
        this->updateEpoch(cell, batch.epoch, incoming.address);
    }
    RefusalsByReason refused;
    for (const auto &start : batch.starts) {
        const auto reason = this->refusalReason(start, batch, cell);
        if (batch.epoch == cell.epoch) {
            cell.lastSequence = std::max(cell.lastSequence, start.sequence);
        }
        if (this->tasks.find(start.ref) != nullptr) {
            continue; // repeated start: the result is reported when the task ends
        }
        if (reason.empty()) {
            this->startTask(start, batch);
            continue;
        }
        this->formerOwnerStarts += batch.epoch < cell.epoch ? 1 : 0;
        auto &message = refused[reason];
        message.refs.push_back(start.ref);
        message.sequences.push_back(start.sequence);
    }
    for (auto &[reason, message] : refused) {
        log(LogLevel::Info, "agent", "refused {} starts: {}", message.refs.size(), reason);
        this->refusedStarts += message.refs.size();
        message.cell = batch.cell;
        message.epoch = batch.epoch;
        message.reason = reason;
        this->sink.send(incoming.address, std::move(message));
    }
}

std::string AgentCore::refusalReason(const wire::StartTask &start, const wire::StartBatch &batch,
                                     const CellState &cell) const
{
    if (batch.epoch < cell.epoch) {
        return "epoch is over";
    }
    if (start.sequence <= cell.lastSequence) {
        return "sequence has passed";
    }
    if (!this->ownCell || *this->ownCell != batch.cell) {
        return "agent is not in this cell";
    }
    if (this->isLeaving()) {
        return "leaving";
    }
    if (this->link.isOwnDomainEvacuated()) {
        return "the failure domain is evacuated";
    }
    if (!this->isBackendUp()) {
        return "backend server is down";
    }
    const auto slots = static_cast<std::size_t>(this->announced->slots);
    if (this->tasks.running() >= slots) {
        return "all slots are taken";
    }
    if (this->tasks.unacknowledged() >= slots * static_cast<std::size_t>(this->options.maxResultsPerSlot)
        || this->tasks.unacknowledgedBytes() >= this->options.maxResultBytes) {
        return "too many results wait for acknowledgement";
    }
    return {};
}

void AgentCore::startTask(const wire::StartTask &start, const wire::StartBatch &batch)
{
    AgentTask task;
    task.ref = start.ref;
    task.cell = batch.cell;
    task.epoch = batch.epoch;
    task.sequence = start.sequence;
    task.callNumber = ++this->lastCallNumber;
    this->tasks.add(task);

    BackendCall call;
    call.number = task.callNumber;
    call.url = this->announced->url;
    call.taskHeader = taskHeader(start);
    call.body = start.body;
    call.timeout = start.timeLimitMs > 0 ? Millis(start.timeLimitMs) : this->options.defaultTaskTimeout;
    this->backendClient.start(std::move(call));
}

void AgentCore::apply(const wire::CancelBatch &batch, const IncomingMessage & /*incoming*/)
{
    const auto cell = this->cells.find(batch.cell);
    if (cell == this->cells.end() || batch.epoch < cell->second.epoch) {
        return;
    }
    for (const auto &ref : batch.refs) {
        auto *task = this->tasks.find(ref);
        if (task != nullptr && task->isRunning && !task->isStopping) {
            task->isStopping = true;
            this->backendClient.stop(task->callNumber);
        }
    }
}

void AgentCore::apply(const wire::ResultAck &ack, const IncomingMessage & /*incoming*/)
{
    // The record of a former owner may not be the authoritative one, so only the current owner's acknowledgement
    // counts.
    const auto cell = this->cells.find(ack.cell);
    if (cell == this->cells.end() || ack.epoch < cell->second.epoch) {
        return;
    }
    for (const auto &ref : ack.refs) {
        const auto *task = this->tasks.find(ref);
        if (task != nullptr && !task->isRunning) {
            this->tasks.remove(*task);
        }
    }
}

void AgentCore::apply(const wire::Fence &fence, const IncomingMessage &incoming)
{
    auto &cell = this->cells[fence.cell];
    if (fence.epoch < cell.epoch) {
        return;
    }
    this->updateEpoch(cell, fence.epoch, incoming.address);
    cell.lastSequence = std::max(cell.lastSequence, fence.barrier);
    wire::AgentState state;
    state.cell = fence.cell;
    state.epoch = fence.epoch;
    state.barrier = fence.barrier;
    // Results that exceed the size limit are listed as running and are sent in separate messages.
    std::size_t bytes = 0;
    std::vector<const AgentTask *> deferred;
    for (const auto *task : this->tasks.tasksOfCell(fence.cell)) {
        bytes += task->result.body.size();
        state.tasks.push_back(toWire(*task, bytes <= maxBatchBytes));
        if (!task->isRunning && bytes > maxBatchBytes) {
            deferred.push_back(task);
        }
    }
    state.server = this->serverInfo();
    state.uptimeMicros = (this->clock.now() - this->createdAt).count();
    this->sink.send(incoming.address, std::move(state));
    this->sendResults(deferred);
}

void AgentCore::finished(const BackendOutcome &outcome)
{
    const std::lock_guard lock(this->mutex);
    auto *task = this->tasks.findByCallNumber(outcome.number);
    if (task == nullptr) {
        return;
    }
    if (outcome.outcome == wire::Outcome::NOT_RUN) {
        this->isBackendUnreachable = true;
        this->updateBackendState();
        if (task->epoch == this->cells[task->cell].epoch) {
            this->refuse(*task);
            return;
        }
        // The current owner knows the task only from AgentState and has no sequence of its own to match a refusal with.
    }
    wire::TaskResult result;
    result.index = task->ref.index;
    result.outcome = outcome.outcome;
    result.status = outcome.status;
    result.body = outcome.body;
    result.runMicros = outcome.runTime.count();
    result.server = this->announced->name;
    this->tasks.finish(*task, std::move(result), this->clock.now() + this->options.resendInterval);
    this->sendResults({task});
}

/// Tells the owner that an accepted task was not run, and removes the task.
/// Precondition: the task was started in the current epoch.
void AgentCore::refuse(const AgentTask &task)
{
    const auto &cell = this->cells[task.cell];
    wire::StartRefused message;
    message.cell = task.cell;
    message.epoch = task.epoch;
    message.reason = "backend server is unreachable";
    message.refs = {task.ref};
    message.sequences = {task.sequence};
    ++this->refusedStarts;
    this->tasks.remove(task);
    if (cell.owner) {
        this->sink.send(*cell.owner, std::move(message));
    }
}

void AgentCore::sendResults(const std::vector<const AgentTask *> &tasks)
{
    std::map<std::int32_t, wire::ResultBatch> batches;
    std::map<std::int32_t, std::size_t> batchBytes;
    const auto sendBatch = [&](std::int32_t number) {
        const auto &owner = this->cells[number].owner;
        if (owner) {
            batches[number].cell = number;
            this->sink.send(*owner, std::move(batches[number]));
        }
        batches.erase(number);
        batchBytes[number] = 0;
    };
    for (const auto *task : tasks) {
        wire::AgentResult result;
        result.key = task->ref.key;
        result.result = task->result;
        result.sequence = task->epoch == this->cells[task->cell].epoch ? task->sequence : 0;
        batches[task->cell].results.push_back(std::move(result));
        batchBytes[task->cell] += task->result.body.size();
        if (batchBytes[task->cell] >= maxBatchBytes) {
            sendBatch(task->cell);
        }
    }
    while (!batches.empty()) {
        sendBatch(batches.begin()->first);
    }
}

void AgentCore::sendHello()
{
    if (!this->ownCell || !this->announced) {
        return;
    }
    const auto &cell = this->cells[*this->ownCell];
    if (!cell.owner) {
        return;
    }
    this->nextHelloAt = this->clock.now() + this->options.helloInterval;
    wire::AgentHello hello;
    hello.cell = *this->ownCell;
    hello.epoch = cell.epoch;
    hello.server = this->serverInfo();
    hello.lastSequence = cell.lastSequence;
    hello.running = static_cast<std::int32_t>(this->tasks.running());
    hello.unacknowledged = static_cast<std::int32_t>(this->tasks.unacknowledged());
    this->sink.send(*cell.owner, std::move(hello));
}

/// Notifies the owner and control at once if the backend server went down or came up.
void AgentCore::updateBackendState()
{
    const bool isUp = this->isBackendUp();
    if (isUp == this->wasBackendUp) {
        return;
    }
    this->wasBackendUp = isUp;
    log(isUp ? LogLevel::Info : LogLevel::Warning, "agent", "backend server {} is {}", this->announced->name,
        isUp ? "up" : "down");
    this->sendHello();
    this->link.requestHeartbeat();
}

void AgentCore::announce(const Announcement &announcement)
{
    const std::lock_guard lock(this->mutex);
    const bool isChanged = !this->announced || this->announced->service != announcement.service
        || this->announced->slots != announcement.slots || this->announced->isLeaving != announcement.isLeaving;
    if (!this->announced || this->announced->connections != announcement.connections) {
        this->backendClient.limitConnections(std::min(announcement.connections, this->options.maxConnections));
    }
    this->announced = announcement;
    this->announcedAt = this->clock.now();
    this->isBackendUnreachable = false;
    this->updateBackendState();
    if (isChanged) {
        this->sendHello();
        this->link.requestHeartbeat();
    }
}

void AgentCore::beginStop()
{
    const std::lock_guard lock(this->mutex);
    if (this->isStopping) {
        return;
    }
    this->isStopping = true;
    this->sendHello();
    this->link.requestHeartbeat();
}

bool AgentCore::isDrained() const
{
    const std::lock_guard lock(this->mutex);
    return this->tasks.running() == 0 && this->tasks.unacknowledged() == 0;
}

bool AgentCore::isReady() const
{
    const std::lock_guard lock(this->mutex);
    return this->ownCell && this->isBackendUp();
}

std::int64_t AgentCore::configNumber() const
{
    return this->link.configNumber();
}

bool AgentCore::isBackendUp() const
{
    return this->announced && !this->isBackendUnreachable
        && this->clock.now() - this->announcedAt < this->options.backendTimeout;
}

bool AgentCore::isLeaving() const
{
    return this->isStopping || (this->announced && this->announced->isLeaving);
}

wire::ServerInfo AgentCore::serverInfo() const
{
    wire::ServerInfo info;
    info.leaving = this->isLeaving();
    info.backendUp = this->isBackendUp();
    info.usage = -1;
    if (this->announced) {
        info.serviceName = this->announced->service;
        info.slots = this->announced->slots;
        info.connections = this->announced->connections;
        info.usage = this->announced->usage;
    }
    return info;
}

nlohmann::json AgentCore::dump() const
{
    const std::lock_guard lock(this->mutex);
    nlohmann::json cells = nlohmann::json::array();
    for (const auto &[number, cell] : this->cells) {
        nlohmann::json entry = {{"cell", number}, {"epoch", cell.epoch}, {"lastSequence", cell.lastSequence}};
        entry["owner"] = cell.owner ? cell.owner->host + ":" + std::to_string(cell.owner->port) : std::string();
        for (const auto *task : this->tasks.tasksOfCell(number)) {
            entry["tasks"].push_back({{"caller", task->ref.key.caller},
                                      {"submission", task->ref.key.submission},
                                      {"index", task->ref.index},
                                      {"running", task->isRunning},
                                      {"outcome", static_cast<int>(task->result.outcome)}});
        }
        cells.push_back(std::move(entry));
    }
    const auto info = this->serverInfo();
    return {{"role", "agent"},
            {"name", this->options.self.name},
            {"incarnation", this->options.self.incarnation},
            {"ownCell", this->ownCell ? nlohmann::json(*this->ownCell) : nlohmann::json()},
            {"backendServer",
             {{"name", this->announced ? this->announced->name : std::string()},
              {"service", info.serviceName},
              {"slots", info.slots},
              {"connections", info.connections},
              {"up", info.backendUp},
              {"leaving", info.leaving},
              {"usage", info.usage}}},
            {"running", this->tasks.running()},
            {"unacknowledged", this->tasks.unacknowledged()},
            {"counters",
             {{"agent_starts_total", this->lastCallNumber},
              {"agent_refused_total", this->refusedStarts},
              {"agent_starts_of_former_owners_total", this->formerOwnerStarts},
              {"agent_starts_for_other_incarnation_total", this->otherIncarnationStarts},
              {"agent_running", this->tasks.running()},
              {"agent_unacknowledged", this->tasks.unacknowledged()}}},
            {"cells", std::move(cells)}};
}

} // namespace agatedrum
