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

struct EntryOptions
{
    int shards = 16;
    std::size_t maxRequests = 20000; ///< that wait for an answer
    std::int64_t maxBodyBytes = AGATEDRUM_ENTRY_BODY_BYTES; ///< of the jobs that wait for an answer
    Millis requestTimeout {60000}; ///< then a job's outcome is unknown to the caller
    Millis controlTimeout {10000}; ///< for configurations and questions to the control group
    Millis ownerWait {AGATEDRUM_ENTRY_OWNER_WAIT_MS};
};

/// A job's answer: results, or a refusal. A refusal without a code means that the outcome is unknown.
/// May be called on any thread.
using JobAnswerHandler = std::function<void(const wire::JobAnswer &)>;
/// The control group's answer, or why there is none. May be called on any thread.
using ApplyHandler = std::function<void(const Result<wire::ApplyReply, wire::Refusal> &)>;
using ControlHandler = std::function<void(const Result<wire::ControlAnswer, wire::Refusal> &)>;

/// Routes requests to the owners of cells and to the control group, and answers to the requests.
/// Each handler is called exactly once. Thread-safe.
class EntryCore : public CoreI
{
public:
    EntryCore(MessageSinkI &sink, const ClockI &clock, MemberLink &link, EntryOptions options);
    ~EntryCore() override;

    /// Runs a job. Sends it again as long as that is safe and needed. Precondition: spec is complete but for the
    /// digest.
    void submit(wire::JobSpec spec, const JobAnswerHandler &reply);
    /// Stops a job; the answer is its state.
    void cancel(const wire::JobKey &key, const std::string &service, const JobAnswerHandler &reply);
    /// Asks for a job's state, which may be "not done".
    void query(const wire::JobKey &key, const std::string &service, const JobAnswerHandler &reply);

    /// Hands a configuration file to the control group.
    void apply(const std::string &text, const std::string &author, bool isDryRun, ApplyHandler reply);
    /// Asks the control group. See ControlQuery in the message definitions.
    void controlQuery(const std::string &kind, const std::string &argument, ControlHandler reply);

    /// The configuration in force as this entry knows it.
    wire::ConfigFile configuration() const;

    void handle(const Incoming &incoming) override;
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
