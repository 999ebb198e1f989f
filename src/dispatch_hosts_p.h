#pragma once

#include "dispatch_placement_p.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace agatedrum {

/// What an entry knows of one host.
struct DispatchHost
{
    wire::ProcessId id;
    wire::Endpoint address;
    wire::HostReport report;
    Time heard;
    std::int64_t reportsSeen = 0; ///< number of the newest task report taken in order
    wire::Resources ordered; ///< demands of orders that no report of the host covers yet
    Micros orderedTime {0}; ///< run time of those that did not fit, spread over the host's capacity
};

/// The hosts that report to an entry. Not thread-safe.
class DispatchHosts
{
public:
    explicit DispatchHosts(Millis silent);

    /// Takes a host's report. @return the host, or null for a late one of an earlier process.
    DispatchHost *take(const Incoming &incoming, const wire::HostReport &report, Time now);
    DispatchHost *find(const std::string &name);
    /// Notes an order that no report covers yet.
    void noteOrder(DispatchHost &host, const wire::Resources &demand, Micros runTime, bool mustWait);

    bool isLive(const DispatchHost &host, Time now) const;
    /// Choices among the hosts of the service that take tasks now.
    std::vector<HostChoice> choices(const std::string &service, Time now) const;
    const std::map<std::string, DispatchHost> &all() const
    {
        return this->hosts;
    }
    /// Drops hosts that were silent for long.
    void forgetSilent(Time now);

private:
    const Millis silent;
    std::map<std::string, DispatchHost> hosts; ///< by process name
};

} // namespace agatedrum
