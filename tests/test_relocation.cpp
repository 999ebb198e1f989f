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

RunEstimate exactEstimate(int remainingMs)
{
    return {Millis(remainingMs), Millis(remainingMs)};
}

Placement placementEndingAt(int endMs)
{
    return {0, Millis(0), Millis(endMs)};
}

} // namespace

TEST_CASE("The end of a run is predicted from its progress", "[relocation]")
{
    // Guards against needless relocations and abandoned jobs due to a wrong prediction.
    RunProgress progress(begin);

    SECTION("there is no prediction for a run that has just begun, so that short tasks do not appear slow")
    {
        progress.observe(1, at(60));
        REQUIRE_FALSE(progress.remaining(at(60)));
    }
    SECTION("the predicted end of a steady run is accurate to about a tenth")
    {
        for (int ms = 60; ms <= 600; ms += 60) {
            progress.observe(ms / 13, at(ms)); // 1,300 ms in total
        }
        REQUIRE(*progress.remaining(at(600)) > Millis(630));
        REQUIRE(*progress.remaining(at(600)) < Millis(770));
        REQUIRE(*progress.total(at(600)) > Millis(1230));
    }
    SECTION("a slowdown is detected within half a second, although the average speed is still high")
    {
        for (int ms = 60; ms <= 600; ms += 60) {
            progress.observe(ms / 10, at(ms));
        }
        for (int ms = 660; ms <= 1020; ms += 60) {
            progress.observe(60 + (ms - 600) / 65, at(ms));
        }
        REQUIRE(*progress.remaining(at(1020)) > Millis(1400)); // the actual value is 2,200 ms
    }
    SECTION("a stalled run has a very long remaining time")
    {
        for (int ms = 60; ms <= 900; ms += 60) {
            progress.observe(std::min(ms, 300) / 10, at(ms));
        }
        REQUIRE(*progress.remaining(at(900)) > std::chrono::seconds(15));
    }
    SECTION("the first few percent do not predict a missed deadline, so that jobs that end on time are not abandoned")
    {
        progress.observe(6, at(104)); // 6.9 % of a task of 1,500 ms
        REQUIRE(*progress.minRemaining(at(104)) < Millis(1400));
    }
}

TEST_CASE("The learned slowness of a backend server does not depend on the length of its tasks", "[relocation]")
{
    // Guards against a backend server that appears slow due to short tasks, whose fixed overhead is as long as their
    // run time.
    const auto learnedSlowness = [](double slowness, int estimateMs) {
        RunTimeEstimator estimator;
        for (int i = 0; i < 200; ++i) {
            const auto run = Millis(AGATEDRUM_TASK_OVERHEAD_MS) + Millis(static_cast<int>(estimateMs * slowness));
            estimator.learn(Millis(estimateMs), run);
        }
        return estimator.slowness();
    };
    for (const double slowness : {0.6, 1.4}) {
        for (const int estimateMs : {60, 200, 900}) {
            INFO(slowness << " with tasks of " << estimateMs << " ms");
            REQUIRE(learnedSlowness(slowness, estimateMs) == Approx(slowness).epsilon(0.1));
        }
    }
}

TEST_CASE("A backend server counts as slow if most of its runs are slow", "[relocation]")
{
    // Guards against a healthy backend server that counts as slow due to single long tasks.
    REQUIRE(estimateSlowness(1.0, {{"a", 9.0}}) == 1.0);
    REQUIRE(estimateSlowness(1.0, {{"a", 0.6}, {"b", 0.9}, {"c", 1.1}, {"d", 9.0}}) == 1.0);
    REQUIRE(estimateSlowness(1.0, {{"a", 5.0}, {"b", 6.5}, {"c", 0.9}, {"d", 7.0}}) > 5.0);
    REQUIRE(estimateSlowness(1.0, {{"a", 100.0}, {"b", 100.0}, {"c", 100.0}}) <= 20.0);

    // Guards against relocations to backend servers that are no faster, when one job's estimate is too low.
    SECTION("the runs of one job count once, with the fastest one")
    {
        REQUIRE(estimateSlowness(1.0, {{"a", 3.0}, {"a", 3.5}, {"a", 2.5}, {"a", 4.0}}) == 1.0);
        REQUIRE(estimateSlowness(1.0, {{"a", 3.0}, {"a", 3.5}, {"b", 1.0}, {"c", 0.9}}) == 1.0);
        REQUIRE(estimateSlowness(1.0, {{"a", 3.0}, {"a", 1.0}, {"b", 3.5}, {"c", 0.9}}) == 1.0);
    }
    SECTION("runs that take far longer than an estimate can be wrong count one by one")
    {
        REQUIRE(estimateSlowness(1.0, {{"a", 8.0}, {"a", 9.0}, {"a", 7.0}}) == 8.0);
    }
}

