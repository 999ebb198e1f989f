#include "base_log_p.h"
#include "fault_actions.h"

#include <catch2/catch.hpp>

#include <cstdlib>

using namespace agatedrum;
using namespace agatedrum::test;

namespace {

constexpr int tasksPerJob = 6;

/// The lines of the processes under test are only wanted when a single case is looked at.
void quiet()
{
    setLogLevel(std::getenv("AGATEDRUM_TEST_LOG") == nullptr ? LogLevel::Error : LogLevel::Info);
}

void requireNoFaults(FaultWorld &world)
{
    const auto faults = world.record.faults();
    INFO((faults.empty() ? std::string() : faults.front()));
    CHECK(faults.empty());
}

/// Runs until every request is answered or its entry has given up.
void runToAnswers(FaultWorld &world)
{
    for (int i = 0; i < 300 && !world.isIdle(); ++i) {
        world.run(Millis(50));
    }
    CHECK(world.isIdle());
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

void runToStep(FaultWorld &world, const Step &step)
{
    auto isReached = std::make_shared<bool>(false);
    const auto check = step.isReached;
    world.network.filters.push_back([isReached, check](int, int, const Payload &payload) {
        *isReached = *isReached || check(payload);
        return false;
    });
    for (int i = 0; i < 500 && !*isReached; ++i) {
        world.run(Micros(2000));
    }
    CHECK(*isReached);
}

/// One cell of the matrix: the fault strikes at the step, is repaired, and the caller resubmits.
void runCase(FaultWorld &world, const FaultAction &fault, const Step &step)
{
    world.settle();
    const auto first = world.submit("s1", tasksPerJob);
    runToStep(world, step);
    fault.strike(world);
    world.run(Millis(300));
    const auto second = world.submit("s1", tasksPerJob, 1);
    world.run(Millis(3000));
    repair(world);
    runToAnswers(world);
    world.run(Millis(1000) + fault.lasting);
    const auto last = world.submit("s1", tasksPerJob, 1);
    runToAnswers(world);
    // Once all is repaired, a caller learns what became of its job.
    CHECK(world.record.request(last).answer);
    CHECK(world.record.request(first).heardAt);
    CHECK(world.record.request(second).heardAt);
    requireNoFaults(world);
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
        requireNoFaults(world);
    }
}

// Guards against a second start of a task, an untrue "not run", a wrong answer, and a caller that never hears.
TEST_CASE("Each fault at each step of a job keeps the guarantees", "[faults]")
{
    quiet();
    for (const int copies : {2, 3}) {
        for (const auto &fault : faultActions()) {
            for (const auto &step : steps) {
                INFO(copies << " copies, " << fault.name << ", " << step.name);
                FaultWorld world(7, copies);
                runCase(world, fault, step);
            }
        }
    }
}
