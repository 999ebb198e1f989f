#include <catch2/catch.hpp>

#include "config_cluster_p.h"
#include "http_client.h"
#include "platform_codec_p.h"
#include "platform_server_p.h"

#include <fmt/format.h>

#include <cstdint>
#include <future>
#include <limits>
#include <memory>
#include <string>
#include <utility>
#include <vector>

// Guards against documents of another party that end the process or are misread: an exception that leaves a thread, a
// recursion that exhausts the stack, a number that is truncated or wraps around, and an address that is no address.

using namespace agatedrum;
using namespace agatedrum::platform;

namespace {

constexpr std::int64_t secondsPerDay = 86400;

std::string repeated(const std::string &text, std::size_t count)
{
    std::string result;
    result.reserve(text.size() * count);
    for (std::size_t i = 0; i < count; ++i) {
        result += text;
    }
    return result;
}

/// Returns JSON values that are nested very deeply, in arrays and in objects, complete and truncated. All are smaller
/// than the largest body that is read.
std::vector<std::string> nestedValues()
{
    constexpr std::size_t depth = 400000;
    return {repeated("[", depth) + repeated("]", depth), repeated("{\"a\":", depth) + "1" + repeated("}", depth),
            repeated("[", depth), repeated("{\"a\":", depth)};
}

std::string registrationWith(const std::string &fields)
{
    return R"({"Backend":"svc","Zone":"z","State":"ready",)" + fields + "}";
}

const std::string address = R"("Address":"10.0.0.9:80")";
const std::string capacity = R"("Capacity":{"Cpu":16000})";

bool isRegistration(const std::string &fields, const std::string &id = "i-1")
{
    return isOk(decodeRegistration(id, registrationWith(fields)));
}

std::string jobWith(const std::string &stepFields)
{
    return R"({"Spec":"s","BestEffort":true,"Steps":[{)" + stepFields + "}]}";
}

std::string configWith(const std::string &routeFields, const std::string &limits = "{}")
{
    return R"({"Version":7,"Routes":[{"Name":"r","Host":"h","PathPrefix":"/a/","Backend":"svc",)" + routeFields
        + R"(}],"Services":[{"Name":"svc"}],"Limits":)" + limits + "}";
}

PollReply pollReply(const std::string &fields)
{
    return decodePollReply(200, "{\"born\":99," + fields + "}", TaskServerRef {"i-1", 99, {}});
}

} // namespace

TEST_CASE("A very deeply nested document ends no process", "[odd]")
{
    for (const auto &nested : nestedValues()) {
        INFO(nested.substr(0, 10));
        REQUIRE_FALSE(isOk(decodeRegistration("i-1", nested)));
        REQUIRE_FALSE(isRegistration(fmt::format(R"({},"Sequence":1,"Capacity":{})", address, nested)));
        REQUIRE_FALSE(isRegistration(fmt::format(R"({},{},"Sequence":1,"Labels":[{}])", address, capacity, nested)));
        REQUIRE_FALSE(isOk(decodeJob(nested)));
        REQUIRE_FALSE(isOk(decodeJob(fmt::format(R"({{"Spec":"s","Steps":{}}})", nested))));
        REQUIRE_FALSE(isOk(decodeJob(jobWith("\"Count\":" + nested))));
        REQUIRE_FALSE(isOk(decodeConfig(nested)));
        REQUIRE_FALSE(isOk(decodeConfig("{\"Version\":1,\"Routes\":[" + nested + "],\"Services\":[]}")));
        REQUIRE(decodeOrderReply(409, nested, {}).outcome == OrderOutcome::Invalid);
        REQUIRE(pollReply("\"Running\":" + nested).outcome == OrderOutcome::Invalid);
    }
    SECTION("a field without a meaning here may be nested; the rest of the document holds")
    {
        const auto nested = nestedValues().front();
        REQUIRE(isRegistration(address + "," + capacity + ",\"Sequence\":1,\"New\":" + nested));
        const auto config = decodeConfig(configWith("\"TimeoutMs\":1500,\"New\":" + nested));
        REQUIRE(isOk(config));
        REQUIRE(isOk(parseRouting(serializeRouting(value(config)))));
        REQUIRE(pollReply("\"Running\":[[" + nested + ",1]],\"EndedRuns\":[]").outcome == OrderOutcome::Accepted);
    }
}

