#pragma once

#include "http_server_p.h"
#include "soak_capacity.h"
#include "soak_record.h"

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <thread>
#include <utility>

namespace agatedrum::test {

struct SoakExecutorOptions
{
    std::string id;
    std::string service;
    std::string zone;
    SoakAddress address; ///< where it serves its host's calls
    SoakAddress registrar; ///< its host
    std::int64_t cpuMillis = 16000;
    double clockRate = 1.0; ///< steps of its clock per step of the real one
    double slowness = 1.0; ///< how much longer its runs take than the job tells
    bool hasLateCalls = false; ///< in some seconds, it answers only a part of the calls and carries out the others late
    bool hasLateStarts = false; ///< it gives no answer to some start orders and carries them out seconds late
    bool grantsLateLeases = false; ///< the lease of a late start order is counted from when it is carried out
    bool changesCapacity = false; ///< its capacity shrinks and grows
    std::function<void()> onLateStart = [] {}; ///< called when a start order arrives that will be carried out late
    std::uint64_t seed = 1;
};

/// Stand-in for an executor: registers at its host and carries out the host's calls as the platform's pages tell.
/// Everything that ends by itself is given the time at which it was due, however late the thread wakes.
class SoakExecutor
{
public:
    SoakExecutor(SoakRecord &record, SoakExecutorOptions executorOptions)
        : record(record)
        , options(std::move(executorOptions))
        , startedAt(soakNow())
        , bornMs(std::chrono::duration_cast<SoakMillis>(std::chrono::system_clock::now().time_since_epoch()).count())
        , random(this->options.seed)
        , capacity(this->options.cpuMillis, this->startedAt)
        , server(serverOptions(this->options.address))
    {
        this->leaseUntil = this->startedAt;
        this->capacityChangeAt = this->startedAt + SoakMillis(leastDwellMs);
        this->addRoute(soak_wire::startPath,
                       [this](const auto &call, const auto &reply) { this->handleStart(call, reply); });
        this->addRoute(soak_wire::stopPath,
                       [this](const auto &call, const auto &reply) { this->handleStop(call, reply); });
        this->addRoute(soak_wire::pollPath,
                       [this](const auto &call, const auto &reply) { this->handlePoll(call, reply); });
        this->server.start();
        this->ticker = std::thread([this] { this->runTicker(); });
        this->registrant = std::thread([this] { this->runRegistrations(); });
    }
    ~SoakExecutor()
    {
        this->isStopping = true;
        this->registrant.join();
        this->ticker.join();
        this->server.stop();
        const std::lock_guard lock(this->mutex);
        this->advance(soakNow());
    }
    SoakExecutor(const SoakExecutor &) = delete;
    SoakExecutor &operator=(const SoakExecutor &) = delete;

    /// Returns whether a task has crashed it. It then neither runs, answers nor registers.
    bool hasCrashed() const
    {
        return this->isCrashed;
    }

private:
    using Call = soak_wire::ExecutorCall;
    using Handler = std::function<void(const Call &, const HttpReply &)>;

    static constexpr SoakMillis maxLease {1000};
    static constexpr SoakMillis registrationInterval {1500};
    static constexpr SoakMillis registrationRetry {250};
    static constexpr std::size_t maxEndsPerReply = 500;
    static constexpr int maxStopMs = 50;
    static constexpr int leastDwellMs = 1500; ///< of a capacity
    static constexpr int dwellRangeMs = 7500;

    struct Running
    {
        std::string task;
        std::int64_t run = 0;
        SoakTime startedAt;
        SoakTime endsAt;
        const char *end = "done";
        std::int64_t cpuMillis = 0;
        std::size_t recordIndex = 0;
    };
    /// A call whose caller gets no answer in time. The reply is kept, since dropping it would send an answer.
    struct LateCall
    {
        SoakTime at;
        Call call;
        Handler handler;
        HttpReply reply;
        std::int64_t leaseGrantedMs = 0; ///< if not 0, the length of the lease from when the call is carried out
    };
    struct WaitingPoll
    {
        SoakTime until;
        HttpReply reply;
    };

    static HttpServerOptions serverOptions(const SoakAddress &address)
    {
        HttpServerOptions result;
        result.address.host = address.host;
        result.address.port = address.port;
        result.threads = 1;
        return result;
    }

