#include "host_witness_p.h"

#include "base_event_p.h"

#include <algorithm>
#include <utility>

namespace agatedrum {

namespace {

constexpr auto component = "host";
constexpr std::size_t maxRecords = 2000; ///< far more than the jobs that an entry orders at one host in two seconds

} // namespace

HostWitness::HostWitness(Millis lateStartTime, Millis entryLease)
    : lateStartTime(lateStartTime)
    , entryLease(entryLease)
{
}

void HostWitness::record(const wire::ProcessId &entry, const std::string &job,
                         const std::vector<wire::TaskPlace> &places, Time startsBefore)
{
    if (places.empty()) {
        return;
    }
    auto &known = this->entries[{entry.name, entry.incarnation}];
    known.entry = entry;
    wire::JobInDoubt placed;
    placed.job = job;
    placed.places = places;
    known.records.push_back({std::move(placed), startsBefore + this->entryLease + this->lateStartTime});
    if (known.records.size() > maxRecords) {
        logEvent(component, "start_in_doubt_dropped", {{"job", known.records.front().job.job}});
        known.records.pop_front();
    }
}

std::vector<wire::JobInDoubt> HostWitness::takeLost(const HostEntries &leases, Time now)
{
    std::vector<wire::JobInDoubt> lost;
    for (auto known = this->entries.begin(); known != this->entries.end();) {
        auto &records = known->second.records;
        // After its deadline and a lease, the job has ended at an entry that lives.
        while (!records.empty() && now >= records.front().until - this->lateStartTime) {
            records.pop_front();
        }
        if (leases.hasLease(known->second.entry, now)) {
            ++known;
            continue;
        }
        for (auto &record : records) {
            record.job.leftMicros = (record.until - now).count();
            lost.push_back(std::move(record.job));
        }
        known = this->entries.erase(known);
    }
    return lost;
}

void HostWitness::learn(const std::vector<wire::JobInDoubt> &jobs, Time now)
{
    const auto isExpired = [now](const Record &record) { return now >= record.until; };
    this->reported.erase(std::remove_if(this->reported.begin(), this->reported.end(), isExpired), this->reported.end());
    for (const auto &job : jobs) {
        const auto same = std::find_if(this->reported.begin(), this->reported.end(), [&job](const Record &record) {
            return record.job.job == job.job && record.job.places == job.places;
        });
        if (same != this->reported.end()) {
            same->until = std::max(same->until, now + Micros(job.leftMicros));
        } else if (this->reported.size() < maxRecords) {
            this->reported.push_back({job, now + Micros(job.leftMicros)});
        } else {
            logEvent(component, "start_in_doubt_dropped", {{"job", job.job}});
        }
    }
}

std::vector<wire::JobInDoubt> HostWitness::learned(Time now)
{
    std::vector<wire::JobInDoubt> result;
    for (auto &record : this->reported) {
        record.job.leftMicros = (record.until - now).count();
        if (record.job.leftMicros > 0) {
            result.push_back(record.job);
        }
    }
    return result;
}

} // namespace agatedrum
