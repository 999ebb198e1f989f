#include <catch2/catch.hpp>

#include "host_fixture.h"

#include <algorithm>
#include <iterator>
#include <vector>

using namespace agatedrum;
using namespace agatedrum::test;

TEST_CASE("While answers of a backend server are lost, a host still learns soon what became of its tasks", "[host]")
{
    // Guards against short tasks that end late because one lost answer hid their end, or a lost start, for 160 ms.
    HostFixture host;
    host.becomeAccepting();
    host.fromEntry(host.order("a", {0}));
    const auto later = [&host](int ms) {
        host.clock.advance(Millis(ms));
        host.keepLease();
        host.core.tick();
    };

    SECTION("after a lost start two questions about ends are open, so that the loss of one answer hides nothing")
    {
        host.answerStart(0, OrderOutcome::Unanswered);
        host.core.tick();
        std::vector<FakeTaskServer::Call<HoldOrder, HoldReply>> waiting;
        std::copy_if(host.server.holds.begin() + 1, host.server.holds.end(), std::back_inserter(waiting),
                     [](const auto &call) { return call.order.wait > Millis(0); });
        REQUIRE(waiting.size() == 2);
        waiting[1].reply(HostFixture::listing({}, {{1, {"a", 0}, 1, RunEnd::Done}}));
        REQUIRE(host.reports().at(0).phase == wire::TaskPhase::SUCCEEDED);

        SECTION("and one again when no answer was lost for some seconds")
        {
            later(3000);
            const auto asked = host.server.holds.size();
            waiting[0].reply(HostFixture::listing());
            host.server.holds.back().reply(HostFixture::listing());
            host.server.holds.at(asked).reply(HostFixture::listing());
            later(1);
            REQUIRE(host.server.holds.size() == asked + 2);
        }
    }

    SECTION("a start without an answer is looked for before it times out")
    {
        later(20);
        const auto asked = host.server.holds.size();
        later(20);
        REQUIRE(host.server.holds.size() == asked + 1);
        REQUIRE(host.server.holds.back().order.wait == Millis(0));

        SECTION("one that does not run is stopped, which rules it out, and goes back to the entry at once")
        {
            host.answerHold(HostFixture::listing());
            REQUIRE(host.server.stops.size() == 1);
            host.clock.advance(Millis(1));
            host.server.stops[0].reply({OrderOutcome::Accepted, 5000});
            host.clock.advance(Millis(1));
            host.core.tick();
            REQUIRE(host.server.holds.back().order.wait == Millis(0));
            host.answerHold(HostFixture::listing());
            REQUIRE(host.reports().at(0).phase == wire::TaskPhase::ENDED);
        }

        SECTION("one that runs goes on, and its answer that comes at last changes nothing")
        {
            host.answerHold(HostFixture::listing({{{"a", 0}, 1, 30}}));
            REQUIRE(host.server.stops.empty());
            host.answerStart(0, OrderOutcome::Unanswered);
            later(20);
            REQUIRE(host.server.stops.empty());
        }

        SECTION("its room is kept until a later question shows that the stop was in time")
        {
            host.answerHold(HostFixture::listing());
            host.fromEntry(host.order("b", {0, 1}));
            REQUIRE(host.server.starts.size() == 2);
            host.clock.advance(Millis(1));
            host.server.stops[0].reply({OrderOutcome::Accepted, 5000});
            REQUIRE(host.server.starts.size() == 2);
        }
    }

    SECTION("an answer from before the start, overtaken by one that lists the run, does not end the task")
    {
        // Ended here, it would run a second time elsewhere.
        host.answerStart(0, OrderOutcome::Unanswered);
        const auto listing = host.server.holds.back().reply;
        host.clock.advance(Millis(1));
        host.core.tick();
        const auto before = host.server.holds.back().reply;
        host.clock.advance(Millis(1));
        listing(HostFixture::listing({{{"a", 0}, 1, 5}}));
        before(HostFixture::listing());
        REQUIRE(host.reports().at(0).phase == wire::TaskPhase::RUNNING);
    }

    SECTION("an answer that a newer one has overtaken brings back no run that has ended")
    {
        // Such a run would count as one of an earlier process, and the host would refuse all that waits.
        host.answerStart(0, OrderOutcome::Accepted);
        const auto older = host.server.holds.back().reply;
        later(1);
        older(HostFixture::listing({}, {{1, {"a", 0}, 1, RunEnd::Done}}));
        host.answerHold(HostFixture::listing({{{"a", 0}, 1, 90}}));
        REQUIRE(host.core.isReady());
        REQUIRE(host.server.stops.empty());

        SECTION("but a run that a later question lists is stopped, since it holds room that nobody counts")
        {
            host.answerHold(HostFixture::listing({{{"a", 0}, 1, 90}}));
            REQUIRE(host.server.stops.size() == 1);
            REQUIRE_FALSE(host.core.isReady());
        }
    }
}

TEST_CASE("A host whose tasks were all moved away still counts as slow", "[host]")
{
    // Guards against a backend server that stands still and gets tasks on and on, since moves end what shows it: about
    // 35 tasks a second on a recorded day.
    HostFixture host;
    host.becomeAccepting();
    host.fromEntry(host.order("a", {0, 1, 2}, 4000));
    for (std::size_t i = 0; i < 3; ++i) {
        host.answerStart(i, OrderOutcome::Accepted);
    }
    const std::vector<RunningTask> standing = {{{"a", 0}, 1, 1}, {{"a", 1}, 1, 1}, {{"a", 2}, 1, 1}};
    for (int i = 0; i < 6; ++i) {
        host.clock.advance(Millis(40));
        host.keepLease();
        host.answerHold(HostFixture::listing(standing));
    }
    wire::StopTasks stop;
    stop.hostIncarnation = 1;
    stop.job = "a";
    stop.indexes = {0, 1, 2};
    host.fromEntry(stop);
    host.answerHold(HostFixture::listing(
        {}, {{1, {"a", 0}, 1, RunEnd::Stopped}, {2, {"a", 1}, 1, RunEnd::Stopped}, {3, {"a", 2}, 1, RunEnd::Stopped}}));
    const auto slowness = [&host] {
        host.sink.take();
        host.fromEntry(host.order("b", {0}, 17000)); // refused, with a report
        return host.sink.all<wire::TaskReports>().back().host.slowness;
    };
    REQUIRE(slowness() > 5.0);

    SECTION("and gets tasks again some seconds later")
    {
        host.clock.advance(Millis(3000));
        host.keepLease();
        REQUIRE(slowness() < 2.0);
    }
}
