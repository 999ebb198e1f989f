#include <catch2/catch.hpp>

#include "host_fixture.h"

using namespace agatedrum;
using namespace agatedrum::test;

TEST_CASE("A host starts no more tasks than its backend server has capacity for", "[host]")
{
    // Guards against an overloaded backend server. It comes about if the host does not count all runs, such as those
    // of an earlier host process or those whose start order is carried out late.
    HostFixture host;

    SECTION("no task is started before a poll shows that no tasks run, such as those of an earlier host process")
    {
        host.core.registerServer(HostFixture::registration());
        host.receiveFromEntry(host.makeOrder("a", {0}));
        REQUIRE(host.server.starts.empty());
        REQUIRE(host.takeReports().at(0).phase == wire::TaskPhase::REFUSED);
    }

    SECTION("a run of an earlier host process is stopped, its lease is not renewed, and no task starts before its end")
    {
        host.core.registerServer(HostFixture::registration());
        REQUIRE(host.server.polls.back().order.leaseUntilMs == 0);
        host.answerPoll(HostFixture::pollReply({{{"old", 3}, 7}}));
        REQUIRE(host.server.stops.size() == 1);
        REQUIRE(host.server.stops[0].order.run == 7);
        REQUIRE_FALSE(host.core.isReady());
        host.answerPoll(HostFixture::pollReply());
        REQUIRE(host.core.isReady());
    }

    SECTION("two of three tasks of 6 cores start on 16 cores, and the third after one of them has ended")
    {
        host.becomeAccepting();
        host.receiveFromEntry(host.makeOrder("a", {0, 1, 2}));
        REQUIRE(host.server.starts.size() == 2);
        REQUIRE(host.server.starts[0].order.spec == "spec of a");
        REQUIRE(host.takeReports().at(2).phase == wire::TaskPhase::QUEUED);
        host.answerStart(0, OrderOutcome::Accepted);
        host.answerStart(1, OrderOutcome::Accepted);
        host.answerPoll(HostFixture::pollReply({{{"a", 1}, 1}}, {{1, {"a", 0}, 1, RunEnd::Done}}));
        REQUIRE(host.server.starts.size() == 3);
        REQUIRE(host.takeReports().at(0).phase == wire::TaskPhase::SUCCEEDED);
        REQUIRE(host.server.polls.back().order.lastSeenEnd == 1);
    }

    SECTION("a start without an answer keeps its reservation, because it may be carried out late")
    {
        host.becomeAccepting();
        host.receiveFromEntry(host.makeOrder("a", {0, 1, 2}));
        host.answerStart(0, OrderOutcome::Unanswered);
        host.answerStart(1, OrderOutcome::Accepted);
        host.clock.advance(Millis(10));
        host.renewLease();
        host.answerPoll(HostFixture::pollReply({{{"a", 1}, 1}}));
        REQUIRE(host.server.starts.size() == 2);

        SECTION("if a poll sent after the start does not list the run, the host stops it, which prevents a late start")
        {
            host.clock.advance(Millis(10));
            host.renewLease();
            host.answerPoll(HostFixture::pollReply({{{"a", 1}, 1}}));
            REQUIRE(host.server.stops.size() == 1);
            REQUIRE(host.server.starts.size() == 2);
            host.server.stops[0].reply({OrderOutcome::Accepted, 5000});
            host.answerPoll(HostFixture::pollReply({{{"a", 1}, 1}})); // sent before the stop was accepted
            REQUIRE(host.server.starts.size() == 2);
            host.clock.advance(Millis(10));
            host.renewLease();
            host.answerPoll(HostFixture::pollReply({{{"a", 1}, 1}}));
            REQUIRE(host.server.starts.size() == 3);
            REQUIRE(host.takeReports().at(0).phase == wire::TaskPhase::ENDED);
        }

        SECTION("if a poll lists the run, the task counts as running")
        {
            host.clock.advance(Millis(10));
            host.renewLease();
            host.answerPoll(HostFixture::pollReply({{{"a", 0}, 1}, {{"a", 1}, 1}}));
            REQUIRE(host.server.stops.empty());
            host.answerPoll(HostFixture::pollReply({{{"a", 1}, 1}}, {{1, {"a", 0}, 1, RunEnd::Done}}));
            REQUIRE(host.takeReports().at(0).phase == wire::TaskPhase::SUCCEEDED);
        }
    }

    SECTION("an order that may not wait is refused at once without capacity, so that it can be placed elsewhere")
    {
        // Guards against tasks that wait behind tasks of another entry while other hosts are idle.
        host.becomeAccepting();
        host.receiveFromEntry(host.makeOrder("a", {0, 1}));
        host.sink.take();
        auto order = host.makeOrder("b", {5});
        order.orders[0].mayWait = false;
        host.receiveFromEntry(order);
        const auto sent = host.sink.all<wire::TaskReports>();
        REQUIRE(sent.size() == 1);
        REQUIRE(sent[0].reports.back().phase == wire::TaskPhase::REFUSED);
        REQUIRE(sent[0].host.reserved.cpuMillis == 12000);

        SECTION("the report contains the start delay of a task that does not fit, even if the last task was small")
        {
            // Without a start delay in the report, entries would order the same task here repeatedly and be refused
            // each time.
            host.receiveFromEntry(host.makeOrder("c", {6}, 1000));
            host.sink.take();
            host.core.tick();
            host.receiveFromEntry(host.makeOrder("d", {7}, 500));
            host.answerStart(3, OrderOutcome::Accepted);
            const auto reports = host.sink.all<wire::TaskReports>();
            REQUIRE(reports.back().host.startDelayMicros >= 25000);
        }

        SECTION("it is accepted if it is small enough to start before a larger waiting task")
        {
            host.receiveFromEntry(host.makeOrder("c", {6}));
            auto small = host.makeOrder("d", {7}, 4000);
            small.orders[0].mayWait = false;
            host.receiveFromEntry(small);
            REQUIRE(host.server.starts.back().order.task.job == "d");
        }

        SECTION("it is accepted if a running task is about to end")
        {
            host.answerStart(0, OrderOutcome::Accepted);
            host.clock.advance(Millis(102));
            host.renewLease();
            host.answerPoll(HostFixture::pollReply({{{"a", 0}, 1, 96}, {{"a", 1}, 1, 20}}));
            host.sink.take();
            auto nextOrder = host.makeOrder("c", {6});
            nextOrder.orders[0].mayWait = false;
            host.receiveFromEntry(nextOrder);
            REQUIRE(host.takeReports().at(6).phase == wire::TaskPhase::QUEUED);
        }
    }

    SECTION("a lost poll answer hides ended runs for a short time only, since each poll waits briefly")
    {
        host.becomeAccepting();
        host.receiveFromEntry(host.makeOrder("a", {0}));
        host.answerStart(0, OrderOutcome::Accepted);
        REQUIRE(host.server.polls.back().order.wait <= Millis(100));
        const auto pollCount = host.server.polls.size();
        host.server.polls.back().reply({});
        REQUIRE(host.server.polls.size() == pollCount + 2); // two polls are open while answers are being lost
        host.answerPoll(HostFixture::pollReply({}, {{1, {"a", 0}, 1, RunEnd::Done}}));
        REQUIRE(host.takeReports().at(0).phase == wire::TaskPhase::SUCCEEDED);
    }

    SECTION("a demand above the capacity of the backend server is refused at once")
    {
        host.becomeAccepting();
        host.receiveFromEntry(host.makeOrder("a", {0}, 17000));
        REQUIRE(host.takeReports().at(0).phase == wire::TaskPhase::REFUSED);
    }
}

