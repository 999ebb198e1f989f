#include <catch2/catch.hpp>

#include "dispatch_admission_p.h"
#include "dispatch_hosts_p.h"
#include "host_fixture.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

// Guards against starts that bring a backend server over a capacity that has shrunk while it runs, and against tasks
// that wait in vain for capacity that no longer exists.

using namespace agatedrum;
using namespace agatedrum::test;

namespace {

/// Time after which a shrunk capacity counts: ContactMs and one interval of registrations.
constexpr Millis shrinkAllowance {3000 + 1500};
constexpr Millis longestDelivery {1000}; ///< after which a backend server gives up sending a registration
constexpr Millis registrationInterval {1500};

wire::Resources resources(std::int64_t cpuMillis, std::int64_t memoryMb = 1000, std::int64_t accelerators = 0)
{
    wire::Resources result;
    result.cpuMillis = cpuMillis;
    result.memoryMb = memoryMb;
    result.accelerators = accelerators;
    return result;
}

ServerRegistration registrationOf(std::int64_t sequence, const wire::Resources &capacity, std::int64_t clockMs = 5000)
{
    auto registration = HostFixture::registration(1000, sequence);
    registration.capacity = capacity;
    registration.clockMs = clockMs;
    return registration;
}

wire::RunTasks withDemand(wire::RunTasks message, const wire::Resources &demand)
{
    for (auto &order : message.orders) {
        order.demand = demand;
    }
    return message;
}

/// Makes an entry known to the host, so that the host's reports are sent to it.
void announceEntry(HostFixture &host)
{
    wire::ClusterView view;
    view.version = 1;
    wire::MemberRef entry;
    entry.address = endpoint(43001);
    view.entries.push_back(entry);
    host.core.handle(incoming("control-1", wire::Role::CONTROL, 43000, view));
    host.core.tick();
    host.sink.take();
}

/// Orders tasks of one job and lets the backend server start them.
void runTasks(HostFixture &host, const std::string &job, const std::vector<std::int32_t> &indexes,
              std::int64_t cpuMillis)
{
    const auto first = host.server.starts.size();
    host.receiveFromEntry(host.makeOrder(job, indexes, cpuMillis));
    REQUIRE(host.server.starts.size() == first + indexes.size());
    for (std::size_t i = 0; i < indexes.size(); ++i) {
        host.answerStart(first + i, OrderOutcome::Accepted);
    }
}

/// Lets time pass while polls are answered and no registration arrives.
void pollFor(HostFixture &host, Millis time, std::int64_t &clockMs)
{
    constexpr Millis step {100};
    for (Millis passed {0}; passed < time; passed += step) {
        host.clock.advance(step - Millis(1));
        clockMs += step.count();
        auto reply = HostFixture::pollReply();
        reply.clockMs = clockMs;
        host.answerPoll(reply);
        host.core.tick();
    }
}

wire::HostReport newestReport(HostFixture &host)
{
    const auto reports = host.sink.all<wire::HostReport>();
    REQUIRE_FALSE(reports.empty());
    return reports.back();
}

} // namespace

