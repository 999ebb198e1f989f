#include "control_sim.h"

#include <catch2/catch.hpp>

using namespace agatedrum;
using namespace agatedrum::test;

TEST_CASE("A control group takes configurations and places cells", "[control]")
{
    const auto size = GENERATE(1, 3);
    SimCluster cluster(size);
    cluster.startAll();
    REQUIRE(cluster.runUntil(Millis(3000), [&] { return cluster.leader() >= 0; }));
    auto &entry = cluster.add("entry-1", wire::Role::ENTRY, 41101, "d1");
    cluster.run(Millis(1200));
    REQUIRE(entry.link.hasLease());

    SECTION("a valid file is accepted, and a cell without owners has none")
    {
        const auto reply = cluster.apply(entry, configText(1));
        REQUIRE(reply.code == "accepted");
        cluster.run(Millis(50));
        REQUIRE(entry.link.configNumber() == 1);
        REQUIRE_FALSE(entry.link.view().cells.at(0).__isset.owner);

        SECTION("owners and agents get their parts of the view")
        {
            auto &first = cluster.add("owner-1", wire::Role::OWNER, 41201, "d1");
            auto &second = cluster.add("owner-2", wire::Role::OWNER, 41202, "d2");
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

        SECTION("another file of the same number is refused with whose was accepted; the same one is accepted again")
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
