#include "control_open.h"
#include "control_tolerance_p.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>

using namespace agatedrum;
using namespace agatedrum::test;

namespace {

/// Time within which the group has to be back after a loss (RecoveryS of the grown deployments).
constexpr Millis recoveryTime(15000);

void addOperator(DurableCluster &cluster)
{
    cluster.addMember("tool", wire::Role::ENTRY, 41900, "d1");
}

wire::ApplyReply apply(DurableCluster &cluster, std::int64_t number)
{
    return cluster.apply(*cluster.members.at("tool"), configText(number));
}

/// Starts all processes of a group that bears the losses, with a configuration of this number in force.
void formGroup(DurableCluster &cluster, std::int64_t number)
{
    const auto needed = 2 * static_cast<std::size_t>(cluster.tolerance.machines) + 1;
    cluster.startAll();
    REQUIRE(cluster.waitForVoters(needed));
    cluster.mayBootstrap = false;
    addOperator(cluster);
    // The voters may still change places until they are spread over the failure domains.
    REQUIRE(cluster.runUntil(Millis(5000), [&] { return apply(cluster, number).accepted; }));
}

/// Returns whether the group leads again within the recovery time, with the configuration.
bool isKept(DurableCluster &cluster, std::int64_t number)
{
    return cluster.runUntil(recoveryTime, [&] { return cluster.leader() >= 0; })
        && cluster.currentLeader().configNumber() == number;
}

/// Ends all processes, those of the list with their disks, and starts all again.
void loseAtOnce(DurableCluster &cluster, const std::vector<std::size_t> &lost, bool doOthersLosePower)
{
    for (std::size_t i = 0; i < cluster.group.size(); ++i) {
        if (std::find(lost.begin(), lost.end(), i) != lost.end()) {
            cluster.loseDisk(i);
        } else if (doOthersLosePower) {
            cluster.losePower(i);
        }
    }
    cluster.run(Millis(600));
    for (std::size_t i = 0; i < cluster.group.size(); ++i) {
        if (!cluster.cores[i]) {
            cluster.start(i);
        }
    }
}

/// Ends all processes and starts them with other losses to bear.
void restartToBear(DurableCluster &cluster, const LossTolerance &tolerance)
{
    for (std::size_t i = 0; i < cluster.group.size(); ++i) {
        cluster.kill(i);
    }
    cluster.tolerance = tolerance;
    for (std::size_t i = 0; i < cluster.group.size(); ++i) {
        cluster.start(i);
    }
}

/// Returns all pairs of numbers below the count.
std::vector<std::vector<std::size_t>> pairsBelow(std::size_t count)
{
    std::vector<std::vector<std::size_t>> pairs;
    for (std::size_t first = 0; first < count; ++first) {
        for (std::size_t second = first + 1; second < count; ++second) {
            pairs.push_back({first, second});
        }
    }
    return pairs;
}

/// Puts the processes into failure domains in turn.
void spread(DurableCluster &cluster, std::size_t domainCount)
{
    for (std::size_t i = 0; i < cluster.group.size(); ++i) {
        cluster.domains[cluster.group[i].name] = fmt::format("d{}", i % domainCount);
    }
}

} // namespace

// Guards against a group of three voters where two machines may lose their disks at once: no leader is elected any
// more, and the acknowledged configuration cannot be read.
TEST_CASE("An acknowledged configuration survives the loss of two disks at once", "[control]")
{
    const auto processes = GENERATE(5, 6, 8);
    const auto doOthersLosePower = GENERATE(false, true);
    for (const auto &lost : pairsBelow(static_cast<std::size_t>(processes))) {
        DurableCluster cluster(processes);
        cluster.tolerance = {2, 0};
        formGroup(cluster, 7);
        loseAtOnce(cluster, lost, doOthersLosePower);
        INFO(fmt::format("{} processes, lost {}, others lose power: {}", processes, fmt::join(lost, ","),
                         doOthersLosePower));
        REQUIRE(isKept(cluster, 7));
        REQUIRE(cluster.waitForVoters(5, recoveryTime));
        REQUIRE(apply(cluster, 8).accepted);
    }
}