TEST_CASE("A host does not run a task twice", "[host]")
{
    // Guards against duplicate runs, which come about if orders are resent or a caller resubmits its job.
    HostFixture host;
    host.becomeAccepting();
    const auto order = host.makeOrder("a", {0});
    host.receiveFromEntry(order);
    host.answerStart(0, OrderOutcome::Accepted);

    SECTION("a duplicate order starts nothing, neither while the task runs nor after its end")
    {
        host.receiveFromEntry(order);
        REQUIRE(host.server.starts.size() == 1);
        host.answerPoll(HostFixture::pollReply({}, {{1, {"a", 0}, 1, RunEnd::Done}}));
        host.receiveFromEntry(order);
        REQUIRE(host.server.starts.size() == 1);
    }

    SECTION(
        "an order for the same task from another entry is refused while it runs, since a caller may resubmit its job")
    {
        host.renewLease("entry-2");
        host.sink.take();
        host.receiveFromEntry(host.makeOrder("a", {0}), "entry-2");
        REQUIRE(host.server.starts.size() == 1);
        REQUIRE(host.takeReports().at(0).phase == wire::TaskPhase::REFUSED);
    }

    SECTION("a later run of the task has a higher number")
    {
        host.answerPoll(HostFixture::pollReply({}, {{1, {"a", 0}, 1, RunEnd::Failed}}));
        REQUIRE(host.takeReports().at(0).phase == wire::TaskPhase::FAILED);
        host.receiveFromEntry(host.makeOrder("a", {0}));
        REQUIRE(host.server.starts.size() == 2);
        REQUIRE(host.server.starts[1].order.run == 2);
    }

    SECTION("an order for an earlier process of the host starts nothing")
    {
        auto other = host.makeOrder("b", {0});
        other.hostIncarnation = 0;
        host.receiveFromEntry(other);
        REQUIRE(host.server.starts.size() == 1);
    }
}

