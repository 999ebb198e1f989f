#include "base_log_p.h"
#include "run_faults.h"
#include "run_scenarios.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <optional>
#include <sstream>
#include <string>
#include <utility>

using namespace agatedrum;
using namespace agatedrum::test;

namespace {

constexpr std::uint64_t seedCount = 100;

/// Runs a job whose host is lost while every other poll of it is carried out late.
void loseHostWithLatePolls(RunSim &sim, bool isGrant, bool isEntryLost)
{
    int polls = 0;
    sim.servers.lateOrder = [&polls, isGrant](OrderKind kind, const std::string &host) {
        const bool isLate = kind == OrderKind::Poll && host == RunSim::hostName(0) && ++polls % 2 == 0;
        return isLate ? std::optional<LateOrder>({Millis(2500), isGrant}) : std::nullopt;
    };
    sim.run(Millis(5000));
    sim.server(0)->workFactor = 2.0;
    sim.callers.submit(wholeServerJob(2400, 1400), 0);
    sim.run(Millis(40));
    if (isEntryLost) {
        sim.killEntry(0, Millis(9000));
    }
    sim.killHost(0, Millis(9000));
    sim.run(afterwards);
}

/// Runs a job whose start order is carried out 2500 ms late. Its host is killed, and its caller submits it again.
void loseHostWithLateStart(RunSim &sim, bool isGrant, Millis downtime)
{
    bool isFirst = true;
    sim.servers.lateOrder = [&isFirst, isGrant](OrderKind kind, const std::string &) {
        return kind == OrderKind::Start && std::exchange(isFirst, false)
            ? std::optional<LateOrder>({Millis(2500), isGrant})
            : std::nullopt;
    };
    sim.callers.submit(wholeServerJob(1300, 1200), 0);
    sim.run(Millis(20));
    sim.killHost(0, downtime);
    sim.run(Millis(100));
    sim.callers.resetConnections(0); // the job is submitted again 1420 ms after its first submission
    sim.run(afterwards);
}

/// Returns the faults that AGATEDRUM_TEST_FAULTS names; without it, all for some seeds and a random set for others.
RunFaults faultsOf(std::uint64_t seed)
{
    RunFaults faults;
    const auto *namesText = std::getenv("AGATEDRUM_TEST_FAULTS");
    std::istringstream names(namesText == nullptr ? "" : namesText);
    std::set<std::string> wanted;
    for (std::string name; std::getline(names, name, ',');) {
        wanted.insert(name);
    }
    RandomSource random(seed);
    for (std::size_t i = 0; i < runFaultNames.size(); ++i) {
        const bool isDrawn = random.drawBelow(3) == 0 || seed % 5 == 0;
        if (namesText == nullptr ? isDrawn : wanted.count(runFaultNames.at(i)) > 0) {
            faults.insert(static_cast<RunFault>(i));
        }
    }
    return faults;
}

/// Removes faults as long as the remaining ones still lead to a wrong run with this seed.
RunFaults smallestSet(std::uint64_t seed, RunFaults faults, const SimListening &listening)
{
    const auto all = faults;
    for (const auto fault : all) {
        auto fewer = faults;
        fewer.erase(fault);
        if (!runSequence(seed, fewer, false, listening).violations.empty()) {
            faults = std::move(fewer);
        }
    }
    return faults;
}

/// Plays the sequences of all seeds without the excluded faults, and checks that none has a wrong run.
void checkSequences(const RunFaults &excluded, const SimListening &listening = {})
{
    std::uint64_t firstSeed = 1;
    std::uint64_t lastSeed = seedCount;
    const auto *seedText = std::getenv("AGATEDRUM_TEST_SEED");
    if (seedText != nullptr) {
        firstSeed = std::strtoull(seedText, nullptr, 10);
        lastSeed = firstSeed;
    }
    for (auto seed = firstSeed; seed <= lastSeed; ++seed) {
        auto faults = faultsOf(seed);
        for (const auto fault : excluded) {
            faults.erase(fault);
        }
        isTracingRuns() = isTracingRuns() || seedText != nullptr;
        const auto result = runSequence(seed, faults, false, listening);
        isTracingRuns() = false;
        INFO("AGATEDRUM_TEST_SEED=" << seed << " with " << namesOf(faults) << ": " << result.violations.size()
                                    << " wrong runs of " << result.runs << ", first: "
                                    << (result.violations.empty() ? std::string() : result.violations.front()));
        REQUIRE(result.completed > 0);
        if (seedText != nullptr && !result.violations.empty()) {
            UNSCOPED_INFO("smallest set: " << namesOf(smallestSet(seed, faults, listening)));
        }
        CHECK(result.violations.empty());
    }
}

} // namespace

