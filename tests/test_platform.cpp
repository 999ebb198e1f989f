#include <catch2/catch.hpp>

#include "platform_codec_p.h"

// Guards against mistakes in decoding the platform's documents: a malformed document that is accepted, a job that is
// not supported and yet runs, and a response of a backend server that is misread, so that the wrong runs count as
// ended.

using namespace agatedrum;
using namespace agatedrum::platform;

namespace {

const std::string configText
    = R"({"Version":7,"Routes":[{"Name":"r","Host":"h.example","PathPrefix":"/a/","Type":"unsafe","TimeoutMs":1500,)"
      R"("TargetDurationMs":60,"Priority":1,"Backend":"svc","MaxAttempts":3,"Stretch":1.6}],"Services":[{"Name":"svc",)"
      R"("HealthPath":"/health","MaxConnections":64,"RejectsOverload":false}],"Limits":{"MaxHeaderBytes":16384,)"
      R"("MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}})";
const std::string registrationText
    = R"({"Backend":"svc","Address":"10.128.0.9:8080","Zone":"z","Version":"v1","Slots":8,"State":"ready",)"
      R"("ColdRemainingMs":0,"Capacity":{"Cpu":16000,"MemMb":32768,"Gpus":0},"Labels":["a","r1-3"],"ClockMs":482113,)"
      R"("Sequence":4,"born":1790000000000})";

std::string replaceOnce(std::string text, const std::string &from, const std::string &to)
{
    const auto at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

} // namespace

TEST_CASE("decodeConfig() accepts a complete configuration and rejects a malformed one", "[platform]")
{
    SECTION("all fields of a valid configuration are decoded")
    {
        const auto decoded = decodeConfig(configText);
        REQUIRE(isOk(decoded));
        const auto &config = value(decoded);
        REQUIRE(config.number == 7);
        REQUIRE(config.routes.at(0).serviceName == "svc");
        REQUIRE(config.routes.at(0).latencyObjective == Millis(60));
        REQUIRE(config.routes.at(0).maxAttempts == 3);
        REQUIRE(config.limits.headerTimeout == Millis(3000));
        REQUIRE(config.source == configText);
        REQUIRE(checkRouting(config).empty());
    }
    SECTION("truncated text, a wrong type, a missing field, a negative time and a JSON array are rejected")
    {
        REQUIRE_FALSE(isOk(decodeConfig(configText.substr(0, configText.size() - 1))));
        REQUIRE_FALSE(isOk(decodeConfig(replaceOnce(configText, "\"Version\":7", "\"Version\":\"7\""))));
        REQUIRE_FALSE(isOk(decodeConfig(replaceOnce(configText, "\"Host\":\"h.example\",", ""))));
        REQUIRE_FALSE(isOk(decodeConfig(replaceOnce(configText, "\"TimeoutMs\":1500", "\"TimeoutMs\":-1"))));
        REQUIRE_FALSE(isOk(decodeConfig("[]")));
    }
}

TEST_CASE("decodeRegistration() decodes a valid registration and rejects a malformed one", "[platform]")
{
    const auto decoded = decodeRegistration("i-1", registrationText);
    REQUIRE(isOk(decoded));
    REQUIRE(value(decoded).server.startedAtMs == 1790000000000);
    REQUIRE(value(decoded).capacity.cpuMillis == 16000);
    REQUIRE(value(decoded).labels.size() == 2);

    REQUIRE(value(decodeRegistration("i-1", replaceOnce(registrationText, "ready", "draining"))).isDraining);
    // A registration that is refused would leave the earlier capacity in use.
    const auto shrunk = decodeRegistration("i-1", replaceOnce(registrationText, "\"Cpu\":16000", "\"Cpu\":0"));
    REQUIRE(isOk(shrunk));
    REQUIRE(value(shrunk).capacity.cpuMillis == 0);
    for (const auto &[from, to] : std::vector<std::pair<std::string, std::string>> {
             {"\"ready\"", "\"resting\""},
             {"\"Sequence\":4", "\"Sequence\":\"4\""},
             {"\"Backend\":\"svc\",", ""},
             {"\"10.128.0.9:8080\"", "\"somewhere\""},
             {"\"Capacity\":{\"Cpu\":16000,\"MemMb\":32768,\"Gpus\":0}", "\"Capacity\":16000"},
             {"[\"a\",\"r1-3\"]", "[1]"}}) {
        INFO(to);
        REQUIRE_FALSE(isOk(decodeRegistration("i-1", replaceOnce(registrationText, from, to))));
    }
    REQUIRE_FALSE(isOk(decodeRegistration("i-1", "\x80\x01")));
}

