#pragma once

#include "agent_core_p.h"
#include "fault_control.h"
#include "fault_record.h"
#include "owner_core_p.h"

#include <memory>

namespace agatedrum::test {

/// Clock of one process that can simulate a freeze in the middle of a function: after a given number of calls of now()
/// it calls a function that lets the other processes run.
class FreezableClock : public ClockI
{
public:
    explicit FreezableClock(const ManualClock &clock)
        : clock(clock)
    {
    }
    Time now() const override
    {
        if (this->callsUntilFreeze > 0 && --this->callsUntilFreeze == 0) {
            this->onFreeze();
        }
        return this->clock.now();
    }
    std::int64_t wallMs() const override
    {
        return this->clock.wallMs();
    }
    void freezeAfterCalls(int clockCalls, std::function<void()> callback)
    {
        this->callsUntilFreeze = clockCalls;
        this->onFreeze = std::move(callback);
    }

private:
    const ManualClock &clock;
    mutable int callsUntilFreeze = 0;
    std::function<void()> onFreeze;
};

/// Simulated backend server of one agent. Adds what it runs to the record.
class FakeBackend : public BackendClientI
{
public:
    enum class Mode { Healthy, Failing, Hung, Dead };

    FakeBackend(FaultRecord &record, const ManualClock &clock, std::string agent)
        : record(record)
        , clock(clock)
        , agent(std::move(agent))
    {
    }
    void start(BackendCall call) override
    {
        RunningCall running {call.taskHeader, this->clock.now() + this->runTime, {}, this->mode};
        if (this->mode == Mode::Hung) {
            running.endsAt = this->clock.now() + call.timeout;
        }
        if (this->mode == Mode::Dead) {
            running.endsAt = this->clock.now();
        } else {
            this->record.started(call.taskHeader, this->agent, this->clock.now());
        }
        this->calls[call.number] = running;
    }
    void stop(std::int64_t number) override
    {
        if (const auto found = this->calls.find(number); found != this->calls.end()) {
            found->second.isStopped = true;
            found->second.endsAt = this->clock.now();
        }
    }
    void limitConnections(int /*connections*/) override { }

    /// Ends the calls that are due.
    /// @param core the agent to notify; nullptr if the agent does not run, then nobody is notified.
    void tick(AgentCore *core)
    {
        for (auto call = this->calls.begin(); call != this->calls.end();) {
            if (call->second.endsAt > this->clock.now()) {
                ++call;
                continue;
            }
            const auto outcome = this->endCall(call->first, call->second);
            call = this->calls.erase(call);
            if (core != nullptr) {
                core->finished(outcome);
            }
        }
    }
    /// Ends the running calls without notifying the agent, for a restart of the agent.
    void abandonCalls()
    {
        for (const auto &[number, call] : this->calls) {
            this->endCall(number, call);
        }
        this->calls.clear();
    }
    /// Ends the running calls with an unknown outcome at the next tick, for a crash of the backend server.
    void failCalls()
    {
        for (auto &[number, call] : this->calls) {
            call.endsAt = this->clock.now();
            call.mode = call.mode == Mode::Dead ? Mode::Dead : Mode::Hung;
        }
    }

    Mode mode = Mode::Healthy;
    Micros runTime {Millis(100)};

private:
    struct RunningCall
    {
        std::string header;
        Time endsAt;
        bool isStopped = false;
        Mode mode = Mode::Healthy;
    };
    BackendOutcome endCall(std::int64_t number, const RunningCall &call)
    {
        BackendOutcome outcome;
        outcome.number = number;
        outcome.runTime = this->runTime;
        if (call.mode == Mode::Dead) {
            outcome.outcome = wire::Outcome::NOT_RUN;
            return outcome;
        }
        if (call.isStopped) {
            outcome.outcome = wire::Outcome::STOPPED;
        } else if (call.mode == Mode::Hung) {
            outcome.outcome = wire::Outcome::UNKNOWN;
        } else {
            outcome.outcome = call.mode == Mode::Failing ? wire::Outcome::FAILED : wire::Outcome::FINISHED;
            outcome.body = "result of " + call.header;
        }
        this->record.ended(call.header, outcome.outcome);
        return outcome;
    }

