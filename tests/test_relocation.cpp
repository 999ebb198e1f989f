#include <catch2/catch.hpp>

#include "agatedrum/config.h"
#include "dispatch_relocation_p.h"
#include "dispatch_stops_p.h"
#include "host_progress_p.h"

#include <algorithm>

using namespace agatedrum;

namespace {

const Time begin(std::chrono::hours(1));

Time at(int ms)
{
    return begin + Millis(ms);
}

RunOutlook steady(int remainingMs)
{
    return {Millis(remainingMs), Millis(remainingMs)};
}

Placement elsewhere(int endMs)
{
    return {0, Millis(0), Millis(endMs)};
}

} // namespace

TEST_CASE("The progress of a run tells its end", "[relocation]")
{
    RunProgress progress(begin);

    SECTION("nothing is said of a run that has just begun, or short tasks would seem slow")
    {
        progress.observe(1, at(60));
        REQUIRE_FALSE(progress.remaining(at(60)));
    }
    SECTION("a steady run ends when its speed says, within a tenth")
    {
        for (int ms = 60; ms <= 600; ms += 60) {
            progress.observe(ms / 13, at(ms)); // 1,300 ms in all
        }
        REQUIRE(*progress.remaining(at(600)) > Millis(630));
        REQUIRE(*progress.remaining(at(600)) < Millis(770));
        REQUIRE(*progress.total(at(600)) > Millis(1230));
    }
    SECTION("a backend server that turns slow shows within half a second, although the average still looks good")
    {
        for (int ms = 60; ms <= 600; ms += 60) {
            progress.observe(ms / 10, at(ms));
        }
        for (int ms = 660; ms <= 1020; ms += 60) {
            progress.observe(60 + (ms - 600) / 65, at(ms));
        }
        REQUIRE(*progress.remaining(at(1020)) > Millis(1400)); // of 2,200 ms
    }
    SECTION("a run that stands still has no end in sight")
    {
        for (int ms = 60; ms <= 900; ms += 60) {
            progress.observe(std::min(ms, 300) / 10, at(ms));
        }
        REQUIRE(*progress.remaining(at(900)) > std::chrono::seconds(15));
    }
    SECTION("the few percent of a first moment bring no alarm, or jobs would be given up that end in time")
    {
        progress.observe(6, at(104)); // 6.9 % of a task of 1,500 ms
        REQUIRE(*progress.leastRemaining(at(104)) < Millis(1400));
    }
}

TEST_CASE("The speed of a backend server does not depend on the length of its tasks", "[relocation]")
{
    // Guards against short tasks, whose fixed part is as long as their run, making a backend server seem slow.
    const auto learnedFrom = [](double slowness, int estimateMs) {
        RunTimes times;
        for (int i = 0; i < 200; ++i) {
            const auto run = Millis(AGATEDRUM_TASK_OVERHEAD_MS) + Millis(static_cast<int>(estimateMs * slowness));
            times.learn(Millis(estimateMs), run);
        }
        return times.slowness();
    };
    for (const double slowness : {0.6, 1.4}) {
        for (const int estimateMs : {60, 200, 900}) {
            INFO(slowness << " with tasks of " << estimateMs << " ms");
            REQUIRE(learnedFrom(slowness, estimateMs) == Approx(slowness).epsilon(0.1));
        }
    }
}

TEST_CASE("A backend server counts as slow when most of its runs show it", "[relocation]")
{
    REQUIRE(presentSlowness(1.0, {9.0}) == 1.0);
    REQUIRE(presentSlowness(1.0, {0.6, 0.9, 1.1, 9.0}) == 1.0);
    REQUIRE(presentSlowness(1.0, {5.0, 6.5, 0.9, 7.0}) > 5.0);
    REQUIRE(presentSlowness(1.0, {100.0, 100.0, 100.0}) <= 20.0);
}

TEST_CASE("Stopped runs tell of a backend server that stands still", "[relocation]")
{
    StoppedRuns stopped;
    for (const double slowness : {50.0, 12.0, 30.0}) {
        stopped.add(slowness, at(0));
    }
    const auto slowness = [&stopped](int ms) { return presentSlowness(1.2, stopped.fading(1.2, at(ms))); };
    REQUIRE(slowness(0) >= 12.0);

    SECTION("which gets tasks again after a while, or it could never show that it is well")
    {
        REQUIRE(slowness(1000) > 2.4);
        REQUIRE(slowness(1000) < slowness(500));
        REQUIRE(slowness(2000) == 1.2);
    }
    SECTION("but single long tasks beside others that end in time do not make it seem slow")
    {
        stopped.noteEnd(1.5, 1.2);
        REQUIRE(slowness(0) == 1.2);
    }
    SECTION("and an end that came late is no sign that it is well")
    {
        stopped.noteEnd(6.0, 1.2);
        REQUIRE(slowness(0) >= 12.0);
    }
}

TEST_CASE("A task is moved only when that changes what its caller gets", "[relocation]")
{
    const PlacementGoal goal {Millis(400), Millis(1400)};
    REQUIRE(judgeRun(steady(350), elsewhere(100), goal) == RunVerdict::Keep);
    REQUIRE(judgeRun(steady(600), elsewhere(200), goal) == RunVerdict::Move);
    REQUIRE(judgeRun(steady(600), elsewhere(390), goal) == RunVerdict::Keep);
    REQUIRE(judgeRun(steady(2000), elsewhere(800), goal) == RunVerdict::Move);

    SECTION("a job that can end nowhere in time gives its room to others")
    {
        REQUIRE(judgeRun(steady(2000), elsewhere(1500), goal) == RunVerdict::GiveUp);
        REQUIRE(judgeRun(steady(2000), Placement {}, goal) == RunVerdict::GiveUp);
    }
    SECTION("one that may still make it goes on, since the end is not certain")
    {
        REQUIRE(judgeRun({Millis(1700), Millis(1390)}, Placement {}, goal) == RunVerdict::Keep);
    }
    SECTION("a late answer is still delivered")
    {
        REQUIRE(judgeRun(steady(1300), Placement {}, goal) == RunVerdict::Keep);
    }
}

TEST_CASE("A stop is repeated until its end is reported, since a message may be lost", "[relocation]")
{
    DispatchStops stops(Millis(200), Millis(3000));
    stops.add(7, {"a", 1, "host-1"}, begin);
    REQUIRE(stops.takeDue(begin).size() == 1);
    REQUIRE(stops.takeDue(at(100)).empty());
    REQUIRE(stops.takeDue(at(200)).size() == 1);
    REQUIRE(stops.isPending("a", 1));
    REQUIRE_FALSE(stops.isPending("a", 2));

    SECTION("the end frees the task to be placed again")
    {
        stops.confirm(7);
        REQUIRE_FALSE(stops.isPending("a", 1));
    }
    SECTION("after every lease has lapsed it is forgotten")
    {
        REQUIRE(stops.takeDue(at(3001)).empty());
        REQUIRE_FALSE(stops.isPending("a", 1));
    }
}
