#pragma once

#include "base_clock_p.h"
#include "host_entries_p.h"
#include "wire_message_p.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace agatedrum {

/// Remembers at a host where entries have placed other tasks of its jobs, and reports that for an entry that is lost.
/// Not thread-safe.
///
/// If an entry and another host are lost together, this is the only record of the tasks that were ordered there.
class HostWitness
{
public:
    /// @param lateStartTime time within which a start order may have an effect
    /// @param entryLease time within which the loss of an entry is noticed
    HostWitness(Millis lateStartTime, Millis entryLease);

    /// Records the places of tasks that an entry has ordered at other hosts.
    /// @param startsBefore time after which no host sends a start order of these tasks
    void record(const wire::ProcessId &entry, const std::string &job, const std::vector<wire::TaskPlace> &places,
                Time startsBefore);
    /// Returns the records of the entries that have no lease any more, and removes them.
    std::vector<wire::JobInDoubt> takeLost(const HostEntries &leases, Time now);
    /// Records what all entries have been told.
    void learn(const std::vector<wire::JobInDoubt> &jobs, Time now);
    /// Returns what entries that have started since must know.
    std::vector<wire::JobInDoubt> learned(Time now);

private:
    struct Record
    {
        wire::JobInDoubt job;
        Time until; ///< time after which no start order of its tasks can have an effect
    };

    /// Records of one entry process.
    struct EntryRecords
    {
        wire::ProcessId entry;
        std::deque<Record> records; ///< in the order of their arrival
    };

    const Millis lateStartTime;
    const Millis entryLease;
    std::map<std::pair<std::string, std::int64_t>, EntryRecords> entries; ///< keyed by name and incarnation
    std::deque<Record> reported; ///< start orders in doubt that all entries have been told of
};

} // namespace agatedrum