// Guards against a simulation or checks that fail although no fault is injected, and against checks that detect
// nothing.
TEST_CASE("The simulation of runs completes jobs without faults and detects wrong runs", "[run-faults]")
{
    setLogLevel(LogLevel::Error);

    SECTION("without faults each job completes, and each of its tasks runs once")
    {
        RunSim sim;
        for (int i = 0; i < 20; ++i) {
            sim.callers.submit({fmt::format("j{}", i), {60, 200, 400}, 250, 4000}, i % 2);
            sim.run(Millis(600));
        }
        sim.run(afterwards);
        CHECK(sim.callers.answered(JobEnd::Completed) == 20);
        CHECK(sim.record.count("done") == 60);
        CHECK(sim.record.runs.size() == 60);
        requireNoViolation(sim);
    }

    SECTION("a second run of a task that still runs is detected")
    {
        RunRecord record;
        const auto first = record.begin({"j", 0}, 1, "a", 0);
        record.begin({"j", 1}, 1, "b", 1);
        CHECK(record.violations.empty());

        SECTION("as long as the first one has not ended")
        {
            record.begin({"j", 0}, 1, "b", 5);
            CHECK(record.violations.size() == 1);
        }
        SECTION("and not after its end")
        {
            record.end(first, "done", 4);
            record.begin({"j", 0}, 2, "b", 5);
            CHECK(record.violations.empty());
        }
    }

    SECTION("a run of a job whose caller was told that it never runs is detected")
    {
        RunRecord record;
        record.recordRefusal("j");
        record.begin({"j", 0}, 1, "a", 0);
        CHECK(record.violations.size() == 1);
    }
}

// Guards against a second run while the first one, whose host was killed before it could report it, still has a lease.
TEST_CASE("A task does not run twice when its host is killed right after the start order", "[run-faults]")
{
    setLogLevel(LogLevel::Error);
    RunSim sim;

    SECTION("and the restarted host does not know its server yet")
    {
        sim.killHostAfterStart(0, Millis(1), Millis(300));
        sim.callers.submit(wholeServerJob(1000, 900), 0);
        sim.run(afterwards);
        requireNoViolation(sim);
    }
    SECTION("and the restarted host finds the run in the list of its server")
    {
        sim.run(Millis(800)); // the server registers again after the restart of the host
        sim.killHostAfterStart(0, Millis(1), Millis(300));
        sim.callers.submit(wholeServerJob(1000, 900), 0);
        sim.run(afterwards);
        requireNoViolation(sim);
    }
}

// Guards against answers of a restarted host that count for its earlier process, since a wall clock that was set back
// gives both the same incarnation.
TEST_CASE("A task does not run twice when its host is killed and starts again at the same wall clock time",
          "[run-faults]")
{
    setLogLevel(LogLevel::Error);
    RunSim sim;
    sim.repeatStartTime(0);

    SECTION("and the restarted host does not know its server yet")
    {
        sim.killHostAfterStart(0, Millis(1), Millis(300));
        sim.callers.submit(wholeServerJob(1000, 900), 0);
        sim.run(afterwards);
        requireNoViolation(sim);
    }
    SECTION("and the restarted host finds the run in the list of its server")
    {
        sim.run(Millis(800)); // the server registers again after the restart of the host
        sim.killHostAfterStart(0, Millis(1), Millis(300));
        sim.callers.submit(wholeServerJob(1000, 900), 0);
        sim.run(afterwards);
        requireNoViolation(sim);
    }
}

