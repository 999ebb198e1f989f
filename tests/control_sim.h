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

/// Faults of the simulated network.
struct NetFaults
{
    int lossPercent = 0;
    int repeatPercent = 0;
    Micros longestDelay {1000};
};

/// Network on a manual clock: delivers what is due, with faults drawn from one seed. Longer delays reorder messages.
class SimNet
{
public:
    using Handler = std::function<void(const Incoming &)>;

    SimNet(ManualClock &clock, std::uint64_t seed)
        : clock(clock)
        , random(seed)
    {
    }

    void attach(int port, Handler handler)
    {
        this->handlers[port] = std::move(handler);
    }
    void detach(int port)
    {
        this->handlers.erase(port);
    }
    /// Cuts or joins the ports in both directions.
    void setCut(int a, int b, bool isCut)
    {
        for (const auto &pair : {std::make_pair(a, b), std::make_pair(b, a)}) {
            if (isCut) {
                this->cuts.insert(pair);
            } else {
                this->cuts.erase(pair);
            }
        }
    }
    void healAll()
    {
        this->cuts.clear();
    }

    void send(Incoming message, int to)
    {
        if (this->tap) {
            this->tap(message);
        }
        const int copies = this->draw(100) < this->faults.repeatPercent ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            if (this->draw(100) >= this->faults.lossPercent) {
                const auto delay = Micros(this->draw(static_cast<int>(this->faults.longestDelay.count()) + 1));
                this->flights.emplace(this->clock.now() + delay, std::make_pair(to, message));
            }
        }
    }

    void deliverDue()
    {
        while (!this->flights.empty() && this->flights.begin()->first <= this->clock.now()) {
            const auto [to, message] = std::move(this->flights.begin()->second);
            this->flights.erase(this->flights.begin());
            const auto handler = this->handlers.find(to);
            if (handler != this->handlers.end() && this->cuts.count({message.address.port, to}) == 0) {
                const auto call = handler->second;
                call(message);
            }
        }
    }

    int draw(int bound)
    {
        return static_cast<int>(this->random() % static_cast<std::uint64_t>(bound));
    }

    NetFaults faults;
    std::function<void(Incoming &)> tap; ///< sees, and may change, every message before the faults

private:
    ManualClock &clock;
    std::mt19937_64 random;
    std::multimap<Time, std::pair<int, Incoming>> flights;
    std::map<int, Handler> handlers;
    std::set<std::pair<int, int>> cuts;
};

/// Sink of one simulated process.
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

/// An entry, owner or agent as control sees it.
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
        net.attach(this->port, [this](const Incoming &incoming) {
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
    /// Reports every cell of the view that this member owns, with the holders it lists as whole.
    void reportOwned(bool areHoldersWhole)
    {
        this->report.cells.clear();
        for (const auto &cell : this->link.view().cells) {
            wire::CellReport report;
            report.cell = cell.cell;
            report.epoch = cell.epoch;
            report.owned = this->owns(cell);
            for (const auto &holder : cell.holders) {
                if (report.owned && areHoldersWhole) {
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

/// Control group and members in one process, on one thread and one manual clock.
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

    /// Starts a control process; one without a store gets one in memory.
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
        if (this->adjust) {
            this->adjust(options);
        }
        options.snapshotEntries = this->snapshotEntries;
        options.seed = this->seed * 1000003 + static_cast<std::uint64_t>(this->incarnation);
        this->sinks[number]
            = std::make_unique<SimSink>(this->net, options.self, wire::Role::CONTROL, peer.address.port);
        this->cores[number]
            = std::make_unique<ControlCore>(*this->sinks[number], this->clock, *this->stores[number], options);
        this->net.attach(peer.address.port,
                         [this, number](const Incoming &incoming) { this->cores[number]->handle(incoming); });
    }
    void startAll()
    {
        for (std::size_t i = 0; i < this->cores.size(); ++i) {
            this->start(i);
        }
    }
    /// Ends the process; its disk stays.
    void kill(std::size_t number)
    {
        this->net.detach(this->group[number].address.port);
        this->cores[number].reset();
    }

    SimMember &add(const std::string &name, wire::Role::type role, int port, const std::string &domain,
                   std::int64_t incarnation = 1)
    {
        MemberOptions options;
        options.self = processId(name, incarnation);
        options.role = role;
        options.failureDomain = domain;
        options.address = endpoint(port);
        options.control = this->group;
        options.interval
            = Millis(role == wire::Role::OWNER ? AGATEDRUM_OWNER_HEARTBEAT_MS : AGATEDRUM_MEMBER_HEARTBEAT_MS);
        this->members.erase(name);
        return *(this->members[name] = std::make_unique<SimMember>(this->net, this->clock, options));
    }
    SimMember &addAgent(const std::string &name, int port, const std::string &service)
    {
        auto &agent = this->add(name, wire::Role::AGENT, port, "d1");
        wire::ServerInfo server;
        server.serviceName = service;
        server.slots = 8;
        agent.report.server = server;
        return agent;
    }

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
            if (this->eachStep) {
                this->eachStep();
            }
        }
    }
    /// Runs until the condition holds. @return false when it still does not after the time.
    bool runUntil(Millis longest, const std::function<bool()> &condition)
    {
        const auto end = this->clock.now() + longest;
        while (!condition() && this->clock.now() < end) {
            this->run(Millis(2));
        }
        return condition();
    }
    /// Number of the leader with a lease, or -1.
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
    /// @return the reply, or an empty one when there is none within 2 s.
    wire::ApplyReply apply(SimMember &from, const std::string &text)
    {
        wire::ApplyConfig request;
        request.requestId = ++this->applyId;
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
    std::function<void()> eachStep;
    std::function<void(ControlOptions &)> adjust; ///< changes the options of control processes
    std::int64_t snapshotEntries = AGATEDRUM_CONTROL_SNAPSHOT_ENTRIES;

private:
    std::uint64_t seed;
    std::int64_t incarnation = 0;
    std::int64_t applyId = 1LL << 40; ///< above the ids that tests choose
};

inline std::string configText(std::int64_t number, int cells = 1, int copies = 2, const std::string &team = "team-a")
{
    return "number: " + std::to_string(number) + "\nservices:\n  - name: tank\n    cells: " + std::to_string(cells)
        + "\n    recordCopies: " + std::to_string(copies) + "\nteams:\n  - name: " + team + "\n...\n";
}

} // namespace agatedrum::test
