#pragma once

#include "agatedrum/config.h"
#include "agatedrum_types.h"
#include "base_clock_p.h"
#include "cell_scheduler_p.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace agatedrum {

/// A request that waits for the answer of a job.
struct Waiter
{
    std::int64_t requestId = 0;
    wire::Endpoint entry;
    wire::ProcessId sender;

    friend bool operator==(const Waiter &a, const Waiter &b)
    {
        return a.requestId == b.requestId && a.sender == b.sender;
    }
};

/// Result of comparing a submission with the job that the ledger holds under the same key.
enum class SubmissionMatch { UnknownKey, SameContent, DifferentContent };

/// One job of a cell.
struct LedgerJob
{
    JobNumber number = 0;
    wire::JobSpec spec; ///< task bodies are dropped when the job has ended
    std::vector<wire::TaskResult> results; ///< one per task, PENDING until it has an outcome; empty without bodies
    std::string outcomes; ///< one byte per task; filled only when the bodies have been dropped
    int pending = 0; ///< number of tasks without an outcome
    bool isCancelled = false;
    bool areBodiesDropped = false;
    std::int64_t acceptedAtMs = 0;
    Time acceptedAt;
    Time endedAt;
    std::int64_t answerBytes = 0;
    std::vector<Waiter> waiters;

    bool hasEnded() const
    {
        return this->pending == 0;
    }
};

/// Bounds of a ledger's size and of the time for which it keeps entries.
struct LedgerLimits
{
    std::size_t maxKeys = AGATEDRUM_MAX_LEDGER_KEYS;
    std::int64_t maxAnswerBytes = AGATEDRUM_LEDGER_BYTES;
    std::size_t maxWaitersPerJob = 64;
    Millis submissionWindow {AGATEDRUM_SUBMISSION_WINDOW_MS};
    Millis answerRetention {AGATEDRUM_ANSWER_RETENTION_MS};
    Millis maxClockSkew {AGATEDRUM_MAX_CLOCK_SKEW_MS};
};

/// Jobs of one cell by key. Keeps every key of the submission window; when the byte limit for answers is exceeded,
/// drops the bodies of the oldest answers and keeps their outcomes. Not thread-safe; guarded by the lock of its cell.
class CellLedger
{
public:
    explicit CellLedger(LedgerLimits limits = {});
    CellLedger(CellLedger &&) = default;
    CellLedger &operator=(CellLedger &&) = default;

    /// @return the job, or nullptr if there is none. The pointer stays valid until the key is removed or expires.
    LedgerJob *find(const wire::JobKey &key);
    LedgerJob *find(JobNumber number);
    /// Compares a submission with the job that is held under its key.
    SubmissionMatch match(const wire::JobSpec &spec) const;
    /// Checks whether a submission with an unknown key may become a job.
    /// @return the refusal, or std::nullopt if the job may be added.
    std::optional<wire::Refusal> validateNewJob(const wire::JobSpec &spec, std::int64_t wallMs) const;

    /// Adds a new job with all tasks pending. Precondition: its key is unknown.
    LedgerJob &add(wire::JobSpec spec, std::int64_t acceptedAtMs, Time acceptedAt);
    /// Adds a request that waits for the job's answer. A request that is already in the list is not added again.
    /// @return false if the job has reached the limit of waiting requests.
    bool addWaiter(LedgerJob &job, const Waiter &waiter) const;
    /// Sets the outcome of one task. An outcome that is already set is not changed.
    /// @return false if the task already has an outcome or does not exist, or if the outcome is PENDING.
    bool setResult(LedgerJob &job, wire::TaskResult result, Time now);
    /// Removes the job with this key, if there is one.
    void remove(const wire::JobKey &key);

    /// Applies an operation that another owner recorded. Idempotent.
    void apply(const wire::RecordOp &op, Time now);
    /// Returns the next part of a snapshot of the ledger, as operations that rebuild the jobs in an empty ledger.
    /// @param lastJob last job of the previous part, 0 for the first part. Set to the last job of this part.
    /// @param bytesLeft approximate size at which the part ends.
    /// @return an empty list if no job is left.
    std::vector<wire::RecordOp> snapshotPart(JobNumber &lastJob, std::int64_t bytesLeft, Time now) const;
    /// Returns the number of the newest job.
    JobNumber newestJobNumber() const;

    /// Drops answer bodies whose retention has expired, and ended jobs whose submission window has passed.
    void expire(std::int64_t wallMs, Time now);
    /// Sets the minimum submission time: unknown submissions from before it are refused. Never lowers it.
    void raiseMinSubmittedAt(std::int64_t minSubmittedAtMs);
    std::int64_t minSubmittedAtMs() const;

    /// Returns the answer with the outcomes known so far. Takes the task ids from the given spec, since the ledger
    /// drops its own together with the bodies.
    wire::JobAnswer answer(const LedgerJob &job, const wire::JobSpec &spec) const;
    wire::JobAnswer answer(const LedgerJob &job) const;

    std::size_t size() const;
    std::int64_t answerBytes() const;
    const std::unordered_map<std::string, LedgerJob> &jobs() const;

private:
    void markEnded(LedgerJob &job, Time now);
    void dropBodies(LedgerJob &job);
    void dropOldestBodies();
    void expireKeys(std::int64_t wallMs);

    LedgerLimits limits;
    std::unordered_map<std::string, LedgerJob> jobsByKey;
    std::map<JobNumber, std::string> keysByNumber;
    std::map<std::int64_t, std::vector<std::string>> keysBySecond; ///< keys by submittedAt in whole seconds
    std::multimap<Time, JobNumber> ended; ///< ended jobs whose answers still have bodies, by time of their end
    JobNumber lastNumber = 0;
    std::int64_t storedAnswerBytes = 0;
    std::int64_t minSubmissionTimeMs = 0;
};

/// Returns the approximate size of an operation on the wire, in bytes.
std::int64_t estimateOpBytes(const wire::RecordOp &op);

/// Returns the key as one string. Different keys give different strings.
std::string ledgerKey(const wire::JobKey &key);

wire::Refusal makeRefusal(wire::RefusalCode::type code, std::string message, bool notRun,
                          std::int64_t retryAfterMs = 0);

} // namespace agatedrum
