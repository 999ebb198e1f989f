#include "agent_api_p.h"
#include "agent_core_p.h"
#include "fakes.h"
#include "http_client.h"

#include <catch2/catch.hpp>
#include <trompeloeil.hpp>

#include <memory>

using namespace agatedrum;
using namespace agatedrum::test;

namespace trompeloeil {

template<>
void reporter<specialized>::send(severity level, const char *file, unsigned long line, const char *message)
{
    const std::string text = std::string(file) + ":" + std::to_string(line) + ": " + message;
    if (level == severity::fatal) {
        FAIL(text);
    } else {
        FAIL_CHECK(text);
    }
}

} // namespace trompeloeil

namespace {

using trompeloeil::_;

constexpr std::int64_t incarnation = 7;
constexpr int ownCell = 3;
constexpr int ownerPort = 9;

struct MockCaller : public BackendCallerI
{
    MAKE_MOCK1(start, void(BackendCall), override);
    MAKE_MOCK1(stop, void(std::int64_t), override);
    MAKE_MOCK1(limitConnections, void(int), override);
};

wire::TaskRef refOf(int index)
{
    wire::TaskRef ref;
    ref.key.caller = "desk";
    ref.key.submission = "s1";
    ref.index = index;
    return ref;
}

/// An agent with a mocked backend server, driven by hand.
struct Bench
{
    ManualClock clock;
    RecordingSink sink;
    MockCaller caller;
    MemberLink link {sink, clock, memberOptions()};
    AgentCore core {sink, clock, link, caller, agentOptions()};
    std::unique_ptr<trompeloeil::expectation> limits = NAMED_ALLOW_CALL(caller, limitConnections(_));
    std::int64_t viewVersion = 0;

    static MemberOptions memberOptions()
    {
        MemberOptions options;
        options.self = processId("agent-1", incarnation);
        options.role = wire::Role::AGENT;
        options.control = {{"c1", endpoint(1)}};
        return options;
    }
    static AgentOptions agentOptions()
    {
        AgentOptions options;
        options.self = processId("agent-1", incarnation);
        options.resultsPerSlot = 2;
        return options;
    }

    void announce(bool isLeaving = false)
    {
        this->core.announce({"s1", "checks", 2, 64, "http://127.0.0.1:1/run", isLeaving, 0.5});
    }
    void view(std::int64_t epoch, int owner = ownerPort)
    {
        wire::ClusterView view;
        view.version = ++this->viewVersion;
        view.cells.resize(1);
        view.cells[0].cell = ownCell;
        view.cells[0].epoch = epoch;
        wire::MemberRef ref;
        ref.address = endpoint(owner);
        view.cells[0].__set_owner(ref);
        this->core.handle(incoming("c1", wire::Role::CONTROL, 1, view));
    }
    void receive(Payload payload, int port = ownerPort)
    {
        this->core.handle(incoming("owner-1", wire::Role::OWNER, port, std::move(payload)));
    }
    void start(int index, std::int64_t sequence, std::int64_t epoch = 1, std::int64_t addressed = incarnation,
               std::int64_t timeLimitMs = 0)
    {
        wire::StartBatch batch;
        batch.cell = ownCell;
        batch.epoch = epoch;
        batch.agentIncarnation = addressed;
        batch.starts.resize(1);
        batch.starts[0].ref = refOf(index);
        batch.starts[0].taskId = "t" + std::to_string(index);
        batch.starts[0].sequence = sequence;
        batch.starts[0].timeLimitMs = timeLimitMs;
        this->receive(batch);
    }
    void expectStart(int index, std::int64_t sequence, std::int64_t epoch = 1)
    {
        REQUIRE_CALL(this->caller, start(_));
        this->start(index, sequence, epoch);
    }
    void finish(std::int64_t call, wire::Outcome::type outcome = wire::Outcome::FINISHED, std::string body = "ok")
    {
        BackendOutcome result;
        result.number = call;
        result.outcome = outcome;
        result.body = std::move(body);
        this->core.finished(result);
    }
    void acknowledge(int index, std::int64_t epoch = 1)
    {
        wire::ResultAck ack;
        ack.cell = ownCell;
        ack.epoch = epoch;
        ack.refs = {refOf(index)};
        this->receive(ack);
    }
    void cancel(int index, std::int64_t epoch = 1)
    {
        wire::CancelBatch batch;
        batch.cell = ownCell;
        batch.epoch = epoch;
        batch.refs = {refOf(index)};
        this->receive(batch);
    }
    wire::AgentState fence(std::int64_t epoch, std::int64_t barrier, int port = ownerPort)
    {
        wire::Fence fence;
        fence.cell = ownCell;
        fence.epoch = epoch;
        fence.barrier = barrier;
        this->sink.take();
        this->receive(fence, port);
        const auto states = this->sink.all<wire::AgentState>();
        return states.empty() ? wire::AgentState() : states.front();
    }
    /// The refusals since the last take, which must all be of one start each.
    std::vector<wire::StartRefused> takeRefusals()
    {
        auto refusals = this->sink.all<wire::StartRefused>();
        this->sink.take();
        return refusals;
    }
    wire::AgentHello lastHello()
    {
        const auto hellos = this->sink.all<wire::AgentHello>();
        REQUIRE_FALSE(hellos.empty());
        return hellos.back();
    }
};

} // namespace

