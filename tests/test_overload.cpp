#include <catch2/catch.hpp>

#include "dispatch_hosts_p.h"
#include "fakes.h"
#include "host_fixture.h"
#include "host_queue_p.h"
#include "overload_policy_p.h"

#include <algorithm>
#include <string>
#include <vector>

using namespace agatedrum;
using namespace agatedrum::test;

namespace {

const Time begin(std::chrono::hours(1));

wire::Resources cpu(std::int64_t millis)
{
    wire::Resources result;
    result.cpuMillis = millis;
    return result;
}

CapacityClaim claim(std::int64_t id, int priority, int latestStartMs, int runMs, std::int64_t cpuMillis = 6000)
{
    CapacityClaim result;
    result.id = id;
    result.priority = priority;
    result.latestStart = begin + Millis(latestStartMs);
    result.deadline = begin + Millis(1500);
    result.waitingSince = begin;
    result.demand = cpu(cpuMillis);
    result.expectedRunTime = Millis(runMs);
    return result;
}

std::vector<std::int64_t> idsOf(const std::vector<CapacityClaim> &claims)
{
    std::vector<std::int64_t> ids;
    ids.reserve(claims.size());
    for (const auto &each : claims) {
        ids.push_back(each.id);
    }
    return ids;
}

using Ids = std::vector<std::int64_t>;

/// A host for one task at a time, whose running task ends after the given time.
CapacityForecast busyHost(int remainingMs)
{
    return {cpu(6000), {{cpu(6000), Millis(remainingMs), 0}}, {}};
}

ClaimOrder orderOf(std::vector<CapacityClaim> claims, const CapacityForecast &forecast, int atMs = 0)
{
    std::sort(claims.begin(), claims.end(), startsBefore);
    return priorityPolicy.order(claims, forecast, begin + Millis(atMs));
}

} // namespace

// Guards against urgent tasks that are late behind long, less urgent ones, and against less urgent ones that starve.
TEST_CASE("When there is too little room, the tasks whose delay costs callers least wait", "[overload]")
{
    SECTION("while all tasks can start in time, the earliest latest start goes first, whatever the priorities")
    {
        const auto order = orderOf({claim(1, 2, 100, 50), claim(2, 0, 300, 50)}, busyHost(20));
        REQUIRE(idsOf(order.onTime) == Ids {1, 2});
        REQUIRE(order.deferred.empty());
    }

    SECTION("a long, less urgent task is deferred if an urgent one would be late behind it")
    {
        const auto order = orderOf({claim(1, 2, 100, 900), claim(2, 0, 120, 60)}, busyHost(20));
        REQUIRE(idsOf(order.onTime) == Ids {2});
        REQUIRE(idsOf(order.deferred) == Ids {1});
    }

    SECTION("of the less urgent ones, the least urgent with the most work makes the room, and no more than needed")
    {
        const auto order = orderOf(
            {claim(1, 1, 90, 40), claim(2, 2, 100, 100), claim(3, 2, 110, 900), claim(4, 0, 250, 60)}, busyHost(20));
        REQUIRE(idsOf(order.onTime) == Ids {1, 2, 4});
        REQUIRE(idsOf(order.deferred) == Ids {3});
    }

    SECTION("nothing is deferred for a task that the running tasks make late in any case")
    {
        const auto order = orderOf({claim(1, 2, 100, 900), claim(2, 0, 60, 60)}, busyHost(80));
        REQUIRE(idsOf(order.onTime) == Ids {1});
        REQUIRE(idsOf(order.deferred) == Ids {2});
    }

    SECTION("among callers of equal right the late task waits, not the one with the most work")
    {
        const auto order = orderOf({claim(1, 1, 100, 900), claim(2, 1, 120, 60)}, busyHost(20));
        REQUIRE(idsOf(order.onTime) == Ids {1});
        REQUIRE(idsOf(order.deferred) == Ids {2});
    }

    SECTION("a task that has waited for long is not deferred again")
    {
        auto patient = claim(1, 2, 500, 900);
        auto urgent = claim(2, 0, 520, 60);
        REQUIRE(idsOf(orderOf({patient, urgent}, busyHost(20), 395).onTime) == Ids {2});
        REQUIRE(idsOf(orderOf({patient, urgent}, busyHost(20), 400).onTime) == Ids {1});
    }

    SECTION("tasks that are late already come last, the urgent ones first")
    {
        const auto order = orderOf({claim(1, 2, -20, 50), claim(2, 0, -10, 50), claim(3, 1, 100, 50)}, busyHost(20));
        REQUIRE(idsOf(order.onTime) == Ids {3});
        REQUIRE(idsOf(order.deferred) == Ids {2, 1});
    }

    SECTION("a part of what more urgent tasks recently used stays free for them, an eighth at most")
    {
        CapacityForecast forecast {cpu(48000), {}, {4000, 30000}};
        REQUIRE(priorityPolicy.keptCpuMillis(forecast, 0) == 0);
        REQUIRE(priorityPolicy.keptCpuMillis(forecast, 1) == 4000);
        REQUIRE(priorityPolicy.keptCpuMillis(forecast, 2) == 6000);
        forecast.reserving = {{cpu(3000), Millis(10), 0}, {cpu(40000), Millis(10), 2}};
        REQUIRE(priorityPolicy.keptCpuMillis(forecast, 1) == 1000);
        REQUIRE(deadlinePolicy.keptCpuMillis(forecast, 2) == 0);
    }

    SECTION("a task that cannot end before the caller's deadline is given up, one that may still end is not")
    {
        HostQueue queue(priorityPolicy);
        queue.add(claim(1, 0, 100, 800));
        queue.add(claim(2, 0, 100, 60));
        REQUIRE(queue.takeGivenUp(begin + Millis(1100)).empty());
        REQUIRE(queue.takeGivenUp(begin + Millis(1101)) == Ids {1});
        REQUIRE(idsOf(queue.waiting()) == Ids {2});
    }
}

