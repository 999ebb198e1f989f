#include "cli_run_p.h"
#include "config_cluster_p.h"
#include "fakes.h"
#include "http_client.h"
#include "http_server_p.h"

#include <catch2/catch.hpp>

#include <cstdio>
#include <fstream>
#include <mutex>
#include <sstream>

using namespace agatedrum;
using namespace agatedrum::test;
using Json = nlohmann::json;

namespace {

constexpr int firstPort = 14140;
constexpr int closedPort = 14199;
const std::string configText
    = "number: 4\nservices:\n  - name: visits\nbackendServers:\n  - name: b1\n    maxSlots: 3\n...\n";

int port = firstPort; ///< port of the fake entry of the running test

/// HTTP server in place of an entry. Returns prepared answers and records the requests.
class FakeEntry
{
public:
    FakeEntry()
    {
        HttpServerOptions options;
        options.address = endpoint(firstPort);
        this->server = startServer(options, [this](HttpServer &target) { this->addRoutes(target); });
        port = options.address.port;
    }

    void setAnswer(const std::string &request, int status, const std::string &body)
    {
        const std::lock_guard lock(this->mutex);
        this->answers[request] = {status, body};
    }
    void setAnswer(const std::string &request, int status, const Json &body)
    {
        this->setAnswer(request, status, body.dump());
    }
    std::vector<HttpRequest> takeRequests()
    {
        const std::lock_guard lock(this->mutex);
        return std::exchange(this->requests, {});
    }

private:
    void addRoutes(HttpServer &target)
    {
        for (const auto *path :
             {"/v1/jobs", "/v1/configuration", "/v1/configuration/history", "/v1/configuration/acknowledged",
              "/v1/members", "/v1/cells", "/v1/dump", "/v1/jobs/:caller/:submission"}) {
            for (const auto *method : {"GET", "POST", "DELETE"}) {
                target.route(method, path, [this](const HttpRequest &request, const HttpReply &reply) {
                    const std::lock_guard lock(this->mutex);
                    this->requests.push_back(request);
                    reply(this->answers[request.method + " " + request.path]);
                });
            }
        }
    }

    std::mutex mutex;
    std::map<std::string, HttpResponse> answers;
    std::vector<HttpRequest> requests;
    std::unique_ptr<HttpServer> server;
};

/// Runs the tool in this process and keeps its exit code and output.
struct ToolRun
{
    explicit ToolRun(const std::vector<std::string> &arguments, const std::string &input = {}, int entryPort = port)
    {
        const Environment environment = [entryPort](const std::string &name) {
            return name == "AGATEDRUM_ENTRY" ? "http://127.0.0.1:" + std::to_string(entryPort) : std::string();
        };
        std::istringstream in(input);
        std::ostringstream outStream;
        std::ostringstream errStream;
        this->code = runCli(arguments, environment, {in, outStream, errStream});
        this->out = outStream.str();
        this->err = errStream.str();
    }

