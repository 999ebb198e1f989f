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

struct MockBackendClient : public BackendClientI
{
    MAKE_MOCK1(start, void(BackendCall), override);
    MAKE_MOCK1(stop, void(std::int64_t), override);
    MAKE_MOCK1(limitConnections, void(int), override);
};

wire::TaskRef makeTaskRef(int index)
{
    wire::TaskRef ref;
    ref.key.caller = "desk";
    ref.key.submission = "s1";
    ref.index = index;
    return ref;
}

/// An agent with a mocked backend server. The test acts as control and as the owner.
struct AgentFixture
{
    ManualClock clock;
    RecordingSink sink;
    MockBackendClient backendClient;
    MemberLink link {sink, clock, memberOptions()};
    AgentCore core {sink, clock, link, backendClient, agentOptions()};
    std::unique_ptr<trompeloeil::expectation> anyConnectionLimit = NAMED_ALLOW_CALL(backendClient, limitConnections(_));
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
        options.maxResultsPerSlot = 2;
        return options;
    }

    void announce(bool isLeaving = false)
    {
        this->core.announce({"s1", "checks", 2, 64, "http://127.0.0.1:1/run", isLeaving, 0.5});
    }
    void receiveView(std::int64_t epoch, int owner = ownerPort)
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
    void start(int index, std::int64_t sequence, std::int64_t epoch = 1, std::int64_t agentIncarnation = incarnation,
               std::int64_t timeLimitMs = 0)
    {
        wire::StartBatch batch;
        batch.cell = ownCell;
        batch.epoch = epoch;
        batch.agentIncarnation = agentIncarnation;
        batch.starts.resize(1);
        batch.starts[0].ref = makeTaskRef(index);
        batch.starts[0].taskId = "t" + std::to_string(index);
        batch.starts[0].sequence = sequence;
        batch.starts[0].timeLimitMs = timeLimitMs;
        this->receive(batch);
    }
    void expectStart(int index, std::int64_t sequence, std::int64_t epoch = 1)
    {
        REQUIRE_CALL(this->backendClient, start(_));
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
        ack.refs = {makeTaskRef(index)};
        this->receive(ack);
    }
    void cancel(int index, std::int64_t epoch = 1)
    {
        wire::CancelBatch batch;
        batch.cell = ownCell;
        batch.epoch = epoch;
        batch.refs = {makeTaskRef(index)};
        this->receive(batch);
    }
    /// Sends a fence and returns the answer, or a default-constructed state if there is none.
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
    /// Returns the refusals sent since the recorded messages were last cleared, and clears the recorded messages.
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

