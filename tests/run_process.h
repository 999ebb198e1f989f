#pragma once

#include "dispatch_core_p.h"
#include "fakes.h"
#include "host_core_p.h"
#include "run_server.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

namespace agatedrum::test {

constexpr Micros hopDelay {400}; ///< time that a message or an order is on its way

/// A process that can be frozen. What arrives meanwhile is handled when it wakes.
class SimProcess : public std::enable_shared_from_this<SimProcess>
{
public:
    SimProcess(Timeline &timeline, wire::ProcessId self, int port)
        : self(std::move(self))
        , port(port)
        , timeline(timeline)
    {
    }
    virtual ~SimProcess() = default;
    virtual CoreI &core() = 0;

    /// Starts the periodic work.
    void start()
    {
        this->timeline.every(tickInterval, [weak = this->weak_from_this()] {
            const auto process = weak.lock();
            if (process && !process->isFrozen()) {
                process->core().tick();
            }
            return process != nullptr;
        });
    }
    /// Performs the action now, or when the process wakes.
    void post(std::function<void()> action)
    {
        this->postTo(this->backlog, std::move(action));
    }
    /// Does the same for a caller's request, which another thread than that of the messages handles.
    void postRequest(std::function<void()> action)
    {
        this->postTo(this->requestBacklog, std::move(action));
    }
    void freeze(Micros time)
    {
        this->frozenUntil = std::max(this->frozenUntil, this->timeline.now() + time);
        this->timeline.after(time, [weak = this->weak_from_this()] {
            if (const auto process = weak.lock(); process && !process->isFrozen()) {
                process->wake();
            }
        });
    }
    bool isFrozen() const
    {
        return this->timeline.now() < this->frozenUntil;
    }

    const wire::ProcessId self;
    const int port;
    bool isMuted = false; ///< messages that it sends are lost
    bool handlesRequestsFirst = false; ///< whether requests are handled before messages when it wakes

private:
    static constexpr Micros tickInterval = Millis(20);
    using Actions = std::vector<std::function<void()>>;

    void postTo(Actions &waiting, std::function<void()> action)
    {
        if (this->isFrozen()) {
            waiting.push_back(std::move(action));
        } else {
            action();
        }
    }
    void wake()
    {
        auto first = std::exchange(this->backlog, {});
        auto second = std::exchange(this->requestBacklog, {});
        if (this->handlesRequestsFirst) {
            std::swap(first, second);
        }
        for (const auto &actions : {first, second}) {
            for (const auto &action : actions) {
                action();
            }
        }
    }

    Timeline &timeline;
    Time frozenUntil;
    Actions backlog;
    Actions requestBacklog;
};

/// Calls the function later if the process still exists then; while it is frozen, when it wakes.
inline void postAfter(Timeline &timeline, const std::weak_ptr<SimProcess> &target, Micros delay,
                      std::function<void()> action)
{
    timeline.after(delay, [target, action = std::move(action)]() mutable {
        if (const auto process = target.lock()) {
            process->post(std::move(action));
        }
    });
}

/// Message bus between the simulated processes, whose links can be cut.
class SimNetwork
{
public:
    explicit SimNetwork(Timeline &timeline)
        : timeline(timeline)
    {
    }
    void add(const std::shared_ptr<SimProcess> &process)
    {
        this->processes[process->port] = process;
    }
    /// Cuts one direction of a link. Messages are lost, or delivered in order when the cut ends.
    void cut(int from, int to, Micros time, bool isHeld)
    {
        this->cuts[{from, to}] = {this->timeline.now() + time, isHeld};
    }
    void send(IncomingMessage message, int to)
    {
        auto delay = hopDelay;
        const auto cut = this->cuts.find({message.address.port, to});
        if (cut != this->cuts.end() && this->timeline.now() < cut->second.until) {
            if (!cut->second.isHeld) {
                return;
            }
            delay += cut->second.until - this->timeline.now();
        }
        this->timeline.after(delay, [this, message = std::move(message), to] {
            if (const auto process = this->processes[to].lock()) {
                process->post([core = &process->core(), message] { core->handle(message); });
            }
        });
    }

private:
    struct Cut
    {
        Time until;
        bool isHeld = false;
    };

