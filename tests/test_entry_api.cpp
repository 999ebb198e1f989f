#include "entry_api_p.h"
#include "entry_fixture.h"
#include "entry_json_p.h"
#include "http_client.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace agatedrum;
using namespace agatedrum::test;
using Json = nlohmann::json;

namespace {

constexpr int serverPort = 14120;

Json validJob()
{
    return Json::parse(R"({"caller":"desk","team":"bookings","submission":"s1","service":"visits",
        "submittedAt":1700000000000,"deadlineMs":5000,"idempotent":true,
        "tasks":[{"id":"a","body":"x","declaredMs":12.5},{"id":"b","body":""}]})");
}

/// Returns the name of the invalid field, or "accepted" if the job is valid.
std::string fieldOf(const std::string &body)
{
    const auto job = parseJob(body);
    return isOk(job) ? "accepted" : error(job).field;
}

/// Returns the JSON body of an HTTP response.
Json jsonOf(const std::string &answer)
{
    return Json::parse(answer.substr(answer.find("\r\n\r\n") + 4));
}

/// An entry behind a real HTTP server; the test acts as the owner and the control group.
struct HttpEntryFixture : EntryFixture
{
    HttpEntryFixture()
    {
        this->options.address = endpoint(serverPort);
        this->receiveView(1, {100, 100});
        this->renewLease();
        this->sink.take();
        this->server = startServer(this->options, [this](HttpServer &target) { addEntryRoutes(target, this->core); });
    }

    /// Waits until a message of type T has been sent, and returns the first one.
    template<typename T>
    T awaitSent()
    {
        for (int i = 0; i < 500; ++i) {
            const auto found = this->sink.all<T>();
            if (!found.empty()) {
                this->sink.take();
                return found.front();
            }
            std::this_thread::sleep_for(Millis(10));
        }
        throw std::runtime_error("no message of the expected type was sent");
    }

    HttpServerOptions options;
    std::unique_ptr<HttpServer> server;
};

} // namespace

// Guards against invalid jobs that are accepted, and against errors that are reported for the wrong field.
TEST_CASE("parseJob validates every field and reports the invalid one", "[entry]")
{
    auto job = validJob();

    SECTION("a valid job is accepted")
    {
        const auto parsed = parseJob(job.dump());
        REQUIRE(isOk(parsed));
        REQUIRE(value(parsed).idempotent);
        REQUIRE(value(parsed).deadlineMs == 5000);
        REQUIRE(value(parsed).tasks.at(0).declaredMicros == 12500);
        REQUIRE(value(parsed).tasks.at(1).body.empty());
    }

    SECTION("every truncation of a valid job, and a valid job with trailing text, is refused")
    {
        const auto text = job.dump();
        for (std::size_t size = 0; size < text.size(); ++size) {
            REQUIRE_FALSE(isOk(parseJob(text.substr(0, size))));
        }
        REQUIRE_FALSE(isOk(parseJob(text + "{}")));
    }

    SECTION("a missing required field is reported")
    {
        for (const std::string field : {"caller", "submission", "team", "service", "submittedAt", "tasks"}) {
            auto shorter = job;
            shorter.erase(field);
            REQUIRE(fieldOf(shorter.dump()) == field);
        }
        job["tasks"][1].erase("id");
        REQUIRE(fieldOf(job.dump()) == "tasks[1].id");
    }

    SECTION("an unknown field is reported")
    {
        auto other = job;
        other["priority"] = 1;
        REQUIRE(fieldOf(other.dump()) == "priority");
        job["tasks"][1]["retries"] = 1;
        REQUIRE(fieldOf(job.dump()) == "tasks[1].retries");
    }

    SECTION("a field of the wrong type is reported")
    {
        for (const auto &item : job.items()) {
            for (const auto &wrong : {Json(nullptr), Json(Json::object()), Json(Json::array({1})), Json(1.5)}) {
                auto other = job;
                other[item.key()] = wrong;
                REQUIRE_THAT(fieldOf(other.dump()), Catch::StartsWith(item.key()));
            }
        }
        job["tasks"][0]["declaredMs"] = "1";
        REQUIRE(fieldOf(job.dump()) == "tasks[0].declaredMs");
        REQUIRE_FALSE(isOk(parseJob("[]")));
        REQUIRE_FALSE(isOk(parseJob("7")));
    }

    SECTION("numbers that are out of range are refused")
    {
        for (const auto *field : {"submittedAt", "deadlineMs"}) {
            for (const auto &wrong : {Json(-1), Json(18446744073709551615U), Json(9223372036854775807)}) {
                auto other = job;
                other[field] = wrong;
                REQUIRE(fieldOf(other.dump()) == field);
            }
        }
        for (const auto &wrong : {Json(-0.5), Json(1e300), Json(18446744073709551615U)}) {
            job["tasks"][0]["declaredMs"] = wrong;
            REQUIRE(fieldOf(job.dump()) == "tasks[0].declaredMs");
        }
        auto text = validJob().dump();
        text.replace(text.find("5000"), 4, "1e999");
        REQUIRE(fieldOf(text) == "deadlineMs");
    }

    SECTION("names that are empty, too long or contain control characters are refused")
    {
        for (const auto &wrong : {std::string(), std::string(201, 'x'), std::string("a\0b", 3)}) {
            auto other = job;
            other["caller"] = wrong;
            REQUIRE(fieldOf(other.dump()) == "caller");
        }
        job["tasks"][0]["id"] = "";
        REQUIRE(fieldOf(job.dump()) == "tasks[0].id");
    }

    SECTION("a repeated field and a repeated task id are refused")
    {
        auto text = job.dump();
        REQUIRE(fieldOf("{\"caller\":\"other\"," + text.substr(1)) == "caller");
        job["tasks"][1]["id"] = "a";
        REQUIRE(fieldOf(job.dump()) == "tasks[1].id");
    }

    SECTION("230 tasks are accepted, 231 and none are refused")
    {
        job["tasks"] = Json::array();
        REQUIRE(fieldOf(job.dump()) == "tasks");
        for (int i = 0; i < 230; ++i) {
            job["tasks"].push_back({{"id", std::to_string(i)}, {"body", ""}});
        }
        REQUIRE(fieldOf(job.dump()) == "accepted");
        job["tasks"].push_back({{"id", "230"}, {"body", ""}});
        REQUIRE(fieldOf(job.dump()) == "tasks");
    }

    SECTION("invalid UTF-8 is refused and reported for its field")
    {
        auto text = job.dump();
        text.replace(text.find("bookings"), 1, "\xff");
        REQUIRE(fieldOf(text) == "team");
    }

    SECTION("deeply nested JSON is refused without recursion into it")
    {
        REQUIRE_FALSE(isOk(parseJob(std::string(1000000, '['))));
        REQUIRE_FALSE(isOk(parseJob("{\"tasks\":" + std::string(1000000, '['))));
    }
}

