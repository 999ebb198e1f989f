#pragma once

#include "host_server_p.h"
#include "run_timeline.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

namespace agatedrum::test {

/// Whether the simulations print what happens, with the simulated time. Initially set by AGATEDRUM_TEST_LOG.
inline bool &isTracingRuns()
{
    static bool isTracing = std::getenv("AGATEDRUM_TEST_LOG") != nullptr;
    return isTracing;
}

/// Records the runs of all simulated backend servers and detects runs that must not exist.
class RunRecord
{
public:
    struct Run
    {
        TaskName task;
        std::int64_t number = 0;
        std::string server;
        std::int64_t beginMs = 0;
        std::optional<std::int64_t> endMs;
        std::string outcome;
    };

    /// @return the key of the run for end()
    std::size_t begin(const TaskName &task, std::int64_t number, const std::string &server, std::int64_t nowMs)
    {
        for (const auto key : this->activeRuns[task]) {
            this->violations.push_back(fmt::format(
                "{} ms: run {} of {}/{} begins at {} while run {} runs at {} since {} ms", nowMs, number, task.job,
                task.index, server, this->runs[key].number, this->runs[key].server, this->runs[key].beginMs));
        }
        if (this->refusedJobs.count(task.job) > 0) {
            this->violations.push_back(
                fmt::format("{} ms: run {} of {}/{} begins at {} although the caller was told that the job never runs",
                            nowMs, number, task.job, task.index, server));
        }
        this->runs.push_back({task, number, server, nowMs, std::nullopt, {}});
        this->activeRuns[task].insert(this->runs.size() - 1);
        this->trace(nowMs, fmt::format("run {} of {}/{} begins at {}", number, task.job, task.index, server));
        return this->runs.size() - 1;
    }
    void end(std::size_t key, const std::string &outcome, std::int64_t nowMs)
    {
        auto &run = this->runs[key];
        run.endMs = nowMs;
        run.outcome = outcome;
        this->activeRuns[run.task].erase(key);
        this->trace(nowMs,
                    fmt::format("run {} of {}/{} ends at {}: {}", run.number, run.task.job, run.task.index, run.server,
                                outcome));
    }
    /// Records the demand of each task of a job.
    void recordDemand(const std::string &job, std::int64_t cpuMillis)
    {
        this->demands[job] = cpuMillis;
    }
    std::int64_t demandOf(const std::string &job) const
    {
        const auto found = this->demands.find(job);
        return found == this->demands.end() ? 0 : found->second;
    }
    /// Records that all submissions of the job were refused as not run.
    void recordRefusal(const std::string &job)
    {
        this->refusedJobs.insert(job);
    }
    bool isActive(const std::string &job) const
    {
        return std::any_of(this->activeRuns.begin(), this->activeRuns.end(),
                           [&job](const auto &entry) { return entry.first.job == job && !entry.second.empty(); });
    }
    std::size_t count(const std::string &outcome) const
    {
        return static_cast<std::size_t>(std::count_if(this->runs.begin(), this->runs.end(),
                                                      [&](const Run &run) { return run.outcome == outcome; }));
    }
    void trace(std::int64_t nowMs, const std::string &text) const
    {
        if (isTracingRuns()) {
            fmt::print("{:>7} ms  {}\n", nowMs, text);
        }
    }

    std::vector<Run> runs;
    std::vector<std::string> violations;
    std::vector<std::string> overloads; ///< starts that brought a server over its capacity

private:
    std::map<std::string, std::int64_t> demands; ///< keyed by job, in thousandths of a core
    std::map<TaskName, std::set<std::size_t>> activeRuns;
    std::set<std::string> refusedJobs;
};

/// The capacities that a simulated backend server has had. A larger one counts at once. An earlier one may be used for
/// a limited time, but no longer once its host knows a later one.
class CapacityHistory
{
public:
    static constexpr Millis shrinkAllowance {4500}; ///< ContactMs and one interval of registrations

    void change(std::int64_t cpuMillis, Time now)
    {
        this->entries.back().usableUntil = now + shrinkAllowance;
        this->entries.push_back({cpuMillis, std::nullopt});
    }
    /// Records that a registration with the capacity of this number has arrived at the host.
    void recordArrival(std::size_t number, Time now)
    {
        for (std::size_t i = 0; i < number; ++i) {
            auto &until = this->entries[i].usableUntil;
            until = std::min(until.value_or(now + orderTime), now + orderTime);
        }
    }
    std::size_t newest() const
    {
        return this->entries.size() - 1;
    }
    std::int64_t cpuMillis() const
    {
        return this->entries.back().cpuMillis;
    }
    /// Returns the largest capacity that may be used now.
    std::int64_t usable(Time now) const
    {
        std::int64_t largest = 0;
        for (const auto &entry : this->entries) {
            largest = !entry.usableUntil || now < *entry.usableUntil ? std::max(largest, entry.cpuMillis) : largest;
        }
        return largest;
    }

private:
    struct Entry
    {
        std::int64_t cpuMillis = 0;
        std::optional<Time> usableUntil; ///< none for the present capacity
    };

