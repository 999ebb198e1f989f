#include "process_cluster.h"

#include <catch2/catch.hpp>

#include <iostream>

using namespace agatedrum::test;

namespace {

constexpr auto maxStopTime = 10s;

/// Stops one process with SIGTERM under load. Checks that it exits with status 0, that all jobs complete, and that
/// every task ran exactly once without a lost connection.
void stopUnderLoad(ProcessCluster &cluster, const std::string &name)
{
    CallerLoad load(cluster);
    std::this_thread::sleep_for(1500ms);
    auto &process = cluster.process(name);
    const auto start = std::chrono::steady_clock::now();
    process.sendSignal(SIGTERM);
    REQUIRE(eventually([&] { return !process.isRunning(); }, maxStopTime));
    const auto elapsed = std::chrono::steady_clock::now() - start;
    CHECK(process.wait() == 0);
    std::this_thread::sleep_for(1000ms);
    const auto jobs = load.stop();
    std::cout << "graceful stop of " << name << ": ended after "
              << std::chrono::duration_cast<std::chrono::milliseconds>(elapsed).count() << " ms, " << jobs.size()
              << " jobs" << std::endl;
    CHECK(jobs.size() > 20);
    for (const auto &job : jobs) {
        INFO(job.submission << ": " << job.answer.dump());
        CHECK(job.answer.is_object());
        CHECK((job.answer.is_object() && job.answer.value("state", std::string()) == "complete"));
    }
    for (const auto &[header, seen] : cluster.taskRecords()) {
        INFO(header << ": starts " << seen.starts << ", finishes " << seen.finishes << ", cuts " << seen.cuts);
        CHECK(seen.starts == 1);
        CHECK(seen.finishes == 1);
        CHECK(seen.cuts == 0);
    }
}

} // namespace

// A process that receives SIGTERM must finish or hand over its work before it exits. Otherwise callers see failed jobs
// or backend servers see lost connections.
TEST_CASE("A graceful stop of any process under load interrupts no task", "[processes]")
{
    ProcessCluster cluster(15500, 3);
    REQUIRE(cluster.waitUntilReady(jobBody("first", 1, 1000)));

    SECTION("stop of an entry")
    {
        stopUnderLoad(cluster, "entry-1");
    }
    SECTION("stop of the owner")
    {
        stopUnderLoad(cluster, cluster.owner());
    }
    SECTION("stop of an agent")
    {
        stopUnderLoad(cluster, "agent-2");
    }
    SECTION("stop of the leader of the control group")
    {
        stopUnderLoad(cluster, cluster.leader());
    }
    SECTION("stop of a backend server")
    {
        stopUnderLoad(cluster, "backend-3");
    }
}
