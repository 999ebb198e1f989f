#include <catch2/catch.hpp>

#include "control_faults.h"
#include "control_sim.h"
#include "dispatch_core_p.h"
#include "host_fixture.h"
#include "host_ramp_p.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace agatedrum;
using namespace agatedrum::test;

namespace {

using Domains = std::vector<std::string>;

/// A control group with an agent in failure domain d1 and an entry from which operators send orders.
struct EvacuationGroup
{
    static constexpr std::size_t processes = 3;

    SimCluster cluster {processes};
    std::vector<FakeDisk> disks {processes};
    std::mt19937_64 random {7};
    SimMember *entry = nullptr;
    SimMember *agent = nullptr;
    std::int64_t lastRequest = 0;

    EvacuationGroup()
    {
        this->cluster.onStep = [this] {
            for (const auto &store : this->cluster.stores) {
                static_cast<SimStore &>(*store).flush();
            }
        };
        this->startAll();
        REQUIRE(this->cluster.runUntil(Millis(3000), [this] { return this->cluster.leader() >= 0; }));
        this->entry = &this->cluster.addMember("entry-1", wire::Role::ENTRY, 41101, "d0");
        this->agent = &this->cluster.addAgent("agent-1", 41301, "tank");
        this->cluster.run(Millis(1500));
    }

    /// Starts all processes with what is on their disks.
    void startAll()
    {
        for (std::size_t i = 0; i < processes; ++i) {
            this->cluster.stores.at(i) = std::make_shared<SimStore>(this->disks.at(i), false);
        }
        this->cluster.startAll();
    }
    /// Ends all processes and loses what their disks have not synced.
    void losePower()
    {
        for (std::size_t i = 0; i < processes; ++i) {
            this->cluster.kill(i);
            this->disks.at(i).crash(this->random);
        }
    }

    wire::OrderEvacuation makeOrder(bool isActive, const std::string &domain = "d1")
    {
        wire::OrderEvacuation order;
        order.requestId = ++this->lastRequest;
        order.failureDomain = domain;
        order.active = isActive;
        order.author = "operator";
        return order;
    }
    /// Sends an order to the leader as it is.
    wire::ApplyReply send(const wire::OrderEvacuation &order)
    {
        this->entry->applyReplies.clear();
        this->entry->send(this->cluster.leaderPort(), order);
        this->cluster.runUntil(Millis(2000), [this] { return !this->entry->applyReplies.empty(); });
        REQUIRE(this->entry->applyReplies.size() == 1);
        return this->entry->applyReplies.front();
    }
    /// Sends an order and confirms it if the leader asks for that.
    wire::ApplyReply order(bool isActive, const std::string &domain = "d1")
    {
        auto message = this->makeOrder(isActive, domain);
        auto reply = this->send(message);
        if (reply.code != "confirm") {
            return reply;
        }
        message.__set_expectedIndex(reply.orderIndex);
        return this->send(message);
    }
    /// Gives an order at a control process, as an operator connected to it does.
    std::string orderAt(std::size_t number, bool isActive)
    {
        std::string code;
        this->cluster.cores.at(number)->orderEvacuationLocal(
            this->makeOrder(isActive), [&code](const LocalDecision &decision) { code = decision.decision.code; });
        this->cluster.runUntil(Millis(2000), [&code] { return !code.empty(); });
        return code;
    }
    std::size_t follower() const
    {
        return this->cluster.leader() == 0 ? 1 : 0;
    }
    Domains known(const SimMember &member)
    {
        this->cluster.run(Millis(600));
        return member.link.evacuatedDomains();
    }
};

} // namespace

// Guards against an acknowledged evacuation that is forgotten, that does not reach a process, or that comes back.
TEST_CASE("An evacuation is kept by the control group and told to every member", "[evacuation]")
{
    EvacuationGroup group;
    REQUIRE(group.order(true).code == "accepted");

    SECTION("every member learns of it")
    {
        REQUIRE(group.known(*group.entry) == Domains {"d1"});
        REQUIRE(group.agent->link.isOwnDomainEvacuated());
        REQUIRE_FALSE(group.entry->link.isOwnDomainEvacuated());
    }

    SECTION("it survives the loss of the leader, or a loss of power right after the answer, until it is withdrawn")
    {
        if (GENERATE(false, true)) {
            group.losePower();
            group.startAll();
        } else {
            group.cluster.kill(static_cast<std::size_t>(group.cluster.leader()));
        }
        REQUIRE(group.cluster.runUntil(Millis(5000), [&] { return group.cluster.leader() >= 0; }));
        auto &later = group.cluster.addMember("entry-2", wire::Role::ENTRY, 41102, "d0");
        group.cluster.run(Millis(1500));
        REQUIRE(group.known(later) == Domains {"d1"});
        REQUIRE(group.order(true).code == "accepted");
        REQUIRE(group.order(false).code == "accepted");
        REQUIRE(group.known(later).empty());
    }

    SECTION("a snapshot contains it")
    {
        ControlState restored;
        restored.restore(group.cluster.leaderCore().state().image());
        REQUIRE(restored.evacuation("d1").active);
        REQUIRE(restored.view("agent-1").evacuatedDomains == Domains {"d1"});
    }
}

