#include <catch2/catch.hpp>

#include "host_fixture.h"

using namespace agatedrum;
using namespace agatedrum::test;

TEST_CASE("A host starts no more than its backend server has room for", "[host]")
{
    HostFixture host;

    SECTION("nothing starts before a hold has shown that nothing runs, such as tasks of an earlier host process")
    {
        host.core.registerServer(HostFixture::registration());
        host.fromEntry(host.order("a", {0}));
        REQUIRE(host.server.starts.empty());
        REQUIRE(host.reports().at(0).phase == wire::TaskPhase::REFUSED);
    }

    SECTION("a run of an earlier host process is stopped and not kept, and starts wait for its end")
    {
        host.core.registerServer(HostFixture::registration());
        REQUIRE(host.server.holds.back().order.holdUntilMs == 0);
        host.answerHold(HostFixture::listing({{{"old", 3}, 7}}));
        REQUIRE(host.server.stops.size() == 1);
        REQUIRE(host.server.stops[0].order.run == 7);
        REQUIRE_FALSE(host.core.isReady());
        host.answerHold(HostFixture::listing());
        REQUIRE(host.core.isReady());
    }

    SECTION("two of three tasks of 6 cores start on 16 cores, the third after an end is listed")
    {
        host.becomeAccepting();
        host.fromEntry(host.order("a", {0, 1, 2}));
        REQUIRE(host.server.starts.size() == 2);
        REQUIRE(host.server.starts[0].order.spec == "spec of a");
        REQUIRE(host.reports().at(2).phase == wire::TaskPhase::QUEUED);
        host.answerStart(0, OrderOutcome::Accepted);
        host.answerStart(1, OrderOutcome::Accepted);
        host.answerHold(HostFixture::listing({{{"a", 1}, 1}}, {{1, {"a", 0}, 1, RunEnd::Done}}));
        REQUIRE(host.server.starts.size() == 3);
        REQUIRE(host.reports().at(0).phase == wire::TaskPhase::SUCCEEDED);
        REQUIRE(host.server.holds.back().order.seenEnds == 1);
    }

    SECTION("a start without an answer keeps its room, because it may be carried out late")
    {
        host.becomeAccepting();
        host.fromEntry(host.order("a", {0, 1, 2}));
        host.answerStart(0, OrderOutcome::Unanswered);
        host.answerStart(1, OrderOutcome::Accepted);
        host.clock.advance(Millis(10));
        host.keepLease();
        host.answerHold(HostFixture::listing({{{"a", 1}, 1}}));
        REQUIRE(host.server.starts.size() == 2);

        SECTION("a hold that was asked after it and does not list it brings a stop, which rules it out")
        {
            host.clock.advance(Millis(10));
            host.keepLease();
            host.answerHold(HostFixture::listing({{{"a", 1}, 1}}));
            REQUIRE(host.server.stops.size() == 1);
            REQUIRE(host.server.starts.size() == 2);
            host.server.stops[0].reply({OrderOutcome::Accepted, 5000});
            host.answerHold(HostFixture::listing({{{"a", 1}, 1}})); // asked before the stop was taken
            REQUIRE(host.server.starts.size() == 2);
            host.clock.advance(Millis(10));
            host.keepLease();
            host.answerHold(HostFixture::listing({{{"a", 1}, 1}}));
            REQUIRE(host.server.starts.size() == 3);
            REQUIRE(host.reports().at(0).phase == wire::TaskPhase::ENDED);
        }

        SECTION("a hold that lists it shows that it runs")
        {
            host.clock.advance(Millis(10));
            host.keepLease();
            host.answerHold(HostFixture::listing({{{"a", 0}, 1}, {{"a", 1}, 1}}));
            REQUIRE(host.server.stops.empty());
            host.answerHold(HostFixture::listing({{{"a", 1}, 1}}, {{1, {"a", 0}, 1, RunEnd::Done}}));
            REQUIRE(host.reports().at(0).phase == wire::TaskPhase::SUCCEEDED);
        }
    }

    SECTION("an order of an entry that saw room is refused at once when there is none, so that it can go elsewhere")
    {
        // Guards against tasks that wait behind those of another entry while other hosts are idle.
        host.becomeAccepting();
        host.fromEntry(host.order("a", {0, 1}));
        host.sink.take();
        auto order = host.order("b", {5});
        order.orders[0].mayWait = false;
        host.fromEntry(order);
        const auto sent = host.sink.all<wire::TaskReports>();
        REQUIRE(sent.size() == 1);
        REQUIRE(sent[0].reports.back().phase == wire::TaskPhase::REFUSED);
        REQUIRE(sent[0].host.reserved.cpuMillis == 12000);

        SECTION("and the report tells the wait of a task that does not fit, also when the last one was small")
        {
            // With no wait told, entries order the same task here again and again, and the host refuses it each time.
            host.fromEntry(host.order("c", {6}, 1000));
            host.sink.take();
            host.core.tick();
            host.fromEntry(host.order("d", {7}, 500));
            const auto reports = host.sink.all<wire::TaskReports>();
            REQUIRE(reports.back().host.startDelayMicros >= 25000);
        }

        SECTION("unless it is small enough to start before a larger one that waits")
        {
            host.fromEntry(host.order("c", {6}));
            auto small = host.order("d", {7}, 4000);
            small.orders[0].mayWait = false;
            host.fromEntry(small);
            REQUIRE(host.server.starts.back().order.task.job == "d");
        }

        SECTION("unless a running task is about to end")
        {
            host.answerStart(0, OrderOutcome::Accepted);
            host.clock.advance(Millis(102));
            host.keepLease();
            host.answerHold(HostFixture::listing({{{"a", 0}, 1, 96}, {{"a", 1}, 1, 20}}));
            host.sink.take();
            auto later = host.order("c", {6});
            later.orders[0].mayWait = false;
            host.fromEntry(later);
            REQUIRE(host.reports().at(6).phase == wire::TaskPhase::QUEUED);
        }
    }

    SECTION("a lost answer about ends hides them for a short time only, since each question waits briefly")
    {
        host.becomeAccepting();
        host.fromEntry(host.order("a", {0}));
        host.answerStart(0, OrderOutcome::Accepted);
        REQUIRE(host.server.holds.back().order.wait <= Millis(100));
        const auto asked = host.server.holds.size();
        host.server.holds.back().reply({});
        REQUIRE(host.server.holds.size() == asked + 2); // two are open while answers are lost
        host.answerHold(HostFixture::listing({}, {{1, {"a", 0}, 1, RunEnd::Done}}));
        REQUIRE(host.reports().at(0).phase == wire::TaskPhase::SUCCEEDED);
    }

    SECTION("a demand above the whole backend server is refused at once")
    {
        host.becomeAccepting();
        host.fromEntry(host.order("a", {0}, 17000));
        REQUIRE(host.reports().at(0).phase == wire::TaskPhase::REFUSED);
    }
}

