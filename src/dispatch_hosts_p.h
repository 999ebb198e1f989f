#pragma once

#include "dispatch_doubts_p.h"
#include "dispatch_placement_p.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace agatedrum {

/// State of one host as known to an entry.
struct DispatchHost
{
    wire::ProcessId id;
    wire::Endpoint address;
    wire::HostReport report;
    Time lastHeardAt; ///< newest message but summaries; Time {} before the first one
    Time knownAt; ///< newest message of any kind
    Time acceptingSince; ///< begin of the time in which it has accepted tasks without a break
    std::int64_t reportsSeen = 0; ///< number of the newest processed task report
    wire::Resources unreportedDemand; ///< demand of orders not yet covered by a report of the host
    /// Run time of those orders that have to wait, scaled by their share of the host's capacity.
    Micros unreportedQueueTime {0};
};

/// What the choice of candidates for the tasks of a job depends on.
struct CandidateQuery
{
    std::string service;
    int priority = 0; ///< of the job
    std::vector<std::string> evacuatedDomains; ///< as control names them; hosts may report it earlier or later
};

/// The hosts that report to an entry. Not thread-safe.
class DispatchHosts
{
public:
    explicit DispatchHosts(Millis timeout);

    /// Applies a host's report. A summary tells what the host is like, but not that it is live: reports may stay out
    /// after it.
    /// @return the host, or null if the report is a delayed one of an earlier process
    DispatchHost *update(const IncomingMessage &incoming, const wire::HostReport &report, Time now);
    DispatchHost *find(const std::string &name);
    const DispatchHost *find(const std::string &name) const;
    /// Records an order that no report covers yet.
    void recordOrder(DispatchHost &host, const wire::Resources &demand, Micros runTime, bool mustWait);

    bool isLive(const DispatchHost &host, Time now) const;
    /// Returns true if the process of the host is lost: it has been silent, or another one has taken its place.
    bool isLost(const std::string &name, std::int64_t incarnation, Time now) const;
    /// Returns true if the host has ruled out that the order is still carried out. A host that accepts tasks has made
    /// its backend server refuse all unanswered orders of its earlier processes, and those of its own shortly after.
    bool hasRuledOut(const StartInDoubt &start, Time now) const;
    /// Returns up to the given number of live hosts, without the named one, from different failure domains if possible.
    /// @param seed spreads the choice over the hosts
    std::vector<const DispatchHost *> relays(std::size_t count, const std::string &exceptHost, std::size_t seed,
                                             Time now) const;
    /// Returns the live hosts of the service that are accepting tasks.
    std::vector<HostCandidate> candidates(const CandidateQuery &query, Time now) const;
    const std::map<std::string, DispatchHost> &all() const
    {
        return this->hosts;
    }
    /// Removes hosts that have been unresponsive for a long time.
    void removeUnresponsive(Time now);

private:
    const Millis timeout;
    std::map<std::string, DispatchHost> hosts; ///< keyed by process name
};

} // namespace agatedrum
