#pragma once

#include "base_clock_p.h"
#include "wire_message_p.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace agatedrum {

/// One entry process, its lease for running tasks at this host, and the reports that it has not acknowledged.
struct HostEntry
{
    wire::ProcessId id;
    wire::Endpoint address;
    Time leaseUntil;
    Time listensUntil; ///< the entry gets all reports until then
    std::int64_t lastReportNumber = 0; ///< number of the newest report
    std::deque<wire::TaskReport> unacknowledged;
    Time lastSentAt; ///< when the reports were last sent
    bool hasUnsent = false; ///< some reports were never sent
    std::set<std::int64_t>
        finishedOrders; ///< most recent finished orders; prevent a duplicate order from starting a task again
};

/// Keeps the leases and the unacknowledged reports of the entries that place tasks at a host. Not thread-safe.
///
/// The tasks of an entry run only while it renews its lease. Each message of an entry echoes the host's clock from the
/// newest report that the entry has received, and the lease starts at that time. Therefore, neither a delayed message
/// nor a frozen entry can extend the lease.
class HostEntries
{
public:
    /// @param lease duration of a lease, counted from the time when the host sent the echoed report
    /// @param listenTime time for which an entry gets all reports after its last message
    HostEntries(Millis lease, Millis listenTime, Millis repeatInterval);

    /// Renews the lease from an echoed clock value and drops the acknowledged reports.
    /// @return false if the resulting lease has expired already, or if the sender has been replaced by a later process
    bool handleContact(const IncomingMessage &incoming, std::int64_t heardAtMicros, std::int64_t reportsSeen, Time now);
    /// Returns true if the entry process has contacted the host and is its newest one of this name.
    bool isKnown(const wire::ProcessId &entry) const;
    bool hasLease(const wire::ProcessId &entry, Time now) const;
    /// Returns true if the entry process listens to the host.
    bool isListening(const wire::ProcessId &entry, Time now) const;
    /// Returns the addresses of the entries that listen to the host.
    std::vector<wire::Endpoint> listeners(Time now) const;
    /// Returns the end of the entry's lease, or Time {} if the entry process is unknown or has been replaced.
    Time leaseEnd(const wire::ProcessId &entry) const;

    void addReport(const wire::ProcessId &entry, wire::TaskReport report);
    /// Returns true if a report has already announced the end of this order.
    bool hasFinished(const wire::ProcessId &entry, std::int64_t order) const;
    /// Returns the reports to send now for each entry: those of entries with new reports, and those that were not
    /// acknowledged within the repeat interval.
    std::vector<std::pair<wire::Endpoint, wire::TaskReports>> takeDue(Time now);
    /// Removes entries whose lease expired longer ago than the retention of their reports.
    void removeUnresponsive(Time now);

private:
    const Millis lease;
    const Millis listenTime;
    const Millis repeatInterval;
    std::map<std::string, HostEntry> entries; ///< keyed by process name
};

} // namespace agatedrum
