#include <catch2/catch.hpp>

#include "host_fixture.h"

using namespace agatedrum;
using namespace agatedrum::test;

namespace {

/// The clock of the backend server, which the fixture's answers set to 5000 ms.
constexpr std::int64_t serverClockMs = 5000;

/// A host with one running task of entry-1. The backend server's clock and the entry's lease start at the same time.
struct RunningTaskFixture : HostFixture
{
    explicit RunningTaskFixture(const HostLeaseTerms &terms = {})
        : HostFixture(hostOptions(terms))
    {
        this->becomeAccepting();
        this->receiveFromEntry(this->makeOrder("a", {0}));
        this->answerStart(0, OrderOutcome::Accepted);
        this->answerPoll(pollReply({{{"a", 0}, 1}}));
        this->renewLease();
        this->takeReports();
        this->startedAt = this->clock.now();
    }
    /// Answers the open poll with the running task, and returns the lease that the next poll grants, in milliseconds
    /// after the start of the test; 0 if it grants none.
    std::int64_t nextGrantMs()
    {
        this->answerPoll(pollReply({{{"a", 0}, 1}}));
        const auto leaseUntilMs = this->server.polls.back().order.leaseUntilMs;
        const auto elapsed = toMillis(this->clock.now() - this->startedAt);
        return leaseUntilMs == 0 ? 0 : leaseUntilMs - serverClockMs + elapsed;
    }
    void orderStop()
    {
        this->receiveStop("a", {0});
    }

    Time startedAt;
};

} // namespace

TEST_CASE("No run outlives its entry by more than the time of a stop, even if its host is lost too", "[host]")
{
    // Guards against two runs of one task: callers of a lost entry resubmit their jobs 1300 ms later. A host that
    // grants the full lease until the entry's lease expires, and is then killed, leaves the run for another second.
    RunningTaskFixture host;
    constexpr std::int64_t lastEndMs = AGATEDRUM_HOST_ENTRY_LEASE_MS + AGATEDRUM_HOST_EXPIRY_STOP_MS;

    SECTION("the lease that polls grant ends soon after the entry's lease")
    {
        while (host.clock.now() < host.startedAt + Millis(AGATEDRUM_HOST_ENTRY_LEASE_MS - 60)) {
            host.clock.advance(Millis(50));
            REQUIRE(host.nextGrantMs() <= lastEndMs);
        }
    }

    SECTION("a start for another entry does not extend it either")
    {
        host.clock.advance(Millis(350));
        host.nextGrantMs();
        host.clock.advance(Millis(350));
        host.nextGrantMs();
        host.renewLease("entry-2");
        host.receiveFromEntry(host.makeOrder("b", {0}, 1000), "entry-2");
        REQUIRE(host.server.starts.size() == 2);
        const auto elapsed = toMillis(host.clock.now() - host.startedAt);
        REQUIRE(host.server.starts[1].order.leaseUntilMs - serverClockMs + elapsed <= lastEndMs);
    }

    SECTION("if its stop is not answered, the run loses its lease, and no task starts until it has ended")
    {
        host.clock.advance(Millis(AGATEDRUM_HOST_ENTRY_LEASE_MS));
        host.core.tick();
        REQUIRE(host.server.stops.size() == 1);
        host.server.stops[0].reply({OrderOutcome::Unanswered, 0});
        host.clock.advance(Millis(AGATEDRUM_HOST_EXPIRY_STOP_MS));
        REQUIRE(host.nextGrantMs() == 0);
        host.renewLease("entry-2");
        host.receiveFromEntry(host.makeOrder("b", {0}, 1000), "entry-2");
        REQUIRE(host.server.starts.size() == 1);
        host.answerPoll(HostFixture::pollReply({}, {{1, {"a", 0}, 1, RunEnd::LeaseExpired}}));
        REQUIRE(host.server.starts.size() == 2);
        REQUIRE(host.server.polls.back().order.leaseUntilMs > serverClockMs + 500);
    }

    SECTION("nor does the lease under which a task of that entry starts after it has waited")
    {
        host.renewLease("entry-2");
        host.receiveFromEntry(host.makeOrder("b", {0}, 12000), "entry-2");
        while (host.clock.now() < host.startedAt + Millis(600)) {
            host.clock.advance(Millis(50));
            host.renewLease();
            REQUIRE(host.nextGrantMs() <= lastEndMs);
        }
        host.answerPoll(HostFixture::pollReply({}, {{1, {"a", 0}, 1, RunEnd::Done}}));
        REQUIRE(host.server.starts.size() == 2);
        REQUIRE(host.server.starts[1].order.leaseUntilMs - serverClockMs + toMillis(host.clock.now() - host.startedAt)
                <= lastEndMs);
    }

    SECTION("a waiting task does not start after the entry's lease, even before the next periodic check")
    {
        auto large = host.makeOrder("b", {0}, 12000);
        host.receiveFromEntry(large);
        REQUIRE(host.server.starts.size() == 1);
        host.clock.advance(Millis(600));
        host.nextGrantMs(); // the backend server is responsive
        host.clock.advance(Millis(AGATEDRUM_HOST_ENTRY_LEASE_MS - 600));
        host.answerPoll(HostFixture::pollReply({}, {{1, {"a", 0}, 1, RunEnd::Done}}));
        REQUIRE(host.server.starts.size() == 1);
    }
}

