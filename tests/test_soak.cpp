#include "base_log_p.h"
#include "soak_run.h"

#include <catch2/catch.hpp>

#include <future>
#include <iostream>

using namespace agatedrum;
using namespace agatedrum::test;

namespace {

/// Runs seeds, two at a time, and checks that none finds a violation.
void runSeeds(const std::vector<std::uint64_t> &seeds)
{
    constexpr std::size_t seedsAtOnce = 2;
    setLogLevel(LogLevel::Error);
    for (std::size_t first = 0; first < seeds.size(); first += seedsAtOnce) {
        std::vector<std::future<SoakResult>> results;
        for (std::size_t i = first; i < std::min(seeds.size(), first + seedsAtOnce); ++i) {
            results.push_back(std::async(std::launch::async, [seed = seeds[i], number = static_cast<int>(i - first)] {
                SoakRun run(seed, number);
                return run.run();
            }));
        }
        for (auto &future : results) {
            const auto result = future.get();
            std::cout << result.summary << " violations: " << result.violations.size() << std::endl;
            INFO("seed " << result.seed << ", faults:\n" << result.timeline);
            for (const auto &violation : result.violations) {
                UNSCOPED_INFO(violation);
            }
            CHECK(result.violations.empty());
        }
    }
}

} // namespace

// The stand-ins of the soak test must speak the protocols well enough that a job is served through real processes.
// Otherwise the checks of the soak test would pass without anything having run.
TEST_CASE("A job is served through one entry and one host", "[soak]")
{
    setLogLevel(LogLevel::Error);
    std::mt19937_64 random(1);
    SoakRecord record(soakNow());
    SoakClusterOptions options;
    options.controls = 1;
    options.entries = 1;
    options.hosts = 1;
    SoakCluster cluster(record, options);

    REQUIRE(waitUntilServing(cluster, random));

    SECTION("the job's run is recorded as done")
    {
        REQUIRE_FALSE(record.runs().empty());
        CHECK(record.runs().back().end == "done");
    }
    SECTION("all processes end with code 0 on SIGTERM")
    {
        for (const auto &name : cluster.processNames()) {
            auto &process = cluster.process(name);
            process.sendSignal(SIGTERM);
            CHECK(eventually([&] { return !process.isRunning(); }, SoakCluster::grace));
            CHECK(process.wait() == 0);
        }
    }
}

// A process that is stopped or reloaded must not cut a request that it has read, reset an idle connection, or lose an
// acknowledged configuration.
TEST_CASE("Planned stops and reloads cut no request", "[soak]")
{
    runSeeds({3, 6});
}

// Kills and freezes must lead to no two runs of one task, no run of a rejected job and no older configuration.
TEST_CASE("Kills and freezes run no task twice", "[soak]")
{
    runSeeds({1, 4});
}

// Refusals at the limits of settings and configuration must be final, also between kills and freezes.
TEST_CASE("Refusals at the limits run nothing", "[soak]")
{
    runSeeds({2, 5});
}

// Runs the seeds of the environment variable AGATEDRUM_SOAK_SEEDS, such as 1-50. Started by hand only.
TEST_CASE("A range of seeds given by hand holds all guarantees", "[.soak-range]")
{
    const char *range = std::getenv("AGATEDRUM_SOAK_SEEDS");
    REQUIRE(range != nullptr);
    const std::string text(range);
    const auto first = std::stoull(text);
    const auto last = std::stoull(text.substr(text.find('-') + 1));
    std::vector<std::uint64_t> seeds;
    for (auto seed = first; seed <= last; ++seed) {
        seeds.push_back(seed);
    }
    runSeeds(seeds);
}
