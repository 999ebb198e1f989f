#include "host_core_p.h"

#include "base_event_p.h"

namespace agatedrum {

namespace {

constexpr auto component = "host";
constexpr int crashReportCount = 2; ///< reports that tell all entries of a crash, since one may be lost

} // namespace

void HostCore::reviewServerLoss(const PollSchedule::Poll &poll, const PollReply &reply)
{
    if (reply.outcome == OrderOutcome::NotSent) {
        if (this->crashes.recordNotSent(poll.sentAt, this->clock.now())) {
            this->recordServerLoss("the backend server refuses connections");
        }
    } else if (reply.outcome != OrderOutcome::Unanswered) {
        this->crashes.recordAnswer();
        if (reply.outcome != OrderOutcome::OtherInstance && this->crashes.withdraw(this->instanceName())) {
            logEvent(component, "server_back", {{"server", this->instanceName()}});
            this->urgentReports = crashReportCount;
        }
    }
}

void HostCore::recordServerLoss(const std::string &reason)
{
    if (!this->registered || this->hasLeft || this->registered->isDraining) {
        return; // an announced end
    }
    const auto now = this->clock.now();
    std::vector<TaskName> active;
    std::string runsText;
    for (const auto &[id, task] : this->tasks) {
        if (task.phase != Phase::Waiting && task.phase != Phase::ServerReplaced) {
            active.push_back(task.name);
            runsText += fmt::format("{}{}/{}#{}+{}", runsText.empty() ? "" : ",", task.name.job, task.name.index,
                                    task.run, toMillis(now - task.startedAt));
        }
    }
    if (!this->crashes.add(this->instanceName(), active, now)) {
        return;
    }
    ++this->counters.serversLost;
    logEvent(component, "server_lost",
             {{"server", this->instanceName()}, {"reason", reason}, {"runs", active.size()}, {"active", runsText}});
    this->urgentReports = crashReportCount;
    this->nextReport = now; // the entries learn of it with the next tick
}

} // namespace agatedrum