TEST_CASE("A run that was ordered to stop loses its lease if its stops are not answered", "[host]")
{
    // Guards against two runs of one task: polls renew the lease of all runs, so without a limit an unanswered stop
    // leaves the run until its own end, while the caller resubmits the job.
    RunningTaskFixture host;
    host.orderStop();
    for (int ms = 0; ms < AGATEDRUM_HOST_ORDERED_STOP_MS; ms += 50) {
        REQUIRE(host.nextGrantMs() <= AGATEDRUM_HOST_ORDERED_STOP_MS);
        host.clock.advance(Millis(49));
        host.renewLease();
    }
    REQUIRE(host.nextGrantMs() == 0);

    SECTION("after its end, the other runs get the full lease again")
    {
        host.renewLease();
        host.answerPoll(HostFixture::pollReply({}, {{1, {"a", 0}, 1, RunEnd::LeaseExpired}}));
        REQUIRE(host.takeReports().at(0).phase == wire::TaskPhase::ENDED);
        REQUIRE(host.server.polls.back().order.leaseUntilMs == serverClockMs + AGATEDRUM_SERVER_HOLD_MS);
    }
}

TEST_CASE("A host stops a run when the caller's deadline has passed", "[host]")
{
    // Guards against two runs of one task: an entry that is too slow to stop the tasks of a job whose caller has gone.
    RunningTaskFixture host;
    for (int ms = 0; ms < 1400; ms += 100) {
        host.clock.advance(Millis(100));
        host.renewLease();
    }
    host.core.tick();
    REQUIRE(host.server.stops.empty());
    host.clock.advance(Millis(100));
    host.renewLease();
    host.core.tick();
    REQUIRE(host.server.stops.size() == 1);
}

TEST_CASE("An order whose time has passed at its arrival is refused", "[host]")
{
    // Guards against a host that ends because it reports on a task that it has refused at once.
    HostFixture host;
    host.becomeAccepting();
    auto order = host.makeOrder("a", {0});
    order.timeLeftMicros = 0;
    host.receiveFromEntry(order);
    REQUIRE(host.takeReports().at(0).phase == wire::TaskPhase::REFUSED);
    REQUIRE(host.server.starts.empty());
}

TEST_CASE("A list of runs with an unreadable row does not end the runs that it lacks", "[host]")
{
    // Guards against two runs of one task: the unreadable row may be the one of the run.
    RunningTaskFixture host;
    auto reply = HostFixture::pollReply();
    reply.hasAllRuns = false;
    host.answerPoll(reply);
    REQUIRE(host.takeReports().empty());
    host.answerPoll(HostFixture::pollReply());
    REQUIRE(host.takeReports().at(0).phase == wire::TaskPhase::ENDED);
}