TEST_CASE("A host runs a task only while its entry has a lease", "[host]")
{
    // Guards against tasks that run for an entry that is frozen or unreachable and cannot stop them.
    HostFixture host;
    host.becomeAccepting();

    SECTION("an order that arrives after the lease has expired is refused, for example after the entry was frozen")
    {
        const auto order = host.makeOrder("a", {0});
        host.clock.advance(Millis(AGATEDRUM_HOST_ENTRY_LEASE_MS));
        host.receiveFromEntry(order);
        REQUIRE(host.server.starts.empty());
    }

    SECTION("a delayed duplicate order of a running task is answered with the task's state")
    {
        // A refusal would make the entry run the task on a second host at the same time.
        const auto order = host.makeOrder("a", {0});
        host.receiveFromEntry(order);
        host.answerStart(0, OrderOutcome::Accepted);
        host.clock.advance(Millis(AGATEDRUM_HOST_ENTRY_LEASE_MS - 100));
        host.renewLease();
        host.sink.take();
        host.clock.advance(Millis(200));
        host.receiveFromEntry(order);
        REQUIRE(host.takeReports().at(0).phase == wire::TaskPhase::RUNNING);
        REQUIRE(host.server.stops.empty());
    }

    SECTION("the tasks of an unresponsive entry are stopped")
    {
        host.receiveFromEntry(host.makeOrder("a", {0, 1, 2}));
        host.answerStart(0, OrderOutcome::Accepted);
        host.answerStart(1, OrderOutcome::Accepted);
        host.clock.advance(Millis(AGATEDRUM_HOST_ENTRY_LEASE_MS - 1));
        host.core.tick();
        REQUIRE(host.server.stops.empty());
        host.clock.advance(Millis(1));
        host.core.tick();
        REQUIRE(host.server.stops.size() == 2);
        REQUIRE(host.server.starts.size() == 2);
    }

    SECTION("a message that echoes an old report does not extend the lease")
    {
        host.receiveFromEntry(host.makeOrder("a", {0}));
        host.answerStart(0, OrderOutcome::Accepted);
        wire::HostContact contact;
        contact.hostIncarnation = 1;
        contact.heardAtMicros = host.nowMicros();
        host.clock.advance(Millis(AGATEDRUM_HOST_ENTRY_LEASE_MS - 100));
        host.receiveFromEntry(contact);
        host.clock.advance(Millis(100));
        host.core.tick();
        REQUIRE(host.server.stops.size() == 1);
    }

    SECTION("a stop ordered by the entry is resent until the backend server has accepted it")
    {
        host.receiveFromEntry(host.makeOrder("a", {0}));
        host.answerStart(0, OrderOutcome::Accepted);
        host.receiveStop("a", {0});
        REQUIRE(host.server.stops.size() == 1);
        host.server.stops[0].reply({OrderOutcome::Unanswered, 0});
        host.clock.advance(Millis(200));
        host.core.tick();
        REQUIRE(host.server.stops.size() == 2);
    }
}

