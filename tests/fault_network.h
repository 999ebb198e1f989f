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

/// Network between simulated processes, known by their ports: loses, repeats, delays, reorders and cuts.
class FaultNetwork
{
public:
    struct Weather
    {
        double lossShare = 0;
        double repeatShare = 0;
        Micros delay {500};
        Micros extraDelay {0}; ///< up to this much more, drawn for each message, so that messages overtake each other
        Micros repeatDelay {0}; ///< up to this much later than the first copy
    };
    /// @return true when the message is to be lost.
    using Filter = std::function<bool(int from, int to, const Payload &)>;

    FaultNetwork(const ManualClock &clock, std::uint64_t seed)
        : clock(clock)
        , random(seed)
    {
    }

    void send(int fromPort, Incoming message, int toPort)
    {
        ++this->sent;
        if (this->observer) {
            this->observer(message);
        }
        if (this->cuts.count({fromPort, toPort}) != 0 || this->draw() < this->weather.lossShare) {
            return;
        }
        for (const auto &filter : this->filters) {
            if (filter(fromPort, toPort, message.payload)) {
                return;
            }
        }
        if (this->draw() < this->weather.repeatShare) {
            this->enqueue(message, toPort, this->upTo(this->weather.repeatDelay));
        }
        this->enqueue(std::move(message), toPort, Micros(0));
    }
    void cut(int fromPort, int toPort)
    {
        this->cuts.insert({fromPort, toPort});
    }
    void cutBoth(int a, int b)
    {
        this->cut(a, b);
        this->cut(b, a);
    }
    void heal()
    {
        this->cuts.clear();
        this->filters.clear();
        this->weather = {};
    }
    /// Due messages in the order of arrival.
    std::vector<std::pair<int, Incoming>> takeDue()
    {
        std::vector<std::pair<int, Incoming>> due;
        while (!this->queue.empty() && this->queue.begin()->first <= this->clock.now()) {
            due.push_back(std::move(this->queue.begin()->second));
            this->queue.erase(this->queue.begin());
        }
        return due;
    }
    double draw()
    {
        return std::uniform_real_distribution<double>(0, 1)(this->random);
    }
    int below(int bound)
    {
        return std::uniform_int_distribution<int>(0, bound - 1)(this->random);
    }

    Weather weather;
    std::function<void(const Incoming &)> observer; ///< sees every message as it leaves
    std::vector<Filter> filters;
    std::int64_t sent = 0;

private:
    Micros upTo(Micros most)
    {
        return Micros(static_cast<std::int64_t>(this->draw() * static_cast<double>(most.count())));
    }
    void enqueue(Incoming message, int toPort, Micros later)
    {
        const auto at = this->clock.now() + this->weather.delay + this->upTo(this->weather.extraDelay) + later;
        this->queue.emplace(at, std::make_pair(toPort, std::move(message)));
    }

    const ManualClock &clock;
    std::mt19937_64 random;
    std::set<std::pair<int, int>> cuts;
    std::multimap<Time, std::pair<int, Incoming>> queue;
};

/// A process's end of the network.
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
