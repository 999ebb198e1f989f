#include <catch2/catch.hpp>

#include "host_fixture.h"

#include <algorithm>
#include <iterator>
#include <vector>

using namespace agatedrum;
using namespace agatedrum::test;

TEST_CASE("While answers of a backend server are lost, a host still learns the state of its tasks quickly", "[host]")
{
    // Guards against short tasks that end late because one lost answer hides their end, or a lost start order, for
    // 160 ms.
    HostFixture host;
    host.becomeAccepting();
    host.receiveFromEntry(host.makeOrder("a", {0}));
    const auto advanceAndTick = [&host](int ms) {
        host.clock.advance(Millis(ms));
        host.renewLease();
        host.core.tick();
    };

    SECTION("after a lost start answer two long polls are open, so that the loss of one answer hides no ended run")
    {
        host.answerStart(0, OrderOutcome::Unanswered);
        host.core.tick();
        std::vector<FakeTaskServer::Call<PollOrder, PollReply>> longPolls;
        std::copy_if(host.server.polls.begin() + 1, host.server.polls.end(), std::back_inserter(longPolls),
                     [](const auto &call) { return call.order.wait > Millis(0); });
        REQUIRE(longPolls.size() == 2);
        longPolls[1].reply(HostFixture::pollReply({}, {{1, {"a", 0}, 1, RunEnd::Done}}));
        REQUIRE(host.takeReports().at(0).phase == wire::TaskPhase::SUCCEEDED);

        SECTION("one long poll is open again after no answer was lost for some seconds")
        {
            advanceAndTick(3000);
            const auto pollCount = host.server.polls.size();
            longPolls[0].reply(HostFixture::pollReply());
            host.server.polls.back().reply(HostFixture::pollReply());
            host.server.polls.at(pollCount).reply(HostFixture::pollReply());
            advanceAndTick(1);
            REQUIRE(host.server.polls.size() == pollCount + 2);
        }
    }

    SECTION("a start without an answer triggers an immediate poll before the start order times out")
    {
        advanceAndTick(20);
        const auto pollCount = host.server.polls.size();
        advanceAndTick(20);
        REQUIRE(host.server.polls.size() == pollCount + 1);
        REQUIRE(host.server.polls.back().order.wait == Millis(0));

        SECTION("a run that is not listed is stopped, which prevents a late start, and is reported as ended at once")
        {
            host.answerPoll(HostFixture::pollReply());
            REQUIRE(host.server.stops.size() == 1);
            host.clock.advance(Millis(1));
            host.server.stops[0].reply({OrderOutcome::Accepted, 5000});
            host.clock.advance(Millis(1));
            host.core.tick();
            REQUIRE(host.server.polls.back().order.wait == Millis(0));
            host.answerPoll(HostFixture::pollReply());
            REQUIRE(host.takeReports().at(0).phase == wire::TaskPhase::ENDED);
        }

        SECTION("a run that is listed continues, and the result of its start order changes nothing")
        {
            host.answerPoll(HostFixture::pollReply({{{"a", 0}, 1, 30}}));
            REQUIRE(host.server.stops.empty());
            host.answerStart(0, OrderOutcome::Unanswered);
            advanceAndTick(20);
            REQUIRE(host.server.stops.empty());
        }

        SECTION("its reservation is kept until a later poll shows that the stop was in time")
        {
            host.answerPoll(HostFixture::pollReply());
            host.receiveFromEntry(host.makeOrder("b", {0, 1}));
            REQUIRE(host.server.starts.size() == 2);
            host.clock.advance(Millis(1));
            host.server.stops[0].reply({OrderOutcome::Accepted, 5000});
            REQUIRE(host.server.starts.size() == 2);
        }
    }

    SECTION("a poll answer from before the start that arrives after one that lists the run does not end the task")
    {
        // If the task ended here, it would run a second time elsewhere.
        host.answerStart(0, OrderOutcome::Unanswered);
        const auto replyListing = host.server.polls.back().reply;
        host.clock.advance(Millis(1));
        host.core.tick();
        const auto replyBeforeStart = host.server.polls.back().reply;
        host.clock.advance(Millis(1));
        replyListing(HostFixture::pollReply({{{"a", 0}, 1, 5}}));
        replyBeforeStart(HostFixture::pollReply());
        REQUIRE(host.takeReports().at(0).phase == wire::TaskPhase::RUNNING);
    }

    SECTION("a poll answer that arrives out of order does not revive a run that has ended")
    {
        // Such a run would count as one of an earlier process, and the host would refuse all waiting tasks.
        host.answerStart(0, OrderOutcome::Accepted);
        const auto olderReply = host.server.polls.back().reply;
        advanceAndTick(1);
        olderReply(HostFixture::pollReply({}, {{1, {"a", 0}, 1, RunEnd::Done}}));
        host.answerPoll(HostFixture::pollReply({{{"a", 0}, 1, 90}}));
        REQUIRE(host.core.isReady());
        REQUIRE(host.server.stops.empty());

        SECTION("an ended run that a later poll lists is stopped, since it uses capacity that is not reserved")
        {
            host.answerPoll(HostFixture::pollReply({{{"a", 0}, 1, 90}}));
            REQUIRE(host.server.stops.size() == 1);
            REQUIRE_FALSE(host.core.isReady());
        }
    }
}

TEST_CASE("A host still counts as slow after all of its tasks were relocated", "[host]")
{
    // Guards against a stalled backend server that keeps getting tasks, because relocations end the runs that show the
    // stall. On a recorded day it got about 35 tasks per second.
    HostFixture host;
    host.becomeAccepting();
    host.receiveFromEntry(host.makeOrder("a", {0, 1, 2}, 4000));
    for (std::size_t i = 0; i < 3; ++i) {
        host.answerStart(i, OrderOutcome::Accepted);
    }
    const std::vector<RunningTask> stalledTasks = {{{"a", 0}, 1, 1}, {{"a", 1}, 1, 1}, {{"a", 2}, 1, 1}};
    for (int i = 0; i < 6; ++i) {
        host.clock.advance(Millis(40));
        host.renewLease();
        host.answerPoll(HostFixture::pollReply(stalledTasks));
    }
    host.receiveStop("a", {0, 1, 2});
    host.answerPoll(HostFixture::pollReply(
        {}, {{1, {"a", 0}, 1, RunEnd::Stopped}, {2, {"a", 1}, 1, RunEnd::Stopped}, {3, {"a", 2}, 1, RunEnd::Stopped}}));
    const auto slowness = [&host] {
        host.sink.take();
        host.receiveFromEntry(host.makeOrder("b", {0}, 17000)); // refused; the reply contains a host report
        return host.sink.all<wire::TaskReports>().back().host.slowness;
    };
    REQUIRE(slowness() > 5.0);

    SECTION("it counts as normal again some seconds later")
    {
        host.clock.advance(Millis(3000));
        host.renewLease();
        REQUIRE(slowness() < 2.0);
    }
}
