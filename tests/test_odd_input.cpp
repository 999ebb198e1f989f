#include <catch2/catch.hpp>

#include "config_cluster_p.h"
#include "http_client.h"
#include "platform_codec_p.h"
#include "platform_server_p.h"

#include <cstdint>
#include <future>
#include <limits>
#include <string>
#include <utility>
#include <vector>

// Guards against documents of another party that end the process or are misread: an exception that leaves a thread, a
// recursion that exhausts the stack, a number that is truncated or wraps around, and an address that is no address.

using namespace agatedrum;
using namespace agatedrum::platform;

TEST_CASE("A refusal whose reason is no text is decoded without an exception", "[odd]")
{
    // The replies are decoded on the thread of the HTTP client, which an exception would end together with the process.
    for (const auto *reason : {"5", "null", "[]", "{\"a\":1}", "true"}) {
        const auto body = std::string("{\"ClockMs\":5,\"Reason\":") + reason + "}";
        INFO(body);
        REQUIRE_NOTHROW(decodeOrderReply(409, body));
        REQUIRE_NOTHROW(decodePollReply(409, body, {}));
        REQUIRE(decodeOrderReply(409, body).outcome == OrderOutcome::Invalid);
        REQUIRE(decodeOrderReply(409, body).clockMs == 5);
    }
    for (const auto *body : {"", "5", "[]", "null", "\x80\x01", "{\"Reason\":1e400}"}) {
        INFO(body);
        REQUIRE(decodeOrderReply(409, body).outcome == OrderOutcome::Invalid);
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
    });
    std::promise<OrderReply> answered;
    PlatformServerClient client;
    StartOrder order;
    order.server.id = "i-1";
    order.server.address = options.address;
    client.start(order, [&answered](const OrderReply &reply) { answered.set_value(reply); });
    auto answer = answered.get_future();
    REQUIRE(answer.wait_for(std::chrono::seconds(5)) == std::future_status::ready);
    REQUIRE(answer.get().outcome == OrderOutcome::Invalid);
}
