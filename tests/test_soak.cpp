#include "base_log_p.h"
#include "soak_run.h"

#include <catch2/catch.hpp>

#include <future>
#include <iostream>

using namespace agatedrum;
using namespace agatedrum::test;

namespace {

/// Runs seeds, two at a time, and checks that none finds a violation.
/// @param trouble what the executors must have done in each run; empty for nothing particular.
void runSeeds(const std::vector<std::uint64_t> &seeds, const std::string &trouble = {})
{
    constexpr std::size_t seedsAtOnce = 2;
    setLogLevel(LogLevel::Error);
    for (std::size_t first = 0; first < seeds.size(); first += seedsAtOnce) {
        std::vector<std::future<SoakResult>> results;
        for (std::size_t i = first; i < std::min(seeds.size(), first + seedsAtOnce); ++i) {
            results.push_back(std::async(std::launch::async, [seed = seeds[i], number = static_cast<int>(i - first)] {
                SoakRun run(seed, number);
                return run.run();
            }));
        }
        for (auto &future : results) {
            const auto result = future.get();
            std::cout << result.summary << " violations: " << result.violations.size() << std::endl;
            INFO("seed " << result.seed << ", faults:\n" << result.timeline);
            for (const auto &violation : result.violations) {
                UNSCOPED_INFO(violation);
            }
            CHECK(result.violations.empty());
            CHECK((trouble.empty() || result.troubles.count(trouble) > 0));
        }
    }
}

} // namespace

// The stand-ins of the soak test must speak the protocols well enough that a job is served through real processes.
// Otherwise the checks of the soak test would pass without anything having run.
TEST_CASE("A job is served through one entry and one host", "[soak]")
{
    setLogLevel(LogLevel::Error);
    std::mt19937_64 random(1);
    SoakRecord record(soakNow());
    SoakClusterOptions options;
    options.controls = 1;
    options.entries = 1;
    options.hosts = 1;
    SoakCluster cluster(record, options);

    REQUIRE(waitUntilServing(cluster, random));

    SECTION("the job's run is recorded as done")
    {
        REQUIRE_FALSE(record.runs().empty());
        CHECK(record.runs().back().end == "done");
    }
    SECTION("all processes end with code 0 on SIGTERM")
    {
        for (const auto &name : cluster.processNames()) {
            auto &process = cluster.process(name);
            process.sendSignal(SIGTERM);
            CHECK(eventually([&] { return !process.isRunning(); }, SoakCluster::grace));
            CHECK(process.wait() == 0);
        }
    }
}

// Each check of the soak test must report the violation that it is for. Otherwise the soak test passes for nothing.
TEST_CASE("The checks of the soak test report violations", "[soak]")
{
    const auto start = soakNow();
    SoakRecord record(start);
    SoakSubmission submission;
    submission.job.id = "00000000000000aa";
    submission.job.service = SoakCluster::serviceName;
    submission.job.taskMs = {100};
    submission.job.failures = {0};
    submission.timeLimit = SoakMillis(1500);
    SoakExchange exchange;
    exchange.beganAt = start;
    exchange.sentAt = start + SoakMillis(1);
    exchange.endedAt = start + SoakMillis(150);
    const auto task = soak_wire::taskName(submission.job.id, 0);
    const auto violations = [&] {
        submission.attempts = {{"entry-1", exchange}};
        record.addSubmission(submission);
        return SoakChecks(record, true).violations();
    };

    SECTION("a completed job with a run that ended as done is no violation")
    {
        exchange.end = SoakExchange::End::Answered;
        exchange.status = 200;
        exchange.body = R"({"State":"completed"})";
        record.runEnded(record.runStarted(task, 1, "i-1", start), "done", start + SoakMillis(100));
        CHECK(violations().empty());

        SECTION("a second run of its task that begins before the end of the first one is a violation")
        {
            record.runStarted(task, 2, "i-2", start + SoakMillis(99));
            CHECK(violations().size() == 1);
        }
        SECTION("a second run of its task that begins after the end of the first one is none")
        {
            record.runStarted(task, 2, "i-2", start + SoakMillis(101));
            CHECK(violations().empty());
        }
    }
    SECTION("a completed job whose run was stopped is a violation")
    {
        exchange.end = SoakExchange::End::Answered;
        exchange.status = 200;
        exchange.body = R"({"State":"completed"})";
        record.runEnded(record.runStarted(task, 1, "i-1", start), "stopped", start + SoakMillis(100));
        CHECK(violations().size() == 1);
    }
    SECTION("a rejected job that ran is a violation")
    {
        exchange.end = SoakExchange::End::Answered;
        exchange.status = 503;
        record.runStarted(task, 1, "i-1", start);
        CHECK(violations().size() == 1);
    }
    SECTION("a cut request that was passed on is a violation")
    {
        exchange.end = SoakExchange::End::Cut;
        record.runStarted(task, 1, "i-1", start + SoakMillis(50));
        CHECK(violations().size() == 1);
    }
    SECTION("a cut request that waited longer than a read takes is a violation")
    {
        exchange.end = SoakExchange::End::Cut;
        exchange.endedAt = start + SoakMillis(300);
        CHECK(violations().size() == 1);
    }
    SECTION("a request without an answer is a violation")
    {
        exchange.end = SoakExchange::End::TimedOut;
        CHECK(violations().size() == 1);
    }
    SECTION("a connection that was closed as the request arrived is none")
    {
        exchange.end = SoakExchange::End::Cut;
        CHECK(violations().empty());
    }
    SECTION("a reset of an idle connection is a violation")
    {
        exchange.end = SoakExchange::End::Cut;
        record.addIdleReset("entry-1");
        CHECK(violations().size() == 1);
    }
    SECTION("a late start order that begins a run while the resubmitted task runs elsewhere is a violation")
    {
        exchange.end = SoakExchange::End::Answered;
        exchange.status = 200;
        exchange.body = R"({"State":"completed"})";
        record.runEnded(record.runStarted(task, 1, "i-2", start), "done", start + SoakMillis(100));
        record.runEnded(record.runStarted(task, 1, "i-1", start + SoakMillis(50)), "done", start + SoakMillis(150));
        CHECK(violations().size() == 1);
    }
    SECTION("with a task that crashes the executors that start it")
    {
        submission.job.deadlyTask = 0;
        exchange.end = SoakExchange::End::Answered;
        exchange.status = 200;
        exchange.body = R"({"State":"failed"})";
        exchange.endedAt = start + SoakMillis(1000);
        const auto crash = [&record, &task, &start](int count) {
            for (int i = 0; i < count; ++i) {
                const auto at = start + SoakMillis(20 * i);
                record.runEnded(record.runStarted(task, i + 1, fmt::format("i-{}", i), at), "crashed",
                                at + SoakMillis(10));
            }
        };
        SECTION("a job that has failed after two crashes is no violation")
        {
            crash(2);
            CHECK(violations().empty());
        }
        SECTION("a job that has failed after one crash is a violation")
        {
            crash(1);
            CHECK(violations().size() == 1);
        }
        SECTION("two more starts after three crashes are no violation")
        {
            crash(5);
            CHECK(violations().empty());
        }
        SECTION("three more starts after three crashes are a violation")
        {
            crash(6);
            CHECK(violations().size() == 1);
        }
    }
}