    void addRoute(const char *path, Handler handler)
    {
        this->server.route("POST", path,
                           [this, handler = std::move(handler)](const HttpRequest &request, const HttpReply &reply) {
                               const auto named = request.headers.find(soak_wire::instanceHeader);
                               if (named != request.headers.end() && named->second != this->options.id) {
                                   respond(reply, 421, soak_wire::encodeRefusal(this->clockMs(), "instance"));
                                   return;
                               }
                               const auto call = soak_wire::decodeCall(request.body);
                               const std::lock_guard lock(this->mutex);
                               this->advance(soakNow());
                               if (this->isCrashed) {
                                   this->unanswered.push_back(reply);
                               } else if (!call.spec.empty() && this->drawsLateStart()) {
                                   this->delayStart(call, handler, reply);
                               } else if (const auto delay = this->drawDelay(); delay > SoakMillis(0)) {
                                   this->lateCalls.push_back({soakNow() + delay, call, handler, reply, 0});
                               } else {
                                   this->carryOut(call, handler, reply);
                               }
                           });
    }

    void carryOut(const Call &call, const Handler &handler, const HttpReply &reply)
    {
        if (call.fence < this->highestFence) {
            this->refuse(reply, "fence");
            return;
        }
        this->highestFence = call.fence;
        handler(call, reply);
    }

    bool drawsLateStart()
    {
        constexpr int lateShare = 10; ///< one start order of so many is carried out late
        return this->options.hasLateStarts && this->random() % lateShare == 0;
    }
    /// Carries out the start order 2 to 12 s later. Half of the delays are below 4 s, since callers submit lost jobs
    /// again within that time.
    void delayStart(const Call &call, const Handler &handler, const HttpReply &reply)
    {
        const int range = this->random() % 2 == 0 ? 2000 : 10000;
        const SoakMillis delay(2000 + static_cast<int>(this->random() % static_cast<std::uint64_t>(range)));
        const auto granted = this->options.grantsLateLeases ? call.leaseUntilMs - this->clockMs() : 0;
        this->unanswered.push_back(reply);
        const auto countOutcome = [this](const HttpResponse &response) {
            constexpr int accepted = 200;
            this->record.countTrouble(response.status == accepted ? "late starts obeyed" : "late starts refused");
        };
        this->lateCalls.push_back({soakNow() + delay, call, handler, countOutcome, granted});
        this->record.countTrouble("late starts");
        this->options.onLateStart();
    }

    /// Returns 0 if the call is carried out at once.
    SoakMillis drawDelay()
    {
        constexpr int troubleShare = 4; ///< one second of so many is troubled
        constexpr int mostDelayMs = 2000;
        if (!this->options.hasLateCalls) {
            return SoakMillis(0);
        }
        if (soakNow() >= this->troubleDrawnAt + SoakMillis(1000)) {
            this->troubleDrawnAt = soakNow();
            this->isTroubled = this->random() % troubleShare == 0;
        }
        return SoakMillis(
            this->isTroubled && this->random() % 2 == 0 ? 100 + static_cast<int>(this->random() % mostDelayMs) : 0);
    }

    static void respond(const HttpReply &reply, int status, std::string body)
    {
        HttpResponse response;
        response.status = status;
        response.body = std::move(body);
        reply(response);
    }
    void refuse(const HttpReply &reply, const char *reason) const
    {
        respond(reply, 409, soak_wire::encodeRefusal(this->clockMs(), reason));
    }

    // Clock of this executor: milliseconds since its start, with an offset.

    std::int64_t clockMs() const
    {
        const auto elapsed = std::chrono::duration<double, std::milli>(soakNow() - this->startedAt);
        return clockOffsetMs + static_cast<std::int64_t>(elapsed.count() * this->options.clockRate);
    }
    SoakTime realTime(std::int64_t clockMs) const
    {
        const auto real = static_cast<double>(clockMs - clockOffsetMs) / this->options.clockRate;
        return this->startedAt
            + std::chrono::duration_cast<SoakTime::duration>(std::chrono::duration<double, std::milli>(real));
    }

    /// Extends the lease to the end that a call gives, at most by the longest lease. Never shortens it.
    void extendLease(std::int64_t untilMs)
    {
        const auto latest = this->clockMs() + maxLease.count();
        this->leaseUntil = std::max(this->leaseUntil, this->realTime(std::min(untilMs, latest)));
    }

    // Calls. The mutex is held.

    void handleStart(const Call &call, const HttpReply &reply)
    {
        if (call.leaseUntilMs <= this->clockMs()) {
            this->refuse(reply, "late");
            return;
        }
        this->extendLease(call.leaseUntilMs);
        const auto isThere = std::any_of(this->running.begin(), this->running.end(), [&call](const Running &each) {
            return each.task == call.task && each.run == call.run;
        });
        if (!isThere && call.run <= this->highestEnded[call.task]) {
            this->refuse(reply, "old");
            return;
        }
        if (!isThere) {
            this->begin(call);
        }
        respond(reply, 200, soak_wire::encodeClock(this->clockMs()));
    }

