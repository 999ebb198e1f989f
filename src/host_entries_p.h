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

/// One entry process, its lease for running tasks here, and the reports that it has not taken yet.
struct HostEntry
{
    wire::ProcessId id;
    wire::Endpoint address;
    Time leaseUntil;
    std::int64_t lastNumber = 0; ///< of the newest report
    std::deque<wire::TaskReport> unseen;
    Time sentAt; ///< when the reports were last sent
    bool hasNew = false; ///< reports that were never sent
    std::set<std::int64_t> finishedOrders; ///< the newest ones, so that a repeated order starts nothing
};

/// The entries that place tasks at a host. Not thread-safe.
///
/// An entry's tasks run only while it keeps up its lease: each contact echoes the host's clock out of the newest report
/// that the entry has, and the lease counts from there, so neither a delayed message nor a frozen entry extends it.
class HostEntries
{
public:
    /// @param lease time from sending a report for which its echo lets tasks run.
    HostEntries(Millis lease, Millis repeatInterval);

    /// Takes an echo. @return false when the lease that it gives is over or the process was replaced.
    bool contact(const Incoming &incoming, std::int64_t heardAtMicros, std::int64_t reportsSeen, Time now);
    bool hasLease(const wire::ProcessId &entry, Time now) const;

    void report(const wire::ProcessId &entry, wire::TaskReport report);
    /// Whether a report has ended this order.
    bool hasFinished(const wire::ProcessId &entry, std::int64_t order) const;
    /// Reports to send now, by entry: new ones, and all that were not taken for too long.
    std::vector<std::pair<wire::Endpoint, wire::TaskReports>> takeDue(Time now);
    /// Drops entries without a lease and without reports.
    void forgetSilent(Time now);

private:
    const Millis lease;
    const Millis repeatInterval;
    std::map<std::string, HostEntry> entries; ///< by process name
};

} // namespace agatedrum
