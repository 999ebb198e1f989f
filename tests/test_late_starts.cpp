#include "base_log_p.h"
#include "run_scenarios.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <optional>
#include <string>

using namespace agatedrum;
using namespace agatedrum::test;

namespace {

constexpr Millis longDowntime {60000}; ///< longer than any case takes
/// A job that breaks right after its first submission is submitted again after about 1320 ms, and then runs for 1300
/// ms.
constexpr Millis startDelay {2500};
/// Time after which an order can have no effect: its host may get it up to a lease of the entry late, may send it until
/// the caller's deadline from then, it is carried out at most 12 s late, its lease lasts 1 s on a clock that may be 2%
/// slow, and its run stops within 50 ms.
constexpr Millis longestEffect {SimCallers::deadline + Millis(AGATEDRUM_HOST_ENTRY_LEASE_MS + 12000 + 1020 + 50)};

/// A job with two tasks that need a whole server each.
SimJob twoServerJob()
{
    return {"j", {1300, 1300}, 1200, 16000};
}

/// Leaves the first start order at host-0 without an answer. It is carried out late.
class LateStart
{
public:
    LateStart(RunSim &sim, Millis delay, bool isGrant = true)
        : sim(sim)
    {
        sim.servers.lateOrder = [this, delay, isGrant](OrderKind kind, const std::string &host) {
            if (host != RunSim::hostName(0)) {
                return std::optional<LateOrder>();
            }
            if (kind == OrderKind::Start && !this->orderedAt) {
                this->orderedAt = this->sim.timeline.now();
                this->carriedOutMs = this->sim.timeline.elapsedMs() + delay.count();
                return std::optional<LateOrder>({delay, isGrant});
            }
            const bool isLost = this->orderedAt && this->sim.timeline.now() < *this->orderedAt + this->silence;
            return isLost ? std::optional<LateOrder>({2 * longestEffect, false}) : std::nullopt;
        };
    }
    LateStart(const LateStart &) = delete;
    LateStart &operator=(const LateStart &) = delete;

    /// Returns true if the late order has begun a run.
    bool hasBegunRun() const
    {
        const auto &runs = this->sim.record.runs;
        return std::any_of(runs.begin(), runs.end(), [this](const RunRecord::Run &run) {
            return run.server.rfind("i-0@", 0) == 0 && run.beginMs == this->carriedOutMs;
        });
    }

    Millis silence {0}; ///< time after the start order for which all later orders of host-0 are lost

private:
    RunSim &sim;
    std::optional<Time> orderedAt;
    std::int64_t carriedOutMs = -1;
};

/// Checks the case after its late order has begun a run.
void requireNoOverlap(const RunSim &sim, const LateStart &late)
{
    REQUIRE(late.hasBegunRun());
    requireNoViolation(sim);
}

/// Submits a job at entry-0 and waits until its start orders have been sent.
void submitAndOrder(RunSim &sim, const SimJob &job)
{
    sim.callers.submit(job, 0);
    sim.run(Millis(20));
}

/// Submits the job again at entry-1, if it has not completed yet, when no order of its first submission has an effect.
void requireCompletionAfterLongestEffect(RunSim &sim, const SimJob &job)
{
    sim.run(longestEffect);
    if (sim.callers.answered(JobEnd::Completed) == 0) {
        sim.callers.submit(job, 1);
        sim.run(SimCallers::deadline);
    }
    CHECK(sim.callers.answered(JobEnd::Completed) == 1);
}

} // namespace

// Guards against a late run beside a run of the job's next submission, when only another host of the job is left that
// knows of the first submission.
TEST_CASE("A late start does not overlap a later run when its entry and host are killed", "[run-faults]")
{
    setLogLevel(LogLevel::Error);
    RunSim sim(1, 2, 3);
    LateStart late(sim, startDelay);
    submitAndOrder(sim, twoServerJob());

    SECTION("at the same time")
    {
        sim.killEntry(0, longDowntime);
        sim.killHost(0, longDowntime);
    }
    SECTION("the host first, before its entry gives it up")
    {
        sim.killHost(0, longDowntime);
        sim.run(Millis(400));
        sim.killEntry(0, longDowntime);
    }
    SECTION("and the entry that gets the job again has restarted as well")
    {
        sim.killEntry(1, Millis(300));
        sim.killEntry(0, longDowntime);
        sim.killHost(0, longDowntime);
    }
    sim.run(afterwards);
    requireNoOverlap(sim, late);
}

