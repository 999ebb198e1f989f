#include "base_event_p.h"

#include <catch2/catch.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <chrono>

using namespace agatedrum;

TEST_CASE("An event is formatted as one line of key=value fields", "[log]")
{
    REQUIRE(formatEvent("t", "host", "stop", {{"job", "a1"}, {"run", 3}, {"reason", "it \"waits\"\nlong"}})
            == "time=t part=host event=stop job=a1 run=3 reason=\"it \\\"waits\\\" long\"\n");
    REQUIRE(formatEvent("t", "p", "e", {{"empty", ""}, {"sum", "a=b"}})
            == "time=t part=p event=e empty=\"\" sum=\"a=b\"\n");
}

TEST_CASE("An unread standard output blocks neither logEvent nor stopEventLog", "[log]")
{
    // Guards against a process that hangs because no one reads its output: standard output is a pipe that is never
    // read.
    std::array<int, 2> pipeEnds {};
    REQUIRE(::pipe(pipeEnds.data()) == 0);
    const int standardOutput = ::dup(STDOUT_FILENO);
    REQUIRE(::dup2(pipeEnds[1], STDOUT_FILENO) >= 0);
    const auto startTime = std::chrono::steady_clock::now();
    startEventLog();
    for (int i = 0; i < 100000; ++i) {
        logEvent("test", "line", {{"number", i}});
    }
    stopEventLog();
    const auto elapsed = std::chrono::steady_clock::now() - startTime;
    ::dup2(standardOutput, STDOUT_FILENO);
    ::close(standardOutput);
    ::close(pipeEnds[0]);
    ::close(pipeEnds[1]);
    REQUIRE(elapsed < std::chrono::seconds(5));
}
