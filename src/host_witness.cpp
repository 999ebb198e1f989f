#include "host_witness_p.h"

#include <utility>

namespace agatedrum {

namespace {

constexpr std::size_t maxRecords = 10000; ///< far more than the jobs that an entry orders at one host in two seconds

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
    known.records.push_back({std::move(placed), startsBefore + this->lateStartTime});
    if (known.records.size() > maxRecords) {
        known.records.pop_front();
    }
}

std::vector<wire::JobInDoubt> HostWitness::takeLost(const HostEntries &leases, Time now)
{
    std::vector<wire::JobInDoubt> lost;
    for (auto known = this->entries.begin(); known != this->entries.end();) {
        auto &records = known->second.records;
        // After its deadline and a lease, the job has ended at an entry that lives.
        while (!records.empty() && now >= records.front().until - this->lateStartTime + this->entryLease) {
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
    for (const auto &job : jobs) {
        this->reported.push_back({job, now + Micros(job.leftMicros)});
    }
    while (this->reported.size() > maxRecords) {
        this->reported.pop_front();
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
