#include <catch2/catch.hpp>

#include "host_fixture.h"

using namespace agatedrum;
using namespace agatedrum::test;

namespace {

PollReply otherInstance()
{
    PollReply reply;
    reply.outcome = OrderOutcome::OtherInstance;
    return reply;
}

/// Returns whether the host starts a small task of this job.
bool startsTask(HostFixture &host, const std::string &job)
{
    const auto before = host.server.starts.size();
    host.renewLease();
    host.receiveFromEntry(host.makeOrder(job, {0}, 1000));
    return host.server.starts.size() > before;
}

} // namespace

// Guards against tasks that are started by the capacity and the labels of a life of the backend server that has ended,
// while the first registration of the next one is lost.
TEST_CASE("A host takes no tasks once another instance has answered in place of its own", "[host]")
{
    HostFixture host;
    host.becomeAccepting();
    host.receiveFromEntry(host.makeOrder("running", {0}, 14000));
    host.answerStart(0, OrderOutcome::Accepted);
    host.receiveFromEntry(host.makeOrder("waiting", {1}, 4000));
    host.core.tick();
    REQUIRE(host.core.isReady());
    host.clock.advance(Millis(5));

    SECTION("to a poll")
    {
        host.answerPoll(otherInstance());
        REQUIRE_FALSE(host.core.isReady());
        REQUIRE_FALSE(startsTask(host, "a"));
    }
    SECTION("to a start, which was then not carried out")
    {
        host.receiveFromEntry(host.makeOrder("small", {2}, 1000));
        host.answerStart(1, OrderOutcome::OtherInstance);
        REQUIRE(host.takeReports().at(2).phase == wire::TaskPhase::REFUSED);
        REQUIRE_FALSE(host.core.isReady());
        REQUIRE_FALSE(startsTask(host, "a"));
    }
    SECTION("to a stop")
    {
        host.receiveStop("running", {0});
        host.server.stops.at(0).reply({OrderOutcome::OtherInstance, 0});
        REQUIRE_FALSE(host.core.isReady());
        REQUIRE_FALSE(startsTask(host, "a"));
    }
    SECTION("also if an answer of its own instance to an earlier poll comes after it")
    {
        host.receiveFromEntry(host.makeOrder("small", {2}, 1000));
        host.answerStart(1, OrderOutcome::OtherInstance);
        host.answerPoll(HostFixture::pollReply({{{"running", 0}, 1}}));
        REQUIRE_FALSE(startsTask(host, "a"));
    }
    SECTION("and refuses those that wait")
    {
        host.takeReports();
        host.answerPoll(otherInstance());
        host.core.tick();
        host.core.tick(); // sends the reports
        REQUIRE(host.takeReports().at(1).phase == wire::TaskPhase::REFUSED);
        REQUIRE(host.server.starts.size() == 1);
    }
    SECTION("until the next instance has registered and has answered")
    {
        host.answerPoll(otherInstance());
        auto next = HostFixture::registration(2000);
        next.capacity.cpuMillis = 2000;
        host.core.registerServer(next);
        REQUIRE_FALSE(startsTask(host, "a"));
        host.answerPoll(HostFixture::pollReply());
        REQUIRE(startsTask(host, "b"));
        REQUIRE(host.server.starts.back().order.server.startedAtMs == 2000);
    }
    SECTION("or until its own instance answers a later poll, since another process answered by mistake")
    {
        host.answerPoll(otherInstance());
        host.clock.advance(Millis(150));
        host.core.tick();
        host.renewLease();
        host.answerPoll(HostFixture::pollReply({{{"running", 0}, 1}}));
        REQUIRE(startsTask(host, "a"));
    }
}

// Guards against a clock that was read from another instance: leases and the ages of registrations follow from it.
TEST_CASE("A host does not read its backend server's clock from another instance", "[host]")
{
    HostFixture host;
    host.becomeAccepting();
    auto reply = otherInstance();
    reply.clockMs = 900000;
    host.answerPoll(reply);
    host.clock.advance(Millis(150));
    host.core.tick();
    host.receiveFromEntry(host.makeOrder("a", {0}));
    host.core.tick();
    REQUIRE(host.server.polls.back().order.leaseUntilMs < 10000);
}
