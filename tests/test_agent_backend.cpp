#include "agent_core_p.h"
#include "child_process.h"
#include "fakes.h"

#include <catch2/catch.hpp>

#include <memory>

using namespace agatedrum;
using namespace agatedrum::test;

namespace {

constexpr auto soon = std::chrono::seconds(5);
const std::string runUrl = "http://127.0.0.3:13501/v1/run";

/// Keeps the outcomes of calls until a test asks for them.
class Outcomes
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
    BackendOutcome of(std::int64_t number) const
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
            soon);
        REQUIRE(isFound);
        return found;
    }

private:
    mutable std::mutex mutex;
    std::vector<BackendOutcome> outcomes;
};

std::unique_ptr<ChildProcess> startEmulator(std::vector<std::string> more = {})
{
    std::vector<std::string> arguments
        = {"--host", "127.0.0.3", "--port", "13501", "--name", "s1", "--work-us", "1000"};
    arguments.insert(arguments.end(), more.begin(), more.end());
    auto process = std::make_unique<ChildProcess>("agatedrum-backend", arguments);
    REQUIRE(eventually([] { return httpCall("GET", "http://127.0.0.3:13501/v1/record").status == 200; }, soon));
    return process;
}

nlohmann::json record()
{
    return httpCall("GET", "http://127.0.0.3:13501/v1/record").json();
}

/// What the emulator noted of one task.
nlohmann::json recordOf(const std::string &task)
{
    const auto whole = record();
    for (const auto &entry : whole["tasks"]) {
        if (entry["task"] == task) {
            return entry;
        }
    }
    return nlohmann::json::object();
}

void setFault(const std::string &kind, double factor = 1)
{
    const nlohmann::json body = {{"kind", kind}, {"factor", factor}};
    httpCall("POST", "http://127.0.0.3:13501/v1/fault", body.dump());
}

BackendCall callOf(std::int64_t number, const std::string &task, const std::string &body = "{}")
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

TEST_CASE("A start goes over HTTP to the backend server and comes back as a result", "[agent]")
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
    CurlBackendCaller caller([&core](const BackendOutcome &outcome) { core->finished(outcome); });
    AgentOptions options;
    options.self = member.self;
    core = std::make_unique<AgentCore>(sink, clock, link, caller, options);
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

    REQUIRE(eventually([&] { return !sink.all<wire::ResultBatch>().empty(); }, soon));
    const auto results = sink.all<wire::ResultBatch>().at(0);
    REQUIRE(results.results.at(0).result.outcome == wire::Outcome::FINISHED);
    REQUIRE(results.results.at(0).result.status == 200);
    REQUIRE(results.results.at(0).result.server == "s1");
    REQUIRE(recordOf("a%20caller/s%2F1/t1")["starts"] == 1);
}

TEST_CASE("Each way in which a call can end is told apart", "[agent]")
{
    Outcomes outcomes;
    SECTION("a backend server that runs")
    {
        auto emulator = startEmulator();
        CurlBackendCaller caller([&outcomes](const BackendOutcome &outcome) { outcomes.add(outcome); });

        SECTION("a success is finished and carries the answer to its own request")
        {
            caller.start(callOf(1, "c/s/1", "{\"workUs\":100}"));
            const auto outcome = outcomes.of(1);
            REQUIRE(outcome.outcome == wire::Outcome::FINISHED);
            REQUIRE(nlohmann::json::parse(outcome.body)["task"] == "c/s/1");
        }
        SECTION("an error status is failed")
        {
            setFault("failAll");
            caller.start(callOf(1, "c/s/1"));
            const auto outcome = outcomes.of(1);
            REQUIRE(outcome.outcome == wire::Outcome::FAILED);
            REQUIRE(outcome.status == 500);
        }
        SECTION("a truncated answer is unknown, never a success with half of the body")
        {
            setFault("truncate");
            caller.start(callOf(1, "c/s/1"));
            const auto outcome = outcomes.of(1);
            REQUIRE(outcome.outcome == wire::Outcome::UNKNOWN);
            REQUIRE(outcome.body.empty());
        }
        SECTION("a missing answer is unknown when the time limit has passed")
        {
            setFault("hang");
            auto call = callOf(1, "c/s/1");
            call.timeout = Millis(200);
            caller.start(call);
            REQUIRE(outcomes.of(1).outcome == wire::Outcome::UNKNOWN);
        }
        SECTION("a stopped call is stopped and its connection closed")
        {
            caller.start(callOf(1, "c/s/1", "{\"workUs\":5000000}"));
            REQUIRE(eventually([] { return record()["running"] == 1; }, soon));
            caller.stop(1);
            REQUIRE(outcomes.of(1).outcome == wire::Outcome::STOPPED);
            REQUIRE(eventually([] { return recordOf("c/s/1")["cuts"] == 1; }, soon));
        }
        SECTION("a request on a kept connection that closes before the answer is not sent again")
        {
            // libcurl repeats such a request by itself; the backend server would run the task twice.
            caller.start(callOf(1, "c/s/1"));
            outcomes.of(1);
            setFault("drop");
            caller.start(callOf(2, "c/s/2"));
            REQUIRE(outcomes.of(2).outcome == wire::Outcome::UNKNOWN);
            REQUIRE(recordOf("c/s/2")["starts"] == 1);
        }
        SECTION("a call above the connection limit waits for a connection")
        {
            caller.limitConnections(1);
            caller.start(callOf(1, "c/s/1", "{\"workUs\":100000}"));
            caller.start(callOf(2, "c/s/2", "{\"workUs\":100000}"));
            REQUIRE(outcomes.of(2).outcome == wire::Outcome::FINISHED);
            REQUIRE(outcomes.of(1).outcome == wire::Outcome::FINISHED);
            REQUIRE(record()["mostRunning"] == 1);
        }
    }
    SECTION("a connection that was never made is certified as not run")
    {
        CurlBackendCaller caller([&outcomes](const BackendOutcome &outcome) { outcomes.add(outcome); });
        caller.start(callOf(1, "c/s/1"));
        REQUIRE(outcomes.of(1).outcome == wire::Outcome::NOT_RUN);
    }
}