    static constexpr Millis orderTime {1}; ///< time that an order is on its way

    std::vector<Entry> entries {{16000, std::nullopt}};
};

/// One instance of a simulated backend server. It does not guard its capacity. The spec of a job is the list of its
/// tasks' work in milliseconds.
///
/// Each order names the highest fencing token that its sender knows; orders with a lower one than seen do nothing. One
/// lease covers all runs; it never shortens and is counted on the server's own clock, which starts at 0.
class SimServer
{
public:
    using PollHandler = std::function<void(const PollReply &)>;

    SimServer(const Timeline &timeline, RunRecord &record, TaskServerRef ref, double clockRate)
        : ref(std::move(ref))
        , timeline(timeline)
        , record(record)
        , clockRate(clockRate)
        , startedAt(timeline.now())
        , advancedAt(timeline.now())
    {
    }

    OrderReply start(const StartOrder &order)
    {
        this->advance();
        if (const auto refused = this->checkFence(order.fence)) {
            return *refused;
        }
        if (order.leaseUntilMs <= this->clockMs()) {
            return this->reply(OrderOutcome::Late);
        }
        this->extendLease(order.leaseUntilMs);
        if (this->active.count({order.task, order.run}) > 0) {
            return this->reply(OrderOutcome::Accepted);
        }
        const auto floor = this->lastEnded.find(order.task);
        if (floor != this->lastEnded.end() && order.run <= floor->second) {
            return this->reply(OrderOutcome::RunTooLow);
        }
        this->prepareBegin();
        this->onBegin(order.task);
        ActiveRun run;
        run.workMs = workOf(order);
        run.key = this->record.begin(order.task, order.run, this->name(), this->timeline.elapsedMs());
        this->active.emplace(std::make_pair(order.task, order.run), run);
        this->checkCapacity(order.task);
        return this->reply(OrderOutcome::Accepted);
    }
    /// @param delay time until the run has stopped
    OrderReply stop(const StopOrder &order, Micros delay)
    {
        this->advance();
        if (const auto refused = this->checkFence(order.fence)) {
            return *refused;
        }
        const auto found = this->active.find({order.task, order.run});
        this->record.trace(this->timeline.elapsedMs(),
                           fmt::format("server {} takes a stop of run {} of {}/{}", this->name(), order.run,
                                       order.task.job, order.task.index));
        if (found == this->active.end()) {
            auto &floor = this->lastEnded[order.task];
            floor = std::max(floor, order.run);
        } else if (!found->second.stopsAt) {
            found->second.stopsAt = this->timeline.now() + delay;
        }
        return this->reply(OrderOutcome::Accepted);
    }
    void poll(const PollOrder &order, PollHandler handler)
    {
        this->advance();
        if (const auto refused = this->checkFence(order.fence)) {
            handler({refused->outcome, refused->clockMs, {}, {}, true});
            return;
        }
        if (order.leaseUntilMs > 0) {
            this->extendLease(order.leaseUntilMs);
        }
        while (!this->ended.empty() && this->ended.front().number <= order.lastSeenEnd) {
            this->ended.pop_front();
        }
        this->polls.push_back({std::move(handler), this->timeline.now() + order.wait});
        this->answerPolls();
    }
    /// Ends the runs that are done, stopped or without a lease, and answers the polls that are due.
    void advance()
    {
        const auto now = this->timeline.now();
        const auto elapsedMs = static_cast<double>((now - this->advancedAt).count()) / 1000.0;
        this->advancedAt = now;
        const bool isLapsed = this->clockMs() >= this->leaseUntilMs;
        for (auto run = this->active.begin(); run != this->active.end();) {
            auto &[name, state] = *run;
            state.doneMs += elapsedMs / this->workFactor;
            if (state.doneMs >= state.workMs) {
                run = this->end(run, RunEnd::Done, "done");
            } else if (state.stopsAt && now >= *state.stopsAt) {
                run = this->end(run, RunEnd::Stopped, "stopped");
            } else if (isLapsed) {
                run = this->end(run, RunEnd::LeaseExpired, "lapsed");
            } else {
                ++run;
            }
        }
        this->answerPolls();
    }
    /// Ends all runs, as a crash of the server does.
    void crash()
    {
        while (!this->active.empty()) {
            this->record.end(this->active.begin()->second.key, "crashed", this->timeline.elapsedMs());
            this->active.erase(this->active.begin());
        }
        for (auto &poll : std::exchange(this->polls, {})) {
            poll.handler(PollReply {});
        }
    }
    std::int64_t clockMs() const
    {
        return static_cast<std::int64_t>(static_cast<double>((this->timeline.now() - this->startedAt).count())
                                         * this->clockRate / 1000.0);
    }
    std::string name() const
    {
        return fmt::format("{}@{}", this->ref.id, this->ref.startedAtMs);
    }
    void resize(std::int64_t cpuMillis)
    {
        this->capacities.change(cpuMillis, this->timeline.now());
    }
    bool isIdle() const
    {
        return this->active.empty();
    }

