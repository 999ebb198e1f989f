#include "scheduler_fixture.h"

#include <catch2/catch.hpp>

#include <deque>
#include <functional>
#include <map>
#include <set>

using namespace agatedrum;
using namespace agatedrum::test;

namespace {

// Outlier detection of CellScheduler. Guards against a faulty backend server that keeps failing tasks, and against the
// ejection of healthy servers.

constexpr int serverCount = 10;

/// Test fixture that keeps a cell of ten servers busy and controls the outcome of each task.
class HealthFixture : public SchedulerFixture
{
public:
    using FailurePredicate = std::function<bool(const Assignment &)>;

    HealthFixture()
    {
        this->addServers(serverCount, 4);
    }

    /// Runs tasks for some time. A task takes 100 ms, or fails after failTime if the predicate returns true for it.
    /// Every third job is idempotent.
    void run(Millis time, int tasksPerJob, const FailurePredicate &shouldFail, Millis failTime = Millis(2))
    {
        const auto end = this->clock.now() + time;
        while (this->clock.now() < end) {
            while (this->scheduler.queuedTasks() < 100) {
                auto job = jobOf(++this->lastJob, static_cast<std::size_t>(tasksPerJob));
                job.idempotent = this->lastJob % 3 == 0;
                this->add(job);
            }
            for (const auto &assignment : this->startAll()) {
                const bool isFailure = shouldFail(assignment);
                this->starts[assignment.server]++;
                this->running.push_back(
                    {this->clock.now() + (isFailure ? failTime : Millis(100)), assignment, isFailure});
            }
            this->clock.advance(Millis(2));
            this->scheduler.tick(this->clock.now());
            this->finishDueTasks(failTime);
        }
    }

    /// Returns the health state of a server in the state dump.
    std::string stateOf(const std::string &server)
    {
        return this->serverField(server, "state").get<std::string>();
    }

    /// Returns the number of ejected and suspended servers.
    int serversOutOfService()
    {
        int count = 0;
        for (int server = 0; server < serverCount; ++server) {
            const auto state = this->stateOf("s" + std::to_string(server));
            count += static_cast<int>(state == "ejected" || state == "suspended");
        }
        return count;
    }

    std::map<std::string, int> starts; ///< number of started tasks by server

private:
    struct Running
    {
        Time end;
        Assignment assignment;
        bool isFailure;
    };

    /// Reports the outcome of each task whose run has ended.
    void finishDueTasks(Millis failTime)
    {
        std::deque<Running> stillRunning;
        for (const auto &task : this->running) {
            if (task.end > this->clock.now()) {
                stillRunning.push_back(task);
            } else if (task.isFailure) {
                this->finish(task.assignment, wire::Outcome::FAILED, failTime);
            } else {
                this->finish(task.assignment);
            }
        }
        this->running = std::move(stillRunning);
    }

    JobNumber lastJob = 0;
    std::deque<Running> running;
};

} // namespace

// A faulty server that fails fast frees its slots early and can fail tasks of many jobs. It must be ejected early, also
// if jobs have a single task, so that their outcomes can't be compared between servers. The ejections must not take too
// many servers at once.
TEST_CASE("A backend server that fails tasks which others finish is ejected", "[scheduler]")
{
    const int tasksPerJob = GENERATE(1, 8, 60);
    const auto failTime = GENERATE(Millis(2), Millis(90));
    HealthFixture fixture;
    fixture.run(Millis(1000), tasksPerJob, [](const Assignment &) { return false; });
    fixture.starts.clear();
    const auto isOnFailingServer = [](const Assignment &a) { return a.server == "s3"; };

    SECTION("the ejection comes within 20 tasks and a second")
    {
        fixture.run(Millis(1000), tasksPerJob, isOnFailingServer, failTime);
        REQUIRE(fixture.stateOf("s3") == "ejected");
        REQUIRE(fixture.starts["s3"] <= 20);

        SECTION("the server returns gradually if it works again")
        {
            fixture.starts.clear();
            fixture.run(Millis(1500), tasksPerJob, [](const Assignment &) { return false; });
            REQUIRE(fixture.stateOf("s3") == "returning");
            REQUIRE(fixture.starts["s3"] < fixture.starts["s4"] / 2);
            fixture.run(Millis(6000), tasksPerJob, [](const Assignment &) { return false; });
            REQUIRE(fixture.stateOf("s3") == "serving");
        }

        SECTION("the server is ejected again for a longer time if it still fails")
        {
            fixture.starts.clear();
            fixture.run(Millis(20000), tasksPerJob, isOnFailingServer, failTime);
            REQUIRE(fixture.starts["s3"] <= 20);
        }
    }

    SECTION("no more than the allowed share of servers is out of service at the same time")
    {
        const std::set<std::string> failingServers {"s1", "s2", "s3", "s4", "s5"};
        for (int step = 0; step < 50; ++step) {
            fixture.run(
                Millis(100), tasksPerJob, [&](const Assignment &a) { return failingServers.count(a.server) != 0; },
                failTime);
            REQUIRE(fixture.serversOutOfService() <= 3);
        }
        REQUIRE(fixture.serversOutOfService() > 0);
    }
}