// Guards against a loss that hits while the membership is being changed, when the newest membership may be known to
// some of the voters only.
TEST_CASE("An acknowledged configuration survives the loss of two disks during a change of members", "[control]")
{
    const auto processes = GENERATE(5, 6, 8);
    for (int delay = 0; delay < 400; delay += 9) {
        DurableCluster cluster(processes);
        cluster.tolerance = {2, 0};
        formGroup(cluster, 7);
        // One voter is away for so long that it is replaced; its disk is kept.
        const auto away = cluster.followerNumber();
        cluster.kill(away);
        cluster.run(Millis(1500 + delay));
        const auto leader = cluster.leader();
        REQUIRE(apply(cluster, 8).accepted);
        const auto first = static_cast<std::size_t>(leader);
        loseAtOnce(cluster, {first, (first + 2) % cluster.group.size()}, true);
        INFO(fmt::format("{} processes, delay {} ms", processes, delay));
        REQUIRE(isKept(cluster, 8));
    }
}

// Guards against a stop whose vote stays behind: the processes that stop in turn, as in a rolling stop, are down when
// the disks are lost.
TEST_CASE("An acknowledged configuration survives the loss of two disks during a rolling stop", "[control]")
{
    const auto processes = GENERATE(5, 8);
    for (std::size_t stopped = 0; stopped < static_cast<std::size_t>(processes); ++stopped) {
        DurableCluster cluster(processes);
        cluster.tolerance = {2, 0};
        formGroup(cluster, 7);
        for (std::size_t i = 0; i <= stopped; ++i) {
            cluster.cores[i]->beginStop();
            REQUIRE(cluster.runUntil(Millis(2000), [&] { return cluster.cores[i]->isDrained(); }));
            cluster.kill(i);
            if (i < stopped) {
                cluster.run(Millis(500));
                cluster.start(i);
                cluster.run(Millis(500));
            }
        }
        REQUIRE(cluster.runUntil(Millis(3000), [&] { return cluster.leader() >= 0; }));
        REQUIRE(apply(cluster, 8).accepted);
        const auto first = static_cast<std::size_t>(cluster.leader());
        const auto second = (first + 1) % cluster.group.size() == stopped ? (first + 2) % cluster.group.size()
                                                                          : (first + 1) % cluster.group.size();
        loseAtOnce(cluster, {first, second}, true);
        INFO(fmt::format("{} processes, {} is down", processes, stopped));
        REQUIRE(isKept(cluster, 8));
    }
}

// Guards against a group that keeps two identities of one machine as voters: the machine loses its disk, and loses it
// again while it is being taken in.
TEST_CASE("An acknowledged configuration survives a machine that loses its disk twice", "[control]")
{
    for (int delay = 0; delay < 900; delay += 6) {
        DurableCluster cluster(3);
        formGroup(cluster, 7);
        const auto lost = cluster.followerNumber();
        cluster.loseDisk(lost);
        cluster.run(Millis(100));
        cluster.start(lost);
        cluster.run(Millis(delay));
        cluster.loseDisk(lost);
        cluster.run(Millis(100));
        cluster.start(lost);
        cluster.run(Millis(2000));
        INFO(fmt::format("delay {} ms", delay));
        REQUIRE(isKept(cluster, 7));
        REQUIRE(cluster.waitForVoters(3, recoveryTime));
    }
}

// Guards against a lost voter that each new leader waits for anew: its successor has long had its time, so two further
// machines may be lost, while it still has its vote.
TEST_CASE("A voter that is gone for good is replaced although the leaders change", "[control]")
{
    DurableCluster cluster(8);
    cluster.tolerance = {2, 0};
    formGroup(cluster, 7);
    std::size_t gone = 0;
    while (static_cast<int>(gone) == cluster.leader() || !cluster.isVoter(gone)) {
        ++gone;
    }
    cluster.loseDisk(gone);
    cluster.run(Millis(1000));
    cluster.addSuccessor();
    const auto successorStartedAt = cluster.clock.now();
    while (cluster.clock.now() - successorStartedAt < Millis(4000)) {
        REQUIRE(cluster.runUntil(Millis(3000), [&] { return cluster.leader() >= 0; }));
        // A split in halves, the leader in the one with the fewer voters.
        std::set<std::size_t> half {static_cast<std::size_t>(cluster.leader())};
        for (const bool areVoters : {false, true}) {
            for (std::size_t i = 0; i < cluster.group.size() && half.size() < 4; ++i) {
                if (i != gone && cluster.isVoter(i) == areVoters) {
                    half.insert(i);
                }
            }
        }
        for (const auto inside : half) {
            for (std::size_t i = 0; i < cluster.group.size(); ++i) {
                if (half.count(i) == 0) {
                    cluster.net.setPartitioned(cluster.group[inside].address.port, cluster.group[i].address.port, true);
                }
            }
        }
        cluster.run(Millis(800));
        cluster.net.healPartitions();
        cluster.run(Millis(400));
    }
    REQUIRE(cluster.runUntil(Millis(3000), [&] { return cluster.leader() >= 0; }));
    REQUIRE_FALSE(cluster.isVoter(gone));
}