TEST_CASE("A refusal whose reason is no text is decoded without an exception", "[odd]")
{
    // The replies are decoded on the thread of the HTTP client, which an exception would end together with the process.
    for (const auto *reason : {"5", "null", "[]", "{\"a\":1}", "true"}) {
        const auto body = std::string("{\"ClockMs\":5,\"Reason\":") + reason + "}";
        INFO(body);
        REQUIRE_NOTHROW(decodeOrderReply(409, body, {}));
        REQUIRE_NOTHROW(decodePollReply(409, body, {}));
        REQUIRE(decodeOrderReply(409, body, {}).outcome == OrderOutcome::Invalid);
        REQUIRE(decodeOrderReply(409, body, {}).clockMs == 5);
    }
    for (const auto *body : {"", "5", "[]", "null", "\x80\x01", "{\"Reason\":1e400}"}) {
        INFO(body);
        REQUIRE(decodeOrderReply(409, body, {}).outcome == OrderOutcome::Invalid);
        REQUIRE(decodePollReply(200, body, {}).outcome == OrderOutcome::Invalid);
    }
}

TEST_CASE("The client of a backend server outlives a refusal whose reason is no text", "[odd]")
{
    HttpServerOptions options;
    options.address.host = "127.0.0.1";
    options.address.port = 43170;
    const auto server = test::startServer(options, [](HttpServer &newServer) {
        newServer.setFallback([](const HttpRequest &, const HttpReply &reply) {
            HttpResponse response;
            response.status = 409;
            response.body = R"({"ClockMs":5,"Reason":[5]})";
            reply(std::move(response));
        });
        // The answer that shows the instance, without which no order is sent.
        newServer.route("POST", "/hold", [](const HttpRequest &, const HttpReply &reply) {
            HttpResponse response;
            response.body = R"({"ClockMs":5,"born":0,"Running":[],"EndedRuns":[]})";
            reply(std::move(response));
        });
    });
    StartOrder order;
    order.server.id = "i-1";
    order.server.address = options.address;
    PlatformServerClient client;
    const auto callOnce = [&client, &order] {
        const auto answered = std::make_shared<std::promise<OrderReply>>();
        client.start(order, [answered](const OrderReply &reply) { answered->set_value(reply); });
        auto answer = answered->get_future();
        REQUIRE(answer.wait_for(std::chrono::seconds(5)) == std::future_status::ready);
        return answer.get().outcome;
    };
    // On a busy machine, the answer may miss the client's time limit of 100 ms.
    auto outcome = callOnce();
    const auto isLate = [&outcome] { return outcome == OrderOutcome::Unanswered || outcome == OrderOutcome::NotSent; };
    for (int i = 0; i < 100 && isLate(); ++i) {
        outcome = callOnce();
    }
    REQUIRE(outcome == OrderOutcome::Invalid);
}

