#include "cell_owner_refusals_p.h"

#include <fmt/format.h>

namespace agatedrum {

namespace {

/// Above the age at which a sender drops a message that it could not send.
constexpr Millis maxCopyAge {10000};
constexpr std::size_t maxRefused = 200000;

} // namespace

std::string requestName(const wire::ProcessId &sender, std::int64_t requestId)
{
    return fmt::format("{}/{}/{}", sender.name, sender.incarnation, requestId);
}

bool RefusedRequests::add(const std::string &request, const wire::Refusal &refusal, Time now)
{
    if (this->byRequest.size() >= maxRefused) {
        return false;
    }
    if (this->byRequest.emplace(request, refusal).second) {
        this->oldestFirst.push_back({now, request});
    }
    return true;
}

std::optional<wire::Refusal> RefusedRequests::find(const std::string &request) const
{
    const auto found = this->byRequest.find(request);
    return found == this->byRequest.end() ? std::nullopt : std::optional(found->second);
}

void RefusedRequests::expire(Time now)
{
    while (!this->oldestFirst.empty() && now - this->oldestFirst.front().at >= maxCopyAge) {
        this->byRequest.erase(this->oldestFirst.front().request);
        this->oldestFirst.pop_front();
    }
}

} // namespace agatedrum
