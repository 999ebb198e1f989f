#include <catch2/catch.hpp>

#include "config_cluster_p.h"
#include "control_state_p.h"

using namespace agatedrum;

namespace {

RoutingConfig routing(std::int64_t number)
{
    RouteConfig route;
    route.name = "r";
    route.host = "h.example";
    route.pathPrefix = "/a/";
    route.serviceName = "visits";
    route.timeout = Millis(1500);
    RoutingConfig config;
    config.number = number;
    config.routes = {route};
    config.services = {{"visits", "/health", false}};
    config.limits.maxBodyBytes = 1000;
    config.source = "{\"as\":\"sent\"}";
    return config;
}

wire::Command setConfig(const RoutingConfig &config)
{
    wire::SetConfig set;
    set.file.number = config.number;
    set.file.text = renderRouting(config);
    set.file.digest = configDigest(set.file.text);
    set.file.ignoreIfNotHigher = true;
    wire::Command command;
    command.__set_setConfig(set);
    return command;
}

} // namespace

TEST_CASE("A routing document is read whole or refused", "[routing]")
{
    auto config = routing(7);

    SECTION("what is rendered is read back, with the text that was sent")
    {
        const auto parsed = parseRouting(renderRouting(config));
        REQUIRE(isOk(parsed));
        REQUIRE(value(parsed) == config);
        REQUIRE(value(parsed).source == config.source);
        REQUIRE(value(parseConfig(renderRouting(config))).number == 7);
    }

    SECTION("a part of it is refused")
    {
        const auto text = renderRouting(config);
        for (std::size_t size = 1; size < text.size(); size += 7) {
            REQUIRE_FALSE(isOk(parseRouting(text.substr(0, size))));
        }
    }

    SECTION("a route to an unknown service, a place taken twice and a timeout of zero are refused")
    {
        auto unknown = config;
        unknown.routes[0].serviceName = "other";
        REQUIRE_FALSE(checkRouting(unknown).empty());
        auto twice = config;
        twice.routes.push_back(twice.routes[0]);
        twice.routes[1].name = "s";
        REQUIRE_FALSE(checkRouting(twice).empty());
        auto instant = config;
        instant.routes[0].timeout = Millis(0);
        REQUIRE_FALSE(checkRouting(instant).empty());
        REQUIRE(checkRouting(config).empty());
    }
}

TEST_CASE("A route is found by host and longest prefix", "[routing]")
{
    auto config = routing(1);
    config.routes.push_back(config.routes[0]);
    config.routes[1].name = "longer";
    config.routes[1].pathPrefix = "/a/b/";
    REQUIRE(config.find("h.example", "/a/0123")->name == "r");
    REQUIRE(config.find("h.example", "/a/b/0123")->name == "longer");
    REQUIRE(config.find("h.example", "/c") == nullptr);
    REQUIRE(config.find("other.example", "/a/0123") == nullptr);
}

TEST_CASE("A routing document whose number is not higher is accepted and changes nothing", "[routing]")
{
    ControlState state;
    REQUIRE(state.apply(1, setConfig(routing(5)))->isAccepted);

    SECTION("other content under the same number")
    {
        auto other = routing(5);
        other.routes[0].pathPrefix = "/b/";
        REQUIRE(state.apply(2, setConfig(other))->isAccepted);
        REQUIRE(state.config().routing->routes[0].pathPrefix == "/a/");
    }
    SECTION("a lower number")
    {
        REQUIRE(state.apply(2, setConfig(routing(4)))->isAccepted);
        REQUIRE(state.file().number == 5);
    }
    SECTION("a higher number is in force, also after a snapshot")
    {
        REQUIRE(state.apply(2, setConfig(routing(9)))->isAccepted);
        ControlState restored;
        restored.restore(state.image());
        REQUIRE(restored.file().number == 9);
        REQUIRE(restored.config().routing);
    }
}

TEST_CASE("Agents learn the entries under a routing document", "[routing]")
{
    ControlState state;
    state.apply(1, setConfig(routing(1)));
    const auto join = [&state](std::int64_t index, const std::string &name, wire::Role::type role,
                               std::int64_t incarnation, std::int64_t replaces = 0) {
        wire::MemberJoin member;
        member.id.name = name;
        member.id.incarnation = incarnation;
        member.role = role;
        member.replaces = replaces;
        wire::Command command;
        command.__set_memberJoin(member);
        state.apply(index, command);
    };
    join(2, "agent-1", wire::Role::AGENT, 1);
    const auto before = state.viewVersion("agent-1");
    join(3, "entry-1", wire::Role::ENTRY, 100);
    REQUIRE(state.viewVersion("agent-1") > before);
    REQUIRE(state.view("agent-1").entries.size() == 1);

    SECTION("an incarnation with a lower number is ignored, unless it replaces a silent one after the clock went back")
    {
        join(4, "entry-1", wire::Role::ENTRY, 50);
        REQUIRE(state.member("entry-1")->id.incarnation == 100);
        join(5, "entry-1", wire::Role::ENTRY, 50, 100);
        REQUIRE(state.member("entry-1")->id.incarnation == 50);
    }
    SECTION("an entry that has gone is off the list")
    {
        wire::MemberGone gone;
        gone.id = state.member("entry-1")->id;
        wire::Command command;
        command.__set_memberGone(gone);
        state.apply(4, command);
        REQUIRE(state.view("agent-1").entries.empty());
    }
}