// Guards against an order that was delayed on its way and undoes a newer one.
TEST_CASE("Orders may be repeated, and a late one does not override a newer one", "[evacuation]")
{
    EvacuationGroup group;

    SECTION("a repeated order changes nothing, and neither does the return of a domain that is in service")
    {
        REQUIRE(group.order(false).code == "accepted");
        REQUIRE(group.cluster.leaderCore().state().evacuations().empty());
        REQUIRE(group.order(true).code == "accepted");
        const auto index = group.cluster.leaderCore().state().evacuation("d1").orderIndex;
        REQUIRE(group.order(true).code == "accepted");
        REQUIRE(group.cluster.leaderCore().state().evacuation("d1").orderIndex == index);
    }

    SECTION("a confirmed order that arrives after newer ones is refused as superseded")
    {
        auto late = group.makeOrder(true);
        late.__set_expectedIndex(group.send(late).orderIndex);
        REQUIRE(group.order(true).code == "accepted");
        REQUIRE(group.order(false).code == "accepted");
        REQUIRE(group.send(late).code == "superseded");
        REQUIRE(group.known(*group.entry).empty());
    }

    SECTION("two domains can be evacuated at once, and each is returned by itself")
    {
        group.cluster.addMember("agent-2", wire::Role::AGENT, 41302, "d2").report.server = wire::ServerInfo();
        group.cluster.run(Millis(1000));
        REQUIRE(group.order(true).code == "accepted");
        REQUIRE(group.order(true, "d2").code == "accepted");
        REQUIRE(group.known(*group.entry) == Domains {"d1", "d2"});
        REQUIRE(group.order(false).code == "accepted");
        REQUIRE(group.known(*group.entry) == Domains {"d2"});
    }

    SECTION("a domain that no process and no setting names is refused with a reason")
    {
        const auto reply = group.order(true, "nowhere");
        REQUIRE(reply.code == "unknown-domain");
        REQUIRE_THAT(reply.message, Catch::Contains("nowhere"));
    }

    SECTION("an operator may use a process that does not lead")
    {
        REQUIRE(group.orderAt(group.follower(), true) == "accepted");
        REQUIRE(group.known(*group.entry) == Domains {"d1"});
        REQUIRE(group.orderAt(static_cast<std::size_t>(group.cluster.leader()), false) == "accepted");
        REQUIRE(group.known(*group.entry).empty());
    }

    SECTION("without a leader, the operator is told that nothing was decided")
    {
        const auto follower = group.follower();
        for (std::size_t i = 0; i < 3; ++i) {
            if (i != follower) {
                group.cluster.kill(i);
            }
        }
        group.cluster.run(Millis(3000));
        REQUIRE(group.orderAt(follower, true) == "unavailable");
    }
}

namespace {

ServerRegistration registrationIn(const std::string &domain)
{
    auto registration = HostFixture::registration();
    registration.failureDomain = domain;
    return registration;
}

wire::ClusterView viewOf(std::int64_t version, const Domains &domains)
{
    wire::ClusterView view;
    view.version = version;
    view.evacuatedDomains = domains;
    return view;
}

/// Receives a view of the control group.
template<typename Core>
void receiveView(Core &core, std::int64_t version, const Domains &domains)
{
    core.handle(incoming("control-1", wire::Role::CONTROL, 43000, viewOf(version, domains)));
}

} // namespace

