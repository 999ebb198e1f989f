#include "scheduler_rig.h"

#include <catch2/catch.hpp>

using namespace agatedrum;
using namespace agatedrum::test;

namespace {

TeamConfig teamOf(const std::string &name, double weight)
{
    TeamConfig team;
    team.name = name;
    team.weight = weight;
    return team;
}

ClusterConfig configWith(const std::vector<TeamConfig> &teams)
{
    auto config = configOf();
    config.teams = teams;
    return config;
}

} // namespace

TEST_CASE("Teams share the slots by weight", "[scheduler]")
{
    SchedulerRig rig(configWith({teamOf("crews", 3), teamOf("rebates", 1)}));
    rig.addServers(1, 8);

    SECTION("a team alone uses all slots")
    {
        rig.add(jobOf(1, 200, Millis(500), "rebates"));
        const auto lent = rig.startAll();
        REQUIRE(lent.size() == 8);

        SECTION("and gives its lent slots back as its tasks end, within a second")
        {
            rig.add(jobOf(2, 200, Millis(500), "crews"));
            rig.pass(Millis(500));
            for (const auto &assignment : lent) {
                rig.finish(assignment, wire::Outcome::FINISHED, Millis(500));
            }
            const auto started = rig.startAll();
            REQUIRE(countOf(started, 2) == 6);
            REQUIRE(countOf(started, 1) == 2);
        }
    }

    SECTION("what a team does not use goes to the others")
    {
        rig.add(jobOf(1, 200, Millis(500), "rebates"));
        rig.add(jobOf(2, 3, Millis(500), "crews"));
        const auto started = rig.startAll();
        REQUIRE(countOf(started, 2) == 3);
        REQUIRE(countOf(started, 1) == 5);
    }
}

TEST_CASE("Quotas bound a team", "[scheduler]")
{
    auto team = teamOf("crews", 1);

    SECTION("tasks in flight")
    {
        team.maxTasksInFlight = 3;
        SchedulerRig rig(configWith({team}));
        rig.addServers(1, 8);
        rig.add(jobOf(1, 10, Millis(100), "crews"));
        const auto started = rig.startAll();
        REQUIRE(started.size() == 3);
        rig.finish(started[0]);
        REQUIRE(rig.startAll().size() == 1);
    }

    SECTION("queued tasks, with a hint unless the job alone is too large")
    {
        team.maxQueuedTasks = 10;
        SchedulerRig rig(configWith({team}));
        rig.add(jobOf(1, 8, Millis(100), "crews"));
        REQUIRE_FALSE(rig.scheduler.admit(jobOf(2, 2, Millis(100), "crews"), rig.clock.now()));
        const auto refusal = rig.scheduler.admit(jobOf(2, 3, Millis(100), "crews"), rig.clock.now());
        REQUIRE(refusal->code == wire::RefusalCode::QUOTA);
        REQUIRE(refusal->notRun);
        REQUIRE(refusal->retryAfterMs > 0);
        const auto never = rig.scheduler.admit(jobOf(2, 11, Millis(100), "crews"), rig.clock.now());
        REQUIRE(never->code == wire::RefusalCode::NEVER_RUNNABLE);
        REQUIRE(never->retryAfterMs == 0);
    }

    SECTION("tasks per second, and the hint is when it has room again")
    {
        team.maxTasksPerSecond = 20;
        SchedulerRig rig(configWith({team}));
        const auto job = jobOf(1, 30, Millis(100), "crews");
        REQUIRE_FALSE(rig.scheduler.admit(job, rig.clock.now()));
        rig.add(job);
        const auto refusal = rig.scheduler.admit(jobOf(2, 1, Millis(100), "crews"), rig.clock.now());
        REQUIRE(refusal->code == wire::RefusalCode::QUOTA);
        rig.clock.advance(Millis(refusal->retryAfterMs + 1));
        REQUIRE_FALSE(rig.scheduler.admit(jobOf(2, 1, Millis(100), "crews"), rig.clock.now()));
    }

    SECTION("a team that the configuration does not name")
    {
        SchedulerRig rig(configWith({team}));
        const auto refusal = rig.scheduler.admit(jobOf(1, 1, Millis(100), "x"), rig.clock.now());
        REQUIRE(refusal->code == wire::RefusalCode::UNKNOWN_TEAM);
    }
}

TEST_CASE("Admission refuses what cannot be kept", "[scheduler]")
{
    SchedulerRig rig;
    rig.addServers(1, 8);
    rig.pass(Millis(200));
    const auto admit = [&rig](const ScheduledJob &job) { return rig.scheduler.admit(job, rig.clock.now()); };

    SECTION("a full queue, with a hint")
    {
        rig.add(jobOf(1, 1000));
        const auto refusal = admit(jobOf(2, 1));
        REQUIRE(refusal->code == wire::RefusalCode::QUEUE_FULL);
        REQUIRE(refusal->notRun);
        REQUIRE(refusal->retryAfterMs > 0);
    }

    SECTION("a job larger than the queue is never accepted")
    {
        REQUIRE(admit(jobOf(1, 1001))->code == wire::RefusalCode::NEVER_RUNNABLE);
    }

    SECTION("a task far above the time limit, but not one that a wrong declaration explains")
    {
        REQUIRE(admit(jobOf(1, 1, std::chrono::minutes(60)))->code == wire::RefusalCode::NEVER_RUNNABLE);
        REQUIRE_FALSE(admit(jobOf(1, 1, Millis(40000))));
    }

    SECTION("a deadline that the queue does not allow, and accepts the same job with a later one")
    {
        rig.add(jobOf(1, 800, Millis(100)));
        auto job = jobOf(2, 8, Millis(100));
        job.deadline = rig.clock.now() + Millis(200);
        const auto refusal = admit(job);
        REQUIRE(refusal->code == wire::RefusalCode::DEADLINE);
        REQUIRE(refusal->notRun);
        REQUIRE(refusal->retryAfterMs > 0);
        job.deadline = rig.clock.now() + Millis(60000);
        REQUIRE_FALSE(admit(job));
    }

    SECTION("not a large job because a short queue is being worked off")
    {
        rig.add(jobOf(1, 9, Millis(100)));
        auto job = jobOf(2, 100, Millis(100));
        job.deadline = rig.clock.now() + Millis(3000);
        REQUIRE_FALSE(admit(job));
    }

    SECTION("a deadline that has passed")
    {
        auto job = jobOf(1, 1);
        job.deadline = rig.clock.now();
        REQUIRE(admit(job)->code == wire::RefusalCode::DEADLINE);
    }

    SECTION("any job once no server has been available for some seconds")
    {
        rig.scheduler.setAvailable("s0", false, rig.clock.now());
        rig.pass(Millis(1000));
        REQUIRE_FALSE(admit(jobOf(1, 1)));
        rig.pass(Millis(5000));
        REQUIRE(admit(jobOf(1, 1))->notRun);
        REQUIRE(admit(jobOf(1, 1))->retryAfterMs > 0);
        rig.scheduler.setAvailable("s0", true, rig.clock.now());
        rig.pass(Millis(10));
        REQUIRE_FALSE(admit(jobOf(1, 1)));
    }
}
