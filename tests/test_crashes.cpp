#include "base_log_p.h"
#include "dispatch_crashes_p.h"
#include "run_sim.h"

#include <catch2/catch.hpp>

using namespace agatedrum;
using namespace agatedrum::test;

namespace {

wire::ServerCrash crashOf(const std::string &server, const std::vector<TaskName> &tasks)
{
    wire::ServerCrash crash;
    crash.server = server;
    for (const auto &task : tasks) {
        wire::CrashedTask crashed;
        crashed.job = task.job;
        crashed.index = task.index;
        crash.tasks.push_back(crashed);
    }
    return crash;
}

std::size_t startsOf(const RunSim &sim, const TaskName &task)
{
    return static_cast<std::size_t>(std::count_if(sim.record.runs.begin(), sim.record.runs.end(),
                                                  [&task](const auto &run) { return run.task == task; }));
}

} // namespace

// Guards against a task that crashes server after server, and against neighbours that are failed for it.
TEST_CASE("Crashes tell the task that caused them from those that ran beside it", "[crashes]")
{
    DispatchCrashes crashes;
    const Time now {};
    const TaskName culprit {"bad", 0};
    const TaskName neighbour {"good", 0};
    crashes.apply({crashOf("a", {culprit, neighbour})}, now);

    SECTION("after one crash all tasks that ran there are suspected, and none is given up")
    {
        CHECK(crashes.isSuspected(culprit));
        CHECK(crashes.isSuspected(neighbour));
        CHECK_FALSE(crashes.isGivenUp(culprit));
    }
    SECTION("the same crash counts once, whatever host or message reports it")
    {
        CHECK_FALSE(crashes.apply({crashOf("a", {culprit, neighbour})}, now + Millis(200)));
        CHECK_FALSE(crashes.isGivenUp(culprit));
    }
    SECTION("a task is given up when it is the only repeated one at a crash, and it explains both crashes")
    {
        REQUIRE(crashes.apply({crashOf("b", {culprit, {"other", 0}})}, now));
        CHECK(crashes.isGivenUp(culprit));
        CHECK_FALSE(crashes.isGivenUp(neighbour));
        CHECK_FALSE(crashes.isSuspected(neighbour));
        CHECK_FALSE(crashes.isSuspected({"other", 0}));
    }
    SECTION("two tasks that ran at the same two crashes are not given up yet")
    {
        crashes.apply({crashOf("b", {culprit, neighbour})}, now);
        CHECK_FALSE(crashes.isGivenUp(culprit));
        CHECK_FALSE(crashes.isGivenUp(neighbour));

        SECTION("the one that ends well is cleared, which leaves the other")
        {
            crashes.clear(neighbour);
            CHECK(crashes.isGivenUp(culprit));
            CHECK_FALSE(crashes.isGivenUp(neighbour));
        }
        SECTION("the one that runs at a third crash is given up")
        {
            crashes.apply({crashOf("c", {culprit})}, now);
            CHECK(crashes.isGivenUp(culprit));
            CHECK_FALSE(crashes.isGivenUp(neighbour));
        }
    }
    SECTION("a withdrawn crash no longer counts")
    {
        crashes.apply({crashOf("a", {})}, now);
        CHECK_FALSE(crashes.isSuspected(culprit));
    }
    SECTION("a crash is forgotten after its host has not reported it for 30 s")
    {
        crashes.apply({crashOf("b", {culprit})}, now + Millis(30001));
        CHECK_FALSE(crashes.isGivenUp(culprit));
    }
}

// Guards against a task that is placed at server after server, also when its job is submitted again at another entry.
TEST_CASE("A task under which two servers have crashed is started no more", "[crashes]")
{
    setLogLevel(LogLevel::Error);
    RunSim sim(1, 2, 4);
    const TaskName deadly {"bad", 0};
    sim.deadlyTasks = {deadly};
    sim.callers.submit({"bad", {300}, 300, 4000}, 0);

    SECTION("its job is answered as failed")
    {
        sim.run(Millis(15000));
        CHECK(sim.callers.answered(JobEnd::Failed) == 1);
    }
    SECTION("also if the entry that ordered its first run is lost")
    {
        sim.run(Millis(300));
        sim.killEntry(0, Millis(20000));
        sim.run(Millis(15000));
        CHECK(sim.callers.answered(JobEnd::Failed) == 1);
    }
    SECTION("also if the host that saw the first crash is lost")
    {
        sim.run(Millis(600));
        sim.killHost(0, Millis(20000));
        sim.killHost(1, Millis(20000));
        sim.run(Millis(15000));
    }
    SECTION("the jobs that ran beside it at the first crash are not failed")
    {
        for (int i = 0; i < 12; ++i) {
            sim.callers.submit({fmt::format("good{}", i), {400}, 400, 4000}, i % 2);
        }
        sim.run(Millis(15000));
        CHECK(sim.callers.answered(JobEnd::Failed) == 1);
        CHECK(sim.callers.answered(JobEnd::Completed) == 12);
    }
    INFO("crashes: " << sim.crashCount);
    CHECK(startsOf(sim, deadly) <= 2);
    CHECK(sim.crashCount <= 2);
    CHECK(sim.record.violations.empty());
}
