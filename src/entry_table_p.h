#pragma once

#include "base_clock_p.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace agatedrum {

/// Calls in flight by request id, in shards that each have their own lock. Bounded. Thread-safe.
/// A call is due at one time, when visitDue() hands it out.
template<typename Call>
class EntryTable
{
public:
    /// Preconditions: shards is above 0; firstId is above 0 and differs from that of an earlier process.
    EntryTable(int shards, std::size_t maxCalls, std::int64_t firstId)
        : maxCalls(maxCalls)
        , shards(static_cast<std::size_t>(shards))
        , nextId(firstId)
    {
    }

    /// @return the request id, or 0 when the table is full.
    std::int64_t add(Call call, Time due)
    {
        if (this->count.fetch_add(1) >= this->maxCalls) {
            --this->count;
            return 0;
        }
        const auto id = this->nextId.fetch_add(1);
        auto &shard = this->shardOf(id);
        const std::lock_guard lock(shard.mutex);
        shard.calls.emplace(id, Entry {std::move(call), due});
        shard.due.emplace(due, id);
        return id;
    }

    /// Lets change(call) alter a call and return when it is next due. Does nothing when the call has gone.
    template<typename Change>
    void update(std::int64_t id, Change change)
    {
        auto &shard = this->shardOf(id);
        const std::lock_guard lock(shard.mutex);
        const auto found = shard.calls.find(id);
        if (found != shard.calls.end()) {
            shard.setDue(found, change(found->second.call));
        }
    }

    /// As update() for every call.
    template<typename Change>
    void updateAll(Change change)
    {
        for (auto &shard : this->shards) {
            const std::lock_guard lock(shard.mutex);
            for (auto it = shard.calls.begin(); it != shard.calls.end(); ++it) {
                shard.setDue(it, change(it->first, it->second.call));
            }
        }
    }

    /// Removes and returns the call if accept(call) says so.
    template<typename Accept>
    std::optional<Call> takeIf(std::int64_t id, Accept accept)
    {
        auto &shard = this->shardOf(id);
        const std::lock_guard lock(shard.mutex);
        const auto found = shard.calls.find(id);
        if (found == shard.calls.end() || !accept(found->second.call)) {
            return std::nullopt;
        }
        return this->remove(shard, found);
    }

    /// Lets visit(id, call) handle each call that is due and return when it is next due, or nothing to remove it.
    /// @return the removed calls.
    template<typename Visit>
    std::vector<Call> visitDue(Time now, Visit visit)
    {
        std::vector<Call> removed;
        for (auto &shard : this->shards) {
            const std::lock_guard lock(shard.mutex);
            // A call that stays is due after now, so that the loop ends.
            while (!shard.due.empty() && shard.due.begin()->first <= now) {
                const auto found = shard.calls.find(shard.due.begin()->second);
                if (const std::optional<Time> next = visit(found->first, found->second.call)) {
                    shard.setDue(found, std::max(*next, now + Micros(1)));
                } else {
                    removed.push_back(this->remove(shard, found));
                }
            }
        }
        return removed;
    }

    std::size_t size() const
    {
        return this->count;
    }

private:
    struct Entry
    {
        Call call;
        Time due;
    };
    using Calls = std::unordered_map<std::int64_t, Entry>;

    struct Shard
    {
        void setDue(typename Calls::iterator it, Time next)
        {
            if (it->second.due != next) {
                this->due.erase({it->second.due, it->first});
                this->due.emplace(next, it->first);
                it->second.due = next;
            }
        }

        std::mutex mutex;
        Calls calls;
        std::set<std::pair<Time, std::int64_t>> due;
    };

    Shard &shardOf(std::int64_t id)
    {
        return this->shards[static_cast<std::uint64_t>(id) % this->shards.size()];
    }

    Call remove(Shard &shard, typename Calls::iterator it)
    {
        shard.due.erase({it->second.due, it->first});
        Call call = std::move(it->second.call);
        shard.calls.erase(it);
        --this->count;
        return call;
    }

    const std::size_t maxCalls;
    std::vector<Shard> shards;
    std::atomic<std::int64_t> nextId;
    std::atomic<std::size_t> count {0};
};

} // namespace agatedrum
