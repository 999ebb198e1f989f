#include "scheduler_rig.h"

#include <catch2/catch.hpp>

#include <deque>
#include <functional>
#include <map>
#include <set>

using namespace agatedrum;
using namespace agatedrum::test;

namespace {

constexpr int serverCount = 10;

/// Keeps a cell of ten servers busy and decides the outcome of each task.
class HealthRig : public SchedulerRig
{
public:
    using Fails = std::function<bool(const Assignment &)>;

    HealthRig()
    {
        this->addServers(serverCount, 4);
    }

    /// Runs tasks of 100 ms; failing ones fail after failTime.
    void run(Millis time, int tasksPerJob, const Fails &fails, Millis failTime = Millis(2))
    {
        const auto end = this->clock.now() + time;
        while (this->clock.now() < end) {
            while (this->scheduler.queuedTasks() < 100) {
                auto job = jobOf(++this->lastJob, static_cast<std::size_t>(tasksPerJob));
                job.idempotent = this->lastJob % 3 == 0;
                this->add(job);
            }
            for (const auto &assignment : this->startAll()) {
                const bool isFailure = fails(assignment);
                this->starts[assignment.server]++;
                this->running.push_back(
                    {this->clock.now() + (isFailure ? failTime : Millis(100)), assignment, isFailure});
            }
            this->clock.advance(Millis(2));
            this->scheduler.tick(this->clock.now());
            this->finishDue(failTime);
        }
    }

    std::string stateOf(const std::string &server)
    {
        return this->serverField(server, "state").get<std::string>();
    }

    int serversOutOfService()
    {
        int count = 0;
        for (int server = 0; server < serverCount; ++server) {
            const auto state = this->stateOf("s" + std::to_string(server));
            count += static_cast<int>(state == "ejected" || state == "suspended");
        }
        return count;
    }

    std::map<std::string, int> starts;

private:
    struct Running
    {
        Time end;
        Assignment assignment;
        bool isFailure;
    };

    void finishDue(Millis failTime)
    {
        std::deque<Running> left;
        for (const auto &task : this->running) {
            if (task.end > this->clock.now()) {
                left.push_back(task);
            } else if (task.isFailure) {
                this->finish(task.assignment, wire::Outcome::FAILED, failTime);
            } else {
                this->finish(task.assignment);
            }
        }
        this->running = std::move(left);
    }

    JobNumber lastJob = 0;
    std::deque<Running> running;
};

} // namespace

TEST_CASE("A backend server that fails what others finish is ejected", "[scheduler]")
{
    const int tasksPerJob = GENERATE(1, 8, 60);
    const auto failTime = GENERATE(Millis(2), Millis(90));
    HealthRig rig;
    rig.run(Millis(1000), tasksPerJob, [](const Assignment &) { return false; });
    rig.starts.clear();
    const auto isBad = [](const Assignment &a) { return a.server == "s3"; };

    SECTION("within 20 tasks or a second")
    {
        rig.run(Millis(1000), tasksPerJob, isBad, failTime);
        REQUIRE(rig.stateOf("s3") == "ejected");
        REQUIRE(rig.starts["s3"] <= 20);

        SECTION("it returns slowly when it is well")
        {
            rig.starts.clear();
            rig.run(Millis(1500), tasksPerJob, [](const Assignment &) { return false; });
            REQUIRE(rig.stateOf("s3") == "returning");
            REQUIRE(rig.starts["s3"] < rig.starts["s4"] / 2);
            rig.run(Millis(6000), tasksPerJob, [](const Assignment &) { return false; });
            REQUIRE(rig.stateOf("s3") == "serving");
        }

        SECTION("it is ejected again, for longer, when it is not")
        {
            rig.starts.clear();
            rig.run(Millis(20000), tasksPerJob, isBad, failTime);
            REQUIRE(rig.starts["s3"] <= 20);
        }
    }

    SECTION("no more than the allowed share at once")
    {
        const std::set<std::string> bad {"s1", "s2", "s3", "s4", "s5"};
        for (int step = 0; step < 50; ++step) {
            rig.run(
                Millis(100), tasksPerJob, [&](const Assignment &a) { return bad.count(a.server) != 0; }, failTime);
            REQUIRE(rig.serversOutOfService() <= 3);
        }
        REQUIRE(rig.serversOutOfService() > 0);
    }
}

TEST_CASE("Tasks that fail everywhere eject nobody", "[scheduler]")
{
    HealthRig rig;
    rig.run(Millis(1000), 8, [](const Assignment &) { return false; });
    const auto failTime = GENERATE(Millis(2), Millis(90));

    SECTION("a large job")
    {
        const auto bad = GENERATE(60, 230);
        rig.run(
            Millis(3000), bad, [](const Assignment &a) { return a.task.job % 4 == 0; }, failTime);
    }

    SECTION("a run of jobs with one task each")
    {
        rig.run(
            Millis(3000), 1, [](const Assignment &) { return true; }, failTime);
    }

    SECTION("one task in ten")
    {
        rig.run(
            Millis(5000), 8, [](const Assignment &a) { return (a.task.job + a.task.index) % 10 == 0; }, failTime);
    }

    for (int server = 0; server < serverCount; ++server) {
        REQUIRE(rig.stateOf("s" + std::to_string(server)) != "ejected");
    }
}

TEST_CASE("A fast failure does not attract load", "[scheduler]")
{
    SchedulerRig rig;
    rig.addServers(2, 4);
    rig.add(jobOf(1, 200));
    const auto first = rig.startAll();
    for (const auto &assignment : first) {
        if (assignment.server == "s0") {
            rig.finish(assignment, wire::Outcome::FAILED, Millis(1));
        }
    }
    REQUIRE(rig.startAll().empty());
    rig.clock.advance(Millis(100));
    REQUIRE(rig.startAll().size() == 4);
}

TEST_CASE("A slow backend server loses slots, not all", "[scheduler]")
{
    SchedulerRig rig;
    rig.addServers(5, 8);
    for (JobNumber number = 1; number <= 40; ++number) {
        rig.add(jobOf(number, 40));
        while (rig.scheduler.queuedTasks() + rig.scheduler.runningTasks() > 0) {
            for (const auto &assignment : rig.startAll()) {
                rig.finish(assignment, wire::Outcome::FINISHED, Millis(assignment.server == "s0" ? 1000 : 100));
            }
            rig.pass(Millis(100));
        }
    }
    INFO(rig.scheduler.dump(rig.clock.now()).dump());
    const int limit = rig.serverField("s0", "limit").get<int>();
    REQUIRE(limit >= 1);
    REQUIRE(limit < 8);
    REQUIRE(rig.serverField("s1", "limit").get<int>() == 8);
}
