#include "dispatch_core_p.h"

#include "base_event_p.h"

#include <fmt/ranges.h>

#include <algorithm>
#include <utility>

namespace agatedrum {

namespace {

constexpr auto component = "dispatch";
constexpr Millis stopRetention {AGATEDRUM_ENTRY_STOP_RETENTION_MS};
/// Time after a stall within which the requests and disconnections that waited in the sockets are read.
constexpr Millis stallSettleTime {100};

} // namespace

DispatchCore::DispatchCore(MessageSinkI &sink, const ClockI &clock, MemberLink &link, DispatchOptions options)
    : sink(sink)
    , clock(clock)
    , link(link)
    , options(std::move(options))
    , admission(this->options.maxLateness)
    , stops(this->options.repeatInterval, stopRetention)
    , doubts(this->options.repeatInterval)
    , hosts(this->options.hostTimeout)
    , listening({this->options.self.name, this->options.hostsPerService, this->options.entriesPerHost,
                 this->options.hostTimeout, this->options.askTime})
{
}

void DispatchCore::deliverAnswers(const Answers &answers)
{
    for (const auto &[handler, outcome] : answers) {
        handler(outcome);
    }
}

std::shared_ptr<const RoutingConfig> DispatchCore::routing() const
{
    const std::lock_guard lock(this->mutex);
    return this->currentRouting;
}

void DispatchCore::onRouting(std::function<void(const RoutingConfig &)> listener)
{
    const std::lock_guard lock(this->mutex);
    this->routingListener = std::move(listener);
}

// Messages.

void DispatchCore::handle(const IncomingMessage &incoming)
{
    if (this->link.handle(incoming)) {
        this->updateRouting();
        this->updateEvacuations();
        return;
    }
    Answers answers;
    {
        const std::lock_guard lock(this->mutex);
        if (const auto *report = std::get_if<wire::HostReport>(&incoming.payload)) {
            this->apply(incoming, *report);
            this->applyCrashes(*report, answers);
        } else if (const auto *reports = std::get_if<wire::TaskReports>(&incoming.payload)) {
            this->apply(incoming, *reports, answers);
        } else if (const auto *starts = std::get_if<wire::StartsInDoubt>(&incoming.payload)) {
            this->apply(incoming, *starts);
        }
    }
    deliverAnswers(answers);
}

void DispatchCore::updateRouting()
{
    const std::lock_guard lock(this->mutex);
    if (this->currentRouting && this->link.configNumber() <= this->currentRouting->number) {
        return;
    }
    const auto view = this->link.view();
    if (view.config.number == 0) {
        return;
    }
    const auto parsed = parseRouting(view.config.text);
    if (!isOk(parsed)) {
        logEvent(component, "config_unreadable", {{"number", view.config.number}, {"reason", error(parsed).message}});
        return;
    }
    this->currentRouting = std::make_shared<const RoutingConfig>(value(parsed));
    if (this->routingListener) {
        this->routingListener(*this->currentRouting);
    }
    logEvent(component, "config",
             {{"number", this->currentRouting->number}, {"routes", this->currentRouting->routes.size()}});
}

void DispatchCore::updateEvacuations()
{
    auto domains = this->link.evacuatedDomains();
    const std::lock_guard lock(this->mutex);
    if (domains == this->evacuatedDomains) {
        return;
    }
    this->evacuatedDomains = std::move(domains);
    this->mustReviewListening = true;
    logEvent(
        component, "evacuations",
        {{"domains", fmt::format("{}", fmt::join(this->evacuatedDomains, ","))}, {"view", this->link.viewVersion()}});
}

void DispatchCore::apply(const IncomingMessage &incoming, const wire::HostReport &report)
{
    const auto *known = this->hosts.find(incoming.sender.name);
    const bool isNewProcess = known == nullptr || known->id != incoming.sender;
    if (isNewProcess) {
        logEvent(component, "host",
                 {{"host", incoming.sender.name},
                  {"incarnation", incoming.sender.incarnation},
                  {"service", report.serviceName},
                  {"accepting", report.accepting}});
    }
    const auto *host = this->hosts.update(incoming, report, this->clock.now());
    if (host == nullptr) {
        return;
    }
    this->doubts.learnUnanswered(report.unanswered, this->clock.now());
    this->mustReviewListening = this->mustReviewListening || isNewProcess;
    if (report.entryCount > 0) { // a host that has just started may not know the entries
        this->entryCount = static_cast<std::size_t>(report.entryCount);
    }
    if (isNewProcess && !report.summary) {
        this->reviewListening();
    }
    // A summary of such a host shows that it does not know that this entry listens, as after its restart.
    if (this->listening.isListening(host->id.name)) {
        this->sendContact(*host);
    }
}

void DispatchCore::apply(const IncomingMessage &incoming, const wire::StartsInDoubt &message)
{
    logEvent(component, "starts_in_doubt", {{"from", incoming.sender.name}, {"jobs", message.jobs.size()}});
    this->doubts.learn(message.jobs, this->clock.now());
}

void DispatchCore::apply(const IncomingMessage &incoming, const wire::TaskReports &message, Answers &answers)
{
    auto *host = this->hosts.update(incoming, message.host, this->clock.now());
    if (host == nullptr) {
        return;
    }
    for (const auto &report : message.reports) {
        // A message contains all unacknowledged reports, so a gap in the numbers does not mean that a report is
        // missing.
        if (report.number > host->reportsSeen) {
            host->reportsSeen = report.number;
            this->handleReport(report, incoming.sender, answers);
        }
    }
    if (!message.reports.empty()) {
        this->sendContact(*host);
    }
}

// Periodic work.

void DispatchCore::tick()
{
    Answers answers;
    MemberReport report;
    {
        const std::lock_guard lock(this->mutex);
        this->recordTick();
        this->listen();
        this->failLostHosts(answers);
        this->announceLostStarts();
        this->checkJobs(answers);
        this->decideHeld(answers);
        this->sendStops();
        this->hosts.removeUnresponsive(this->clock.now());
        this->doubts.removeExpired(this->clock.now());
        report.isLeaving = this->isStopping;
    }
    deliverAnswers(answers);
    this->link.tick(report);
}

void DispatchCore::recordTick()
{
    const auto now = this->clock.now();
    if (this->tickedAt != Time {} && now - this->tickedAt >= this->options.stallTime) {
        logEvent(component, "stalled", {{"forMs", toMillis(now - this->tickedAt)}});
        this->stalledUntil = now + stallSettleTime;
    }
    this->tickedAt = now;
}

// Implementation of CoreI.

nlohmann::json DispatchCore::dump() const
{
    const std::lock_guard lock(this->mutex);
    auto hosts = nlohmann::json::array();
    const auto now = this->clock.now();
    for (const auto &[name, host] : this->hosts.all()) {
        hosts.push_back({{"host", name},
                         {"service", host.report.serviceName},
                         {"accepting", host.report.accepting},
                         {"evacuated", host.report.evacuated},
                         {"live", this->hosts.isLive(host, now)},
                         {"listening", this->listening.isListening(name)},
                         {"cpuMillis", host.report.capacity.cpuMillis},
                         {"cpuMillisReserved", host.report.reserved.cpuMillis},
                         {"startDelayMicros", host.report.startDelayMicros},
                         {"slowness", host.report.slowness},
                         {"failureShare", host.report.failureShare}});
    }
    return {{"hosts", hosts},
            {"configNumber", this->currentRouting ? this->currentRouting->number : 0},
            {"counters",
             {{"dispatch_jobs_submitted_total", this->counters.submitted},
              {"dispatch_jobs_completed_total", this->counters.completed},
              {"dispatch_jobs_failed_total", this->counters.failed},
              {"dispatch_jobs_refused_total", this->counters.refused},
              {"dispatch_jobs_unfinished_total", this->counters.unfinished},
              {"dispatch_jobs_late_total", this->counters.late},
              {"dispatch_callers_gone_total", this->counters.callersDisconnected},
              {"dispatch_orders_total", this->counters.orders},
              {"dispatch_tasks_refused_total", this->counters.tasksRefused},
              {"dispatch_tasks_ended_total", this->counters.tasksEnded},
              {"dispatch_tasks_failed_total", this->counters.tasksFailed},
              {"dispatch_tasks_moved_total", this->counters.tasksRelocated},
              {"dispatch_hosts_lost_total", this->counters.hostsLost},
              {"dispatch_starts_in_doubt_total", this->counters.startsInDoubt},
              {"dispatch_jobs_held_for_doubt_total", this->counters.heldForDoubt},
              {"dispatch_tasks_in_doubt", this->doubts.size()},
              {"dispatch_tasks_lost_with_server_total", this->counters.serversLost},
              {"dispatch_jobs_given_up_total", this->counters.givenUp},
              {"dispatch_jobs_hopeless_total", this->counters.hopeless},
              {"dispatch_requests_held_for_hosts_total", this->counters.heldForHosts},
              {"dispatch_domains_evacuated", this->evacuatedDomains.size()},
              {"dispatch_hosts_known", this->hosts.all().size()},
              {"dispatch_hosts_listened_to", this->listening.size()},
              {"dispatch_server_crashes_known", this->crashes.count()},
              {"dispatch_jobs_in_flight", this->jobs.size()}}}};
}

std::vector<prometheus::MetricFamily> DispatchCore::latencyHistograms() const
{
    return {this->answerLatency.collect(), this->unsuccessfulLatency.collect(), this->orderLatency.collect()};
}

bool DispatchCore::isReady() const
{
    const std::lock_guard lock(this->mutex);
    return this->currentRouting && !this->isStopping;
}

void DispatchCore::beginStop()
{
    const std::lock_guard lock(this->mutex);
    if (!this->isStopping) {
        this->isStopping = true;
        this->closesAt = this->clock.now() + this->options.drainTime;
    }
}

bool DispatchCore::isClosedLocked() const
{
    return this->isStopping && this->clock.now() >= this->closesAt;
}

bool DispatchCore::isClosed() const
{
    const std::lock_guard lock(this->mutex);
    return this->isClosedLocked();
}

bool DispatchCore::isDrained() const
{
    const std::lock_guard lock(this->mutex);
    return this->isClosedLocked() && this->jobs.empty() && this->held.empty();
}

std::int64_t DispatchCore::configNumber() const
{
    return this->link.configNumber();
}

} // namespace agatedrum