TEST_CASE("An agent refuses what it must not start", "[agent]")
{
    Bench bench;
    bench.view(1);

    SECTION("before its backend server announced itself")
    {
        bench.start(0, 1);
        REQUIRE(bench.takeRefusals().at(0).reason == "backend server is down");
    }

    SECTION("with a backend server that is up it starts tasks")
    {
        bench.announce();
        bench.expectStart(0, 5);
        bench.sink.take();

        SECTION("a repeat of a known start is not run again and not refused")
        {
            bench.start(0, 5);
            bench.start(0, 6);
            REQUIRE(bench.takeRefusals().empty());
        }
        SECTION("a sequence that has passed is refused, with its own sequence")
        {
            bench.start(1, 4);
            const auto refusals = bench.takeRefusals();
            REQUIRE(refusals.at(0).reason == "sequence has passed");
            REQUIRE(refusals.at(0).refs.at(0) == refOf(1));
            REQUIRE(refusals.at(0).sequences.at(0) == 4);
            REQUIRE(refusals.at(0).epoch == 1);

            SECTION("again and again, so that the owner can match each refusal with its start")
            {
                bench.start(1, 4);
                REQUIRE(bench.takeRefusals().at(0).sequences.at(0) == 4);
            }
            SECTION("and the task can be started by a start with a later sequence only")
            {
                // Otherwise a task refused while the agent was full could never run in a cell of one agent.
                bench.expectStart(1, 6);
                REQUIRE(bench.takeRefusals().empty());
            }
        }
        SECTION("a repeat after the result was acknowledged is refused")
        {
            bench.finish(1);
            bench.acknowledge(0);
            bench.start(0, 5);
            REQUIRE(bench.takeRefusals().size() == 1);
        }
        SECTION("a lower epoch is refused, and answered under its own epoch")
        {
            bench.fence(4, 0);
            bench.sink.take();
            bench.start(1, 9, 3);
            const auto refusals = bench.takeRefusals();
            REQUIRE(refusals.at(0).reason == "epoch is over");
            REQUIRE(refusals.at(0).epoch == 3);
        }
        SECTION("the first start of a higher epoch ends the lower one")
        {
            bench.expectStart(1, 1, 2);
            bench.start(2, 9, 1);
            REQUIRE(bench.takeRefusals().at(0).reason == "epoch is over");
        }
        SECTION("a start for an earlier incarnation is neither run nor certified")
        {
            bench.start(1, 9, 1, incarnation - 1);
            REQUIRE(bench.takeRefusals().empty());
            REQUIRE(bench.core.dump()["counters"]["agent_starts_for_other_incarnation_total"] == 1);
        }
        SECTION("a start is refused when all slots are taken")
        {
            bench.expectStart(1, 6);
            bench.start(2, 7);
            REQUIRE(bench.takeRefusals().at(0).reason == "all slots are taken");
        }
        SECTION("a start is refused when the backend server is leaving, and the owner knows at once")
        {
            bench.announce(true);
            REQUIRE(bench.lastHello().server.leaving);
            bench.start(1, 6);
            REQUIRE(bench.takeRefusals().at(0).reason == "leaving");
        }
        SECTION("a start is refused when the backend server has been silent")
        {
            bench.clock.advance(Millis(2999));
            bench.core.tick();
            REQUIRE(bench.lastHello().server.backendUp);
            bench.clock.advance(Millis(1));
            bench.core.tick();
            REQUIRE_FALSE(bench.lastHello().server.backendUp);
            bench.start(1, 6);
            REQUIRE(bench.takeRefusals().at(0).reason == "backend server is down");
        }
        SECTION("a start is refused when too many results wait for acknowledgement")
        {
            bench.finish(1);
            for (int index = 1; index < 4; ++index) {
                bench.expectStart(index, 5 + index);
                bench.finish(index + 1);
            }
            bench.start(4, 9);
            REQUIRE(bench.takeRefusals().at(0).reason == "too many results wait for acknowledgement");
        }
        SECTION("a start for another cell is refused")
        {
            wire::StartBatch batch;
            batch.cell = ownCell + 1;
            batch.epoch = 1;
            batch.agentIncarnation = incarnation;
            batch.starts.resize(1);
            batch.starts[0].sequence = 1;
            bench.receive(batch);
            REQUIRE(bench.takeRefusals().at(0).reason == "agent is not in this cell");
        }
    }
}