    FaultRecord &record;
    const ManualClock &clock;
    std::string agent;
    std::map<std::int64_t, RunningCall> calls;
};

/// Simulated entry. Sends the requests of callers to the owner of the cell, and sends them again if the owner changes
/// or does not answer.
class FakeEntry
{
public:
    FakeEntry(FaultNetwork &network, FaultRecord &record, const ManualClock &clock, const FakeControl &control,
              const std::string &name, int port)
        : record(record)
        , clock(clock)
        , control(control)
        , sink(network, processId(name), wire::Role::ENTRY, port)
    {
    }
    void request(std::int64_t id, const std::string &job, std::function<Payload(std::int64_t epoch)> makePayload)
    {
        auto &request = this->record.request(id);
        request.job = job;
        request.sentAt = this->clock.now();
        this->pending[id] = {std::move(makePayload), {}, 0};
    }
    void handle(const IncomingMessage &incoming)
    {
        if (const auto *reply = std::get_if<wire::JobReply>(&incoming.payload)) {
            if (this->pending.erase(reply->requestId) != 0) {
                auto &request = this->record.request(reply->requestId);
                request.answer = reply->answer;
                request.completedAt = this->clock.now();
            }
        } else if (const auto *notOwner = std::get_if<wire::NotOwner>(&incoming.payload)) {
            if (const auto found = this->pending.find(notOwner->requestId); found != this->pending.end()) {
                found->second.sentAt = this->clock.now() - retryDelay + Millis(50);
            }
        }
    }
    void tick()
    {
        const auto now = this->clock.now();
        const auto view = this->control.view().cells.front();
        for (auto entry = this->pending.begin(); entry != this->pending.end();) {
            auto &pending = entry->second;
            auto &request = this->record.request(entry->first);
            if (now - request.sentAt >= requestTimeout) {
                request.isAbandoned = true;
                request.completedAt = now;
                entry = this->pending.erase(entry);
                continue;
            }
            if (view.__isset.owner && (pending.epoch != view.epoch || now - pending.sentAt >= retryDelay)) {
                pending.epoch = view.epoch;
                pending.sentAt = now;
                this->sink.send(view.owner.address, pending.makePayload(view.epoch));
            }
            ++entry;
        }
    }
    bool isIdle() const
    {
        return this->pending.empty();
    }
    /// Disconnects the callers of all open requests.
    void disconnectCallers()
    {
        for (const auto &[id, pending] : this->pending) {
            this->record.request(id).isAbandoned = true;
            this->record.request(id).completedAt = this->clock.now();
        }
        this->pending.clear();
    }

private:
    static constexpr Millis retryDelay {2000};
    static constexpr Millis requestTimeout {12000};
    struct PendingRequest
    {
        std::function<Payload(std::int64_t)> makePayload;
        Time sentAt;
        std::int64_t epoch = 0;
    };
    FaultRecord &record;
    const ManualClock &clock;
    const FakeControl &control;
    NetworkSink sink;
    std::map<std::int64_t, PendingRequest> pending;
};

/// Simulated cluster: owners, agents, entries and the control group in one process, with a clock that the test
/// advances.
class FaultCluster
{
public:
    struct OwnerProcess
    {
        std::string name;
        int port = 0;
        std::int64_t incarnation = 0;
        bool isFrozen = false;
        std::vector<IncomingMessage> inbox; ///< messages that arrived while frozen
        std::unique_ptr<FreezableClock> clock;
        std::unique_ptr<NetworkSink> sink;
        std::unique_ptr<MemberLink> link;
        std::unique_ptr<OwnerCore> core;
    };
    struct AgentProcess
    {
        std::string name;
        int port = 0;
        std::int64_t incarnation = 0;
        bool isFrozen = false;
        bool isLeaving = false;
        std::vector<IncomingMessage> inbox;
        std::unique_ptr<FakeBackend> backend;
        std::unique_ptr<NetworkSink> sink;
        std::unique_ptr<MemberLink> link;
        std::unique_ptr<AgentCore> core;
    };
    static constexpr int firstOwnerPort = 42010;
    static constexpr int firstAgentPort = 42020;
    static constexpr int firstEntryPort = 42030;

