#pragma once

#include "dispatch_hosts_p.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace agatedrum {

struct ListeningOptions
{
    std::string self; ///< name of this entry
    std::size_t hostsPerService = 0; ///< minimum number of hosts to listen to, as far as there are so many
    std::size_t entriesPerHost = 0; ///< average number of entries that listen to a host
    Millis hostTimeout {0};
    Millis answerTime {0}; ///< time within which a host answers
};

/// Chooses the hosts that an entry listens to. Not thread-safe.
///
/// Designed for fleets in which the product of entries and hosts is too large for each host to report to each entry.
/// All entries rank the hosts differently (rendezvous hashing), and each listens to those that it ranks first. Hosts
/// that do not accept tasks or do not answer are made up for by the next ones. Further hosts are listened to for some
/// time: while tasks of this entry may run there, while a job needs them, and, as a changing sample, while jobs are
/// refused.
class DispatchListening
{
public:
    explicit DispatchListening(ListeningOptions options);

    /// Returns true if the entry listens to the host.
    bool isListening(const std::string &host) const;
    /// Listens to the host from now at least until the given time.
    void require(const std::string &host, Time until, Time now);
    /// Listens to the host for some time, since a job depends on its reports.
    void requireForJob(const std::string &host, Time now);
    /// Listens to some hosts with the label for some time, unless enough of them are listened to.
    void requireLabel(const std::string &service, const std::string &label, const DispatchHosts &hosts, Time now);
    /// Listens to a sample of the other hosts of the service for some time. The sample changes only when it expires, so
    /// that a permanent backlog at all entries does not make each of them listen to all hosts.
    void requireSample(const std::string &service, const DispatchHosts &hosts, Time now);
    /// Returns true if a host has recently been asked for its reports and may still answer.
    bool isAwaitingAnswer(const DispatchHosts &hosts, Time now) const;

    /// Chooses the hosts anew. Precondition: entryCount is the number of entries, or 0 if it is unknown.
    void review(const DispatchHosts &hosts, std::size_t entryCount, Time now);
    /// Returns the hosts that must be asked for their reports now.
    std::vector<const DispatchHost *> takeUnheard(const DispatchHosts &hosts, Time now);

    std::size_t size() const
    {
        return this->listened.size();
    }

private:
    struct Listened
    {
        Time since;
        Time askedAt; ///< when the host was last asked for its reports; Time {} if never
    };

    /// Returns the hosts of the service, or of all if it is empty, those first that this entry ranks first.
    std::vector<const DispatchHost *> rankedHosts(const std::string &service, const std::string &salt,
                                                  const DispatchHosts &hosts) const;
    void choose(const std::string &service, std::size_t entryCount, const DispatchHosts &hosts, Time now,
                std::set<std::string> &chosen) const;
    bool isAvailable(const DispatchHost &host, const DispatchHosts &hosts, Time now) const;
    void requireUnheard(const std::vector<const DispatchHost *> &candidates, std::size_t count, Time now);

    const ListeningOptions options;
    std::map<std::string, Listened> listened;
    std::map<std::string, Time> required; ///< end of the time for which a host is listened to, however it is ranked
    std::map<std::string, Time> sampledUntil; ///< end of the time of a sample, keyed by service
    std::map<std::pair<std::string, std::string>, Time> labelsReviewedAt; ///< keyed by service and label
};

} // namespace agatedrum