TEST_CASE("An agent keeps a task until its result is acknowledged", "[agent]")
{
    Bench bench;
    bench.view(1);
    bench.announce();
    bench.expectStart(0, 1);
    bench.sink.take();

    SECTION("the result goes out at once")
    {
        bench.finish(1);
        const auto sent = bench.sink.take();
        REQUIRE(sent.size() == 1);
        REQUIRE(sent[0].to == endpoint(ownerPort));
        const auto batch = std::get<wire::ResultBatch>(sent[0].payload);
        REQUIRE(batch.results.at(0).result.body == "ok");
        REQUIRE(batch.results.at(0).key == refOf(0).key);

        SECTION("and again each 500 ms")
        {
            bench.clock.advance(Millis(499));
            bench.core.tick();
            REQUIRE(bench.sink.all<wire::ResultBatch>().empty());
            for (std::size_t times = 1; times < 4; ++times) {
                bench.clock.advance(Millis(times == 1 ? 1 : 500));
                bench.core.tick();
                REQUIRE(bench.sink.all<wire::ResultBatch>().size() == times);
            }

            SECTION("until it is acknowledged")
            {
                bench.acknowledge(0);
                bench.sink.take();
                bench.clock.advance(Millis(600));
                bench.core.tick();
                REQUIRE(bench.sink.all<wire::ResultBatch>().empty());
                REQUIRE(bench.core.isDrained());
            }
        }
        SECTION("a former owner's acknowledgement does not let it go")
        {
            // The record of a former owner may not be the one in force, so the result could be lost.
            bench.fence(2, 0);
            bench.acknowledge(0, 1);
            REQUIRE_FALSE(bench.core.isDrained());
        }
        SECTION("it goes to the new owner after a takeover")
        {
            bench.fence(2, 0, 19);
            bench.sink.take();
            bench.clock.advance(Millis(500));
            bench.core.tick();
            bool isSent = false;
            for (const auto &message : bench.sink.take()) {
                isSent = isSent
                    || (message.to == endpoint(19) && std::holds_alternative<wire::ResultBatch>(message.payload));
            }
            REQUIRE(isSent);
        }
    }
    SECTION("an acknowledgement of a running task changes nothing")
    {
        bench.acknowledge(0);
        bench.finish(1);
        REQUIRE(bench.sink.all<wire::ResultBatch>().size() == 1);
    }
    SECTION("a connection that was never made is certified by a refusal instead of a result")
    {
        bench.finish(1, wire::Outcome::NOT_RUN);
        REQUIRE(bench.sink.all<wire::ResultBatch>().empty());
        const auto refusal = bench.sink.all<wire::StartRefused>().at(0);
        REQUIRE(refusal.refs.at(0) == refOf(0));
        REQUIRE(refusal.sequences.at(0) == 1);
        REQUIRE(bench.core.isDrained());

        SECTION("the owner was told before that the backend server is down, so that it sends nothing more")
        {
            REQUIRE_FALSE(bench.lastHello().server.backendUp);
            bench.sink.take();
            bench.start(1, 2);
            REQUIRE(bench.takeRefusals().at(0).reason == "backend server is down");
            bench.announce();
            bench.expectStart(2, 3);
        }
    }
    SECTION("after a takeover, such a task is reported as not run until that is acknowledged")
    {
        // The new owner learned of the task from AgentState and has no sequence to match a refusal with.
        bench.fence(2, 0);
        bench.finish(1, wire::Outcome::NOT_RUN);
        REQUIRE(bench.sink.all<wire::StartRefused>().empty());
        const auto result = bench.sink.all<wire::ResultBatch>().at(0).results.at(0);
        REQUIRE(result.result.outcome == wire::Outcome::NOT_RUN);
        REQUIRE(result.sequence == 0);
        REQUIRE_FALSE(bench.core.isDrained());
    }
    SECTION("a cancelled task is stopped once and its result is kept like any other")
    {
        {
            REQUIRE_CALL(bench.caller, stop(1));
            bench.cancel(0);
            bench.cancel(0);
        }
        bench.finish(1, wire::Outcome::STOPPED);
        REQUIRE(bench.sink.all<wire::ResultBatch>().at(0).results.at(0).result.outcome == wire::Outcome::STOPPED);
    }
    SECTION("a former owner cannot cancel")
    {
        bench.fence(2, 0);
        FORBID_CALL(bench.caller, stop(_));
        bench.cancel(0, 1);
    }
}

