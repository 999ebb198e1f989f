#pragma once

#include "base_clock_p.h"
#include "host_entries_p.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace agatedrum {

/// Address of one report of a host.
struct ReportRecipient
{
    wire::Endpoint address;
    bool isSummary = false; ///< the entry does not listen to the host
    bool isIntroduction = false; ///< one of the first reports to this process of the entry
};

/// What decides about the reports that are sent at one time.
struct ReportOccasion
{
    Time now;
    bool isAccepting = false; ///< whether the host accepts tasks and its failure domain is not evacuated
    bool concernsAll = false; ///< whether the report contains something that every entry must learn at once
};

/// Decides to which entries a host reports. Not thread-safe.
///
/// An entry that listens to the host gets each report. Any other entry gets few of them: when it starts, when the host
/// begins or ceases to accept tasks, and at long intervals. Therefore, the number of messages grows with the number of
/// listeners, not with the number of entries.
class HostAudience
{
public:
    explicit HostAudience(Millis summaryInterval);

    /// Returns the entries to report to now, and takes them as reported to.
    /// @param known the entries that the control group names
    /// @param listeners the entries that have contacted this host
    std::vector<ReportRecipient> recipients(const std::vector<wire::MemberRef> &known, const HostEntries &listeners,
                                            const ReportOccasion &occasion);
    /// Returns true if this process of an entry has been reported to.
    bool hasReportedTo(const wire::ProcessId &entry, const wire::Endpoint &address) const;

private:
    /// What one entry has been sent.
    struct Reported
    {
        wire::ProcessId id;
        Time lastAt;
        Time nextSummaryAt;
        Time nextIntroductionAt; ///< Time::max() after the last one
        bool wasAccepting = false;
        int introductionsLeft = 0;
    };

    using Key = std::pair<std::string, int>; ///< host and port of an entry

    bool isSummaryDue(const Reported &reported, const ReportOccasion &occasion) const;
    void recordReport(const Key &key, Reported &reported, const ReportOccasion &occasion) const;

    const Millis summaryInterval;
    std::map<Key, Reported> reportedTo;
};

} // namespace agatedrum
