#pragma once

#include "entry_core_p.h"
#include "entry_routes_p.h"
#include "entry_table_p.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>

namespace agatedrum {

/// Share of a bounded number of bytes, given back on destruction.
class ByteShare
{
public:
    ByteShare() = default;
    /// Precondition: used outlives this object. Counts bytes at once.
    ByteShare(std::atomic<std::int64_t> &used, std::int64_t bytes);
    ~ByteShare();
    ByteShare(ByteShare &&other) noexcept;
    ByteShare &operator=(ByteShare &&other) noexcept;
    ByteShare(const ByteShare &) = delete;
    ByteShare &operator=(const ByteShare &) = delete;

private:
    std::atomic<std::int64_t> *used = nullptr;
    std::int64_t bytes = 0;
};

enum class JobCallKind { Submit, Cancel, Query };

/// One request of a caller that waits for an owner's answer.
struct JobCall
{
    JobCallKind kind = JobCallKind::Submit;
    wire::JobSpec spec; ///< for Cancel and Query only key and service
    ByteShare share;
    JobAnswerHandler reply;
    Time startedAt;
    Time limit; ///< when the outcome is reported as unknown
    Time ownerLimit; ///< when a request that was never sent is refused
    Time nextSend;
    Millis silentDelay {5000}; ///< until a request without any answer is sent again
    Millis refusedDelay {100}; ///< until a request is sent again to an owner that refused it for lack of a lease
    int attempts = 0;
    wire::Endpoint sentTo;
    std::int64_t sentEpoch = 0;
};

struct EntryJobCounters
{
    std::atomic<std::uint64_t> requests {0};
    std::atomic<std::uint64_t> sent {0};
    std::atomic<std::uint64_t> sentAgain {0};
    std::atomic<std::uint64_t> notOwner {0};
    std::atomic<std::uint64_t> unmatched {0}; ///< answers for a request that has gone, or of another key
    std::atomic<std::uint64_t> timedOut {0};
};

/// Requests for jobs: sends each to the owner of its cell and again after a change of owner. Thread-safe.
class EntryJobs
{
public:
    EntryJobs(MessageSinkI &sink, const ClockI &clock, MemberLink &link, const EntryOptions &options,
              std::int64_t firstId);

    void start(JobCallKind kind, wire::JobSpec spec, const JobAnswerHandler &reply);
    /// Takes over the newest view and sends what has another owner now.
    void reroute();
    void handleReply(const wire::JobReply &message, const wire::Endpoint &sender);
    void handleNotOwner(const wire::NotOwner &message, const wire::Endpoint &sender);
    void tick();

    std::size_t open() const;
    nlohmann::json dump() const;

private:
    std::optional<wire::Refusal> refuseEarly(JobCall &call);
    Time send(std::int64_t id, JobCall &call, Time now);
    Time dueAfter(const JobCall &call) const;
    std::optional<Time> visitDue(std::int64_t id, JobCall &call, Time now);
    bool hasMoved(const JobCall &call, const EntryRoutes &table) const;
    void retryLater(std::int64_t id, const wire::Endpoint &sender);
    std::shared_ptr<const EntryRoutes> routes() const;

    MessageSinkI &sink;
    const ClockI &clock;
    MemberLink &link;
    const EntryOptions options;
    std::atomic<std::int64_t> bodyBytes {0}; ///< outlives the calls, which count in it
    EntryTable<JobCall> calls;
    EntryJobCounters counters;

    mutable std::mutex mutex;
    std::shared_ptr<const EntryRoutes> current; ///< guarded by mutex
};

/// Refusal of a job. A code of NONE means that the outcome is unknown.
wire::Refusal makeRefusal(wire::RefusalCode::type code, std::string message, bool notRun, Millis retryAfter = {});

} // namespace agatedrum
