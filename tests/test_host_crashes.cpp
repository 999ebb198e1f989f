#include <catch2/catch.hpp>

#include "host_fixture.h"

using namespace agatedrum;
using namespace agatedrum::test;

namespace {

/// A host with one active run of task a/0, known to one entry that it reports to.
struct CrashFixture : HostFixture
{
    CrashFixture()
    {
        wire::ClusterView view;
        view.version = 1;
        wire::MemberRef entry;
        entry.address = endpoint(43001);
        view.entries.push_back(entry);
        this->core.handle(incoming("control-1", wire::Role::CONTROL, 43000, view));
        this->becomeAccepting();
        this->receiveFromEntry(this->makeOrder("a", {0}));
        this->answerStart(0, OrderOutcome::Accepted);
        this->answerPoll(pollReply({{{"a", 0}, 1, 10}}));
    }

    /// Lets time pass with an entry that renews its lease and a backend server that refuses every poll.
    void refuseConnections(Millis time)
    {
        const auto end = this->clock.now() + time;
        while (this->clock.now() < end) {
            for (; this->answeredPolls < this->server.polls.size(); ++this->answeredPolls) {
                PollReply reply;
                reply.outcome = OrderOutcome::NotSent;
                const auto call = this->server.polls[this->answeredPolls].reply;
                call(reply);
            }
            this->clock.advance(Millis(5));
            this->renewLease();
            this->core.tick();
        }
    }
    /// Refuses the open poll and all that follow.
    void beginRefusals()
    {
        this->answeredPolls = this->server.polls.size();
        this->answerPoll({}); // the open poll breaks
        this->core.tick();
    }
    /// Returns the newest crashes that the host has reported to the entry.
    std::vector<wire::ServerCrash> reportedCrashes()
    {
        const auto reports = this->sink.all<wire::HostReport>();
        return reports.empty() ? std::vector<wire::ServerCrash>() : reports.back().crashes;
    }
    std::int64_t serversLost() const
    {
        return this->core.dump()["counters"]["host_servers_lost_total"].get<std::int64_t>();
    }

    std::size_t answeredPolls = 0;
};

} // namespace

// Guards against crashes of which no log line, counter or report tells the runs that were active.
TEST_CASE("A host tells the entries which runs were active when its backend server crashed", "[host]")
{
    CrashFixture host;

    SECTION("a backend server that refuses connections for a tenth of a second has crashed")
    {
        host.beginRefusals();
        host.refuseConnections(Millis(250));
        REQUIRE(host.serversLost() == 1);
        const auto crashes = host.reportedCrashes();
        REQUIRE(crashes.size() == 1);
        CHECK(crashes[0].server == "i-1@1000");
        REQUIRE(crashes[0].tasks.size() == 1);
        CHECK(crashes[0].tasks[0].job == "a");
        CHECK(crashes[0].tasks[0].index == 0);

        SECTION("its next instance shows the same crash, which counts once")
        {
            host.core.registerServer(HostFixture::registration(2000));
            host.answerPoll(HostFixture::pollReply());
            host.core.tick();
            REQUIRE(host.serversLost() == 1);
            REQUIRE(host.reportedCrashes().size() == 1);
        }
        SECTION("the crash is withdrawn if the same instance answers again")
        {
            host.answerPoll(HostFixture::pollReply({{{"a", 0}, 1, 50}}));
            host.clock.advance(Millis(250));
            host.core.tick();
            REQUIRE(host.reportedCrashes().size() == 1);
            REQUIRE(host.reportedCrashes()[0].tasks.empty());
        }
    }

    SECTION("one refused connection is no crash")
    {
        host.beginRefusals();
        host.refuseConnections(Millis(5));
        host.refuseConnections(Millis(90));
        host.answerPoll(HostFixture::pollReply({{{"a", 0}, 1, 50}}));
        host.clock.advance(Millis(250));
        host.core.tick();
        REQUIRE(host.serversLost() == 0);
        REQUIRE(host.reportedCrashes().empty());
    }

    SECTION("a backend server that is silent has not crashed, as far as its host knows")
    {
        for (int i = 0; i < 20; ++i) {
            host.answerPoll({});
            host.clock.advance(Millis(160));
            host.core.tick();
        }
        REQUIRE(host.serversLost() == 0);

        SECTION("until another instance replaces it")
        {
            host.core.registerServer(HostFixture::registration(2000));
            host.core.tick();
            REQUIRE(host.serversLost() == 1);
            REQUIRE(host.reportedCrashes().size() == 1);
        }
    }

    SECTION("a backend server that has announced its end has not crashed")
    {
        auto draining = HostFixture::registration(1000, 2);
        draining.isDraining = true;
        host.core.registerServer(draining);
        host.beginRefusals();
        host.refuseConnections(Millis(250));
        REQUIRE(host.serversLost() == 0);
    }
}

// Guards against a host that entries send task after task for 0.7 s although its backend server refuses connections.
TEST_CASE("A host accepts no tasks while its backend server refuses connections", "[host]")
{
    CrashFixture host;
    REQUIRE(host.core.isReady());
    host.beginRefusals();
    host.refuseConnections(Millis(5));

    SECTION("it refuses orders from the first refused poll on")
    {
        CHECK_FALSE(host.core.isReady());
        host.takeReports();
        host.receiveFromEntry(host.makeOrder("b", {3}));
        CHECK(host.takeReports().at(3).phase == wire::TaskPhase::REFUSED);
        CHECK(host.server.starts.size() == 1);
    }
    SECTION("it asks again within 20 ms, so that one refused connection of a busy backend server costs no more")
    {
        const auto pollCount = host.server.polls.size();
        host.clock.advance(Millis(20));
        host.core.tick();
        REQUIRE(host.server.polls.size() > pollCount);
        host.answerPoll(HostFixture::pollReply({{{"a", 0}, 1, 50}}));
        CHECK(host.core.isReady());
    }
}

// Guards against suspected tasks that run at the same second crash, so that innocent ones are failed with the culprit.
TEST_CASE("A host runs one suspected task at a time", "[host]")
{
    HostFixture host;
    host.becomeAccepting();
    auto first = host.makeOrder("a", {0}, 1000);
    first.orders[0].suspected = true;
    host.receiveFromEntry(first);
    host.answerStart(0, OrderOutcome::Accepted);
    host.takeReports();

    SECTION("it refuses a second one, and starts one that is not suspected")
    {
        auto second = host.makeOrder("b", {1}, 1000);
        second.orders[0].suspected = true;
        host.receiveFromEntry(second);
        CHECK(host.takeReports().at(1).phase == wire::TaskPhase::REFUSED);
        host.receiveFromEntry(host.makeOrder("c", {2}, 1000));
        host.answerStart(1, OrderOutcome::Accepted);
        CHECK(host.takeReports().at(2).phase == wire::TaskPhase::RUNNING);
    }
    SECTION("it starts the second one after the first has ended")
    {
        host.answerPoll(HostFixture::pollReply({}, {{1, {"a", 0}, 1, RunEnd::Done}}));
        auto second = host.makeOrder("b", {1}, 1000);
        second.orders[0].suspected = true;
        host.receiveFromEntry(second);
        host.answerStart(1, OrderOutcome::Accepted);
        CHECK(host.takeReports().at(1).phase == wire::TaskPhase::RUNNING);
    }
}
