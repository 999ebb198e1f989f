#include "dispatch_hosts_p.h"

#include "host_room_p.h"

#include <algorithm>

namespace agatedrum {

namespace {

constexpr Millis forgetAfter(30000);

} // namespace

DispatchHosts::DispatchHosts(Millis silent)
    : silent(silent)
{
}

DispatchHost *DispatchHosts::take(const Incoming &incoming, const wire::HostReport &report, Time now)
{
    auto &host = this->hosts[incoming.sender.name];
    if (host.id != incoming.sender) {
        const bool isLate = host.id.incarnation > incoming.sender.incarnation && this->isLive(host, now);
        if (isLate) {
            return nullptr;
        }
        host = DispatchHost {};
        host.id = incoming.sender;
    }
    host.address = incoming.address;
    if (report.sequence > host.report.sequence) {
        host.report = report;
        host.ordered = wire::Resources();
        host.orderedTime = Micros(0);
    }
    host.heard = now;
    return &host;
}

DispatchHost *DispatchHosts::find(const std::string &name)
{
    const auto found = this->hosts.find(name);
    return found == this->hosts.end() ? nullptr : &found->second;
}

void DispatchHosts::noteOrder(DispatchHost &host, const wire::Resources &demand, Micros runTime, bool mustWait)
{
    host.ordered = plus(host.ordered, demand);
    if (mustWait && host.report.capacity.cpuMillis > 0) {
        host.orderedTime += Micros(runTime.count() * demand.cpuMillis / host.report.capacity.cpuMillis);
    }
}

bool DispatchHosts::isLive(const DispatchHost &host, Time now) const
{
    return now - host.heard < this->silent;
}

std::vector<HostChoice> DispatchHosts::choices(const std::string &service, Time now) const
{
    std::vector<HostChoice> result;
    for (const auto &[name, host] : this->hosts) {
        if (host.report.serviceName != service || !host.report.accepting || !this->isLive(host, now)) {
            continue;
        }
        HostChoice choice;
        choice.name = name;
        choice.capacity = host.report.capacity;
        choice.free = minus(minus(host.report.capacity, host.report.reserved), host.ordered);
        choice.startDelay = Micros(host.report.startDelayMicros);
        choice.queuedTime = host.orderedTime;
        choice.slowness = std::max(0.05, host.report.slowness);
        choice.failureShare = host.report.failureShare;
        choice.labels = host.report.labels;
        result.push_back(std::move(choice));
    }
    return result;
}

void DispatchHosts::forgetSilent(Time now)
{
    for (auto host = this->hosts.begin(); host != this->hosts.end();) {
        host = now - host->second.heard > forgetAfter ? this->hosts.erase(host) : std::next(host);
    }
}

} // namespace agatedrum
