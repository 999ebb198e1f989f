#pragma once

#include "entry_core_p.h"
#include "entry_routes_p.h"
#include "entry_table_p.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>

namespace agatedrum {

/// Adds a number of bytes to a shared counter, and subtracts them on destruction. Not copyable.
class ByteReservation
{
public:
    ByteReservation() = default;
    /// Adds bytes to the counter at once. Precondition: the counter outlives this object.
    ByteReservation(std::atomic<std::int64_t> &counter, std::int64_t bytes);
    ~ByteReservation();
    ByteReservation(ByteReservation &&other) noexcept;
    ByteReservation &operator=(ByteReservation &&other) noexcept;
    ByteReservation(const ByteReservation &) = delete;
    ByteReservation &operator=(const ByteReservation &) = delete;

private:
    std::atomic<std::int64_t> *counter = nullptr;
    std::int64_t bytes = 0;
};

enum class JobCallKind { Submit, Cancel, Query };

/// A caller's request that is waiting for an owner's answer.
struct JobCall
{
    JobCallKind kind = JobCallKind::Submit;
    wire::JobSpec spec; ///< Cancel and Query set only the key and the service name
    ByteReservation reservedBytes; ///< size of the task ids and bodies, counted while the request is pending
    JobAnswerHandler reply;
    Time startedAt;
    Time timeoutAt; ///< when the request times out and its outcome is reported as unknown
    Time ownerWaitEnd; ///< when the request is refused if it could not be sent because the cell has no owner
    Time nextSendAt;
    Millis resendDelay {5000}; ///< delay before the request is resent if there is no answer
    /// delay before the request is resent after a temporary refusal, such as for lack of a lease
    Millis retryDelay {100};
    int attempts = 0;
    wire::Endpoint sentTo; ///< owner of the last attempt
    std::int64_t sentEpoch = 0; ///< epoch of the last attempt
};

/// Counters of EntryJobs, shown by dump().
struct EntryJobCounters
{
    std::atomic<std::uint64_t> requests {0};
    std::atomic<std::uint64_t> sent {0};
    std::atomic<std::uint64_t> sentAgain {0};
    std::atomic<std::uint64_t> notOwner {0};
    /// answers for a request that is no longer pending or that has another key
    std::atomic<std::uint64_t> unmatchedAnswers {0};
    std::atomic<std::uint64_t> timedOut {0};
};

/// Sends job requests to the owners of their cells, and resends them when the owner changes or does not answer.
/// Thread-safe.
class EntryJobs
{
public:
    EntryJobs(MessageSinkI &sink, const ClockI &clock, MemberLink &link, const EntryOptions &options,
              std::int64_t firstId);

    void start(JobCallKind kind, wire::JobSpec spec, const JobAnswerHandler &reply);
    /// Updates the routes from the newest view and resends the requests whose owner or epoch has changed.
    void reroute();
    void handleJobReply(const wire::JobReply &message, const wire::Endpoint &sender);
    void handleNotOwner(const wire::NotOwner &message, const wire::Endpoint &sender);
    void tick();

    std::size_t openCount() const;
    nlohmann::json dump() const;

private:
    std::optional<wire::Refusal> checkAdmission(JobCall &call);
    Time send(std::int64_t id, JobCall &call, Time now);
    Time nextDueAt(const JobCall &call) const;
    std::optional<Time> processDue(std::int64_t id, JobCall &call, Time now);
    bool hasNewOwner(const JobCall &call, const EntryRoutes &routeTable) const;
    void scheduleRetry(std::int64_t id, const wire::Endpoint &sender);
    std::shared_ptr<const EntryRoutes> routes() const;

    MessageSinkI &sink;
    const ClockI &clock;
    MemberLink &link;
    const EntryOptions options;
    /// total of JobCall::reservedBytes; must outlive calls, whose destruction updates it
    std::atomic<std::int64_t> bodyBytes {0};
    PendingCallTable<JobCall> calls;
    EntryJobCounters counters;

    mutable std::mutex mutex;
    std::shared_ptr<const EntryRoutes> currentRoutes; ///< guarded by mutex
};

/// Creates a refusal. The code NONE means that the outcome is unknown.
wire::Refusal makeRefusal(wire::RefusalCode::type code, std::string message, bool notRun, Millis retryAfter = {});

} // namespace agatedrum
