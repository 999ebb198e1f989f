#pragma once

#include "agatedrum/config.h"
#include "base_clock_p.h"

#include <optional>

namespace agatedrum {

constexpr int maxServerClockDriftPercent = 2; ///< by which the clock of a backend server may be slow
constexpr Millis maxServerStopTime {50}; ///< time that a backend server takes to end a run

/// How long a host lets runs continue whose entry is lost or has ordered their stop. Immutable.
///
/// Runs under these terms have ended when their callers submit the jobs again, even if no stop reaches the backend
/// server.
class HostLeaseTerms
{
public:
    /// The longest terms, from the build-time constants.
    HostLeaseTerms() = default;

    /// Returns the longest terms for callers that submit a lost job again after this time, or nothing if the time is
    /// too short for a lease that survives two lost reports. Thread-safe.
    static std::optional<HostLeaseTerms> forCallerRetry(Millis callerRetry);
    /// Returns the shortest time for which forCallerRetry() returns terms.
    static Millis minCallerRetry();

    /// Returns the lease of an entry, counted from the sending of the last report that it has echoed.
    Millis entryLease() const
    {
        return this->lease;
    }
    /// Returns the time after the end of an entry's lease, or after the caller's deadline, at which the entry's runs
    /// lose their lease at the backend server if they could not be stopped.
    Millis expiryStopTime() const
    {
        return this->expiryStop;
    }
    /// Returns the time after an entry's order to stop a run at which the run loses its lease at the backend server if
    /// it could not be stopped.
    Millis orderedStopTime() const
    {
        return this->orderedStop;
    }

private:
    Millis lease {AGATEDRUM_HOST_ENTRY_LEASE_MS};
    Millis expiryStop {AGATEDRUM_HOST_EXPIRY_STOP_MS};
    Millis orderedStop {AGATEDRUM_HOST_ORDERED_STOP_MS};
};

} // namespace agatedrum
