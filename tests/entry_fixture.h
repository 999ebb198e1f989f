#pragma once

#include "entry_core_p.h"
#include "fakes.h"

#include <string>
#include <vector>

namespace agatedrum::test {

inline const std::string entryConfig = "number: 1\nservices:\n  - name: visits\n    cells: 2\n...\n";

/// Creates a view with one cell of the service for each port of an owner; port 0 means that the cell has no owner.
inline wire::ClusterView entryView(std::int64_t version, const std::vector<int> &ownerPorts, std::int64_t epoch = 1)
{
    wire::ClusterView view;
    view.version = version;
    view.config.number = 1;
    view.config.text = entryConfig;
    for (std::size_t i = 0; i < ownerPorts.size(); ++i) {
        wire::CellView cell;
        cell.cell = static_cast<std::int32_t>(10 + i);
        cell.serviceName = "visits";
        cell.epoch = epoch;
        if (ownerPorts[i] != 0) {
            wire::MemberRef owner;
            owner.id = processId("owner-" + std::to_string(ownerPorts[i]));
            owner.address = endpoint(ownerPorts[i]);
            cell.__set_owner(owner);
        }
        view.cells.push_back(cell);
    }
    return view;
}

/// Creates a job with the given number of tasks.
inline wire::JobSpec jobSpec(const std::string &submission, int tasks = 2)
{
    wire::JobSpec spec;
    spec.key.caller = "desk";
    spec.key.submission = submission;
    spec.team = "bookings";
    spec.serviceName = "visits";
    spec.submittedAtMs = 1700000000000;
    for (int i = 0; i < tasks; ++i) {
        wire::TaskSpec task;
        task.id = "t" + std::to_string(i);
        task.body = "body";
        spec.tasks.push_back(task);
    }
    return spec;
}

/// Creates an owner's answer in which every task has finished. The results are in reverse order.
inline wire::JobReply finishedReply(const wire::SubmitJob &job)
{
    wire::JobReply reply;
    reply.requestId = job.requestId;
    reply.answer.key = job.spec.key;
    reply.answer.done = true;
    reply.answer.complete = true;
    for (std::size_t i = job.spec.tasks.size(); i-- > 0;) {
        wire::TaskResult result;
        result.index = static_cast<std::int32_t>(i);
        result.outcome = wire::Outcome::FINISHED;
        result.status = 200;
        result.body = "done-" + std::to_string(i);
        reply.answer.results.push_back(result);
    }
    return reply;
}

/// Creates an owner's answer that refuses the job as not run.
inline wire::JobReply refusalReply(const wire::SubmitJob &job, wire::RefusalCode::type code)
{
    wire::JobReply reply;
    reply.requestId = job.requestId;
    reply.answer.key = job.spec.key;
    wire::Refusal refusal;
    refusal.code = code;
    refusal.notRun = true;
    reply.answer.__set_refusal(refusal);
    return reply;
}

/// An entry whose sent messages are recorded and whose clock is advanced by the test.
struct EntryFixture
{
    EntryFixture()
        : link(sink, clock, memberOptions())
        , core(sink, clock, link, entryOptions())
    {
    }

    static MemberOptions memberOptions()
    {
        MemberOptions options;
        options.self = processId("entry-1");
        options.role = wire::Role::ENTRY;
        options.control = {{"c1", endpoint(1)}, {"c2", endpoint(2)}};
        return options;
    }
    static EntryOptions entryOptions()
    {
        EntryOptions options;
        options.maxRequests = 3;
        options.maxBodyBytes = 100;
        return options;
    }

    void receive(int port, Payload payload)
    {
        this->core.handle(incoming("peer", wire::Role::OWNER, port, std::move(payload)));
    }
    void receiveView(std::int64_t version, const std::vector<int> &ownerPorts, std::int64_t epoch = 1)
    {
        this->receive(1, entryView(version, ownerPorts, epoch));
    }
    /// Receives the control leader's answer to a heartbeat sent at the current time, which renews the lease.
    void renewLease()
    {
        wire::HeartbeatReply reply;
        reply.accepted = true;
        reply.leader = "c1";
        reply.sentAtMicros = this->clock.now().time_since_epoch().count();
        this->core.handle(incoming("c1", wire::Role::CONTROL, 1, reply));
    }
    void submit(const wire::JobSpec &spec)
    {
        this->core.submit(spec, [this](const wire::JobAnswer &answer) { this->answers.push_back(answer); });
    }
    void advanceTime(Millis time)
    {
        this->clock.advance(time);
        this->core.tick();
    }
    /// Returns the submissions sent since the last call, and stores all messages sent in lastSentMessages.
    std::vector<wire::SubmitJob> takeSentJobs()
    {
        auto jobs = this->sink.all<wire::SubmitJob>();
        this->lastSentMessages = this->sink.take();
        return jobs;
    }

    ManualClock clock;
    RecordingSink sink;
    MemberLink link;
    EntryCore core;
    std::vector<wire::JobAnswer> answers;
    std::vector<RecordingSink::Sent> lastSentMessages;
};

} // namespace agatedrum::test