TEST_CASE("A registration with a number or an address that cannot be is refused", "[odd]")
{
    REQUIRE(isRegistration(address + "," + capacity + ",\"Sequence\":1,\"born\":1790000000000,\"ClockMs\":482113"));

    SECTION("numbers beyond the range of their type or of what they count")
    {
        for (const auto *number : {"9223372036854775807", "18446744073709551615", "100000000000000000000", "1e400",
                                   "-1", "-9223372036854775808", "1.5", "1e18"}) {
            INFO(number);
            REQUIRE_FALSE(isRegistration(fmt::format(R"({},{},"Sequence":{})", address, capacity, number)));
            REQUIRE_FALSE(isRegistration(fmt::format(R"({},{},"Sequence":1,"born":{})", address, capacity, number)));
            REQUIRE_FALSE(isRegistration(fmt::format(R"({},{},"Sequence":1,"ClockMs":{})", address, capacity, number)));
            for (const auto *resource : {"Cpu", "MemMb", "Gpus"}) {
                REQUIRE_FALSE(isRegistration(address + R"(,"Sequence":1,"Capacity":{"Cpu":1,")" + resource
                                             + "\":" + number + "}"));
            }
        }
    }
    SECTION("ports out of range, and texts around an address that a later parser would cut off or misread")
    {
        for (const auto *text : {"10.0.0.9",
                                 "10.0.0.9:",
                                 "10.0.0.9:0",
                                 "10.0.0.9:-1",
                                 "10.0.0.9:65536",
                                 "10.0.0.9:4294967376",
                                 "10.0.0.9:99999999999999999999",
                                 "10.0.0.9:80x",
                                 "10.0.0.9: 80",
                                 "10.0.0.9:+80",
                                 "10.0.0.9:80 ",
                                 "10.0.0.9:1e3",
                                 ":80",
                                 "10.0.0:80",
                                 "10.0.0.256:80",
                                 "host:80",
                                 " 10.0.0.9:80",
                                 "[::1]:80",
                                 "10.0.0.9/x:80",
                                 R"(10.0.0.9\u0000:80)",
                                 R"(10.0.0.9\u0000.example:80)",
                                 R"(10.0.0.9:80\u0000)"}) {
            INFO(text);
            REQUIRE_FALSE(isRegistration(std::string("\"Address\":\"") + text + "\"," + capacity + ",\"Sequence\":1"));
        }
    }
    SECTION("an id that cannot be sent in a header")
    {
        const auto fields = address + "," + capacity + ",\"Sequence\":1";
        REQUIRE_FALSE(isRegistration(fields, "i-1\r\nX: y"));
        REQUIRE_FALSE(isRegistration(fields, "i 1"));
        REQUIRE_FALSE(isRegistration(fields, std::string("i\0001", 3)));
        REQUIRE_FALSE(isRegistration(fields, std::string(5000, 'i')));
    }
}

TEST_CASE("A reply with a number out of range is decoded as far as it makes sense", "[odd]")
{
    SECTION("a clock value that cannot be counts as unknown")
    {
        for (const auto *clock : {"9223372036854775807", "18446744073709551615", "-5", "1e400", "1.5", "\"5\"", "[5]",
                                  "100000000000000000", "null"}) {
            INFO(clock);
            REQUIRE(decodeOrderReply(200, std::string("{\"ClockMs\":") + clock + "}", {}).clockMs == 0);
        }
    }
    SECTION("a percentage stays within 0 to 100, so that it predicts no wrong end")
    {
        const auto percentOf = [](const std::string &percent) {
            const auto reply = pollReply(R"("Running":[["ab.0.0.3",2,"",)" + percent + R"(]],"EndedRuns":[])");
            REQUIRE(reply.running.size() == 1);
            return reply.running[0].percent;
        };
        REQUIRE(percentOf("41") == 41);
        REQUIRE(percentOf("-1") == 0);
        REQUIRE(percentOf("101") == 100);
        REQUIRE(percentOf("4294967297") == 100);
        REQUIRE(percentOf("9223372036854775807") == 100);
        REQUIRE(percentOf("18446744073709551615") == 100);
        REQUIRE(percentOf("-9223372036854775808") == 0);
        REQUIRE(percentOf("\"41\"") == 0);
    }
    SECTION("a row whose run or end number cannot be is skipped, and the other rows hold")
    {
        for (const auto *number : {"9223372036854775807", "18446744073709551615", "-1", "0", "1.5"}) {
            INFO(number);
            const auto reply = pollReply(R"("Running":[["ab.0.0.3",)" + std::string(number)
                                         + R"(,"",1],["ab.0.0.4",2,"",1]],"EndedRuns":[[)" + number
                                         + R"(,"ab.0.0.1",1,"done",""],[58,"ab.0.0.2",)" + number
                                         + R"(,"done",""],[59,"ab.0.0.5",1,"done",""]])");
            REQUIRE(reply.outcome == OrderOutcome::Accepted);
            REQUIRE(reply.running.size() == 1);
            REQUIRE(reply.running[0].run == 2);
            REQUIRE(reply.ended.size() == 1);
            REQUIRE(reply.ended[0].number == 59);
        }
    }
    SECTION("a task name with an index out of range keeps its text, so that a stop names the right task")
    {
        const auto reply
            = pollReply(R"("Running":[["ab.0.0.99999999999",1,"",0],["ab.0.0.-1",1,"",0]],"EndedRuns":[])");
        REQUIRE(reply.running.at(0).task == TaskName {"ab.0.0.99999999999", -1});
        StopOrder stop;
        stop.task = reply.running.at(1).task;
        REQUIRE(encodeStop(stop).find("\"ab.0.0.-1\"") != std::string::npos);
    }
}

