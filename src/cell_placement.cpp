#include "cell_placement_p.h"

#include <algorithm>
#include <random>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace agatedrum {

namespace {

/// Chooses the server with the lowest score.
class ScoredPlacement : public PlacementStrategyI
{
public:
    using ScoreFunction = double (*)(const ServerLoad &);

    ScoredPlacement(ScoreFunction score, bool isWaitAllowed)
        : score(score)
        , isWaitAllowed(isWaitAllowed)
    {
    }

    bool mayWait() const override
    {
        return this->isWaitAllowed;
    }

    void addOrUpdate(int server, const ServerLoad &load) override
    {
        const double newScore = this->score(load);
        const auto [known, isNew] = this->scores.try_emplace(server, newScore);
        if (!isNew) {
            if (known->second == newScore) {
                return;
            }
            this->order.erase({known->second, server});
            known->second = newScore;
        }
        this->order.emplace(newScore, server);
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
    ScoreFunction score;
    bool isWaitAllowed;
    std::set<std::pair<double, int>> order; ///< score and server
    std::unordered_map<int, double> scores; ///< by server
};

/// Chooses the servers in turn.
class RoundRobinPlacement : public PlacementStrategyI
{
public:
    void addOrUpdate(int server, const ServerLoad & /*load*/) override
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
        auto next = this->servers.upper_bound(this->lastChosen);
        if (next == this->servers.end()) {
            next = this->servers.begin();
        }
        this->lastChosen = *next;
        return this->lastChosen;
    }

private:
    std::set<int> servers;
    int lastChosen = -1;
};

/// Draws a number of servers at random and chooses the one of them with the fewest running tasks.
class ProbingPlacement : public PlacementStrategyI
{
public:
    ProbingPlacement(int probes, std::uint64_t seed)
        : probes(probes)
        , random(seed)
    {
    }

    void addOrUpdate(int server, const ServerLoad &load) override
    {
        const auto [known, isNew] = this->positions.try_emplace(server, this->servers.size());
        if (isNew) {
            this->servers.emplace_back(server, load);
        } else {
            this->servers[known->second].second = load;
        }
    }

    void remove(int server) override
    {
        const auto known = this->positions.find(server);
        if (known == this->positions.end()) {
            return;
        }
        const auto position = known->second;
        this->servers[position] = this->servers.back();
        this->positions[this->servers[position].first] = position;
        this->servers.pop_back();
        this->positions.erase(server);
    }

    std::optional<int> choose() override
    {
        if (this->servers.empty()) {
            return std::nullopt;
        }
        std::uniform_int_distribution<std::size_t> distribution(0, this->servers.size() - 1);
        auto best = distribution(this->random);
        for (int probe = 1; probe < this->probes; ++probe) {
            const auto other = distribution(this->random);
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
    std::unordered_map<int, std::size_t> positions; ///< position of each server in servers
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
