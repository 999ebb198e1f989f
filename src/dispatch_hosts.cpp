#include "dispatch_hosts_p.h"

#include "agatedrum/config.h"
#include "host_resources_p.h"

#include <algorithm>
#include <set>

namespace agatedrum {

namespace {

constexpr Millis removeAfter(30000);
constexpr Millis freshTime(300); ///< a report interval and its delay
/// A host accepts tasks for this long after the last answer of its backend server; if it still does, its token is in
/// use.
constexpr Millis settleTime(AGATEDRUM_SERVER_SILENT_MS + freshTime.count());

/// Returns the value for a priority, from 0, or the fallback if the list has none.
std::int64_t valueFor(const std::vector<std::int64_t> &byPriority, int priority, std::int64_t fallback)
{
    const bool isListed = priority >= 0 && static_cast<std::size_t>(priority) < byPriority.size();
    return isListed ? byPriority[static_cast<std::size_t>(priority)] : fallback;
}

} // namespace

DispatchHosts::DispatchHosts(Millis timeout)
    : timeout(timeout)
{
}

DispatchHost *DispatchHosts::update(const IncomingMessage &incoming, const wire::HostReport &report, Time now)
{
    auto &host = this->hosts[incoming.sender.name];
    if (host.id != incoming.sender) {
        const bool isStale = host.id.incarnation > incoming.sender.incarnation && this->isLive(host, now);
        if (isStale) {
            return nullptr;
        }
        host = DispatchHost {};
        host.id = incoming.sender;
    }
    host.address = incoming.address;
    const bool wasAccepting = host.report.accepting && this->isLive(host, now);
    host.knownAt = now;
    if (report.sequence > host.report.sequence) {
        if (report.accepting && !wasAccepting) {
            host.acceptingSince = now - Micros(std::max<std::int64_t>(0, report.acceptingMicros));
        }
        host.report = report;
        host.unreportedDemand = wire::Resources();
        host.unreportedQueueTime = Micros(0);
    }
    if (!report.summary) {
        host.lastHeardAt = now;
    }
    return &host;
}

DispatchHost *DispatchHosts::find(const std::string &name)
{
    const auto found = this->hosts.find(name);
    return found == this->hosts.end() ? nullptr : &found->second;
}

const DispatchHost *DispatchHosts::find(const std::string &name) const
{
    const auto found = this->hosts.find(name);
    return found == this->hosts.end() ? nullptr : &found->second;
}

void DispatchHosts::recordOrder(DispatchHost &host, const wire::Resources &demand, Micros runTime, bool mustWait)
{
    host.unreportedDemand = plus(host.unreportedDemand, demand);
    if (mustWait && host.report.capacity.cpuMillis > 0) {
        host.unreportedQueueTime += Micros(runTime.count() * demand.cpuMillis / host.report.capacity.cpuMillis);
    }
}

bool DispatchHosts::isLive(const DispatchHost &host, Time now) const
{
    return host.lastHeardAt != Time {} && now - host.lastHeardAt < this->timeout;
}

bool DispatchHosts::isLost(const std::string &name, std::int64_t incarnation, Time now) const
{
    const auto *host = this->find(name);
    return host == nullptr || !this->isLive(*host, now) || host->id.incarnation != incarnation;
}

bool DispatchHosts::hasRuledOut(const StartInDoubt &start, Time now) const
{
    const auto *host = this->find(start.host);
    if (host == nullptr || !host->report.accepting || now - host->lastHeardAt >= freshTime) {
        return false;
    }
    const auto knownSince = std::max(host->acceptingSince, start.reportedAt);
    return host->id.incarnation != start.hostIncarnation || now - knownSince >= settleTime;
}

std::vector<const DispatchHost *> DispatchHosts::relays(std::size_t count, const std::string &exceptHost,
                                                        std::size_t seed, Time now) const
{
    std::vector<const DispatchHost *> live;
    for (const auto &[name, host] : this->hosts) {
        if (name != exceptHost && this->isLive(host, now)) {
            live.push_back(&host);
        }
    }
    if (live.empty()) {
        return live;
    }
    std::rotate(live.begin(), live.begin() + static_cast<std::ptrdiff_t>(seed % live.size()), live.end());
    std::set<std::string> domains;
    std::stable_partition(live.begin(), live.end(), [&domains](const DispatchHost *host) {
        return domains.insert(host->report.failureDomain).second;
    });
    live.resize(std::min(live.size(), count));
    return live;
}

std::vector<HostCandidate> DispatchHosts::candidates(const CandidateQuery &query, Time now) const
{
    std::vector<HostCandidate> result;
    for (const auto &[name, host] : this->hosts) {
        if (host.report.serviceName != query.service || !host.report.accepting || !this->isLive(host, now)) {
            continue;
        }
        HostCandidate candidate;
        candidate.name = name;
        candidate.capacity = host.report.capacity;
        candidate.free = minus(minus(host.report.capacity, host.report.reserved), host.unreportedDemand);
        const auto &kept = host.report.keptCpuMillis;
        candidate.free.cpuMillis -= valueFor(kept, query.priority, kept.empty() ? 0 : kept.back());
        candidate.startDelay
            = Micros(valueFor(host.report.urgentDelayMicros, query.priority, host.report.startDelayMicros));
        candidate.queuedTime = host.unreportedQueueTime;
        candidate.slowness = std::max(0.05, host.report.slowness);
        candidate.failureShare = host.report.failureShare;
        candidate.labels = host.report.labels;
        candidate.isEvacuated = host.report.evacuated || isEvacuated(query.evacuatedDomains, host.report.failureDomain);
        result.push_back(std::move(candidate));
    }
    return result;
}

void DispatchHosts::removeUnresponsive(Time now)
{
    for (auto host = this->hosts.begin(); host != this->hosts.end();) {
        host = now - host->second.knownAt > removeAfter ? this->hosts.erase(host) : std::next(host);
    }
}

} // namespace agatedrum
