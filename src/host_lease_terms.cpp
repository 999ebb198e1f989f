#include "host_lease_terms_p.h"

#include <algorithm>

namespace agatedrum {

namespace {

/// Two lost reports do not end the lease of an entry.
constexpr Millis minEntryLease {3 * AGATEDRUM_HOST_REPORT_MS};

/// Returns the latest time after which a run may lose its lease at the backend server, so that it ends within the limit
/// on a slow clock.
constexpr Millis longestGrantWithin(Millis limit)
{
    return (limit - maxServerStopTime) * 100 / (100 + maxServerClockDriftPercent);
}

} // namespace

std::optional<HostLeaseTerms> HostLeaseTerms::forCallerRetry(Millis callerRetry)
{
    const auto longest = longestGrantWithin(callerRetry - Millis(1)); // the runs must have ended before the retry
    HostLeaseTerms terms;
    terms.lease = std::min(terms.lease, longest - terms.expiryStop);
    terms.orderedStop = std::min(terms.orderedStop, longest);
    return terms.lease < minEntryLease ? std::nullopt : std::make_optional(terms);
}

Millis HostLeaseTerms::minCallerRetry()
{
    constexpr Millis shortestGrant = minEntryLease + Millis(AGATEDRUM_HOST_EXPIRY_STOP_MS);
    // Rounded up to whole milliseconds.
    return (shortestGrant * (100 + maxServerClockDriftPercent) + Millis(99)) / 100 + maxServerStopTime + Millis(1);
}

} // namespace agatedrum