    void begin(const Call &call)
    {
        const auto now = soakNow();
        const auto spec = soak_wire::decodeSpec(call.spec, soak_wire::indexOfTask(call.task));
        Running run;
        run.task = call.task;
        run.run = call.run;
        run.startedAt = now;
        run.endsAt = now + SoakMillis(static_cast<int>(spec.runMs * this->options.slowness));
        run.end = this->record.failuresOf(call.task) < spec.failures ? "failed" : "done";
        run.cpuMillis = spec.cpuMillis;
        run.recordIndex = this->record.runStarted(call.task, call.run, this->options.id, now);
        this->running.push_back(run);
        if (spec.isDeadly) {
            constexpr int mostCrashDelayMs = 25;
            this->crashAt
                = std::min(this->crashAt, now + SoakMillis(static_cast<int>(this->random() % mostCrashDelayMs)));
        }
        this->checkCapacity(call.task, now);
    }

    /// Records a violation if the runs need more than the executor has or lately had.
    void checkCapacity(const std::string &task, SoakTime now)
    {
        std::int64_t used = 0;
        for (const auto &each : this->running) {
            used += each.cpuMillis;
        }
        const auto limit = this->capacity.limitAt(now);
        if (used > limit) {
            this->record.addViolation(fmt::format("{} runs {} of {} thousandths of a core after the start of {}",
                                                  this->options.id, used, limit, task));
        }
    }

    void handleStop(const Call &call, const HttpReply &reply)
    {
        auto &highest = this->highestEnded[call.task];
        highest = std::max(highest, call.run);
        for (auto &run : this->running) {
            if (run.task == call.task && run.run == call.run) {
                const auto stopAt = soakNow() + SoakMillis(static_cast<int>(this->random() % maxStopMs));
                run.end = stopAt < run.endsAt ? "stopped" : run.end;
                run.endsAt = std::min(run.endsAt, stopAt);
            }
        }
        respond(reply, 200, soak_wire::encodeClock(this->clockMs()));
    }

    void handlePoll(const Call &call, const HttpReply &reply)
    {
        if (call.leaseUntilMs > 0) {
            this->extendLease(call.leaseUntilMs);
        }
        while (!this->ended.empty() && this->ended.front().number <= call.seenEnd) {
            this->ended.erase(this->ended.begin());
        }
        if (this->ended.empty() && call.waitMs > 0) {
            this->waitingPolls.push_back({soakNow() + SoakMillis(call.waitMs), reply});
        } else {
            this->answerPoll(reply);
        }
    }

    void answerPoll(const HttpReply &reply) const
    {
        std::vector<soak_wire::RunningRow> rows;
        for (const auto &run : this->running) {
            const auto total = std::max<std::int64_t>(1, (run.endsAt - run.startedAt).count());
            const auto percent = 100 * (soakNow() - run.startedAt).count() / total;
            rows.push_back(
                {run.task, run.run, static_cast<int>(std::clamp<std::int64_t>(percent, 0, 99)), run.cpuMillis});
        }
        const auto count = static_cast<std::ptrdiff_t>(std::min(this->ended.size(), maxEndsPerReply));
        respond(reply, 200,
                soak_wire::encodePollReply(this->clockMs(), this->bornMs, rows,
                                           {this->ended.begin(), this->ended.begin() + count}));
    }

    // Time. The mutex is held.

    /// Ends, in the order of time, all runs that were due by now or whose lease had run out.
    void advance(SoakTime now)
    {
        this->endRuns(std::min(now, this->crashAt));
        if (now >= this->crashAt && !this->isCrashed) {
            this->isCrashed = true;
            for (const auto &run : this->running) {
                this->record.runEnded(run.recordIndex, "crashed", this->crashAt);
            }
            this->running.clear();
            this->record.countTrouble("crashes");
        }
    }

    void endRuns(SoakTime now)
    {
        while (!this->running.empty()) {
            const auto next = std::min_element(
                this->running.begin(), this->running.end(),
                [](const Running &left, const Running &right) { return left.endsAt < right.endsAt; });
            if (std::min(next->endsAt, this->leaseUntil) > now) {
                return;
            }
            const bool isLapsed = this->leaseUntil < next->endsAt;
            this->finish(next, isLapsed ? "lapsed" : next->end, isLapsed ? this->leaseUntil : next->endsAt);
        }
    }