    /// @param placement with "random" a next owner assigns tasks to other agents than the previous owner, so that a
    /// second start of a task is detected.
    explicit FaultCluster(std::uint64_t seed, int replicaCount, const std::string &placement = "random",
                          int ownerCount = 3, int agentCount = 2)
        : network(clock, seed)
        , control(network, clock, replicaCount, placement)
    {
        this->network.observer = [this](const IncomingMessage &message) { this->checkLease(message); };
        for (int i = 0; i < ownerCount; ++i) {
            auto &owner = this->owners.emplace_back();
            owner.name = "owner-" + std::to_string(i);
            owner.port = firstOwnerPort + i;
            this->startOwner(owner);
        }
        for (int i = 0; i < agentCount; ++i) {
            auto &agent = this->agents.emplace_back();
            agent.name = "agent-" + std::to_string(i);
            agent.port = firstAgentPort + i;
            agent.backend = std::make_unique<FakeBackend>(this->record, this->clock, agent.name);
            this->startAgent(agent);
        }
        for (int i = 0; i < 2; ++i) {
            this->entries.push_back(std::make_unique<FakeEntry>(this->network, this->record, this->clock, this->control,
                                                                "entry-" + std::to_string(i), firstEntryPort + i));
        }
    }
    void startOwner(OwnerProcess &owner)
    {
        ++owner.incarnation;
        const auto self = processId(owner.name, owner.incarnation);
        owner.inbox.clear();
        owner.isFrozen = false;
        owner.clock = std::make_unique<FreezableClock>(this->clock);
        owner.sink = std::make_unique<NetworkSink>(this->network, self, wire::Role::OWNER, owner.port);
        owner.link = std::make_unique<MemberLink>(
            *owner.sink, *owner.clock, this->memberOptions(self, wire::Role::OWNER, AGATEDRUM_OWNER_HEARTBEAT_MS));
        OwnerOptions options;
        options.self = self;
        options.shards = 1;
        options.defects = &this->defects;
        owner.core = std::make_unique<OwnerCore>(*owner.sink, *owner.clock, *owner.link, options);
    }
    void startAgent(AgentProcess &agent)
    {
        ++agent.incarnation;
        const auto self = processId(agent.name, agent.incarnation);
        agent.inbox.clear();
        agent.isFrozen = false;
        agent.isLeaving = false;
        agent.backend->abandonCalls();
        agent.sink = std::make_unique<NetworkSink>(this->network, self, wire::Role::AGENT, agent.port);
        agent.link = std::make_unique<MemberLink>(
            *agent.sink, this->clock, this->memberOptions(self, wire::Role::AGENT, AGATEDRUM_MEMBER_HEARTBEAT_MS));
        AgentOptions options;
        options.self = self;
        agent.core = std::make_unique<AgentCore>(*agent.sink, this->clock, *agent.link, *agent.backend, options);
        this->announce(agent);
    }
    void kill(OwnerProcess &owner)
    {
        owner.core.reset();
        owner.inbox.clear();
        owner.isFrozen = false;
    }
    void kill(AgentProcess &agent)
    {
        agent.core.reset();
        agent.inbox.clear();
        agent.isFrozen = false;
    }
    template<typename Process>
    void resume(Process &process)
    {
        process.isFrozen = false;
        for (const auto &incoming : std::exchange(process.inbox, {})) {
            if (process.core) {
                process.core->handle(incoming);
            }
        }
    }
    OwnerProcess *owner(const std::string &name)
    {
        const auto found = std::find_if(this->owners.begin(), this->owners.end(),
                                        [&name](const auto &owner) { return owner.name == name; });
        return found == this->owners.end() ? nullptr : &*found;
    }
    OwnerProcess &cellOwner()
    {
        auto *owner = this->owner(this->control.ownerName());
        return owner == nullptr ? this->owners.front() : *owner;
    }
    /// Freezes the process in the middle of a call for the given duration, when it has read its clock clockCalls times.
    void freezeDuringCall(OwnerProcess &owner, int clockCalls, Micros duration)
    {
        owner.clock->freezeAfterCalls(clockCalls, [this, &owner, duration] {
            owner.isFrozen = true;
            this->run(duration);
            owner.isFrozen = false;
        });
    }

    std::int64_t submit(const std::string &job, int tasks, int entry = 0, std::int64_t digest = 1)
    {
        const auto id = ++this->lastRequestId;
        auto &spec = this->specs[job];
        if (spec.tasks.empty()) {
            spec = this->makeSpec(job, tasks);
        }
        auto submittedSpec = spec;
        submittedSpec.digest = digest;
        this->entries[static_cast<std::size_t>(entry)]->request(id, job, [id, submittedSpec](std::int64_t epoch) {
            wire::SubmitJob message;
            message.requestId = id;
            message.epoch = epoch;
            message.spec = submittedSpec;
            return Payload(message);
        });
        return id;
    }
    bool isKnown(const std::string &job) const
    {
        return this->specs.count(job) != 0;
    }
    std::int64_t cancel(const std::string &job, int entry = 0)
    {
        const auto id = ++this->lastRequestId;
        const auto key = this->specs.at(job).key;
        this->entries[static_cast<std::size_t>(entry)]->request(id, job, [id, key](std::int64_t) {
            wire::CancelJob message;
            message.requestId = id;
            message.key = key;
            return Payload(message);
        });
        return id;
    }
    void run(Micros duration)
    {
        const auto end = this->clock.now() + duration;
        while (this->clock.now() < end) {
            this->clock.advance(clockStep);
            this->deliver();
            if (this->clock.now() >= this->nextTick) {
                this->nextTick = this->clock.now() + tickInterval;
                this->tick();
            }
        }
    }
    /// Runs until the cell has an owner and all its holders are in sync, then for another 600 ms.
    void runUntilReady()
    {
        for (int i = 0; i < 200 && !this->isReady(); ++i) {
            this->run(Millis(50));
        }
        this->run(Millis(600));
    }
    bool isIdle() const
    {
        return std::all_of(this->entries.begin(), this->entries.end(),
                           [](const auto &entry) { return entry->isIdle(); });
    }
    void announce(AgentProcess &agent) const
    {
        Announcement announcement;
        announcement.name = agent.name;
        announcement.service = "visits";
        announcement.slots = 4;
        announcement.connections = 16;
        announcement.url = "http://127.0.0.1:42100/";
        announcement.isLeaving = agent.isLeaving;
        agent.core->announce(announcement);
    }

