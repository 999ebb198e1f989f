#include "entry_jobs_p.h"

#include "base_log_p.h"
#include "entry_key_p.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace agatedrum {

namespace {

constexpr auto component = "entry";
constexpr Millis maxResendDelay {20000};
constexpr Millis maxRetryDelay {1000};
constexpr Millis suggestedRetryDelay {1000};
/// Lets the owner's refusal due to a missed deadline arrive before the request times out at this entry.
constexpr Millis deadlineMargin {1000};

constexpr auto queueFullMessage = "too many pending requests at this entry";
constexpr auto unknownOutcomeMessage = "outcome unknown, resubmit under the same submission id";

wire::JobAnswer refusalAnswer(const wire::JobKey &key, const wire::Refusal &refusal)
{
    wire::JobAnswer answer;
    answer.key = key;
    answer.__set_refusal(refusal);
    return answer;
}

std::int64_t bodyBytesOf(const wire::JobSpec &spec)
{
    return std::accumulate(spec.tasks.begin(), spec.tasks.end(), std::int64_t {0},
                           [](std::int64_t sum, const wire::TaskSpec &task) {
                               return sum + static_cast<std::int64_t>(task.id.size() + task.body.size());
                           });
}

/// Returns whether the owner refused only because it cannot act at the moment, so that the request may be retried.
bool isTransient(const wire::JobAnswer &answer)
{
    using wire::RefusalCode;
    return answer.__isset.refusal
        && (answer.refusal.code == RefusalCode::NO_OWNER || answer.refusal.code == RefusalCode::LEASE_LOST
            || answer.refusal.code == RefusalCode::STOPPING);
}

/// Returns whether a final answer to a submission has exactly one result for each task.
bool hasAllResults(const JobCall &call, const wire::JobAnswer &answer)
{
    if (answer.__isset.refusal || call.kind != JobCallKind::Submit) {
        return true;
    }
    std::vector<bool> seen(call.spec.tasks.size(), false);
    for (const auto &result : answer.results) {
        const auto index = static_cast<std::size_t>(result.index);
        if (index >= seen.size() || seen[index] || result.outcome == wire::Outcome::PENDING) {
            return false;
        }
        seen[index] = true;
    }
    return answer.results.size() == seen.size();
}

/// Sorts the results in the order of the job's tasks. For a submission that was not refused, also sets the caller's
/// task ids and the flag for a complete job.
void orderResults(const JobCall &call, wire::JobAnswer &answer)
{
    std::sort(answer.results.begin(), answer.results.end(),
              [](const wire::TaskResult &a, const wire::TaskResult &b) { return a.index < b.index; });
    if (call.kind != JobCallKind::Submit || answer.__isset.refusal) {
        return;
    }
    for (auto &result : answer.results) {
        result.taskId = call.spec.tasks[static_cast<std::size_t>(result.index)].id;
    }
    answer.complete = std::all_of(answer.results.begin(), answer.results.end(), [](const wire::TaskResult &result) {
        return result.outcome == wire::Outcome::FINISHED;
    });
}

} // namespace

ByteReservation::ByteReservation(std::atomic<std::int64_t> &counter, std::int64_t bytes)
    : counter(&counter)
    , bytes(bytes)
{
    counter += bytes;
}

ByteReservation::~ByteReservation()
{
    if (this->counter != nullptr) {
        *this->counter -= this->bytes;
    }
}

ByteReservation::ByteReservation(ByteReservation &&other) noexcept
    : counter(std::exchange(other.counter, nullptr))
    , bytes(std::exchange(other.bytes, 0))
{
}

ByteReservation &ByteReservation::operator=(ByteReservation &&other) noexcept
{
    std::swap(this->counter, other.counter);
    std::swap(this->bytes, other.bytes);
    return *this;
}

wire::Refusal makeRefusal(wire::RefusalCode::type code, std::string message, bool notRun, Millis retryAfter)
{
    wire::Refusal refusal;
    refusal.code = code;
    refusal.message = std::move(message);
    refusal.notRun = notRun;
    refusal.retryAfterMs = retryAfter.count();
    return refusal;
}

EntryJobs::EntryJobs(MessageSinkI &sink, const ClockI &clock, MemberLink &link, const EntryOptions &options,
                     std::int64_t firstId)
    : sink(sink)
    , clock(clock)
    , link(link)
    , options(options)
    , calls(options.shards, options.maxRequests, firstId)
    , currentRoutes(std::make_shared<EntryRoutes>())
{
}