    void finish(std::vector<Running>::iterator run, const char *end, SoakTime at)
    {
        auto &highest = this->highestEnded[run->task];
        highest = std::max(highest, run->run);
        this->ended.push_back({++this->lastEnd, run->task, run->run, end});
        this->record.runEnded(run->recordIndex, end, at);
        this->running.erase(run);
    }

    void runTicker()
    {
        while (!this->isStopping) {
            std::this_thread::sleep_for(SoakMillis(2));
            const std::lock_guard lock(this->mutex);
            const auto now = soakNow();
            this->advance(now);
            if (this->isCrashed) {
                return;
            }
            this->changeCapacity(now);
            this->carryOutLateCalls(now);
            auto waiting = std::exchange(this->waitingPolls, {});
            for (auto &poll : waiting) {
                if (this->ended.empty() && poll.until > now) {
                    this->waitingPolls.push_back(std::move(poll));
                } else {
                    this->answerPoll(poll.reply);
                }
            }
        }
    }

    void changeCapacity(SoakTime now)
    {
        if (!this->options.changesCapacity || now < this->capacityChangeAt) {
            return;
        }
        const auto quarters = static_cast<std::int64_t>(1 + this->random() % 4);
        this->capacity.change(this->options.cpuMillis * quarters / 4, now);
        this->capacityChangeAt = now + SoakMillis(leastDwellMs + static_cast<int>(this->random() % dwellRangeMs));
        this->record.countTrouble("changes of capacity");
    }

    void carryOutLateCalls(SoakTime now)
    {
        auto calls = std::exchange(this->lateCalls, {});
        for (auto &late : calls) {
            if (late.at > now) {
                this->lateCalls.push_back(std::move(late));
            } else {
                if (late.leaseGrantedMs > 0) {
                    late.call.leaseUntilMs = this->clockMs() + late.leaseGrantedMs;
                }
                this->carryOut(late.call, late.handler, late.reply);
            }
        }
    }

    std::int64_t currentCapacity()
    {
        const std::lock_guard lock(this->mutex);
        return this->capacity.current();
    }

    void runRegistrations()
    {
        soak_wire::Registration registration;
        registration.id = this->options.id;
        registration.service = this->options.service;
        registration.address = fmt::format("{}:{}", this->options.address.host, this->options.address.port);
        registration.zone = this->options.zone;
        registration.bornMs = this->bornMs;
        registration.cpuMillis = this->options.cpuMillis;
        auto nextAt = soakNow();
        while (!this->isStopping && !this->isCrashed) {
            if (soakNow() < nextAt) {
                std::this_thread::sleep_for(SoakMillis(10));
                continue;
            }
            ++registration.sequence;
            registration.clockMs = this->clockMs();
            registration.cpuMillis = this->currentCapacity();
            const auto request = soakRequest("PUT", soak_wire::registrationPath(registration),
                                             this->options.registrar.host, soak_wire::encodeRegistration(registration));
            const auto result = soakCall(this->options.registrar, request, SoakMillis(1000));
            const bool isAccepted = result.status == 200;
            nextAt = soakNow() + (isAccepted ? registrationInterval : registrationRetry);
        }
    }

    static constexpr std::int64_t clockOffsetMs = 100000;

    SoakRecord &record;
    const SoakExecutorOptions options;
    const SoakTime startedAt;
    const std::int64_t bornMs;
    std::atomic<bool> isStopping {false};

    /// Guards all members up to the server. Recursive: a reply may dispatch the next call of its connection at once.
    std::recursive_mutex mutex;
    std::mt19937_64 random;
    std::int64_t highestFence = 0;
    SoakTime leaseUntil;
    std::vector<Running> running;
    std::map<std::string, std::int64_t> highestEnded; ///< by task: highest run that was stopped or has ended
    std::vector<soak_wire::EndedRow> ended;
    std::int64_t lastEnd = 0;
    std::vector<WaitingPoll> waitingPolls;
    std::vector<LateCall> lateCalls;
    std::vector<HttpReply> unanswered; ///< kept, since dropping one would send an answer
    SoakCapacity capacity;
    SoakTime capacityChangeAt;
    SoakTime crashAt = SoakTime::max();
    std::atomic<bool> isCrashed {false};
    SoakTime troubleDrawnAt;
    bool isTroubled = false;

    HttpServer server;
    std::thread ticker;
    std::thread registrant;
};

} // namespace agatedrum::test
