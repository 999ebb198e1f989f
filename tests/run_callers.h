#pragma once

#include "run_process.h"

#include <fmt/format.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace agatedrum::test {

/// A job as its caller submits it.
struct SimJob
{
    std::string id;
    std::vector<int> workMs; ///< work of each task
    int estimateMs = 300; ///< estimate of each task
    std::int64_t cpuMillis = 4000; ///< demand of each task
};

/// The entries by index; null while a process is down.
using SimEntries = std::map<int, std::shared_ptr<EntryProcess>>;

/// Submits jobs at the entries. A job is submitted again, with the same id and at another entry, after an unfinished
/// job, a broken connection or no answer until the caller's deadline.
class SimCallers
{
public:
    static constexpr Millis deadline {1500};
    static constexpr Millis resubmitDelay {1300};

    SimCallers(Timeline &timeline, RunRecord &record, SimEntries &entries, int entryCount)
        : timeline(timeline)
        , record(record)
        , entries(entries)
        , entryCount(entryCount)
    {
    }

    int maxAttempts = 4; ///< number of submissions of one job

    /// Breaks the connections of all callers to an entry.
    void resetConnections(int entry)
    {
        this->trace(fmt::format("the connections to entry-{} are reset", entry));
        for (auto &request : this->requests) {
            if (request->entry == entry && !request->isOver) {
                this->resubmitLater(request);
            }
        }
    }
    void submit(const SimJob &job, int entry, int attempt = 1)
    {
        auto request = std::make_shared<Request>();
        request->job = job;
        request->entry = entry;
        request->attempt = attempt;
        this->requests.push_back(request);
        this->record.recordDemand(job.id, job.cpuMillis);
        this->trace(fmt::format("job {} is submitted at entry-{} (attempt {})", job.id, entry, attempt));
        if (!this->entries[entry]) {
            this->resubmitLater(request);
            return;
        }
        this->timeline.after(deadline, [this, request] { this->resubmitLater(request); });
        this->timeline.after(hopDelay, [this, request, weak = std::weak_ptr<EntryProcess>(this->entries[entry])] {
            if (const auto process = weak.lock()) {
                process->postRequest([this, request, target = process.get()] { this->deliver(request, *target); });
            }
        });
    }
    /// Returns the number of jobs that were answered with this end.
    int answered(JobEnd end) const
    {
        const auto found = this->answers.find(end);
        return found == this->answers.end() ? 0 : found->second;
    }

private:
    /// One submission of a job, from the caller's point of view.
    struct Request
    {
        SimJob job;
        int entry = 0;
        int attempt = 1;
        bool isOver = false; ///< answered, broken or given up
    };

    static RouteConfig route()
    {
        RouteConfig result;
        result.name = "r";
        result.serviceName = "visits";
        result.timeout = deadline;
        result.latencyObjective = Millis(60);
        result.stretch = 1.6;
        result.maxAttempts = 2;
        return result;
    }
    /// Hands a request that has arrived to the entry.
    void deliver(const std::shared_ptr<Request> &request, EntryProcess &process)
    {
        JobRequest job;
        job.id = request->job.id;
        job.routeName = "r";
        job.timeLeft = deadline;
        job.isCallerDisconnected = [request] { return request->isOver; };
        for (const auto work : request->job.workMs) {
            job.spec += fmt::format("{} ", work);
            TaskRequest task;
            task.demand.cpuMillis = request->job.cpuMillis;
            task.demand.memoryMb = 10;
            task.estimate = Millis(request->job.estimateMs);
            job.tasks.push_back(task);
        }
        process.core().submit(route(), std::move(job), [this, request](const JobOutcome &outcome) {
            this->timeline.after(hopDelay, [this, request, outcome] { this->receiveAnswer(request, outcome); });
        });
    }
    void receiveAnswer(const std::shared_ptr<Request> &request, const JobOutcome &outcome)
    {
        if (request->isOver) {
            return;
        }
        ++this->answers[outcome.end];
        this->trace(fmt::format("job {} is answered by entry-{}: {} {}", request->job.id, request->entry,
                                static_cast<int>(outcome.end), outcome.reason));
        if (outcome.end == JobEnd::Unfinished) {
            this->resubmitLater(request);
            return;
        }
        request->isOver = true;
        if (outcome.end == JobEnd::Refused && request->attempt == 1) {
            this->record.recordRefusal(request->job.id);
        }
    }
    void resubmitLater(const std::shared_ptr<Request> &request)
    {
        if (request->isOver) {
            return;
        }
        request->isOver = true;
        if (request->attempt < this->maxAttempts) {
            this->timeline.after(resubmitDelay, [this, request] {
                this->submit(request->job, (request->entry + 1) % this->entryCount, request->attempt + 1);
            });
        }
    }

    void trace(const std::string &text) const
    {
        this->record.trace(this->timeline.elapsedMs(), text);
    }

    Timeline &timeline;
    RunRecord &record;
    SimEntries &entries;
    const int entryCount;
    std::vector<std::shared_ptr<Request>> requests;
    std::map<JobEnd, int> answers;
};

} // namespace agatedrum::test
