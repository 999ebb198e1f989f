#include "scheduler_fixture.h"

#include <catch2/catch.hpp>

#include <set>

using namespace agatedrum;
using namespace agatedrum::test;

// Order, placement and learned speeds of CellScheduler. Guards against slots that are used twice or never freed,
// against ordering and placement that ignore the configured strategy, and against learned speeds that are wrong or
// diverge.

// A lost or doubled count of slots overloads a backend server or leaves its slots idle. This can happen when a result
// is reported twice, when a task is queued again or dropped, or when a new owner of the cell finds tasks running.
TEST_CASE("The scheduler assigns queued tasks to free slots", "[scheduler]")
{
    SchedulerFixture fixture;

    SECTION("no task starts without a backend server")
    {
        fixture.add(jobOf(1, 2));
        REQUIRE_FALSE(fixture.next());

        SECTION("no more tasks start than there are slots, and a freed slot gets the next task")
        {
            fixture.addServers(1, 1);
            const auto first = fixture.next();
            REQUIRE(first);
            REQUIRE_FALSE(fixture.next());
            fixture.finish(*first);
            REQUIRE(fixture.next());
            REQUIRE(fixture.scheduler.queuedTasks() == 0);
        }

        SECTION("no more tasks start than the server accepts connections")
        {
            fixture.scheduler.setServer("s0", 8, 1, -1, fixture.clock.now());
            REQUIRE(fixture.startAll().size() == 1);
        }

        SECTION("an unavailable backend server gets no task until it is available, even if it announces itself again")
        {
            fixture.addServers(1, 1);
            fixture.scheduler.setAvailable("s0", false, fixture.clock.now());
            fixture.addServers(1, 1);
            REQUIRE_FALSE(fixture.next());
            fixture.scheduler.setAvailable("s0", true, fixture.clock.now());
            REQUIRE(fixture.next());
        }

        SECTION("dropQueued() returns the removed tasks, and they do not start")
        {
            fixture.addServers(1, 8);
            REQUIRE(fixture.scheduler.dropQueued(1) == std::vector<int> {0, 1});
            REQUIRE_FALSE(fixture.next());
            REQUIRE(fixture.scheduler.queuedTasks() == 0);
        }
    }

    SECTION("a task that did not start is queued again and frees its slot")
    {
        fixture.addServers(1, 1);
        fixture.add(jobOf(1, 1));
        fixture.scheduler.requeue(*fixture.next(), fixture.clock.now());
        REQUIRE(fixture.scheduler.runningTasks() == 0);
        REQUIRE(fixture.next());
    }

    SECTION("a result that is reported twice frees only one slot")
    {
        fixture.addServers(1, 2);
        fixture.add(jobOf(1, 5));
        const auto started = fixture.startAll();
        fixture.finish(started[0]);
        fixture.finish(started[0]);
        REQUIRE(fixture.startAll().size() == 1);
    }

    SECTION("a task that a new owner found running uses a slot, even if its server has not announced itself yet")
    {
        const auto job = jobOf(1, 3);
        fixture.scheduler.adopt(job, {{1, 0}, "s0"}, fixture.clock.now());
        fixture.scheduler.add(job, {1, 2}, fixture.clock.now());
        fixture.addServers(1, 2);
        REQUIRE(fixture.startAll().size() == 1);
        fixture.finish({{1, 0}, "s0"});
        REQUIRE(fixture.startAll().size() == 1);
    }

    SECTION("a drained server gets no task, and a configured number of slots limits the tasks of a server")
    {
        auto config = configOf();
        config.backendServers = {{"s0", true, 0}, {"s1", false, 2}};
        fixture.addServers(2, 8);
        fixture.scheduler.configure(config);
        fixture.add(jobOf(1, 20));
        const auto started = fixture.startAll();
        REQUIRE(started.size() == 2);
        REQUIRE(countOnServer(started, "s1") == 2);
    }

    SECTION("the server of a worker that is busy with other work loses some of its slots, but not all")
    {
        fixture.scheduler.setServer("s0", 8, 64, 1.0, fixture.clock.now());
        fixture.add(jobOf(1, 20));
        REQUIRE(fixture.startAll().size() == 4);
    }

    SECTION("a server whose usage is caused by the scheduler's own tasks keeps its slots")
    {
        fixture.addServers(1, 8);
        fixture.add(jobOf(1, 20));
        const auto started = fixture.startAll();
        fixture.scheduler.setServer("s0", 8, 64, 1.0, fixture.clock.now());
        for (const auto &assignment : started) {
            fixture.finish(assignment);
        }
        fixture.scheduler.setServer("s0", 8, 64, 1.0, fixture.clock.now());
        REQUIRE(fixture.startAll().size() == 8);
    }
}

