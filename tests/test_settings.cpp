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
