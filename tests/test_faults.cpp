#include "base_log_p.h"
#include "fault_actions.h"

#include <catch2/catch.hpp>

#include <cstdlib>

using namespace agatedrum;
using namespace agatedrum::test;

namespace {

constexpr int tasksPerJob = 6;
/// Ends before a takeover.
constexpr Micros shortTask = Millis(100);
/// Outlasts a takeover.
constexpr Micros longTask = Millis(4000);

/// The lines of the processes under test are only wanted when a single case is looked at.
void quiet()
{
    setLogLevel(std::getenv("AGATEDRUM_TEST_LOG") == nullptr ? LogLevel::Error : LogLevel::Info);
}

/// Runs until every request is answered or its entry has given up.
void runToAnswers(FaultWorld &world)
{
    for (int i = 0; i < 300 && !world.isIdle(); ++i) {
        world.run(Millis(50));
    }
}

/// A point in the course of a job: the first message of one kind is on its way.
struct Step
{
    std::string name;
    bool (*isReached)(const Payload &payload);
};

template<typename T>
bool isKind(const Payload &payload)
{
    return std::holds_alternative<T>(payload);
}

const std::vector<Step> steps = {
    {"submission on its way", isKind<wire::SubmitJob>},      {"record on its way", isKind<wire::RecordBatch>},
    {"acknowledgement on its way", isKind<wire::RecordAck>}, {"starts on their way", isKind<wire::StartBatch>},
    {"results on their way", isKind<wire::ResultBatch>},     {"answer on its way", isKind<wire::JobReply>},
    {"results acknowledged", isKind<wire::ResultAck>},
};

/// @return false when the job never came to the step.
bool runToStep(FaultWorld &world, const Step &step)
{
    auto isReached = std::make_shared<bool>(false);
    const auto check = step.isReached;
    world.network.filters.push_back([isReached, check](int, int, const Payload &payload) {
        *isReached = *isReached || check(payload);
        return false;
    });
    for (int i = 0; i < 3000 && !*isReached; ++i) {
        world.run(Micros(2000));
    }
    return *isReached;
}

/// One cell of the matrix: the fault strikes at the step, is repaired, and the caller resubmits.
/// @return everything that contradicts the guarantees.
std::vector<std::string> runCase(FaultWorld &world, Micros runTime, const FaultAction &fault, const Step &step)
{
    for (auto &agent : world.agents) {
        agent.backend->runTime = runTime;
    }
    world.settle();
    world.submit("s1", tasksPerJob);
    if (!runToStep(world, step)) {
        return {"the job did not come to the step"};
    }
    fault.strike(world);
    world.run(Millis(300));
    world.submit("s1", tasksPerJob, 1);
    world.run(Millis(3000));
    repair(world);
    runToAnswers(world);
    world.run(Millis(1000) + fault.lasting);
    const auto last = world.submit("s1", tasksPerJob, 1);
    runToAnswers(world);
    auto faults = world.record.faults();
    if (!world.record.request(last).answer) {
        faults.emplace_back("a resubmission after the repair got no answer");
    }
    for (const auto &[id, request] : world.record.allRequests()) {
        if (!request.heardAt) {
            faults.push_back(fmt::format("request {} was never heard of", id));
        }
    }
    return faults;
}

/// @return how many cells of the matrix show a fault.
int countFailingCases(const OwnerDefects &defects)
{
    int failing = 0;
    for (const auto &fault : faultActions()) {
        for (const auto &step : steps) {
            FaultWorld world(7, 2);
            world.defects = defects;
            failing += runCase(world, longTask, fault, step).empty() ? 0 : 1;
        }
    }
    return failing;
}

} // namespace

TEST_CASE("A job passes through owners, holders and agents without faults", "[faults]")
{
    quiet();
    for (const int copies : {1, 2, 3}) {
        FaultWorld world(1, copies);
        world.settle();
        const auto id = world.submit("s1", 12);
        runToAnswers(world);
        INFO(copies);
        REQUIRE(world.record.request(id).answer);
        REQUIRE(world.record.request(id).answer->complete);
        REQUIRE(world.record.totalRuns() == 12);
        REQUIRE(world.record.faults().empty());
    }
}

// Guards against a second start of a task, an untrue "not run", a wrong answer, and a caller that never hears.
TEST_CASE("Each fault at each step of a job keeps the guarantees", "[faults]")
{
    quiet();
    for (const int copies : {2, 3}) {
        for (const auto runTime : {shortTask, longTask}) {
            for (const auto &fault : faultActions()) {
                for (const auto &step : steps) {
                    INFO(copies << " copies, " << fault.name << ", " << step.name << ", " << runTime.count() << " us");
                    FaultWorld world(7, copies);
                    const auto faults = runCase(world, runTime, fault, step);
                    INFO((faults.empty() ? std::string() : faults.front()));
                    CHECK(faults.empty());
                }
            }
        }
    }
}

// Guards against a matrix that finds nothing.
TEST_CASE("The matrix finds seeded defects", "[faults]")
{
    setLogLevel(LogLevel::Error);
    OwnerDefects defects;

    SECTION("an owner that ignores its lease")
    {
        defects.ignoresLease = true;
    }
    SECTION("a takeover that does not ask the agents")
    {
        defects.skipsFencing = true;
    }
    SECTION("a resubmission that runs again")
    {
        defects.runsResubmissions = true;
    }
    const auto failing = countFailingCases(defects);
    INFO(failing << " cases fail");
    CHECK(failing > 0);
}
