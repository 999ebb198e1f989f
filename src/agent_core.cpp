#include "agent_core_p.h"

#include "base_log_p.h"

#include <event2/http.h>

#include <algorithm>
#include <cstdlib>
#include <memory>
#include <utility>

namespace agatedrum {

namespace {

/// Keeps one message of results well below the largest frame.
constexpr std::size_t maxBatchBytes = 1024UL * 1024;

std::string encoded(const std::string &text)
{
    const std::unique_ptr<char, decltype(&std::free)> result(evhttp_encode_uri(text.c_str()), &std::free);
    return result ? std::string(result.get()) : std::string();
}

std::string taskHeader(const wire::StartTask &start)
{
    return encoded(start.ref.key.caller) + "/" + encoded(start.ref.key.submission) + "/" + encoded(start.taskId);
}

wire::AgentTask toWire(const AgentTask &task, bool withResult)
{
    wire::AgentTask result;
    result.ref = task.ref;
    result.running = task.isRunning || !withResult;
    if (!result.running) {
        result.result = task.result;
    }
    result.result.index = task.ref.index;
    return result;
}

} // namespace

AgentCore::AgentCore(MessageSinkI &sink, const ClockI &clock, MemberLink &link, BackendCallerI &caller,
                     AgentOptions options)
    : sink(sink)
    , clock(clock)
    , link(link)
    , caller(caller)
    , options(std::move(options))
    , createdAt(clock.now())
{
}

void AgentCore::handle(const Incoming &incoming)
{
    const std::lock_guard lock(this->mutex);
    if (this->link.handle(incoming)) {
        this->takeView();
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
    this->updateBackend();
    MemberReport report;
    if (this->announced) {
        report.server = this->serverInfo();
    }
    report.isLeaving = this->isStopping;
    this->link.tick(report);
    if (now >= this->nextHello) {
        this->sendHello();
    }
    this->sendResults(this->tasks.takeDue(now, now + this->options.repeatInterval));
}

void AgentCore::takeView()
{
    if (this->link.viewVersion() == this->takenView) {
        return;
    }
    const auto view = this->link.view();
    this->takenView = view.version;
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
        this->nextHello = Time {};
    }
}

/// The first contact of a higher epoch ends the lower one: its starts are refused from here on.
void AgentCore::raiseEpoch(CellState &cell, std::int64_t epoch, const wire::Endpoint &owner)
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

void AgentCore::apply(const wire::StartBatch &batch, const Incoming &incoming)
{
    // An earlier incarnation may have run these, so nothing is certified about them.
    if (batch.agentIncarnation != this->options.self.incarnation) {
        this->otherIncarnation += batch.starts.size();
        log(LogLevel::Info, "agent", "ignored {} starts for incarnation {}", batch.starts.size(),
            batch.agentIncarnation);
        return;
    }
    auto &cell = this->cells[batch.cell];
    if (batch.epoch >= cell.epoch) {
        this->raiseEpoch(cell, batch.epoch, incoming.address);
    }
    Refusals refused;
    for (const auto &start : batch.starts) {
        const auto reason = this->refusalReason(start, batch, cell);
        if (batch.epoch == cell.epoch) {
            cell.lastSequence = std::max(cell.lastSequence, start.sequence);
        }
        if (this->tasks.find(start.ref) != nullptr) {
            continue; // a repeat: its result will come
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
        this->refusals += message.refs.size();
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
    if (!this->isBackendUp()) {
        return "backend server is down";
    }
    const auto slots = static_cast<std::size_t>(this->announced->slots);
    if (this->tasks.running() >= slots) {
        return "all slots are taken";
    }
    if (this->tasks.unacknowledged() >= slots * static_cast<std::size_t>(this->options.resultsPerSlot)
        || this->tasks.unacknowledgedBytes() >= this->options.resultBytes) {
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
    task.call = ++this->lastCall;
    this->tasks.add(task);

    BackendCall call;
    call.number = task.call;
    call.url = this->announced->url;
    call.taskHeader = taskHeader(start);
    call.body = start.body;
    call.timeout = start.timeLimitMs > 0 ? Millis(start.timeLimitMs) : this->options.taskTime;
    this->caller.start(std::move(call));
}

void AgentCore::apply(const wire::CancelBatch &batch, const Incoming & /*incoming*/)
{
    const auto cell = this->cells.find(batch.cell);
    if (cell == this->cells.end() || batch.epoch < cell->second.epoch) {
        return;
    }
    for (const auto &ref : batch.refs) {
        auto *task = this->tasks.find(ref);
        if (task != nullptr && task->isRunning && !task->isStopping) {
            task->isStopping = true;
            this->caller.stop(task->call);
        }
    }
}

void AgentCore::apply(const wire::ResultAck &ack, const Incoming & /*incoming*/)
{
    // A former owner's record may not be the one in force, so only the present one lets results go.
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

void AgentCore::apply(const wire::Fence &fence, const Incoming &incoming)
{
    auto &cell = this->cells[fence.cell];
    if (fence.epoch < cell.epoch) {
        return;
    }
    this->raiseEpoch(cell, fence.epoch, incoming.address);
    cell.lastSequence = std::max(cell.lastSequence, fence.barrier);
    wire::AgentState state;
    state.cell = fence.cell;
    state.epoch = fence.epoch;
    state.barrier = fence.barrier;
    // Results that do not fit are listed as running and follow on their own.
    std::size_t bytes = 0;
    std::vector<const AgentTask *> later;
    for (const auto *task : this->tasks.ofCell(fence.cell)) {
        bytes += task->result.body.size();
        state.tasks.push_back(toWire(*task, bytes <= maxBatchBytes));
        if (!task->isRunning && bytes > maxBatchBytes) {
            later.push_back(task);
        }
    }
    state.server = this->serverInfo();
    state.uptimeMicros = (this->clock.now() - this->createdAt).count();
    this->sink.send(incoming.address, std::move(state));
    this->sendResults(later);
}

void AgentCore::finished(const BackendOutcome &outcome)
{
    const std::lock_guard lock(this->mutex);
    auto *task = this->tasks.findCall(outcome.number);
    if (task == nullptr) {
        return;
    }
    if (outcome.outcome == wire::Outcome::NOT_RUN) {
        this->isUnreachable = true;
        this->updateBackend();
        if (task->epoch == this->cells[task->cell].epoch) {
            this->refuse(*task);
            return;
        }
        // The present owner knows the task from AgentState only, and no sequence of its own to match a refusal with.
    }
    wire::TaskResult result;
    result.index = task->ref.index;
    result.outcome = outcome.outcome;
    result.status = outcome.status;
    result.body = outcome.body;
    result.runMicros = outcome.runTime.count();
    result.server = this->announced->name;
    this->tasks.finish(*task, std::move(result), this->clock.now() + this->options.repeatInterval);
    this->sendResults({task});
}

/// Certifies that an accepted task did not run, and forgets it. Precondition: it was started in the present epoch.
void AgentCore::refuse(const AgentTask &task)
{
    const auto &cell = this->cells[task.cell];
    wire::StartRefused message;
    message.cell = task.cell;
    message.epoch = task.epoch;
    message.reason = "backend server is unreachable";
    message.refs = {task.ref};
    message.sequences = {task.sequence};
    ++this->refusals;
    this->tasks.remove(task);
    if (cell.owner) {
        this->sink.send(*cell.owner, std::move(message));
    }
}

void AgentCore::sendResults(const std::vector<const AgentTask *> &tasks)
{
    std::map<std::int32_t, wire::ResultBatch> batches;
    std::map<std::int32_t, std::size_t> bytes;
    const auto flush = [&](std::int32_t number) {
        const auto &owner = this->cells[number].owner;
        if (owner) {
            batches[number].cell = number;
            this->sink.send(*owner, std::move(batches[number]));
        }
        batches.erase(number);
        bytes[number] = 0;
    };
    for (const auto *task : tasks) {
        wire::AgentResult result;
        result.key = task->ref.key;
        result.result = task->result;
        result.sequence = task->epoch == this->cells[task->cell].epoch ? task->sequence : 0;
        batches[task->cell].results.push_back(std::move(result));
        bytes[task->cell] += task->result.body.size();
        if (bytes[task->cell] >= maxBatchBytes) {
            flush(task->cell);
        }
    }
    while (!batches.empty()) {
        flush(batches.begin()->first);
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
    this->nextHello = this->clock.now() + this->options.helloInterval;
    wire::AgentHello hello;
    hello.cell = *this->ownCell;
    hello.epoch = cell.epoch;
    hello.server = this->serverInfo();
    hello.lastSequence = cell.lastSequence;
    hello.running = static_cast<std::int32_t>(this->tasks.running());
    hello.unacknowledged = static_cast<std::int32_t>(this->tasks.unacknowledged());
    this->sink.send(*cell.owner, std::move(hello));
}

/// Tells the owner and control at once when the backend server went down or came up.
void AgentCore::updateBackend()
{
    const bool isUp = this->isBackendUp();
    if (isUp == this->wasBackendUp) {
        return;
    }
    this->wasBackendUp = isUp;
    log(isUp ? LogLevel::Info : LogLevel::Warning, "agent", "backend server {} is {}", this->announced->name,
        isUp ? "up" : "down");
    this->sendHello();
    this->link.hurry();
}

void AgentCore::announce(const Announcement &announcement)
{
    const std::lock_guard lock(this->mutex);
    const bool isChanged = !this->announced || this->announced->service != announcement.service
        || this->announced->slots != announcement.slots || this->announced->isLeaving != announcement.isLeaving;
    if (!this->announced || this->announced->connections != announcement.connections) {
        this->caller.limitConnections(std::min(announcement.connections, this->options.maxConnections));
    }
    this->announced = announcement;
    this->announcedAt = this->clock.now();
    this->isUnreachable = false;
    this->updateBackend();
    if (isChanged) {
        this->sendHello();
        this->link.hurry();
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
    this->link.hurry();
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
    return this->announced && !this->isUnreachable
        && this->clock.now() - this->announcedAt < this->options.backendSilent;
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
        for (const auto *task : this->tasks.ofCell(number)) {
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
             {{"agent_starts_total", this->lastCall},
              {"agent_refused_total", this->refusals},
              {"agent_starts_of_former_owners_total", this->formerOwnerStarts},
              {"agent_starts_for_other_incarnation_total", this->otherIncarnation},
              {"agent_running", this->tasks.running()},
              {"agent_unacknowledged", this->tasks.unacknowledged()}}},
            {"cells", std::move(cells)}};
}

} // namespace agatedrum
