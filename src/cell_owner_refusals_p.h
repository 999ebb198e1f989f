#pragma once

#include "agatedrum_types.h"
#include "base_clock_p.h"

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace agatedrum {

/// Requests that were refused with "not run". A duplicate of such a request that arrives later must get the same
/// refusal instead of running. Not thread-safe.
class RefusedRequests
{
public:
    /// Adds a refused request.
    /// @return false if the limit is reached; the refusal must then not say "not run".
    bool add(const std::string &request, const wire::Refusal &refusal, Time now);
    /// @return the refusal that the request got, or std::nullopt if it was not refused.
    std::optional<wire::Refusal> find(const std::string &request) const;
    /// Removes requests that are so old that no duplicate can still arrive.
    void expire(Time now);

private:
    struct Entry
    {
        Time refusedAt;
        std::string request;
    };
    std::unordered_map<std::string, wire::Refusal> refusalsByRequest;
    std::deque<Entry> expiryQueue;
};

/// Returns a name of the request that is unique across entries and their restarts.
std::string requestName(const wire::ProcessId &sender, std::int64_t requestId);

} // namespace agatedrum
