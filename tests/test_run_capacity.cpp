#include "base_log_p.h"
#include "run_faults.h"

#include <catch2/catch.hpp>

#include <cstdint>
#include <cstdlib>
#include <string>

// Guards against a start that brings a backend server over a capacity that has shrunk, whatever its host has missed.

using namespace agatedrum;
using namespace agatedrum::test;

namespace {

constexpr std::uint64_t seedCount = 40;

void requireNoOverload(const RunSim &sim)
{
    INFO((sim.record.overloads.empty() ? std::string() : sim.record.overloads.front()));
    CHECK(sim.record.overloads.empty());
}

/// Submits a job with small tasks again and again for some time.
void submitFor(RunSim &sim, Millis time, int &lastJob)
{
    const auto endMs = sim.timeline.elapsedMs() + time.count();
    while (sim.timeline.elapsedMs() < endMs) {
        sim.callers.submit({"j" + std::to_string(++lastJob), {150, 300, 300}, 300, 4000}, lastJob % 2);
        sim.run(Millis(100));
    }
}

/// Plays random capacities and faults of these kinds with several seeds. AGATEDRUM_TEST_SEED repeats one with its log.
void checkSequences(const RunFaults &kinds)
{
    const auto *seedText = std::getenv("AGATEDRUM_TEST_SEED");
    const auto first = seedText == nullptr ? 1 : std::strtoull(seedText, nullptr, 10);
    const auto last = seedText == nullptr ? seedCount : first;
    for (auto seed = first; seed <= last; ++seed) {
        isTracingRuns() = isTracingRuns() || seedText != nullptr;
        const auto result = runSequence(seed, kinds, true);
        isTracingRuns() = false;
        INFO("AGATEDRUM_TEST_SEED=" << seed << " with " << namesOf(kinds) << ": " << result.overloads.size()
                                    << " overloads in " << result.runs << " runs, first: "
                                    << (result.overloads.empty() ? std::string() : result.overloads.front()));
        REQUIRE(result.completed > 0);
        CHECK(result.overloads.empty());
        CHECK(result.violations.empty());
    }
}

} // namespace

TEST_CASE("The simulation detects a start over the capacity of a server", "[run-capacity]")
{
    Timeline timeline;
    RunRecord record;
    SimServer server(timeline, record, {"i", 1, endpoint(8080)}, 1.0);
    record.recordDemand("a", 6000);
    const auto start = [&server](std::int32_t index) {
        StartOrder order;
        order.task = {"a", index};
        order.run = 1;
        order.spec = "900 900 900 900 900 900";
        order.leaseUntilMs = server.clockMs() + 900;
        REQUIRE(server.start(order).outcome == OrderOutcome::Accepted);
    };
    start(0);
    start(1);
    REQUIRE(record.overloads.empty());

    SECTION("at its first capacity")
    {
        start(2);
        REQUIRE(record.overloads.size() == 1);
    }
    SECTION("after a shrink that its host knows, also while a run is being stopped")
    {
        server.resize(12000);
        server.capacities.recordArrival(server.capacities.newest(), timeline.now());
        timeline.run(Millis(2));
        StopOrder stop;
        stop.task = {"a", 0};
        stop.run = 1;
        server.stop(stop, Millis(50));
        start(2);
        REQUIRE(record.overloads.size() == 1);
    }
    SECTION("after a shrink that its host does not know, once the allowed time has passed")
    {
        server.resize(4000);
        timeline.run(CapacityHistory::shrinkAllowance - Millis(1));
        server.advance();
        start(2);
        start(3);
        REQUIRE(record.overloads.empty());
        timeline.run(Millis(1));
        start(4);
        REQUIRE(record.overloads.size() == 1);
    }
    SECTION("and none after growth")
    {
        server.resize(20000);
        start(2);
        REQUIRE(record.overloads.empty());
    }
}

TEST_CASE("No start brings a server over a capacity that shrinks and grows", "[run-capacity]")
{
    setLogLevel(LogLevel::Error);
    RunSim sim;
    sim.losesLateRegistrations = true;
    int lastJob = 0;
    submitFor(sim, Millis(1000), lastJob);

    SECTION("while nothing else happens")
    {
        for (const auto cpuMillis : {8000, 0, 4000, 24000}) {
            sim.resizeServer(0, cpuMillis);
            submitFor(sim, Millis(2500), lastJob);
        }
    }
    SECTION("while its host is frozen and misses the registration that shows it")
    {
        sim.freezeHost(0, Millis(5300));
        sim.run(Millis(100));
        sim.resizeServer(0, 4000);
        submitFor(sim, Millis(8000), lastJob);
    }
    SECTION("while its host is down")
    {
        sim.killHost(0, Millis(500));
        sim.resizeServer(0, 4000);
        submitFor(sim, Millis(6000), lastJob);
    }
    REQUIRE(sim.callers.answered(JobEnd::Completed) > 0);
    requireNoOverload(sim);
}

TEST_CASE("No start brings a server over its capacity in random sequences", "[run-capacity]")
{
    setLogLevel(LogLevel::Error);

    SECTION("without other faults")
    {
        checkSequences({});
    }
    SECTION("with lost and frozen processes")
    {
        checkSequences({RunFault::HostKill, RunFault::HostKillAfterStart, RunFault::HostFreeze, RunFault::EntryKill,
                        RunFault::EntryFreeze});
    }
    SECTION("with links and servers in trouble")
    {
        checkSequences({RunFault::HostFreeze, RunFault::LinkLost, RunFault::LinkHeld, RunFault::ServerSlow,
                        RunFault::ServerStall, RunFault::ServerReplace, RunFault::ConnectionReset});
    }
}