// Guards against a run at a restarted server that its host believes to have ended with the earlier instance.
TEST_CASE("A task does not run twice when its server restarts under the same id", "[run-faults]")
{
    setLogLevel(LogLevel::Error);
    RunSim sim;

    SECTION("and gets an order before its registration reaches the host")
    {
        sim.restartServer(0, Millis(1), Millis(40));
        sim.run(Millis(5));
        sim.callers.submit(wholeServerJob(1000, 900), 0);
        sim.run(afterwards);
        requireNoViolation(sim);
    }
    SECTION("and gets an order of a host that was started long after the earlier instance")
    {
        sim.run(Millis(8000));
        sim.killHost(0, Millis(300));
        sim.run(Millis(3000));
        sim.restartServer(0, Millis(1), Millis(40));
        sim.run(Millis(5));
        sim.callers.submit(wholeServerJob(1000, 900), 0);
        sim.run(afterwards);
        requireNoViolation(sim);
    }
    SECTION("and carries out an order to the earlier instance seconds later")
    {
        sim.run(Millis(8000));
        sim.killHost(0, Millis(300));
        sim.run(Millis(3000));
        bool isFirst = true;
        sim.servers.lateOrder = [&isFirst](OrderKind kind, const std::string &) {
            return kind == OrderKind::Start && std::exchange(isFirst, false)
                ? std::optional<LateOrder>({Millis(3000), false})
                : std::nullopt;
        };
        sim.callers.submit(wholeServerJob(1300, 1200), 0);
        sim.run(Millis(50));
        sim.restartServer(0, Millis(1), Millis(2));
        sim.run(Millis(1150));
        sim.callers.resetConnections(0); // the job is submitted again 2500 ms after its first submission
        sim.run(Millis(1200));
        sim.callers.submit({"other", {1300}, 1200, 16000},
                           0); // at the restarted server, so that the job runs at the other one
        sim.run(afterwards);
        requireNoViolation(sim);
    }
}

// Guards against a server that gets no tasks for minutes, since its fencing tokens are below those of the earlier
// instance.
TEST_CASE("A host accepts tasks again soon after its server has restarted under the same id", "[run-faults]")
{
    setLogLevel(LogLevel::Error);
    RunSim sim;
    sim.run(Millis(8000));
    sim.killHost(0, Millis(300));
    sim.run(Millis(3000));
    REQUIRE(sim.hosts[0]->core().isReady());
    sim.restartServer(0, Millis(1), Millis(40));
    sim.run(Millis(5));
    sim.callers.submit(wholeServerJob(300, 300), 0);
    // All leases run out within 1020 ms, and the server registers every 1500 ms.
    sim.run(Millis(3000));
    CHECK(sim.hosts[0]->core().isReady());
}

// Guards against tasks that an entry orders from a request that it reads long after its caller has submitted the job
// elsewhere.
TEST_CASE("An entry that wakes orders no task of a caller that has disconnected", "[run-faults]")
{
    setLogLevel(LogLevel::Error);
    RunSim sim;
    sim.freezeEntry(0, Millis(3000));
    sim.callers.submit(wholeServerJob(1200, 1000), 0); // submitted again at the other entry after 2800 ms
    sim.run(afterwards);
    requireNoViolation(sim);
}

// Guards against leases of entry and server that together last longer than the caller waits.
TEST_CASE("A task does not run twice when its entry and then its host are lost", "[run-faults]")
{
    setLogLevel(LogLevel::Error);
    RunSim sim;
    sim.callers.submit(wholeServerJob(2400, 1400), 0);
    sim.run(Millis(40));

    SECTION("the entry is killed and then the host")
    {
        sim.killEntry(0, Millis(9000));
        sim.run(Millis(740));
        sim.killHost(0, Millis(2000));
    }
    SECTION("the entry is killed and then the host is frozen")
    {
        sim.killEntry(0, Millis(9000));
        sim.run(Millis(740));
        sim.freezeHost(0, Millis(2000));
    }
    SECTION("the entry cannot reach the host to stop the task of a disconnected caller, and then the host is killed")
    {
        sim.cut(0, 0, Millis(4000), true, true, false);
        sim.callers.resetConnections(0);
        sim.run(Millis(740));
        sim.killHost(0, Millis(2000));
    }
    sim.run(afterwards);
    requireNoViolation(sim);
}