TEST_CASE("A host runs no task twice", "[host]")
{
    HostFixture host;
    host.becomeAccepting();
    const auto order = host.order("a", {0});
    host.fromEntry(order);
    host.answerStart(0, OrderOutcome::Accepted);

    SECTION("a repeated order starts nothing, neither while the task runs nor after its end")
    {
        host.fromEntry(order);
        REQUIRE(host.server.starts.size() == 1);
        host.answerHold(HostFixture::listing({}, {{1, {"a", 0}, 1, RunEnd::Done}}));
        host.fromEntry(order);
        REQUIRE(host.server.starts.size() == 1);
    }

    SECTION("the same task for another entry is refused while it runs, since a caller may have sent its job again")
    {
        host.keepLease("entry-2");
        host.sink.take();
        host.fromEntry(host.order("a", {0}), "entry-2");
        REQUIRE(host.server.starts.size() == 1);
        REQUIRE(host.reports().at(0).phase == wire::TaskPhase::REFUSED);
    }

    SECTION("a later run of the task has a higher number")
    {
        host.answerHold(HostFixture::listing({}, {{1, {"a", 0}, 1, RunEnd::Failed}}));
        REQUIRE(host.reports().at(0).phase == wire::TaskPhase::FAILED);
        host.fromEntry(host.order("a", {0}));
        REQUIRE(host.server.starts.size() == 2);
        REQUIRE(host.server.starts[1].order.run == 2);
    }

    SECTION("an order for an earlier process of the host starts nothing")
    {
        auto other = host.order("b", {0});
        other.hostIncarnation = 0;
        host.fromEntry(other);
        REQUIRE(host.server.starts.size() == 1);
    }
}

