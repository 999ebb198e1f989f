#include "base_log_p.h"
#include "control_sim.h"

#include <catch2/catch.hpp>

using namespace agatedrum;
using namespace agatedrum::test;

// Guards against a control group that accepts an invalid or contradictory configuration, or sends members wrong views.
TEST_CASE("A control group applies configurations and assigns cells", "[control]")
{
    const auto size = GENERATE(1, 3);
    SimCluster cluster(size);
    cluster.startAll();
    REQUIRE(cluster.runUntil(Millis(3000), [&] { return cluster.leader() >= 0; }));
    auto &entry = cluster.addMember("entry-1", wire::Role::ENTRY, 41101, "d1");
    cluster.run(Millis(1200));
    REQUIRE(entry.link.hasLease());

    SECTION("a valid file is accepted; without owner processes its cell has no owner")
    {
        const auto reply = cluster.apply(entry, configText(1));
        REQUIRE(reply.code == "accepted");
        cluster.run(Millis(50));
        REQUIRE(entry.link.configNumber() == 1);
        REQUIRE_FALSE(entry.link.view().cells.at(0).__isset.owner);

        SECTION("owners and agents get the parts of the view that concern them")
        {
            auto &first = cluster.addMember("owner-1", wire::Role::OWNER, 41201, "d1");
            auto &second = cluster.addMember("owner-2", wire::Role::OWNER, 41202, "d2");
            auto &agent = cluster.addAgent("agent-1", 41301, "tank");
            cluster.run(Millis(1500));
            const auto cell = entry.link.view().cells.at(0);
            REQUIRE(cell.epoch == 1);
            REQUIRE(cell.floorMs == 0);
            REQUIRE(cell.holders.size() == 1);
            REQUIRE(cell.agents.empty());
            REQUIRE(first.link.view().cells.at(0).agents.size() == 1);
            REQUIRE(second.link.view().cells.at(0).agents.size() == 1);
            REQUIRE(first.link.hasLease());
            REQUIRE(agent.link.view().cells.at(0).owner.id.name == cell.owner.id.name);
            REQUIRE(agent.link.view().config.text.empty());
            REQUIRE(agent.link.configNumber() == 1);
        }

        SECTION("a different file with the same number is refused with a description of the accepted one; the same "
                "file is accepted again")
        {
            const auto conflict = cluster.apply(entry, configText(1, 1, 2, "team-b"));
            REQUIRE(conflict.code == "conflict");
            REQUIRE_THAT(conflict.message, Catch::Contains("operator") && Catch::Contains("accepted 20"));
            REQUIRE(cluster.apply(entry, configText(1)).code == "accepted");
            REQUIRE(cluster.apply(entry, configText(3)).code == "accepted");
            REQUIRE(cluster.apply(entry, configText(2)).code == "lower-number");
            REQUIRE(cluster.apply(entry, configText(4, 5)).code == "invalid");
            REQUIRE(cluster.apply(entry, "number: 5\n").code == "invalid");
        }
    }
}

namespace {

/// A group of three with two cells, three owners in three failure domains, and an agent; all holders are in sync.
struct RunningGroup
{
    RunningGroup()
    {
        this->cluster.startAll();
        this->cluster.runUntil(Millis(3000), [&] { return this->cluster.leader() >= 0; });
        this->entry = &this->cluster.addMember("entry-1", wire::Role::ENTRY, 41101, "d1");
        for (int i = 1; i <= 3; ++i) {
            this->cluster.addMember("owner-" + std::to_string(i), wire::Role::OWNER, 41200 + i,
                                    "d" + std::to_string(i));
        }
        this->cluster.addAgent("agent-1", 41301, "tank");
        this->cluster.run(Millis(1500));
        REQUIRE(this->cluster.apply(*this->entry, configText(1, 2)).accepted);
        this->cluster.run(Millis(300));
        this->report(true);
    }

