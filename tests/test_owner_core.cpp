#include "fakes.h"
#include "owner_core_p.h"

#include <catch2/catch.hpp>

#include <functional>
#include <utility>

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

/// Calls a function once, the next time that the wall time is read, so that a test can act between two steps of the
/// code under test.
class HookedClock : public ManualClock
{
public:
    std::int64_t wallMs() const override
    {
        if (const auto hook = std::exchange(this->onWallMs, nullptr)) {
            hook();
        }
        return ManualClock::wallMs();
    }
    mutable std::function<void()> onWallMs;
};

/// An owner with one agent. The test acts as control, holder, agent and entry.
struct OwnerFixture
{
    HookedClock clock;
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
        options.heartbeatInterval = Millis(AGATEDRUM_OWNER_HEARTBEAT_MS);
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
    wire::ClusterView nextView(int copies, const std::vector<wire::CellView> &cells)
    {
        wire::ClusterView view;
        view.version = ++this->viewVersion;
        view.config.number = 1;
        view.config.text = configText(copies);
        view.cells = cells;
        return view;
    }
    void receiveView(int copies, const wire::CellView &cell)
    {
        this->core.handle(incoming("control-1", wire::Role::CONTROL, 42000, Payload(this->nextView(copies, {cell}))));
    }
    void renewLease()
    {
        wire::HeartbeatReply reply;
        reply.accepted = true;
        reply.sentAtMicros = this->clock.now().time_since_epoch().count();
        reply.viewVersion = this->viewVersion;
        this->core.handle(incoming("control-1", wire::Role::CONTROL, 42000, reply));
    }
    void receiveFromAgent(Payload payload)
    {
        this->core.handle(incoming("agent-1", wire::Role::AGENT, 42003, std::move(payload)));
    }
    /// Answers all fences as an agent without tasks.
    void answerFences()
    {
        for (const auto &fence : this->sink.all<wire::Fence>()) {
            wire::AgentState state;
            state.epoch = fence.epoch;
            state.barrier = fence.barrier;
            state.server = serverInfo();
            state.uptimeMicros = 3600LL * 1000000;
            this->receiveFromAgent(state);
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
    /// Sends the results of the started tasks as the agent.
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
        this->receiveFromAgent(results);
    }
    /// Acknowledges the records up to the sequence as the holder.
    void acknowledge(std::int64_t sequence, bool whole = true)
    {
        wire::RecordAck ack;
        ack.epoch = 1;
        ack.sequence = sequence;
        ack.whole = whole;
        this->core.handle(incoming("owner-2", wire::Role::OWNER, 42002, ack));
    }
};

/// Returns the number of starts that were sent.
std::size_t startCount(RecordingSink &sink)
{
    std::size_t count = 0;
    for (const auto &batch : sink.all<wire::StartBatch>()) {
        count += batch.starts.size();
    }
    return count;
}

} // namespace

