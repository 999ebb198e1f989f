#include "control_tolerance_p.h"

#include <algorithm>
#include <functional>
#include <map>
#include <numeric>

namespace agatedrum {

namespace {

/// Fewer voters would not bear the outage of one process.
constexpr std::size_t minVoters = 3;

/// Returns the number of processes in each failure domain, the largest number first.
std::vector<std::size_t> domainSizes(const std::vector<std::string> &processDomains)
{
    std::map<std::string, std::size_t> counts;
    std::vector<std::size_t> sizes;
    for (const auto &domain : processDomains) {
        if (domain.empty()) {
            sizes.push_back(1);
        } else {
            ++counts[domain];
        }
    }
    for (const auto &[domain, count] : counts) {
        sizes.push_back(count);
    }
    std::sort(sizes.begin(), sizes.end(), std::greater<>());
    return sizes;
}

/// Returns the largest number of voters that the tolerated losses can take.
std::size_t mostLostVoters(const std::vector<std::size_t> &sizes, const LossTolerance &tolerance)
{
    const auto domains = std::min(sizes.size(), static_cast<std::size_t>(tolerance.domains));
    const auto inDomains
        = std::accumulate(sizes.begin(), sizes.begin() + static_cast<std::ptrdiff_t>(domains), std::size_t {0});
    return std::max(inDomains, static_cast<std::size_t>(tolerance.machines));
}

bool keepsMajority(std::size_t voters, std::size_t lost)
{
    return voters > 0 && lost <= (voters - 1) / 2;
}

/// Takes voters from the domains in turn, as long as they have members left.
std::vector<std::size_t> spreadEvenly(std::size_t voters, const std::vector<std::size_t> &memberSizes)
{
    std::vector<std::size_t> sizes(memberSizes.size(), 0);
    for (std::size_t round = 0; voters > 0 && !sizes.empty() && round < memberSizes.front(); ++round) {
        for (std::size_t i = 0; i < sizes.size() && voters > 0 && memberSizes[i] > round; ++i) {
            ++sizes[i];
            --voters;
        }
    }
    return sizes;
}

} // namespace

bool bearsLosses(const std::vector<std::string> &voterDomains, const LossTolerance &tolerance)
{
    return keepsMajority(voterDomains.size(), mostLostVoters(domainSizes(voterDomains), tolerance));
}

std::size_t votersNeeded(const std::vector<std::string> &memberDomains, const LossTolerance &tolerance)
{
    const auto sizes = domainSizes(memberDomains);
    const auto least = std::max(minVoters, 2 * static_cast<std::size_t>(tolerance.machines) + 1);
    for (auto voters = least; voters <= memberDomains.size(); voters += 2) {
        if (keepsMajority(voters, mostLostVoters(spreadEvenly(voters, sizes), tolerance))) {
            return voters;
        }
    }
    return least;
}

} // namespace agatedrum
