#include "cell_scheduler_p.h"

#include <catch2/catch.hpp>

using namespace agatedrum;

namespace {

ClusterConfig configOf()
{
    ClusterConfig config;
    config.number = 1;
    ServiceConfig service;
    service.name = "visits";
    service.maxQueuedTasks = 100;
    config.services = {service};
    return config;
}

ScheduledJob jobOf(JobNumber number, int tasks, Micros declared = Millis(100))
{
    ScheduledJob job;
    job.number = number;
    job.declared.assign(static_cast<std::size_t>(tasks), declared);
    return job;
}

} // namespace

TEST_CASE("A scheduler binds queued tasks to free slots", "[scheduler]")
{
    ManualClock clock;
    CellScheduler scheduler(configOf(), "visits", 1);

    SECTION("nothing starts without a backend server")
    {
        scheduler.add(jobOf(1, 2), {0, 1}, clock.now());
        REQUIRE_FALSE(scheduler.next(clock.now()));

        SECTION("no more tasks start than there are slots, and a free slot takes the next")
        {
            scheduler.setServer("a", 1, 64, -1, clock.now());
            const auto first = scheduler.next(clock.now());
            REQUIRE(first);
            REQUIRE(first->server == "a");
            REQUIRE_FALSE(scheduler.next(clock.now()));
            scheduler.finished(*first, wire::Outcome::FINISHED, Millis(100), clock.now());
            REQUIRE(scheduler.next(clock.now()));
            REQUIRE(scheduler.queuedTasks() == 0);
        }

        SECTION("an unavailable backend server gets nothing until it is back")
        {
            scheduler.setServer("a", 1, 64, -1, clock.now());
            scheduler.setAvailable("a", false, clock.now());
            REQUIRE_FALSE(scheduler.next(clock.now()));
            scheduler.setAvailable("a", true, clock.now());
            REQUIRE(scheduler.next(clock.now()));
        }

        SECTION("dropped tasks are reported and do not start")
        {
            scheduler.setServer("a", 8, 64, -1, clock.now());
            REQUIRE(scheduler.dropQueued(1) == std::vector<int> {0, 1});
            REQUIRE_FALSE(scheduler.next(clock.now()));
        }
    }

    SECTION("a task that certainly did not start is queued again and frees its slot")
    {
        scheduler.setServer("a", 1, 64, -1, clock.now());
        scheduler.add(jobOf(1, 1), {0}, clock.now());
        const auto first = scheduler.next(clock.now());
        scheduler.requeue(*first, clock.now());
        REQUIRE(scheduler.runningTasks() == 0);
        REQUIRE(scheduler.next(clock.now()));
    }

    SECTION("a full queue refuses a job as not run and says when to come back")
    {
        scheduler.add(jobOf(1, 100), std::vector<int>(100, 0), clock.now());
        const auto refusal = scheduler.admit(jobOf(2, 1), clock.now());
        REQUIRE(refusal);
        REQUIRE(refusal->code == wire::RefusalCode::QUEUE_FULL);
        REQUIRE(refusal->notRun);
        REQUIRE(refusal->retryAfterMs > 0);
    }
}
