#include "fakes.h"
#include "instance_server.h"
#include "platform_server_p.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <future>
#include <memory>
#include <set>

using namespace agatedrum;
using namespace agatedrum::platform;
using namespace agatedrum::test;

namespace {

constexpr int port = 13604;
constexpr auto startPath = "/run-start";

/// An instance of the backend server i-1, and a client that sends it orders.
struct Orders
{
    PlatformServerClient client;
    std::unique_ptr<InstanceServer> server;

    void begin(std::int64_t startedAtMs, InstanceServer::Behavior behavior = {})
    {
        this->server.reset();
        this->server = std::make_unique<InstanceServer>(port, startedAtMs, behavior);
    }
    std::future<OrderOutcome> start(std::int64_t startedAtMs, int index = 0)
    {
        auto order = orderFor<StartOrder>(startedAtMs);
        order.task = {"5c0e7a21d94b36f8", index};
        order.run = 1;
        order.leaseUntilMs = 6000;
        return this->sent<OrderReply>([&](auto reply) { this->client.start(order, std::move(reply)); });
    }
    std::future<OrderOutcome> stop(std::int64_t startedAtMs)
    {
        auto order = orderFor<StopOrder>(startedAtMs);
        order.task = {"5c0e7a21d94b36f8", 0};
        order.run = 1;
        return this->sent<OrderReply>([&](auto reply) { this->client.stop(order, std::move(reply)); });
    }
    std::future<OrderOutcome> poll(std::int64_t startedAtMs)
    {
        auto order = orderFor<PollOrder>(startedAtMs);
        order.lastSeenEnd = 3;
        order.leaseUntilMs = 6000;
        return this->sent<PollReply>([&](auto reply) { this->client.poll(order, std::move(reply)); });
    }

private:
    template<typename Order>
    static Order orderFor(std::int64_t startedAtMs)
    {
        Order order;
        order.server = {"i-1", startedAtMs, {}};
        order.server.address.host = InstanceServer::host;
        order.server.address.port = port;
        order.fence = 7;
        return order;
    }
    template<typename Reply, typename Send>
    static std::future<OrderOutcome> sent(Send send)
    {
        auto promise = std::make_shared<std::promise<OrderOutcome>>();
        auto outcome = promise->get_future();
        send([promise](const Reply &reply) { promise->set_value(reply.outcome); });
        return outcome;
    }
};

/// Returns whether the first request on each connection grants, acknowledges, starts and stops nothing.
bool beginWithChecks(const std::vector<InstanceServer::Request> &requests)
{
    std::set<int> begun;
    return std::all_of(requests.begin(), requests.end(), [&begun](const InstanceServer::Request &request) {
        const bool isFirst = begun.insert(request.connection).second;
        return !isFirst
            || (request.path == "/hold" && request.body.find("DeadlineMs") == std::string::npos
                && request.body.find("\"AckCursor\":0") != std::string::npos);
    });
}

} // namespace

// Guards against orders that reach the next life of a backend server, which has the name and the address of the one
// before: it has another capacity, so that they overload it, and its runs and ends are numbered anew.
TEST_CASE("An order for an instance that has ended does not reach the next one", "[platform]")
{
    Orders orders;
    orders.begin(1000);
    REQUIRE(orders.poll(1000).get() == OrderOutcome::Accepted);
    REQUIRE(orders.start(1000).get() == OrderOutcome::Accepted);
    orders.begin(2000);
    REQUIRE(orders.start(1000).get() == OrderOutcome::OtherInstance);
    REQUIRE(orders.stop(1000).get() == OrderOutcome::OtherInstance);
    REQUIRE(orders.poll(1000).get() == OrderOutcome::OtherInstance);
    REQUIRE(orders.server->requestsTo(startPath).empty());
    REQUIRE(orders.server->requestsTo("/run-stop").empty());
    REQUIRE(beginWithChecks(orders.server->requests()));
    // The next instance gets its own orders on connections of its own.
    REQUIRE(orders.start(2000).get() == OrderOutcome::Accepted);
    REQUIRE(orders.server->requestsTo(startPath).size() == 1);
    REQUIRE(beginWithChecks(orders.server->requests()));
}

// Guards against a check for each order, and against a new connection for each order.
TEST_CASE("An instance is checked once on each connection", "[platform]")
{
    Orders orders;

    SECTION("orders one after the other use one connection")
    {
        orders.begin(1000);
        for (int i = 0; i < 20; ++i) {
            REQUIRE(orders.start(1000, i).get() == OrderOutcome::Accepted);
        }
        REQUIRE(orders.server->connections() == 1);
        REQUIRE(orders.server->requestsTo("/hold").size() == 1);
    }
    SECTION("orders at the same time use a limited number of connections, and all are sent")
    {
        orders.begin(1000, {std::chrono::milliseconds(8), true, true});
        constexpr int orderCount = 24;
        std::vector<std::future<OrderOutcome>> outcomes;
        outcomes.reserve(orderCount);
        for (int i = 0; i < orderCount; ++i) {
            outcomes.push_back(orders.start(1000, i));
        }
        for (auto &outcome : outcomes) {
            REQUIRE(outcome.get() == OrderOutcome::Accepted);
        }
        REQUIRE(orders.server->connections() <= 6);
        REQUIRE(static_cast<int>(orders.server->requestsTo("/hold").size()) == orders.server->connections());
        REQUIRE(beginWithChecks(orders.server->requests()));
    }
}

// Guards against an order that counts as possibly carried out although it was not sent, which keeps its task from
// running elsewhere for seconds, and against one that counts as not sent although it was.
TEST_CASE("An order without a connection to its instance was not sent", "[platform]")
{
    Orders orders;

    SECTION("if the backend server refuses connections")
    {
        REQUIRE(orders.start(1000).get() == OrderOutcome::NotSent);
        REQUIRE(orders.poll(1000).get() == OrderOutcome::NotSent);
    }
    SECTION("if the backend server does not show which instance it is")
    {
        orders.begin(1000, {std::chrono::milliseconds(0), false, true});
        REQUIRE(orders.start(1000).get() == OrderOutcome::NotSent);
        REQUIRE(orders.poll(1000).get() == OrderOutcome::Unanswered);
        REQUIRE(orders.server->requestsTo(startPath).empty());
    }
    SECTION("if the backend server ends each connection after one answer")
    {
        orders.begin(1000, {std::chrono::milliseconds(0), true, false});
        REQUIRE(orders.start(1000).get() == OrderOutcome::NotSent);
        REQUIRE(orders.poll(1000).get() == OrderOutcome::Unanswered);
        REQUIRE(orders.server->requestsTo(startPath).empty());
    }
    SECTION("but one that was sent and not answered may be carried out")
    {
        orders.begin(1000, {std::chrono::milliseconds(400), true, true});
        REQUIRE(orders.start(1000).get() == OrderOutcome::Unanswered);
        REQUIRE(orders.server->requestsTo(startPath).size() == 1);
    }
    SECTION("but one whose connection ended in place of its answer may be carried out")
    {
        orders.begin(1000, {std::chrono::milliseconds(0), true, true, false});
        REQUIRE(orders.start(1000).get() == OrderOutcome::Unanswered);
        REQUIRE(orders.server->requestsTo(startPath).size() == 1);
    }
}
