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
const std::string config
    = "number: 4\nservices:\n  - name: visits\nbackendServers:\n  - name: b1\n    maxSlots: 3\n...\n";

int port = firstPort; ///< where the fake entry of the running test listens

/// Stands in for an entry: gives prepared answers and notes the requests.
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

    void answer(const std::string &request, int status, const std::string &body)
    {
        const std::lock_guard lock(this->mutex);
        this->answers[request] = {status, body};
    }
    void answer(const std::string &request, int status, const Json &body)
    {
        this->answer(request, status, body.dump());
    }
    std::vector<HttpRequest> taken()
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

/// One run of the tool and what it printed.
struct Run
{
    explicit Run(const std::vector<std::string> &arguments, const std::string &input = {}, int entryPort = port)
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

Json job(const std::string &state)
{
    return {
        {"caller", "desk"},
        {"submission", "s1"},
        {"state", state},
        {"tasks",
         {{{"id", "a"}, {"outcome", "finished"}, {"status", 200}, {"body", "x"}, {"runMs", 2.5}, {"server", "b1"}}}}};
}

Json refusal(const std::string &code, bool notRun)
{
    return {{"error",
             {{"code", code}, {"message", "refused"}, {"field", "team"}, {"notRun", notRun}, {"retryAfterMs", 0}}}};
}

bool holds(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("The tool refuses wrong usage before it sends anything", "[cli]")
{
    const std::vector<std::vector<std::string>> wrong {{},
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
    for (const auto &arguments : wrong) {
        const Run run(arguments, "number: x\n...\n", closedPort);
        CHECK(run.code == ExitCode::BadInput);
        CHECK(run.out.empty());
        CHECK(holds(run.err, "agatedrum: "));
    }
    REQUIRE(Run({"--help"}).code == ExitCode::Done);
    REQUIRE(holds(Run({"version"}).out, "agatedrum 0."));
}

TEST_CASE("The tool's exit code tells what became of a job", "[cli]")
{
    FakeEntry entry;

    SECTION("complete and failed")
    {
        entry.answer("POST /v1/jobs", 200, job("complete"));
        const Run done({"submit", "-f", "-"}, "{\"a\":1}");
        REQUIRE(done.code == ExitCode::Done);
        REQUIRE(holds(done.out, "desk/s1: complete\nid  outcome   status  runMs  server\na   finished  200     2.5"));
        REQUIRE(entry.taken().at(0).body == "{\"a\":1}");
        entry.answer("POST /v1/jobs", 200, job("failed"));
        const Run failed({"submit", "-f", "-", "-o", "json"}, "{}");
        REQUIRE(failed.code == ExitCode::JobFailed);
        REQUIRE(Json::parse(failed.out) == job("failed"));
    }

    SECTION("refusals")
    {
        const std::vector<std::tuple<int, Json, ExitCode>> cases {
            {400, refusal("INVALID", true), ExitCode::BadInput},
            {429, refusal("QUOTA", true), ExitCode::NotRun},
            {404, refusal("UNKNOWN_SERVICE", true), ExitCode::NotRun},
            {404, refusal("UNKNOWN_SERVICE", false), ExitCode::Unknown},
            {503, refusal("NO_OWNER", false), ExitCode::Unknown},
            {504, refusal("OUTCOME_UNKNOWN", false), ExitCode::Unknown},
            {409, refusal("CONFLICT", false), ExitCode::Conflict},
            {500, Json("broken"), ExitCode::BadAnswer}};
        for (const auto &[status, body, code] : cases) {
            entry.answer("POST /v1/jobs", status, body);
            const Run run({"submit", "-f", "-"}, "{}");
            CHECK(run.code == code);
            CHECK(run.out.empty());
            CHECK_FALSE(run.err.empty());
        }
    }

    SECTION("answers that are no JSON or lack fields")
    {
        entry.answer("POST /v1/jobs", 200, std::string("<html>"));
        REQUIRE(Run({"submit", "-f", "-"}, "{}").code == ExitCode::BadAnswer);
        entry.answer("POST /v1/jobs", 200, Json::object());
        REQUIRE(Run({"submit", "-f", "-"}, "{}").code == ExitCode::BadAnswer);
    }

    SECTION("no entry at all")
    {
        REQUIRE(Run({"submit", "-f", "-"}, "{}", closedPort).code == ExitCode::Unreachable);
        REQUIRE(Run({"get", "cells"}, "", closedPort).code == ExitCode::Unreachable);
    }

    SECTION("state and cancellation name the job in the path")
    {
        entry.answer("GET /v1/jobs/de%2Fsk/s1", 404, refusal("NOT_FOUND", true));
        REQUIRE(Run({"status", "de/sk", "s1", "--service", "visits"}).code == ExitCode::NotFound);
        REQUIRE(entry.taken().at(0).query.at("service") == "visits");
        entry.answer("DELETE /v1/jobs/desk/s1", 200, job("failed"));
        REQUIRE(Run({"cancel", "desk", "s1", "--service", "visits"}).code == ExitCode::Done);
    }
}

TEST_CASE("The tool changes the configuration", "[cli]")
{
    FakeEntry entry;
    entry.answer("GET /v1/configuration", 200, Json {{"number", 4}, {"text", config}});
    entry.answer("POST /v1/configuration", 200, Json {{"accepted", true}, {"message", "in force"}, {"number", 5}});

    SECTION("a file is sent as it is, with its author")
    {
        REQUIRE(Run({"apply", "-f", "-", "--author", "ann b", "--dry-run"}, config).code == ExitCode::Done);
        const auto sent = entry.taken().at(0);
        REQUIRE(sent.body == config);
        REQUIRE(sent.query.at("author") == "ann b");
        REQUIRE(sent.query.at("dryRun") == "true");
    }

    SECTION("a file that was cut is refused without being sent")
    {
        const Run run({"apply", "-f", "-", "--author", "ann"}, config.substr(0, 40));
        REQUIRE(run.code == ExitCode::BadInput);
        REQUIRE(holds(run.err, "the file may be cut"));
        REQUIRE(entry.taken().empty());
    }

    SECTION("another file with the same number is a conflict")
    {
        entry.answer("POST /v1/configuration", 409, refusal("conflict", true));
        REQUIRE(Run({"apply", "-f", "-", "--author", "ann"}, config).code == ExitCode::Conflict);
    }

    SECTION("--wait ends when nobody lags, or with its own code")
    {
        entry.answer("GET /v1/configuration/acknowledged", 200, Json {{"number", 5}, {"lagging", Json::array()}});
        REQUIRE(Run({"apply", "-f", "-", "--author", "ann", "--wait"}, config).code == ExitCode::Done);
        entry.answer("GET /v1/configuration/acknowledged", 200, Json {{"number", 5}, {"lagging", {"owner-2"}}});
        const Run late({"apply", "-f", "-", "--author", "ann", "--wait", "--timeout", "1"}, config);
        REQUIRE(late.code == ExitCode::TimedOut);
        REQUIRE(holds(late.err, "owner-2"));
    }

    SECTION("drain writes the next configuration and keeps the rest")
    {
        REQUIRE(Run({"drain", "b1", "b2", "--author", "ann"}).code == ExitCode::Done);
        const auto sent = value(parseConfig(entry.taken().at(1).body));
        REQUIRE(sent.number == 5);
        REQUIRE(sent.backendServer("b1")->isDrained);
        REQUIRE(sent.backendServer("b1")->maxSlots == 3);
        REQUIRE(sent.backendServer("b2")->isDrained);
        REQUIRE(sent.services == value(parseConfig(config)).services);
    }

    SECTION("a drain that changes nothing sends nothing")
    {
        REQUIRE(Run({"undrain", "b1", "--author", "ann"}).code == ExitCode::Done);
        REQUIRE(entry.taken().size() == 1);
    }
}

TEST_CASE("The tool shows what the entry knows", "[cli]")
{
    FakeEntry entry;
    entry.answer("GET /v1/configuration", 200, Json {{"number", 4}, {"text", config}});
    entry.answer("GET /v1/members", 200,
                 Json::parse(R"([{"name":"b2","role":"agent","service":"visits","cell":1,"leaving":false},
                                 {"name":"owner-1","role":"owner"}])"));
    entry.answer("GET /v1/cells", 200, Json::parse(R"([{"cell":7,"owner":"owner-1","agents":["b1","b2"]}])"));

    SECTION("lists as tables or JSON")
    {
        REQUIRE(holds(Run({"get", "services"}).out, "visits  1"));
        REQUIRE(holds(Run({"get", "teams"}).out, "none"));
        REQUIRE(Json::parse(Run({"get", "members", "-o", "json"}).out).size() == 2);
        const auto servers = Json::parse(Run({"get", "backendservers", "-o", "json"}).out);
        REQUIRE(servers.size() == 2);
        REQUIRE(servers[0]["name"] == "b2");
        REQUIRE(servers[0]["announced"] == true);
        REQUIRE(servers[1]["maxSlots"] == 3);
    }

    SECTION("one item in full, or a code of its own when there is none")
    {
        REQUIRE(holds(Run({"describe", "cells", "7"}).out, "agents: b1,b2"));
        REQUIRE(Run({"describe", "cells", "8"}).code == ExitCode::NotFound);
        entry.answer("GET /v1/configuration", 404, refusal("NOT_FOUND", true));
        REQUIRE(Run({"describe", "configurations", "9"}).code == ExitCode::NotFound);
    }

    SECTION("names from elsewhere cannot send control characters to the terminal")
    {
        entry.answer("GET /v1/members", 200, Json::parse(R"([{"name":"a\u001b[2Jb"}])"));
        REQUIRE_FALSE(holds(Run({"get", "members"}).out, "\x1b"));
    }

    SECTION("the dump of a process")
    {
        entry.answer("GET /v1/dump", 200, Json {{"role", "owner"}});
        const Run run({"dump", "http://127.0.0.1:" + std::to_string(port) + "/v1/dump"});
        REQUIRE(holds(run.out, "\"role\": \"owner\""));
    }
}

TEST_CASE("The tool checks files of both kinds", "[cli]")
{
    REQUIRE(holds(Run({"check", "-f", "-"}, config).out, "valid configuration"));
    REQUIRE(Run({"check", "-f", "-"}, "number: 4\n").code == ExitCode::BadInput);
    REQUIRE(holds(Run({"check", "-f", AGATEDRUM_SOURCE "/samples/settings/entry.yaml"}).out, "valid settings"));
    const Run faulty({"check", "-f", "-"}, "role: entry\ncolour: red\n");
    REQUIRE(faulty.code == ExitCode::BadInput);
    REQUIRE(holds(faulty.err, "colour"));
}
