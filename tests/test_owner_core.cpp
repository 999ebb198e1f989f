#include "fakes.h"
#include "owner_core_p.h"

#include <catch2/catch.hpp>

using namespace agatedrum;
using namespace agatedrum::test;

namespace {

std::string configText(int copies)
{
    return "number: 1\nservices:\n  - name: visits\n    recordCopies: " + std::to_string(copies)
        + "\n    maxTaskMs: 45000\n...\n";
}

wire::MemberRef member(const std::string &name, int port, std::int64_t incarnation = 1)
{
    wire::MemberRef ref;
    ref.id = processId(name, incarnation);
    ref.address = endpoint(port);
    return ref;
}

/// One owner with a lease, one agent; the test plays control, holder, agent and entry.
struct OwnerFixture
{
    ManualClock clock;
    RecordingSink sink;
    MemberLink link;
    OwnerDefects defects;
    OwnerCore core;
    std::int64_t viewVersion = 0;

    static MemberOptions memberOptions()
    {
        MemberOptions options;
        options.self = processId("owner-1");
        options.role = wire::Role::OWNER;
        options.address = endpoint(42001);
        options.control = {{"control-1", endpoint(42000)}};
        options.interval = Millis(AGATEDRUM_OWNER_HEARTBEAT_MS);
        return options;
    }
    OwnerOptions ownerOptions()
    {
        OwnerOptions options;
        options.self = processId("owner-1");
        options.defects = &this->defects;
        return options;
    }
    OwnerFixture()
        : link(sink, clock, memberOptions())
        , core(sink, clock, link, ownerOptions())
    {
    }

    wire::CellView cellView(std::int64_t epoch, const std::vector<wire::MemberRef> &holders) const
    {
        wire::CellView cell;
        cell.cell = 0;
        cell.serviceName = "visits";
        cell.epoch = epoch;
        cell.__set_owner(member("owner-1", 42001));
        cell.holders = holders;
        cell.agents = {member("agent-1", 42003)};
        return cell;
    }
    void giveView(int copies, const wire::CellView &cell)
    {
        wire::ClusterView view;
        view.version = ++this->viewVersion;
        view.config.number = 1;
        view.config.text = configText(copies);
        view.cells = {cell};
        this->core.handle(incoming("control-1", wire::Role::CONTROL, 42000, view));
    }
    void giveLease()
    {
        wire::HeartbeatReply reply;
        reply.accepted = true;
        reply.sentAtMicros = this->clock.now().time_since_epoch().count();
        reply.viewVersion = this->viewVersion;
        this->core.handle(incoming("control-1", wire::Role::CONTROL, 42000, reply));
    }
    void fromAgent(Payload payload)
    {
        this->core.handle(incoming("agent-1", wire::Role::AGENT, 42003, std::move(payload)));
    }
    void answerFence()
    {
        for (const auto &fence : this->sink.all<wire::Fence>()) {
            wire::AgentState state;
            state.epoch = fence.epoch;
            state.barrier = fence.barrier;
            state.server = serverInfo();
            state.uptimeMicros = 3600LL * 1000000;
            this->fromAgent(state);
        }
    }
    static wire::ServerInfo serverInfo()
    {
        wire::ServerInfo server;
        server.serviceName = "visits";
        server.slots = 8;
        server.connections = 64;
        server.backendUp = true;
        server.usage = -1;
        return server;
    }
    static wire::JobSpec jobSpec(const std::string &submission, int tasks, std::int64_t submittedAtMs)
    {
        wire::JobSpec spec;
        spec.key.caller = "desk";
        spec.key.submission = submission;
        spec.serviceName = "visits";
        spec.submittedAtMs = submittedAtMs;
        spec.digest = 7;
        for (int i = 0; i < tasks; ++i) {
            wire::TaskSpec task;
            task.id = "t" + std::to_string(i);
            task.body = "body " + std::to_string(i);
            spec.tasks.push_back(task);
        }
        return spec;
    }
    void submit(std::int64_t requestId, const wire::JobSpec &spec)
    {
        wire::SubmitJob message;
        message.requestId = requestId;
        message.spec = spec;
        this->core.handle(incoming("entry-1", wire::Role::ENTRY, 42004, message));
    }
    void finish(const std::vector<wire::StartBatch> &batches)
    {
        wire::ResultBatch results;
        for (const auto &batch : batches) {
            for (const auto &start : batch.starts) {
                wire::AgentResult result;
                result.key = start.ref.key;
                result.sequence = start.sequence;
                result.result.index = start.ref.index;
                result.result.outcome = wire::Outcome::FINISHED;
                result.result.body = "done " + start.taskId;
                results.results.push_back(result);
            }
        }
        this->fromAgent(results);
    }
    void acknowledge(std::int64_t sequence, bool whole = true)
    {
        wire::RecordAck ack;
        ack.epoch = 1;
        ack.sequence = sequence;
        ack.whole = whole;
        this->core.handle(incoming("owner-2", wire::Role::OWNER, 42002, ack));
    }
};

std::size_t startCount(RecordingSink &sink)
{
    std::size_t count = 0;
    for (const auto &batch : sink.all<wire::StartBatch>()) {
        count += batch.starts.size();
    }
    return count;
}

} // namespace