    Timeline &timeline;
    std::map<int, std::weak_ptr<SimProcess>> processes; ///< keyed by port
    std::map<std::pair<int, int>, Cut> cuts;
};

/// Sends the messages of one process into the network.
class SimSink : public MessageSinkI
{
public:
    SimSink(SimNetwork &network, const SimProcess &process, wire::Role::type role)
        : network(network)
        , process(process)
        , role(role)
    {
    }
    void send(const wire::Endpoint &to, Payload payload) override
    {
        if (!this->process.isMuted) {
            this->network.send({this->process.self, this->role, endpoint(this->process.port), 0, std::move(payload)},
                               to.port);
        }
    }

private:
    SimNetwork &network;
    const SimProcess &process;
    const wire::Role::type role;
};

inline MemberOptions memberOptionsOf(const SimProcess &process, wire::Role::type role)
{
    MemberOptions options;
    options.self = process.self;
    options.role = role;
    options.address = endpoint(process.port);
    options.control = {{"control-1", endpoint(42000)}}; // nothing listens there
    return options;
}

/// How many hosts the simulated entries listen to, see ListeningOptions.
struct SimListening
{
    std::size_t hostsPerService = AGATEDRUM_ENTRY_HOSTS;
    std::size_t entriesPerHost = AGATEDRUM_ENTRIES_PER_HOST;
};

class EntryProcess : public SimProcess
{
public:
    EntryProcess(Timeline &timeline, SimNetwork &network, wire::ProcessId id, int port, const SimListening &listening)
        : SimProcess(timeline, std::move(id), port)
        , sink(network, *this, wire::Role::ENTRY)
        , link(this->sink, timeline.clock(), memberOptionsOf(*this, wire::Role::ENTRY))
        , dispatch(this->sink, timeline.clock(), this->link, optionsOf(this->self, listening))
    {
    }
    DispatchCore &core() override
    {
        return this->dispatch;
    }

private:
    static DispatchOptions optionsOf(const wire::ProcessId &self, const SimListening &listening)
    {
        DispatchOptions options;
        options.self = self;
        options.hostsPerService = listening.hostsPerService;
        options.entriesPerHost = listening.entriesPerHost;
        return options;
    }

    SimSink sink;
    MemberLink link;
    DispatchCore dispatch;
};

enum class OrderKind { Start, Stop, Poll };

/// An order that gets no answer and is carried out later.
struct LateOrder
{
    Micros delay {0};
    bool isGrant = false; ///< its lease is counted from when it is carried out
};

/// The simulated backend servers by address, and the faults of the orders to them.
struct SimServers
{
    std::map<int, std::shared_ptr<SimServer>> byPort;
    /// Decides whether an order of a host is carried out late.
    std::function<std::optional<LateOrder>(OrderKind, const std::string &host)> lateOrder
        = [](OrderKind, const std::string &) { return std::nullopt; };
    /// Called when a host sends a start order.
    std::function<void(const std::string &host)> onStartSent = [](const std::string &) {};
    std::function<Micros()> drawStopDelay = [] { return Millis(50); };
    std::function<void(const std::string &)> trace = [](const std::string &) {};

    std::shared_ptr<SimServer> find(const TaskServerRef &ref) const
    {
        const auto found = this->byPort.find(ref.address.port);
        return found == this->byPort.end() ? nullptr : found->second;
    }
};

/// Sends the orders of one host to the simulated backend servers.
class SimServerClient : public TaskServerI
{
public:
    SimServerClient(Timeline &timeline, SimServers &servers, SimProcess &host)
        : timeline(timeline)
        , servers(servers)
        , host(host)
    {
    }
    void start(const StartOrder &order, std::function<void(const OrderReply &)> reply) override
    {
        this->servers.onStartSent(this->host.self.name);
        this->call(
            OrderKind::Start, order, Micros(0), std::move(reply),
            [](SimServer &server, const StartOrder &arrived, const auto &handler) { handler(server.start(arrived)); });
    }
    void stop(const StopOrder &order, std::function<void(const OrderReply &)> reply) override
    {
        this->call(
            OrderKind::Stop, order, Micros(0), std::move(reply),
            [delay = this->servers.drawStopDelay()](SimServer &server, const StopOrder &arrived, const auto &handler) {
                handler(server.stop(arrived, delay));
            });
    }
    void poll(const PollOrder &order, std::function<void(const PollReply &)> reply) override
    {
        this->call(OrderKind::Poll, order, order.wait, std::move(reply),
                   [](SimServer &server, const PollOrder &arrived, const auto &handler) {
                       const bool isExpected = server.ref.startedAtMs == arrived.server.startedAtMs;
                       server.poll(arrived, [isExpected, handler](PollReply answer) {
                           // The client detects another instance only by the answer, after the poll was carried out.
                           answer.outcome = isExpected || answer.outcome != OrderOutcome::Accepted
                               ? answer.outcome
                               : OrderOutcome::OtherInstance;
                           handler(answer);
                       });
                   });
    }

private:
    static constexpr Micros orderTimeout = Millis(100);