    const TaskServerRef ref;
    CapacityHistory capacities;
    double workFactor = 1.0; ///< time that a task takes relative to its work
    std::function<void()> prepareBegin = [] {}; ///< called before a run begins
    std::function<void(const TaskName &)> onBegin = [](const TaskName &) {}; ///< called as a run begins

private:
    static constexpr std::int64_t maxLeaseMs = 1000;

    struct ActiveRun
    {
        std::size_t key = 0;
        double workMs = 0;
        double doneMs = 0;
        std::optional<Time> stopsAt;
    };
    using ActiveRuns = std::map<std::pair<TaskName, std::int64_t>, ActiveRun>;

    struct OpenPoll
    {
        PollHandler handler;
        Time answerAt;
    };

    static double workOf(const StartOrder &order)
    {
        std::istringstream spec(order.spec);
        double work = 0;
        for (std::int32_t i = 0; i <= order.task.index; ++i) {
            spec >> work;
        }
        return work;
    }
    /// Runs that are being stopped count as well.
    void checkCapacity(const TaskName &started)
    {
        std::int64_t used = 0;
        for (const auto &[name, run] : this->active) {
            used += this->record.demandOf(name.first.job);
        }
        const auto usable = this->capacities.usable(this->timeline.now());
        if (used > usable) {
            this->record.overloads.push_back(fmt::format("{} ms: the start of {}/{} brings {} to {} of {}",
                                                         this->timeline.elapsedMs(), started.job, started.index,
                                                         this->name(), used, usable));
            this->record.trace(this->timeline.elapsedMs(), this->record.overloads.back());
        }
    }
    OrderReply reply(OrderOutcome outcome) const
    {
        return {outcome, this->clockMs()};
    }
    std::optional<OrderReply> checkFence(std::int64_t fence)
    {
        if (fence < this->highestFence) {
            return this->reply(OrderOutcome::Fenced);
        }
        this->highestFence = fence;
        return std::nullopt;
    }
    void extendLease(std::int64_t untilMs)
    {
        this->leaseUntilMs = std::max(this->leaseUntilMs, std::min(untilMs, this->clockMs() + maxLeaseMs));
    }
    ActiveRuns::iterator end(ActiveRuns::iterator run, RunEnd outcome, const std::string &text)
    {
        const auto &[task, number] = run->first;
        this->record.end(run->second.key, text, this->timeline.elapsedMs());
        this->ended.push_back({++this->lastEnd, task, number, outcome});
        auto &floor = this->lastEnded[task];
        floor = std::max(floor, number);
        return this->active.erase(run);
    }
    void answerPolls()
    {
        std::vector<OpenPoll> due;
        for (auto &poll : std::exchange(this->polls, {})) {
            const bool isDue = !this->ended.empty() || this->timeline.now() >= poll.answerAt;
            (isDue ? due : this->polls).push_back(std::move(poll));
        }
        if (due.empty()) {
            return;
        }
        PollReply reply;
        reply.outcome = OrderOutcome::Accepted;
        reply.clockMs = this->clockMs();
        reply.ended.assign(this->ended.begin(), this->ended.end());
        for (const auto &[name, run] : this->active) {
            reply.running.push_back({name.first, name.second, static_cast<int>(100 * run.doneMs / run.workMs)});
        }
        for (const auto &poll : due) {
            poll.handler(reply);
        }
    }

    const Timeline &timeline;
    RunRecord &record;
    const double clockRate; ///< speed of the server's clock
    const Time startedAt;
    Time advancedAt;
    std::int64_t highestFence = 0;
    std::int64_t leaseUntilMs = 0;
    ActiveRuns active;
    std::map<TaskName, std::int64_t> lastEnded; ///< highest run number that was stopped or has ended
    std::deque<EndedTask> ended;
    std::int64_t lastEnd = 0;
    std::vector<OpenPoll> polls;
};

} // namespace agatedrum::test
