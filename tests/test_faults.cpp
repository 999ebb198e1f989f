#include "base_log_p.h"
#include "fault_actions.h"

#include <catch2/catch.hpp>

#include <cstdlib>

using namespace agatedrum;
using namespace agatedrum::test;

namespace {

constexpr int tasksPerJob = 6;
/// Run time of a task that ends before a takeover.
constexpr Micros shortTask = Millis(100);
/// Run time of a task that is still running after a takeover.
constexpr Micros longTask = Millis(4000);

/// Logs only errors of the processes under test, unless AGATEDRUM_TEST_LOG is set.
void configureLogLevel()
{
    setLogLevel(std::getenv("AGATEDRUM_TEST_LOG") == nullptr ? LogLevel::Error : LogLevel::Info);
}

/// Runs until every request is answered or has timed out at its entry, for at most 15 s.
void runUntilAnswered(FaultCluster &cluster)
{
    for (int i = 0; i < 300 && !cluster.isIdle(); ++i) {
        cluster.run(Millis(50));
    }
}

/// A step in the processing of a job: the first message of one type has been sent.
struct JobStep
{
    std::string name;
    bool (*isReached)(const Payload &payload);
};

template<typename T>
bool holdsMessage(const Payload &payload)
{
    return std::holds_alternative<T>(payload);
}

const std::vector<JobStep> jobSteps = {
    {"submission on its way", holdsMessage<wire::SubmitJob>},
    {"record on its way", holdsMessage<wire::RecordBatch>},
    {"acknowledgement on its way", holdsMessage<wire::RecordAck>},
    {"starts on their way", holdsMessage<wire::StartBatch>},
    {"results on their way", holdsMessage<wire::ResultBatch>},
    {"answer on its way", holdsMessage<wire::JobReply>},
    {"results acknowledged", holdsMessage<wire::ResultAck>},
};

/// Runs until the job reaches the step, for at most 6 s.
/// @return false if the job did not reach the step.
bool runUntilStep(FaultCluster &cluster, const JobStep &step)
{
    auto isReached = std::make_shared<bool>(false);
    const auto check = step.isReached;
    cluster.network.dropFilters.push_back([isReached, check](int, int, const Payload &payload) {
        *isReached = *isReached || check(payload);
        return false;
    });
    for (int i = 0; i < 3000 && !*isReached; ++i) {
        cluster.run(Micros(2000));
    }
    return *isReached;
}

/// Runs one combination of fault and step: injects the fault at the step, repairs it, and resubmits the job.
/// @return the violations of the guarantees.
std::vector<std::string> runFaultCase(FaultCluster &cluster, Micros runTime, const FaultAction &fault,
                                      const JobStep &step)
{
    for (auto &agent : cluster.agents) {
        agent.backend->runTime = runTime;
    }
    cluster.runUntilReady();
    cluster.submit("s1", tasksPerJob);
    if (!runUntilStep(cluster, step)) {
        return {"the job did not reach the step"};
    }
    fault.inject(cluster);
    cluster.run(Millis(300));
    cluster.submit("s1", tasksPerJob, 1);
    cluster.run(Millis(3000));
    repair(cluster);
    runUntilAnswered(cluster);
    cluster.run(Millis(1000) + fault.maxHangTime);
    const auto lastRequestId = cluster.submit("s1", tasksPerJob, 1);
    runUntilAnswered(cluster);
    auto violations = cluster.record.violations();
    if (!cluster.record.request(lastRequestId).answer) {
        violations.emplace_back("a resubmission after the repair got no answer");
    }
    for (const auto &[id, request] : cluster.record.allRequests()) {
        if (!request.completedAt) {
            violations.push_back(fmt::format("request {} was neither answered nor timed out", id));
        }
    }
    return violations;
}

/// @return the number of combinations of fault and step that show a violation.
int countFailingCases(const OwnerDefects &defects)
{
    int failingCases = 0;
    for (const auto &fault : faultActions()) {
        for (const auto &step : jobSteps) {
            FaultCluster cluster(7, 2);
            cluster.defects = defects;
            failingCases += runFaultCase(cluster, longTask, fault, step).empty() ? 0 : 1;
        }
    }
    return failingCases;
}

} // namespace

// Guards against a simulation or checks that fail although no fault is injected.
TEST_CASE("A job without faults completes and runs each task once", "[faults]")
{
    configureLogLevel();
    for (const int replicaCount : {1, 2, 3}) {
        FaultCluster cluster(1, replicaCount);
        cluster.runUntilReady();
        const auto id = cluster.submit("s1", 12);
        runUntilAnswered(cluster);
        INFO(replicaCount);
        REQUIRE(cluster.record.request(id).answer);
        REQUIRE(cluster.record.request(id).answer->complete);
        REQUIRE(cluster.record.totalRuns() == 12);
        REQUIRE(cluster.record.violations().empty());
    }
}

// Guards against a second start of a task, a false "not run", a wrong answer, and a request that gets no answer, after
// a single fault at any step of a job.
TEST_CASE("The guarantees hold for each fault at each step of a job", "[faults]")
{
    configureLogLevel();
    for (const int replicaCount : {2, 3}) {
        for (const auto runTime : {shortTask, longTask}) {
            for (const auto &fault : faultActions()) {
                for (const auto &step : jobSteps) {
                    INFO(replicaCount << " replicas, " << fault.name << ", " << step.name << ", " << runTime.count()
                                      << " us");
                    FaultCluster cluster(7, replicaCount);
                    const auto violations = runFaultCase(cluster, runTime, fault, step);
                    INFO((violations.empty() ? std::string() : violations.front()));
                    CHECK(violations.empty());
                }
            }
        }
    }
}

// Guards against checks that detect nothing: defects in the owner must lead to violations for some fault and step.
TEST_CASE("The test of faults and steps detects injected defects", "[faults]")
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
    SECTION("an ended job that runs again on resubmission")
    {
        defects.runsResubmissions = true;
    }
    const auto failingCases = countFailingCases(defects);
    INFO(failingCases << " cases fail");
    CHECK(failingCases > 0);
}
