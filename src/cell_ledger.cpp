#include "cell_ledger_p.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace agatedrum {

namespace {

constexpr std::int64_t millisPerSecond = 1000;
/// Approximate size on the wire of an operation, and of a result in it, without bodies.
constexpr std::int64_t opOverheadBytes = 200;
constexpr std::int64_t resultOverheadBytes = 20;

std::int64_t bodyBytes(const std::vector<wire::TaskResult> &results)
{
    std::int64_t total = 0;
    for (const auto &result : results) {
        total += static_cast<std::int64_t>(result.body.size());
    }
    return total;
}

/// Returns the results of a job. Rebuilds them from the outcomes if the bodies have been dropped.
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

wire::RecordOp toRecordOp(const LedgerJob &job, Time now)
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

std::int64_t estimateOpBytes(const wire::RecordOp &op)
{
    auto bytes = opOverheadBytes;
    for (const auto &task : op.accepted.tasks) {
        bytes += static_cast<std::int64_t>(task.body.size() + task.id.size());
    }
    for (const auto &result : op.results) {
        bytes += resultOverheadBytes + static_cast<std::int64_t>(result.body.size());
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
    const auto found = this->jobsByKey.find(ledgerKey(key));
    return found == this->jobsByKey.end() ? nullptr : &found->second;
}

LedgerJob *CellLedger::find(JobNumber number)
{
    const auto found = this->keysByNumber.find(number);
    return found == this->keysByNumber.end() ? nullptr : &this->jobsByKey.at(found->second);
}

SubmissionMatch CellLedger::match(const wire::JobSpec &spec) const
{
    const auto found = this->jobsByKey.find(ledgerKey(spec.key));
    if (found == this->jobsByKey.end()) {
        return SubmissionMatch::UnknownKey;
    }
    return found->second.spec.digest == spec.digest ? SubmissionMatch::SameContent : SubmissionMatch::DifferentContent;
}

std::optional<wire::Refusal> CellLedger::validateNewJob(const wire::JobSpec &spec, std::int64_t wallMs) const
{
    using Code = wire::RefusalCode;
    const auto maxClockSkew = this->limits.maxClockSkew.count();
    if (spec.tasks.empty() || spec.tasks.size() > AGATEDRUM_MAX_TASKS_PER_JOB) {
        return makeRefusal(
            Code::INVALID,
            fmt::format("a job has 1 to {} tasks, not {}", AGATEDRUM_MAX_TASKS_PER_JOB, spec.tasks.size()), true);
    }
    if (spec.submittedAtMs > wallMs + maxClockSkew) {
        return makeRefusal(Code::INVALID, fmt::format("submittedAt is more than {} ms in the future", maxClockSkew),
                           true);
    }
    if (spec.submittedAtMs < this->minSubmissionTimeMs
        || spec.submittedAtMs < wallMs - this->limits.submissionWindow.count()) {
        return makeRefusal(Code::TOO_OLD,
                           "submittedAt is before the time covered by the records; an earlier submission may have run",
                           false);
    }
    if (this->jobsByKey.size() >= this->limits.maxKeys) {
        return makeRefusal(Code::LEDGER_FULL, "the cell holds its maximum number of job keys", true, millisPerSecond);
    }
    return std::nullopt;
}

LedgerJob &CellLedger::add(wire::JobSpec spec, std::int64_t acceptedAtMs, Time acceptedAt)
{
    const auto key = ledgerKey(spec.key);
    auto &job = this->jobsByKey[key];
    job.number = ++this->lastNumber;
    job.pending = static_cast<int>(spec.tasks.size());
    job.results.resize(spec.tasks.size());
    for (std::size_t i = 0; i < job.results.size(); ++i) {
        job.results[i].index = static_cast<std::int32_t>(i);
    }
    job.spec = std::move(spec);
    job.acceptedAtMs = acceptedAtMs;
    job.acceptedAt = acceptedAt;
    this->keysByNumber[job.number] = key;
    this->keysBySecond[job.spec.submittedAtMs / millisPerSecond].push_back(key);
    return job;
}

bool CellLedger::addWaiter(LedgerJob &job, const Waiter &waiter) const
{
    if (std::find(job.waiters.begin(), job.waiters.end(), waiter) != job.waiters.end()) {
        return true;
    }
    if (job.waiters.size() >= this->limits.maxWaitersPerJob) {
        return false;
    }
    job.waiters.push_back(waiter);
    return true;
}

bool CellLedger::setResult(LedgerJob &job, wire::TaskResult result, Time now)
{
    const auto index = static_cast<std::size_t>(result.index);
    if (result.index < 0 || index >= job.results.size() || result.outcome == wire::Outcome::PENDING
        || job.results[index].outcome != wire::Outcome::PENDING) {
        return false;
    }
    result.taskId.clear();
    job.results[index] = std::move(result);
    if (--job.pending == 0) {
        this->markEnded(job, now);
    }
    return true;
}

void CellLedger::markEnded(LedgerJob &job, Time now)
{
    job.endedAt = now;
    for (auto &task : job.spec.tasks) {
        std::string().swap(task.body);
    }
    job.answerBytes = bodyBytes(job.results);
    this->storedAnswerBytes += job.answerBytes;
    this->ended.emplace(now, job.number);
    this->dropOldestBodies();
}

void CellLedger::dropOldestBodies()
{
    while (this->storedAnswerBytes > this->limits.maxAnswerBytes && !this->ended.empty()) {
        const auto oldest = this->ended.begin()->second;
        this->ended.erase(this->ended.begin());
        if (auto *job = this->find(oldest)) {
            this->dropBodies(*job);
        }
    }
}

void CellLedger::dropBodies(LedgerJob &job)
{
    this->storedAnswerBytes -= job.answerBytes;
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

void CellLedger::remove(const wire::JobKey &key)
{
    const auto found = this->jobsByKey.find(ledgerKey(key));
    if (found == this->jobsByKey.end()) {
        return;
    }
    this->storedAnswerBytes -= found->second.answerBytes;
    this->keysByNumber.erase(found->second.number);
    this->jobsByKey.erase(found);
}

void CellLedger::apply(const wire::RecordOp &op, Time now)
{
    if (op.forgotten) {
        this->remove(op.key);
        return;
    }
    auto *job = this->find(op.key);
    if (job == nullptr) {
        if (!op.__isset.accepted) {
            return;
        }
        auto spec = op.accepted;
        // The spec of a job whose bodies the owner has dropped has no tasks.
        spec.tasks.resize(std::max(spec.tasks.size(), op.results.size()));
        job = &this->add(std::move(spec), op.acceptedAtMs, now - Micros(op.ageMicros));
    }
    job->isCancelled = job->isCancelled || op.cancelled;
    for (const auto &result : op.results) {
        this->setResult(*job, result, now);
    }
    if (op.__isset.accepted && op.accepted.tasks.empty() && job->hasEnded() && !job->areBodiesDropped) {
        this->dropBodies(*job);
    }
}

std::vector<wire::RecordOp> CellLedger::snapshotPart(JobNumber &lastJob, std::int64_t bytesLeft, Time now) const
{
    std::vector<wire::RecordOp> ops;
    for (auto next = this->keysByNumber.upper_bound(lastJob); next != this->keysByNumber.end() && bytesLeft > 0;
         ++next) {
        ops.push_back(toRecordOp(this->jobsByKey.at(next->second), now));
        bytesLeft -= estimateOpBytes(ops.back());
        lastJob = next->first;
    }
    return ops;
}

JobNumber CellLedger::newestJobNumber() const
{
    return this->lastNumber;
}

void CellLedger::expire(std::int64_t wallMs, Time now)
{
    while (!this->ended.empty() && now - this->ended.begin()->first >= this->limits.answerRetention) {
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
    const auto cutoff = wallMs - this->limits.submissionWindow.count() - this->limits.maxClockSkew.count();
    // The wall clock may be set back later. Submissions with a key that has expired must still be refused.
    this->raiseMinSubmittedAt(cutoff);
    const auto cutoffSecond = cutoff / millisPerSecond;
    while (!this->keysBySecond.empty() && this->keysBySecond.begin()->first < cutoffSecond) {
        auto keys = std::move(this->keysBySecond.begin()->second);
        this->keysBySecond.erase(this->keysBySecond.begin());
        for (auto &key : keys) {
            const auto found = this->jobsByKey.find(key);
            if (found == this->jobsByKey.end()) {
                continue;
            }
            if (found->second.hasEnded() && found->second.areBodiesDropped) {
                this->remove(found->second.spec.key);
            } else {
                this->keysBySecond[cutoffSecond + 1].push_back(std::move(key));
            }
        }
    }
}

void CellLedger::raiseMinSubmittedAt(std::int64_t minSubmittedAtMs)
{
    this->minSubmissionTimeMs = std::max(this->minSubmissionTimeMs, minSubmittedAtMs);
}

std::int64_t CellLedger::minSubmittedAtMs() const
{
    return this->minSubmissionTimeMs;
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
            makeRefusal(wire::RefusalCode::ANSWER_DROPPED, "the job has ended; its answer is no longer stored", false));
    }
    return answer;
}

wire::JobAnswer CellLedger::answer(const LedgerJob &job) const
{
    return this->answer(job, job.spec);
}

std::size_t CellLedger::size() const
{
    return this->jobsByKey.size();
}

std::int64_t CellLedger::answerBytes() const
{
    return this->storedAnswerBytes;
}

const std::unordered_map<std::string, LedgerJob> &CellLedger::jobs() const
{
    return this->jobsByKey;
}

} // namespace agatedrum
