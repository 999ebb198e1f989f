#include "dispatch_core_p.h"

#include "base_event_p.h"

#include <utility>

namespace agatedrum {

namespace {

constexpr auto component = "dispatch";
constexpr Millis reviewInterval {100};

} // namespace

void DispatchCore::listen()
{
    const auto now = this->clock.now();
    if (this->mustReviewListening || now - this->listeningReviewedAt >= reviewInterval) {
        this->reviewListening();
    }
    this->askForReports();
}

void DispatchCore::reviewListening()
{
    this->mustReviewListening = false;
    this->listeningReviewedAt = this->clock.now();
    this->listening.review(this->hosts, this->entryCount, this->listeningReviewedAt);
}

void DispatchCore::askForReports()
{
    // Messages to lost hosts would delay the end of this process, which waits until its messages are sent.
    if (this->isClosedLocked()) {
        return;
    }
    for (const auto *host : this->listening.takeUnheard(this->hosts, this->clock.now())) {
        this->sendContact(*host);
    }
}

void DispatchCore::sendContact(const DispatchHost &host)
{
    wire::HostContact contact;
    contact.hostIncarnation = host.id.incarnation;
    contact.heardAtMicros = host.report.sentAtMicros;
    contact.reportsSeen = host.reportsSeen;
    this->sink.send(host.address, std::move(contact));
}

void DispatchCore::listenForLabels(const std::string &service, const std::vector<TaskRequest> &tasks)
{
    const auto now = this->clock.now();
    bool hasLabels = false;
    for (const auto &task : tasks) {
        for (const auto *label : {&task.requiredLabel, &task.dataRack}) {
            if (!label->empty()) {
                hasLabels = true;
                this->listening.requireLabel(service, *label, this->hosts, now);
            }
        }
    }
    if (hasLabels) {
        this->askForReports();
    }
}

bool DispatchCore::mayAwaitAnswers(const Submission &submission) const
{
    const auto now = this->clock.now();
    return !this->isClosedLocked() && now - submission.arrivedAt < this->options.askTime
        && this->listening.isAwaitingAnswer(this->hosts, now);
}

bool DispatchCore::listenForRefused(const RouteConfig &route, const Submission &submission)
{
    this->listening.requireSample(route.serviceName, this->hosts, this->clock.now());
    this->askForReports();
    return this->mayAwaitAnswers(submission);
}

bool DispatchCore::listenForDoubt(const Submission &submission)
{
    const auto now = this->clock.now();
    for (std::size_t i = 0; i < submission.request.tasks.size(); ++i) {
        const auto start = this->startInDoubt(submission.request.id, static_cast<std::int32_t>(i));
        if (start && this->hosts.find(start->host) != nullptr) {
            this->listening.requireForJob(start->host, now);
        }
    }
    this->askForReports();
    return this->mayAwaitAnswers(submission);
}

void DispatchCore::hold(const RouteConfig &route, Submission submission, const std::string &reason)
{
    ++this->counters.heldForHosts;
    logEvent(component, "held",
             {{"job", submission.request.id},
              {"route", route.name},
              {"ageMs", toMillis(this->clock.now() - submission.arrivedAt)},
              {"listening", this->listening.size()},
              {"reason", reason}});
    this->held.push_back({route, std::move(submission)});
}

void DispatchCore::decideHeld(Answers &answers)
{
    auto due = std::exchange(this->held, {});
    for (auto &each : due) {
        this->decide(each.route, std::move(each.submission), answers);
    }
}

} // namespace agatedrum