// Tasks that fail on all servers, for example due to a faulty job, are no evidence against a server. If they counted,
// one faulty job could eject healthy servers.
TEST_CASE("Tasks that fail on all servers do not eject a server", "[scheduler]")
{
    HealthFixture fixture;
    fixture.run(Millis(1000), 8, [](const Assignment &) { return false; });
    const auto failTime = GENERATE(Millis(2), Millis(90));

    SECTION("all tasks of every fourth job fail")
    {
        const auto tasksPerJob = GENERATE(60, 230);
        fixture.run(
            Millis(3000), tasksPerJob, [](const Assignment &a) { return a.task.job % 4 == 0; }, failTime);
    }

    SECTION("all tasks of many jobs with one task each fail")
    {
        fixture.run(
            Millis(3000), 1, [](const Assignment &) { return true; }, failTime);
    }

    SECTION("one task in ten fails")
    {
        fixture.run(
            Millis(5000), 8, [](const Assignment &a) { return (a.task.job + a.task.index) % 10 == 0; }, failTime);
    }

    for (int server = 0; server < serverCount; ++server) {
        REQUIRE(fixture.stateOf("s" + std::to_string(server)) != "ejected");
    }
}

// A server that fails tasks fast frees its slots earlier than others. If these slots were used at once, the server
// would get most of the queued tasks and fail them.
TEST_CASE("A server with fast failures does not get more tasks than others", "[scheduler]")
{
    SchedulerFixture fixture;
    fixture.addServers(2, 4);
    fixture.add(jobOf(1, 200));
    const auto first = fixture.startAll();
    for (const auto &assignment : first) {
        if (assignment.server == "s0") {
            fixture.finish(assignment, wire::Outcome::FAILED, Millis(1));
        }
    }
    REQUIRE(fixture.startAll().empty());
    fixture.clock.advance(Millis(100));
    REQUIRE(fixture.startAll().size() == 4);
}

// A server that is much slower than the others delays the jobs whose tasks it runs. Without any slot its speed could
// not be learned again.
TEST_CASE("A slow backend server loses some of its slots, but not all", "[scheduler]")
{
    SchedulerFixture fixture;
    fixture.addServers(5, 8);
    for (JobNumber number = 1; number <= 40; ++number) {
        fixture.add(jobOf(number, 40));
        while (fixture.scheduler.queuedTasks() + fixture.scheduler.runningTasks() > 0) {
            for (const auto &assignment : fixture.startAll()) {
                fixture.finish(assignment, wire::Outcome::FINISHED, Millis(assignment.server == "s0" ? 1000 : 100));
            }
            fixture.advanceTime(Millis(100));
        }
    }
    INFO(fixture.scheduler.dump(fixture.clock.now()).dump());
    const int limit = fixture.serverField("s0", "limit").get<int>();
    REQUIRE(limit >= 1);
    REQUIRE(limit < 8);
    REQUIRE(fixture.serverField("s1", "limit").get<int>() == 8);
}
