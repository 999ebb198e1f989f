#pragma once

#include "agatedrum/config.h"
#include "control_core_p.h"
#include "fakes.h"
#include "member_link_p.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace agatedrum::test {

/// Faults of the simulated network, applied to each message.
struct NetFaults
{
    int lossPercent = 0;
    int duplicatePercent = 0;
    Micros maxDelay {1000};
};

/// Simulated network on a manual clock, with random faults from one seed. Random delays can reorder messages.
class SimNet
{
public:
    using Handler = std::function<void(const IncomingMessage &)>;

    SimNet(ManualClock &clock, std::uint64_t seed)
        : clock(clock)
        , random(seed)
    {
    }

    /// Sets the function that receives the messages to a port.
    void attach(int port, Handler handler)
    {
        this->handlers[port] = std::move(handler);
    }
    void detach(int port)
    {
        this->handlers.erase(port);
    }
    /// Blocks or restores the traffic between two ports, in both directions.
    void setPartitioned(int a, int b, bool isPartitioned)
    {
        for (const auto &pair : {std::make_pair(a, b), std::make_pair(b, a)}) {
            if (isPartitioned) {
                this->blockedPairs.insert(pair);
            } else {
                this->blockedPairs.erase(pair);
            }
        }
    }
    /// Restores the traffic between all ports.
    void healPartitions()
    {
        this->blockedPairs.clear();
    }

    void send(IncomingMessage message, int to)
    {
        if (this->interceptor) {
            this->interceptor(message);
        }
        const int copies = this->randomBelow(100) < this->faults.duplicatePercent ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            if (this->randomBelow(100) >= this->faults.lossPercent) {
                const auto delay = Micros(this->randomBelow(static_cast<int>(this->faults.maxDelay.count()) + 1));
                this->inFlight.emplace(this->clock.now() + delay, std::make_pair(to, message));
            }
        }
    }

    /// Delivers the messages whose delay has passed.
    void deliverDue()
    {
        while (!this->inFlight.empty() && this->inFlight.begin()->first <= this->clock.now()) {
            const auto [to, message] = std::move(this->inFlight.begin()->second);
            this->inFlight.erase(this->inFlight.begin());
            const auto handler = this->handlers.find(to);
            if (handler != this->handlers.end() && this->blockedPairs.count({message.address.port, to}) == 0) {
                const auto receive = handler->second;
                receive(message);
            }
        }
    }

    /// Returns a random number from 0 to bound - 1.
    int randomBelow(int bound)
    {
        return static_cast<int>(this->random() % static_cast<std::uint64_t>(bound));
    }

    NetFaults faults;
    std::function<void(IncomingMessage &)>
        interceptor; ///< called for every message before faults are applied; may change it

private:
    ManualClock &clock;
    std::mt19937_64 random;
    std::multimap<Time, std::pair<int, IncomingMessage>> inFlight;
    std::map<int, Handler> handlers;
    std::set<std::pair<int, int>> blockedPairs;
};

/// Message sink of one simulated process.
class SimSink : public MessageSinkI
{
public:
    SimSink(SimNet &net, wire::ProcessId self, wire::Role::type role, int port)
        : net(net)
        , self(std::move(self))
        , role(role)
        , port(port)
    {
    }
    void send(const wire::Endpoint &to, Payload payload) override
    {
        this->net.send({this->self, this->role, endpoint(this->port), 0, std::move(payload)}, to.port);
    }

private:
    SimNet &net;
    wire::ProcessId self;
    wire::Role::type role;
    int port;
};