// Guards against tasks that run twice, run after a takeover or exceed the capacity: an agent that accepts repeated,
// reordered or outdated start messages would run them.
TEST_CASE("An agent refuses starts that it must not run", "[agent]")
{
    AgentFixture fixture;
    fixture.receiveView(1);

    SECTION("a start is refused before the first announcement of the backend server")
    {
        fixture.start(0, 1);
        REQUIRE(fixture.takeRefusals().at(0).reason == "backend server is down");
    }

    SECTION("an agent whose backend server is up starts tasks")
    {
        fixture.announce();
        fixture.expectStart(0, 5);
        fixture.sink.take();

        SECTION("a repeated start of a known task is neither run again nor refused")
        {
            fixture.start(0, 5);
            fixture.start(0, 6);
            REQUIRE(fixture.takeRefusals().empty());
        }
        SECTION("a start with an outdated sequence is refused, and the refusal contains that sequence")
        {
            fixture.start(1, 4);
            const auto refusals = fixture.takeRefusals();
            REQUIRE(refusals.at(0).reason == "sequence has passed");
            REQUIRE(refusals.at(0).refs.at(0) == makeTaskRef(1));
            REQUIRE(refusals.at(0).sequences.at(0) == 4);
            REQUIRE(refusals.at(0).epoch == 1);

            SECTION("each repetition is refused too, so that the owner can match each refusal with its start")
            {
                fixture.start(1, 4);
                REQUIRE(fixture.takeRefusals().at(0).sequences.at(0) == 4);
            }
            SECTION("the refused task can be started with a later sequence")
            {
                // Otherwise a task that was refused for lack of capacity could never run in a cell with only one agent.
                fixture.expectStart(1, 6);
                REQUIRE(fixture.takeRefusals().empty());
            }
        }
        SECTION("a repeated start is refused after the result was acknowledged")
        {
            fixture.finish(1);
            fixture.acknowledge(0);
            fixture.start(0, 5);
            REQUIRE(fixture.takeRefusals().size() == 1);
        }
        SECTION("a start of a lower epoch is refused, and the refusal contains the lower epoch")
        {
            fixture.fence(4, 0);
            fixture.sink.take();
            fixture.start(1, 9, 3);
            const auto refusals = fixture.takeRefusals();
            REQUIRE(refusals.at(0).reason == "epoch is over");
            REQUIRE(refusals.at(0).epoch == 3);
        }
        SECTION("the first start of a higher epoch ends the lower epoch")
        {
            fixture.expectStart(1, 1, 2);
            fixture.start(2, 9, 1);
            REQUIRE(fixture.takeRefusals().at(0).reason == "epoch is over");
        }
        SECTION("a start for an earlier incarnation is neither run nor refused")
        {
            fixture.start(1, 9, 1, incarnation - 1);
            REQUIRE(fixture.takeRefusals().empty());
            REQUIRE(fixture.core.dump()["counters"]["agent_starts_for_other_incarnation_total"] == 1);
        }
        SECTION("a start is refused if all slots are in use")
        {
            fixture.expectStart(1, 6);
            fixture.start(2, 7);
            REQUIRE(fixture.takeRefusals().at(0).reason == "all slots are taken");
        }
        SECTION("a start is refused if the backend server is leaving, and the owner is notified at once")
        {
            fixture.announce(true);
            REQUIRE(fixture.lastHello().server.leaving);
            fixture.start(1, 6);
            REQUIRE(fixture.takeRefusals().at(0).reason == "leaving");
        }
        SECTION("a start is refused if the backend server has not announced itself in time")
        {
            fixture.clock.advance(Millis(2999));
            fixture.core.tick();
            REQUIRE(fixture.lastHello().server.backendUp);
            fixture.clock.advance(Millis(1));
            fixture.core.tick();
            REQUIRE_FALSE(fixture.lastHello().server.backendUp);
            fixture.start(1, 6);
            REQUIRE(fixture.takeRefusals().at(0).reason == "backend server is down");
        }
        SECTION("a start is refused if too many results are waiting for acknowledgement")
        {
            fixture.finish(1);
            for (int index = 1; index < 4; ++index) {
                fixture.expectStart(index, 5 + index);
                fixture.finish(index + 1);
            }
            fixture.start(4, 9);
            REQUIRE(fixture.takeRefusals().at(0).reason == "too many results wait for acknowledgement");
        }
        SECTION("a start for another cell is refused")
        {
            wire::StartBatch batch;
            batch.cell = ownCell + 1;
            batch.epoch = 1;
            batch.agentIncarnation = incarnation;
            batch.starts.resize(1);
            batch.starts[0].sequence = 1;
            fixture.receive(batch);
            REQUIRE(fixture.takeRefusals().at(0).reason == "agent is not in this cell");
        }
    }
}