    ManualClock clock;
    FaultRecord record;
    FaultNetwork network;
    FakeControl control;
    OwnerDefects defects;
    std::vector<OwnerProcess> owners;
    std::vector<AgentProcess> agents;
    std::vector<std::unique_ptr<FakeEntry>> entries;

private:
    /// Checks that an owner without a lease sends nothing but heartbeats, NotOwner, and acknowledgements of other
    /// owners' records.
    void checkLease(const IncomingMessage &message)
    {
        const auto &payload = message.payload;
        const bool isAllowed = std::holds_alternative<wire::MemberHeartbeat>(payload)
            || std::holds_alternative<wire::NotOwner>(payload) || std::holds_alternative<wire::RecordAck>(payload);
        if (message.role == wire::Role::OWNER && !isAllowed && !this->control.hasLease(message.sender)) {
            this->record.addViolation(
                fmt::format("{} sent message {} without a lease", message.sender.name, payload.index()));
        }
    }

    static constexpr Micros clockStep {2000};
    static constexpr Micros tickInterval {10000};

    MemberOptions memberOptions(const wire::ProcessId &self, wire::Role::type role, int intervalMs) const
    {
        MemberOptions options;
        options.self = self;
        options.role = role;
        options.control = {{"control-1", endpoint(FakeControl::port)}};
        options.heartbeatInterval = Millis(intervalMs);
        return options;
    }
    wire::JobSpec makeSpec(const std::string &job, int tasks) const
    {
        wire::JobSpec spec;
        spec.key.caller = "desk";
        spec.key.submission = job;
        spec.serviceName = "visits";
        spec.submittedAtMs = this->clock.wallMs();
        for (int i = 0; i < tasks; ++i) {
            wire::TaskSpec task;
            task.id = "t" + std::to_string(i);
            task.body = job;
            spec.tasks.push_back(task);
        }
        return spec;
    }
    bool isReady() const
    {
        return !this->control.ownerName().empty() && this->control.hasInSyncHolders();
    }
    template<typename Process>
    static void deliverTo(Process &process, IncomingMessage &&incoming)
    {
        if (process.isFrozen) {
            process.inbox.push_back(std::move(incoming));
        } else if (process.core) {
            process.core->handle(incoming);
        }
    }
    void deliver()
    {
        for (auto &[port, incoming] : this->network.takeDue()) {
            if (port == FakeControl::port) {
                this->control.handle(incoming);
            } else if (port >= firstEntryPort) {
                this->entries[static_cast<std::size_t>(port - firstEntryPort)]->handle(incoming);
            } else if (port >= firstAgentPort) {
                deliverTo(this->agents[static_cast<std::size_t>(port - firstAgentPort)], std::move(incoming));
            } else {
                deliverTo(this->owners[static_cast<std::size_t>(port - firstOwnerPort)], std::move(incoming));
            }
        }
    }
    void tick()
    {
        this->control.tick();
        const bool isAnnouncing = this->clock.now() >= this->nextAnnouncement;
        for (auto &agent : this->agents) {
            if (agent.isFrozen) {
                continue;
            }
            agent.backend->tick(agent.core.get());
            if (!agent.core) {
                continue;
            }
            if (isAnnouncing && agent.backend->mode != FakeBackend::Mode::Dead) {
                this->announce(agent);
            }
            agent.core->tick();
        }
        if (isAnnouncing) {
            this->nextAnnouncement = this->clock.now() + Millis(1000);
        }
        for (auto &owner : this->owners) {
            if (owner.core && !owner.isFrozen) {
                this->resume(owner);
                owner.core->tick();
            }
        }
        for (auto &entry : this->entries) {
            entry->tick();
        }
    }

    std::map<std::string, wire::JobSpec> specs;
    std::int64_t lastRequestId = 0;
    Time nextTick;
    Time nextAnnouncement;
};

} // namespace agatedrum::test
