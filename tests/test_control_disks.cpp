#include "base_log_p.h"
#include "control_full_disks.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>

using namespace agatedrum;
using namespace agatedrum::test;

namespace {

std::uint64_t firstSeed()
{
    const auto *text = std::getenv("AGATEDRUM_SEED");
    return text ? std::strtoull(text, nullptr, 10) : 1;
}

int seedCount()
{
    const auto *text = std::getenv("AGATEDRUM_SEEDS");
    return text ? std::atoi(text) : 30;
}

/// Returns the numbers of the changes that had to be acknowledged in time and were not.
std::vector<std::int64_t> lateChanges(const FullDisksDay &day)
{
    std::vector<std::int64_t> numbers;
    for (const auto &change : day.changes.changes) {
        if (day.isDue(change) && FullDisksDay::isLate(change)) {
            numbers.push_back(change.number);
        }
    }
    return numbers;
}

std::int64_t highestAcknowledged(const FullDisksDay &day)
{
    std::int64_t highest = 0;
    for (const auto &change : day.changes.changes) {
        highest = change.acknowledgedAt ? std::max(highest, change.number) : highest;
    }
    return highest;
}

} // namespace

// Guards against control processes that stay unable to write, or never answer, after their disks were full for some
// seconds one after another, and against the loss of acknowledged changes.
TEST_CASE("Changes are acknowledged during and after a series of full disks", "[control]")
{
    setLogLevel(LogLevel::Error);
    for (int i = 0; i < seedCount(); ++i) {
        const auto seed = firstSeed() + static_cast<std::uint64_t>(i);
        FullDisksDay day(seed);
        day.play();
        INFO(fmt::format("seed {}\n{}", seed, day.describe()));
        const auto sentAfterwards
            = std::count_if(day.changes.changes.begin(), day.changes.changes.end(), [&day](const auto &change) {
                  return change.firstSentAt >= day.fullEndedAt + Millis(3000) && day.isDue(change);
              });
        CHECK(sentAfterwards > 0);
        CHECK(lateChanges(day).empty());
        CHECK(day.changes.inProgress() == 0);
        REQUIRE(day.cluster.leader() >= 0);
        const auto file = day.cluster.leaderCore().state().file();
        CHECK(file.number >= highestAcknowledged(day));
        CHECK(file.digest == configDigest(day.changes.changes.at(static_cast<std::size_t>(file.number) - 1).text));
    }
}