    void report(bool areHoldersInSync)
    {
        for (const auto &[name, member] : this->cluster.members) {
            member->updateReport(areHoldersInSync);
        }
        this->cluster.run(Millis(600));
    }
    const wire::CellRecord cell(std::int32_t number)
    {
        return this->cluster.leaderCore().state().cells().at(number).record;
    }
    SimMember &member(const std::string &name)
    {
        return *this->cluster.members.at(name);
    }
    nlohmann::json query(const std::string &kind, const std::string &argument = {})
    {
        wire::ControlQuery query;
        query.kind = kind;
        query.argument = argument;
        this->entry->answers.clear();
        this->entry->send(this->cluster.leaderPort(), query);
        this->cluster.run(Millis(20));
        return nlohmann::json::parse(this->entry->answers.at(0).json);
    }

    SimCluster cluster {3};
    SimMember *entry = nullptr;
};

} // namespace

// Guards against a second run of submissions after an owner fails: a cell must go to a holder that is in sync, and if
// there is none, submissions that the lost ledger may have contained must be refused.
TEST_CASE("A cell is reassigned to a holder that is in sync, or gets a minimum submission time", "[control]")
{
    setLogLevel(LogLevel::Error);
    RunningGroup group;
    auto &cluster = group.cluster;
    const auto initialCell = group.cell(0);
    REQUIRE(initialCell.epoch == 1);
    REQUIRE(initialCell.holders.at(0).whole);
    REQUIRE(group.cell(1).owner != initialCell.owner);

    SECTION("the cell of a dead owner goes to the holder that is in sync, with the next epoch, after the owner's lease "
            "and without a minimum submission time")
    {
        cluster.members.erase(initialCell.owner);
        cluster.run(Millis(AGATEDRUM_OWNER_LEASE_MS));
        REQUIRE(group.cell(0).epoch == 1);
        REQUIRE(cluster.runUntil(Millis(1000), [&] { return group.cell(0).epoch == 2; }));
        REQUIRE(group.cell(0).owner == initialCell.holders[0].name);
        REQUIRE(group.cell(0).floorMs == 0);
        REQUIRE_FALSE(group.cell(0).holders.at(0).whole);
    }

    SECTION("without a holder that is in sync, the cell gets a minimum submission time above the current time")
    {
        cluster.members.erase(initialCell.owner);
        cluster.members.erase(initialCell.holders[0].name);
        REQUIRE(cluster.runUntil(Millis(3000), [&] { return cluster.leaderCore().state().members().size() == 3; }));
        cluster.run(Millis(20));
        const auto cell = group.cell(0);
        REQUIRE(cell.epoch > 1);
        REQUIRE(cell.floorMs > cluster.clock.wallMs() + AGATEDRUM_MAX_CLOCK_SKEW_MS - 200);
        REQUIRE(group.member(cell.owner).link.view().cells.at(0).epoch == cell.epoch);
    }

    SECTION("a restarted owner is not treated as the process that had the ledger")
    {
        const auto port = 41200 + (initialCell.owner.back() - '0');
        cluster.addMember(initialCell.owner, wire::Role::OWNER, port, "d9", 2);
        cluster.run(Millis(2500));
        REQUIRE(group.cell(0).epoch == 2);
        REQUIRE(group.cell(0).owner == initialCell.holders[0].name);
        REQUIRE(cluster.leaderCore().state().member(initialCell.owner)->id.incarnation == 2);
    }

    SECTION("a report from before a holder was assigned does not mark it as in sync")
    {
        cluster.members.erase(initialCell.owner);
        cluster.run(Millis(1700));
        const auto cell = group.cell(0);
        wire::CellReport report;
        report.epoch = cell.epoch;
        report.owned = true;
        report.wholeHolders = {cell.holders.at(0).name};
        wire::MemberHeartbeat heartbeat;
        heartbeat.role = wire::Role::OWNER;
        heartbeat.address = endpoint(41200 + (cell.owner.back() - '0'));
        heartbeat.viewVersion = cell.holders[0].since - 1;
        heartbeat.cells = {report};
        group.member(cell.owner).send(cluster.leaderPort(), heartbeat);
        cluster.run(Millis(20));
        REQUIRE_FALSE(group.cell(0).holders.at(0).whole);
    }

    SECTION("a leaving owner that has released its cell hands it over at once, otherwise only after its lease has "
            "expired")
    {
        auto &owner = group.member(initialCell.owner);
        owner.report.isLeaving = true;
        const bool isReleased = GENERATE(true, false);
        for (auto &report : owner.report.cells) {
            report.owned = report.owned && !isReleased;
        }
        owner.link.requestHeartbeat();
        cluster.run(Millis(450));
        REQUIRE(group.cell(0).epoch == (isReleased ? 2 : 1));
        cluster.run(Millis(1500));
        REQUIRE(group.cell(0).epoch == 2);
        REQUIRE(group.cell(0).floorMs == 0);
        REQUIRE(group.cell(0).owner != initialCell.owner);
    }

    SECTION("a new leader restarts the timeout of every member")
    {
        cluster.kill(static_cast<std::size_t>(cluster.leader()));
        REQUIRE(cluster.runUntil(Millis(1500), [&] { return cluster.leader() >= 0; }));
        cluster.run(Millis(AGATEDRUM_MEMBER_DEAD_MS + 500));
        REQUIRE(group.cell(0).epoch == 1);
        REQUIRE(group.member(initialCell.owner).link.hasLease());
    }

    SECTION("a partitioned leader stops extending leases, and the other processes continue")
    {
        const int formerLeader = cluster.leader();
        const auto formerLeaderPort = 41001 + formerLeader;
        for (int i = 0; i < 3; ++i) {
            cluster.net.setPartitioned(formerLeaderPort, 41001 + i, i != formerLeader);
        }
        REQUIRE(
            cluster.runUntil(Millis(1500), [&] { return cluster.leader() >= 0 && cluster.leader() != formerLeader; }));
        REQUIRE(cluster.apply(*group.entry, configText(2, 2)).accepted);
        cluster.run(Millis(1500));
        REQUIRE(group.member(initialCell.owner).link.hasLease());
        REQUIRE(group.cell(0).epoch == 1);
        cluster.net.healPartitions();
        cluster.run(Millis(500));
        REQUIRE(cluster.cores[static_cast<std::size_t>(formerLeader)]->configNumber() == 2);
    }

    SECTION("an unresponsive agent is removed after a timeout, which is shorter if the agent announced that it leaves")
    {
        auto &agent = group.member("agent-1");
        agent.report.isLeaving = GENERATE(true, false);
        agent.link.requestHeartbeat();
        cluster.run(Millis(100));
        const bool isLeaving = agent.report.isLeaving;
        cluster.members.erase("agent-1");
        cluster.run(Millis(AGATEDRUM_LEAVING_SILENT_MS - 200), Millis(10));
        REQUIRE(cluster.leaderCore().state().member("agent-1"));
        cluster.run(Millis(500), Millis(10));
        REQUIRE((cluster.leaderCore().state().member("agent-1") == nullptr) == isLeaving);
        cluster.run(Millis(AGATEDRUM_AGENT_FORGET_MS - AGATEDRUM_LEAVING_SILENT_MS), Millis(10));
        REQUIRE_FALSE(cluster.leaderCore().state().member("agent-1"));
    }

    SECTION("a stopping leader transfers its leadership first")
    {
        const auto formerLeader = static_cast<std::size_t>(cluster.leader());
        cluster.cores[formerLeader]->beginStop();
        REQUIRE(cluster.cores[formerLeader]->isDrained());
        cluster.run(Millis(100));
        REQUIRE(cluster.leader() >= 0);
        REQUIRE(cluster.leader() != static_cast<int>(formerLeader));
    }

    SECTION("queries return the documented answers")
    {
        REQUIRE(group.query("members").size() == 5);
        REQUIRE(group.query("cells").at(0)["holders"].at(0)["whole"] == true);
        REQUIRE(group.query("history").at(0)["author"] == "operator");
        REQUIRE(group.query("config", "1")["text"] == configText(1, 2));
        REQUIRE(group.query("config", "9").contains("error"));
        cluster.net.setPartitioned(41301, 41001 + cluster.leader(), true);
        REQUIRE(cluster.apply(*group.entry, configText(2, 2)).accepted);
        cluster.run(Millis(1200));
        REQUIRE(group.query("acknowledged")["lagging"].size() == 1);
    }
}
