#include "control_open.h"

#include <catch2/catch.hpp>

using namespace agatedrum;
using namespace agatedrum::test;

namespace {

/// Starts all processes and waits until three vote and the fourth is a learner. Later starts do not bootstrap a group.
void formGroup(DurableCluster &cluster)
{
    cluster.startAll();
    REQUIRE(cluster.waitForLeader());
    REQUIRE(cluster.runUntil(Millis(3000), [&] { return cluster.learners().size() == 1; }));
    cluster.mayBootstrap = false;
}

void acceptConfig(DurableCluster &cluster, std::int64_t number)
{
    auto &operatorTool = cluster.addMember("tool", wire::Role::ENTRY, 41101, "d1");
    REQUIRE(cluster.apply(operatorTool, configText(number)).accepted);
}

} // namespace

// Guards against an open group that cannot replace failed voters, or that lets a process with a wiped disk vote again.
TEST_CASE("Processes that are not listed can join an open control group", "[control]")
{
    OpenCluster cluster;
    cluster.startAll();
    REQUIRE(cluster.waitForLeader());
    REQUIRE(cluster.runUntil(Millis(3000), [&] { return cluster.learners().size() == 1; }));
    REQUIRE(cluster.voters().size() == listedProcesses);

    SECTION("a member that knows only the listed processes gets a lease")
    {
        auto &entry = cluster.addMember("entry-1", wire::Role::ENTRY, 41101, "d1");
        REQUIRE(cluster.runUntil(Millis(3000), [&] { return entry.link.hasLease(); }));
    }

    SECTION("a learner replaces an unresponsive voter, which rejoins as a learner after its restart")
    {
        const auto failedVoter = cluster.followerNumber();
        const auto name = cluster.group[failedVoter].name;
        cluster.kill(failedVoter);
        cluster.run(Millis(1000));
        REQUIRE(cluster.learners().size() == 1); // a short outage does not change the membership
        REQUIRE(cluster.runUntil(
            Millis(1500), [&] { return cluster.learners().empty() && cluster.voters().size() == listedProcesses; }));
        REQUIRE(cluster.voters().dump().find(name) == std::string::npos);
        cluster.mayBootstrap = false;
        cluster.start(failedVoter);
        REQUIRE(cluster.runUntil(Millis(5000), [&] { return cluster.learners().size() == 1; }));
        REQUIRE(cluster.voters().size() == listedProcesses);
    }

    SECTION("a voter whose disk was lost is replaced by a member with a new identity")
    {
        const auto failedVoter = cluster.followerNumber();
        const auto initialVoters = cluster.voters();
        cluster.kill(failedVoter);
        cluster.stores[failedVoter].reset();
        cluster.mayBootstrap = false;
        cluster.start(failedVoter);
        REQUIRE(cluster.runUntil(Millis(5000), [&] {
            return cluster.waitForLeader() && cluster.voters().size() == listedProcesses
                && cluster.voters() != initialVoters;
        }));
    }
}

// Guards against a group that loses its configuration because a loss is repaired later than the next one may come: a
// machine counts as lost until 4 s after its successor has started.
TEST_CASE("The group survives losses that follow each other as closely as they may", "[control]")
{
    DurableCluster cluster;
    formGroup(cluster);
    acceptConfig(cluster, 7);

    SECTION("the leader is lost for good, and a second one loses its disk when the successor has run for 4 s")
    {
        const auto first = static_cast<std::size_t>(cluster.leader());
        cluster.kill(first);
        cluster.addSuccessor();
        cluster.run(Millis(4000));
        const auto second = static_cast<std::size_t>(cluster.leader());
        cluster.loseDisk(second);
        cluster.run(Millis(1000));
        cluster.start(second);
    }
    SECTION("one machine after the other loses its disk, each when the one before has been back for 4 s")
    {
        for (int loss = 0; loss < 4; ++loss) {
            const auto lost = static_cast<std::size_t>(cluster.leader());
            cluster.loseDisk(lost);
            cluster.run(Millis(500));
            cluster.start(lost);
            cluster.run(Millis(4000));
        }
    }
    REQUIRE(cluster.waitForLeader());
    REQUIRE(cluster.currentLeader().configNumber() == 7);
}

