#include "cell_placement_p.h"

#include <algorithm>
#include <random>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace agatedrum {

namespace {

/// Servers in the order of a score; the lowest is chosen.
class ScoredPlacement : public PlacementStrategyI
{
public:
    using Score = double (*)(const ServerLoad &);

    ScoredPlacement(Score score, bool isWaiting)
        : score(score)
        , isWaiting(isWaiting)
    {
    }

    bool mayWait() const override
    {
        return this->isWaiting;
    }

    void put(int server, const ServerLoad &load) override
    {
        const double value = this->score(load);
        const auto [known, isNew] = this->scores.try_emplace(server, value);
        if (!isNew) {
            if (known->second == value) {
                return;
            }
            this->order.erase({known->second, server});
            known->second = value;
        }
        this->order.emplace(value, server);
    }

    void remove(int server) override
    {
        if (const auto known = this->scores.find(server); known != this->scores.end()) {
            this->order.erase({known->second, server});
            this->scores.erase(known);
        }
    }

    std::optional<int> choose() override
    {
        return this->order.empty() ? std::nullopt : std::optional(this->order.begin()->second);
    }

private:
    Score score;
    bool isWaiting;
    std::set<std::pair<double, int>> order;
    std::unordered_map<int, double> scores;
};

/// Each server in turn.
class RoundRobinPlacement : public PlacementStrategyI
{
public:
    void put(int server, const ServerLoad & /*load*/) override
    {
        this->servers.insert(server);
    }

    void remove(int server) override
    {
        this->servers.erase(server);
    }

    std::optional<int> choose() override
    {
        if (this->servers.empty()) {
            return std::nullopt;
        }
        auto next = this->servers.upper_bound(this->last);
        if (next == this->servers.end()) {
            next = this->servers.begin();
        }
        this->last = *next;
        return this->last;
    }

private:
    std::set<int> servers;
    int last = -1;
};

/// Draws a number of servers at random and takes the least loaded of them.
class ProbingPlacement : public PlacementStrategyI
{
public:
    ProbingPlacement(int probes, std::uint64_t seed)
        : probes(probes)
        , random(seed)
    {
    }

    void put(int server, const ServerLoad &load) override
    {
        const auto [known, isNew] = this->places.try_emplace(server, this->servers.size());
        if (isNew) {
            this->servers.emplace_back(server, load);
        } else {
            this->servers[known->second].second = load;
        }
    }

    void remove(int server) override
    {
        const auto known = this->places.find(server);
        if (known == this->places.end()) {
            return;
        }
        const auto place = known->second;
        this->servers[place] = this->servers.back();
        this->places[this->servers[place].first] = place;
        this->servers.pop_back();
        this->places.erase(server);
    }

    std::optional<int> choose() override
    {
        if (this->servers.empty()) {
            return std::nullopt;
        }
        std::uniform_int_distribution<std::size_t> draw(0, this->servers.size() - 1);
        auto best = draw(this->random);
        for (int probe = 1; probe < this->probes; ++probe) {
            const auto other = draw(this->random);
            if (this->servers[other].second.running < this->servers[best].second.running) {
                best = other;
            }
        }
        return this->servers[best].first;
    }

private:
    int probes;
    std::mt19937_64 random;
    std::vector<std::pair<int, ServerLoad>> servers;
    std::unordered_map<int, std::size_t> places;
};

double slownessScore(const ServerLoad &load)
{
    return load.slowness;
}

double loadScore(const ServerLoad &load)
{
    return static_cast<double>(load.running) / std::max(1, load.limit);
}

} // namespace

std::unique_ptr<PlacementStrategyI> makePlacementStrategy(const std::string &name, std::uint64_t seed)
{
    if (name == "random") {
        return std::make_unique<ProbingPlacement>(1, seed);
    }
    if (name == "twoProbes") {
        return std::make_unique<ProbingPlacement>(2, seed);
    }
    if (name == "roundRobin") {
        return std::make_unique<RoundRobinPlacement>();
    }
    if (name == "leastLoaded") {
        return std::make_unique<ScoredPlacement>(loadScore, false);
    }
    return std::make_unique<ScoredPlacement>(slownessScore, true);
}

} // namespace agatedrum
