#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace agatedrum {

/// What a placement strategy knows of a backend server.
struct ServerLoad
{
    int running = 0;
    int limit = 0;
    double slowness = 1; ///< run time relative to expectation; lower is faster
};

/// Chooses among the backend servers that have a free slot. Not thread-safe.
struct PlacementStrategyI
{
    virtual ~PlacementStrategyI() = default;
    /// Adds a backend server with a free slot, or takes over its changed load.
    virtual void put(int server, const ServerLoad &load) = 0;
    /// Takes out a backend server without a free slot. Harmless when it is not in.
    virtual void remove(int server) = 0;
    /// Index of a backend server that stays in, or nothing when none is in.
    virtual std::optional<int> choose() = 0;
    /// Whether a task may wait for a faster server while a slower one is free.
    virtual bool mayWait() const
    {
        return false;
    }
};

/// @param name fastestFree, random, roundRobin, leastLoaded or twoProbes; any other name gives fastestFree.
/// @param seed makes the random strategies repeatable.
std::unique_ptr<PlacementStrategyI> makePlacementStrategy(const std::string &name, std::uint64_t seed);

} // namespace agatedrum
