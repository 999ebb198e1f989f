#pragma once

#include "soak_callers.h"

#include <set>

namespace agatedrum::test {

/// Compares what executors and callers recorded with what the service guarantees.
class SoakChecks
{
public:
    /// Time after its last byte from which a request counts as read.
    static constexpr SoakMillis readTime {200};

    /// @param isPlannedOnly the run had planned stops and reloads only, neither kills nor freezes.
    SoakChecks(const SoakRecord &record, bool isPlannedOnly)
        : record(record)
    {
        for (const auto &run : record.runs()) {
            this->runsByTask[run.task].push_back(&run);
            this->runsByJob[soak_wire::jobOfTask(run.task)].push_back(&run);
        }
        this->checkOverlaps();
        for (const auto &submission : record.submissions()) {
            this->checkRejection(submission);
            this->checkCrashes(submission);
            this->checkCompletion(submission);
            if (isPlannedOnly) {
                this->checkCuts(submission);
            }
        }
        for (const auto &reset : record.idleResets()) {
            if (isPlannedOnly) {
                this->found.push_back("an idle connection was reset by " + reset);
            }
        }
    }

    const std::vector<std::string> &violations() const
    {
        return this->found;
    }

private:
    void add(const std::string &job, const std::string &text)
    {
        this->found.push_back(text + "\n" + this->record.jobTimeline(job));
    }

    /// Two runs of one task must never overlap.
    void checkOverlaps()
    {
        for (auto &[task, runs] : this->runsByTask) {
            std::sort(runs.begin(), runs.end(),
                      [](const auto *left, const auto *right) { return left->startedAt < right->startedAt; });
            auto lastEnd = SoakTime::min();
            for (const auto *run : runs) {
                if (run->startedAt < lastEnd) {
                    this->add(soak_wire::jobOfTask(task), "two runs of " + task + " at the same time");
                }
                lastEnd = std::max(lastEnd, run->endedAt);
            }
        }
    }

    /// A job of which all attempts were rejected must never run.
    void checkRejection(const SoakSubmission &submission)
    {
        const bool isRejected = !submission.attempts.empty()
            && std::all_of(submission.attempts.begin(), submission.attempts.end(), [](const SoakAttempt &attempt) {
                   return attempt.exchange.end == SoakExchange::End::Answered
                       && SoakCallers::isRejection(attempt.exchange.status);
               });
        if (isRejected && this->runsByJob.count(submission.job.id) > 0) {
            this->add(submission.job.id, fmt::format("job {} ran but was rejected", submission.job.id));
        }
    }

    /// After three executors have crashed under a task that crashes them, it must be started at most two more times.
    void checkCrashes(const SoakSubmission &submission)
    {
        constexpr std::size_t crashLimit = 3;
        constexpr std::size_t furtherStartLimit = 3;
        const auto task = soak_wire::taskName(submission.job.id, static_cast<std::size_t>(submission.job.deadlyTask));
        const auto found = this->runsByTask.find(task);
        if (submission.job.deadlyTask < 0 || found == this->runsByTask.end()) {
            return;
        }
        std::vector<SoakTime> crashes;
        for (const auto *run : found->second) {
            if (run->end == "crashed") {
                crashes.push_back(run->endedAt);
            }
        }
        std::sort(crashes.begin(), crashes.end());
        if (crashes.size() < crashLimit) {
            return;
        }
        const auto furtherStarts = std::count_if(found->second.begin(), found->second.end(), [&](const auto *run) {
            return run->startedAt > crashes[crashLimit - 1];
        });
        if (static_cast<std::size_t>(furtherStarts) >= furtherStartLimit) {
            this->add(submission.job.id,
                      fmt::format("{} was started {} more times after {} executors had crashed under it", task,
                                  furtherStarts, crashLimit));
        }
    }

    /// A completed job needs a run of each task that ended as done. A failed one needs a task that failed three times,
    /// or a task under which two executors have crashed.
    void checkCompletion(const SoakSubmission &submission)
    {
        constexpr int maxAttempts = 3;
        constexpr int maxCrashes = 2;
        for (const auto &attempt : submission.attempts) {
            const auto state = attempt.exchange.status == 200 ? soak_wire::jobState(attempt.exchange.body) : "";
            int done = 0;
            int mostFailures = 0;
            int mostCrashes = 0;
            for (std::size_t i = 0; i < submission.job.taskMs.size(); ++i) {
                const auto task = soak_wire::taskName(submission.job.id, i);
                done += this->countRuns(task, "done", attempt.exchange.endedAt) > 0 ? 1 : 0;
                mostFailures = std::max(mostFailures, this->countRuns(task, "failed", attempt.exchange.endedAt));
                mostCrashes = std::max(mostCrashes, this->countRuns(task, "crashed", attempt.exchange.endedAt));
            }
            const bool isWrong = state == "completed"
                ? done != static_cast<int>(submission.job.taskMs.size())
                : state == "failed" && mostFailures < maxAttempts && mostCrashes < maxCrashes;
            if (isWrong || (attempt.exchange.status == 200 && state.empty())) {
                this->add(submission.job.id,
                          fmt::format("job {} was answered as {} with {} of {} tasks done and at most {} failures",
                                      submission.job.id, state, done, submission.job.taskMs.size(), mostFailures));
            }
        }
    }

    int countRuns(const std::string &task, const std::string &end, SoakTime before) const
    {
        const auto found = this->runsByTask.find(task);
        return found == this->runsByTask.end()
            ? 0
            : static_cast<int>(std::count_if(found->second.begin(), found->second.end(), [&](const auto *run) {
                  return run->end == end && run->endedAt <= before;
              }));
    }

    /// A request that was read must get its whole answer. It counts as read if it was passed on to an executor, or if
    /// its connection ended later than readTime after its last byte. Not after the caller's own deadline. A connection
    /// on which nothing comes neither serves nor is closed.
    void checkCuts(const SoakSubmission &submission)
    {
        for (const auto &attempt : submission.attempts) {
            const auto &exchange = attempt.exchange;
            if (exchange.end == SoakExchange::End::TimedOut) {
                this->add(submission.job.id, fmt::format("{} gave no answer in time", attempt.entry));
            }
            if (exchange.end != SoakExchange::End::Cut || exchange.endedAt >= exchange.sentAt + submission.timeLimit) {
                continue;
            }
            const auto runs = this->runsByJob.find(submission.job.id);
            const bool isPassedOn
                = runs != this->runsByJob.end()
                && std::any_of(runs->second.begin(), runs->second.end(), [&exchange](const auto *run) {
                       return run->startedAt >= exchange.beganAt && run->startedAt <= exchange.endedAt + readTime;
                   });
            if (isPassedOn || exchange.partialBytes > 0 || exchange.endedAt > exchange.sentAt + readTime) {
                this->add(submission.job.id, fmt::format("{} cut a request that it had read", attempt.entry));
            }
        }
    }

    const SoakRecord &record;
    std::map<std::string, std::vector<const SoakTaskRun *>> runsByTask;
    std::map<std::string, std::vector<const SoakTaskRun *>> runsByJob;
    std::vector<std::string> found;
};

} // namespace agatedrum::test