// Guards against lost results: a result must be resent until the current owner has acknowledged it.
TEST_CASE("An agent keeps a task until its result is acknowledged", "[agent]")
{
    AgentFixture fixture;
    fixture.receiveView(1);
    fixture.announce();
    fixture.expectStart(0, 1);
    fixture.sink.take();

    SECTION("the result is sent at once")
    {
        fixture.finish(1);
        const auto sent = fixture.sink.take();
        REQUIRE(sent.size() == 1);
        REQUIRE(sent[0].to == endpoint(ownerPort));
        const auto batch = std::get<wire::ResultBatch>(sent[0].payload);
        REQUIRE(batch.results.at(0).result.body == "ok");
        REQUIRE(batch.results.at(0).key == makeTaskRef(0).key);

        SECTION("the result is resent every 500 ms")
        {
            fixture.clock.advance(Millis(499));
            fixture.core.tick();
            REQUIRE(fixture.sink.all<wire::ResultBatch>().empty());
            for (std::size_t times = 1; times < 4; ++times) {
                fixture.clock.advance(Millis(times == 1 ? 1 : 500));
                fixture.core.tick();
                REQUIRE(fixture.sink.all<wire::ResultBatch>().size() == times);
            }

            SECTION("the result is not resent after it was acknowledged")
            {
                fixture.acknowledge(0);
                fixture.sink.take();
                fixture.clock.advance(Millis(600));
                fixture.core.tick();
                REQUIRE(fixture.sink.all<wire::ResultBatch>().empty());
                REQUIRE(fixture.core.isDrained());
            }
        }
        SECTION("an acknowledgement of a former owner does not remove the result")
        {
            // The record of a former owner may not be the authoritative one, so the result could be lost.
            fixture.fence(2, 0);
            fixture.acknowledge(0, 1);
            REQUIRE_FALSE(fixture.core.isDrained());
        }
        SECTION("the result is sent to the new owner after a takeover")
        {
            fixture.fence(2, 0, 19);
            fixture.sink.take();
            fixture.clock.advance(Millis(500));
            fixture.core.tick();
            bool isSent = false;
            for (const auto &message : fixture.sink.take()) {
                isSent = isSent
                    || (message.to == endpoint(19) && std::holds_alternative<wire::ResultBatch>(message.payload));
            }
            REQUIRE(isSent);
        }
    }
    SECTION("an acknowledgement of a running task has no effect")
    {
        fixture.acknowledge(0);
        fixture.finish(1);
        REQUIRE(fixture.sink.all<wire::ResultBatch>().size() == 1);
    }
    SECTION("a task whose connection could not be opened is refused instead of finished")
    {
        fixture.finish(1, wire::Outcome::NOT_RUN);
        REQUIRE(fixture.sink.all<wire::ResultBatch>().empty());
        const auto refusal = fixture.sink.all<wire::StartRefused>().at(0);
        REQUIRE(refusal.refs.at(0) == makeTaskRef(0));
        REQUIRE(refusal.sequences.at(0) == 1);
        REQUIRE(fixture.core.isDrained());

        SECTION("the owner is notified that the backend server is down, and further starts are refused")
        {
            REQUIRE_FALSE(fixture.lastHello().server.backendUp);
            fixture.sink.take();
            fixture.start(1, 2);
            REQUIRE(fixture.takeRefusals().at(0).reason == "backend server is down");
            fixture.announce();
            fixture.expectStart(2, 3);
        }
    }
    SECTION("after a takeover, such a task gets a NOT_RUN result, which is kept until it is acknowledged")
    {
        // The new owner knows the task only from AgentState and has no sequence to match a refusal with.
        fixture.fence(2, 0);
        fixture.finish(1, wire::Outcome::NOT_RUN);
        REQUIRE(fixture.sink.all<wire::StartRefused>().empty());
        const auto result = fixture.sink.all<wire::ResultBatch>().at(0).results.at(0);
        REQUIRE(result.result.outcome == wire::Outcome::NOT_RUN);
        REQUIRE(result.sequence == 0);
        REQUIRE_FALSE(fixture.core.isDrained());
    }
    SECTION("a cancelled task is stopped once, and its result is sent like any other")
    {
        {
            REQUIRE_CALL(fixture.backendClient, stop(1));
            fixture.cancel(0);
            fixture.cancel(0);
        }
        fixture.finish(1, wire::Outcome::STOPPED);
        REQUIRE(fixture.sink.all<wire::ResultBatch>().at(0).results.at(0).result.outcome == wire::Outcome::STOPPED);
    }
    SECTION("a former owner cannot cancel")
    {
        fixture.fence(2, 0);
        FORBID_CALL(fixture.backendClient, stop(_));
        fixture.cancel(0, 1);
    }
}

// Guards against a takeover that misses tasks of the former owner, and against starts that run after a fence.
TEST_CASE("A fence ends an epoch and is answered with the state of the agent", "[agent]")
{
    AgentFixture fixture;
    fixture.receiveView(1);
    fixture.announce();
    fixture.expectStart(0, 1);
    fixture.expectStart(1, 2);
    fixture.finish(1);
    fixture.clock.advance(Millis(250));

    SECTION("the answer contains every known task and the uptime of the agent")
    {
        const auto state = fixture.fence(2, 0);
        REQUIRE(state.epoch == 2);
        REQUIRE(state.tasks.size() == 2);
        REQUIRE_FALSE(state.tasks[0].running);
        REQUIRE(state.tasks[0].result.outcome == wire::Outcome::FINISHED);
        REQUIRE(state.tasks[1].running);
        REQUIRE(state.uptimeMicros == 250000);
        REQUIRE(fixture.fence(2, 0).tasks.size() == 2);

        SECTION("a fence of a lower epoch is not answered")
        {
            REQUIRE(fixture.fence(1, 0).epoch == 0);
        }
    }
    SECTION("starts at or below the barrier are refused")
    {
        REQUIRE(fixture.fence(1, 8).barrier == 8);
        fixture.sink.take();
        fixture.start(2, 8);
        REQUIRE(fixture.takeRefusals().size() == 1);
    }
    SECTION("a barrier below the last sequence does not lower it")
    {
        fixture.fence(1, 1);
        fixture.sink.take();
        fixture.start(2, 2);
        REQUIRE(fixture.takeRefusals().size() == 1);
    }
    SECTION("tasks whose results are too large for the answer are listed as running, and the results are sent at once")
    {
        // A message with all results could exceed the maximum frame size, and the fence would never be answered.
        fixture.finish(2, wire::Outcome::FINISHED, std::string(2UL * 1024 * 1024, 'x'));
        const auto state = fixture.fence(2, 0);
        REQUIRE_FALSE(state.tasks.at(0).running);
        REQUIRE(state.tasks.at(1).running);
        REQUIRE(fixture.sink.all<wire::ResultBatch>().at(0).results.at(0).result.index == 1);
    }
}