// Guards against an acknowledgement that the group cannot keep: too few disks hold the log for the losses to bear.
TEST_CASE("A group with too few voters for the losses to bear accepts no change", "[control]")
{
    DurableCluster cluster(4);
    cluster.tolerance = {2, 0};
    cluster.startAll();
    REQUIRE(cluster.waitForVoters(4));
    cluster.run(Millis(1000));
    addOperator(cluster);
    const auto refused = apply(cluster, 7);
    REQUIRE_FALSE(refused.accepted);
    REQUIRE(refused.code == "unavailable");

    SECTION("until a further process with a disk votes")
    {
        cluster.mayBootstrap = false;
        cluster.addSuccessor();
        REQUIRE(cluster.waitForVoters(5));
        REQUIRE(apply(cluster, 7).accepted);
    }
}

// Guards against a group from before the voters followed from the losses: its disks name three voters, and it would
// acknowledge changes that two losses take away.
TEST_CASE("A group that an earlier version formed with three voters grows before it accepts a change", "[control]")
{
    DurableCluster cluster(5);
    formGroup(cluster, 7); // three voters
    restartToBear(cluster, {2, 0});
    REQUIRE(cluster.runUntil(Millis(3000), [&] { return cluster.leader() >= 0; }));
    REQUIRE(cluster.currentLeader().configNumber() == 7);
    const auto isEarly = cluster.voters().size() < 5;
    REQUIRE(isEarly);
    REQUIRE_FALSE(apply(cluster, 8).accepted);
    REQUIRE(cluster.waitForVoters(5));
    REQUIRE(apply(cluster, 8).accepted);
    loseAtOnce(cluster, {0, 1}, true);
    REQUIRE(isKept(cluster, 8));
}

// Guards against an acknowledgement under a membership that is not committed: the leader has appended the fifth voter,
// and is lost with another disk before any process has received it.
TEST_CASE("A change that is in force is acknowledged again only under a committed membership", "[control]")
{
    DurableCluster cluster(5);
    formGroup(cluster, 7); // three voters
    restartToBear(cluster, {2, 0});
    REQUIRE(cluster.waitForVoters(5));
    const auto leader = static_cast<std::size_t>(cluster.leader());
    wire::ApplyConfig request;
    request.text = configText(7);
    request.ignoreIfNotHigher = true;
    std::vector<LocalDecision> decisions;
    cluster.cores[leader]->applyLocal(request,
                                      [&decisions](const LocalDecision &decision) { decisions.push_back(decision); });
    REQUIRE(decisions.size() == 1);
    const bool isAcknowledged = decisions[0].decision.isAccepted;
    loseAtOnce(cluster, {leader, cluster.followerNumber()}, true);
    REQUIRE((!isAcknowledged || isKept(cluster, 7)));
}

// Guards against voters that stand together: the loss of one failure domain takes a majority of them.
TEST_CASE("An acknowledged configuration survives the loss of a failure domain", "[control]")
{
    const auto machines = GENERATE(1, 2);
    for (std::size_t lostDomain = 0; lostDomain < 3; ++lostDomain) {
        DurableCluster cluster(6);
        cluster.tolerance = {machines, 1};
        spread(cluster, 3);
        // The listed processes, which form the group, are two of one failure domain and one of another.
        cluster.domains[cluster.group[1].name] = "d0";
        cluster.domains[cluster.group[3].name] = "d1";
        formGroup(cluster, 7);
        std::vector<std::size_t> lost;
        for (std::size_t i = 0; i < cluster.group.size(); ++i) {
            if (cluster.domains[cluster.group[i].name] == fmt::format("d{}", lostDomain)) {
                lost.push_back(i);
            }
        }
        REQUIRE(lost.size() == 2);
        loseAtOnce(cluster, lost, true);
        INFO(fmt::format("{} machines, domain {}", machines, lostDomain));
        REQUIRE(isKept(cluster, 7));
    }
}

