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

/// Submits or cancels a job, repairs everything, or injects a fault, at random.
void performRandomAction(FaultCluster &cluster)
{
    auto &network = cluster.network;
    const auto &actions = faultActions();
    switch (network.drawBelow(5)) {
    case 0:
        cluster.submit(jobName(network.drawBelow(jobCount)), 1 + network.drawBelow(8), network.drawBelow(2));
        break;
    case 1:
        if (const auto name = jobName(network.drawBelow(jobCount)); cluster.isKnown(name)) {
            cluster.cancel(name, network.drawBelow(2));
        }
        break;
    case 2:
        repair(cluster);
        break;
    default:
        actions[static_cast<std::size_t>(network.drawBelow(static_cast<int>(actions.size())))].inject(cluster);
        break;
    }
}

/// Runs submissions, cancellations, faults and repairs in random order, then repairs everything and resubmits each job.
/// @return the violations of the guarantees.
std::vector<std::string> runRandomSequence(std::uint64_t seed, const OwnerDefects &defects = {})
{
    FaultCluster cluster(seed, 1 + static_cast<int>(seed % 3), seed % 2 == 0 ? "random" : "fastestFree");
    cluster.defects = defects;
    for (auto &agent : cluster.agents) {
        agent.backend->runTime = Millis(20 + cluster.network.drawBelow(4) * 800);
    }
    cluster.runUntilReady();
    for (int i = 0; i < jobCount; ++i) {
        cluster.submit(jobName(i), 1 + cluster.network.drawBelow(8), cluster.network.drawBelow(2));
        for (int actionsLeft = cluster.network.drawBelow(3); actionsLeft > 0; --actionsLeft) {
            cluster.run(Millis(cluster.network.drawBelow(250)));
            performRandomAction(cluster);
        }
    }
    cluster.run(Millis(3000));
    repair(cluster);
    cluster.run(Millis(AGATEDRUM_TASK_TIME_MS + 15000));
    std::vector<std::int64_t> lastRequestIds;
    lastRequestIds.reserve(jobCount);
    for (int i = 0; i < jobCount; ++i) {
        lastRequestIds.push_back(cluster.submit(jobName(i), 1, cluster.network.drawBelow(2)));
    }
    for (int i = 0; i < 300 && !cluster.isIdle(); ++i) {
        cluster.run(Millis(50));
    }
    auto violations = cluster.record.violations();
    for (const auto id : lastRequestIds) {
        if (!cluster.record.request(id).answer) {
            violations.push_back(fmt::format("resubmission {} of {} was not answered after the repair", id,
                                             cluster.record.request(id).job));
        }
    }
    for (const auto &[id, request] : cluster.record.allRequests()) {
        if (!request.completedAt) {
            violations.push_back(fmt::format("request {} of {} was neither answered nor timed out", id, request.job));
        }
    }
    return violations;
}

/// @return the first seed whose sequence shows a violation, or 0 if there is none.
std::uint64_t firstFailingSeed(const OwnerDefects &defects)
{
    for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
        if (!runRandomSequence(seed, defects).empty()) {
            return seed;
        }
    }
    return 0;
}

} // namespace

// Guards against violations that only a combination of several faults causes. Set AGATEDRUM_TEST_SEED to repeat one
// sequence.
TEST_CASE("The guarantees hold for random sequences of faults", "[faults]")
{
    setLogLevel(LogLevel::Error);
    std::uint64_t firstSeed = 1;
    std::uint64_t lastSeed = seedCount;
    if (const auto *seedText = std::getenv("AGATEDRUM_TEST_SEED")) {
        firstSeed = std::strtoull(seedText, nullptr, 10);
        lastSeed = firstSeed;
        setLogLevel(LogLevel::Info);
    }
    for (auto seed = firstSeed; seed <= lastSeed; ++seed) {
        const auto violations = runRandomSequence(seed);
        INFO("AGATEDRUM_TEST_SEED=" << seed << ": " << (violations.empty() ? std::string() : violations.front()));
        CHECK(violations.empty());
    }
}

// Guards against checks that detect nothing: each defect in the owner must lead to a violation for some seed.
TEST_CASE("The random sequences detect injected defects", "[faults]")
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
    SECTION("a job that runs after its caller got the reply that it did not run")
    {
        defects.reportsNotRunEarly = true;
    }
    SECTION("an ended job that runs again on resubmission")
    {
        defects.runsResubmissions = true;
    }
    CHECK(firstFailingSeed(defects) != 0);
}