// Guards against HTTP responses that lose or alter results, refusals or errors on the way between caller, owner and
// control group.
TEST_CASE("An entry serves its API over HTTP", "[entry]")
{
    HttpEntryFixture entry;
    RawClient client(entry.options.address.port);

    SECTION("a finished job is answered with the results of its tasks")
    {
        client.send(post("/v1/jobs", validJob().dump()));
        auto reply = finishedReply(entry.awaitSent<wire::SubmitJob>());
        reply.answer.results[0].body = "\xff\x01";
        reply.answer.results[0].runMicros = 1500;
        entry.receive(100, reply);
        const auto answer = client.receive();
        REQUIRE(answer.find("HTTP/1.1 200") == 0);
        const auto json = jsonOf(answer);
        REQUIRE(json["state"] == "complete");
        REQUIRE(json["submission"] == "s1");
        REQUIRE(json["tasks"][0]["id"] == "a");
        REQUIRE(json["tasks"][0]["body"] == "done-0");
        REQUIRE(json["tasks"][0]["outcome"] == "finished");
        REQUIRE(json["tasks"][1]["runMs"] == 1.5);
        // A body that is not valid UTF-8 must reach the caller unchanged.
        REQUIRE(json["tasks"][1]["bodyBase64"] == "/wE=");
        REQUIRE_FALSE(json["tasks"][1].contains("body"));
    }

    SECTION("an invalid job is refused with the name of the field, and no message is sent")
    {
        auto job = validJob();
        job["tasks"][0]["id"] = 7;
        client.send(post("/v1/jobs", job.dump()));
        const auto answer = client.receive();
        REQUIRE(answer.find("HTTP/1.1 400") == 0);
        REQUIRE(jsonOf(answer)["error"]["field"] == "tasks[0].id");
        REQUIRE(jsonOf(answer)["error"]["notRun"] == true);
        REQUIRE(entry.sink.take().empty());
    }

    SECTION("a refusal contains the HTTP status, the code and the time after which to retry")
    {
        client.send(post("/v1/jobs", validJob().dump()));
        auto reply = refusalReply(entry.awaitSent<wire::SubmitJob>(), wire::RefusalCode::QUOTA);
        reply.answer.refusal.retryAfterMs = 1200;
        entry.receive(100, reply);
        const auto answer = client.receive();
        REQUIRE(answer.find("HTTP/1.1 429") == 0);
        REQUIRE(answer.find("Retry-After: 2\r\n") != std::string::npos);
        REQUIRE(jsonOf(answer)["error"]["code"] == "QUOTA");
        REQUIRE(jsonOf(answer)["error"]["retryAfterMs"] == 1200);
    }

    SECTION("an unknown outcome is answered with status 504")
    {
        client.send(post("/v1/jobs", validJob().dump()));
        entry.awaitSent<wire::SubmitJob>();
        entry.advanceTime(Millis(60000));
        const auto answer = client.receive();
        REQUIRE(answer.find("HTTP/1.1 504") == 0);
        REQUIRE(jsonOf(answer)["error"]["code"] == "OUTCOME_UNKNOWN");
        REQUIRE(jsonOf(answer)["error"]["notRun"] == false);
    }

    SECTION("queries and cancellations of a job are sent to its owner")
    {
        client.send(get("/v1/jobs/desk/a%2Fb?service=visits"));
        const auto query = entry.awaitSent<wire::QueryJob>();
        REQUIRE(query.key.submission == "a/b");
        wire::JobReply reply;
        reply.requestId = query.requestId;
        reply.answer.key = query.key;
        entry.receive(100, reply);
        REQUIRE(jsonOf(client.receive())["state"] == "running");
        client.send("DELETE /v1/jobs/desk/s1?service=visits HTTP/1.1\r\n\r\n");
        const auto cancel = entry.awaitSent<wire::CancelJob>();
        reply.requestId = cancel.requestId;
        reply.answer.key = cancel.key;
        reply.answer.done = true;
        entry.receive(100, reply);
        REQUIRE(jsonOf(client.receive())["state"] == "failed");
    }

    SECTION("a request with an invalid path segment or query parameter is refused with its name")
    {
        const std::vector<std::pair<std::string, std::string>> wrong {
            {"/v1/jobs/desk/s1", "service"},
            {"/v1/jobs/desk/%FF?service=visits", "submission"},
            {"/v1/jobs/desk/%00?service=visits", "submission"},
            {"/v1/jobs/desk/s1?service=visits&limit=1", "limit"},
            {"/v1/configuration?number=0", "number"},
            {"/v1/configuration?number=1x", "number"},
            {"/v1/members?all=1", "all"}};
        for (const auto &[target, field] : wrong) {
            client.send(get(target));
            const auto answer = client.receive();
            REQUIRE(answer.find("HTTP/1.1 400") == 0);
            REQUIRE(jsonOf(answer)["error"]["field"] == field);
        }
        client.send(post("/v1/configuration?author=a&dryRun=yes", "number: 1"));
        REQUIRE(jsonOf(client.receive())["error"]["field"] == "dryRun");
        client.send(post("/v1/configuration", "number: 1"));
        REQUIRE(jsonOf(client.receive())["error"]["field"] == "author");
        REQUIRE(entry.sink.take().empty());
    }

    SECTION("a configuration is sent to the control group, and its answer is returned")
    {
        client.send(post("/v1/configuration?author=ann&dryRun=true", entryConfig));
        const auto apply = entry.awaitSent<wire::ApplyConfig>();
        REQUIRE(apply.author == "ann");
        REQUIRE(apply.dryRun);
        REQUIRE(apply.text == entryConfig);
        wire::ApplyReply reply;
        reply.requestId = apply.requestId;
        reply.code = "conflict";
        reply.message = "another file with number 1 was accepted";
        reply.inForce.number = 1;
        reply.inForce.author = "bob";
        entry.receive(1, reply);
        const auto answer = client.receive();
        REQUIRE(answer.find("HTTP/1.1 409") == 0);
        REQUIRE(jsonOf(answer)["error"]["code"] == "conflict");
        REQUIRE(jsonOf(answer)["inForce"]["author"] == "bob");
    }

    SECTION("the configuration in force is returned from the entry's view")
    {
        client.send(get("/v1/configuration"));
        REQUIRE(jsonOf(client.receive())["text"] == entryConfig);
    }

    SECTION("answers of the control group are returned to the client")
    {
        client.send(get("/v1/members"));
        const auto query = entry.awaitSent<wire::ControlQuery>();
        REQUIRE(query.kind == "members");
        wire::ControlAnswer reply;
        reply.requestId = query.requestId;
        reply.ok = true;
        reply.json = "[]";
        entry.receive(1, reply);
        REQUIRE(endsWith(client.receive(), "\r\n\r\n[]"));

        client.send(get("/v1/configuration?number=7"));
        const auto config = entry.awaitSent<wire::ControlQuery>();
        REQUIRE(config.kind == "config");
        REQUIRE(config.argument == "7");
        reply.requestId = config.requestId;
        reply.ok = false;
        reply.json = R"({"error":"no such configuration"})";
        entry.receive(1, reply);
        const auto answer = client.receive();
        REQUIRE(answer.find("HTTP/1.1 404") == 0);
        REQUIRE(jsonOf(answer)["error"]["message"] == "no such configuration");
    }
}
