#include "base_event_p.h"

#include <catch2/catch.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <chrono>

using namespace agatedrum;

TEST_CASE("An event is one line of keys and values", "[log]")
{
    REQUIRE(formatEvent("t", "host", "stop", {{"job", "a1"}, {"run", 3}, {"reason", "it \"waits\"\nlong"}})
            == "time=t part=host event=stop job=a1 run=3 reason=\"it \\\"waits\\\" long\"\n");
    REQUIRE(formatEvent("t", "p", "e", {{"empty", ""}, {"sum", "a=b"}})
            == "time=t part=p event=e empty=\"\" sum=\"a=b\"\n");
}

TEST_CASE("A reader that takes nothing stalls neither events nor the end of the log", "[log]")
{
    std::array<int, 2> ends {};
    REQUIRE(::pipe(ends.data()) == 0);
    const int standardOutput = ::dup(STDOUT_FILENO);
    REQUIRE(::dup2(ends[1], STDOUT_FILENO) >= 0);
    const auto begin = std::chrono::steady_clock::now();
    startEventLog();
    for (int i = 0; i < 100000; ++i) {
        logEvent("test", "line", {{"number", i}});
    }
    stopEventLog();
    const auto took = std::chrono::steady_clock::now() - begin;
    ::dup2(standardOutput, STDOUT_FILENO);
    ::close(standardOutput);
    ::close(ends[0]);
    ::close(ends[1]);
    REQUIRE(took < std::chrono::seconds(5));
}
