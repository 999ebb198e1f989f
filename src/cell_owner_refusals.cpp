#include "cell_owner_refusals_p.h"

#include <fmt/format.h>

namespace agatedrum {

namespace {

/// Age after which no duplicate of a request can arrive. Greater than the age at which a sender drops unsent messages.
constexpr Millis maxDuplicateAge {10000};
constexpr std::size_t maxRefusedRequests = 200000;

} // namespace

std::string requestName(const wire::ProcessId &sender, std::int64_t requestId)
{
    return fmt::format("{}/{}/{}", sender.name, sender.incarnation, requestId);
}

bool RefusedRequests::add(const std::string &request, const wire::Refusal &refusal, Time now)
{
    if (this->refusalsByRequest.size() >= maxRefusedRequests) {
        return false;
    }
    if (this->refusalsByRequest.emplace(request, refusal).second) {
        this->expiryQueue.push_back({now, request});
    }
    return true;
}

std::optional<wire::Refusal> RefusedRequests::find(const std::string &request) const
{
    const auto found = this->refusalsByRequest.find(request);
    return found == this->refusalsByRequest.end() ? std::nullopt : std::optional(found->second);
}

void RefusedRequests::expire(Time now)
{
    while (!this->expiryQueue.empty() && now - this->expiryQueue.front().refusedAt >= maxDuplicateAge) {
        this->refusalsByRequest.erase(this->expiryQueue.front().request);
        this->expiryQueue.pop_front();
    }
}

} // namespace agatedrum