TEST_CASE("A job with a huge number is decoded to values that do not overflow", "[odd]")
{
    for (const auto *number : {"9223372036854775807", "4294967296", "2147483648", "4294967297"}) {
        INFO(number);
        const auto decoded = decodeJob(
            jobWith(fmt::format(R"("Cpu":{0},"MemMb":{0},"Gpus":{0},"EstimatedMs":{0},"MaxPerServer":{0})", number)));
        REQUIRE(isOk(decoded));
        const auto &task = value(decoded).tasks.at(0);
        REQUIRE(task.maxPerHost == std::numeric_limits<int>::max());
        REQUIRE(task.estimate == std::chrono::seconds(secondsPerDay));
        REQUIRE(task.demand.cpuMillis > 1000000000);
        REQUIRE(task.demand.cpuMillis < std::numeric_limits<std::int64_t>::max() / 1000000);
        REQUIRE(task.demand.memoryMb < std::numeric_limits<std::int64_t>::max() / 1000000);
    }
    for (const auto *step : {"[]", "5", "null", "\"a\"", "[[]]"}) {
        INFO(step);
        REQUIRE_FALSE(isOk(decodeJob(std::string(R"({"Spec":"s","BestEffort":true,"Steps":[)") + step + "]}")));
    }
    for (const auto *number : {"18446744073709551615", "100000000000000000000", "1e400", "-1", "1.5"}) {
        INFO(number);
        for (const auto *field : {"Count", "Cpu", "MemMb", "Gpus", "EstimatedMs", "MaxPerServer"}) {
            INFO(field);
            REQUIRE_FALSE(isOk(decodeJob(jobWith(std::string("\"") + field + "\":" + number))));
        }
    }
}

