#include "scheduler_fixture.h"

#include <catch2/catch.hpp>

using namespace agatedrum;
using namespace agatedrum::test;

namespace {

// Teams and admission of CellScheduler. Guards against teams that get more than their share while others wait, and
// against jobs that are accepted although they exceed a limit.

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

// If idle slots could not be used by other teams, capacity would be wasted; if they were not given back, a team would
// be kept from its share.
TEST_CASE("Teams share the slots by weight", "[scheduler]")
{
    SchedulerFixture fixture(configWith({teamOf("crews", 3), teamOf("rebates", 1)}));
    fixture.addServers(1, 8);

    SECTION("a team uses all slots if no other team has tasks")
    {
        fixture.add(jobOf(1, 200, Millis(500), "rebates"));
        const auto startedAlone = fixture.startAll();
        REQUIRE(startedAlone.size() == 8);

        SECTION("another team gets its share of the slots as these tasks end, within a second")
        {
            fixture.add(jobOf(2, 200, Millis(500), "crews"));
            fixture.advanceTime(Millis(500));
            for (const auto &assignment : startedAlone) {
                fixture.finish(assignment, wire::Outcome::FINISHED, Millis(500));
            }
            const auto started = fixture.startAll();
            REQUIRE(countOfJob(started, 2) == 6);
            REQUIRE(countOfJob(started, 1) == 2);
        }
    }

    SECTION("slots that a team does not use go to other teams")
    {
        fixture.add(jobOf(1, 200, Millis(500), "rebates"));
        fixture.add(jobOf(2, 3, Millis(500), "crews"));
        const auto started = fixture.startAll();
        REQUIRE(countOfJob(started, 2) == 3);
        REQUIRE(countOfJob(started, 1) == 5);
    }
}

// Without its quotas a team could fill the queue or the slots of a cell.
TEST_CASE("Quotas limit a team", "[scheduler]")
{
    auto team = teamOf("crews", 1);

    SECTION("the number of tasks in flight is limited")
    {
        team.maxTasksInFlight = 3;
        SchedulerFixture fixture(configWith({team}));
        fixture.addServers(1, 8);
        fixture.add(jobOf(1, 10, Millis(100), "crews"));
        const auto started = fixture.startAll();
        REQUIRE(started.size() == 3);
        fixture.finish(started[0]);
        REQUIRE(fixture.startAll().size() == 1);
    }

    SECTION("the number of queued tasks is limited, and a refusal has a retry delay unless the job alone is too large")
    {
        team.maxQueuedTasks = 10;
        SchedulerFixture fixture(configWith({team}));
        fixture.add(jobOf(1, 8, Millis(100), "crews"));
        REQUIRE_FALSE(fixture.scheduler.admit(jobOf(2, 2, Millis(100), "crews"), fixture.clock.now()));
        const auto refusal = fixture.scheduler.admit(jobOf(2, 3, Millis(100), "crews"), fixture.clock.now());
        REQUIRE(refusal->code == wire::RefusalCode::QUOTA);
        REQUIRE(refusal->notRun);
        REQUIRE(refusal->retryAfterMs > 0);
        const auto tooLarge = fixture.scheduler.admit(jobOf(2, 11, Millis(100), "crews"), fixture.clock.now());
        REQUIRE(tooLarge->code == wire::RefusalCode::NEVER_RUNNABLE);
        REQUIRE(tooLarge->retryAfterMs == 0);
    }

    SECTION("the number of tasks per second is limited, and a job is accepted after the retry delay")
    {
        team.maxTasksPerSecond = 20;
        SchedulerFixture fixture(configWith({team}));
        const auto job = jobOf(1, 30, Millis(100), "crews");
        REQUIRE_FALSE(fixture.scheduler.admit(job, fixture.clock.now()));
        fixture.add(job);
        const auto refusal = fixture.scheduler.admit(jobOf(2, 1, Millis(100), "crews"), fixture.clock.now());
        REQUIRE(refusal->code == wire::RefusalCode::QUOTA);
        fixture.clock.advance(Millis(refusal->retryAfterMs + 1));
        REQUIRE_FALSE(fixture.scheduler.admit(jobOf(2, 1, Millis(100), "crews"), fixture.clock.now()));
    }

    SECTION("a team that is not in the configuration is refused")
    {
        SchedulerFixture fixture(configWith({team}));
        const auto refusal = fixture.scheduler.admit(jobOf(1, 1, Millis(100), "x"), fixture.clock.now());
        REQUIRE(refusal->code == wire::RefusalCode::UNKNOWN_TEAM);
    }
}

// A job that is accepted although it can't run or can't meet its deadline uses capacity and then fails. A refusal tells
// the caller at once, and when a retry may succeed.
TEST_CASE("Admission refuses jobs that exceed a limit or would miss their deadline", "[scheduler]")
{
    SchedulerFixture fixture;
    fixture.addServers(1, 8);
    fixture.advanceTime(Millis(200));
    const auto admit
        = [&fixture](const ScheduledJob &job) { return fixture.scheduler.admit(job, fixture.clock.now()); };

    SECTION("a job is refused with a retry delay if the queue is full")
    {
        fixture.add(jobOf(1, 1000));
        const auto refusal = admit(jobOf(2, 1));
        REQUIRE(refusal->code == wire::RefusalCode::QUEUE_FULL);
        REQUIRE(refusal->notRun);
        REQUIRE(refusal->retryAfterMs > 0);
    }

    SECTION("a job larger than the queue is never accepted")
    {
        REQUIRE(admit(jobOf(1, 1001))->code == wire::RefusalCode::NEVER_RUNNABLE);
    }

    SECTION("a task far above the time limit is refused, but not one whose declared run time may be wrong")
    {
        REQUIRE(admit(jobOf(1, 1, std::chrono::minutes(60)))->code == wire::RefusalCode::NEVER_RUNNABLE);
        REQUIRE_FALSE(admit(jobOf(1, 1, Millis(40000))));
    }

    SECTION("a job whose deadline the queue makes impossible is refused, and the same job with a later one is accepted")
    {
        fixture.add(jobOf(1, 800, Millis(100)));
        auto job = jobOf(2, 8, Millis(100));
        job.deadline = fixture.clock.now() + Millis(200);
        const auto refusal = admit(job);
        REQUIRE(refusal->code == wire::RefusalCode::DEADLINE);
        REQUIRE(refusal->notRun);
        REQUIRE(refusal->retryAfterMs > 0);
        job.deadline = fixture.clock.now() + Millis(60000);
        REQUIRE_FALSE(admit(job));
    }

    SECTION("a large job with a sufficient deadline is accepted although a few tasks are queued")
    {
        fixture.add(jobOf(1, 9, Millis(100)));
        auto job = jobOf(2, 100, Millis(100));
        job.deadline = fixture.clock.now() + Millis(3000);
        REQUIRE_FALSE(admit(job));
    }

    SECTION("a job whose deadline has passed is refused")
    {
        auto job = jobOf(1, 1);
        job.deadline = fixture.clock.now();
        REQUIRE(admit(job)->code == wire::RefusalCode::DEADLINE);
    }

    SECTION("any job is refused if no server has been available for some seconds")
    {
        fixture.scheduler.setAvailable("s0", false, fixture.clock.now());
        fixture.advanceTime(Millis(1000));
        REQUIRE_FALSE(admit(jobOf(1, 1)));
        fixture.advanceTime(Millis(5000));
        REQUIRE(admit(jobOf(1, 1))->notRun);
        REQUIRE(admit(jobOf(1, 1))->retryAfterMs > 0);
        fixture.scheduler.setAvailable("s0", true, fixture.clock.now());
        fixture.advanceTime(Millis(10));
        REQUIRE_FALSE(admit(jobOf(1, 1)));
    }
}
