#include "host_entries_p.h"

#include <algorithm>
#include <utility>

namespace agatedrum {

namespace {

/// Reports for an unresponsive entry are kept for this long after its lease has expired.
constexpr Millis reportRetention(3000);
constexpr std::size_t maxFinishedOrders = 4096; ///< far more than one entry orders at one host within a lease

} // namespace

HostEntries::HostEntries(Millis lease, Millis listenTime, Millis repeatInterval)
    : lease(lease)
    , listenTime(listenTime)
    , repeatInterval(repeatInterval)
{
}

bool HostEntries::handleContact(const IncomingMessage &incoming, std::int64_t heardAtMicros, std::int64_t reportsSeen,
                                Time now)
{
    auto &entry = this->entries[incoming.sender.name];
    if (entry.id != incoming.sender) {
        if (entry.id.incarnation != 0 && now < entry.leaseUntil && entry.id.incarnation > incoming.sender.incarnation) {
            return false; // delayed message of an earlier process
        }
        entry = HostEntry {};
        entry.id = incoming.sender;
        // An earlier record of the same process may have been removed, and the entry ignores numbers that it has seen.
        // The clock yields numbers above all earlier ones.
        entry.lastReportNumber = now.time_since_epoch().count();
    }
    entry.address = incoming.address;
    entry.listensUntil = now + this->listenTime;
    const auto reportSentAt = Time(Micros(heardAtMicros));
    if (reportSentAt <= now) {
        entry.leaseUntil = std::max(entry.leaseUntil, reportSentAt + this->lease);
    }
    while (!entry.unacknowledged.empty() && entry.unacknowledged.front().number <= reportsSeen) {
        entry.unacknowledged.pop_front();
    }
    return now < reportSentAt + this->lease;
}

bool HostEntries::isKnown(const wire::ProcessId &entry) const
{
    const auto found = this->entries.find(entry.name);
    return found != this->entries.end() && found->second.id == entry;
}

bool HostEntries::isListening(const wire::ProcessId &entry, Time now) const
{
    const auto found = this->entries.find(entry.name);
    return found != this->entries.end() && found->second.id == entry && now < found->second.listensUntil;
}

std::vector<wire::Endpoint> HostEntries::listeners(Time now) const
{
    std::vector<wire::Endpoint> addresses;
    for (const auto &[name, entry] : this->entries) {
        if (now < entry.listensUntil) {
            addresses.push_back(entry.address);
        }
    }
    return addresses;
}

bool HostEntries::hasLease(const wire::ProcessId &entry, Time now) const
{
    return now < this->leaseEnd(entry);
}

Time HostEntries::leaseEnd(const wire::ProcessId &entry) const
{
    const auto found = this->entries.find(entry.name);
    return found != this->entries.end() && found->second.id == entry ? found->second.leaseUntil : Time {};
}

void HostEntries::addReport(const wire::ProcessId &id, wire::TaskReport report)
{
    const auto found = this->entries.find(id.name);
    if (found == this->entries.end() || found->second.id != id) {
        return; // the process that ordered the task no longer exists
    }
    auto &entry = found->second;
    report.number = ++entry.lastReportNumber;
    if (report.phase != wire::TaskPhase::QUEUED && report.phase != wire::TaskPhase::RUNNING) {
        entry.finishedOrders.insert(report.order);
        if (entry.finishedOrders.size() > maxFinishedOrders) {
            entry.finishedOrders.erase(entry.finishedOrders.begin());
        }
    }
    entry.unacknowledged.push_back(std::move(report));
    entry.hasUnsent = true;
}

bool HostEntries::hasFinished(const wire::ProcessId &id, std::int64_t order) const
{
    const auto found = this->entries.find(id.name);
    return found != this->entries.end() && found->second.id == id && found->second.finishedOrders.count(order) > 0;
}

std::vector<std::pair<wire::Endpoint, wire::TaskReports>> HostEntries::takeDue(Time now)
{
    std::vector<std::pair<wire::Endpoint, wire::TaskReports>> due;
    for (auto &[name, entry] : this->entries) {
        const bool mustRepeat = !entry.unacknowledged.empty() && now - entry.lastSentAt >= this->repeatInterval;
        if (!entry.hasUnsent && !mustRepeat) {
            continue;
        }
        wire::TaskReports message;
        message.reports.assign(entry.unacknowledged.begin(), entry.unacknowledged.end());
        due.emplace_back(entry.address, std::move(message));
        entry.lastSentAt = now;
        entry.hasUnsent = false;
    }
    return due;
}

void HostEntries::removeUnresponsive(Time now)
{
    for (auto entry = this->entries.begin(); entry != this->entries.end();) {
        entry = now > std::max(entry->second.leaseUntil + reportRetention, entry->second.listensUntil)
            ? this->entries.erase(entry)
            : std::next(entry);
    }
}

} // namespace agatedrum
