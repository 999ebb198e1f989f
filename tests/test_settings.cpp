#include "settings_process_p.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <sstream>

using namespace agatedrum;

namespace {

std::string readFile(const std::string &path)
{
    std::ifstream file(std::string(AGATEDRUM_SOURCE) + "/" + path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string errorsOf(const std::string &text)
{
    const auto result = parseSettings(text);
    REQUIRE_FALSE(isOk(result));
    return error(result).text();
}

/// Returns the settings of an agent on a platform whose callers submit a lost job again after a time.
std::string platformAgent(const std::string &callerRetryLine)
{
    return "role: agent\ninterface: platform\nname: a\nfailureDomain: z\npeers: {host: 10.0.0.1, port: 7000}\n"
           "http: {host: 10.0.0.1, port: 9103}\ncontrolSeeds: [\"10.0.0.2:7000\"]\ncontrolPort: 7000\n"
           "registrations: \"10.0.0.1:7001\"\n"
        + callerRetryLine;
}

} // namespace

TEST_CASE("A settings file is validated completely", "[settings]")
{
    // Guards against a process that starts with missing, misspelled or invalid settings.
    SECTION("the sample settings file of each role is valid")
    {
        for (const std::string role : {"entry", "owner", "agent", "control"}) {
            const auto result = parseSettings(readFile("samples/settings/" + role + ".yaml"));
            INFO(role << ": " << (isOk(result) ? "" : error(result).text()));
            REQUIRE(isOk(result));
            REQUIRE(value(result).control.size() == 3);
        }
    }

    SECTION("all missing keys are reported together")
    {
        const auto text = errorsOf("logLevel: loud\n");
        for (const std::string key : {"role: is required", "name: is required", "failureDomain: is required",
                                      "peers: is required", "http: is required", "control: must list"}) {
            REQUIRE_THAT(text, Catch::Contains(key));
        }
        REQUIRE_THAT(text, Catch::Contains("line 1: logLevel: \"loud\" is not one of debug, info, warning, error"));
    }

    SECTION("a key of another role is refused as unknown")
    {
        const auto text = errorsOf(readFile("samples/settings/entry.yaml") + "dataFolder: /tmp\n");
        REQUIRE_THAT(text, Catch::Contains("dataFolder: unknown key"));
    }

    SECTION("a negative timeout, a host name instead of an IP address and a port out of range are refused")
    {
        const auto text = errorsOf(readFile("samples/settings/control.yaml") + "stopTimeoutMs: -1\n");
        REQUIRE_THAT(text, Catch::Contains("stopTimeoutMs: must be a whole number from 0"));
        REQUIRE_THAT(errorsOf("peers: {host: localhost, port: 70000}\n"), Catch::Contains("must be an IPv4 address"));
        REQUIRE_THAT(errorsOf("peers: {host: localhost, port: 70000}\n"),
                     Catch::Contains("port: must be a whole number"));
    }

    SECTION("a control process must be in its own list, since the group would not count it as a member otherwise")
    {
        auto text = readFile("samples/settings/control.yaml");
        text.replace(text.find("name: control-1"), 15, "name: control-9");
        REQUIRE_THAT(errorsOf(text), Catch::Contains("must list this process under its own name"));
    }

    SECTION("the documentation of the settings names every key")
    {
        const auto page = readFile("docs/settings.md");
        for (const auto &key : settingsKeys()) {
            INFO(key.name);
            REQUIRE(page.find("`" + key.name) != std::string::npos);
        }
    }
}

// Guards against a host that runs tasks for a lost entry until after their callers have submitted them again.
TEST_CASE("The leases of a host on a platform are compared with the time after which callers submit a job again",
          "[settings]")
{
    SECTION("the terms follow from the time")
    {
        const auto result = parseSettings(platformAgent("callerRetryMs: 1000\n"));
        INFO((isOk(result) ? "" : error(result).text()));
        REQUIRE(isOk(result));
        // 730 ms and 200 ms take less than 950 ms on a clock that is 2% slow; 50 ms are for the stop.
        CHECK(value(result).hostLease.entryLease() == Millis(730));
        CHECK(value(result).hostLease.expiryStopTime() == Millis(200));
        CHECK(value(result).hostLease.orderedStopTime() == Millis(800));
    }

    SECTION("a missing time is refused")
    {
        CHECK_THAT(errorsOf(platformAgent("")), Catch::Contains("callerRetryMs: is required"));
    }

    SECTION("a time that is too short is refused with the shortest one")
    {
        CHECK_THAT(
            errorsOf(platformAgent("callerRetryMs: 866\n")),
            Catch::Contains("callerRetryMs: must be at least 867, since runs of a lost entry may last until then"));
        CHECK(isOk(parseSettings(platformAgent("callerRetryMs: 867\n"))));
    }

    SECTION("a time that is not a positive number is refused")
    {
        CHECK_THAT(errorsOf(platformAgent("callerRetryMs: 0\n")),
                   Catch::Contains("callerRetryMs: must be a whole number from 1"));
        CHECK_THAT(errorsOf(platformAgent("callerRetryMs: soon\n")),
                   Catch::Contains("callerRetryMs: must be a whole number from 1"));
    }

    SECTION("other roles do not have the setting")
    {
        CHECK_THAT(errorsOf(readFile("samples/settings/agent.yaml") + "callerRetryMs: 1300\n"),
                   Catch::Contains("callerRetryMs: unknown key"));
    }

    SECTION("the template of the platform sets it")
    {
        CHECK_THAT(readFile("deploy/agent.yaml"), Catch::Contains("callerRetryMs: {{Bounds.RetryDelayMs}}"));
    }
}

// Guards against a control group that replaces a lost voter only after the next machine may be lost.
TEST_CASE("The time after which a voter is replaced follows from the time within which a loss must be repaired",
          "[settings]")
{
    const std::string controlText
        = "role: control\ninterface: platform\nname: 10.0.0.1:7000\nfailureDomain: z\n"
          "peers: {host: 10.0.0.1, port: 7000}\nhttp: {host: 10.0.0.1, port: 9102}\n"
          "controlSeeds: [\"10.0.0.2:7000\"]\ncontrolPort: 7000\noperators: \"10.0.0.1:7001\"\ndataFolder: /data\n";
    const auto timeoutWith = [&controlText](const std::string &line) {
        const auto result = parseSettings(controlText + line);
        INFO(line << (isOk(result) ? "" : error(result).text()));
        REQUIRE(isOk(result));
        return value(result).voterReplacementTimeout;
    };

    SECTION("the time is a part of it, and at most 6 s")
    {
        CHECK(timeoutWith("repairSeconds: 4\n") == Millis(1500));
        CHECK(timeoutWith("repairSeconds: 8\n") == Millis(3000));
        CHECK(timeoutWith("repairSeconds: 100\n") == Millis(6000));
    }
    SECTION("without a value it is 4 s, since a template leaves the key empty where the platform has none")
    {
        CHECK(timeoutWith("repairSeconds:\n") == Millis(1500));
        CHECK(timeoutWith("") == Millis(1500));
    }
    SECTION("other values are refused")
    {
        CHECK_THAT(errorsOf(controlText + "repairSeconds: soon\n"), Catch::Contains("repairSeconds: must be a number"));
        CHECK_THAT(errorsOf(controlText + "repairSeconds: 0\n"), Catch::Contains("repairSeconds: must be a number"));
    }
}
