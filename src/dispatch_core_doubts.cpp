#include "dispatch_core_p.h"

#include "base_event_p.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <utility>

namespace agatedrum {

namespace {

constexpr auto component = "dispatch";
constexpr Millis stopRetention {AGATEDRUM_ENTRY_STOP_RETENTION_MS};
constexpr std::size_t relayCount = 3; ///< hosts that relay an announcement; a partition may separate some from entries
constexpr std::size_t witnessCount = 3; ///< hosts of a job that know where a task of it was ordered

wire::TaskPlace placeOf(const DispatchHost &host, const wire::RunTasks &message)
{
    wire::TaskPlace place;
    place.host = host.id.name;
    place.hostIncarnation = host.id.incarnation;
    std::transform(message.orders.begin(), message.orders.end(), std::back_inserter(place.indexes),
                   [](const wire::TaskOrder &order) { return order.index; });
    return place;
}

} // namespace

void DispatchCore::announceLostStarts()
{
    const auto now = this->clock.now();
    const auto isLost = [this, now](const StoppingTask &stop) {
        return !stop.isStarted && this->hosts.isLost(stop.host, stop.hostIncarnation, now);
    };
    for (const auto &stop : this->stops.takeLost(isLost)) {
        const auto until = stop.startsBefore + this->options.hostEntryLease + this->options.lateStartTime;
        ++this->counters.startsInDoubt;
        logEvent(component, "start_in_doubt",
                 {{"job", stop.job},
                  {"task", stop.index},
                  {"host", stop.host},
                  {"incarnation", stop.hostIncarnation},
                  {"forMs", toMillis(until - now)}});
        this->doubts.announce({stop.job, stop.index}, {stop.host, stop.hostIncarnation, until, now}, now);
    }
    // A later process of the host does not know the order; startInDoubt() tells when the task may run again. A run that
    // has started may still have a lease.
    this->stops.removeIf([this](const StoppingTask &stop) {
        const auto *host = this->hosts.find(stop.host);
        return !stop.isStarted && host != nullptr && host->id.incarnation != stop.hostIncarnation;
    });
    wire::StartsInDoubt message;
    message.jobs = this->doubts.takeDue(now);
    if (message.jobs.empty()) {
        return;
    }
    const auto seed = std::hash<std::string>()(message.jobs.front().job);
    for (const auto *relay : this->hosts.relays(relayCount, {}, seed, now)) {
        this->sink.send(relay->address, message);
    }
}

std::optional<StartInDoubt> DispatchCore::startInDoubt(const std::string &job, std::int32_t index) const
{
    const auto now = this->clock.now();
    for (const auto &start : this->doubts.startsOf({job, index}, now)) {
        if (!this->hosts.hasRuledOut(start, now)) {
            return start;
        }
    }
    return std::nullopt;
}

std::string DispatchCore::doubtReason(const JobRequest &request) const
{
    const auto now = this->clock.now();
    for (std::size_t i = 0; i < request.tasks.size(); ++i) {
        const auto start = this->startInDoubt(request.id, static_cast<std::int32_t>(i));
        const auto *host = start ? this->hosts.find(start->host) : nullptr;
        if (start && (host == nullptr || !this->hosts.isLive(*host, now))) {
            return fmt::format("a start order of task {} at the unresponsive host {} may still be carried out", i,
                               start->host);
        }
    }
    return {};
}

void DispatchCore::addWitnesses(const std::string &id, Micros timeLeft, std::map<std::string, wire::RunTasks> &messages)
{
    std::vector<wire::TaskPlace> places;
    std::vector<wire::RunTasks *> witnesses;
    for (auto &[name, message] : messages) {
        places.push_back(placeOf(*this->hosts.find(name), message));
        witnesses.push_back(&message);
    }
    if (places.size() == 1) {
        const auto seed = std::hash<std::string>()(id);
        for (const auto *host : this->hosts.relays(1, places.front().host, seed, this->clock.now())) {
            wire::OrdersElsewhere message;
            message.job = id;
            message.places = places;
            message.timeLeftMicros = timeLeft.count();
            // A host that loses the entry takes the job for lost.
            this->listening.require(host->id.name, this->clock.now() + timeLeft + stopRetention, this->clock.now());
            this->sink.send(host->address, std::move(message));
        }
        return;
    }
    for (std::size_t i = 0; i < places.size(); ++i) {
        for (std::size_t next = 1; next <= std::min(witnessCount, places.size() - 1); ++next) {
            witnesses[(i + next) % witnesses.size()]->elsewhere.push_back(places[i]);
        }
    }
}

} // namespace agatedrum
