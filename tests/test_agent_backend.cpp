#include "agent_core_p.h"
#include "child_process.h"
#include "fakes.h"

#include <catch2/catch.hpp>

#include <memory>

using namespace agatedrum;
using namespace agatedrum::test;

namespace {

constexpr auto waitLimit = std::chrono::seconds(5);
const std::string runUrl = "http://127.0.0.3:13501/v1/run";

/// Records the outcomes of calls. Thread-safe.
class OutcomeRecorder
{
public:
    void add(const BackendOutcome &outcome)
    {
        const std::lock_guard lock(this->mutex);
        this->outcomes.push_back(outcome);
    }
    std::vector<BackendOutcome> all() const
    {
        const std::lock_guard lock(this->mutex);
        return this->outcomes;
    }
    /// Waits for the outcome of the call with this number.
    BackendOutcome waitFor(std::int64_t number) const
    {
        BackendOutcome found;
        const bool isFound = eventually(
            [&] {
                for (const auto &outcome : this->all()) {
                    if (outcome.number == number) {
                        found = outcome;
                        return true;
                    }
                }
                return false;
            },
            waitLimit);
        REQUIRE(isFound);
        return found;
    }

private:
    mutable std::mutex mutex;
    std::vector<BackendOutcome> outcomes;
};

/// Starts an emulated backend server and waits until it answers.
std::unique_ptr<ChildProcess> startEmulator(std::vector<std::string> extraArguments = {})
{
    std::vector<std::string> arguments
        = {"--host", "127.0.0.3", "--port", "13501", "--name", "s1", "--work-us", "1000"};
    arguments.insert(arguments.end(), extraArguments.begin(), extraArguments.end());
    auto process = std::make_unique<ChildProcess>("agatedrum-backend", arguments);
    REQUIRE(eventually([] { return httpCall("GET", "http://127.0.0.3:13501/v1/record").status == 200; }, waitLimit));
    return process;
}

/// Returns what the emulator has recorded.
nlohmann::json record()
{
    return httpCall("GET", "http://127.0.0.3:13501/v1/record").json();
}

/// Returns what the emulator has recorded about a task.
nlohmann::json taskRecord(const std::string &task)
{
    const auto fullRecord = record();
    for (const auto &entry : fullRecord["tasks"]) {
        if (entry["task"] == task) {
            return entry;
        }
    }
    return nlohmann::json::object();
}

void injectFault(const std::string &kind, double factor = 1)
{
    const nlohmann::json body = {{"kind", kind}, {"factor", factor}};
    httpCall("POST", "http://127.0.0.3:13501/v1/fault", body.dump());
}

BackendCall makeCall(std::int64_t number, const std::string &task, const std::string &body = "{}")
{
    BackendCall call;
    call.number = number;
    call.url = runUrl;
    call.taskHeader = task;
    call.body = body;
    call.timeout = Millis(2000);
    return call;
}

} // namespace

// Guards against a mismatch between the agent core and the HTTP calls, such as a task header that is not encoded.
TEST_CASE("An agent runs a started task over HTTP at the backend server and sends its result", "[agent]")
{
    const auto emulator = startEmulator();
    const SystemClock clock;
    RecordingSink sink;
    MemberOptions member;
    member.self = processId("agent-1", 5);
    member.role = wire::Role::AGENT;
    member.control = {{"c1", endpoint(1)}};
    MemberLink link(sink, clock, member);
    std::unique_ptr<AgentCore> core;
    CurlBackendClient backendClient([&core](const BackendOutcome &outcome) { core->finished(outcome); });
    AgentOptions options;
    options.self = member.self;
    core = std::make_unique<AgentCore>(sink, clock, link, backendClient, options);
    core->announce({"s1", "x", 8, 64, runUrl, false, -1});
    wire::ClusterView view;
    view.version = 1;
    view.cells.resize(1);
    view.cells[0].cell = 3;
    core->handle(incoming("c1", wire::Role::CONTROL, 1, view));

    wire::StartBatch batch;
    batch.cell = 3;
    batch.epoch = 1;
    batch.agentIncarnation = 5;
    batch.starts.resize(1);
    batch.starts[0].ref.key.caller = "a caller";
    batch.starts[0].ref.key.submission = "s/1";
    batch.starts[0].taskId = "t1";
    batch.starts[0].body = "{\"workUs\":500}";
    batch.starts[0].sequence = 1;
    core->handle(incoming("owner-1", wire::Role::OWNER, 9, batch));

    REQUIRE(eventually([&] { return !sink.all<wire::ResultBatch>().empty(); }, waitLimit));
    const auto results = sink.all<wire::ResultBatch>().at(0);
    REQUIRE(results.results.at(0).result.outcome == wire::Outcome::FINISHED);
    REQUIRE(results.results.at(0).result.status == 200);
    REQUIRE(results.results.at(0).result.server == "s1");
    REQUIRE(taskRecord("a%20caller/s%2F1/t1")["starts"] == 1);
}

