#include "cell_ledger_p.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace agatedrum {

namespace {

constexpr std::int64_t millisPerSecond = 1000;
/// Approximate size of an operation, and of a result in it, without bodies.
constexpr std::int64_t opBytes = 200;
constexpr std::int64_t resultBytes = 20;

std::int64_t bodyBytes(const std::vector<wire::TaskResult> &results)
{
    std::int64_t total = 0;
    for (const auto &result : results) {
        total += static_cast<std::int64_t>(result.body.size());
    }
    return total;
}

/// The results of a job, rebuilt from its outcomes when the bodies are dropped.
std::vector<wire::TaskResult> resultsOf(const LedgerJob &job)
{
    if (!job.areBodiesDropped) {
        return job.results;
    }
    std::vector<wire::TaskResult> results(job.outcomes.size());
    for (std::size_t i = 0; i < results.size(); ++i) {
        results[i].index = static_cast<std::int32_t>(i);
        results[i].outcome = static_cast<wire::Outcome::type>(job.outcomes[i]);
    }
    return results;
}

wire::RecordOp toOp(const LedgerJob &job, Time now)
{
    wire::RecordOp op;
    op.key = job.spec.key;
    op.__set_accepted(job.spec);
    op.cancelled = job.isCancelled;
    op.acceptedAtMs = job.acceptedAtMs;
    op.ageMicros = (now - job.acceptedAt).count();
    for (const auto &result : resultsOf(job)) {
        if (result.outcome != wire::Outcome::PENDING) {
            op.results.push_back(result);
        }
    }
    return op;
}

} // namespace

std::int64_t recordBytes(const wire::RecordOp &op)
{
    auto bytes = opBytes;
    for (const auto &task : op.accepted.tasks) {
        bytes += static_cast<std::int64_t>(task.body.size() + task.id.size());
    }
    for (const auto &result : op.results) {
        bytes += resultBytes + static_cast<std::int64_t>(result.body.size());
    }
    return bytes;
}

std::string ledgerKey(const wire::JobKey &key)
{
    return fmt::format("{}:{}{}", key.caller.size(), key.caller, key.submission);
}

wire::Refusal makeRefusal(wire::RefusalCode::type code, std::string message, bool notRun, std::int64_t retryAfterMs)
{
    wire::Refusal refusal;
    refusal.code = code;
    refusal.message = std::move(message);
    refusal.notRun = notRun;
    refusal.retryAfterMs = retryAfterMs;
    return refusal;
}

CellLedger::CellLedger(LedgerLimits limits)
    : limits(limits)
{
}

LedgerJob *CellLedger::find(const wire::JobKey &key)
{
    const auto found = this->byKey.find(ledgerKey(key));
    return found == this->byKey.end() ? nullptr : &found->second;
}

LedgerJob *CellLedger::find(JobNumber number)
{
    const auto found = this->byNumber.find(number);
    return found == this->byNumber.end() ? nullptr : &this->byKey.at(found->second);
}

Match CellLedger::match(const wire::JobSpec &spec) const
{
    const auto found = this->byKey.find(ledgerKey(spec.key));
    if (found == this->byKey.end()) {
        return Match::Unknown;
    }
    return found->second.spec.digest == spec.digest ? Match::Same : Match::OtherContent;
}

std::optional<wire::Refusal> CellLedger::refuseNew(const wire::JobSpec &spec, std::int64_t wallMs) const
{
    using Code = wire::RefusalCode;
    const auto skew = this->limits.skew.count();
    if (spec.tasks.empty() || spec.tasks.size() > AGATEDRUM_MAX_TASKS_PER_JOB) {
        return makeRefusal(
            Code::INVALID,
            fmt::format("a job has 1 to {} tasks, not {}", AGATEDRUM_MAX_TASKS_PER_JOB, spec.tasks.size()), true);
    }
    if (spec.submittedAtMs > wallMs + skew) {
        return makeRefusal(Code::INVALID, fmt::format("submittedAt lies more than {} ms ahead", skew), true);
    }
    if (spec.submittedAtMs < this->floor || spec.submittedAtMs < wallMs - this->limits.window.count()) {
        return makeRefusal(Code::TOO_OLD, "submittedAt is older than the record; an earlier submission may have run",
                           false);
    }
    if (this->byKey.size() >= this->limits.keys) {
        return makeRefusal(Code::LEDGER_FULL, "the cell holds its largest number of job keys", true, millisPerSecond);
    }
    return std::nullopt;
}