// Guards against a start in an evacuated failure domain by an order of an entry that does not know of the evacuation.
TEST_CASE("A host of an evacuated failure domain starts nothing", "[evacuation]")
{
    HostFixture fixture;
    fixture.core.registerServer(registrationIn("d1"));
    fixture.answerPoll(HostFixture::pollReply());
    fixture.receiveFromEntry(fixture.makeOrder("j1", {0, 1, 2}));
    REQUIRE(fixture.server.starts.size() == 2); // the third waits for capacity
    fixture.answerStart(0, OrderOutcome::Accepted);
    fixture.answerStart(1, OrderOutcome::Accepted);
    fixture.takeReports();
    receiveView(fixture.core, 2, {"d0", "d1"});

    SECTION("waiting tasks are refused, so that their entries place them elsewhere; running ones go on")
    {
        REQUIRE(fixture.takeReports().at(2).phase == wire::TaskPhase::REFUSED);
        REQUIRE(fixture.server.stops.empty());
    }

    SECTION("new orders are refused, also when capacity becomes free")
    {
        fixture.receiveStop("j1", {0, 1});
        fixture.receiveFromEntry(fixture.makeOrder("j2", {0}, 1000));
        REQUIRE(fixture.server.starts.size() == 2);
        REQUIRE(fixture.takeReports().at(0).phase == wire::TaskPhase::REFUSED);
    }

    SECTION("after the return it starts tasks, at first in a part of its capacity, also if an older view arrives")
    {
        receiveView(fixture.core, 3, {"d0"});
        receiveView(fixture.core, 2, {"d1"});
        fixture.receiveFromEntry(fixture.makeOrder("j2", {0}, 3000));
        REQUIRE(fixture.server.starts.size() == 2); // 12 of 16 cores run, and the ramp withholds the rest
        REQUIRE(fixture.takeReports().at(0).phase == wire::TaskPhase::QUEUED);
        fixture.clock.advance(Millis(400));
        fixture.renewLease();
        REQUIRE(fixture.server.starts.size() == 2);
    }
}

// Guards against a returned failure domain that gets its whole load at the moment when its servers are slowest.
TEST_CASE("A returned host offers a rising share of its processors", "[evacuation]")
{
    HostRamp ramp(Millis(4000));
    wire::Resources capacity;
    capacity.cpuMillis = 8000;
    capacity.memoryMb = 100;
    const auto begin = Time(Millis(1000));
    REQUIRE(ramp.withheld(capacity, begin) == wire::Resources());
    ramp.begin(begin);
    REQUIRE(ramp.withheld(capacity, begin).cpuMillis == 6000);
    REQUIRE(ramp.withheld(capacity, begin).memoryMb == 0);
    REQUIRE(ramp.withheld(capacity, begin + Millis(2000)).cpuMillis == 3000);
    REQUIRE(ramp.remaining(begin + Millis(3000)) == Millis(1000));
    REQUIRE(ramp.withheld(capacity, begin + Millis(4000)) == wire::Resources());
    ramp.begin(begin);
    ramp.cancel();
    REQUIRE(ramp.withheld(capacity, begin) == wire::Resources());
}

// Guards against an entry that places tasks in an evacuated failure domain, and a backlog that shows the loss too late.
TEST_CASE("An entry places nothing in an evacuated failure domain", "[evacuation]")
{
    ManualClock clock;
    const auto now = clock.now();
    DispatchHosts hosts {Millis(700)};
    wire::HostReport report;
    report.serviceName = "visits";
    report.accepting = true;
    report.capacity.cpuMillis = 12000;
    report.sequence = 1;
    for (const std::string domain : {"d1", "d2"}) {
        report.failureDomain = domain;
        report.evacuated = false;
        hosts.update(incoming("host-" + domain, wire::Role::AGENT, 44003, report), report, now);
    }
    std::vector<TaskRequest> tasks(4);
    for (auto &task : tasks) {
        task.demand.cpuMillis = 6000;
        task.estimate = Millis(100);
    }
    const PlacementGoal goal {Millis(200), Millis(1500)};

    SECTION("by the view of the control group")
    {
        auto candidates = hosts.candidates({"visits", 0, {"d1"}}, now);
        for (const auto &placement : placeTasks(tasks, goal, candidates, 1.0)) {
            REQUIRE(candidates.at(static_cast<std::size_t>(placement.host)).name == "host-d2");
        }
    }

    SECTION("by the report of a host that has a newer view")
    {
        report.evacuated = true;
        report.sequence = 2;
        hosts.update(incoming("host-d2", wire::Role::AGENT, 44003, report), report, now);
        auto candidates = hosts.candidates({"visits", 0, {}}, now);
        REQUIRE(candidates.at(static_cast<std::size_t>(placeTasks(tasks, goal, candidates, 1.0)[0].host)).name
                == "host-d1");
    }

    SECTION("nowhere, if all domains are evacuated; the job is then refused at once")
    {
        auto candidates = hosts.candidates({"visits", 0, {"d1", "d2"}}, now);
        const auto placements = placeTasks(tasks, goal, candidates, 1.0);
        REQUIRE(placements[0].host == -1);
        REQUIRE(Admission(0.0).evaluate(RouteConfig(), tasks, placements, Millis(1500)));
    }
}