TEST_CASE("Orders for an earlier instance of a backend server have no effect on its next instance", "[host]")
{
    // Guards against two runs of one task: a backend server that starts again under its id remembers no token and its
    // clock starts anew, so it accepts a start order that was meant for its earlier instance and is carried out late.
    RunningTaskFixture host;
    const auto earlierFence = host.server.polls.back().order.fence;
    auto next = HostFixture::registration(7000, 1);
    next.clockMs = 10;

    SECTION("the token rises with the next instance, although its clock is lower")
    {
        host.core.registerServer(next);
        REQUIRE(host.server.polls.back().order.fence > earlierFence);
    }

    SECTION("a later process of the host uses a higher token for the next instance than the earlier process did")
    {
        HostFixture later;
        later.core.registerServer(next);
        REQUIRE(later.server.polls.back().order.fence > earlierFence);
    }

    SECTION("the token does not depend on how long the host has been up if the next instance's clock is at 0")
    {
        next.clockMs = 0;
        host.core.registerServer(next);
        REQUIRE(host.server.polls.back().order.fence < next.server.startedAtMs + 1000);
    }

    SECTION("the end of a task is reported only when the next instance has accepted the new token")
    {
        host.core.registerServer(next);
        REQUIRE(host.takeReports().empty());
        const auto stops = host.server.stops.size();
        host.answerPoll(HostFixture::pollReply({{{"a", 0}, 1}})); // the start was carried out late by the next instance
        REQUIRE(host.takeReports().empty());
        REQUIRE(host.server.stops.size() == stops + 1);
        host.answerPoll(HostFixture::pollReply());
        REQUIRE(host.takeReports().at(0).phase == wire::TaskPhase::ENDED);
    }

    SECTION("an order that is resent meanwhile is not refused")
    {
        host.core.registerServer(next);
        auto resent = host.makeOrder("a", {0});
        resent.orders[0].order = 1;
        host.receiveFromEntry(resent);
        REQUIRE(host.takeReports().at(0).phase == wire::TaskPhase::RUNNING);
    }

    SECTION("if the next instance has another address, the end is reported only after the earlier one's lease")
    {
        next.server.id = "i-2";
        next.server.address = endpoint(8081);
        host.core.registerServer(next);
        PollReply ofNext;
        ofNext.outcome = OrderOutcome::OtherInstance;
        host.server.polls.back().reply(ofNext); // until then, the present instance is kept
        host.answerPoll(HostFixture::pollReply());
        REQUIRE(host.core.isReady());
        REQUIRE(host.takeReports().empty());
        host.clock.advance(Millis(AGATEDRUM_SERVER_HOLD_MS * 102 / 100 + 60));
        host.answerPoll(HostFixture::pollReply());
        REQUIRE(host.takeReports().at(0).phase == wire::TaskPhase::ENDED);
    }

    SECTION("a restart of the next instance at its own address does not shorten the earlier one's lease")
    {
        PollReply ofNext;
        ofNext.outcome = OrderOutcome::OtherInstance;
        next.server.address = endpoint(8081);
        next.server.id = "i-2";
        host.core.registerServer(next);
        host.server.polls.back().reply(ofNext);
        next.server.startedAtMs += 100;
        host.core.registerServer(next);
        host.answerPoll(HostFixture::pollReply());
        REQUIRE(host.takeReports().empty());
    }
}

TEST_CASE("An order without an answer cannot be carried out after a later poll was accepted", "[host]")
{
    // Guards against runs that are started, or kept alive, by orders that are carried out seconds late.
    RunningTaskFixture host;
    const auto fence = host.server.polls.back().order.fence;

    SECTION("after an unanswered poll the next one has a higher token, and the runs keep their lease")
    {
        host.server.polls.back().reply({});
        REQUIRE(host.server.polls.back().order.fence > fence);
        REQUIRE(host.server.polls.back().order.leaseUntilMs > 0);
        REQUIRE(host.core.isReady());
    }

    SECTION("a start order that such a poll has overtaken is refused to the entry, and the host goes on")
    {
        host.receiveFromEntry(host.makeOrder("b", {1}));
        host.server.polls.back().reply({});
        host.takeReports();
        host.answerStart(1, OrderOutcome::Fenced);
        REQUIRE(host.takeReports().at(1).phase == wire::TaskPhase::REFUSED);
        REQUIRE(host.core.isReady());
    }

    SECTION("a token that is far too low reaches the one in use within a few seconds")
    {
        // Guards against a host that gets no tasks for hours because another process has used a high token.
        const auto usedFence = host.server.polls.back().order.fence + 100000000;
        int refusals = 0;
        while (host.server.polls.back().order.fence <= usedFence && refusals < 40) {
            PollReply fenced;
            fenced.outcome = OrderOutcome::Fenced;
            fenced.clockMs = serverClockMs;
            host.answerPoll(fenced);
            host.clock.advance(Millis(100));
            host.renewLease();
            host.core.tick();
            ++refusals;
        }
        REQUIRE(refusals < 40);
    }
}

TEST_CASE("A host keeps to the terms that follow from the time after which callers submit a job again", "[host]")
{
    // Guards against a shorter time that is read from the settings but has no effect on the leases.
    const auto terms = HostLeaseTerms::forCallerRetry(HostLeaseTerms::minCallerRetry());
    REQUIRE(terms);
    RunningTaskFixture host(*terms);
    const auto lastEndMs = (terms->entryLease() + terms->expiryStopTime()).count();
    while (host.clock.now() < host.startedAt + terms->entryLease() - Millis(60)) {
        host.clock.advance(Millis(50));
        REQUIRE(host.nextGrantMs() <= lastEndMs);
    }
    REQUIRE(host.server.stops.empty());
    host.clock.advance(host.startedAt + terms->entryLease() - host.clock.now());
    host.core.tick();
    REQUIRE(host.server.stops.size() == 1);
}