void EntryJobs::start(JobCallKind kind, wire::JobSpec spec, const JobAnswerHandler &reply)
{
    ++this->counters.requests;
    JobCall call;
    call.kind = kind;
    call.spec = std::move(spec);
    if (const auto refusal = this->checkAdmission(call)) {
        reply(refusalAnswer(call.spec.key, *refusal));
        return;
    }
    const auto now = this->clock.now();
    call.reply = reply;
    call.startedAt = now;
    call.timeoutAt = now + (kind == JobCallKind::Submit ? this->options.requestTimeout : this->options.controlTimeout);
    if (call.spec.deadlineMs > 0) {
        call.timeoutAt = std::min(call.timeoutAt, now + Millis(call.spec.deadlineMs) + deadlineMargin);
    }
    call.ownerWaitEnd = now + this->options.ownerWaitTimeout;
    call.nextSendAt = call.timeoutAt;
    const auto key = call.spec.key;
    const auto dueAt = this->nextDueAt(call);
    const auto id = this->calls.add(std::move(call), dueAt);
    if (id == 0) {
        reply(refusalAnswer(key,
                            makeRefusal(wire::RefusalCode::QUEUE_FULL, queueFullMessage, false, suggestedRetryDelay)));
        return;
    }
    this->calls.update(id, [this, id, now](JobCall &added) { return this->send(id, added, now); });
}

std::optional<wire::Refusal> EntryJobs::checkAdmission(JobCall &call)
{
    const auto state = this->routes()->state(call.spec.serviceName);
    if (state == RouteState::NeverKnown || state == RouteState::Removed) {
        // Another entry may have forwarded the job under a configuration that this entry has not received yet.
        const bool notRun = state == RouteState::NeverKnown && this->link.hasLease();
        return makeRefusal(wire::RefusalCode::UNKNOWN_SERVICE, "no service \"" + call.spec.serviceName + "\"", notRun);
    }
    call.reservedBytes = ByteReservation(this->bodyBytes, bodyBytesOf(call.spec));
    if (this->bodyBytes > this->options.maxBodyBytes) {
        return makeRefusal(wire::RefusalCode::QUEUE_FULL, queueFullMessage, false, suggestedRetryDelay);
    }
    return std::nullopt;
}

Time EntryJobs::nextDueAt(const JobCall &call) const
{
    const auto dueAt = std::min(call.timeoutAt, call.nextSendAt);
    return call.attempts == 0 ? std::min(dueAt, call.ownerWaitEnd) : dueAt;
}

Time EntryJobs::send(std::int64_t id, JobCall &call, Time now)
{
    const auto routeTable = this->routes();
    call.nextSendAt = call.timeoutAt;
    if (routeTable->state(call.spec.serviceName) != RouteState::Found) {
        return this->nextDueAt(call);
    }
    const auto &route = routeTable->route(call.spec.serviceName, call.spec.key);
    if (!route.owner) {
        return this->nextDueAt(call);
    }
    if (call.kind == JobCallKind::Submit) {
        wire::SubmitJob message;
        message.requestId = id;
        message.cell = route.cell;
        message.epoch = route.epoch;
        message.spec = call.spec;
        if (message.spec.deadlineMs > 0) {
            const auto elapsedMs = std::chrono::duration_cast<Millis>(now - call.startedAt).count();
            message.spec.deadlineMs = std::max<std::int64_t>(1, message.spec.deadlineMs - elapsedMs);
        }
        this->sink.send(*route.owner, std::move(message));
    } else if (call.kind == JobCallKind::Cancel) {
        wire::CancelJob message;
        message.requestId = id;
        message.cell = route.cell;
        message.key = call.spec.key;
        this->sink.send(*route.owner, std::move(message));
    } else {
        wire::QueryJob message;
        message.requestId = id;
        message.cell = route.cell;
        message.key = call.spec.key;
        this->sink.send(*route.owner, std::move(message));
    }
    ++(call.attempts == 0 ? this->counters.sent : this->counters.sentAgain);
    ++call.attempts;
    call.sentTo = *route.owner;
    call.sentEpoch = route.epoch;
    call.nextSendAt = now + call.resendDelay;
    call.resendDelay = std::min(2 * call.resendDelay, maxResendDelay);
    return this->nextDueAt(call);
}

bool EntryJobs::hasNewOwner(const JobCall &call, const EntryRoutes &routeTable) const
{
    if (routeTable.state(call.spec.serviceName) != RouteState::Found) {
        return false;
    }
    const auto &route = routeTable.route(call.spec.serviceName, call.spec.key);
    return route.owner && (call.attempts == 0 || *route.owner != call.sentTo || route.epoch != call.sentEpoch);
}