// With the wrong order, small jobs wait behind large ones, or large jobs starve because small ones keep overtaking
// them.
TEST_CASE("The order of jobs follows the configured strategy", "[scheduler]")
{
    const auto order = GENERATE(as<std::string>(), "leastWork", "firstCome");
    SchedulerFixture fixture(configOf(order));
    fixture.add(jobOf(1, 50, Millis(200)));
    fixture.clock.advance(Millis(100));
    fixture.add(jobOf(2, 1, Millis(100)));
    fixture.addServers(1, 1);
    const auto first = fixture.next();

    SECTION("a small job overtakes a large one only with the strategy leastWork")
    {
        REQUIRE(first->task.job == (order == "leastWork" ? 2 : 1));
    }

    SECTION("a large job is overtaken only for a limited time")
    {
        fixture.finish(*first);
        fixture.clock.advance(Millis(6000));
        fixture.add(jobOf(3, 1, Millis(1)));
        REQUIRE(fixture.next()->task.job == 1);
    }
}

// A long task that starts last delays the end of its job.
TEST_CASE("The longest task of a job starts first", "[scheduler]")
{
    SchedulerFixture fixture;
    auto job = jobOf(1, 3);
    job.declared = {Millis(100), Millis(900), Millis(500)};
    fixture.add(job);
    fixture.addServers(1, 8);
    std::vector<int> indices;
    for (const auto &assignment : fixture.startAll()) {
        indices.push_back(assignment.task.index);
    }
    REQUIRE(indices == std::vector<int> {1, 2, 0});
}

// A placement strategy that loses a server, for example when its load changes or the strategy is replaced, leaves slots
// idle.
TEST_CASE("Each placement strategy uses all free slots", "[scheduler]")
{
    const auto placement
        = GENERATE(as<std::string>(), "fastestFree", "random", "roundRobin", "leastLoaded", "twoProbes");
    SchedulerFixture fixture(configOf("leastWork", placement));
    fixture.addServers(4, 2);
    fixture.add(jobOf(1, 30));
    const auto started = fixture.startAll();
    REQUIRE(started.size() == 8);
    for (const auto *server : {"s0", "s1", "s2", "s3"}) {
        REQUIRE(countOnServer(started, server) == 2);
    }

    SECTION("a change of the placement strategy keeps the free slots")
    {
        fixture.finish(started[0]);
        fixture.scheduler.configure(configOf("leastWork", "roundRobin"));
        REQUIRE(fixture.startAll().size() == 1);
    }
}

// A strategy that chooses the same server again and again overloads it while the others are idle.
TEST_CASE("roundRobin and leastLoaded distribute tasks over all servers", "[scheduler]")
{
    const auto placement = GENERATE(as<std::string>(), "roundRobin", "leastLoaded");
    SchedulerFixture fixture(configOf("leastWork", placement));
    fixture.addServers(4, 8);
    fixture.add(jobOf(1, 4));
    std::set<std::string> usedServers;
    for (const auto &assignment : fixture.startAll()) {
        usedServers.insert(assignment.server);
    }
    REQUIRE(usedServers.size() == 4);
}

