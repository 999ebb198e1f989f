#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace agatedrum {

/// Load of a backend server as a placement strategy sees it.
struct ServerLoad
{
    int running = 0; ///< number of running tasks
    int limit = 0; ///< maximum number of running tasks
    double slowness = 1; ///< run time relative to the expected one; lower is faster
};

/// Strategy that chooses one of the backend servers that have a free slot. Not thread-safe.
struct PlacementStrategyI
{
    virtual ~PlacementStrategyI() = default;
    /// Adds a backend server with a free slot, or updates its load.
    virtual void addOrUpdate(int server, const ServerLoad &load) = 0;
    /// Removes a backend server that has no free slot any more; does nothing if it was not added.
    virtual void remove(int server) = 0;
    /// Returns the index of the chosen backend server, which is not removed, or std::nullopt if there is none.
    virtual std::optional<int> choose() = 0;
    /// Returns whether a task may wait for a faster server although a slower one is free.
    virtual bool mayWait() const
    {
        return false;
    }
};

/// Creates a strategy.
/// @param name fastestFree, random, roundRobin, leastLoaded or twoProbes; any other name selects fastestFree.
/// @param seed seed of the random strategies.
std::unique_ptr<PlacementStrategyI> makePlacementStrategy(const std::string &name, std::uint64_t seed);

} // namespace agatedrum