TEST_CASE("A host handles restarts and shutdowns of its backend server", "[host]")
{
    // Guards against an outdated state after a restart, for example due to a delayed registration or answer.
    HostFixture host;
    host.becomeAccepting();

    SECTION("no task is started on a draining backend server, and waiting tasks are refused")
    {
        host.receiveFromEntry(host.makeOrder("a", {0, 1, 2}));
        host.takeReports();
        auto draining = HostFixture::registration(1000, 2);
        draining.isDraining = true;
        host.core.registerServer(draining);
        REQUIRE(host.takeReports().at(2).phase == wire::TaskPhase::REFUSED);
        host.receiveFromEntry(host.makeOrder("b", {0}));
        REQUIRE(host.server.starts.size() == 2);
    }

    SECTION("an older registration changes nothing")
    {
        auto late = HostFixture::registration(1000, 0);
        late.isDraining = true;
        host.core.registerServer(late);
        REQUIRE(host.core.isReady());
    }

    SECTION("a delayed registration of an earlier instance changes nothing")
    {
        host.core.registerServer(HostFixture::registration(900, 50));
        REQUIRE(host.core.isReady());
    }

    SECTION(
        "a new instance ends all running tasks when a poll shows that nothing runs there, and no task starts before")
    {
        host.receiveFromEntry(host.makeOrder("a", {0}));
        host.answerStart(0, OrderOutcome::Accepted);
        host.takeReports();
        host.core.registerServer(HostFixture::registration(2000, 1));
        REQUIRE(host.takeReports().empty());
        REQUIRE_FALSE(host.core.isReady());

        SECTION("the answer to a poll reports the end")
        {
            host.answerPoll(HostFixture::pollReply());
            REQUIRE(host.takeReports().at(0).phase == wire::TaskPhase::ENDED);
            REQUIRE(host.core.isReady());
        }

        SECTION("an answer for the earlier instance is ignored")
        {
            host.server.polls.front().reply(HostFixture::pollReply());
            REQUIRE_FALSE(host.core.isReady());
        }
    }

    SECTION("a backend server that answers no polls gets no tasks")
    {
        host.clock.advance(Millis(AGATEDRUM_SERVER_SILENT_MS));
        REQUIRE_FALSE(host.core.isReady());
    }

    SECTION("a fenced poll makes the host raise its fencing token and list the active runs again")
    {
        PollReply fenced;
        fenced.outcome = OrderOutcome::Fenced;
        fenced.clockMs = 9000;
        host.answerPoll(fenced);
        REQUIRE_FALSE(host.core.isReady());
        host.clock.advance(Millis(200));
        host.core.tick();
        REQUIRE(host.server.polls.back().order.fence > 9000);
    }

    SECTION("a stopping host accepts no new tasks, and is drained when no task runs")
    {
        host.receiveFromEntry(host.makeOrder("a", {0}));
        host.answerStart(0, OrderOutcome::Accepted);
        host.core.beginStop();
        REQUIRE_FALSE(host.core.isDrained());
        host.receiveFromEntry(host.makeOrder("b", {0}));
        REQUIRE(host.server.starts.size() == 1);
        host.clock.advance(Millis(250));
        host.answerPoll(HostFixture::pollReply({}, {{1, {"a", 0}, 1, RunEnd::Done}}));
        REQUIRE(host.core.isDrained());
    }

    SECTION("a stopping host without tasks tells the entries at once, and refuses their orders for a short time")
    {
        // Guards against jobs that are lost because entries order their tasks at a host that has ended.
        wire::ClusterView view;
        view.version = 1;
        wire::MemberRef entry;
        entry.id = processId("entry-1");
        entry.address = endpoint(43001);
        view.entries = {entry};
        host.core.handle(incoming("control-1", wire::Role::CONTROL, 43000, view));
        host.sink.take();
        host.core.beginStop();
        const auto reports = host.sink.all<wire::HostReport>();
        REQUIRE(reports.size() == 1);
        REQUIRE_FALSE(reports[0].accepting);
        REQUIRE_FALSE(host.core.isDrained());
        host.receiveFromEntry(host.makeOrder("b", {0}));
        REQUIRE(host.takeReports().at(0).phase == wire::TaskPhase::REFUSED);
        host.clock.advance(Millis(250));
        REQUIRE(host.core.isDrained());
    }
}

TEST_CASE("A host resends its reports until the entry has acknowledged them", "[host]")
{
    // Guards against an entry that never learns the end of a task because a report was lost.
    HostFixture host;
    host.becomeAccepting();
    host.receiveFromEntry(host.makeOrder("a", {0}));
    host.answerStart(0, OrderOutcome::Accepted);
    host.takeReports();
    host.clock.advance(Millis(AGATEDRUM_HOST_REPEAT_MS));
    host.renewLease();
    host.core.tick();
    const auto repeated = host.takeReports();
    REQUIRE(repeated.count(0) == 1);

    wire::HostContact contact;
    contact.hostIncarnation = 1;
    contact.heardAtMicros = host.nowMicros();
    contact.reportsSeen = repeated.at(0).number;
    host.receiveFromEntry(contact);
    host.clock.advance(Millis(AGATEDRUM_HOST_REPEAT_MS));
    host.core.tick();
    REQUIRE(host.takeReports().empty());

    SECTION(
        "report numbers keep rising for an entry that was removed while unreachable, so it does not ignore new reports")
    {
        for (int i = 0; i < 50; ++i) {
            host.clock.advance(Millis(100));
            host.answerPoll(HostFixture::pollReply());
            host.core.tick();
        }
        host.sink.take();
        host.receiveFromEntry(host.makeOrder("b", {0}));
        REQUIRE(host.takeReports().at(0).number > repeated.at(0).number);
    }
}