TEST_CASE("decodeJob() decodes a job into its tasks", "[platform]")
{
    const std::string text
        = R"({"Spec":"s","BestEffort":true,"Steps":[{"Count":4,"Cpu":500,"MemMb":256,"EstimatedMs":900,"DataRack":"r1"}]})";
    const auto decoded = decodeJob(text);
    REQUIRE(isOk(decoded));
    REQUIRE(value(decoded).tasks.size() == 4);
    REQUIRE(value(decoded).tasks[0].estimate == Millis(900));
    REQUIRE(value(decoded).unsupportedKind.empty());

    SECTION("unsupported kinds of job are named, so that they are refused as not run")
    {
        REQUIRE_FALSE(value(decodeJob(replaceOnce(text, "true", "false"))).unsupportedKind.empty());
        REQUIRE_FALSE(value(decodeJob(replaceOnce(text, "\"Cpu\"", "\"Gang\":true,\"Cpu\""))).unsupportedKind.empty());
        REQUIRE_FALSE(value(decodeJob(replaceOnce(text, "}]", "},{\"Count\":1}]"))).unsupportedKind.empty());
    }
    SECTION("a malformed job is rejected")
    {
        REQUIRE_FALSE(isOk(decodeJob(replaceOnce(text, "\"Count\":4", "\"Count\":0"))));
        REQUIRE_FALSE(isOk(decodeJob(replaceOnce(text, "\"Count\":4", "\"Count\":1000000"))));
        REQUIRE_FALSE(isOk(decodeJob(replaceOnce(text, "\"s\"", "5"))));
        REQUIRE_FALSE(isOk(decodeJob("")));
    }
}

TEST_CASE("Responses of a backend server are decoded into outcomes", "[platform]")
{
    TaskServerRef server {"i-1", 99, {}};

    SECTION("each refusal of an order maps to its own outcome, and the clock of a refusal is decoded")
    {
        const auto outcome = [&server](const std::string &reason) {
            return decodeOrderReply(409, "{\"ClockMs\":5,\"Reason\":\"" + reason + "\"}", server).outcome;
        };
        REQUIRE(decodeOrderReply(200, "{\"ClockMs\":5}", server).outcome == OrderOutcome::Accepted);
        REQUIRE(decodeOrderReply(409, "{\"ClockMs\":5,\"Reason\":\"fence\"}", server).clockMs == 5);
        REQUIRE(outcome("fence") == OrderOutcome::Fenced);
        REQUIRE(outcome("old") == OrderOutcome::RunTooLow);
        REQUIRE(outcome("late") == OrderOutcome::Late);
        REQUIRE(outcome("room") == OrderOutcome::NoCapacity);
        REQUIRE(outcome("new reason") == OrderOutcome::Invalid);
        // An undefined status does not mean that the order was not carried out.
        REQUIRE(decodeOrderReply(500, "", server).outcome == OrderOutcome::Unanswered);
        REQUIRE(decodeOrderReply(504, "", server).outcome == OrderOutcome::Unanswered);
        REQUIRE(decodeOrderReply(400, "", server).outcome == OrderOutcome::Invalid);
        REQUIRE(decodeOrderReply(421, "", server).outcome == OrderOutcome::OtherInstance);
        REQUIRE(decodeOrderReply(503, "", server).outcome == OrderOutcome::Unhealthy);
    }

    SECTION("lists of runs are decoded, and a malformed row does not affect the other rows")
    {
        const auto reply
            = decodePollReply(200,
                              R"({"ClockMs":5,"born":99,"Running":[["ab.0.0.3",2,"",41],7,["odd",1,"",0]],)"
                              R"("EndedRuns":[[58,"ab.0.0.9",1,"done",""],["x"],[59,"ab.0.0.1",1,"lapsed",""]]})",
                              server);
        REQUIRE(reply.outcome == OrderOutcome::Accepted);
        REQUIRE(reply.running.size() == 2);
        REQUIRE(reply.running[0].task == TaskName {"ab", 3});
        REQUIRE(reply.running[1].task.index == -1);
        REQUIRE(reply.ended.size() == 2);
        REQUIRE(reply.ended[0].outcome == RunEnd::Done);
        REQUIRE(reply.ended[1].outcome == RunEnd::LeaseExpired);
    }

    SECTION("an answer of another instance to an order shows that, and not its clock")
    {
        const auto refused = decodeOrderReply(503, R"({"ClockMs":5,"born":98})", server);
        REQUIRE(refused.outcome == OrderOutcome::OtherInstance);
        REQUIRE(refused.clockMs == 0);
        // The order was carried out, if not by the instance for which it was meant.
        REQUIRE(decodeOrderReply(200, R"({"ClockMs":5,"born":98})", server).outcome == OrderOutcome::Unanswered);
        REQUIRE(decodeOrderReply(500, R"({"ClockMs":5,"born":98})", server).outcome == OrderOutcome::Unanswered);
        REQUIRE(decodeOrderReply(200, R"({"ClockMs":5,"born":99})", server).outcome == OrderOutcome::Accepted);
    }

    SECTION("a poll response of another instance is not accepted")
    {
        const auto refused = decodePollReply(409, R"({"ClockMs":5,"born":98,"Reason":"fence"})", server);
        REQUIRE(refused.outcome == OrderOutcome::OtherInstance);
        REQUIRE(refused.clockMs == 0);
        REQUIRE(decodePollReply(200, R"({"ClockMs":5,"born":98,"Running":[],"EndedRuns":[]})", server).outcome
                == OrderOutcome::OtherInstance);
        REQUIRE(decodePollReply(200, "{}", server).outcome == OrderOutcome::Invalid);
    }
}