TEST_CASE("Stopped runs make a stalled backend server count as slow", "[relocation]")
{
    // Guards against a stalled backend server that keeps getting tasks because relocations end the runs that show the
    // stall.
    StoppedRuns stopped;
    for (const auto &run : {ObservedRun {"a", 50.0}, ObservedRun {"b", 12.0}, ObservedRun {"c", 30.0}}) {
        stopped.add(run, at(0));
    }
    const auto slowness = [&stopped](int ms) { return estimateSlowness(1.2, stopped.decayedSlowness(1.2, at(ms))); };
    REQUIRE(slowness(0) >= 12.0);

    SECTION("the effect decays, so that the backend server gets tasks again and can prove that it has recovered")
    {
        REQUIRE(slowness(1000) > 2.4);
        REQUIRE(slowness(1000) < slowness(500));
        REQUIRE(slowness(2000) == 1.2);
    }
    SECTION("single long tasks do not make it count as slow if other tasks end on time")
    {
        stopped.recordSuccess(1.5, 1.2);
        REQUIRE(slowness(0) == 1.2);
    }
    SECTION("a success of a slow run does not cancel a stopped run")
    {
        stopped.recordSuccess(6.0, 1.2);
        REQUIRE(slowness(0) >= 12.0);
    }
}

TEST_CASE("A task is relocated only if that improves the result for its caller", "[relocation]")
{
    // Guards against relocations that discard the work done so far without a benefit for the caller.
    const PlacementGoal goal {Millis(400), Millis(1400)};
    REQUIRE(decideRun(exactEstimate(350), placementEndingAt(100), goal) == RunDecision::Keep);
    REQUIRE(decideRun(exactEstimate(600), placementEndingAt(200), goal) == RunDecision::Relocate);
    REQUIRE(decideRun(exactEstimate(600), placementEndingAt(390), goal) == RunDecision::Keep);
    REQUIRE(decideRun(exactEstimate(2000), placementEndingAt(800), goal) == RunDecision::Relocate);

    SECTION("a job that can end on time on no host is abandoned")
    {
        REQUIRE(decideRun(exactEstimate(2000), placementEndingAt(1500), goal) == RunDecision::Abandon);
        REQUIRE(decideRun(exactEstimate(2000), Placement {}, goal) == RunDecision::Abandon);
    }
    SECTION("a job that may still end on time continues, since the estimate is uncertain")
    {
        REQUIRE(decideRun({Millis(1700), Millis(1390)}, Placement {}, goal) == RunDecision::Keep);
    }
    SECTION("a late answer is still delivered")
    {
        REQUIRE(decideRun(exactEstimate(1300), Placement {}, goal) == RunDecision::Keep);
    }
}

TEST_CASE("A stop is resent until the end of the task is reported, since a message may be lost", "[relocation]")
{
    // Guards against a task that keeps running, or runs twice, because a stop message was lost.
    DispatchStops stops(Millis(200), Millis(3000));
    stops.add(7, {"a", 1, "host-1"}, begin);
    REQUIRE(stops.takeDue(begin).size() == 1);
    REQUIRE(stops.takeDue(at(100)).empty());
    REQUIRE(stops.takeDue(at(200)).size() == 1);
    REQUIRE(stops.isPending("a", 1));
    REQUIRE_FALSE(stops.isPending("a", 2));

    SECTION("the task may be placed again after its end is reported")
    {
        stops.confirm(7, "a", 1);
        REQUIRE_FALSE(stops.isPending("a", 1));
    }
    SECTION("the end of an order of an earlier process of the entry, which has the same number, confirms nothing")
    {
        stops.confirm(7, "b", 1);
        stops.confirm(7, "a", 2);
        REQUIRE(stops.isPending("a", 1));
    }
    SECTION("the stop is removed after all leases have expired")
    {
        REQUIRE(stops.takeDue(at(3001)).empty());
        REQUIRE_FALSE(stops.isPending("a", 1));
    }
}