TEST_CASE("A fence ends an epoch and asks for the state", "[agent]")
{
    Bench bench;
    bench.view(1);
    bench.announce();
    bench.expectStart(0, 1);
    bench.expectStart(1, 2);
    bench.finish(1);
    bench.clock.advance(Millis(250));

    SECTION("the answer lists every known task and the agent's age")
    {
        const auto state = bench.fence(2, 0);
        REQUIRE(state.epoch == 2);
        REQUIRE(state.tasks.size() == 2);
        REQUIRE_FALSE(state.tasks[0].running);
        REQUIRE(state.tasks[0].result.outcome == wire::Outcome::FINISHED);
        REQUIRE(state.tasks[1].running);
        REQUIRE(state.uptimeMicros == 250000);
        REQUIRE(bench.fence(2, 0).tasks.size() == 2);

        SECTION("a fence of a lower epoch gets no answer")
        {
            REQUIRE(bench.fence(1, 0).epoch == 0);
        }
    }
    SECTION("starts at or below the barrier are never run")
    {
        REQUIRE(bench.fence(1, 8).barrier == 8);
        bench.sink.take();
        bench.start(2, 8);
        REQUIRE(bench.takeRefusals().size() == 1);
    }
    SECTION("a barrier below the last sequence does not lower it")
    {
        bench.fence(1, 1);
        bench.sink.take();
        bench.start(2, 2);
        REQUIRE(bench.takeRefusals().size() == 1);
    }
    SECTION("results that are too large for the answer are listed as running and follow at once")
    {
        // One message of all results could exceed the largest frame, and the fence would never be answered.
        bench.finish(2, wire::Outcome::FINISHED, std::string(2UL * 1024 * 1024, 'x'));
        const auto state = bench.fence(2, 0);
        REQUIRE_FALSE(state.tasks.at(0).running);
        REQUIRE(state.tasks.at(1).running);
        REQUIRE(bench.sink.all<wire::ResultBatch>().at(0).results.at(0).result.index == 1);
    }
}

