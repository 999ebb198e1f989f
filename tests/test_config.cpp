#include "config_cluster_p.h"

#include <catch2/catch.hpp>

using namespace agatedrum;

namespace {

const std::string validConfig = R"(number: 3
services:
  - name: visit-desk
    cells: 2
    recordCopies: 3
teams:
  - name: bookings
    weight: 2.5
    maxTasksInFlight: 40
backendServers:
  - name: backend-4
    drain: true
...
)";

std::string errorsOf(const std::string &text)
{
    const auto result = parseConfig(text);
    REQUIRE_FALSE(isOk(result));
    return error(result).text();
}

} // namespace

TEST_CASE("A configuration file is accepted only if it is complete and valid", "[config]")
{
    // Guards against applying a file that was read while it was being written, and against reports that stop at the
    // first error.
    SECTION("a valid file is parsed, and missing keys get default values")
    {
        const auto result = parseConfig(validConfig);
        REQUIRE(isOk(result));
        const auto &config = value(result);
        REQUIRE(config.number == 3);
        REQUIRE(config.service("visit-desk")->cells == 2);
        REQUIRE(config.service("visit-desk")->order == "leastWork");
        REQUIRE(config.team("bookings")->weight == 2.5);
        REQUIRE(config.backendServer("backend-4")->isDrained);
        REQUIRE(config.service("none") == nullptr);
    }

    SECTION("every truncated version of a valid file is refused")
    {
        // The file is complete if it contains the end marker; the newline after the marker is optional.
        const auto completeSize = validConfig.rfind("...") + 3;
        for (std::size_t size = 0; size < completeSize; ++size) {
            REQUIRE_FALSE(isOk(parseConfig(validConfig.substr(0, size))));
        }
    }

    SECTION("all errors are reported together, each with its line number")
    {
        const auto text
            = errorsOf("number: 0\nservices:\n  - name: a\n    cells: many\n    colour: red\n  - name: a\n...\n");
        REQUIRE_THAT(text, Catch::Contains("line 1: number: must be a whole number from 1"));
        REQUIRE_THAT(text, Catch::Contains("line 4: services[0].cells: must be a whole number from 1 to 4096"));
        REQUIRE_THAT(text, Catch::Contains("line 5: services[0].colour: unknown key"));
        REQUIRE_THAT(text, Catch::Contains("line 6: services[1].name: \"a\" appears twice"));
    }

    SECTION("values that are out of range or of the wrong type and duplicate keys are refused")
    {
        REQUIRE_THAT(errorsOf("number: 1\nservices: 4\n...\n"), Catch::Contains("services: must be a list"));
        REQUIRE_THAT(errorsOf("number: 1\n...\n"), Catch::Contains("at least one service"));
        REQUIRE_THAT(errorsOf("number: 99999999999999999999\nservices: [{name: a}]\n...\n"),
                     Catch::Contains("number: must be a whole number"));
        REQUIRE_THAT(errorsOf("number: 1\nservices: [{name: a, order: shortest}]\n...\n"),
                     Catch::Contains("\"shortest\" is not one of leastWork, firstCome"));
        REQUIRE_THAT(errorsOf("number: 1\nnumber: 2\nservices: [{name: a}]\n...\n"),
                     Catch::Contains("the key appears twice"));
        REQUIRE_THAT(errorsOf("number: 1\nservices: [{name: a}]\nteams: [{name: t, weight: nan}]\n...\n"),
                     Catch::Contains("teams[0].weight: must be a number"));
    }
}

TEST_CASE("A change between configurations is validated and described", "[config]")
{
    // Guards against changes that would assign the keys of existing jobs to other cells.
    const auto before = value(parseConfig(validConfig));

    SECTION("the number of cells of a service cannot change, since job keys are assigned to cells by hash")
    {
        auto next = before;
        next.services[0].cells = 3;
        REQUIRE_FALSE(isOk(checkConfigChange(before, next)));
        next.services.clear();
        REQUIRE(isOk(checkConfigChange(before, next)));
    }

    SECTION("the difference lists added, changed and removed items")
    {
        auto next = before;
        next.services.push_back({});
        next.services.back().name = "planner";
        next.teams[0].weight = 1;
        next.backendServers.clear();
        REQUIRE(diffConfigs(before, next)
                == std::vector<std::string> {"+ service planner", "~ team bookings: weight 2.5 -> 1",
                                             "- backend server backend-4"});
    }

    SECTION("the digests of files that differ in one byte are different")
    {
        REQUIRE(configDigest(validConfig) == configDigest(validConfig));
        REQUIRE(configDigest(validConfig) != configDigest(validConfig + " "));
        REQUIRE(configDigest(validConfig).size() == 32);
    }
}
