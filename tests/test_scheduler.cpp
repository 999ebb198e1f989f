#include "scheduler_rig.h"

#include <catch2/catch.hpp>

#include <set>

using namespace agatedrum;
using namespace agatedrum::test;

TEST_CASE("A scheduler binds queued tasks to free slots", "[scheduler]")
{
    SchedulerRig rig;

    SECTION("nothing starts without a backend server")
    {
        rig.add(jobOf(1, 2));
        REQUIRE_FALSE(rig.next());

        SECTION("no more tasks start than there are slots, and a free slot takes the next")
        {
            rig.addServers(1, 1);
            const auto first = rig.next();
            REQUIRE(first);
            REQUIRE_FALSE(rig.next());
            rig.finish(*first);
            REQUIRE(rig.next());
            REQUIRE(rig.scheduler.queuedTasks() == 0);
        }

        SECTION("no more tasks start than the server takes connections")
        {
            rig.scheduler.setServer("s0", 8, 1, -1, rig.clock.now());
            REQUIRE(rig.startAll().size() == 1);
        }

        SECTION("an unavailable backend server gets nothing until it is back, also when it announces itself")
        {
            rig.addServers(1, 1);
            rig.scheduler.setAvailable("s0", false, rig.clock.now());
            rig.addServers(1, 1);
            REQUIRE_FALSE(rig.next());
            rig.scheduler.setAvailable("s0", true, rig.clock.now());
            REQUIRE(rig.next());
        }

        SECTION("dropped tasks are reported and do not start")
        {
            rig.addServers(1, 8);
            REQUIRE(rig.scheduler.dropQueued(1) == std::vector<int> {0, 1});
            REQUIRE_FALSE(rig.next());
            REQUIRE(rig.scheduler.queuedTasks() == 0);
        }
    }

    SECTION("a task that certainly did not start is queued again and frees its slot")
    {
        rig.addServers(1, 1);
        rig.add(jobOf(1, 1));
        rig.scheduler.requeue(*rig.next(), rig.clock.now());
        REQUIRE(rig.scheduler.runningTasks() == 0);
        REQUIRE(rig.next());
    }

    SECTION("a result that is reported twice frees one slot")
    {
        rig.addServers(1, 2);
        rig.add(jobOf(1, 5));
        const auto started = rig.startAll();
        rig.finish(started[0]);
        rig.finish(started[0]);
        REQUIRE(rig.startAll().size() == 1);
    }

    SECTION("a task that a new owner found running takes a slot, even before its server announced itself")
    {
        const auto job = jobOf(1, 3);
        rig.scheduler.adopt(job, {{1, 0}, "s0"}, rig.clock.now());
        rig.scheduler.add(job, {1, 2}, rig.clock.now());
        rig.addServers(1, 2);
        REQUIRE(rig.startAll().size() == 1);
        rig.finish({{1, 0}, "s0"});
        REQUIRE(rig.startAll().size() == 1);
    }

    SECTION("a drained server gets nothing, and one with configured slots no more than these")
    {
        auto config = configOf();
        config.backendServers = {{"s0", true, 0}, {"s1", false, 2}};
        rig.addServers(2, 8);
        rig.scheduler.configure(config);
        rig.add(jobOf(1, 20));
        const auto started = rig.startAll();
        REQUIRE(started.size() == 2);
        REQUIRE(countOn(started, "s1") == 2);
    }

    SECTION("a busy worker's server loses slots, not all")
    {
        rig.scheduler.setServer("s0", 8, 64, 1.0, rig.clock.now());
        rig.add(jobOf(1, 20));
        REQUIRE(rig.startAll().size() == 4);
    }

    SECTION("a server that is full of the scheduler's own tasks keeps its slots")
    {
        rig.addServers(1, 8);
        rig.add(jobOf(1, 20));
        const auto started = rig.startAll();
        rig.scheduler.setServer("s0", 8, 64, 1.0, rig.clock.now());
        for (const auto &assignment : started) {
            rig.finish(assignment);
        }
        rig.scheduler.setServer("s0", 8, 64, 1.0, rig.clock.now());
        REQUIRE(rig.startAll().size() == 8);
    }
}

TEST_CASE("The order of jobs follows the configured strategy", "[scheduler]")
{
    const auto order = GENERATE(as<std::string>(), "leastWork", "firstCome");
    SchedulerRig rig(configOf(order));
    rig.add(jobOf(1, 50, Millis(200)));
    rig.clock.advance(Millis(100));
    rig.add(jobOf(2, 1, Millis(100)));
    rig.addServers(1, 1);
    const auto first = rig.next();

    SECTION("a small job overtakes a large one only by least work")
    {
        REQUIRE(first->task.job == (order == "leastWork" ? 2 : 1));
    }

    SECTION("a large job is overtaken for a bounded time")
    {
        rig.finish(*first);
        rig.clock.advance(Millis(6000));
        rig.add(jobOf(3, 1, Millis(1)));
        REQUIRE(rig.next()->task.job == 1);
    }
}

