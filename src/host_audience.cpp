#include "host_audience_p.h"

#include <functional>
#include <utility>

namespace agatedrum {

namespace {

/// Number of reports to a new entry process, at intervals that double. The first ones may be lost on a connection to
/// its predecessor, which is not closed before AGATEDRUM_PEER_SILENT_MS.
constexpr int introductionCount = 5;
constexpr Millis firstIntroductionInterval {200};
/// Shortest time between two summaries that tell an entry whether the host accepts tasks.
constexpr Millis minChangeInterval {1000};

} // namespace

HostAudience::HostAudience(Millis summaryInterval)
    : summaryInterval(summaryInterval)
{
}

std::vector<ReportRecipient> HostAudience::recipients(const std::vector<wire::MemberRef> &known,
                                                      const HostEntries &listeners, const ReportOccasion &occasion)
{
    std::map<Key, wire::Endpoint> listening;
    for (const auto &address : listeners.listeners(occasion.now)) {
        listening.emplace(Key {address.host, address.port}, address);
    }
    std::vector<ReportRecipient> recipients;
    std::map<Key, Reported> next;
    for (const auto &entry : known) {
        const Key key {entry.address.host, entry.address.port};
        const auto before = this->reportedTo.find(key);
        const bool isNewProcess = before == this->reportedTo.end() || before->second.id != entry.id;
        auto reported = isNewProcess ? Reported {entry.id, {}, {}, {}, false, introductionCount} : before->second;
        const bool isListening = listening.erase(key) > 0;
        if (isListening || this->isSummaryDue(reported, occasion)) {
            const bool isIntroduction = occasion.now >= reported.nextIntroductionAt;
            recipients.push_back({entry.address, !isListening, isIntroduction});
            this->recordReport(key, reported, occasion);
        }
        next.emplace(key, std::move(reported));
    }
    for (const auto &[key, address] : listening) {
        recipients.push_back({address, false, false});
    }
    this->reportedTo = std::move(next);
    return recipients;
}

bool HostAudience::hasReportedTo(const wire::ProcessId &entry, const wire::Endpoint &address) const
{
    const auto found = this->reportedTo.find({address.host, address.port});
    return found != this->reportedTo.end() && found->second.id == entry;
}

bool HostAudience::isSummaryDue(const Reported &reported, const ReportOccasion &occasion) const
{
    const bool isChangeDue
        = reported.wasAccepting != occasion.isAccepting && occasion.now - reported.lastAt >= minChangeInterval;
    return occasion.concernsAll || isChangeDue || occasion.now >= reported.nextIntroductionAt
        || occasion.now >= reported.nextSummaryAt;
}

void HostAudience::recordReport(const Key &key, Reported &reported, const ReportOccasion &occasion) const
{
    reported.lastAt = occasion.now;
    reported.wasAccepting = occasion.isAccepting;
    if (occasion.now >= reported.nextIntroductionAt) {
        const auto sent = introductionCount - reported.introductionsLeft;
        reported.nextIntroductionAt
            = --reported.introductionsLeft > 0 ? occasion.now + firstIntroductionInterval * (1 << sent) : Time::max();
    }
    if (occasion.now < reported.nextSummaryAt) {
        return;
    }
    // The first interval depends on the entry, so that the hosts that start together do not report together.
    const auto interval = std::chrono::duration_cast<Micros>(this->summaryInterval);
    const auto spread
        = std::hash<std::string>()(key.first) ^ static_cast<std::size_t>(occasion.now.time_since_epoch().count());
    const auto first
        = interval / 2 + Micros(static_cast<std::int64_t>(spread % static_cast<std::size_t>(interval.count())) / 2);
    reported.nextSummaryAt = occasion.now + (reported.nextSummaryAt == Time {} ? first : interval);
}

} // namespace agatedrum
