#pragma once

#include "base_clock_p.h"
#include "wire_message_p.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <utility>
#include <vector>

namespace agatedrum::test {

/// Simulated network between processes, which are identified by their ports. Can lose, duplicate, delay and reorder
/// messages and cut links.
class FaultNetwork
{
public:
    /// Faults that apply to all messages.
    struct Conditions
    {
        double lossShare = 0; ///< fraction of messages that are lost
        double repeatShare = 0; ///< fraction of messages that are delivered twice
        Micros delay {500};
        Micros extraDelay {0}; ///< maximum random delay added to each message; messages may overtake each other
        Micros repeatDelay {0}; ///< maximum random delay of the duplicate after the first delivery
    };
    /// @return true if the message is to be dropped.
    using DropFilter = std::function<bool(int from, int to, const Payload &)>;

    FaultNetwork(const ManualClock &clock, std::uint64_t seed)
        : clock(clock)
        , random(seed)
    {
    }

    void send(int fromPort, IncomingMessage message, int toPort)
    {
        ++this->sent;
        if (this->observer) {
            this->observer(message);
        }
        if (this->cuts.count({fromPort, toPort}) != 0 || this->drawFraction() < this->conditions.lossShare) {
            return;
        }
        for (const auto &filter : this->dropFilters) {
            if (filter(fromPort, toPort, message.payload)) {
                return;
            }
        }
        if (this->drawFraction() < this->conditions.repeatShare) {
            this->enqueue(message, toPort, this->drawUpTo(this->conditions.repeatDelay));
        }
        this->enqueue(std::move(message), toPort, Micros(0));
    }
    void cut(int fromPort, int toPort)
    {
        this->cuts.insert({fromPort, toPort});
    }
    void cutBothWays(int a, int b)
    {
        this->cut(a, b);
        this->cut(b, a);
    }
    void clearFaults()
    {
        this->cuts.clear();
        this->dropFilters.clear();
        this->conditions = {};
    }
    /// Removes and returns the messages that are due, in the order of arrival.
    std::vector<std::pair<int, IncomingMessage>> takeDue()
    {
        std::vector<std::pair<int, IncomingMessage>> due;
        while (!this->queue.empty() && this->queue.begin()->first <= this->clock.now()) {
            due.push_back(std::move(this->queue.begin()->second));
            this->queue.erase(this->queue.begin());
        }
        return due;
    }
    double drawFraction()
    {
        return std::uniform_real_distribution<double>(0, 1)(this->random);
    }
    int drawBelow(int bound)
    {
        return std::uniform_int_distribution<int>(0, bound - 1)(this->random);
    }

    Conditions conditions;
    std::function<void(const IncomingMessage &)>
        observer; ///< called for every message when it is sent, also if it will be lost
    std::vector<DropFilter> dropFilters;
    std::int64_t sent = 0;

private:
    Micros drawUpTo(Micros limit)
    {
        return Micros(static_cast<std::int64_t>(this->drawFraction() * static_cast<double>(limit.count())));
    }
    void enqueue(IncomingMessage message, int toPort, Micros additionalDelay)
    {
        const auto at = this->clock.now() + this->conditions.delay + this->drawUpTo(this->conditions.extraDelay)
            + additionalDelay;
        this->queue.emplace(at, std::make_pair(toPort, std::move(message)));
    }

    const ManualClock &clock;
    std::mt19937_64 random;
    std::set<std::pair<int, int>> cuts;
    std::multimap<Time, std::pair<int, IncomingMessage>> queue;
};

/// Sends the messages of one process into the network.
class NetworkSink : public MessageSinkI
{
public:
    NetworkSink(FaultNetwork &network, wire::ProcessId self, wire::Role::type role, int port)
        : network(network)
        , self(std::move(self))
        , role(role)
        , port(port)
    {
    }
    void send(const wire::Endpoint &to, Payload payload) override
    {
        wire::Endpoint address;
        address.host = "127.0.0.1";
        address.port = this->port;
        this->network.send(this->port, {this->self, this->role, address, 0, std::move(payload)}, to.port);
    }

private:
    FaultNetwork &network;
    wire::ProcessId self;
    wire::Role::type role;
    int port;
};

} // namespace agatedrum::test
