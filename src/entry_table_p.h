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

/// Bounded table of calls in flight, by request id, split into shards that each have their own lock. Thread-safe.
/// Each call has one time at which it is due; processDue() then processes it.
template<typename Call>
class PendingCallTable
{
public:
    /// Preconditions: shards is above 0; firstId is above 0 and differs from the one of any earlier process.
    PendingCallTable(int shards, std::size_t maxCalls, std::int64_t firstId)
        : maxCalls(maxCalls)
        , shards(static_cast<std::size_t>(shards))
        , nextId(firstId)
    {
    }

    /// Adds a call that is due at the given time. @return its request id, or 0 if the table is full.
    std::int64_t add(Call call, Time dueAt)
    {
        if (this->count.fetch_add(1) >= this->maxCalls) {
            --this->count;
            return 0;
        }
        const auto id = this->nextId.fetch_add(1);
        auto &shard = this->shardFor(id);
        const std::lock_guard lock(shard.mutex);
        shard.calls.emplace(id, ScheduledCall {std::move(call), dueAt});
        shard.dueTimes.emplace(dueAt, id);
        return id;
    }

    /// Calls change(call), which may modify the call and returns when it is next due, with the lock of the shard held.
    /// Does nothing if there is no call with this id.
    template<typename Change>
    void update(std::int64_t id, Change change)
    {
        auto &shard = this->shardFor(id);
        const std::lock_guard lock(shard.mutex);
        const auto found = shard.calls.find(id);
        if (found != shard.calls.end()) {
            shard.reschedule(found, change(found->second.call));
        }
    }

    /// Calls change(id, call) for every call; otherwise like update().
    template<typename Change>
    void updateAll(Change change)
    {
        for (auto &shard : this->shards) {
            const std::lock_guard lock(shard.mutex);
            for (auto it = shard.calls.begin(); it != shard.calls.end(); ++it) {
                shard.reschedule(it, change(it->first, it->second.call));
            }
        }
    }

    /// Removes and returns the call if predicate(call) returns true; otherwise, or if there is no such call,
    /// returns std::nullopt.
    template<typename Predicate>
    std::optional<Call> takeIf(std::int64_t id, Predicate predicate)
    {
        auto &shard = this->shardFor(id);
        const std::lock_guard lock(shard.mutex);
        const auto found = shard.calls.find(id);
        if (found == shard.calls.end() || !predicate(found->second.call)) {
            return std::nullopt;
        }
        return this->remove(shard, found);
    }

    /// Calls process(id, call) for each call that is due. It returns when the call is next due, or std::nullopt to
    /// remove the call. @return the removed calls.
    template<typename Process>
    std::vector<Call> processDue(Time now, Process process)
    {
        std::vector<Call> removed;
        for (auto &shard : this->shards) {
            const std::lock_guard lock(shard.mutex);
            // A call that is kept becomes due after now, so the loop terminates.
            while (!shard.dueTimes.empty() && shard.dueTimes.begin()->first <= now) {
                const auto found = shard.calls.find(shard.dueTimes.begin()->second);
                if (const std::optional<Time> nextDueAt = process(found->first, found->second.call)) {
                    shard.reschedule(found, std::max(*nextDueAt, now + Micros(1)));
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
    struct ScheduledCall
    {
        Call call;
        Time dueAt;
    };
    using Calls = std::unordered_map<std::int64_t, ScheduledCall>;

    struct Shard
    {
        void reschedule(typename Calls::iterator it, Time dueAt)
        {
            if (it->second.dueAt != dueAt) {
                this->dueTimes.erase({it->second.dueAt, it->first});
                this->dueTimes.emplace(dueAt, it->first);
                it->second.dueAt = dueAt;
            }
        }

        std::mutex mutex;
        Calls calls;
        std::set<std::pair<Time, std::int64_t>> dueTimes;
    };

    Shard &shardFor(std::int64_t id)
    {
        return this->shards[static_cast<std::uint64_t>(id) % this->shards.size()];
    }

    Call remove(Shard &shard, typename Calls::iterator it)
    {
        shard.dueTimes.erase({it->second.dueAt, it->first});
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