// Guards against wrong outcomes of calls: a truncated answer reported as a success, a task reported as not run although
// the backend server has started it, and a request that is sent twice.
TEST_CASE("The outcome of a call tells how the call ended", "[agent]")
{
    OutcomeRecorder outcomes;
    SECTION("with a running backend server")
    {
        auto emulator = startEmulator();
        CurlBackendClient backendClient([&outcomes](const BackendOutcome &outcome) { outcomes.add(outcome); });

        SECTION("a successful call is FINISHED and has the answer to its own request")
        {
            backendClient.start(makeCall(1, "c/s/1", "{\"workUs\":100}"));
            const auto outcome = outcomes.waitFor(1);
            REQUIRE(outcome.outcome == wire::Outcome::FINISHED);
            REQUIRE(nlohmann::json::parse(outcome.body)["task"] == "c/s/1");
        }
        SECTION("a call that is answered with an error status is FAILED")
        {
            injectFault("failAll");
            backendClient.start(makeCall(1, "c/s/1"));
            const auto outcome = outcomes.waitFor(1);
            REQUIRE(outcome.outcome == wire::Outcome::FAILED);
            REQUIRE(outcome.status == 500);
        }
        SECTION("a call with a truncated answer is UNKNOWN and has no body")
        {
            injectFault("truncate");
            backendClient.start(makeCall(1, "c/s/1"));
            const auto outcome = outcomes.waitFor(1);
            REQUIRE(outcome.outcome == wire::Outcome::UNKNOWN);
            REQUIRE(outcome.body.empty());
        }
        SECTION("a call without an answer is UNKNOWN after its time limit")
        {
            injectFault("hang");
            auto call = makeCall(1, "c/s/1");
            call.timeout = Millis(200);
            backendClient.start(call);
            REQUIRE(outcomes.waitFor(1).outcome == wire::Outcome::UNKNOWN);
        }
        SECTION("a stopped call is STOPPED and its connection is closed")
        {
            backendClient.start(makeCall(1, "c/s/1", "{\"workUs\":5000000}"));
            REQUIRE(eventually([] { return record()["running"] == 1; }, waitLimit));
            backendClient.stop(1);
            REQUIRE(outcomes.waitFor(1).outcome == wire::Outcome::STOPPED);
            REQUIRE(eventually([] { return taskRecord("c/s/1")["cuts"] == 1; }, waitLimit));
        }
        SECTION("a request on a reused connection that closes before the answer is not resent")
        {
            // libcurl resends such a request by itself, and the backend server would run the task twice.
            backendClient.start(makeCall(1, "c/s/1"));
            outcomes.waitFor(1);
            injectFault("drop");
            backendClient.start(makeCall(2, "c/s/2"));
            REQUIRE(outcomes.waitFor(2).outcome == wire::Outcome::UNKNOWN);
            REQUIRE(taskRecord("c/s/2")["starts"] == 1);
        }
        SECTION("a call above the connection limit waits for a connection")
        {
            backendClient.limitConnections(1);
            backendClient.start(makeCall(1, "c/s/1", "{\"workUs\":100000}"));
            backendClient.start(makeCall(2, "c/s/2", "{\"workUs\":100000}"));
            REQUIRE(outcomes.waitFor(2).outcome == wire::Outcome::FINISHED);
            REQUIRE(outcomes.waitFor(1).outcome == wire::Outcome::FINISHED);
            REQUIRE(record()["mostRunning"] == 1);
        }
    }
    SECTION("a call whose connection could not be opened is NOT_RUN")
    {
        CurlBackendClient backendClient([&outcomes](const BackendOutcome &outcome) { outcomes.add(outcome); });
        backendClient.start(makeCall(1, "c/s/1"));
        REQUIRE(outcomes.waitFor(1).outcome == wire::Outcome::NOT_RUN);
    }
}