// Guards against a stopping process that keeps its vote. Its successor may have run for 4 s, and then it doesn't count
// as lost, so that the next loss may come at once.
TEST_CASE("The group survives a loss right after the planned stop of a replaced voter", "[control]")
{
    DurableCluster cluster;
    formGroup(cluster);
    acceptConfig(cluster, 7);
    const auto stopping = cluster.followerNumber();
    cluster.addSuccessor();
    cluster.run(Millis(4000));
    cluster.cores[stopping]->beginStop();
    REQUIRE(cluster.runUntil(Millis(2000), [&] { return cluster.cores[stopping]->isDrained(); }));
    cluster.kill(stopping);
    const auto second = static_cast<std::size_t>(cluster.leader());
    cluster.loseDisk(second);
    cluster.run(Millis(1000));
    cluster.start(second);
    REQUIRE(cluster.waitForLeader());
    REQUIRE(cluster.currentLeader().configNumber() == 7);
}

// Guards against a repair that never comes: a process that the group does not know stays outside for good.
TEST_CASE("A process finds its way back into the group", "[control]")
{
    DurableCluster cluster;
    formGroup(cluster);

    SECTION("a voter that was replaced while it was cut off")
    {
        const auto cutOff = cluster.followerNumber();
        const auto name = cluster.group[cutOff].name;
        for (const auto &peer : cluster.group) {
            cluster.net.setPartitioned(cluster.group[cutOff].address.port, peer.address.port, true);
        }
        cluster.run(Millis(8000));
        REQUIRE(cluster.voters().dump().find(name) == std::string::npos);
        cluster.net.healPartitions();
        REQUIRE(
            cluster.runUntil(Millis(4000), [&] { return cluster.learners().dump().find(name) != std::string::npos; }));
        REQUIRE(cluster.voters().size() == listedProcesses);
    }
    SECTION("a new one that knows a follower only")
    {
        const auto follower = cluster.followerNumber();
        cluster.seeds = {cluster.group[follower]};
        const auto added = cluster.addSuccessor();
        REQUIRE(cluster.runUntil(Millis(2000), [&] {
            return cluster.learners().dump().find(cluster.group[added].name) != std::string::npos;
        }));
    }
    SECTION("a voter that is back while it is being replaced; the group keeps its number of voters")
    {
        const auto stopping = cluster.followerNumber();
        cluster.kill(stopping);
        REQUIRE(cluster.runUntil(Millis(3000), [&] { return cluster.voters().size() > listedProcesses; }));
        cluster.start(stopping);
        REQUIRE(cluster.runUntil(Millis(4000), [&] {
            return cluster.waitForLeader() && cluster.voters().size() == listedProcesses
                && cluster.learners().size() == 1;
        }));
    }
}

// Guards against a second group beside an existing one: after the first start, processes with empty disks must wait
// until the existing group adds them.
TEST_CASE("Processes with empty disks bootstrap no group after the first start", "[control]")
{
    OpenCluster cluster;
    cluster.mayBootstrap = false;
    cluster.startAll();
    cluster.run(Millis(3000));
    REQUIRE(cluster.leader() < 0);
}