// Guards against a lease that is renewed for a run whose entry has lost its own lease.
TEST_CASE("A run that must stop ends in time although its stops get no answer", "[run-faults]")
{
    setLogLevel(LogLevel::Error);
    RunSim sim;
    sim.callers.submit(wholeServerJob(2400, 1400), 0);
    sim.run(Millis(40));
    sim.killEntry(0, Millis(9000));
    sim.servers.lateOrder = [](OrderKind kind, const std::string &) {
        return kind == OrderKind::Stop ? std::optional<LateOrder>({Millis(5000), false}) : std::nullopt;
    };
    sim.run(afterwards);
    requireNoViolation(sim);
}

// Guards against a second run while a replaced server, which its host no longer asks, still runs the first one.
TEST_CASE("A task does not run twice when its server is replaced at another address", "[run-faults]")
{
    setLogLevel(LogLevel::Error);
    RunSim sim;
    sim.callers.submit(wholeServerJob(1200, 1100), 0);
    sim.run(Millis(100));
    sim.replaceServer(0, Millis(4000));
    sim.run(afterwards);
    requireNoViolation(sim);
}

// Guards against runs that outlive their host because polls that it sent earlier are carried out after its loss, with
// leases counted from then.
TEST_CASE("Late polls of a lost host keep no run alive until the job is submitted again", "[run-faults]")
{
    setLogLevel(LogLevel::Error);
    RunSim sim;

    SECTION("its entry is lost as well, and the caller submits the job again 1300 ms later")
    {
        loseHostWithLatePolls(sim, true, true);
    }
    SECTION("its entry tells the caller that the host was lost")
    {
        loseHostWithLatePolls(sim, true, false);
    }
    requireNoViolation(sim);
}

// Guards against a start order that is carried out seconds late, with a lease counted from then, when no host can stop
// its run.
TEST_CASE("A late start order of a lost host does not overlap a later run of the task", "[run-faults]")
{
    setLogLevel(LogLevel::Error);
    RunSim sim;

    SECTION("the host stays down")
    {
        loseHostWithLateStart(sim, true, Millis(9000));
    }
    SECTION("the host is running again but its server has not registered again")
    {
        loseHostWithLateStart(sim, true, Millis(1000));
    }
    requireNoViolation(sim);
}

// Guards against the same runs when the leases of late orders are not extended, or a later token has been used.
TEST_CASE("Late orders of a lost host have no effect if their leases or tokens are outdated", "[run-faults]")
{
    setLogLevel(LogLevel::Error);
    RunSim sim;

    SECTION("polls with their original leases")
    {
        loseHostWithLatePolls(sim, false, true);
    }
    SECTION("a start order with its original lease")
    {
        sim.callers.maxAttempts = 14; // entries start no task of the job elsewhere until its host is heard again
        loseHostWithLateStart(sim, false, Millis(9000));
        sim.run(afterwards);
        CHECK(sim.callers.answered(JobEnd::Completed) == 1);
    }
    SECTION("a start order whose token is lower than that of the restarted host")
    {
        loseHostWithLateStart(sim, true, Millis(300)); // the server registers again 1000 ms after the job's submission
    }
    requireNoViolation(sim);
}

// Guards against overlapping runs that only a combination of several faults causes. Set AGATEDRUM_TEST_SEED to repeat
// one sequence with its log and to find the smallest set of its faults that still leads to a wrong run, and
// AGATEDRUM_TEST_FAULTS to a list of faults, such as "host-kill,late-grants", to inject only these.
TEST_CASE("No two runs of a task overlap in random sequences of faults", "[run-faults]")
{
    setLogLevel(LogLevel::Error);
    checkSequences({});
}

// The same for all faults but the one that still leads to overlapping runs, so that the others stay guarded.
TEST_CASE("No two runs of a task overlap in random sequences of faults without restarts of servers", "[run-faults]")
{
    setLogLevel(LogLevel::Error);
    checkSequences({RunFault::ServerRestart});
}

// Guards against the same where entries hear only some of the hosts and ask the others when they need them.
TEST_CASE("No two runs of a task overlap in random sequences of faults if entries listen to few hosts", "[run-faults]")
{
    setLogLevel(LogLevel::Error);
    checkSequences({}, {1, 1});
}
