#include "control_contacts_p.h"
#include "control_open.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace agatedrum;
using namespace agatedrum::test;

namespace {

/// CatchUpS of the smaller deployments: a successor that has run for this long counts as in place of the lost voter.
constexpr Millis catchUpTime(4000);
/// The pause between two ends of a leader; a silent voter was waited for longer than that by each leader.
constexpr Millis leaderPause(1100);

/// A group of three voters and one learner that has lost a voter for good; its successor starts 1 s later.
struct LossOfVoter
{
    explicit LossOfVoter(std::uint64_t seed)
        : cluster(4, seed)
    {
        this->cluster.tolerance = {1, 0};
        this->cluster.startAll();
        REQUIRE(this->cluster.waitForVoters(3));
        this->cluster.mayBootstrap = false;
        this->cluster.run(Millis(1000));
        while (static_cast<int>(this->gone) == this->cluster.leader() || !this->cluster.isVoter(this->gone)) {
            ++this->gone;
        }
        this->cluster.loseDisk(this->gone);
    }

    /// Ends the leader again and again until the successor has had its time.
    void endLeadersInTurn(const std::function<void(std::size_t)> &endLeader)
    {
        const auto lostAt = this->cluster.clock.now();
        std::optional<Time> successorStartedAt;
        while (!successorStartedAt || this->cluster.clock.now() - *successorStartedAt < catchUpTime) {
            if (!successorStartedAt && this->cluster.clock.now() - lostAt >= Millis(1000)) {
                this->cluster.addSuccessor();
                successorStartedAt = this->cluster.clock.now();
            }
            if (this->cluster.leader() >= 0) {
                endLeader(static_cast<std::size_t>(this->cluster.leader()));
            }
            this->cluster.run(leaderPause);
        }
        REQUIRE(this->cluster.runUntil(Millis(3000), [this] { return this->cluster.leader() >= 0; }));
    }

    DurableCluster cluster;
    std::size_t gone = 0;
};

/// Removes what a process of an earlier version does not tell. @param name of that process; empty for none
void leaveOutSilences(DurableCluster &cluster, const std::string &name)
{
    cluster.net.interceptor = [&name](IncomingMessage &message) {
        if (message.sender.name != name) {
            return;
        }
        if (auto *append = std::get_if<wire::AppendEntries>(&message.payload)) {
            append->__isset.silentMs = false;
            append->silentMs.clear();
        } else if (auto *vote = std::get_if<wire::VoteReply>(&message.payload)) {
            vote->silentMs.clear();
        }
    };
}

} // namespace

// Guards against a lost voter that each new leader waits for anew, in a group that bears one loss: the next disk that
// is lost, within the tolerance, leaves no majority.
TEST_CASE("A voter that is gone for good is replaced although its leaders end in turn", "[control]")
{
    const auto seed = GENERATE(range(1, 13));
    LossOfVoter loss(static_cast<std::uint64_t>(seed));
    auto &cluster = loss.cluster;
    INFO(fmt::format("seed {}", seed));

    SECTION("by planned stops")
    {
        loss.endLeadersInTurn([&cluster](std::size_t leader) {
            cluster.cores[leader]->beginStop();
            cluster.runUntil(Millis(2000), [&] { return cluster.cores[leader]->isDrained(); });
            cluster.kill(leader);
            cluster.start(leader);
        });
        REQUIRE_FALSE(cluster.isVoter(loss.gone));
    }
    SECTION("by crashes, after which a process knows of no earlier contact")
    {
        loss.endLeadersInTurn([&cluster](std::size_t leader) {
            cluster.kill(leader);
            cluster.run(Millis(200));
            cluster.start(leader);
        });
        REQUIRE_FALSE(cluster.isVoter(loss.gone));
    }
}

// Guards against voters that are replaced for a silence that is over: those that are heard again when a new leader
// begins, and have not answered it yet.
TEST_CASE("A voter that answers a new leader keeps its vote", "[control]")
{
    const auto seed = GENERATE(range(1, 9));
    INFO(fmt::format("seed {}", seed));
    DurableCluster cluster(8, static_cast<std::uint64_t>(seed));
    cluster.tolerance = {2, 0};
    cluster.startAll();
    REQUIRE(cluster.waitForVoters(5));
    cluster.run(Millis(1000));
    const auto voters = cluster.voters();

    SECTION("after a time in which nobody led")
    {
        for (std::size_t i = 0; i < cluster.group.size(); ++i) {
            cluster.cutOff(i);
        }
        cluster.run(Millis(4000));
        cluster.net.healPartitions();
        REQUIRE(cluster.runUntil(Millis(3000), [&cluster] { return cluster.leader() >= 0; }));
        cluster.run(Millis(1000));
        REQUIRE(cluster.voters() == voters);
    }
    SECTION("after it was cut off from the leader before")
    {
        const auto former = static_cast<std::size_t>(cluster.leader());
        std::size_t away = 0;
        while (away == former || !cluster.isVoter(away)) {
            ++away;
        }
        cluster.cutOff(away);
        cluster.run(Millis(1350));
        cluster.kill(former);
        // By then the silence is longer than the timeout.
        REQUIRE(cluster.runUntil(Millis(3000), [&cluster] { return cluster.leader() >= 0; }));
        cluster.net.healPartitions();
        cluster.run(Millis(300));
        REQUIRE(cluster.voters() == voters);
    }
}