// Guards against a burst of long jobs that makes the short, urgent ones late. Replays that load: tasks of 900 ms of
// priority 2 arrive at twice the capacity of a host for ten tasks, beside tasks of 60 ms of priority 0 at a tenth of
// it.
TEST_CASE("Urgent tasks start in time during a burst of long ones", "[overload]")
{
    struct Outcome
    {
        int urgentInTime = 0;
        int longStarted = 0;
    };
    const auto play = [](const OverloadPolicy &policy) {
        constexpr std::int64_t capacityMillis = 60000; // ten tasks
        constexpr int lengthMs = 6000;
        HostQueue queue(policy);
        PriorityUse use;
        std::vector<std::pair<int, CapacityClaim>> running; // with the end
        Outcome outcome;
        std::int64_t id = 0;
        const auto arrive = [&queue, &id](int ms, int priority, int slackMs, int runMs) {
            auto task = claim(++id, priority, ms + slackMs, runMs);
            task.waitingSince = begin + Millis(ms);
            task.deadline = begin + Millis(ms + 1500);
            queue.add(task);
        };
        for (int ms = 0; ms < lengthMs; ms += 5) {
            if (ms % 45 == 0) {
                arrive(ms, 2, 500, 900);
            }
            if (ms % 60 == 0) {
                arrive(ms, 0, 70, 60);
            }
            const auto now = begin + Millis(ms);
            running.erase(
                std::remove_if(running.begin(), running.end(), [ms](const auto &each) { return each.first <= ms; }),
                running.end());
            queue.takeGivenUp(now);
            CapacityForecast forecast {cpu(capacityMillis), {}, use.meanCpuMillis()};
            for (const auto &[end, task] : running) {
                forecast.reserving.push_back({task.demand, Millis(end - ms), task.priority});
            }
            use.observe(forecast.reserving, now);
            const auto waiting = queue.waiting();
            for (const auto started : queue.takeStartable(forecast, now)) {
                const auto &task = *std::find_if(waiting.begin(), waiting.end(),
                                                 [started](const CapacityClaim &each) { return each.id == started; });
                running.emplace_back(ms + static_cast<int>(task.expectedRunTime.count() / 1000), task);
                outcome.urgentInTime += task.priority == 0 && now <= task.latestStart ? 1 : 0;
                outcome.longStarted += task.priority == 2 ? 1 : 0;
            }
        }
        return outcome;
    };
    const auto before = play(deadlinePolicy);
    const auto after = play(priorityPolicy);
    INFO("in time " << before.urgentInTime << " and " << after.urgentInTime << " of 100, long ones started "
                    << before.longStarted << " and " << after.longStarted);
    REQUIRE(after.urgentInTime >= 80);
    REQUIRE(after.urgentInTime > before.urgentInTime);
    // The capacity is enough for 66 long tasks; the urgent ones need a tenth of it, and the rest is not lost.
    REQUIRE(after.longStarted >= 50);
}

// Guards against urgent jobs that an entry refuses because of a queue that they would pass.
TEST_CASE("A host tells how long tasks of each priority have to wait", "[overload]")
{
    auto options = HostFixture::hostOptions();
    options.overloadPolicy = GENERATE(&deadlinePolicy, &priorityPolicy);
    HostFixture fixture(options);
    fixture.becomeAccepting();
    auto order = fixture.makeOrder("j1", {0, 1, 2, 3}, 8000, 400);
    order.priority = 2;
    fixture.receiveFromEntry(order);
    fixture.sink.take();
    fixture.clock.advance(Millis(200));
    fixture.renewLease();
    fixture.core.tick();
    const auto reports = fixture.sink.all<wire::HostReport>();
    REQUIRE_FALSE(reports.empty());
    const auto &report = reports.back();
    if (options.overloadPolicy == &deadlinePolicy) {
        REQUIRE(report.urgentDelayMicros.empty());
        return;
    }
    REQUIRE(report.urgentDelayMicros.size() == 3);
    REQUIRE(report.urgentDelayMicros[0] < report.startDelayMicros);
    REQUIRE(report.urgentDelayMicros[2] == report.startDelayMicros);

    SECTION("and an entry expects the wait of the job's priority")
    {
        DispatchHosts hosts(Millis(700));
        hosts.update(incoming("host-1", wire::Role::AGENT, 44003, report), report, fixture.clock.now());
        const auto delay = [&](int priority) {
            return hosts.candidates({"visits", priority, {}}, fixture.clock.now()).front().startDelay.count();
        };
        REQUIRE(delay(0) == report.urgentDelayMicros[0]);
        REQUIRE(delay(7) == report.startDelayMicros);
    }
}
