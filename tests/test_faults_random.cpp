#include "base_log_p.h"
#include "fault_actions.h"

#include <catch2/catch.hpp>

#include <cstdlib>

using namespace agatedrum;
using namespace agatedrum::test;

namespace {

constexpr int seedCount = 1000;
constexpr int jobCount = 8;

std::string jobName(int number)
{
    return "s" + std::to_string(number);
}

void act(FaultWorld &world)
{
    auto &network = world.network;
    const auto &actions = faultActions();
    switch (network.below(5)) {
    case 0:
        world.submit(jobName(network.below(jobCount)), 1 + network.below(8), network.below(2));
        break;
    case 1:
        if (const auto name = jobName(network.below(jobCount)); world.isKnown(name)) {
            world.cancel(name, network.below(2));
        }
        break;
    case 2:
        repair(world);
        break;
    default:
        actions[static_cast<std::size_t>(network.below(static_cast<int>(actions.size())))].strike(world);
        break;
    }
}

/// Submissions, cancellations, faults and repairs in random order; then all is repaired and each job submitted again.
std::vector<std::string> runSequence(std::uint64_t seed, const OwnerDefects &defects = {})
{
    FaultWorld world(seed, 1 + static_cast<int>(seed % 3), seed % 2 == 0 ? "random" : "fastestFree");
    world.defects = defects;
    for (auto &agent : world.agents) {
        agent.backend->runTime = Millis(20 + world.network.below(4) * 800);
    }
    world.settle();
    for (int i = 0; i < jobCount; ++i) {
        world.submit(jobName(i), 1 + world.network.below(8), world.network.below(2));
        for (int actions = world.network.below(3); actions > 0; --actions) {
            world.run(Millis(world.network.below(250)));
            act(world);
        }
    }
    world.run(Millis(3000));
    repair(world);
    world.run(Millis(AGATEDRUM_TASK_TIME_MS + 15000));
    std::vector<std::int64_t> last;
    last.reserve(jobCount);
    for (int i = 0; i < jobCount; ++i) {
        last.push_back(world.submit(jobName(i), 1, world.network.below(2)));
    }
    for (int i = 0; i < 300 && !world.isIdle(); ++i) {
        world.run(Millis(50));
    }
    auto faults = world.record.faults();
    for (const auto id : last) {
        if (!world.record.request(id).answer) {
            faults.push_back(
                fmt::format("resubmission {} of {} got no answer after the repair", id, world.record.request(id).job));
        }
    }
    for (const auto &[id, request] : world.record.allRequests()) {
        if (!request.heardAt) {
            faults.push_back(fmt::format("request {} of {} was never heard of", id, request.job));
        }
    }
    return faults;
}

/// @return the first seed whose sequence shows a fault, or 0.
std::uint64_t firstFailingSeed(const OwnerDefects &defects)
{
    for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
        if (!runSequence(seed, defects).empty()) {
            return seed;
        }
    }
    return 0;
}

} // namespace

// Guards against what only a combination of faults brings about.
TEST_CASE("Random sequences of faults keep the guarantees", "[faults]")
{
    setLogLevel(LogLevel::Error);
    std::uint64_t first = 1;
    std::uint64_t last = seedCount;
    if (const auto *text = std::getenv("AGATEDRUM_TEST_SEED")) {
        first = std::strtoull(text, nullptr, 10);
        last = first;
        setLogLevel(LogLevel::Info);
    }
    for (auto seed = first; seed <= last; ++seed) {
        const auto faults = runSequence(seed);
        INFO("AGATEDRUM_TEST_SEED=" << seed << ": " << (faults.empty() ? std::string() : faults.front()));
        CHECK(faults.empty());
    }
}

// Guards against checks that find nothing.
TEST_CASE("The checks find seeded defects", "[faults]")
{
    setLogLevel(LogLevel::Error);
    OwnerDefects defects;

    SECTION("an owner that ignores its lease")
    {
        defects.ignoresLease = true;
    }
    SECTION("a takeover that does not ask the agents")
    {
        defects.skipsFencing = true;
    }
    SECTION("a job that goes on after its caller was told that it did not run")
    {
        defects.saysNotRunEarly = true;
    }
    SECTION("a resubmission that runs again")
    {
        defects.runsResubmissions = true;
    }
    CHECK(firstFailingSeed(defects) != 0);
}