TEST_CASE("A task starts only within the capacity that the backend server has registered last", "[capacity]")
{
    HostFixture host;
    host.becomeAccepting();

    SECTION("running tasks keep their reservations, and the next one starts when enough of them have ended")
    {
        runTasks(host, "a", {0, 1}, 6000);
        host.core.registerServer(registrationOf(2, resources(8000)));
        host.receiveFromEntry(host.makeOrder("b", {0}, 2000));
        REQUIRE(host.server.starts.size() == 2);
        host.answerPoll(HostFixture::pollReply({{{"a", 1}, 1, 10}}, {{1, {"a", 0}, 1, RunEnd::Done}}));
        REQUIRE(host.server.starts.size() == 3);
        REQUIRE(host.server.starts.back().order.task.job == "b");
    }

    SECTION("a start order without an answer counts")
    {
        host.receiveFromEntry(host.makeOrder("a", {0}, 8000));
        host.core.registerServer(registrationOf(2, resources(8000)));
        host.receiveFromEntry(host.makeOrder("b", {0}, 1000));
        REQUIRE(host.server.starts.size() == 1);

        SECTION("also once its answer counts as lost")
        {
            host.answerStart(0, OrderOutcome::Unanswered);
            host.core.tick();
            REQUIRE(host.server.starts.size() == 1);
        }
        SECTION("until it is refused")
        {
            host.answerStart(0, OrderOutcome::NoCapacity);
            REQUIRE(host.server.starts.size() == 2);
        }
    }

    SECTION("a run that is being stopped counts until its end is listed")
    {
        runTasks(host, "a", {0}, 8000);
        host.receiveStop("a", {0});
        REQUIRE(host.server.stops.size() == 1);
        host.server.stops.back().reply({OrderOutcome::Accepted, 5000});
        host.core.registerServer(registrationOf(2, resources(8000)));
        host.receiveFromEntry(host.makeOrder("b", {0}, 1000));
        REQUIRE(host.server.starts.size() == 1);
        host.answerPoll(HostFixture::pollReply({}, {{1, {"a", 0}, 1, RunEnd::Stopped}}));
        REQUIRE(host.server.starts.size() == 2);
    }

    SECTION("each resource counts on its own, also for a task that does not need the one that is exceeded")
    {
        const auto used = resources(1000, 400, 2);
        host.core.registerServer(registrationOf(2, resources(16000, 1000, 4)));
        host.receiveFromEntry(withDemand(host.makeOrder("a", {0, 1}), used));
        REQUIRE(host.server.starts.size() == 2);
        host.answerStart(0, OrderOutcome::Accepted);
        host.answerStart(1, OrderOutcome::Accepted);
        const auto isWaiting = [&host](const wire::Resources &capacity) {
            host.core.registerServer(registrationOf(3, capacity));
            host.receiveFromEntry(withDemand(host.makeOrder("b", {0}), resources(100, 0, 0)));
            return host.server.starts.size() == 2;
        };

        SECTION("cpu")
        {
            REQUIRE(isWaiting(resources(1000, 1000, 4)));
        }
        SECTION("memory")
        {
            REQUIRE(isWaiting(resources(16000, 700, 4)));
        }
        SECTION("accelerators")
        {
            REQUIRE(isWaiting(resources(16000, 1000, 3)));
        }
        SECTION("all of it")
        {
            REQUIRE(isWaiting(resources(0, 0, 0)));
        }
    }

    SECTION("an order that exceeds the shrunk capacity is refused at once, although it may wait")
    {
        host.core.registerServer(registrationOf(2, resources(4000)));
        host.receiveFromEntry(host.makeOrder("a", {0}, 6000));
        REQUIRE(host.server.starts.empty());
        REQUIRE(host.takeReports().at(0).phase == wire::TaskPhase::REFUSED);
    }
}

TEST_CASE("Tasks that wait at a host follow the capacity of its backend server", "[capacity]")
{
    HostFixture host;
    host.becomeAccepting();
    runTasks(host, "a", {0}, 10000);
    host.receiveFromEntry(host.makeOrder("b", {0}, 12000));
    host.receiveFromEntry(host.makeOrder("c", {1}, 7000));
    REQUIRE(host.server.starts.size() == 1);
    host.takeReports();

    SECTION("one that can no longer run there is refused at once, so that its entry places it elsewhere")
    {
        host.core.registerServer(registrationOf(2, resources(8000)));
        const auto reports = host.takeReports();
        REQUIRE(reports.count(0) == 1);
        REQUIRE(reports.at(0).phase == wire::TaskPhase::REFUSED);

        SECTION("and one that still fits starts when the others have ended")
        {
            REQUIRE(reports.at(1).phase == wire::TaskPhase::QUEUED);
            host.answerPoll(HostFixture::pollReply({}, {{1, {"a", 0}, 1, RunEnd::Done}}));
            REQUIRE(host.server.starts.size() == 2);
            REQUIRE(host.server.starts.back().order.task.job == "c");
        }
    }

    SECTION("they start at once when the capacity grows")
    {
        host.core.registerServer(registrationOf(2, resources(30000)));
        REQUIRE(host.server.starts.size() == 3);
    }
}

TEST_CASE("The entries learn of a changed capacity at once", "[capacity]")
{
    HostFixture host;
    host.becomeAccepting();
    announceEntry(host);

    SECTION("when it shrinks and when it grows again")
    {
        for (const auto cpuMillis : {8000, 12000}) {
            host.core.registerServer(registrationOf(2, resources(cpuMillis)));
            REQUIRE(newestReport(host).capacity.cpuMillis == cpuMillis);
            host.sink.take();
        }
    }

    SECTION("and not of each registration")
    {
        host.core.registerServer(registrationOf(2, resources(16000)));
        REQUIRE(host.sink.all<wire::HostReport>().empty());
    }
}