void EntryJobs::reroute()
{
    std::shared_ptr<const EntryRoutes> routeTable;
    {
        // Reading the view under the lock prevents a concurrent call from restoring older routes.
        const std::lock_guard lock(this->mutex);
        this->currentRoutes = std::make_shared<EntryRoutes>(this->link.view(), *this->currentRoutes);
        routeTable = this->currentRoutes;
    }
    const auto now = this->clock.now();
    this->calls.updateAll([this, now, &routeTable](std::int64_t id, JobCall &call) {
        return this->hasNewOwner(call, *routeTable) ? this->send(id, call, now) : this->nextDueAt(call);
    });
}

void EntryJobs::handleJobReply(const wire::JobReply &message, const wire::Endpoint &sender)
{
    auto answer = message.answer;
    bool mustRetry = false;
    auto call = this->calls.takeIf(message.requestId, [&](const JobCall &waiting) {
        if (!(waiting.spec.key == answer.key)) {
            return false;
        }
        // A refusal by a previous owner does not apply to the request that was sent to the current owner.
        const bool isRefusalOfPreviousOwner = answer.__isset.refusal && sender != waiting.sentTo;
        mustRetry = isTransient(answer);
        const bool isIntermediateState = waiting.kind == JobCallKind::Submit && !answer.done && !answer.__isset.refusal;
        return !isRefusalOfPreviousOwner && !mustRetry && !isIntermediateState;
    });
    if (mustRetry) {
        this->scheduleRetry(message.requestId, sender);
    } else if (!call) {
        ++this->counters.unmatchedAnswers;
    } else if (!hasAllResults(*call, answer)) {
        log(LogLevel::Error, component, "answer for {}/{} has missing, repeated or invalid results", answer.key.caller,
            answer.key.submission);
        call->reply(refusalAnswer(answer.key, makeRefusal(wire::RefusalCode::NONE, unknownOutcomeMessage, false)));
    } else {
        // If the job was sent more than once, another of the messages may still reach an owner and run the job.
        if (answer.__isset.refusal && call->attempts > 1) {
            answer.refusal.notRun = false;
        }
        orderResults(*call, answer);
        call->reply(answer);
    }
}

void EntryJobs::handleNotOwner(const wire::NotOwner &message, const wire::Endpoint &sender)
{
    ++this->counters.notOwner;
    this->scheduleRetry(message.requestId, sender);
}

void EntryJobs::scheduleRetry(std::int64_t id, const wire::Endpoint &sender)
{
    const auto now = this->clock.now();
    bool isRetryScheduled = false;
    this->calls.update(id, [&](JobCall &call) {
        if (call.sentTo != sender) {
            return this->nextDueAt(call);
        }
        isRetryScheduled = true;
        call.nextSendAt = now + call.retryDelay;
        call.retryDelay = std::min(2 * call.retryDelay, maxRetryDelay);
        return this->nextDueAt(call);
    });
    if (isRetryScheduled) {
        this->link.requestHeartbeat();
    }
}

std::optional<Time> EntryJobs::processDue(std::int64_t id, JobCall &call, Time now)
{
    if (now >= call.timeoutAt || (call.attempts == 0 && now >= call.ownerWaitEnd)) {
        return std::nullopt;
    }
    return this->send(id, call, now);
}

void EntryJobs::tick()
{
    const auto now = this->clock.now();
    const auto ended = this->calls.processDue(
        now, [this, now](std::int64_t id, JobCall &call) { return this->processDue(id, call, now); });
    for (const auto &call : ended) {
        ++this->counters.timedOut;
        call.reply(refusalAnswer(call.spec.key,
                                 call.attempts == 0
                                     ? makeRefusal(wire::RefusalCode::NO_OWNER,
                                                   "the job's cell has no owner; " + std::string(unknownOutcomeMessage),
                                                   false, suggestedRetryDelay)
                                     : makeRefusal(wire::RefusalCode::NONE, unknownOutcomeMessage, false)));
    }
}

std::size_t EntryJobs::openCount() const
{
    return this->calls.size();
}

nlohmann::json EntryJobs::dump() const
{
    const auto &counters = this->counters;
    return {{"openJobs", this->calls.size()},
            {"bodyBytes", this->bodyBytes.load()},
            {"routes", this->routes()->dump()},
            {"counters",
             {{"requests", counters.requests.load()},
              {"sent", counters.sent.load()},
              {"sentAgain", counters.sentAgain.load()},
              {"notOwner", counters.notOwner.load()},
              {"unmatchedAnswers", counters.unmatchedAnswers.load()},
              {"timedOut", counters.timedOut.load()}}}};
}

std::shared_ptr<const EntryRoutes> EntryJobs::routes() const
{
    const std::lock_guard lock(this->mutex);
    return this->currentRoutes;
}

} // namespace agatedrum
