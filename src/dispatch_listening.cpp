#include "dispatch_listening_p.h"

#include "base_event_p.h"
#include "task_needs_p.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <utility>

namespace agatedrum {

namespace {

constexpr auto component = "dispatch";
constexpr Millis requiredTime {5000}; ///< for which hosts are listened to that a job has needed
constexpr std::size_t sampleSize = 16;
constexpr std::size_t hostsPerLabel = 4;
constexpr Millis labelReviewInterval {200};
/// Factor of the number of hosts up to which unavailable ones are made up for.
constexpr std::size_t maxSubstitution = 2;
constexpr Millis askInterval {300}; ///< for a host that does not answer; longer than its interval of reports
constexpr Millis lostAskInterval {1000}; ///< for a host that has not answered for some time

bool mayRunTasks(const DispatchHost &host)
{
    return host.report.accepting && !host.report.evacuated;
}

} // namespace

DispatchListening::DispatchListening(ListeningOptions options)
    : options(std::move(options))
{
}

bool DispatchListening::isListening(const std::string &host) const
{
    return this->listened.count(host) > 0;
}

void DispatchListening::require(const std::string &host, Time until, Time now)
{
    auto &end = this->required[host];
    end = std::max(end, until);
    this->listened.try_emplace(host, Listened {now, Time {}});
}

void DispatchListening::requireForJob(const std::string &host, Time now)
{
    this->require(host, now + requiredTime, now);
}

void DispatchListening::requireLabel(const std::string &service, const std::string &label, const DispatchHosts &hosts,
                                     Time now)
{
    auto &reviewedAt = this->labelsReviewedAt[{service, label}];
    if (reviewedAt != Time {} && now - reviewedAt < labelReviewInterval) {
        return;
    }
    reviewedAt = now;
    std::vector<const DispatchHost *> unheard;
    std::size_t available = 0;
    for (const auto *host : this->rankedHosts(service, label, hosts)) {
        if (hasLabel(host->report.labels, label) && mayRunTasks(*host)) {
            if (this->isListening(host->id.name)) {
                available += this->isAvailable(*host, hosts, now) ? 1 : 0;
            } else {
                unheard.push_back(host);
            }
        }
    }
    if (available < hostsPerLabel) {
        this->requireUnheard(unheard, hostsPerLabel - available, now);
    }
}

void DispatchListening::requireSample(const std::string &service, const DispatchHosts &hosts, Time now)
{
    auto &until = this->sampledUntil[service];
    if (now < until) {
        return;
    }
    until = now + requiredTime;
    std::vector<const DispatchHost *> unheard;
    for (const auto *host : this->rankedHosts(service, std::to_string(now.time_since_epoch().count()), hosts)) {
        if (mayRunTasks(*host) && !this->isListening(host->id.name)) {
            unheard.push_back(host);
        }
    }
    this->requireUnheard(unheard, sampleSize, now);
}

void DispatchListening::requireUnheard(const std::vector<const DispatchHost *> &candidates, std::size_t count, Time now)
{
    for (std::size_t i = 0; i < std::min(count, candidates.size()); ++i) {
        this->requireForJob(candidates[i]->id.name, now);
    }
}

bool DispatchListening::isAwaitingAnswer(const DispatchHosts &hosts, Time now) const
{
    return std::any_of(this->listened.begin(), this->listened.end(), [this, &hosts, now](const auto &each) {
        const auto &[name, state] = each;
        const auto *host = hosts.find(name);
        return host != nullptr && now - state.since < this->options.answerTime && host->lastHeardAt < state.since;
    });
}

std::vector<const DispatchHost *> DispatchListening::rankedHosts(const std::string &service, const std::string &salt,
                                                                 const DispatchHosts &hosts) const
{
    const auto prefix = fmt::format("{}/{}/", this->options.self, salt);
    std::vector<std::pair<std::size_t, const DispatchHost *>> weighted;
    for (const auto &[name, host] : hosts.all()) {
        if (host.report.serviceName == service) {
            weighted.emplace_back(std::hash<std::string>()(prefix + name), &host);
        }
    }
    std::sort(weighted.begin(), weighted.end());
    std::vector<const DispatchHost *> ranked;
    ranked.reserve(weighted.size());
    for (const auto &[weight, host] : weighted) {
        ranked.push_back(host);
    }
    return ranked;
}

bool DispatchListening::isAvailable(const DispatchHost &host, const DispatchHosts &hosts, Time now) const
{
    if (!mayRunTasks(host)) {
        return false;
    }
    const auto found = this->listened.find(host.id.name);
    const bool mayStillAnswer = found == this->listened.end() || now - found->second.since < this->options.hostTimeout;
    return mayStillAnswer || hosts.isLive(host, now);
}

void DispatchListening::choose(const std::string &service, std::size_t entryCount, const DispatchHosts &hosts, Time now,
                               std::set<std::string> &chosen) const
{
    const auto ranked = this->rankedHosts(service, {}, hosts);
    // With few entries, each one listens to more hosts, so that each host is listened to.
    const auto shared = entryCount == 0 ? ranked.size()
                                        : (this->options.entriesPerHost * ranked.size() + entryCount - 1) / entryCount;
    const auto wanted = std::max(this->options.hostsPerService, shared);
    std::size_t available = 0;
    std::size_t taken = 0;
    for (const auto *host : ranked) {
        if (available >= wanted || taken >= maxSubstitution * wanted) {
            return;
        }
        chosen.insert(host->id.name);
        ++taken;
        available += this->isAvailable(*host, hosts, now) ? 1 : 0;
    }
}

void DispatchListening::review(const DispatchHosts &hosts, std::size_t entryCount, Time now)
{
    std::set<std::string> services;
    for (const auto &[name, host] : hosts.all()) {
        services.insert(host.report.serviceName);
    }
    std::set<std::string> chosen;
    for (const auto &service : services) {
        this->choose(service, entryCount, hosts, now, chosen);
    }
    for (auto each = this->required.begin(); each != this->required.end();) {
        const bool isOver = now >= each->second || hosts.find(each->first) == nullptr;
        if (!isOver) {
            chosen.insert(each->first);
        }
        each = isOver ? this->required.erase(each) : std::next(each);
    }
    for (auto label = this->labelsReviewedAt.begin(); label != this->labelsReviewedAt.end();) {
        label = now - label->second > requiredTime ? this->labelsReviewedAt.erase(label) : std::next(label);
    }
    std::size_t added = 0;
    std::size_t removed = 0;
    for (auto each = this->listened.begin(); each != this->listened.end();) {
        const bool isChosen = chosen.count(each->first) > 0;
        removed += isChosen ? 0 : 1;
        each = isChosen ? std::next(each) : this->listened.erase(each);
    }
    for (const auto &name : chosen) {
        added += this->listened.try_emplace(name, Listened {now, Time {}}).second ? 1 : 0;
    }
    if (added + removed > 0) {
        logEvent(component, "listening",
                 {{"hosts", this->listened.size()},
                  {"known", hosts.all().size()},
                  {"entries", entryCount},
                  {"added", added},
                  {"removed", removed}});
    }
}

std::vector<const DispatchHost *> DispatchListening::takeUnheard(const DispatchHosts &hosts, Time now)
{
    std::vector<const DispatchHost *> unheard;
    for (auto &[name, state] : this->listened) {
        const auto *host = hosts.find(name);
        if (host == nullptr || (host->lastHeardAt != Time {} && now - host->lastHeardAt < askInterval)) {
            continue;
        }
        const bool isLost = now - std::max(state.since, host->lastHeardAt) >= this->options.hostTimeout;
        if (state.askedAt == Time {} || now - state.askedAt >= (isLost ? lostAskInterval : askInterval)) {
            state.askedAt = now;
            unheard.push_back(host);
        }
    }
    return unheard;
}

} // namespace agatedrum