TEST_CASE("During a burst, tasks that are already late start after those that can still start on time", "[host]")
{
    HostQueue queue(deadlinePolicy);
    const Time begin(std::chrono::hours(1));
    wire::Resources capacity; // enough for one task at a time
    capacity.cpuMillis = 6;
    // Guards against a burst that makes all tasks late. Tasks of 50 ms arrive every 25 ms, which is twice the capacity
    // of the host; each must start within 60 ms.
    constexpr int taskMs = 50;
    constexpr int count = 80;
    int inTime = 0;
    for (int ms = 0; ms < count * taskMs / 2; ms += taskMs / 2) {
        CapacityClaim task;
        task.id = ms;
        task.latestStart = begin + Millis(ms + 60);
        task.demand = capacity;
        task.expectedRunTime = Millis(taskMs);
        queue.add(task);
        if (ms % taskMs == 0) {
            const auto started = queue.takeStartable({capacity, {}, {}}, begin + Millis(ms));
            REQUIRE(started.size() == 1);
            inTime += started[0] + 60 >= ms ? 1 : 0;
        }
    }
    // All started tasks could be on time. In plain order of the latest start, nearly none would be.
    REQUIRE(inTime >= count / 2 * 9 / 10);
    REQUIRE(deadlinePolicy.ahead(queue.waiting(), 0, begin + Millis(count * taskMs / 2)).size() <= 3);
}

TEST_CASE("A host warns the entry of a task that is expected to end late, so that it can run elsewhere", "[host]")
{
    // Guards against tasks that stay on a slow or stalled backend server although another one could end them on time.
    HostFixture host;
    host.becomeAccepting();
    host.receiveFromEntry(host.makeOrder("a", {0}, 6000, 100)); // estimate 100 ms, objective in 200 ms
    host.answerStart(0, OrderOutcome::Accepted);
    const auto progress = [&host](int ms, int percent) {
        host.clock.advance(Millis(ms - 1));
        host.renewLease();
        host.sink.take();
        host.answerPoll(HostFixture::pollReply({{{"a", 0}, 1, percent}}));
        return host.takeReports();
    };
    REQUIRE(progress(60, 30).empty());

    SECTION("no warning is sent for a task that progresses as estimated")
    {
        REQUIRE(progress(60, 60).empty());
    }
    SECTION("a warning for a slow or stalled task contains its remaining time and its total work")
    {
        const auto reports = progress(60, 31);
        REQUIRE(reports.at(0).phase == wire::TaskPhase::RUNNING);
        REQUIRE(reports.at(0).remainingMicros > 200000);
        REQUIRE(reports.at(0).workMicros > 300000);
        REQUIRE(progress(60, 32).empty()); // warnings are not repeated with every poll answer
    }
}

TEST_CASE("The queue of a host starts the task with the earliest latest start first", "[host]")
{
    // Guards against avoidable late starts while more tasks wait than fit.
    HostQueue queue(deadlinePolicy);
    const Time now(std::chrono::hours(1));
    const auto add = [&queue, now](std::int64_t id, int latestMs, std::int64_t cpu) {
        CapacityClaim task;
        task.id = id;
        task.latestStart = now + Millis(latestMs);
        task.demand.cpuMillis = cpu;
        task.expectedRunTime = Millis(100);
        queue.add(task);
    };
    add(1, 300, 4);
    add(2, 100, 4);
    add(3, 200, 4);
    wire::Resources free;
    free.cpuMillis = 8;
    REQUIRE(queue.takeStartable({free, {}, {}}, now) == std::vector<std::int64_t> {2, 3});

    SECTION("the expected start delay includes running and waiting tasks")
    {
        wire::Resources capacity;
        capacity.cpuMillis = 8;
        wire::Resources demand;
        demand.cpuMillis = 4;
        const std::vector<ReservingTask> running {{demand, Millis(50), 0}, {demand, Millis(80), 0}};
        REQUIRE(expectedStartDelay({capacity, {}, {}}, {}, demand) == Micros(0));
        REQUIRE(expectedStartDelay({capacity, running, {}}, {}, demand) == Millis(50));
        REQUIRE(expectedStartDelay({capacity, running, {}}, queue.waiting(), demand) == Millis(80));
    }
}