TEST_CASE("A configuration with huge numbers is read by every entry as values that do not overflow", "[odd]")
{
    const auto parsed = [](const std::string &text) {
        const auto decoded = decodeConfig(text);
        REQUIRE(isOk(decoded));
        REQUIRE(checkRouting(value(decoded)).empty());
        const auto routing = parseRouting(serializeRouting(value(decoded)));
        REQUIRE(isOk(routing));
        REQUIRE(value(routing).source == text);
        return value(routing);
    };
    const std::string huge = "9223372036854775807";

    SECTION("times are at most a day")
    {
        const auto route = parsed(configWith("\"TimeoutMs\":" + huge + ",\"TargetDurationMs\":" + huge)).routes.at(0);
        REQUIRE(route.timeout == std::chrono::seconds(secondsPerDay));
        REQUIRE(route.latencyObjective == std::chrono::seconds(secondsPerDay));
    }
    SECTION("a number of attempts beyond an int does not become a small or a negative one")
    {
        for (const auto *attempts : {"2147483648", "4294967296", "4294967297", "9223372036854775807"}) {
            INFO(attempts);
            const auto route = parsed(configWith("\"TimeoutMs\":1,\"MaxAttempts\":" + std::string(attempts)));
            REQUIRE(route.routes.at(0).maxAttempts == std::numeric_limits<int>::max());
        }
    }
    SECTION("a stretch is finite and small enough to multiply a time by it")
    {
        REQUIRE(parsed(configWith("\"TimeoutMs\":1,\"Stretch\":1e308")).routes.at(0).stretch <= 1e6);
        REQUIRE_FALSE(isOk(decodeConfig(configWith("\"TimeoutMs\":1,\"Stretch\":1e400"))));
    }
    SECTION("limits on requests can be added and multiplied")
    {
        const auto limits
            = parsed(configWith("\"TimeoutMs\":1",
                                R"({"MaxHeaderBytes":)" + huge + R"(,"MaxBodyBytes":)" + huge + R"(,"HeaderTimeoutMs":)"
                                    + huge + R"(,"IdleTimeoutMs":)" + huge + "}"))
                  .limits;
        REQUIRE(limits.maxHeaderBytes <= std::numeric_limits<std::size_t>::max() / 1000);
        REQUIRE(limits.maxBodyBytes <= std::numeric_limits<std::size_t>::max() / 1000);
        REQUIRE(limits.maxBodyBytes >= 1000000000);
        REQUIRE(limits.headerTimeout == std::chrono::seconds(secondsPerDay));
        REQUIRE(limits.idleTimeout == std::chrono::seconds(secondsPerDay));
    }
    SECTION("limits and lists of another type are refused")
    {
        for (const auto *limits : {"[]", "5", "null", "\"a\""}) {
            INFO(limits);
            REQUIRE_FALSE(isOk(decodeConfig(configWith("\"TimeoutMs\":1", limits))));
        }
    }
    SECTION("numbers out of range are refused")
    {
        for (const auto *number : {"18446744073709551615", "100000000000000000000", "-1", "1.5", "1e400"}) {
            INFO(number);
            for (const auto *field : {"TimeoutMs", "TargetDurationMs", "MaxAttempts", "Priority"}) {
                REQUIRE_FALSE(
                    isOk(decodeConfig(configWith(std::string("\"TimeoutMs\":1,\"") + field + "\":" + number))));
            }
        }
    }
}

TEST_CASE("A YAML document that contains itself, or is nested or expanded without limit, is refused", "[odd]")
{
    // Guards against a configuration or a settings file that ends each process that reads it.
    const auto isConfig = [](const std::string &text) { return isOk(parseConfig(text + "\n...\n")); };
    const std::string services = "number: 1\nservices: [{name: visits}]\n";
    REQUIRE(isConfig(services));
    REQUIRE_FALSE(isConfig(services + "teams: &a [*a]"));
    REQUIRE_FALSE(isConfig(services + "teams: &a [{name: x, b: *a}]"));
    REQUIRE_FALSE(isConfig(services + "teams: " + repeated("[", 100000) + repeated("]", 100000)));
    REQUIRE_FALSE(isConfig(services + "teams: " + repeated("{a: ", 100000) + "1" + repeated("}", 100000)));
    REQUIRE_FALSE(isConfig(services + repeated("- ", 100000)));

    std::string expanded = "a0: &a0 [x]\n";
    for (int i = 1; i < 12; ++i) {
        const auto reference = "*a" + std::to_string(i - 1);
        expanded += "a" + std::to_string(i) + ": &a" + std::to_string(i) + " [" + reference;
        for (int copies = 1; copies < 9; ++copies) {
            expanded += ", " + reference;
        }
        expanded += "]\n";
    }
    REQUIRE_FALSE(isConfig(services + expanded));
}