LedgerJob &CellLedger::add(wire::JobSpec spec, std::int64_t acceptedAtMs, Time acceptedAt)
{
    const auto key = ledgerKey(spec.key);
    auto &job = this->byKey[key];
    job.number = ++this->lastNumber;
    job.pending = static_cast<int>(spec.tasks.size());
    job.results.resize(spec.tasks.size());
    for (std::size_t i = 0; i < job.results.size(); ++i) {
        job.results[i].index = static_cast<std::int32_t>(i);
    }
    job.spec = std::move(spec);
    job.acceptedAtMs = acceptedAtMs;
    job.acceptedAt = acceptedAt;
    this->byNumber[job.number] = key;
    this->bySecond[job.spec.submittedAtMs / millisPerSecond].push_back(key);
    return job;
}

bool CellLedger::join(LedgerJob &job, const Waiter &waiter) const
{
    if (std::find(job.waiters.begin(), job.waiters.end(), waiter) != job.waiters.end()) {
        return true;
    }
    if (job.waiters.size() >= this->limits.waitersPerJob) {
        return false;
    }
    job.waiters.push_back(waiter);
    return true;
}

bool CellLedger::decide(LedgerJob &job, wire::TaskResult result, Time now)
{
    const auto index = static_cast<std::size_t>(result.index);
    if (result.index < 0 || index >= job.results.size() || result.outcome == wire::Outcome::PENDING
        || job.results[index].outcome != wire::Outcome::PENDING) {
        return false;
    }
    result.taskId.clear();
    job.results[index] = std::move(result);
    if (--job.pending == 0) {
        this->noteEnd(job, now);
    }
    return true;
}

void CellLedger::noteEnd(LedgerJob &job, Time now)
{
    job.endedAt = now;
    for (auto &task : job.spec.tasks) {
        std::string().swap(task.body);
    }
    job.answerBytes = bodyBytes(job.results);
    this->bytes += job.answerBytes;
    this->ended.emplace(now, job.number);
    this->dropOldestBodies();
}

void CellLedger::dropOldestBodies()
{
    while (this->bytes > this->limits.answerBytes && !this->ended.empty()) {
        const auto oldest = this->ended.begin()->second;
        this->ended.erase(this->ended.begin());
        if (auto *job = this->find(oldest)) {
            this->dropBodies(*job);
        }
    }
}

void CellLedger::dropBodies(LedgerJob &job)
{
    this->bytes -= job.answerBytes;
    job.answerBytes = 0;
    job.areBodiesDropped = true;
    std::vector<wire::TaskSpec>().swap(job.spec.tasks);
    if (job.outcomes.empty()) {
        for (const auto &result : job.results) {
            job.outcomes.push_back(static_cast<char>(result.outcome));
        }
    }
    std::vector<wire::TaskResult>().swap(job.results);
}

void CellLedger::forget(const wire::JobKey &key)
{
    const auto found = this->byKey.find(ledgerKey(key));
    if (found == this->byKey.end()) {
        return;
    }
    this->bytes -= found->second.answerBytes;
    this->byNumber.erase(found->second.number);
    this->byKey.erase(found);
}