TEST_CASE("An agent tells its owner and control of its backend server", "[agent]")
{
    Bench bench;
    SECTION("no hello without an owner")
    {
        bench.announce();
        bench.core.tick();
        REQUIRE(bench.sink.all<wire::AgentHello>().empty());
        REQUIRE_FALSE(bench.core.isReady());
    }
    SECTION("a hello each 250 ms and heartbeats with the announcement")
    {
        bench.view(4);
        bench.announce();
        REQUIRE(bench.core.isReady());
        bench.core.tick();
        REQUIRE(bench.sink.all<wire::MemberHeartbeat>().at(0).server.serviceName == "checks");
        bench.sink.take();
        for (int step = 0; step < 10; ++step) {
            bench.clock.advance(Millis(100));
            bench.core.tick();
        }
        REQUIRE(bench.sink.all<wire::AgentHello>().size() == 3);
        REQUIRE(bench.lastHello().server.slots == 2);
    }
    SECTION("time limits: that of the start, also above 30 s, else 30 s")
    {
        bench.announce();
        const auto expectLimit = [&bench](int index, std::int64_t sequence, std::int64_t deadline, int limit) {
            REQUIRE_CALL(bench.caller, start(_)).WITH(_1.timeout == Millis(limit));
            bench.start(index, sequence, 1, incarnation, deadline);
        };
        bench.view(1);
        expectLimit(0, 1, 0, 30000);
        expectLimit(1, 2, 700, 700);
        bench.finish(1);
        bench.finish(2);
        expectLimit(2, 3, 60000, 60000);
    }
    SECTION("a graceful stop")
    {
        bench.view(1);
        bench.announce();
        bench.expectStart(0, 1);
        bench.sink.take();
        bench.core.beginStop();

        SECTION("says leaving at once and refuses starts")
        {
            REQUIRE(bench.lastHello().server.leaving);
            bench.sink.take();
            bench.start(1, 2);
            REQUIRE(bench.takeRefusals().at(0).reason == "leaving");
        }
        SECTION("ends after the running tasks and their acknowledgements")
        {
            REQUIRE_FALSE(bench.core.isDrained());
            bench.finish(1);
            REQUIRE_FALSE(bench.core.isDrained());
            bench.acknowledge(0);
            REQUIRE(bench.core.isDrained());
        }
    }
}

TEST_CASE("Announcements are checked whole", "[agent]")
{
    const std::string good = R"({"name":"s1","service":"x","slots":8,"connections":64,"url":"http://h:1/run"})";
    REQUIRE(isOk(parseAnnouncement(good)));

    const auto fieldOf = [](const std::string &body) {
        const auto parsed = parseAnnouncement(body);
        REQUIRE_FALSE(isOk(parsed));
        return error(parsed).field;
    };
    REQUIRE(fieldOf("{").empty());
    REQUIRE(fieldOf(R"({"name":"s1","service":"x","slots":0,"connections":64,"url":"http://h:1/run"})") == "slots");
    REQUIRE(fieldOf(R"({"name":"s1","service":"x","slots":8,"connections":64,"url":"ftp://h:1"})") == "url");
    REQUIRE(fieldOf(R"({"name":"s1","service":"x","slots":8,"connections":64,"url":"http://h","usage":2})") == "usage");
    REQUIRE(fieldOf(R"({"nam":"s1"})") == "nam");

    SECTION("over HTTP")
    {
        Bench bench;
        bench.view(1);
        HttpServerOptions options;
        options.address = endpoint(13510);
        HttpServer server(options);
        registerAgentRoutes(server, bench.core);
        server.start();
        RawClient client(13510);
        const auto post = [&client](const std::string &body) {
            client.send("POST /v1/announce HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(body.size())
                        + "\r\n\r\n" + body);
            return client.receive();
        };
        REQUIRE_THAT(post("{}"), Catch::Contains("400") && Catch::Contains("name"));
        REQUIRE_FALSE(bench.core.isReady());
        REQUIRE_THAT(post(good), Catch::Contains("200"));
        REQUIRE(bench.core.isReady());
        server.stop();
    }
}