TEST_CASE("An owner runs a job", "[owner]")
{
    OwnerFixture world;

    SECTION("with one copy of the record")
    {
        world.giveView(1, world.cellView(1, {}));
        world.giveLease();
        world.core.tick();
        world.answerFence();
        const auto spec = OwnerFixture::jobSpec("s1", 3, world.clock.wallMs());
        world.submit(11, spec);
        const auto starts = world.sink.all<wire::StartBatch>();
        REQUIRE(startCount(world.sink) == 3);
        REQUIRE(starts.size() == 1);

        SECTION("a start carries the configured time limit, or the job's deadline when that comes first")
        {
            REQUIRE(starts[0].starts.at(0).timeLimitMs == 45000);
            auto urgent = OwnerFixture::jobSpec("s2", 1, world.clock.wallMs());
            urgent.deadlineMs = 700;
            world.sink.take();
            world.submit(12, urgent);
            REQUIRE(world.sink.all<wire::StartBatch>().at(0).starts.at(0).timeLimitMs == 700);
        }
        SECTION("the answer is complete and names the tasks as the caller did")
        {
            world.finish(starts);
            const auto replies = world.sink.all<wire::JobReply>();
            REQUIRE(replies.size() == 1);
            REQUIRE(replies[0].requestId == 11);
            REQUIRE(replies[0].answer.complete);
            REQUIRE(replies[0].answer.results.at(2).taskId == "t2");
            REQUIRE(replies[0].answer.results.at(2).body == "done t2");

            SECTION("a resubmission gets the same answer and starts nothing")
            {
                world.submit(12, spec);
                REQUIRE(startCount(world.sink) == 3);
                REQUIRE(world.sink.all<wire::JobReply>().at(1).answer.complete);
            }
            SECTION("a submission of other content under the same key is a conflict")
            {
                auto other = spec;
                other.digest = 8;
                world.submit(13, other);
                const auto answer = world.sink.all<wire::JobReply>().at(1).answer;
                REQUIRE(answer.refusal.code == wire::RefusalCode::CONFLICT);
                REQUIRE(startCount(world.sink) == 3);
            }
        }
        SECTION("a resubmission joins the running job and gets its answer")
        {
            world.submit(12, spec);
            REQUIRE(startCount(world.sink) == 3);
            world.finish(starts);
            REQUIRE(world.sink.all<wire::JobReply>().size() == 2);
        }
        SECTION("results are acknowledged to the agent")
        {
            world.finish(starts);
            world.core.tick();
            world.clock.advance(Millis(AGATEDRUM_RESULT_RESEND_MS / 2));
            world.core.tick();
            REQUIRE(world.sink.all<wire::ResultAck>().at(0).refs.size() == 3);
        }
    }

    SECTION("with two copies of the record")
    {
        world.giveView(2, world.cellView(1, {member("owner-2", 42002)}));
        world.giveLease();
        world.core.tick();
        world.answerFence();
        REQUIRE(world.sink.all<wire::RecordSnapshot>().size() == 1);
        world.submit(11, OwnerFixture::jobSpec("s1", 2, world.clock.wallMs()));
        world.core.tick();
        REQUIRE(startCount(world.sink) == 0);

        SECTION("nothing starts while the holder lacks the record")
        {
            world.acknowledge(0);
            REQUIRE(startCount(world.sink) == 0);
            world.acknowledge(1);
            REQUIRE(startCount(world.sink) == 2);

            SECTION("results are acknowledged only once the holder has them")
            {
                world.finish(world.sink.all<wire::StartBatch>());
                REQUIRE(world.sink.all<wire::JobReply>().at(0).answer.complete);
                world.clock.advance(Millis(AGATEDRUM_RESULT_RESEND_MS / 2));
                world.core.tick();
                REQUIRE(world.sink.all<wire::ResultAck>().empty());
                world.acknowledge(2);
                world.core.tick();
                world.clock.advance(Millis(AGATEDRUM_RESULT_RESEND_MS / 4));
                world.core.tick();
                REQUIRE(world.sink.all<wire::ResultAck>().size() == 1);
            }
        }
        SECTION("a holder that never becomes whole makes the job refused as not run")
        {
            for (int i = 0; i < 60; ++i) {
                world.clock.advance(Millis(100));
                world.giveLease();
                world.core.tick();
            }
            const auto answer = world.sink.all<wire::JobReply>().at(0).answer;
            REQUIRE(answer.refusal.code == wire::RefusalCode::RECORD_UNAVAILABLE);
            REQUIRE(answer.refusal.notRun);
            REQUIRE(startCount(world.sink) == 0);
        }
    }

    SECTION("with a backend server that gets no new work")
    {
        world.giveView(1, world.cellView(1, {}));
        world.giveLease();
        world.core.tick();
        world.answerFence();
        wire::AgentHello hello;
        hello.epoch = 1;
        hello.server = OwnerFixture::serverInfo();

        SECTION("because it leaves, from the message that says so on")
        {
            hello.server.leaving = true;
            world.fromAgent(hello);
        }
        SECTION("because its backend server is down")
        {
            hello.server.backendUp = false;
            world.fromAgent(hello);
        }
        SECTION("because its agent has been silent")
        {
            world.clock.advance(Millis(AGATEDRUM_AGENT_SILENT_MS - 1));
            world.giveLease();
            world.clock.advance(Millis(1));
            world.core.tick();
        }
        world.submit(11, OwnerFixture::jobSpec("s1", 2, world.clock.wallMs()));
        REQUIRE(startCount(world.sink) == 0);
    }

    SECTION("after a freeze, a renewed lease does not count before the view that it was given under")
    {
        world.giveView(1, world.cellView(1, {}));
        world.giveLease();
        world.core.tick();
        world.answerFence();
        world.clock.advance(Millis(AGATEDRUM_MEMBER_DEAD_MS));
        ++world.viewVersion;
        world.giveLease();
        REQUIRE_FALSE(world.core.isReady());
        world.submit(11, OwnerFixture::jobSpec("s1", 1, world.clock.wallMs()));
        REQUIRE(startCount(world.sink) == 0);
        REQUIRE(world.sink.all<wire::NotOwner>().size() == 1);
    }

    SECTION("a stopping owner is drained once the cell has a new owner")
    {
        world.giveView(1, world.cellView(1, {}));
        world.giveLease();
        world.core.tick();
        world.answerFence();
        world.submit(11, OwnerFixture::jobSpec("s1", 1, world.clock.wallMs()));
        world.core.beginStop();
        REQUIRE_FALSE(world.core.isDrained());
        auto moved = world.cellView(2, {});
        moved.__set_owner(member("owner-2", 42002));
        world.giveView(1, moved);
        REQUIRE(world.core.isDrained());
        REQUIRE(world.sink.all<wire::NotOwner>().at(0).epoch == 2);
    }

    SECTION("without a lease it starts nothing and refers the entry elsewhere")
    {
        world.giveView(1, world.cellView(1, {}));
        world.giveLease();
        world.core.tick();
        world.answerFence();
        world.clock.advance(Millis(AGATEDRUM_OWNER_LEASE_MS));
        world.submit(11, OwnerFixture::jobSpec("s1", 1, world.clock.wallMs()));
        REQUIRE(startCount(world.sink) == 0);
        REQUIRE(world.sink.all<wire::NotOwner>().size() == 1);
        REQUIRE(world.sink.all<wire::JobReply>().empty());
    }
}

TEST_CASE("A start leaves only under the lease, also when the owner is frozen between decision and sending", "[owner]")
{
    OwnerFixture fixture;
    fixture.giveLease();
    REQUIRE(fixture.core.mayLeave(wire::StartBatch()));
    fixture.clock.advance(Millis(AGATEDRUM_OWNER_LEASE_MS));
    REQUIRE_FALSE(fixture.core.mayLeave(wire::StartBatch()));
    REQUIRE(fixture.core.mayLeave(wire::RecordAck()));
}