void CellLedger::apply(const wire::RecordOp &op, Time now)
{
    if (op.forgotten) {
        this->forget(op.key);
        return;
    }
    auto *job = this->find(op.key);
    if (job == nullptr) {
        if (!op.__isset.accepted) {
            return;
        }
        auto spec = op.accepted;
        // A job whose bodies the owner dropped comes without tasks.
        spec.tasks.resize(std::max(spec.tasks.size(), op.results.size()));
        job = &this->add(std::move(spec), op.acceptedAtMs, now - Micros(op.ageMicros));
    }
    job->isCancelled = job->isCancelled || op.cancelled;
    for (const auto &result : op.results) {
        this->decide(*job, result, now);
    }
    if (op.__isset.accepted && op.accepted.tasks.empty() && job->hasEnded() && !job->areBodiesDropped) {
        this->dropBodies(*job);
    }
}

std::vector<wire::RecordOp> CellLedger::snapshotPart(JobNumber &after, std::int64_t bytes, Time now) const
{
    std::vector<wire::RecordOp> ops;
    for (auto next = this->byNumber.upper_bound(after); next != this->byNumber.end() && bytes > 0; ++next) {
        ops.push_back(toOp(this->byKey.at(next->second), now));
        bytes -= recordBytes(ops.back());
        after = next->first;
    }
    return ops;
}

JobNumber CellLedger::newest() const
{
    return this->lastNumber;
}

void CellLedger::expire(std::int64_t wallMs, Time now)
{
    while (!this->ended.empty() && now - this->ended.begin()->first >= this->limits.retention) {
        const auto number = this->ended.begin()->second;
        this->ended.erase(this->ended.begin());
        if (auto *job = this->find(number)) {
            this->dropBodies(*job);
        }
    }
    this->expireKeys(wallMs);
}

void CellLedger::expireKeys(std::int64_t wallMs)
{
    const auto cutoff = wallMs - this->limits.window.count() - this->limits.skew.count();
    // The wall clock may be set back later; a key that was dropped must stay refused.
    this->raiseFloor(cutoff);
    const auto cutoffSecond = cutoff / millisPerSecond;
    while (!this->bySecond.empty() && this->bySecond.begin()->first < cutoffSecond) {
        auto keys = std::move(this->bySecond.begin()->second);
        this->bySecond.erase(this->bySecond.begin());
        for (auto &key : keys) {
            const auto found = this->byKey.find(key);
            if (found == this->byKey.end()) {
                continue;
            }
            if (found->second.hasEnded() && found->second.areBodiesDropped) {
                this->forget(found->second.spec.key);
            } else {
                this->bySecond[cutoffSecond + 1].push_back(std::move(key));
            }
        }
    }
}

void CellLedger::raiseFloor(std::int64_t floorMs)
{
    this->floor = std::max(this->floor, floorMs);
}

std::int64_t CellLedger::floorMs() const
{
    return this->floor;
}

wire::JobAnswer CellLedger::answer(const LedgerJob &job, const wire::JobSpec &spec) const
{
    wire::JobAnswer answer;
    answer.key = job.spec.key;
    answer.done = job.hasEnded();
    answer.results = resultsOf(job);
    answer.complete = answer.done;
    for (std::size_t i = 0; i < answer.results.size(); ++i) {
        answer.complete = answer.complete && answer.results[i].outcome == wire::Outcome::FINISHED;
        if (i < spec.tasks.size()) {
            answer.results[i].taskId = spec.tasks[i].id;
        }
    }
    if (answer.done && job.areBodiesDropped) {
        answer.__set_refusal(
            makeRefusal(wire::RefusalCode::ANSWER_DROPPED, "the job has ended; its answer is no longer held", false));
    }
    return answer;
}

wire::JobAnswer CellLedger::answer(const LedgerJob &job) const
{
    return this->answer(job, job.spec);
}

std::size_t CellLedger::size() const
{
    return this->byKey.size();
}

std::int64_t CellLedger::answerBytes() const
{
    return this->bytes;
}

const std::unordered_map<std::string, LedgerJob> &CellLedger::jobs() const
{
    return this->byKey;
}

} // namespace agatedrum