// Guards against tasks that run twice or under a lost lease, results that are acknowledged before they are replicated,
// and resubmissions that start tasks again.
TEST_CASE("An owner runs a job", "[owner]")
{
    OwnerFixture fixture;

    SECTION("with one replica of the record")
    {
        fixture.receiveView(1, fixture.cellView(1, {}));
        fixture.renewLease();
        fixture.core.tick();
        fixture.answerFences();
        const auto spec = OwnerFixture::jobSpec("s1", 3, fixture.clock.wallMs());
        fixture.submit(11, spec);
        const auto starts = fixture.sink.all<wire::StartBatch>();
        REQUIRE(startCount(fixture.sink) == 3);
        REQUIRE(starts.size() == 1);

        SECTION("a start has the configured time limit, or the job's deadline if that is earlier")
        {
            REQUIRE(starts[0].starts.at(0).timeLimitMs == 45000);
            auto urgent = OwnerFixture::jobSpec("s2", 1, fixture.clock.wallMs());
            urgent.deadlineMs = 700;
            fixture.sink.take();
            fixture.submit(12, urgent);
            REQUIRE(fixture.sink.all<wire::StartBatch>().at(0).starts.at(0).timeLimitMs == 700);
        }
        SECTION("the answer is complete and contains the caller's task ids")
        {
            fixture.finish(starts);
            const auto replies = fixture.sink.all<wire::JobReply>();
            REQUIRE(replies.size() == 1);
            REQUIRE(replies[0].requestId == 11);
            REQUIRE(replies[0].answer.complete);
            REQUIRE(replies[0].answer.results.at(2).taskId == "t2");
            REQUIRE(replies[0].answer.results.at(2).body == "done t2");

            SECTION("a resubmission gets the same answer and starts no tasks")
            {
                fixture.submit(12, spec);
                REQUIRE(startCount(fixture.sink) == 3);
                REQUIRE(fixture.sink.all<wire::JobReply>().at(1).answer.complete);
            }
            SECTION("a submission with the same key and different content is refused as a conflict")
            {
                auto other = spec;
                other.digest = 8;
                fixture.submit(13, other);
                const auto answer = fixture.sink.all<wire::JobReply>().at(1).answer;
                REQUIRE(answer.refusal.code == wire::RefusalCode::CONFLICT);
                REQUIRE(startCount(fixture.sink) == 3);
            }
        }
        SECTION("a resubmission of a running job starts no tasks and gets the answer of the job")
        {
            fixture.submit(12, spec);
            REQUIRE(startCount(fixture.sink) == 3);
            fixture.finish(starts);
            REQUIRE(fixture.sink.all<wire::JobReply>().size() == 2);
        }
        SECTION("results are acknowledged to the agent")
        {
            fixture.finish(starts);
            fixture.core.tick();
            fixture.clock.advance(Millis(AGATEDRUM_RESULT_RESEND_MS / 2));
            fixture.core.tick();
            REQUIRE(fixture.sink.all<wire::ResultAck>().at(0).refs.size() == 3);
        }
    }

    SECTION("with two replicas of the record")
    {
        fixture.receiveView(2, fixture.cellView(1, {member("owner-2", 42002)}));
        fixture.renewLease();
        fixture.core.tick();
        fixture.answerFences();
        REQUIRE(fixture.sink.all<wire::RecordSnapshot>().size() == 1);
        fixture.submit(11, OwnerFixture::jobSpec("s1", 2, fixture.clock.wallMs()));
        fixture.core.tick();
        REQUIRE(startCount(fixture.sink) == 0);

        SECTION("no task starts until the holder has acknowledged the record")
        {
            fixture.acknowledge(0);
            REQUIRE(startCount(fixture.sink) == 0);
            fixture.acknowledge(1);
            REQUIRE(startCount(fixture.sink) == 2);

            SECTION("results are acknowledged to the agent only after the holder has acknowledged them")
            {
                fixture.finish(fixture.sink.all<wire::StartBatch>());
                REQUIRE(fixture.sink.all<wire::JobReply>().at(0).answer.complete);
                fixture.clock.advance(Millis(AGATEDRUM_RESULT_RESEND_MS / 2));
                fixture.core.tick();
                REQUIRE(fixture.sink.all<wire::ResultAck>().empty());
                fixture.acknowledge(2);
                fixture.core.tick();
                fixture.clock.advance(Millis(AGATEDRUM_RESULT_RESEND_MS / 4));
                fixture.core.tick();
                REQUIRE(fixture.sink.all<wire::ResultAck>().size() == 1);
            }
        }
        SECTION("a job is refused as not run if the holder does not get in sync")
        {
            for (int i = 0; i < 60; ++i) {
                fixture.clock.advance(Millis(100));
                fixture.renewLease();
                fixture.core.tick();
            }
            const auto answer = fixture.sink.all<wire::JobReply>().at(0).answer;
            REQUIRE(answer.refusal.code == wire::RefusalCode::RECORD_UNAVAILABLE);
            REQUIRE(answer.refusal.notRun);
            REQUIRE(startCount(fixture.sink) == 0);
        }
    }

    SECTION("no task starts at a backend server that is not available")
    {
        fixture.receiveView(1, fixture.cellView(1, {}));
        fixture.renewLease();
        fixture.core.tick();
        fixture.answerFences();
        wire::AgentHello hello;
        hello.epoch = 1;
        hello.server = OwnerFixture::serverInfo();

        SECTION("because it has announced that it is leaving")
        {
            hello.server.leaving = true;
            fixture.receiveFromAgent(hello);
        }
        SECTION("because its backend server is down")
        {
            hello.server.backendUp = false;
            fixture.receiveFromAgent(hello);
        }
        SECTION("because its agent is unresponsive")
        {
            fixture.clock.advance(Millis(AGATEDRUM_AGENT_SILENT_MS - 1));
            fixture.renewLease();
            fixture.clock.advance(Millis(1));
            fixture.core.tick();
        }
        fixture.submit(11, OwnerFixture::jobSpec("s1", 2, fixture.clock.wallMs()));
        REQUIRE(startCount(fixture.sink) == 0);
    }

    SECTION("after a freeze, a renewed lease is not valid before the view under which it was granted has arrived")
    {
        fixture.receiveView(1, fixture.cellView(1, {}));
        fixture.renewLease();
        fixture.core.tick();
        fixture.answerFences();
        fixture.clock.advance(Millis(AGATEDRUM_MEMBER_DEAD_MS));
        ++fixture.viewVersion;
        fixture.renewLease();
        REQUIRE_FALSE(fixture.core.isReady());
        fixture.submit(11, OwnerFixture::jobSpec("s1", 1, fixture.clock.wallMs()));
        REQUIRE(startCount(fixture.sink) == 0);
        REQUIRE(fixture.sink.all<wire::NotOwner>().size() == 1);
    }

    SECTION("a stopping owner is drained after the cell has got a new owner")
    {
        fixture.receiveView(1, fixture.cellView(1, {}));
        fixture.renewLease();
        fixture.core.tick();
        fixture.answerFences();
        fixture.submit(11, OwnerFixture::jobSpec("s1", 1, fixture.clock.wallMs()));
        fixture.core.beginStop();
        REQUIRE_FALSE(fixture.core.isDrained());
        auto moved = fixture.cellView(2, {});
        moved.__set_owner(member("owner-2", 42002));
        fixture.receiveView(1, moved);
        REQUIRE(fixture.core.isDrained());
        REQUIRE(fixture.sink.all<wire::NotOwner>().at(0).epoch == 2);
    }

    SECTION("without a lease it starts no tasks and answers the entry with NotOwner")
    {
        fixture.receiveView(1, fixture.cellView(1, {}));
        fixture.renewLease();
        fixture.core.tick();
        fixture.answerFences();
        fixture.clock.advance(Millis(AGATEDRUM_OWNER_LEASE_MS));
        fixture.submit(11, OwnerFixture::jobSpec("s1", 1, fixture.clock.wallMs()));
        REQUIRE(startCount(fixture.sink) == 0);
        REQUIRE(fixture.sink.all<wire::NotOwner>().size() == 1);
        REQUIRE(fixture.sink.all<wire::JobReply>().empty());
    }
}