/// Simulated entry, owner or agent, as far as the control group interacts with it.
class SimMember
{
public:
    SimMember(SimNet &net, ManualClock &clock, MemberOptions options)
        : net(net)
        , port(options.address.port)
        , self(options.self)
        , sink(net, options.self, options.role, options.address.port)
        , link(this->sink, clock, std::move(options))
    {
        net.attach(this->port, [this](const IncomingMessage &incoming) {
            this->link.handle(incoming);
            if (const auto *reply = std::get_if<wire::ApplyReply>(&incoming.payload)) {
                this->applyReplies.push_back(*reply);
            } else if (const auto *answer = std::get_if<wire::ControlAnswer>(&incoming.payload)) {
                this->answers.push_back(*answer);
            }
        });
    }
    ~SimMember()
    {
        this->net.detach(this->port);
    }
    SimMember(const SimMember &) = delete;
    SimMember &operator=(const SimMember &) = delete;

    void tick()
    {
        this->link.tick(this->report);
    }
    /// Sets the report to all cells of the view; for owned cells, optionally with all holders as in sync.
    void updateReport(bool areHoldersInSync)
    {
        this->report.cells.clear();
        for (const auto &cell : this->link.view().cells) {
            wire::CellReport report;
            report.cell = cell.cell;
            report.epoch = cell.epoch;
            report.owned = this->owns(cell);
            for (const auto &holder : cell.holders) {
                if (report.owned && areHoldersInSync) {
                    report.wholeHolders.push_back(holder.id.name);
                }
            }
            this->report.cells.push_back(std::move(report));
        }
    }
    bool owns(const wire::CellView &cell) const
    {
        return cell.__isset.owner && cell.owner.id == this->self;
    }
    void send(int to, Payload payload)
    {
        this->sink.send(endpoint(to), std::move(payload));
    }

private:
    SimNet &net;
    int port;
    wire::ProcessId self;
    SimSink sink;

public:
    MemberLink link;
    MemberReport report;
    std::vector<wire::ApplyReply> applyReplies;
    std::vector<wire::ControlAnswer> answers;
};

/// Simulated control group with members, on one thread with one manual clock.
class SimCluster
{
public:
    explicit SimCluster(int controls, std::uint64_t seed = 1)
        : net(this->clock, seed)
        , seed(seed)
    {
        for (int i = 1; i <= controls; ++i) {
            this->group.push_back({"c" + std::to_string(i), endpoint(41000 + i)});
        }
        this->cores.resize(this->group.size());
        this->sinks.resize(this->group.size());
        this->stores.resize(this->group.size());
    }

    /// Starts a control process, with an in-memory store if it has none.
    void start(std::size_t number)
    {
        if (!this->stores[number]) {
            this->stores[number] = std::make_shared<MemoryControlStore>();
        }
        const auto &peer = this->group[number];
        ControlOptions options;
        options.self = processId(peer.name, ++this->incarnation);
        options.address = peer.address;
        options.group = this->group;
        if (this->adjustOptions) {
            this->adjustOptions(options);
        }
        options.snapshotEntries = this->snapshotEntries;
        options.seed = this->seed * 1000003 + static_cast<std::uint64_t>(this->incarnation);
        this->sinks[number]
            = std::make_unique<SimSink>(this->net, options.self, wire::Role::CONTROL, peer.address.port);
        this->cores[number]
            = std::make_unique<ControlCore>(*this->sinks[number], this->clock, *this->stores[number], options);
        this->net.attach(peer.address.port,
                         [this, number](const IncomingMessage &incoming) { this->cores[number]->handle(incoming); });
    }
    void startAll()
    {
        for (std::size_t i = 0; i < this->cores.size(); ++i) {
            this->start(i);
        }
    }
    /// Ends a control process but keeps its store.
    void kill(std::size_t number)
    {
        this->net.detach(this->group[number].address.port);
        this->cores[number].reset();
    }

