#include "process_cluster.h"

#include <catch2/catch.hpp>

#include <iostream>

using namespace agatedrum::test;

namespace {

constexpr auto stopBound = 10s;

/// Stops one process under load with SIGTERM. Checks that it exits with 0 and that nothing was cut.
void stopUnderLoad(ProcessCluster &cluster, const std::string &name)
{
    CallerLoad load(cluster);
    std::this_thread::sleep_for(1500ms);
    auto &process = cluster.process(name);
    const auto start = std::chrono::steady_clock::now();
    process.sendSignal(SIGTERM);
    REQUIRE(eventually([&] { return !process.isRunning(); }, stopBound));
    const auto took = std::chrono::steady_clock::now() - start;
    CHECK(process.wait() == 0);
    std::this_thread::sleep_for(1000ms);
    const auto jobs = load.stop();
    std::cout << "graceful stop of " << name << ": ended after "
              << std::chrono::duration_cast<std::chrono::milliseconds>(took).count() << " ms, " << jobs.size()
              << " jobs" << std::endl;
    CHECK(jobs.size() > 20);
    for (const auto &job : jobs) {
        INFO(job.submission << ": " << job.answer.dump());
        CHECK(job.answer.is_object());
        CHECK((job.answer.is_object() && job.answer.value("state", std::string()) == "complete"));
    }
    for (const auto &[header, seen] : cluster.record()) {
        INFO(header << ": starts " << seen.starts << ", finishes " << seen.finishes << ", cuts " << seen.cuts);
        CHECK(seen.starts == 1);
        CHECK(seen.finishes == 1);
        CHECK(seen.cuts == 0);
    }
}

} // namespace

TEST_CASE("A graceful stop of any role under load cuts nothing", "[processes]")
{
    ProcessCluster cluster(15500, 3);
    REQUIRE(cluster.becomeReady(jobBody("first", 1, 1000)));

    SECTION("an entry")
    {
        stopUnderLoad(cluster, "entry-1");
    }
    SECTION("the owner")
    {
        stopUnderLoad(cluster, cluster.owner());
    }
    SECTION("an agent")
    {
        stopUnderLoad(cluster, "agent-2");
    }
    SECTION("the control group's leader")
    {
        stopUnderLoad(cluster, cluster.leader());
    }
    SECTION("a backend server")
    {
        stopUnderLoad(cluster, "backend-3");
    }
}