// A woken owner must not start tasks of a cell that has a new owner, although another thread has already received the
// view under which its lease was renewed.
TEST_CASE("A lease renewed under a received view is not valid before that view is applied", "[owner]")
{
    OwnerFixture fixture;
    fixture.receiveView(1, fixture.cellView(1, {}));
    fixture.renewLease();
    fixture.core.tick();
    fixture.answerFences();
    fixture.clock.advance(Millis(AGATEDRUM_OWNER_LEASE_MS));

    auto otherCell = fixture.cellView(2, {});
    otherCell.cell = 1;
    const auto earlierView = fixture.nextView(1, {fixture.cellView(1, {}), otherCell});
    auto moved = fixture.cellView(2, {});
    moved.__set_owner(member("owner-2", 42002));
    const auto newestView = fixture.nextView(1, {moved, otherCell});
    fixture.renewLease();

    // The newest view arrives on another thread while the earlier one is applied.
    fixture.clock.onWallMs = [&fixture, &newestView] {
        fixture.link.handle(incoming("control-1", wire::Role::CONTROL, 42000, Payload(newestView)));
    };
    fixture.core.handle(incoming("control-1", wire::Role::CONTROL, 42000, Payload(earlierView)));
    REQUIRE(fixture.clock.onWallMs == nullptr);
    wire::AgentHello hello;
    hello.epoch = 1;
    hello.server = OwnerFixture::serverInfo();
    fixture.receiveFromAgent(hello);
    fixture.submit(11, OwnerFixture::jobSpec("s1", 1, fixture.clock.wallMs()));
    CHECK(startCount(fixture.sink) == 0);
    CHECK_FALSE(fixture.core.isReady());

    SECTION("it is valid once the view is applied")
    {
        fixture.core.tick();
        CHECK(fixture.core.isReady());
    }
}

// Guards against starts that are sent after the lease has expired, which happens if the owner is frozen after it has
// decided on a start and before the message is sent.
TEST_CASE("A start may be sent only while the lease is valid", "[owner]")
{
    OwnerFixture fixture;
    fixture.renewLease();
    REQUIRE(fixture.core.maySend(wire::StartBatch()));
    fixture.clock.advance(Millis(AGATEDRUM_OWNER_LEASE_MS));
    REQUIRE_FALSE(fixture.core.maySend(wire::StartBatch()));
    REQUIRE(fixture.core.maySend(wire::RecordAck()));
}

// A batch of starts that waited to be sent while the owner was frozen must not be sent by the woken owner, whose lease
// is renewed before it knows or after it has learned that the cell has a new owner.
TEST_CASE("A start that waited during a freeze is not sent after the cell has got a new owner", "[owner]")
{
    OwnerFixture fixture;
    fixture.receiveView(1, fixture.cellView(1, {}));
    fixture.renewLease();
    wire::StartBatch waiting;
    waiting.epoch = 1;
    REQUIRE(fixture.core.maySend(waiting));
    fixture.clock.advance(Millis(AGATEDRUM_OWNER_LEASE_MS));
    auto moved = fixture.cellView(2, {});
    moved.__set_owner(member("owner-2", 42002));
    const auto newestView = fixture.nextView(1, {moved});
    fixture.renewLease();

    SECTION("before the view arrives")
    {
        CHECK_FALSE(fixture.core.maySend(waiting));
    }
    SECTION("after the view is applied")
    {
        fixture.core.handle(incoming("control-1", wire::Role::CONTROL, 42000, Payload(newestView)));
        CHECK_FALSE(fixture.core.maySend(waiting));
        CHECK(fixture.core.isReady());
    }
    SECTION("a batch of a later epoch may be sent once the view is applied")
    {
        fixture.core.handle(incoming("control-1", wire::Role::CONTROL, 42000, Payload(newestView)));
        waiting.epoch = 2;
        CHECK(fixture.core.maySend(waiting));
    }
}