// Guards against the same overlap when no surviving process has taken an order of the job.
TEST_CASE("A late start of a job with one task does not overlap a later run when entry and host are killed",
          "[run-faults]")
{
    setLogLevel(LogLevel::Error);
    RunSim sim;
    LateStart late(sim, startDelay);
    submitAndOrder(sim, wholeServerJob(1300, 1200));
    sim.killEntry(0, longDowntime);
    sim.killHost(0, longDowntime);
    sim.run(afterwards);
    requireNoOverlap(sim, late);
}

// Guards against a host that would rule out its late order, but is frozen until the order has been carried out.
TEST_CASE("A late start does not overlap a later run when its entry is killed and its host is frozen", "[run-faults]")
{
    setLogLevel(LogLevel::Error);

    SECTION("and another host runs a task of the job")
    {
        RunSim sim(1, 2, 3);
        LateStart late(sim, startDelay);
        submitAndOrder(sim, twoServerJob());
        sim.killEntry(0, longDowntime);
        sim.freezeHost(0, startDelay + Millis(200));
        sim.run(afterwards);
        requireNoOverlap(sim, late);
    }
    SECTION("and no other host runs a task of the job")
    {
        RunSim sim;
        LateStart late(sim, startDelay);
        submitAndOrder(sim, wholeServerJob(1300, 1200));
        sim.killEntry(0, longDowntime);
        sim.freezeHost(0, startDelay + Millis(200));
        sim.run(afterwards);
        requireNoOverlap(sim, late);
    }
}

// Guards against a host that does not rule out an order that it sent before.
TEST_CASE("A host that can act before its late start is carried out prevents the run", "[run-faults]")
{
    setLogLevel(LogLevel::Error);
    RunSim sim(1, 2, 3);
    LateStart late(sim, startDelay);
    submitAndOrder(sim, twoServerJob());
    sim.killEntry(0, longDowntime);

    SECTION("it wakes 200 ms before")
    {
        sim.freezeHost(0, startDelay - Millis(200));
    }
    SECTION("it is killed 400 ms after the entry")
    {
        sim.run(Millis(400));
        sim.killHost(0, longDowntime);
    }
    SECTION("it gets the first answer to an order 500 ms before")
    {
        late.silence = startDelay - Millis(500);
    }
    sim.run(afterwards);
    CHECK_FALSE(late.hasBegunRun());
    requireNoViolation(sim);
}

// Guards against another entry that is not told which tasks of a lost host may still begin.
TEST_CASE("A late start does not overlap a later run when its host is killed and its caller is disconnected",
          "[run-faults]")
{
    setLogLevel(LogLevel::Error);
    RunSim sim(1, 2, 3);
    LateStart late(sim, startDelay);

    SECTION("the connection is reset before the entry gives the host up")
    {
        submitAndOrder(sim, twoServerJob());
        sim.killHost(0, longDowntime);
        sim.run(Millis(100));
        sim.callers.resetConnections(0);
    }
    SECTION("the entry has ordered the stop, and the host is killed before it rules out the start")
    {
        sim.callers.submit(twoServerJob(), 0);
        sim.run(Millis(5));
        sim.callers.resetConnections(0);
        sim.run(Millis(17)); // the entry checks its callers every 20 ms, and the host its starts after 25 ms
        sim.killHost(0, longDowntime);
    }
    SECTION("the host is frozen, not killed")
    {
        submitAndOrder(sim, twoServerJob());
        sim.freezeHost(0, startDelay + Millis(200));
        sim.run(Millis(100));
        sim.callers.resetConnections(0);
    }
    sim.run(afterwards);
    requireNoOverlap(sim, late);
}

// Guards against a stop that is accepted by one instance of a backend server, while the next one knows nothing of it.
TEST_CASE("A late start at a restarted server that its host has not polled does not overlap a later run",
          "[run-faults]")
{
    setLogLevel(LogLevel::Error);
    RunSim sim;
    const auto restartBeforeLateStart = [&sim](const LateStart &late) {
        sim.run(Millis(380)); // 400 ms after the start order
        REQUIRE(sim.hosts[0]->core().dump()["tasks"].empty()); // the stop was accepted
        sim.freezeHost(0, 2 * startDelay);
        sim.run(startDelay - Millis(450));
        sim.restartServer(0, Millis(1), Millis(2));
        sim.run(afterwards);
        requireNoOverlap(sim, late);
    };

    SECTION("the caller was disconnected")
    {
        LateStart late(sim, startDelay);
        submitAndOrder(sim, wholeServerJob(1300, 1200));
        sim.callers.resetConnections(0);
        restartBeforeLateStart(late);
    }
    SECTION("the entry was killed")
    {
        LateStart late(sim, startDelay);
        submitAndOrder(sim, wholeServerJob(1300, 1200));
        sim.killEntry(0, longDowntime);
        restartBeforeLateStart(late);
    }
    SECTION("the order has its original lease, which is far ahead of the clock of the next instance")
    {
        sim.run(Millis(8000));
        LateStart late(sim, startDelay, false);
        submitAndOrder(sim, wholeServerJob(1300, 1200));
        sim.callers.resetConnections(0);
        restartBeforeLateStart(late);
    }
}