TEST_CASE("A host reports a true start delay while its tasks exceed the capacity", "[capacity]")
{
    HostFixture host;
    host.becomeAccepting();
    announceEntry(host);
    const auto startDelayAfter = [&host](const ServerRegistration &registration) {
        host.core.registerServer(registration);
        host.clock.advance(Millis(AGATEDRUM_HOST_REPORT_MS));
        host.core.tick();
        return Micros(newestReport(host).startDelayMicros);
    };

    SECTION("the delay of a demand that fits into the capacity, although the last task was larger")
    {
        host.receiveFromEntry(host.makeOrder("a", {0}, 4000));
        auto longTask = host.makeOrder("b", {0}, 1000);
        longTask.orders.front().estimateMicros = 1200000;
        host.receiveFromEntry(longTask);
        host.receiveFromEntry(host.makeOrder("c", {0}, 9000)); // the last task
        REQUIRE(host.server.starts.size() == 3);
        host.answerPoll(HostFixture::pollReply({{{"a", 0}, 1, 0}, {{"b", 0}, 1, 0}}, {{1, {"c", 0}, 1, RunEnd::Done}}));
        // 3000 are free. The smallest demand that has to wait can start when the short task has ended.
        const auto delay = startDelayAfter(registrationOf(2, resources(8000)));
        REQUIRE(delay > Micros(0));
        REQUIRE(delay <= Millis(100)); // the estimate of the short task
    }

    SECTION("the time until enough tasks have ended")
    {
        runTasks(host, "a", {0, 1}, 8000);
        host.core.registerServer(registrationOf(2, resources(16000)));
        const auto delay = startDelayAfter(registrationOf(3, resources(8000)));
        REQUIRE(delay > Micros(0));
        REQUIRE(newestReport(host).reserved.cpuMillis == 16000);
    }

    SECTION("none while nothing runs, also without any capacity")
    {
        REQUIRE(startDelayAfter(registrationOf(2, resources(0, 0, 0))) == Micros(0));
    }
}

TEST_CASE("An outdated registration does not bring an earlier capacity back", "[capacity]")
{
    HostFixture host;
    host.becomeAccepting();
    host.core.registerServer(registrationOf(10, resources(4000)));
    const auto startsLargeTask = [&host] {
        host.receiveFromEntry(host.makeOrder("large", {0}, 6000));
        return !host.server.starts.empty();
    };

    SECTION("a delayed one")
    {
        host.core.registerServer(registrationOf(9, resources(16000)));
        REQUIRE_FALSE(startsLargeTask());
    }

    SECTION("several delayed ones in their order, while newer ones are lost")
    {
        std::int64_t clockMs = 5000;
        pollFor(host, Millis(3500), clockMs);
        host.core.registerServer(registrationOf(8, resources(16000), 3000));
        host.core.registerServer(registrationOf(9, resources(16000), 4500));
        REQUIRE_FALSE(startsLargeTask());
    }

    SECTION("a delayed one of the next instance, which the host cannot follow yet")
    {
        auto next = HostFixture::registration(2000, 12);
        next.capacity = resources(4000);
        host.core.registerServer(next);
        next.sequence = 11;
        next.capacity = resources(16000);
        host.core.registerServer(next);
        PollReply reply;
        reply.outcome = OrderOutcome::OtherInstance;
        host.answerPoll(reply);
        REQUIRE(host.server.polls.back().order.server.startedAtMs == 2000);
        host.answerPoll(HostFixture::pollReply());
        REQUIRE(host.core.isReady());
        REQUIRE_FALSE(startsLargeTask());
    }
}

// The backend server may have shrunk since, and its registrations may have been lost, as while the host was frozen.
TEST_CASE("A host starts nothing once the registered capacity may be outdated", "[capacity]")
{
    HostFixture host;
    host.becomeAccepting();
    std::int64_t clockMs = 5000;

    SECTION("while two registrations in a row are lost it goes on")
    {
        pollFor(host, 2 * registrationInterval + Millis(200), clockMs);
        host.receiveFromEntry(host.makeOrder("a", {0}));
        REQUIRE(host.server.starts.size() == 1);
    }

    SECTION("after the time for which an earlier capacity may be used it refuses tasks")
    {
        pollFor(host, shrinkAllowance - longestDelivery, clockMs);
        host.receiveFromEntry(host.makeOrder("a", {0}));
        REQUIRE(host.server.starts.empty());
        REQUIRE_FALSE(host.core.isReady());

        SECTION("until the backend server registers again")
        {
            host.core.registerServer(registrationOf(4, resources(8000), clockMs));
            host.receiveFromEntry(host.makeOrder("b", {0}));
            REQUIRE(host.server.starts.size() == 1);
        }
        SECTION("also if a registration is read that was sent long before")
        {
            host.core.registerServer(registrationOf(2, resources(16000), 5000));
            host.receiveFromEntry(host.makeOrder("b", {0}));
            REQUIRE(host.server.starts.empty());
        }
    }
}