    /// Adds a member, or replaces the one with the same name.
    SimMember &addMember(const std::string &name, wire::Role::type role, int port, const std::string &domain,
                         std::int64_t incarnation = 1)
    {
        MemberOptions options;
        options.self = processId(name, incarnation);
        options.role = role;
        options.failureDomain = domain;
        options.address = endpoint(port);
        options.control = this->group;
        options.heartbeatInterval
            = Millis(role == wire::Role::OWNER ? AGATEDRUM_OWNER_HEARTBEAT_MS : AGATEDRUM_MEMBER_HEARTBEAT_MS);
        this->members.erase(name);
        return *(this->members[name] = std::make_unique<SimMember>(this->net, this->clock, options));
    }
    SimMember &addAgent(const std::string &name, int port, const std::string &service)
    {
        auto &agent = this->addMember(name, wire::Role::AGENT, port, "d1");
        wire::ServerInfo server;
        server.serviceName = service;
        server.slots = 8;
        agent.report.server = server;
        return agent;
    }

    /// Runs the simulation for a time.
    void run(Millis time, Millis step = Millis(2))
    {
        for (auto end = this->clock.now() + time; this->clock.now() < end;) {
            this->clock.advance(step);
            this->net.deliverDue();
            for (auto &core : this->cores) {
                if (core) {
                    core->tick();
                }
            }
            for (auto &[name, member] : this->members) {
                member->tick();
            }
            if (this->onStep) {
                this->onStep();
            }
        }
    }
    /// Runs until the condition holds. @return false if it does not hold within the timeout.
    bool runUntil(Millis timeout, const std::function<bool()> &condition)
    {
        const auto end = this->clock.now() + timeout;
        while (!condition() && this->clock.now() < end) {
            this->run(Millis(2));
        }
        return condition();
    }
    /// Returns the number of the leader that has a lease, or -1 if there is none.
    int leader() const
    {
        for (std::size_t i = 0; i < this->cores.size(); ++i) {
            if (this->cores[i] && this->cores[i]->isLeader()) {
                return static_cast<int>(i);
            }
        }
        return -1;
    }
    ControlCore &leaderCore()
    {
        return *this->cores.at(static_cast<std::size_t>(this->leader()));
    }
    int leaderPort() const
    {
        return this->group.at(static_cast<std::size_t>(this->leader())).address.port;
    }
    /// Sends a configuration file to the leader. @return the reply, or an empty one if none arrives within 2 s.
    wire::ApplyReply apply(SimMember &from, const std::string &text)
    {
        wire::ApplyConfig request;
        request.requestId = ++this->lastApplyId;
        request.text = text;
        request.author = "operator";
        const auto id = request.requestId;
        from.send(this->leaderPort(), std::move(request));
        wire::ApplyReply found;
        this->runUntil(Millis(2000), [&] {
            for (const auto &reply : from.applyReplies) {
                found = reply.requestId == id ? reply : found;
            }
            return found.requestId == id;
        });
        return found;
    }

    ManualClock clock;
    SimNet net;
    std::vector<ControlPeer> group;
    std::vector<std::shared_ptr<ControlStoreI>> stores;
    std::vector<std::unique_ptr<SimSink>> sinks;
    std::vector<std::unique_ptr<ControlCore>> cores;
    std::map<std::string, std::unique_ptr<SimMember>> members;
    std::function<void()> onStep; ///< called after each simulation step
    std::function<void(ControlOptions &)>
        adjustOptions; ///< changes the options of each control process before it starts
    std::int64_t snapshotEntries = AGATEDRUM_CONTROL_SNAPSHOT_ENTRIES;

private:
    std::uint64_t seed;
    std::int64_t incarnation = 0;
    std::int64_t lastApplyId = 1LL << 40; ///< higher than the ids that tests choose
};

/// Returns a configuration file with one service and one team.
inline std::string configText(std::int64_t number, int cells = 1, int copies = 2, const std::string &team = "team-a")
{
    return "number: " + std::to_string(number) + "\nservices:\n  - name: tank\n    cells: " + std::to_string(cells)
        + "\n    recordCopies: " + std::to_string(copies) + "\nteams:\n  - name: " + team + "\n...\n";
}

} // namespace agatedrum::test
