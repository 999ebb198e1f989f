#pragma once

#include "soak_connection.h"
#include "soak_platform.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace agatedrum::test {

/// One run of a task, as the executor that ran it saw it.
struct SoakTaskRun
{
    std::string task;
    std::int64_t run = 0;
    std::string executor;
    SoakTime startedAt;
    SoakTime endedAt = SoakTime::max(); ///< SoakTime::max() while it runs
    std::string end;
};

struct SoakAttempt
{
    std::string entry;
    SoakExchange exchange;
};

/// A job with all attempts to submit it. Attempts of which nothing was sent are left out.
struct SoakSubmission
{
    SoakJob job;
    SoakMillis timeLimit {0}; ///< of each attempt
    SoakMillis connectionLossAfter {0}; ///< if not 0, when the caller closes its connection, except at the last attempt
    std::vector<SoakAttempt> attempts;
};

/// A time in which a process was stopped, killed, frozen or just started.
struct SoakFault
{
    std::string process;
    std::string kind;
    SoakTime from;
    SoakTime until = SoakTime::max(); ///< when the process ran again
};

/// What executors, callers and the injector of faults saw, independently of the processes under test. Thread-safe.
class SoakRecord
{
public:
    explicit SoakRecord(SoakTime startedAt)
        : startedAt(startedAt)
    {
    }

    /// Returns the index by which the run is named in runEnded().
    std::size_t runStarted(const std::string &task, std::int64_t run, const std::string &executor, SoakTime at)
    {
        const std::lock_guard lock(this->mutex);
        this->taskRuns.push_back({task, run, executor, at, SoakTime::max(), {}});
        return this->taskRuns.size() - 1;
    }
    void runEnded(std::size_t index, const std::string &end, SoakTime at)
    {
        const std::lock_guard lock(this->mutex);
        auto &run = this->taskRuns[index];
        run.end = end;
        run.endedAt = at;
        this->failedRuns[run.task] += end == "failed" ? 1 : 0;
    }
    int failuresOf(const std::string &task)
    {
        const std::lock_guard lock(this->mutex);
        return this->failedRuns[task];
    }

    void addSubmission(SoakSubmission submission)
    {
        const std::lock_guard lock(this->mutex);
        this->allSubmissions.push_back(std::move(submission));
    }
    void addViolation(const std::string &text)
    {
        const std::lock_guard lock(this->mutex);
        this->found.push_back(fmt::format("{} (noted at {})", text, this->offset(soakNow())));
    }
    /// Records that a connection was reset while no answer was outstanding on it.
    void addIdleReset(const std::string &entry)
    {
        const std::lock_guard lock(this->mutex);
        this->allIdleResets.push_back(fmt::format("{} before {}", entry, this->offset(soakNow())));
    }
    std::size_t faultBegan(const std::string &process, const std::string &kind)
    {
        const std::lock_guard lock(this->mutex);
        this->allFaults.push_back({process, kind, soakNow(), SoakTime::max()});
        return this->allFaults.size() - 1;
    }
    void faultEnded(std::size_t index)
    {
        const std::lock_guard lock(this->mutex);
        this->allFaults[index].until = soakNow();
    }

    /// Counts something that an executor did to disturb its host.
    void countTrouble(const std::string &kind)
    {
        const std::lock_guard lock(this->mutex);
        ++this->troubles[kind];
    }

    // Read after all threads that record have ended.
    const std::map<std::string, int> &troubleCounts() const
    {
        return this->troubles;
    }
    const std::vector<SoakTaskRun> &runs() const
    {
        return this->taskRuns;
    }
    const std::vector<SoakSubmission> &submissions() const
    {
        return this->allSubmissions;
    }
    const std::vector<SoakFault> &faults() const
    {
        return this->allFaults;
    }
    const std::vector<std::string> &idleResets() const
    {
        return this->allIdleResets;
    }
    const std::vector<std::string> &violations() const
    {
        return this->found;
    }

    /// Returns milliseconds since the start of the record, or "never".
    std::string offset(SoakTime at) const
    {
        return at == SoakTime::max()
            ? "never"
            : fmt::format("{} ms", std::chrono::duration_cast<SoakMillis>(at - this->startedAt).count());
    }
    /// Describes all faults, one a line.
    std::string faultTimeline() const
    {
        std::string text;
        for (const auto &fault : this->allFaults) {
            text += fmt::format("  {} {}: {} to {}\n", fault.process, fault.kind, this->offset(fault.from),
                                this->offset(fault.until));
        }
        return text;
    }
    /// Describes the runs and the submission of a job, one a line.
    std::string jobTimeline(const std::string &job) const
    {
        std::string text;
        for (const auto &run : this->taskRuns) {
            if (soak_wire::jobOfTask(run.task) == job) {
                text += fmt::format("    run {} of {} at {}: {} to {} {}\n", run.run, run.task, run.executor,
                                    this->offset(run.startedAt), this->offset(run.endedAt), run.end);
            }
        }
        for (const auto &submission : this->allSubmissions) {
            for (const auto &attempt : submission.attempts) {
                if (submission.job.id == job) {
                    text += fmt::format("    submitted to {} at {}, limit {} ms: {} {}\n", attempt.entry,
                                        this->offset(attempt.exchange.sentAt), submission.timeLimit.count(),
                                        attempt.exchange.text(), attempt.exchange.body.substr(0, 160));
                }
            }
        }
        return text;
    }

private:
    const SoakTime startedAt;
    std::mutex mutex; ///< guards all members below while threads record
    std::vector<SoakTaskRun> taskRuns;
    std::map<std::string, int> failedRuns;
    std::vector<SoakSubmission> allSubmissions;
    std::vector<SoakFault> allFaults;
    std::vector<std::string> allIdleResets;
    std::map<std::string, int> troubles; ///< number of times, by kind
    std::vector<std::string> found;
};

} // namespace agatedrum::test