// If the speed of the servers and the errors of declared run times can't be told apart, tasks go to slow servers while
// faster ones would finish them earlier.
TEST_CASE("The scheduler learns the speeds of servers and the run times of a team's tasks", "[scheduler]")
{
    SchedulerFixture fixture;
    fixture.addServers(3, 4);
    // Compared with s1, s0 takes twice and s2 half the time. The team declares a quarter of the run time on s1.
    const auto runTimeOn = [](const std::string &server) {
        return server == "s0" ? Millis(800) : server == "s1" ? Millis(400) : Millis(200);
    };
    for (JobNumber number = 1; number <= 60; ++number) {
        fixture.add(jobOf(number, 12));
        while (fixture.scheduler.queuedTasks() + fixture.scheduler.runningTasks() > 0) {
            for (const auto &assignment : fixture.startAll()) {
                fixture.finish(assignment, wire::Outcome::FINISHED, runTimeOn(assignment.server));
            }
            fixture.advanceTime(Millis(200));
        }
    }

    SECTION("the learned slowness of each server is close to its real one")
    {
        REQUIRE(fixture.serverField("s0", "slowness").get<double>() == Approx(2).epsilon(0.2));
        REQUIRE(fixture.serverField("s2", "slowness").get<double>() == Approx(0.5).epsilon(0.2));
    }

    SECTION("the learned size factor of the team is close to the real one")
    {
        const auto dump = fixture.scheduler.dump(fixture.clock.now());
        REQUIRE(dump["teams"][0]["sizeFactor"].get<double>() == Approx(4).epsilon(0.2));
    }

    SECTION("a few outliers do not make a fast server count as slow")
    {
        fixture.add(jobOf(1000, 3));
        for (const auto &assignment : fixture.startAll()) {
            fixture.finish(assignment, wire::Outcome::FINISHED, Millis(20000));
        }
        fixture.advanceTime(Millis(200));
        REQUIRE(fixture.serverField("s2", "slowness").get<double>() < 1);
    }

    SECTION("a task waits for the fast server although the slow one is free")
    {
        fixture.add(jobOf(1000, 5, Millis(500)));
        const auto started = fixture.startAll();
        REQUIRE(countOnServer(started, "s2") == 4);
        REQUIRE(countOnServer(started, "s0") == 0);

        SECTION("it starts on another server after some time if the fast server does not finish")
        {
            fixture.advanceTime(Millis(5000));
            REQUIRE(fixture.startAll().size() == 1);
        }
    }
}

// Speeds are relative to the mean of all servers. If the mean is updated only at a tick, many samples before the next
// tick are compared with an outdated mean, and the speeds of all servers diverge.
TEST_CASE("Learned speeds stay stable with thousands of samples per second", "[scheduler]")
{
    SchedulerFixture fixture;
    fixture.addServers(11, 8);
    std::vector<Assignment> running;
    for (int sample = 0; sample < 20000; ++sample) {
        if (fixture.scheduler.queuedTasks() < 200) {
            auto job = jobOf(sample + 1, 50);
            for (std::size_t task = 0; task < job.declared.size(); ++task) {
                job.declared[task] = Millis(50 + (sample * 7919 + static_cast<int>(task) * 1047) % 950);
            }
            fixture.add(job);
        }
        const auto started = fixture.startAll();
        running.insert(running.end(), started.begin(), started.end());
        auto &entry = running[static_cast<std::size_t>(sample) * 7919 % running.size()];
        fixture.finish(entry, wire::Outcome::FINISHED, Millis(100 + sample % 100));
        entry = running.back();
        running.pop_back();
        fixture.clock.advance(Micros(50));
        if (sample % 100 == 0) {
            fixture.scheduler.tick(fixture.clock.now());
        }
    }
    for (int server = 0; server < 11; ++server) {
        const auto slowness = fixture.serverField("s" + std::to_string(server), "slowness").get<double>();
        REQUIRE(slowness > 0.5);
        REQUIRE(slowness < 2);
    }
}