// Guards against a process without a disk that votes: its vote and its entries are lost with the process.
TEST_CASE("A process without a disk serves operators and never votes", "[control]")
{
    DurableCluster cluster(6);
    const auto diskless = GENERATE(values<std::vector<std::size_t>>({{5}, {0}, {1, 2}, {0, 1, 2}}));
    for (const auto number : diskless) {
        cluster.observers.insert(cluster.group[number].name);
    }
    INFO(fmt::format("without a disk: {}", fmt::join(diskless, ",")));
    cluster.startAll();
    REQUIRE(cluster.waitForVoters(3));
    cluster.run(Millis(1000));
    for (const auto &list : {cluster.voters(), cluster.learners()}) {
        for (const auto number : diskless) {
            REQUIRE(list.dump().find(cluster.group[number].name) == std::string::npos);
        }
    }
    auto &observer = *cluster.cores[diskless.front()];
    wire::ApplyConfig request;
    request.text = configText(3);
    std::vector<LocalDecision> decisions;
    observer.applyLocal(request, [&decisions](const LocalDecision &decision) { decisions.push_back(decision); });
    cluster.run(Millis(300));
    REQUIRE(decisions.at(0).decision.isAccepted);
    REQUIRE_FALSE(observer.readConfig().isAuthoritative);
    REQUIRE(observer.readConfig().leader == cluster.group.at(static_cast<std::size_t>(cluster.leader())).name);

    SECTION("it takes other listed processes from new settings")
    {
        const auto leader = static_cast<std::size_t>(cluster.leader());
        observer.setContacts({cluster.group[leader]});
        cluster.run(Millis(2000));
        REQUIRE(observer.readConfig().leader == cluster.group[leader].name);
    }
    SECTION("a restarted one finds the leader again")
    {
        cluster.mayBootstrap = false;
        cluster.kill(diskless.front());
        cluster.run(Millis(500));
        cluster.start(diskless.front());
        cluster.run(Millis(1000));
        REQUIRE_FALSE(cluster.cores[diskless.front()]->readConfig().leader.empty());
    }
}

// Guards against a wrong number of voters: too few lose a decision, too many cost messages.
TEST_CASE("The number of voters follows from the losses to bear and the failure domains", "[control]")
{
    const std::vector<std::string> threeDomains {"a", "b", "c", "a", "b", "c", "a", "b", "c"};
    const std::vector<std::string> oneDomain(9, "a");
    REQUIRE(votersNeeded(threeDomains, {0, 0}) == 3);
    REQUIRE(votersNeeded(threeDomains, {1, 0}) == 3);
    REQUIRE(votersNeeded(threeDomains, {1, 1}) == 3);
    REQUIRE(votersNeeded(threeDomains, {2, 1}) == 5);
    REQUIRE(votersNeeded(threeDomains, {3, 0}) == 7);
    REQUIRE(votersNeeded(oneDomain, {2, 0}) == 5);
    REQUIRE(votersNeeded({"a", "b"}, {2, 0}) == 5); // more than there are
    REQUIRE(bearsLosses({"a", "b", "c"}, {1, 1}));
    REQUIRE_FALSE(bearsLosses({"a", "a", "c"}, {1, 1}));
    REQUIRE(bearsLosses({"a", "a", "b", "b", "c"}, {2, 1}));
    REQUIRE_FALSE(bearsLosses({"a", "a", "a", "b", "c"}, {2, 1}));
    REQUIRE_FALSE(bearsLosses({"a", "b", "c", "d"}, {2, 0}));
    REQUIRE(bearsLosses({"", "", ""}, {1, 1})); // unknown ones count as domains of their own
    REQUIRE_FALSE(bearsLosses({}, {0, 0}));
}
