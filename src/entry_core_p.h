#pragma once

#include "agatedrum/config.h"
#include "agatedrum/result.h"
#include "base_clock_p.h"
#include "base_core_p.h"
#include "member_link_p.h"

#include <functional>
#include <memory>
#include <string>

namespace agatedrum {

/// Settings of an EntryCore.
struct EntryOptions
{
    int shards = 16; ///< number of shards of the table of pending jobs, each with its own lock
    std::size_t maxRequests = 20000; ///< maximum number of job requests waiting for an answer
    std::int64_t maxBodyBytes = AGATEDRUM_ENTRY_BODY_BYTES; ///< maximum total size of jobs waiting for an answer
    Millis requestTimeout {60000}; ///< after this, the outcome of a submission is reported as unknown
    Millis controlTimeout {10000}; ///< for requests to the control group, and for cancelling and querying jobs
    /// after this, a request is refused if its cell has no owner
    Millis ownerWaitTimeout {AGATEDRUM_ENTRY_OWNER_WAIT_MS};
};

/// Receives the answer for a job: its results or a refusal. A refusal with the code NONE means that the outcome is
/// unknown. May be called on any thread.
using JobAnswerHandler = std::function<void(const wire::JobAnswer &)>;
/// Receives the control group's answer, or a refusal that says why there is none. May be called on any thread.
using ApplyHandler = std::function<void(const Result<wire::ApplyReply, wire::Refusal> &)>;
using ControlHandler = std::function<void(const Result<wire::ControlAnswer, wire::Refusal> &)>;

/// The role "entry": forwards requests to the owners of cells and to the control group, and delivers their answers.
/// Each handler is called exactly once. Thread-safe.
class EntryCore : public CoreI
{
public:
    EntryCore(MessageSinkI &sink, const ClockI &clock, MemberLink &link, EntryOptions options);
    ~EntryCore() override;

    /// Submits a job to the owner of its cell, and resends it when the owner changes or does not answer.
    /// Precondition: every field of spec except the digest is set.
    void submit(wire::JobSpec spec, const JobAnswerHandler &reply);
    /// Cancels a job; the answer is the state of the job.
    void cancel(const wire::JobKey &key, const std::string &service, const JobAnswerHandler &reply);
    /// Queries the state of a job; the answer may be that the job is not done yet.
    void query(const wire::JobKey &key, const std::string &service, const JobAnswerHandler &reply);

    /// Sends a configuration file to the control group, to be applied or, in a dry run, only checked.
    void apply(const std::string &text, const std::string &author, bool isDryRun, ApplyHandler reply);
    /// Orders the control group to evacuate a failure domain, or to return it to service.
    void orderEvacuation(const std::string &failureDomain, bool isActive, const std::string &author,
                         ApplyHandler reply);
    /// Sends a query to the control group. See ControlQuery in the message definitions.
    void controlQuery(const std::string &kind, const std::string &argument, ControlHandler reply);

    /// Returns the configuration in force according to the newest view that this entry has received.
    wire::ConfigFile configuration() const;

    void handle(const IncomingMessage &incoming) override;
    void tick() override;
    nlohmann::json dump() const override;
    bool isReady() const override;
    void beginStop() override;
    bool isDrained() const override;
    std::int64_t configNumber() const override;

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace agatedrum