TEST_CASE("A new instance with less capacity starts nothing beside the tasks of the earlier one", "[capacity]")
{
    HostFixture host;
    host.becomeAccepting();
    runTasks(host, "a", {0}, 8000);
    auto next = registrationOf(1, resources(8000));
    next.server.startedAtMs = 2000;
    next.server.address = endpoint(8090);
    next.server.id = "i-2";
    host.core.removeServer("i-1");
    host.core.registerServer(next);
    host.answerPoll(HostFixture::pollReply());
    host.renewLease();
    host.receiveFromEntry(host.makeOrder("b", {0}, 1000));
    REQUIRE(host.server.starts.size() == 1); // the earlier instance may still run its task

    SECTION("until the leases of the earlier instance have expired")
    {
        for (Millis passed {0}; passed < Millis(AGATEDRUM_SERVER_HOLD_MS + 100); passed += Millis(100)) {
            host.clock.advance(Millis(100));
            host.answerPoll(HostFixture::pollReply());
            host.renewLease();
        }
        REQUIRE(host.server.starts.size() == 2);
        REQUIRE(host.server.starts.back().order.server.id == "i-2");
    }
}

TEST_CASE("An entry places tasks within the capacity that the hosts report now", "[capacity]")
{
    ManualClock clock;
    DispatchHosts hosts(Millis(1000));
    const auto report = [&hosts, &clock](const std::string &name, std::int64_t sequence,
                                         const wire::Resources &capacity, const wire::Resources &reserved) {
        wire::HostReport result;
        result.sequence = sequence;
        result.serviceName = "visits";
        result.accepting = true;
        result.slowness = 1.0;
        result.capacity = capacity;
        result.reserved = reserved;
        result.startDelayMicros = 50000;
        hosts.update(incoming(name, wire::Role::AGENT, 43003, result), result, clock.now());
    };
    const auto place = [&hosts, &clock](const wire::Resources &demand) {
        TaskRequest task;
        task.demand = demand;
        task.estimate = Millis(100);
        auto candidates = hosts.candidates({"visits", 0, {}}, clock.now());
        return placeTasks({task, task}, {Millis(1000), Millis(1500)}, candidates, 1.0);
    };
    report("small", 1, resources(16000, 1000, 4), resources(12000, 100, 2));
    report("small", 2, resources(8000, 1000, 1), resources(12000, 100, 2));

    SECTION("a task that fits the earlier capacity only is refused at admission")
    {
        for (const auto &demand : {resources(9000), resources(1000, 10, 2)}) {
            const auto placements = place(demand);
            REQUIRE(placements.front().host < 0);
            const std::vector<TaskRequest> tasks(2);
            const auto refusal = Admission(0.5).evaluate(RouteConfig(), tasks, placements, Millis(1500));
            REQUIRE(refusal);
        }
    }

    SECTION("a task that has to wait there is expected to wait, whichever resource is exceeded")
    {
        for (const auto &capacity : {resources(8000, 1000, 4), resources(16000, 50, 4), resources(16000, 1000, 1)}) {
            report("small", 3 + capacity.memoryMb + capacity.accelerators, capacity, resources(12000, 100, 2));
            const auto placements = place(resources(1000, 10, 0));
            REQUIRE(placements.front().host == 0);
            REQUIRE(placements.front().start >= Millis(50));
        }
    }

    SECTION("another host is preferred that has free capacity")
    {
        report("wide", 1, resources(16000, 1000, 1), resources(8000, 100, 0));
        const auto placements = place(resources(1000, 10, 0));
        REQUIRE(hosts.candidates({"visits", 0, {}}, clock.now()).at(1).name == "wide");
        REQUIRE(placements.at(0).host == 1);
        REQUIRE(placements.at(1).host == 1);
        REQUIRE(placements.at(0).start == Micros(0));
    }

    SECTION("a host without any capacity gets none, and its report leads to no odd numbers")
    {
        report("small", 9, resources(0, 0, 0), resources(12000, 100, 2));
        REQUIRE(place(resources(1)).front().host < 0);
        hosts.recordOrder(*hosts.find("small"), resources(1000), Millis(100), true);
        REQUIRE(hosts.candidates({"visits", 0, {}}, clock.now()).front().queuedTime == Micros(0));
    }
}
