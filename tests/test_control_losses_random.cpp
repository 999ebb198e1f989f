#include "base_log_p.h"
#include "control_losses_random.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <cstdlib>

using namespace agatedrum;
using namespace agatedrum::test;

namespace {

const std::vector<LossLayout> layouts {
    {5, {2, 0}, 0}, {6, {2, 0}, 0}, {8, {2, 0}, 0}, {4, {1, 0}, 0}, {6, {2, 1}, 3},
};
constexpr Millis lossTime(60000);

std::uint64_t numberFromEnvironment(const char *name, std::uint64_t otherwise)
{
    const auto *text = std::getenv(name);
    return text ? std::strtoull(text, nullptr, 10) : otherwise;
}

/// Runs a seed; every second one ends with a loss right after an acknowledgement.
/// @return a report of the failure, or an empty string.
std::string failureOf(const LossLayout &layout, std::uint64_t seed, LossDefect defect, std::int64_t &acknowledged)
{
    LossRun run(layout, seed, defect);
    run.injectLosses(lossTime);
    if (seed % 2 == 0) {
        run.close();
    }
    const bool isRepaired = run.repair();
    acknowledged += run.acknowledged;
    return isRepaired && run.violations.empty()
        ? std::string()
        : fmt::format("{} processes, {} domains, seed {}, {}: {}\n{}", layout.processes, layout.domains, seed,
                      isRepaired ? "recovered" : "not recovered", fmt::join(run.violations, "; "), run.report());
}

/// Runs seeds until one detects the defect. @return the number of seeds run, or 0 if none does.
int seedsUntilDetected(LossDefect defect, int maxSeeds)
{
    std::int64_t acknowledged = 0;
    for (int i = 0; i < maxSeeds; ++i) {
        const auto seed = 1000 + static_cast<std::uint64_t>(i);
        if (!failureOf(layouts.front(), seed, defect, acknowledged).empty()) {
            fmt::print("defect {} detected with seed {}\n", static_cast<int>(defect), seed);
            return i + 1;
        }
    }
    return 0;
}

} // namespace

// Guards against acknowledged configurations that are lost or shown in an older state, and against a group that does
// not lead any more, when machines and disks are lost in any order, as many at once as the settings allow.
TEST_CASE("Acknowledged configurations survive random losses that the settings allow", "[control]")
{
    setLogLevel(LogLevel::Error);
    const auto first = numberFromEnvironment("AGATEDRUM_SEED", 1000);
    const auto count = numberFromEnvironment("AGATEDRUM_SEEDS", 3);
    for (const auto &layout : layouts) {
        int failures = 0;
        std::int64_t acknowledged = 0;
        for (auto seed = first; seed < first + count; ++seed) {
            const auto failure = failureOf(layout, seed, LossDefect::None, acknowledged);
            failures += failure.empty() ? 0 : 1;
            fmt::print("{}", failure);
            CHECK(failure.empty());
        }
        fmt::print("{} processes, {} domains, seeds {} to {}: {} failures, numbers up to {} on average\n",
                   layout.processes, layout.domains, first, first + count - 1, failures,
                   acknowledged / static_cast<std::int64_t>(count));
    }
}

// Guards against checks that detect nothing: each injected defect must lead to a failure within 10 seeds.
TEST_CASE("The checks of random losses detect injected defects", "[control]")
{
    setLogLevel(LogLevel::Error);
    REQUIRE(seedsUntilDetected(LossDefect::TooFewVoters, 10) > 0);
    REQUIRE(seedsUntilDetected(LossDefect::WritesReportedEarly, 10) > 0);
}