// Guards against a leader that tells a silence of itself, which nobody answers: after its crash it would be replaced
// before it can be back.
TEST_CASE("A leader that restarts within the timeout keeps its vote", "[control]")
{
    const auto seed = GENERATE(range(1, 5));
    INFO(fmt::format("seed {}", seed));
    DurableCluster cluster(4, static_cast<std::uint64_t>(seed));
    cluster.startAll();
    REQUIRE(cluster.waitForVoters(3));
    cluster.run(Millis(3000));
    const auto voters = cluster.voters();
    for (int crash = 0; crash < 3; ++crash) {
        const auto leader = static_cast<std::size_t>(cluster.leader());
        cluster.kill(leader);
        cluster.run(Millis(1000));
        cluster.start(leader);
        cluster.run(Millis(2000));
        REQUIRE(cluster.leader() >= 0);
        REQUIRE(cluster.voters() == voters);
    }
}

// Guards against a silence that a leader of an earlier version ended without telling: the next leader would replace a
// voter that answered all the while.
TEST_CASE("Silences from before a leader of an earlier version do not count", "[control]")
{
    DurableCluster cluster(4);
    std::string earlierVersion;
    leaveOutSilences(cluster, earlierVersion);
    cluster.startAll();
    REQUIRE(cluster.waitForVoters(3));
    cluster.run(Millis(1000));
    std::size_t away = 0;
    while (static_cast<int>(away) == cluster.leader() || !cluster.isVoter(away)) {
        ++away;
    }
    const auto former = static_cast<std::size_t>(cluster.leader());
    earlierVersion = cluster.group[former].name;

    SECTION("a voter that was silent for a moment keeps its vote")
    {
        cluster.run(Millis(3000));
        cluster.kill(away);
        cluster.cores[former]->beginStop();
        REQUIRE(cluster.runUntil(
            Millis(1500), [&] { return cluster.leader() >= 0 && cluster.leader() != static_cast<int>(former); }));
        cluster.run(Millis(700));
        REQUIRE(cluster.isVoter(away));
    }
    SECTION("a voter that is gone is replaced as before")
    {
        cluster.loseDisk(away);
        cluster.run(Millis(2500));
        REQUIRE_FALSE(cluster.isVoter(away));
    }
}

// Guards against a record of contacts that moves back or that forgets too little.
TEST_CASE("The last contact with a member is the latest one that is known", "[control]")
{
    ControlContacts contacts;
    const Time start {Millis(100000)};
    contacts.noteHeard("a", start);
    REQUIRE_FALSE(contacts.lastHeardAt("b"));

    SECTION("told contacts count if they are later")
    {
        contacts.noteToldByMember({{"a", 3000}, {"b", 500}}, start + Millis(1000));
        REQUIRE(contacts.lastHeardAt("a") == start);
        REQUIRE(contacts.lastHeardAt("b") == start + Millis(500));
        contacts.noteToldByMember({{"a", 400}, {"b", -5}}, start + Millis(1000));
        REQUIRE(contacts.lastHeardAt("a") == start + Millis(600));
        REQUIRE(contacts.lastHeardAt("b") == start + Millis(1000));
    }
    SECTION("a leader has heard the members that it does not name, and forgets others")
    {
        contacts.noteToldByLeader({"b", "c"}, {{"c", 900}}, start + Millis(1000));
        REQUIRE_FALSE(contacts.lastHeardAt("a"));
        REQUIRE(contacts.lastHeardAt("b") == start + Millis(1000));
        REQUIRE(contacts.lastHeardAt("c") == start + Millis(100));
        REQUIRE(contacts.notableSilences(start + Millis(1050)) == ControlContacts::Silences {{"c", 950}});
        REQUIRE(contacts.silences(start + Millis(1050)) == ControlContacts::Silences {{"b", 50}, {"c", 950}});
    }
    SECTION("nothing is known after it was forgotten")
    {
        contacts.forget();
        REQUIRE_FALSE(contacts.lastHeardAt("a"));
        REQUIRE(contacts.silences(start).empty());
    }
}