TEST_CASE("The longest task of a job starts first", "[scheduler]")
{
    SchedulerRig rig;
    auto job = jobOf(1, 3);
    job.declared = {Millis(100), Millis(900), Millis(500)};
    rig.add(job);
    rig.addServers(1, 8);
    std::vector<int> indices;
    for (const auto &assignment : rig.startAll()) {
        indices.push_back(assignment.task.index);
    }
    REQUIRE(indices == std::vector<int> {1, 2, 0});
}

TEST_CASE("Each placement uses all free slots", "[scheduler]")
{
    const auto placement
        = GENERATE(as<std::string>(), "fastestFree", "random", "roundRobin", "leastLoaded", "twoProbes");
    SchedulerRig rig(configOf("leastWork", placement));
    rig.addServers(4, 2);
    rig.add(jobOf(1, 30));
    const auto started = rig.startAll();
    REQUIRE(started.size() == 8);
    for (const auto *server : {"s0", "s1", "s2", "s3"}) {
        REQUIRE(countOn(started, server) == 2);
    }

    SECTION("a change of the placement keeps the free slots")
    {
        rig.finish(started[0]);
        rig.scheduler.configure(configOf("leastWork", "roundRobin"));
        REQUIRE(rig.startAll().size() == 1);
    }
}

TEST_CASE("Round robin and least loaded spread tasks", "[scheduler]")
{
    const auto placement = GENERATE(as<std::string>(), "roundRobin", "leastLoaded");
    SchedulerRig rig(configOf("leastWork", placement));
    rig.addServers(4, 8);
    rig.add(jobOf(1, 4));
    std::set<std::string> used;
    for (const auto &assignment : rig.startAll()) {
        used.insert(assignment.server);
    }
    REQUIRE(used.size() == 4);
}

TEST_CASE("Speeds and sizes are learned", "[scheduler]")
{
    SchedulerRig rig;
    rig.addServers(3, 4);
    // Server s0 takes twice, s2 half the time; the team declares a quarter of what its tasks need.
    const auto runTimeOn = [](const std::string &server) {
        return server == "s0" ? Millis(800) : server == "s1" ? Millis(400) : Millis(200);
    };
    for (JobNumber number = 1; number <= 60; ++number) {
        rig.add(jobOf(number, 12));
        while (rig.scheduler.queuedTasks() + rig.scheduler.runningTasks() > 0) {
            for (const auto &assignment : rig.startAll()) {
                rig.finish(assignment, wire::Outcome::FINISHED, runTimeOn(assignment.server));
            }
            rig.pass(Millis(200));
        }
    }

    SECTION("the slowness of each server comes close to the truth")
    {
        REQUIRE(rig.serverField("s0", "slowness").get<double>() == Approx(2).epsilon(0.2));
        REQUIRE(rig.serverField("s2", "slowness").get<double>() == Approx(0.5).epsilon(0.2));
    }

    SECTION("the team's factor comes close to the truth")
    {
        const auto dump = rig.scheduler.dump(rig.clock.now());
        REQUIRE(dump["teams"][0]["sizeFactor"].get<double>() == Approx(4).epsilon(0.2));
    }

    SECTION("a few odd samples do not change the place of a server")
    {
        rig.add(jobOf(1000, 3));
        for (const auto &assignment : rig.startAll()) {
            rig.finish(assignment, wire::Outcome::FINISHED, Millis(20000));
        }
        rig.pass(Millis(200));
        REQUIRE(rig.serverField("s2", "slowness").get<double>() < 1);
    }

    SECTION("a task waits for the fast server rather than take the slow one")
    {
        rig.add(jobOf(1000, 5, Millis(500)));
        const auto started = rig.startAll();
        REQUIRE(countOn(started, "s2") == 4);
        REQUIRE(countOn(started, "s0") == 0);

        SECTION("but not for ever when the fast server does not finish")
        {
            rig.pass(Millis(5000));
            REQUIRE(rig.startAll().size() == 1);
        }
    }
}

TEST_CASE("Learned speeds stay stable with thousands of samples between two ticks", "[scheduler]")
{
    SchedulerRig rig;
    rig.addServers(11, 8);
    std::vector<Assignment> running;
    for (int sample = 0; sample < 20000; ++sample) {
        if (rig.scheduler.queuedTasks() < 200) {
            auto job = jobOf(sample + 1, 50);
            for (std::size_t task = 0; task < job.declared.size(); ++task) {
                job.declared[task] = Millis(50 + (sample * 7919 + static_cast<int>(task) * 1047) % 950);
            }
            rig.add(job);
        }
        const auto started = rig.startAll();
        running.insert(running.end(), started.begin(), started.end());
        auto &slot = running[static_cast<std::size_t>(sample) * 7919 % running.size()];
        rig.finish(slot, wire::Outcome::FINISHED, Millis(100 + sample % 100));
        slot = running.back();
        running.pop_back();
        rig.clock.advance(Micros(50));
        if (sample % 100 == 0) {
            rig.scheduler.tick(rig.clock.now());
        }
    }
    for (int server = 0; server < 11; ++server) {
        const auto slowness = rig.serverField("s" + std::to_string(server), "slowness").get<double>();
        REQUIRE(slowness > 0.5);
        REQUIRE(slowness < 2);
    }
}