TEST_CASE("A host runs a task only under its entry's lease", "[host]")
{
    HostFixture host;
    host.becomeAccepting();

    SECTION("an order that was delayed past the lease is refused, such as one of an entry that was frozen")
    {
        const auto order = host.order("a", {0});
        host.clock.advance(Millis(AGATEDRUM_HOST_ENTRY_LEASE_MS));
        host.fromEntry(order);
        REQUIRE(host.server.starts.empty());
    }

    SECTION("a repeated order that was delayed is answered with the task's state, since its task runs")
    {
        // Refused, it made the entry run the task on a second host beside this one.
        const auto order = host.order("a", {0});
        host.fromEntry(order);
        host.answerStart(0, OrderOutcome::Accepted);
        host.clock.advance(Millis(AGATEDRUM_HOST_ENTRY_LEASE_MS - 100));
        host.keepLease();
        host.sink.take();
        host.clock.advance(Millis(200));
        host.fromEntry(order);
        REQUIRE(host.reports().at(0).phase == wire::TaskPhase::RUNNING);
        REQUIRE(host.server.stops.empty());
    }

    SECTION("the tasks of a silent entry are stopped")
    {
        host.fromEntry(host.order("a", {0, 1, 2}));
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

    SECTION("an echo of an old report does not extend the lease")
    {
        host.fromEntry(host.order("a", {0}));
        host.answerStart(0, OrderOutcome::Accepted);
        wire::HostContact contact;
        contact.hostIncarnation = 1;
        contact.heardAtMicros = host.nowMicros();
        host.clock.advance(Millis(AGATEDRUM_HOST_ENTRY_LEASE_MS - 100));
        host.fromEntry(contact);
        host.clock.advance(Millis(100));
        host.core.tick();
        REQUIRE(host.server.stops.size() == 1);
    }

    SECTION("a stop of the entry is repeated until the backend server has taken it")
    {
        host.fromEntry(host.order("a", {0}));
        host.answerStart(0, OrderOutcome::Accepted);
        wire::StopTasks stop;
        stop.hostIncarnation = 1;
        stop.job = "a";
        stop.indexes = {0};
        host.fromEntry(stop);
        REQUIRE(host.server.stops.size() == 1);
        host.server.stops[0].reply({OrderOutcome::Unanswered, 0});
        host.clock.advance(Millis(200));
        host.core.tick();
        REQUIRE(host.server.stops.size() == 2);
    }
}

TEST_CASE("A host follows the lives of its backend server", "[host]")
{
    HostFixture host;
    host.becomeAccepting();

    SECTION("a draining backend server gets no start, and what waits goes back to the entry")
    {
        host.fromEntry(host.order("a", {0, 1, 2}));
        host.reports();
        auto draining = HostFixture::registration(1000, 2);
        draining.isDraining = true;
        host.core.registerServer(draining);
        REQUIRE(host.reports().at(2).phase == wire::TaskPhase::REFUSED);
        host.fromEntry(host.order("b", {0}));
        REQUIRE(host.server.starts.size() == 2);
    }

    SECTION("an older registration changes nothing")
    {
        auto late = HostFixture::registration(1000, 0);
        late.isDraining = true;
        host.core.registerServer(late);
        REQUIRE(host.core.isReady());
    }

    SECTION("a registration of a dead life that comes late changes nothing")
    {
        host.core.registerServer(HostFixture::registration(900, 50));
        REQUIRE(host.core.isReady());
    }

    SECTION("with a new life, what ran is over, and starts wait until the new one is known to be empty")
    {
        host.fromEntry(host.order("a", {0}));
        host.answerStart(0, OrderOutcome::Accepted);
        host.reports();
        host.core.registerServer(HostFixture::registration(2000, 1));
        REQUIRE(host.reports().at(0).phase == wire::TaskPhase::ENDED);
        REQUIRE_FALSE(host.core.isReady());

        SECTION("an answer for the earlier life is ignored")
        {
            host.server.holds.front().reply(HostFixture::listing());
            REQUIRE_FALSE(host.core.isReady());
        }
    }

    SECTION("a backend server that answers no hold gets no tasks")
    {
        host.clock.advance(Millis(AGATEDRUM_SERVER_SILENT_MS));
        REQUIRE_FALSE(host.core.isReady());
    }

    SECTION("a higher token elsewhere makes the host raise its own and look again what runs")
    {
        HoldReply fenced;
        fenced.outcome = OrderOutcome::Fenced;
        fenced.clockMs = 9000;
        host.answerHold(fenced);
        REQUIRE_FALSE(host.core.isReady());
        host.clock.advance(Millis(200));
        host.core.tick();
        REQUIRE(host.server.holds.back().order.fence > 9000);
    }

    SECTION("a stop of the host takes no new tasks and ends when nothing runs")
    {
        host.fromEntry(host.order("a", {0}));
        host.answerStart(0, OrderOutcome::Accepted);
        host.core.beginStop();
        REQUIRE_FALSE(host.core.isDrained());
        host.fromEntry(host.order("b", {0}));
        REQUIRE(host.server.starts.size() == 1);
        host.answerHold(HostFixture::listing({}, {{1, {"a", 0}, 1, RunEnd::Done}}));
        REQUIRE(host.core.isDrained());
    }
}

TEST_CASE("A host repeats its reports until the entry has taken them", "[host]")
{
    HostFixture host;
    host.becomeAccepting();
    host.fromEntry(host.order("a", {0}));
    host.reports();
    host.clock.advance(Millis(AGATEDRUM_HOST_REPEAT_MS));
    host.keepLease();
    host.core.tick();
    const auto repeated = host.reports();
    REQUIRE(repeated.count(0) == 1);

    wire::HostContact contact;
    contact.hostIncarnation = 1;
    contact.heardAtMicros = host.nowMicros();
    contact.reportsSeen = repeated.at(0).number;
    host.fromEntry(contact);
    host.clock.advance(Millis(AGATEDRUM_HOST_REPEAT_MS));
    host.core.tick();
    REQUIRE(host.reports().empty());

    SECTION(
        "numbers go on rising for an entry that was cut off and forgotten, or it would take the reports for old ones")
    {
        for (int i = 0; i < 50; ++i) {
            host.clock.advance(Millis(100));
            host.answerHold(HostFixture::listing());
            host.core.tick();
        }
        host.sink.take();
        host.fromEntry(host.order("b", {0}));
        REQUIRE(host.reports().at(0).number > repeated.at(0).number);
    }
}

TEST_CASE("In a burst a task that is late already yields, or all that wait behind it would be late as well", "[host]")
{
    HostQueue queue;
    const Time begin(std::chrono::hours(1));
    wire::Resources room; // for one task at a time
    room.cpuMillis = 6;
    // Tasks of 50 ms arrive every 25 ms, each with 60 ms to start: twice what the host can do.
    constexpr int taskMs = 50;
    constexpr int count = 80;
    int inTime = 0;
    for (int ms = 0; ms < count * taskMs / 2; ms += taskMs / 2) {
        WaitingTask task;
        task.id = ms;
        task.latestStart = begin + Millis(ms + 60);
        task.demand = room;
        task.expected = Millis(taskMs);
        queue.add(task);
        if (ms % taskMs == 0) {
            const auto started = queue.takeStartable(room, begin + Millis(ms));
            REQUIRE(started.size() == 1);
            inTime += started[0] + 60 >= ms ? 1 : 0;
        }
    }
    // All that start could be in time; in plain order of the latest start, nearly none is.
    REQUIRE(inTime >= count / 2 * 9 / 10);
    REQUIRE(queue.waitingInTime(begin + Millis(count * taskMs / 2)).size() <= 3);
}

TEST_CASE("A host warns the entry of a task that should end too late, so that it can run elsewhere", "[host]")
{
    HostFixture host;
    host.becomeAccepting();
    host.fromEntry(host.order("a", {0}, 6000, 100)); // estimate 100 ms, objective in 200 ms
    host.answerStart(0, OrderOutcome::Accepted);
    const auto progress = [&host](int ms, int percent) {
        host.clock.advance(Millis(ms - 1));
        host.keepLease();
        host.sink.take();
        host.answerHold(HostFixture::listing({{{"a", 0}, 1, percent}}));
        return host.reports();
    };
    REQUIRE(progress(60, 30).empty());

    SECTION("one that gets on as estimated brings no message")
    {
        REQUIRE(progress(60, 60).empty());
    }
    SECTION("one that a backend server slows down or stops brings its remaining time and its whole work")
    {
        const auto reports = progress(60, 31);
        REQUIRE(reports.at(0).phase == wire::TaskPhase::RUNNING);
        REQUIRE(reports.at(0).remainingMicros > 200000);
        REQUIRE(reports.at(0).workMicros > 300000);
        REQUIRE(progress(60, 32).empty()); // not with every answer of the backend server
    }
}

TEST_CASE("The queue of a host starts the task with the least time left first", "[host]")
{
    HostQueue queue;
    const Time now(std::chrono::hours(1));
    const auto add = [&queue, now](std::int64_t id, int latestMs, std::int64_t cpu) {
        WaitingTask task;
        task.id = id;
        task.latestStart = now + Millis(latestMs);
        task.demand.cpuMillis = cpu;
        task.expected = Millis(100);
        queue.add(task);
    };
    add(1, 300, 4);
    add(2, 100, 4);
    add(3, 200, 4);
    wire::Resources free;
    free.cpuMillis = 8;
    REQUIRE(queue.takeStartable(free, now) == std::vector<std::int64_t> {2, 3});

    SECTION("the expected wait counts what runs and what waits")
    {
        wire::Resources capacity;
        capacity.cpuMillis = 8;
        wire::Resources demand;
        demand.cpuMillis = 4;
        const std::vector<OccupyingTask> running {{demand, Millis(50)}, {demand, Millis(80)}};
        REQUIRE(expectedStartDelay(capacity, {}, {}, demand) == Micros(0));
        REQUIRE(expectedStartDelay(capacity, running, {}, demand) == Millis(50));
        REQUIRE(expectedStartDelay(capacity, running, queue.waiting(), demand) == Millis(80));
    }
}