    ExitCode code;
    std::string out;
    std::string err;
};

Json jobAnswer(const std::string &state)
{
    return {
        {"caller", "desk"},
        {"submission", "s1"},
        {"state", state},
        {"tasks",
         {{{"id", "a"}, {"outcome", "finished"}, {"status", 200}, {"body", "x"}, {"runMs", 2.5}, {"server", "b1"}}}}};
}

Json errorAnswer(const std::string &code, bool notRun)
{
    return {{"error",
             {{"code", code}, {"message", "refused"}, {"field", "team"}, {"notRun", notRun}, {"retryAfterMs", 0}}}};
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

// Guards against requests that are sent although the command line is invalid: the entry URL has no listener, so a
// request would end with another exit code.
TEST_CASE("Wrong usage is rejected before any request is sent", "[cli]")
{
    const std::vector<std::vector<std::string>> invalidCommandLines {{},
                                                                     {"launch"},
                                                                     {"submit"},
                                                                     {"submit", "-f"},
                                                                     {"submit", "-f", "/nonexistent/job.json"},
                                                                     {"submit", "-f", "-", "--wait"},
                                                                     {"status", "desk"},
                                                                     {"status", "desk", "s1"},
                                                                     {"get", "services", "extra"},
                                                                     {"get", "nodes"},
                                                                     {"get", "services", "--output", "xml"},
                                                                     {"get", "services", "--timeout", "0"},
                                                                     {"get", "services", "--colour"},
                                                                     {"drain"},
                                                                     {"apply", "-f", "-"}};
    for (const auto &arguments : invalidCommandLines) {
        const ToolRun run(arguments, "number: x\n...\n", closedPort);
        CHECK(run.code == ExitCode::BadInput);
        CHECK(run.out.empty());
        CHECK(contains(run.err, "agatedrum: "));
    }
    REQUIRE(ToolRun({"--help"}).code == ExitCode::Done);
    REQUIRE(contains(ToolRun({"version"}).out, "agatedrum 0."));
}

// Scripts rely on the exit code to decide whether a job may be submitted again. A possibly executed job must never be
// reported as not run.
TEST_CASE("The exit code reports the result of a job", "[cli]")
{
    FakeEntry entry;

    SECTION("complete and failed jobs have different exit codes")
    {
        entry.setAnswer("POST /v1/jobs", 200, jobAnswer("complete"));
        const ToolRun done({"submit", "-f", "-"}, "{\"a\":1}");
        REQUIRE(done.code == ExitCode::Done);
        REQUIRE(
            contains(done.out, "desk/s1: complete\nid  outcome   status  runMs  server\na   finished  200     2.5"));
        REQUIRE(entry.takeRequests().at(0).body == "{\"a\":1}");
        entry.setAnswer("POST /v1/jobs", 200, jobAnswer("failed"));
        const ToolRun failed({"submit", "-f", "-", "-o", "json"}, "{}");
        REQUIRE(failed.code == ExitCode::JobFailed);
        REQUIRE(Json::parse(failed.out) == jobAnswer("failed"));
    }

    SECTION("each kind of refusal has its exit code")
    {
        const std::vector<std::tuple<int, Json, ExitCode>> cases {
            {400, errorAnswer("INVALID", true), ExitCode::BadInput},
            {429, errorAnswer("QUOTA", true), ExitCode::NotRun},
            {404, errorAnswer("UNKNOWN_SERVICE", true), ExitCode::NotRun},
            {404, errorAnswer("UNKNOWN_SERVICE", false), ExitCode::Unknown},
            {503, errorAnswer("NO_OWNER", false), ExitCode::Unknown},
            {504, errorAnswer("OUTCOME_UNKNOWN", false), ExitCode::Unknown},
            {409, errorAnswer("CONFLICT", false), ExitCode::Conflict},
            {500, Json("broken"), ExitCode::BadAnswer}};
        for (const auto &[status, body, code] : cases) {
            entry.setAnswer("POST /v1/jobs", status, body);
            const ToolRun run({"submit", "-f", "-"}, "{}");
            CHECK(run.code == code);
            CHECK(run.out.empty());
            CHECK_FALSE(run.err.empty());
        }
    }

    SECTION("answers that are not JSON or lack fields are reported as invalid")
    {
        entry.setAnswer("POST /v1/jobs", 200, std::string("<html>"));
        REQUIRE(ToolRun({"submit", "-f", "-"}, "{}").code == ExitCode::BadAnswer);
        entry.setAnswer("POST /v1/jobs", 200, Json::object());
        REQUIRE(ToolRun({"submit", "-f", "-"}, "{}").code == ExitCode::BadAnswer);
    }

    SECTION("an unreachable entry has its own exit code")
    {
        REQUIRE(ToolRun({"submit", "-f", "-"}, "{}", closedPort).code == ExitCode::Unreachable);
        REQUIRE(ToolRun({"get", "cells"}, "", closedPort).code == ExitCode::Unreachable);
    }

    SECTION("status and cancel send the percent-encoded caller and submission in the path")
    {
        entry.setAnswer("GET /v1/jobs/de%2Fsk/s1", 404, errorAnswer("NOT_FOUND", true));
        REQUIRE(ToolRun({"status", "de/sk", "s1", "--service", "visits"}).code == ExitCode::NotFound);
        REQUIRE(entry.takeRequests().at(0).query.at("service") == "visits");
        entry.setAnswer("DELETE /v1/jobs/desk/s1", 200, jobAnswer("failed"));
        REQUIRE(ToolRun({"cancel", "desk", "s1", "--service", "visits"}).code == ExitCode::Done);
    }
}

TEST_CASE("Commands that change the configuration", "[cli]")
{
    FakeEntry entry;
    entry.setAnswer("GET /v1/configuration", 200, Json {{"number", 4}, {"text", configText}});
    entry.setAnswer("POST /v1/configuration", 200, Json {{"accepted", true}, {"message", "in force"}, {"number", 5}});

    SECTION("apply sends the file unchanged, with the author")
    {
        REQUIRE(ToolRun({"apply", "-f", "-", "--author", "ann b", "--dry-run"}, configText).code == ExitCode::Done);
        const auto sent = entry.takeRequests().at(0);
        REQUIRE(sent.body == configText);
        REQUIRE(sent.query.at("author") == "ann b");
        REQUIRE(sent.query.at("dryRun") == "true");
    }

    SECTION("a truncated file is rejected without being sent")
    {
        const ToolRun run({"apply", "-f", "-", "--author", "ann"}, configText.substr(0, 40));
        REQUIRE(run.code == ExitCode::BadInput);
        REQUIRE(contains(run.err, "the file may be truncated"));
        REQUIRE(entry.takeRequests().empty());
    }

    SECTION("a refusal with status 409 is reported as a conflict")
    {
        entry.setAnswer("POST /v1/configuration", 409, errorAnswer("conflict", true));
        REQUIRE(ToolRun({"apply", "-f", "-", "--author", "ann"}, configText).code == ExitCode::Conflict);
    }

    SECTION("--wait ends when every process has acknowledged, or times out with its own exit code")
    {
        entry.setAnswer("GET /v1/configuration/acknowledged", 200, Json {{"number", 5}, {"lagging", Json::array()}});
        REQUIRE(ToolRun({"apply", "-f", "-", "--author", "ann", "--wait"}, configText).code == ExitCode::Done);
        entry.setAnswer("GET /v1/configuration/acknowledged", 200, Json {{"number", 5}, {"lagging", {"owner-2"}}});
        const ToolRun late({"apply", "-f", "-", "--author", "ann", "--wait", "--timeout", "1"}, configText);
        REQUIRE(late.code == ExitCode::TimedOut);
        REQUIRE(contains(late.err, "owner-2"));
    }

    SECTION("drain sends a configuration with the next number and keeps all other settings")
    {
        REQUIRE(ToolRun({"drain", "b1", "b2", "--author", "ann"}).code == ExitCode::Done);
        const auto sent = value(parseConfig(entry.takeRequests().at(1).body));
        REQUIRE(sent.number == 5);
        REQUIRE(sent.backendServer("b1")->isDrained);
        REQUIRE(sent.backendServer("b1")->maxSlots == 3);
        REQUIRE(sent.backendServer("b2")->isDrained);
        REQUIRE(sent.services == value(parseConfig(configText)).services);
    }

    SECTION("undrain of a server that is not drained sends no configuration")
    {
        REQUIRE(ToolRun({"undrain", "b1", "--author", "ann"}).code == ExitCode::Done);
        REQUIRE(entry.takeRequests().size() == 1);
    }
}

TEST_CASE("Commands that show the state of the cluster", "[cli]")
{
    FakeEntry entry;
    entry.setAnswer("GET /v1/configuration", 200, Json {{"number", 4}, {"text", configText}});
    entry.setAnswer("GET /v1/members", 200,
                    Json::parse(R"([{"name":"b2","role":"agent","service":"visits","cell":1,"leaving":false},
                                 {"name":"owner-1","role":"owner"}])"));
    entry.setAnswer("GET /v1/cells", 200, Json::parse(R"([{"cell":7,"owner":"owner-1","agents":["b1","b2"]}])"));

    SECTION("get prints lists as tables or as JSON")
    {
        REQUIRE(contains(ToolRun({"get", "services"}).out, "visits  1"));
        REQUIRE(contains(ToolRun({"get", "teams"}).out, "none"));
        REQUIRE(Json::parse(ToolRun({"get", "members", "-o", "json"}).out).size() == 2);
        const auto servers = Json::parse(ToolRun({"get", "backendservers", "-o", "json"}).out);
        REQUIRE(servers.size() == 2);
        REQUIRE(servers[0]["name"] == "b2");
        REQUIRE(servers[0]["announced"] == true);
        REQUIRE(servers[1]["maxSlots"] == 3);
    }

    SECTION("describe prints one item, or reports that it was not found")
    {
        REQUIRE(contains(ToolRun({"describe", "cells", "7"}).out, "agents: b1,b2"));
        REQUIRE(ToolRun({"describe", "cells", "8"}).code == ExitCode::NotFound);
        entry.setAnswer("GET /v1/configuration", 404, errorAnswer("NOT_FOUND", true));
        REQUIRE(ToolRun({"describe", "configurations", "9"}).code == ExitCode::NotFound);
    }

    SECTION("control characters in names are not written to the terminal")
    {
        entry.setAnswer("GET /v1/members", 200, Json::parse(R"([{"name":"a\u001b[2Jb"}])"));
        REQUIRE_FALSE(contains(ToolRun({"get", "members"}).out, "\x1b"));
    }

    SECTION("dump prints the JSON of a process")
    {
        entry.setAnswer("GET /v1/dump", 200, Json {{"role", "owner"}});
        const ToolRun run({"dump", "http://127.0.0.1:" + std::to_string(port) + "/v1/dump"});
        REQUIRE(contains(run.out, "\"role\": \"owner\""));
    }
}

TEST_CASE("check validates configuration and settings files", "[cli]")
{
    REQUIRE(contains(ToolRun({"check", "-f", "-"}, configText).out, "valid configuration"));
    REQUIRE(ToolRun({"check", "-f", "-"}, "number: 4\n").code == ExitCode::BadInput);
    REQUIRE(contains(ToolRun({"check", "-f", AGATEDRUM_SOURCE "/samples/settings/entry.yaml"}).out, "valid settings"));
    const ToolRun faulty({"check", "-f", "-"}, "role: entry\ncolour: red\n");
    REQUIRE(faulty.code == ExitCode::BadInput);
    REQUIRE(contains(faulty.err, "colour"));
}
