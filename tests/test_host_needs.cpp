#include <catch2/catch.hpp>

#include "host_fixture.h"
#include "task_needs_p.h"

using namespace agatedrum;
using namespace agatedrum::test;

namespace {

ServerRegistration labelled(std::vector<std::string> labels, std::int64_t startedAtMs = 1000, std::int64_t sequence = 1)
{
    auto registration = HostFixture::registration(startedAtMs, sequence);
    registration.labels = std::move(labels);
    return registration;
}

/// A host whose backend server has the labels "a" and "r1".
struct LabelledHost : HostFixture
{
    LabelledHost()
    {
        this->core.registerServer(labelled({"a", "r1"}));
        this->answerPoll(pollReply());
        this->core.tick();
        this->takeReports();
    }
    wire::RunTasks orderFor(const std::string &label, const std::vector<std::int32_t> &indexes = {0},
                            std::int64_t cpuMillis = 1000)
    {
        auto message = this->makeOrder("job", indexes, cpuMillis);
        for (auto &order : message.orders) {
            order.requiredLabel = label;
        }
        return message;
    }
    wire::RunTasks limitedOrder(const std::string &job, const std::vector<std::int32_t> &indexes, int maxPerHost,
                                int group = 0)
    {
        auto message = this->makeOrder(job, indexes, 1000);
        for (auto &order : message.orders) {
            order.maxPerHost = maxPerHost;
            order.group = group;
        }
        return message;
    }
};

} // namespace

// Guards against a task that is started on a backend server of another kind: the entry that placed it knew an earlier
// life or an earlier report of the host.
TEST_CASE("A host runs a task only if its backend server has the required label", "[host]")
{
    LabelledHost host;

    SECTION("a task whose label it has is started")
    {
        host.receiveFromEntry(host.orderFor("r1"));
        REQUIRE(host.server.starts.size() == 1);
    }
    SECTION("a task whose label it does not have is refused at once")
    {
        host.receiveFromEntry(host.orderFor("b"));
        REQUIRE(host.server.starts.empty());
        REQUIRE(host.takeReports().at(0).phase == wire::TaskPhase::REFUSED);
    }
    SECTION("a task that an entry placed at the kind of before is refused by the next life")
    {
        host.core.registerServer(labelled({"b", "r1"}, 2000));
        host.answerPoll(HostFixture::pollReply());
        REQUIRE(host.core.isReady());
        host.receiveFromEntry(host.orderFor("a"));
        REQUIRE(host.server.starts.empty());
        REQUIRE(host.takeReports().at(0).phase == wire::TaskPhase::REFUSED);
    }
    SECTION("a task that waits is refused when the label goes, and not started in its place")
    {
        host.receiveFromEntry(host.makeOrder("large", {7}, 16000));
        host.receiveFromEntry(host.orderFor("a"));
        host.answerStart(0, OrderOutcome::Accepted);
        REQUIRE(host.takeReports().at(0).phase == wire::TaskPhase::QUEUED);
        host.core.registerServer(labelled({"b", "r1"}, 1000, 2));
        REQUIRE(host.takeReports().at(0).phase == wire::TaskPhase::REFUSED);
        host.answerPoll(HostFixture::pollReply({}, {{1, {"large", 7}, 1, RunEnd::Done}}));
        REQUIRE(host.server.starts.size() == 1);
    }
    SECTION("an order of an earlier version, which names no label, is not held up")
    {
        host.receiveFromEntry(host.orderFor(""));
        REQUIRE(host.server.starts.size() == 1);
    }
}

// Guards against more tasks of a group than a backend server may have: each entry, and each submission of a job, counts
// only the tasks that it placed itself.
TEST_CASE("A host runs as many tasks of a group as the group may have there", "[host]")
{
    LabelledHost host;
    host.receiveFromEntry(host.limitedOrder("job", {0, 1, 2}, 2));
    REQUIRE(host.server.starts.size() == 2);
    REQUIRE(host.takeReports().at(2).phase == wire::TaskPhase::REFUSED);

    SECTION("a run that is being stopped counts until its end")
    {
        host.answerStart(0, OrderOutcome::Accepted);
        host.answerStart(1, OrderOutcome::Accepted);
        host.receiveStop("job", {0});
        host.server.stops.at(0).reply({OrderOutcome::Accepted, 5000});
        host.receiveFromEntry(host.limitedOrder("job", {3}, 2), "entry-2");
        REQUIRE(host.server.starts.size() == 2);
        host.clock.advance(Millis(5));
        host.renewLease();
        host.answerPoll(HostFixture::pollReply({{{"job", 1}, 1}}, {{1, {"job", 0}, 1, RunEnd::Stopped}}));
        host.receiveFromEntry(host.limitedOrder("job", {4}, 2), "entry-2");
        REQUIRE(host.server.starts.size() == 3);
    }
    SECTION("other groups and other jobs have limits of their own")
    {
        host.receiveFromEntry(host.limitedOrder("job", {5}, 2, 1));
        host.receiveFromEntry(host.limitedOrder("other", {6}, 2));
        REQUIRE(host.server.starts.size() == 4);
    }
}

// Guards against a task that is started by a backend server of another service.
TEST_CASE("A host runs only tasks of its backend server's service", "[host]")
{
    LabelledHost host;
    auto message = host.orderFor("a");
    message.serviceName = "bookings";
    host.receiveFromEntry(message);
    REQUIRE(host.server.starts.empty());
    REQUIRE(host.takeReports().at(0).phase == wire::TaskPhase::REFUSED);
}

// Guards against entries and hosts that decide differently about the same task.
TEST_CASE("The needs of a task are met by capacity, label and number of tasks", "[host]")
{
    TaskNeeds needs;
    needs.demand.cpuMillis = 4000;
    needs.requiredLabel = "a";
    needs.maxPerHost = 2;
    wire::Resources capacity;
    capacity.cpuMillis = 4000;
    REQUIRE(unmetNeed(needs, {capacity, {"r1", "a"}}, 1).empty());
    REQUIRE_FALSE(unmetNeed(needs, {capacity, {"r1", "b"}}, 1).empty());
    REQUIRE_FALSE(unmetNeed(needs, {capacity, {}}, 1).empty());
    REQUIRE_FALSE(unmetNeed(needs, {capacity, {"a"}}, 2).empty());
    capacity.cpuMillis = 3999;
    REQUIRE_FALSE(unmetNeed(needs, {capacity, {"a"}}, 0).empty());
    needs = {};
    REQUIRE(unmetNeed(needs, {capacity, {}}, 100).empty());
}
