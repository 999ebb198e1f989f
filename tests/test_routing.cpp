#include <catch2/catch.hpp>

#include "config_cluster_p.h"
#include "control_state_p.h"

using namespace agatedrum;

namespace {

RoutingConfig makeRouting(std::int64_t number)
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

wire::Command makeSetConfig(const RoutingConfig &config)
{
    wire::SetConfig setConfig;
    setConfig.file.number = config.number;
    setConfig.file.text = serializeRouting(config);
    setConfig.file.digest = configDigest(setConfig.file.text);
    setConfig.file.ignoreIfNotHigher = true;
    wire::Command command;
    command.__set_setConfig(setConfig);
    return command;
}

} // namespace

TEST_CASE("A routing document is accepted only if it is complete and valid", "[routing]")
{
    // Guards against applying a truncated document or one with contradictory routes.
    auto config = makeRouting(7);

    SECTION("a serialized configuration is parsed to the same configuration and source document")
    {
        const auto parsed = parseRouting(serializeRouting(config));
        REQUIRE(isOk(parsed));
        REQUIRE(value(parsed) == config);
        REQUIRE(value(parsed).source == config.source);
        REQUIRE(value(parseConfig(serializeRouting(config))).number == 7);
    }

    SECTION("a truncated document is refused")
    {
        const auto text = serializeRouting(config);
        for (std::size_t size = 1; size < text.size(); size += 7) {
            REQUIRE_FALSE(isOk(parseRouting(text.substr(0, size))));
        }
    }

    SECTION("a route to an unknown service, two routes with the same host and prefix, and a zero timeout are refused")
    {
        auto unknownService = config;
        unknownService.routes[0].serviceName = "other";
        REQUIRE_FALSE(checkRouting(unknownService).empty());
        auto duplicateRoute = config;
        duplicateRoute.routes.push_back(duplicateRoute.routes[0]);
        duplicateRoute.routes[1].name = "s";
        REQUIRE_FALSE(checkRouting(duplicateRoute).empty());
        auto zeroTimeout = config;
        zeroTimeout.routes[0].timeout = Millis(0);
        REQUIRE_FALSE(checkRouting(zeroTimeout).empty());
        REQUIRE(checkRouting(config).empty());
    }
}

TEST_CASE("A request is matched to the route with its host and the longest path prefix", "[routing]")
{
    auto config = makeRouting(1);
    config.routes.push_back(config.routes[0]);
    config.routes[1].name = "longer";
    config.routes[1].pathPrefix = "/a/b/";
    REQUIRE(config.findRoute("h.example", "/a/0123")->name == "r");
    REQUIRE(config.findRoute("h.example", "/a/b/0123")->name == "longer");
    REQUIRE(config.findRoute("h.example", "/c") == nullptr);
    REQUIRE(config.findRoute("other.example", "/a/0123") == nullptr);
}

TEST_CASE("A routing document whose number is not higher is accepted but not applied", "[routing]")
{
    // Guards against a late or repeated document that replaces a newer one.
    ControlState state;
    REQUIRE(state.apply(1, makeSetConfig(makeRouting(5)))->isAccepted);

    SECTION("a document with the same number and other content is not applied")
    {
        auto other = makeRouting(5);
        other.routes[0].pathPrefix = "/b/";
        REQUIRE(state.apply(2, makeSetConfig(other))->isAccepted);
        REQUIRE(state.config().routing->routes[0].pathPrefix == "/a/");
    }
    SECTION("a document with a lower number is not applied")
    {
        REQUIRE(state.apply(2, makeSetConfig(makeRouting(4)))->isAccepted);
        REQUIRE(state.file().number == 5);
    }
    SECTION("a document with a higher number is applied and is part of a snapshot")
    {
        REQUIRE(state.apply(2, makeSetConfig(makeRouting(9)))->isAccepted);
        ControlState restored;
        restored.restore(state.image());
        REQUIRE(restored.file().number == 9);
        REQUIRE(restored.config().routing);
    }
}

TEST_CASE("The view of an agent lists the entries if the configuration is a routing document", "[routing]")
{
    // Guards against agents that do not know the current entries, or that use an outdated incarnation of an entry.
    ControlState state;
    state.apply(1, makeSetConfig(makeRouting(1)));
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

    SECTION("a lower incarnation is ignored unless it replaces an unresponsive one after the clock was set back")
    {
        join(4, "entry-1", wire::Role::ENTRY, 50);
        REQUIRE(state.member("entry-1")->id.incarnation == 100);
        join(5, "entry-1", wire::Role::ENTRY, 50, 100);
        REQUIRE(state.member("entry-1")->id.incarnation == 50);
    }
    SECTION("an entry that has left is removed from the view")
    {
        wire::MemberGone gone;
        gone.id = state.member("entry-1")->id;
        wire::Command command;
        command.__set_memberGone(gone);
        state.apply(4, command);
        REQUIRE(state.view("agent-1").entries.empty());
    }
}
