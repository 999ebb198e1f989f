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

/// How a submission relates to the job that the ledger holds under its key.
enum class Match { Unknown, Same, OtherContent };

/// One job of a cell.
struct LedgerJob
{
    JobNumber number = 0;
    wire::JobSpec spec; ///< task bodies are dropped when the job has ended
    std::vector<wire::TaskResult> results; ///< one for each task, PENDING until decided; empty without bodies
    std::string outcomes; ///< one byte for each task, only without bodies
    int pending = 0; ///< tasks without an outcome
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

struct LedgerLimits
{
    std::size_t keys = AGATEDRUM_MAX_LEDGER_KEYS;
    std::int64_t answerBytes = AGATEDRUM_LEDGER_BYTES;
    std::size_t waitersPerJob = 64;
    Millis window {AGATEDRUM_SUBMISSION_WINDOW_MS};
    Millis retention {AGATEDRUM_ANSWER_RETENTION_MS};
    Millis skew {AGATEDRUM_MAX_CLOCK_SKEW_MS};
};

/// Jobs of one cell by key. Holds every key of the submission window; drops answer bodies first when space runs out.
/// Not thread-safe; guarded by the lock of its cell.
class CellLedger
{
public:
    explicit CellLedger(LedgerLimits limits = {});
    CellLedger(CellLedger &&) = default;
    CellLedger &operator=(CellLedger &&) = default;

    /// @return the job, or nullptr. The pointer stays valid until the key is forgotten or expires.
    LedgerJob *find(const wire::JobKey &key);
    LedgerJob *find(JobNumber number);
    /// Compares a submission with what is held under its key.
    Match match(const wire::JobSpec &spec) const;
    /// Why a submission with an unknown key may not become a job, or nothing.
    std::optional<wire::Refusal> refuseNew(const wire::JobSpec &spec, std::int64_t wallMs) const;

    /// Enters a new job with all tasks pending. Precondition: its key is unknown.
    LedgerJob &add(wire::JobSpec spec, std::int64_t acceptedAtMs, Time acceptedAt);
    /// Adds a request that waits for the job's answer; the same request counts once.
    /// @return false when the job's bound of waiting requests is reached.
    bool join(LedgerJob &job, const Waiter &waiter) const;
    /// Sets the outcome of one task. The first outcome stands.
    /// @return false when the task already has one or does not exist.
    bool decide(LedgerJob &job, wire::TaskResult result, Time now);
    /// Removes a job of which nothing ran.
    void forget(const wire::JobKey &key);

    /// Applies what another owner recorded. Repeating an operation changes nothing.
    void apply(const wire::RecordOp &op, Time now);
    /// Part of everything held, as operations that rebuild it in an empty ledger.
    /// @param after last job of the part before, 0 to begin. Moved to the last job of this part.
    /// @param bytes approximate size at which the part ends.
    /// @return nothing when no job is left.
    std::vector<wire::RecordOp> snapshotPart(JobNumber &after, std::int64_t bytes, Time now) const;
    /// Number of the newest job.
    JobNumber newest() const;

    /// Drops bodies past their retention and keys past the window.
    void expire(std::int64_t wallMs, Time now);
    /// Refuses unknown submissions from before the given time from now on. Never lowers the floor.
    void raiseFloor(std::int64_t floorMs);
    std::int64_t floorMs() const;

    /// The answer as it stands. Task ids come from the given spec, since the ledger drops them with the bodies.
    wire::JobAnswer answer(const LedgerJob &job, const wire::JobSpec &spec) const;
    wire::JobAnswer answer(const LedgerJob &job) const;

    std::size_t size() const;
    std::int64_t answerBytes() const;
    const std::unordered_map<std::string, LedgerJob> &jobs() const;

private:
    void noteEnd(LedgerJob &job, Time now);
    void dropBodies(LedgerJob &job);
    void dropOldestBodies();
    void expireKeys(std::int64_t wallMs);

    LedgerLimits limits;
    std::unordered_map<std::string, LedgerJob> byKey;
    std::map<JobNumber, std::string> byNumber;
    std::map<std::int64_t, std::vector<std::string>> bySecond; ///< keys by the second of submittedAt
    std::multimap<Time, JobNumber> ended; ///< jobs whose answers still have bodies, oldest first
    JobNumber lastNumber = 0;
    std::int64_t bytes = 0;
    std::int64_t floor = 0;
};

/// Approximate bytes of an operation on the wire.
std::int64_t recordBytes(const wire::RecordOp &op);

/// The key as one string, distinct for distinct keys.
std::string ledgerKey(const wire::JobKey &key);

wire::Refusal makeRefusal(wire::RefusalCode::type code, std::string message, bool notRun,
                          std::int64_t retryAfterMs = 0);

} // namespace agatedrum