// A capacity that has shrunk must count for the time that the platform allows and no longer. Otherwise the check of the
// soak test would report starts that are allowed or miss others.
TEST_CASE("A shrunk capacity of a stand-in counts after the time that the platform allows", "[soak]")
{
    const auto start = soakNow();
    SoakCapacity capacity(16000, start);
    const auto shrunkAt = start + SoakMillis(10000);
    capacity.change(4000, shrunkAt);
    const auto allowedUntil = shrunkAt + SoakMillis(4500);
    CHECK(capacity.current() == 4000);
    CHECK(capacity.limitAt(allowedUntil - SoakMillis(1)) == 16000);
    CHECK(capacity.limitAt(allowedUntil) == 4000);

    SECTION("a capacity that has grown counts at once, and the smaller one no more")
    {
        capacity.change(8000, allowedUntil + SoakMillis(100));
        CHECK(capacity.limitAt(allowedUntil + SoakMillis(99)) == 4000);
        CHECK(capacity.limitAt(allowedUntil + SoakMillis(100)) == 8000);
    }
}

// A process that is stopped or reloaded must not cut a request that it has read, reset an idle connection, or lose an
// acknowledged configuration.
TEST_CASE("Planned stops and reloads cut no request", "[soak]")
{
    runSeeds({3, 6});
}

// Kills and freezes must lead to no two runs of one task, no run of a rejected job and no older configuration.
TEST_CASE("Kills and freezes run no task twice", "[soak]")
{
    runSeeds({1, 4});
}

// Refusals at the limits of settings and configuration must be final, also between kills and freezes.
TEST_CASE("Refusals at the limits run nothing", "[soak]")
{
    runSeeds({2, 5});
}

// A start order that is carried out seconds late, after its host was lost, must not run beside the resubmitted task.
TEST_CASE("Late start orders of lost hosts run no task twice", "[soak]")
{
    runSeeds({1001, 1002}, "late starts");
}

// A task that crashes the executors that start it must not be started on and on.
TEST_CASE("Deadly tasks are given up after a few crashes", "[soak]")
{
    runSeeds({2001, 2002}, "crashes");
}

// No start may bring an executor over its capacity after the capacity has shrunk.
TEST_CASE("Starts heed a capacity that shrinks and grows", "[soak]")
{
    runSeeds({3001, 3002}, "changes of capacity");
}

// Runs the seeds of the environment variable AGATEDRUM_SOAK_SEEDS, such as 1-50. Started by hand only.
TEST_CASE("A range of seeds given by hand holds all guarantees", "[.soak-range]")
{
    const char *range = std::getenv("AGATEDRUM_SOAK_SEEDS");
    REQUIRE(range != nullptr);
    const std::string text(range);
    const auto first = std::stoull(text);
    const auto last = std::stoull(text.substr(text.find('-') + 1));
    std::vector<std::uint64_t> seeds;
    for (auto seed = first; seed <= last; ++seed) {
        seeds.push_back(seed);
    }
    runSeeds(seeds);
}
