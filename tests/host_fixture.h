#pragma once

#include "fakes.h"
#include "host_core_p.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace agatedrum::test {

/// Backend server client that records all orders. The test answers them.
class FakeTaskServer : public TaskServerI
{
public:
    template<typename Order, typename Reply>
    struct Call
    {
        Order order;
        std::function<void(const Reply &)> reply;
    };

    void start(const StartOrder &order, std::function<void(const OrderReply &)> reply) override
    {
        this->starts.push_back({order, std::move(reply)});
    }
    void stop(const StopOrder &order, std::function<void(const OrderReply &)> reply) override
    {
        this->stops.push_back({order, std::move(reply)});
    }
    void poll(const PollOrder &order, std::function<void(const PollReply &)> reply) override
    {
        this->polls.push_back({order, std::move(reply)});
    }

    std::vector<Call<StartOrder, OrderReply>> starts;
    std::vector<Call<StopOrder, OrderReply>> stops;
    std::vector<Call<PollOrder, PollReply>> polls;
};

/// A host for a backend server with 16 cores. The test simulates the backend server and the entries.
struct HostFixture
{
    ManualClock clock;
    RecordingSink sink;
    MemberLink link;
    FakeTaskServer server;
    HostCore core;
    std::int64_t lastOrder = 0;
    std::vector<EndedTask> endedTasks;

    explicit HostFixture(HostOptions options = hostOptions())
        : link(sink, clock, memberOptions())
        , core(sink, clock, link, server, std::move(options))
    {
    }

    static MemberOptions memberOptions()
    {
        MemberOptions options;
        options.self = processId("host-1");
        options.role = wire::Role::AGENT;
        options.address = endpoint(43003);
        options.control = {{"control-1", endpoint(43000)}};
        return options;
    }
    static HostOptions hostOptions()
    {
        return hostOptions(HostLeaseTerms());
    }
    static HostOptions hostOptions(const HostLeaseTerms &terms)
    {
        HostOptions options;
        options.self = processId("host-1");
        options.leaseTerms = terms;
        return options;
    }

    static ServerRegistration registration(std::int64_t startedAtMs = 1000, std::int64_t sequence = 1)
    {
        ServerRegistration result;
        result.server = {"i-1", startedAtMs, endpoint(8080)};
        result.serviceName = "visits";
        result.capacity.cpuMillis = 16000;
        result.capacity.memoryMb = 1000;
        result.clockMs = 5000;
        result.sequence = sequence;
        return result;
    }
    static PollReply pollReply(std::vector<RunningTask> running = {}, std::vector<EndedTask> ended = {})
    {
        PollReply reply;
        reply.outcome = OrderOutcome::Accepted;
        reply.clockMs = 5000;
        reply.running = std::move(running);
        reply.ended = std::move(ended);
        return reply;
    }
    /// Answers the newest poll.
    void answerPoll(const PollReply &reply)
    {
        REQUIRE_FALSE(this->server.polls.empty());
        const auto call = this->server.polls.back().reply;
        this->clock.advance(Millis(1));
        call(reply);
    }
    void answerStart(std::size_t index, OrderOutcome outcome)
    {
        this->server.starts.at(index).reply({outcome, 5000});
    }
    /// Registers the backend server and answers the first poll with no active runs.
    void becomeAccepting()
    {
        this->core.registerServer(registration());
        this->answerPoll(pollReply());
    }

    std::int64_t nowMicros() const
    {
        return this->clock.now().time_since_epoch().count();
    }
    wire::RunTasks makeOrder(const std::string &job, const std::vector<std::int32_t> &indexes,
                             std::int64_t cpuMillis = 6000, int startWithinMs = 100)
    {
        wire::RunTasks message;
        message.hostIncarnation = 1;
        message.heardAtMicros = this->nowMicros();
        message.job = job;
        message.spec = "spec of " + job;
        message.startWithinMicros = startWithinMs * 1000LL;
        message.timeLeftMicros = 1500000;
        message.serviceName = "visits";
        for (const auto index : indexes) {
            wire::TaskOrder task;
            task.index = index;
            task.order = ++this->lastOrder;
            task.demand.cpuMillis = cpuMillis;
            task.demand.memoryMb = 10;
            task.estimateMicros = 100000;
            task.mayWait = true;
            message.orders.push_back(task);
        }
        return message;
    }
    void receiveFromEntry(Payload payload, const std::string &entry = "entry-1", std::int64_t incarnation = 1)
    {
        this->core.handle(incoming(entry, wire::Role::ENTRY, 43001, std::move(payload), incarnation));
    }
    /// Receives an order of the entry to stop tasks.
    void receiveStop(const std::string &job, const std::vector<std::int32_t> &indexes)
    {
        wire::StopTasks stop;
        stop.hostIncarnation = 1;
        stop.job = job;
        stop.indexes = indexes;
        this->receiveFromEntry(stop);
    }
    void renewLease(const std::string &entry = "entry-1")
    {
        wire::HostContact contact;
        contact.hostIncarnation = 1;
        contact.heardAtMicros = this->nowMicros();
        this->receiveFromEntry(contact, entry);
    }
    /// Returns the newest report on each task since the last call, keyed by task index.
    std::map<std::int32_t, wire::TaskReport> takeReports()
    {
        std::map<std::int32_t, wire::TaskReport> result;
        for (const auto &sent : this->sink.take()) {
            if (const auto *message = std::get_if<wire::TaskReports>(&sent.payload)) {
                for (const auto &report : message->reports) {
                    result[report.index] = report;
                }
            }
        }
        return result;
    }
};

} // namespace agatedrum::test
