#pragma once

#include "agatedrum_types.h"
#include "base_clock_p.h"

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace agatedrum {

/// Requests that were refused as not run. A late copy of such a request must get the same refusal instead of running.
/// Not thread-safe.
class RefusedRequests
{
public:
    /// @return false when no more can be held; the refusal must then not say "not run".
    bool add(const std::string &request, const wire::Refusal &refusal, Time now);
    std::optional<wire::Refusal> find(const std::string &request) const;
    /// Drops those that no copy can still follow.
    void expire(Time now);

private:
    struct Entry
    {
        Time at;
        std::string request;
    };
    std::unordered_map<std::string, wire::Refusal> byRequest;
    std::deque<Entry> oldestFirst;
};

/// Name of a request that is unique across entries and their restarts.
std::string requestName(const wire::ProcessId &sender, std::int64_t requestId);

} // namespace agatedrum
