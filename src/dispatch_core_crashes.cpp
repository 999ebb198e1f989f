#include "dispatch_core_p.h"

#include "base_event_p.h"

#include <algorithm>

namespace agatedrum {

namespace {

constexpr auto component = "dispatch";

} // namespace

void DispatchCore::applyCrashes(const wire::HostReport &report, Answers &answers)
{
    if (!this->crashes.apply(report.crashes, this->clock.now())) {
        return;
    }
    std::vector<std::pair<std::string, std::string>> ended; // with the reason
    for (const auto &[id, job] : this->jobs) {
        if (auto reason = this->givenUpReason(job.request); !reason.empty()) {
            ended.emplace_back(id, std::move(reason));
        }
    }
    for (const auto &[id, reason] : ended) {
        ++this->counters.givenUp;
        this->endJob(id, JobEnd::Failed, reason, answers);
    }
}

std::string DispatchCore::givenUpReason(const JobRequest &request) const
{
    for (std::size_t i = 0; i < request.tasks.size(); ++i) {
        if (this->crashes.isGivenUp({request.id, static_cast<std::int32_t>(i)})) {
            return fmt::format("backend servers have crashed under task {}", i);
        }
    }
    return {};
}

} // namespace agatedrum