// Guards against a control process that reports a configuration as accepted or current without a decision by the
// leader.
TEST_CASE("A control process answers configuration requests of its own operators", "[control]")
{
    OpenCluster cluster;
    cluster.startAll();
    REQUIRE(cluster.waitForLeader());
    wire::ApplyConfig request;
    request.text = configText(3);
    std::vector<LocalDecision> decisions;
    const auto handler = [&decisions](const LocalDecision &decision) { decisions.push_back(decision); };

    SECTION("the leader answers once the file is committed, and its reads are then authoritative")
    {
        cluster.currentLeader().applyLocal(request, handler);
        REQUIRE(decisions.empty());
        cluster.run(Millis(200));
        REQUIRE(decisions.at(0).decision.isAccepted);
        REQUIRE(cluster.currentLeader().readConfig().isAuthoritative);
        REQUIRE(cluster.currentLeader().readConfig().file.number == 3);
    }
    SECTION("a follower forwards a file to the leader, and names the leader when it is asked for the configuration")
    {
        auto &follower = *cluster.cores.at(cluster.followerNumber());
        cluster.run(Millis(500));
        follower.applyLocal(request, handler);
        REQUIRE(decisions.empty());
        cluster.run(Millis(200));
        REQUIRE(decisions.at(0).decision.isAccepted);
        REQUIRE(cluster.currentLeader().readConfig().file.number == 3);
        REQUIRE_FALSE(follower.readConfig().isAuthoritative);
        REQUIRE(follower.readConfig().leader == cluster.group.at(static_cast<std::size_t>(cluster.leader())).name);
    }
    SECTION("if the leader does not answer a forwarded file, the operator gets an error within 900 ms")
    {
        const auto other = cluster.followerNumber();
        auto &follower = *cluster.cores.at(other);
        cluster.run(Millis(500));
        cluster.net.setPartitioned(cluster.leaderPort(), cluster.group[other].address.port, true);
        follower.applyLocal(request, handler);
        cluster.run(Millis(900));
        REQUIRE(decisions.size() == 1);
        REQUIRE(decisions.at(0).decision.code == "unavailable");
    }
    SECTION("reads of a partitioned leader are not authoritative, since another leader may have accepted a newer file")
    {
        const auto formerLeader = static_cast<std::size_t>(cluster.leader());
        auto &core = cluster.currentLeader();
        for (const auto &peer : cluster.group) {
            if (peer.name != cluster.group[formerLeader].name) {
                cluster.net.setPartitioned(cluster.group[formerLeader].address.port, peer.address.port, true);
            }
        }
        cluster.run(Millis(600));
        REQUIRE_FALSE(core.readConfig().isAuthoritative);
    }
}

// Guards against an acknowledgement of a change that was lost: the leader's answer to a request of the previous process
// arrives at its successor on the same address, which has forwarded another request under the same id.
TEST_CASE("A restarted control process takes no answer to a request of the previous process", "[control]")
{
    DurableCluster cluster;
    formGroup(cluster);
    acceptConfig(cluster, 7);
    cluster.mayBootstrap = false;
    const auto restarted = cluster.followerNumber();
    const auto apply = [&](std::int64_t number, LocalDecisionHandler handler) {
        wire::ApplyConfig request;
        request.text = configText(number);
        cluster.cores[restarted]->applyLocal(request, std::move(handler));
    };
    cluster.run(Millis(500));
    const auto flushDisks = std::exchange(cluster.onStep, {}); // no disk completes a write
    apply(8, [](const LocalDecision &) {});
    cluster.run(Millis(20));
    cluster.kill(restarted);
    cluster.start(restarted);
    cluster.run(Millis(60));

    std::vector<LocalDecision> decisions;
    const auto leaderPort = cluster.leaderPort();
    cluster.net.setPartitioned(leaderPort, cluster.group[restarted].address.port, true);
    apply(9, [&decisions](const LocalDecision &decision) { decisions.push_back(decision); });
    cluster.run(Millis(20)); // the forwarded request is lost
    cluster.net.healPartitions();
    cluster.onStep = flushDisks;
    cluster.run(Millis(1500));
    REQUIRE(cluster.leaderCore().configNumber() == 8);
    REQUIRE(decisions.size() == 1);
    REQUIRE_FALSE(decisions[0].decision.isAccepted);
}
