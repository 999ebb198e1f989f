#include "host_entries_p.h"

#include <algorithm>
#include <utility>

namespace agatedrum {

namespace {

/// Reports of an entry that has gone are kept this long after its lease.
constexpr Millis keepReports(3000);
constexpr std::size_t maxFinishedOrders = 4096; ///< many times what one entry orders at one host within a lease

} // namespace

HostEntries::HostEntries(Millis lease, Millis repeatInterval)
    : lease(lease)
    , repeatInterval(repeatInterval)
{
}

bool HostEntries::contact(const Incoming &incoming, std::int64_t heardAtMicros, std::int64_t reportsSeen, Time now)
{
    auto &entry = this->entries[incoming.sender.name];
    if (entry.id != incoming.sender) {
        if (entry.id.incarnation != 0 && now < entry.leaseUntil && entry.id.incarnation > incoming.sender.incarnation) {
            return false; // a late message of an earlier process
        }
        entry = HostEntry {};
        entry.id = incoming.sender;
        // The same entry process may have been forgotten, so the numbers start above all earlier ones.
        entry.lastNumber = now.time_since_epoch().count();
    }
    entry.address = incoming.address;
    const auto heardAt = Time(Micros(heardAtMicros));
    if (heardAt <= now) {
        entry.leaseUntil = std::max(entry.leaseUntil, heardAt + this->lease);
    }
    while (!entry.unseen.empty() && entry.unseen.front().number <= reportsSeen) {
        entry.unseen.pop_front();
    }
    return now < heardAt + this->lease;
}

bool HostEntries::hasLease(const wire::ProcessId &entry, Time now) const
{
    const auto found = this->entries.find(entry.name);
    return found != this->entries.end() && found->second.id == entry && now < found->second.leaseUntil;
}

void HostEntries::report(const wire::ProcessId &id, wire::TaskReport report)
{
    const auto found = this->entries.find(id.name);
    if (found == this->entries.end() || found->second.id != id) {
        return; // the process that wanted the task is gone
    }
    auto &entry = found->second;
    report.number = ++entry.lastNumber;
    if (report.phase != wire::TaskPhase::QUEUED && report.phase != wire::TaskPhase::RUNNING) {
        entry.finishedOrders.insert(report.order);
        if (entry.finishedOrders.size() > maxFinishedOrders) {
            entry.finishedOrders.erase(entry.finishedOrders.begin());
        }
    }
    entry.unseen.push_back(std::move(report));
    entry.hasNew = true;
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
        const bool mustRepeat = !entry.unseen.empty() && now - entry.sentAt >= this->repeatInterval;
        if (!entry.hasNew && !mustRepeat) {
            continue;
        }
        wire::TaskReports message;
        message.reports.assign(entry.unseen.begin(), entry.unseen.end());
        due.emplace_back(entry.address, std::move(message));
        entry.sentAt = now;
        entry.hasNew = false;
    }
    return due;
}

void HostEntries::forgetSilent(Time now)
{
    for (auto entry = this->entries.begin(); entry != this->entries.end();) {
        entry = now > entry->second.leaseUntil + keepReports ? this->entries.erase(entry) : std::next(entry);
    }
}

} // namespace agatedrum
