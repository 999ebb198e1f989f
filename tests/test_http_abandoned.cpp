#include "fakes.h"
#include "http_client.h"
#include "http_server_p.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <future>
#include <thread>

using namespace agatedrum;
using namespace agatedrum::test;

namespace {

constexpr int firstPort = 14170;
constexpr Millis dispatchTime {300}; ///< far longer than the server takes to dispatch a request that it has read

} // namespace

// A process that was frozen reads requests whose callers gave up meanwhile and submitted their jobs to another process.
// If it dispatched them, two runs of one task could overlap.
TEST_CASE("A request is not dispatched after its caller has closed the connection", "[http]")
{
    std::atomic<bool> isBlocked {false};
    std::atomic<int> jobs {0};
    std::promise<void> wakeUp;
    HttpServerOptions options;
    options.address = endpoint(firstPort);
    options.threads = 1;
    options.dropsAbandonedRequests = true;
    const auto server = startServer(options, [&](HttpServer &each) {
        // Blocks the only thread that reads requests, as a freeze does.
        each.route("GET", "/freeze", [&](const HttpRequest &, const HttpReply &reply) {
            isBlocked = true;
            wakeUp.get_future().wait();
            reply({});
        });
        each.route("POST", "/job", [&](const HttpRequest &, const HttpReply &reply) {
            ++jobs;
            reply({});
        });
    });
    RawClient freezer(options.address.port);
    freezer.send(get("/freeze"));
    while (!isBlocked) {
        std::this_thread::sleep_for(Millis(5));
    }
    auto caller = std::make_unique<RawClient>(options.address.port);
    caller->send(post("/job", "{}"));

    SECTION("the caller closes the connection before the server wakes")
    {
        caller.reset();
        wakeUp.set_value();
        std::this_thread::sleep_for(dispatchTime);
        CHECK(jobs == 0);
    }
    SECTION("the caller resets the connection before the server wakes")
    {
        caller->resetOnClose();
        caller.reset();
        wakeUp.set_value();
        std::this_thread::sleep_for(dispatchTime);
        CHECK(jobs == 0);
    }
    SECTION("the caller still waits when the server wakes")
    {
        wakeUp.set_value();
        CHECK_THAT(caller->receive(), Catch::Contains("200"));
        CHECK(jobs == 1);
    }
    SECTION("the next caller is served after an abandoned request")
    {
        caller.reset();
        wakeUp.set_value();
        RawClient next(options.address.port);
        next.send(post("/job", "{}"));
        CHECK_THAT(next.receive(), Catch::Contains("200"));
        CHECK(jobs == 1);
    }
    CHECK_THAT(freezer.receive(), Catch::Contains("200"));
}