    static std::string textOf(const PollOrder & /*order*/)
    {
        return "poll";
    }
    template<typename Order>
    static std::string textOf(const Order &order)
    {
        return fmt::format("{} of run {} of {}/{}", std::is_same_v<Order, StartOrder> ? "start" : "stop", order.run,
                           order.task.job, order.task.index);
    }
    static std::int64_t *leaseOf(StopOrder & /*order*/)
    {
        return nullptr;
    }
    template<typename Order>
    static std::int64_t *leaseOf(Order &order)
    {
        return &order.leaseUntilMs;
    }

    template<typename Order, typename Reply, typename Apply>
    void call(OrderKind kind, const Order &order, Micros wait, std::function<void(const Reply &)> reply, Apply apply)
    {
        // A server may answer after the host was killed, so nothing refers to this client.
        const auto answer = [timeline = &this->timeline, weak = this->host.weak_from_this(),
                             reply = std::move(reply)](Micros delay, const Reply &result) {
            postAfter(*timeline, weak, delay, [reply, result] { reply(result); });
        };
        const auto sendTo = this->servers.find(order.server);
        if (const auto late = this->servers.lateOrder(kind, this->host.self.name)) {
            const auto sentClockMs = sendTo ? sendTo->clockMs() : 0;
            if (kind != OrderKind::Poll) {
                this->servers.trace(fmt::format("{} by {} is late by {} ms", textOf(order), this->host.self.name,
                                                toMillis(late->delay)));
            }
            this->timeline.after(late->delay,
                                 [servers = &this->servers, order = order, late, sentClockMs, apply]() mutable {
                                     const auto server = servers->find(order.server);
                                     if (!server || server->ref.id != order.server.id) {
                                         return;
                                     }
                                     auto *lease = leaseOf(order);
                                     if (late->isGrant && lease != nullptr && *lease > 0) {
                                         *lease += server->clockMs() - sentClockMs;
                                     }
                                     apply(*server, order, [](const Reply &) {});
                                 });
            answer(wait + orderTimeout, Reply {});
            return;
        }
        this->timeline.after(hopDelay, [servers = &this->servers, order, apply, answer] {
            const auto server = servers->find(order.server);
            if (!server || server->ref.id != order.server.id) {
                Reply result;
                result.outcome = server ? OrderOutcome::OtherInstance : OrderOutcome::NotSent;
                answer(hopDelay, result);
                return;
            }
            apply(*server, order, [answer](const Reply &result) { answer(hopDelay, result); });
        });
    }

    Timeline &timeline;
    SimServers &servers;
    SimProcess &host;
};

class HostProcess : public SimProcess
{
public:
    HostProcess(Timeline &timeline, SimNetwork &network, SimServers &servers, wire::ProcessId id, int port)
        : SimProcess(timeline, std::move(id), port)
        , sink(network, *this, wire::Role::AGENT)
        , link(this->sink, timeline.clock(), memberOptionsOf(*this, wire::Role::AGENT))
        , client(timeline, servers, *this)
        , host(this->sink, timeline.clock(), this->link, this->client, optionsOf(this->self))
    {
    }
    HostCore &core() override
    {
        return this->host;
    }

private:
    static HostOptions optionsOf(const wire::ProcessId &self)
    {
        HostOptions options;
        options.self = self;
        return options;
    }

    SimSink sink;
    MemberLink link;
    SimServerClient client;
    HostCore host;
};

} // namespace agatedrum::test
