#include "config_cluster_p.h"

#include <catch2/catch.hpp>

using namespace agatedrum;

namespace {

const std::string validFile = R"(number: 3
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

std::string faultsOf(const std::string &text)
{
    const auto result = parseConfig(text);
    REQUIRE_FALSE(isOk(result));
    return error(result).text();
}

} // namespace

TEST_CASE("A configuration file is accepted whole or refused whole", "[config]")
{
    SECTION("a valid file is read with its defaults")
    {
        const auto result = parseConfig(validFile);
        REQUIRE(isOk(result));
        const auto &config = value(result);
        REQUIRE(config.number == 3);
        REQUIRE(config.service("visit-desk")->cells == 2);
        REQUIRE(config.service("visit-desk")->order == "leastWork");
        REQUIRE(config.team("bookings")->weight == 2.5);
        REQUIRE(config.backendServer("backend-4")->isDrained);
        REQUIRE(config.service("none") == nullptr);
    }

    SECTION("every shorter version of it is refused, so a file read half way is never accepted")
    {
        // The file is whole from its end marker on; the newline after it may be missing.
        const auto whole = validFile.rfind("...") + 3;
        for (std::size_t size = 0; size < whole; ++size) {
            REQUIRE_FALSE(isOk(parseConfig(validFile.substr(0, size))));
        }
    }

    SECTION("all faults are reported at once, each with its line")
    {
        const auto text
            = faultsOf("number: 0\nservices:\n  - name: a\n    cells: many\n    colour: red\n  - name: a\n...\n");
        REQUIRE_THAT(text, Catch::Contains("line 1: number: must be a whole number from 1"));
        REQUIRE_THAT(text, Catch::Contains("line 4: services[0].cells: must be a whole number from 1 to 4096"));
        REQUIRE_THAT(text, Catch::Contains("line 5: services[0].colour: unknown key"));
        REQUIRE_THAT(text, Catch::Contains("line 6: services[1].name: \"a\" appears twice"));
    }

    SECTION("values out of range or of another type are refused")
    {
        REQUIRE_THAT(faultsOf("number: 1\nservices: 4\n...\n"), Catch::Contains("services: must be a list"));
        REQUIRE_THAT(faultsOf("number: 1\n...\n"), Catch::Contains("at least one service"));
        REQUIRE_THAT(faultsOf("number: 99999999999999999999\nservices: [{name: a}]\n...\n"),
                     Catch::Contains("number: must be a whole number"));
        REQUIRE_THAT(faultsOf("number: 1\nservices: [{name: a, order: shortest}]\n...\n"),
                     Catch::Contains("\"shortest\" is not one of leastWork, firstCome"));
        REQUIRE_THAT(faultsOf("number: 1\nnumber: 2\nservices: [{name: a}]\n...\n"),
                     Catch::Contains("the key appears twice"));
        REQUIRE_THAT(faultsOf("number: 1\nservices: [{name: a}]\nteams: [{name: t, weight: nan}]\n...\n"),
                     Catch::Contains("teams[0].weight: must be a number"));
    }
}

TEST_CASE("A change between configurations is checked and shown", "[config]")
{
    const auto before = value(parseConfig(validFile));

    SECTION("the number of cells of a service cannot change, since job keys are hashed over it")
    {
        auto next = before;
        next.services[0].cells = 3;
        REQUIRE_FALSE(isOk(checkChange(before, next)));
        next.services.clear();
        REQUIRE(isOk(checkChange(before, next)));
    }

    SECTION("the difference names what was added, changed and removed")
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

    SECTION("the digest tells any two files apart that differ in a byte")
    {
        REQUIRE(configDigest(validFile) == configDigest(validFile));
        REQUIRE(configDigest(validFile) != configDigest(validFile + " "));
        REQUIRE(configDigest(validFile).size() == 32);
    }
}