// Guards against an owner or control that works with an outdated state of the backend server.
TEST_CASE("An agent reports the state of its backend server to its owner and to control", "[agent]")
{
    AgentFixture fixture;
    SECTION("no hello is sent without an owner")
    {
        fixture.announce();
        fixture.core.tick();
        REQUIRE(fixture.sink.all<wire::AgentHello>().empty());
        REQUIRE_FALSE(fixture.core.isReady());
    }
    SECTION("a hello is sent every 250 ms, and heartbeats contain the announcement")
    {
        fixture.receiveView(4);
        fixture.announce();
        REQUIRE(fixture.core.isReady());
        fixture.core.tick();
        REQUIRE(fixture.sink.all<wire::MemberHeartbeat>().at(0).server.serviceName == "checks");
        fixture.sink.take();
        for (int step = 0; step < 10; ++step) {
            fixture.clock.advance(Millis(100));
            fixture.core.tick();
        }
        REQUIRE(fixture.sink.all<wire::AgentHello>().size() == 3);
        REQUIRE(fixture.lastHello().server.slots == 2);
    }
    SECTION("a call has the time limit of its start, which may be above 30 s, or 30 s if the start has none")
    {
        fixture.announce();
        const auto expectTimeout
            = [&fixture](int index, std::int64_t sequence, std::int64_t timeLimitMs, int expectedTimeoutMs) {
                  REQUIRE_CALL(fixture.backendClient, start(_)).WITH(_1.timeout == Millis(expectedTimeoutMs));
                  fixture.start(index, sequence, 1, incarnation, timeLimitMs);
              };
        fixture.receiveView(1);
        expectTimeout(0, 1, 0, 30000);
        expectTimeout(1, 2, 700, 700);
        fixture.finish(1);
        fixture.finish(2);
        expectTimeout(2, 3, 60000, 60000);
    }
    SECTION("during a graceful stop")
    {
        fixture.receiveView(1);
        fixture.announce();
        fixture.expectStart(0, 1);
        fixture.sink.take();
        fixture.core.beginStop();

        SECTION("the agent reports that it is leaving at once and refuses starts")
        {
            REQUIRE(fixture.lastHello().server.leaving);
            fixture.sink.take();
            fixture.start(1, 2);
            REQUIRE(fixture.takeRefusals().at(0).reason == "leaving");
        }
        SECTION("the agent is drained after its tasks have ended and their results were acknowledged")
        {
            REQUIRE_FALSE(fixture.core.isDrained());
            fixture.finish(1);
            REQUIRE_FALSE(fixture.core.isDrained());
            fixture.acknowledge(0);
            REQUIRE(fixture.core.isDrained());
        }
    }
}

// Guards against invalid announcements that are accepted, and against errors that are reported for the wrong field.
TEST_CASE("parseAnnouncement validates every field and reports the invalid one", "[agent]")
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

    SECTION("an announcement over HTTP is refused if invalid, and makes the agent ready if valid")
    {
        AgentFixture fixture;
        fixture.receiveView(1);
        HttpServerOptions options;
        options.address = endpoint(13510);
        HttpServer server(options);
        registerAgentRoutes(server, fixture.core);
        server.start();
        RawClient client(13510);
        const auto post = [&client](const std::string &body) {
            client.send("POST /v1/announce HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(body.size())
                        + "\r\n\r\n" + body);
            return client.receive();
        };
        REQUIRE_THAT(post("{}"), Catch::Contains("400") && Catch::Contains("name"));
        REQUIRE_FALSE(fixture.core.isReady());
        REQUIRE_THAT(post(good), Catch::Contains("200"));
        REQUIRE(fixture.core.isReady());
        server.stop();
    }
}