// Guards against the same while the later run is already in progress, so that no entry can hold it back.
TEST_CASE("A late start at a server that restarts during a later run does not overlap it", "[run-faults]")
{
    setLogLevel(LogLevel::Error);
    RunSim sim;
    LateStart late(sim, startDelay);
    submitAndOrder(sim, wholeServerJob(1300, 1200));
    sim.callers.resetConnections(0); // the job is submitted again at 1320 ms
    sim.run(Millis(1200));
    REQUIRE(sim.hosts[0]->core().dump()["tasks"].empty()); // the stop was accepted
    sim.callers.submit({"other", {1300}, 1200, 16000}, 0); // at host-0, so that the job runs at host-1
    sim.run(startDelay - Millis(1240));
    sim.freezeHost(0, Millis(100)); // less than the time after which entries miss it
    sim.restartServer(0, Millis(1), Millis(2));
    sim.run(afterwards);
    requireNoOverlap(sim, late);
}

// Guards against a host that lives but cannot rule out its order, while another entry hears it and starts the task
// elsewhere.
TEST_CASE("A late start does not overlap a later run when its host gets no answers for 2 s", "[run-faults]")
{
    setLogLevel(LogLevel::Error);
    constexpr Millis silence {2000};
    RunSim sim(1, 2, 3);
    LateStart late(sim, silence); // carried out before the first order that gets an answer
    late.silence = silence;
    submitAndOrder(sim, twoServerJob());
    sim.killEntry(0, longDowntime);
    sim.run(afterwards);
    requireNoOverlap(sim, late);
}

// Guards against a job that is held back although its host has returned and rules out its earlier orders.
TEST_CASE("A job completes at another entry as soon as its lost host accepts tasks again", "[run-faults]")
{
    setLogLevel(LogLevel::Error);
    RunSim sim;
    LateStart late(sim, startDelay);
    const auto submittedMs = sim.timeline.elapsedMs();
    submitAndOrder(sim, wholeServerJob(600, 500));

    SECTION("the caller is disconnected")
    {
        sim.killHost(0, Millis(500));
        sim.callers.resetConnections(0);
    }
    SECTION("the entry is killed as well")
    {
        sim.killHost(0, Millis(500));
        sim.killEntry(0, longDowntime);
    }
    sim.run(Millis(submittedMs) + Millis(20) + SimCallers::resubmitDelay - Millis(sim.timeline.elapsedMs()));
    REQUIRE(sim.hosts[0]->core().isReady());
    CHECK(sim.callers.answered(JobEnd::Completed) == 0);
    sim.run(SimCallers::deadline);
    CHECK(sim.callers.answered(JobEnd::Completed) == 1);
    sim.run(afterwards);
    CHECK_FALSE(late.hasBegunRun());
    requireNoViolation(sim);
}

// Guards against a job that is held back for good because its host does not return.
TEST_CASE("A job of a lost host completes when none of its orders can have an effect any more", "[run-faults]")
{
    setLogLevel(LogLevel::Error);
    RunSim sim(1, 2, 3);

    SECTION("the host is killed")
    {
        submitAndOrder(sim, twoServerJob());
        sim.killHost(0, longDowntime);
        requireCompletionAfterLongestEffect(sim, twoServerJob());
    }
    SECTION("the host and the entry of a job with two tasks are killed")
    {
        submitAndOrder(sim, twoServerJob());
        sim.killHost(0, longDowntime);
        sim.killEntry(0, longDowntime);
        requireCompletionAfterLongestEffect(sim, twoServerJob());
    }
    SECTION("the host and the entry of a job with one task are killed")
    {
        submitAndOrder(sim, wholeServerJob(1300, 1200));
        sim.killHost(0, longDowntime);
        sim.killEntry(0, longDowntime);
        requireCompletionAfterLongestEffect(sim, wholeServerJob(1300, 1200));
    }
    SECTION("the caller of the job is disconnected and the host is killed")
    {
        submitAndOrder(sim, twoServerJob());
        sim.killHost(0, longDowntime);
        sim.callers.resetConnections(0);
        requireCompletionAfterLongestEffect(sim, twoServerJob());
    }
    requireNoViolation(sim);
}
