#pragma once

#include <cstddef>
#include <string>
#include <tuple>
#include <vector>

namespace agatedrum {

/// Losses that the control group has to bear at the same time without losing a decision: processes with their disks, or
/// whole failure domains. Immutable value.
struct LossTolerance
{
    int machines = 1;
    int domains = 0;

    friend bool operator==(const LossTolerance &a, const LossTolerance &b)
    {
        return std::tie(a.machines, a.domains) == std::tie(b.machines, b.domains);
    }
    friend bool operator!=(const LossTolerance &a, const LossTolerance &b)
    {
        return !(a == b);
    }
};

/// Returns whether a majority of the voters remains after any losses within the tolerance. Every committed entry is on
/// the disks of a majority, so at least one of those that remain has it. Thread-safe.
/// @param voterDomains failure domain of each voter; an empty one counts as a domain of its own.
bool bearsLosses(const std::vector<std::string> &voterDomains, const LossTolerance &tolerance);

/// Returns the number of voters that a group with these members shall have: the smallest odd one that bears the losses
/// if the voters are spread evenly over the failure domains. Thread-safe.
/// @param memberDomains failure domain of each member that may vote.
std::size_t votersNeeded(const std::vector<std::string> &memberDomains, const LossTolerance &tolerance);

} // namespace agatedrum
