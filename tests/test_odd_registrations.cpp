#include <catch2/catch.hpp>

#include "host_fixture.h"

#include <string>

// Guards against a host that ends the tasks of its backend server, or ignores the backend server from then on, because
// another writer sent one registration that is odd but can be decoded.

using namespace agatedrum;
using namespace agatedrum::test;

namespace {

constexpr std::int64_t hugeNumber = 1000000000000; ///< decodable, and far above any true number of a registration
constexpr std::int64_t farFutureMs = 4000000000000; ///< more than 70 years after the wall clock of the tests

ServerRegistration otherServer(std::int64_t startedAtMs)
{
    auto registration = HostFixture::registration(startedAtMs, 1);
    registration.server.id = "i-odd";
    registration.server.address = endpoint(9999);
    return registration;
}

ServerRegistration sequenced(std::int64_t sequence, bool isDraining = false)
{
    auto registration = HostFixture::registration(1000, sequence);
    registration.isDraining = isDraining;
    return registration;
}

PollReply failedPoll(OrderOutcome outcome)
{
    PollReply reply;
    reply.outcome = outcome;
    return reply;
}

/// Returns options of a host that accepts tasks without registrations, so that only the numbering decides.
HostOptions optionsWithLongValidity()
{
    auto options = HostFixture::hostOptions();
    options.capacityValidity = Millis(60000);
    return options;
}

/// Returns the id of the backend server that the host polled last.
std::string polledServer(const HostFixture &host)
{
    return host.server.polls.back().order.server.id;
}

} // namespace

TEST_CASE("A registration of another server does not displace a backend server that answers", "[odd]")
{
    HostFixture host;
    host.becomeAccepting();
    host.receiveFromEntry(host.makeOrder("a", {0}));
    host.answerStart(0, OrderOutcome::Accepted);
    host.takeReports();

    SECTION("neither one that seems to have started later, nor one that has started in the future")
    {
        for (const auto startedAtMs : {std::int64_t {1000}, std::int64_t {2000}, farFutureMs}) {
            INFO(startedAtMs);
            host.core.registerServer(otherServer(startedAtMs));
            REQUIRE(host.takeReports().empty());
            REQUIRE(host.core.isReady());
            host.answerPoll(HostFixture::pollReply({{{"a", 0}, 1, 10}}));
            REQUIRE(polledServer(host) == "i-1");
        }
        host.core.registerServer(sequenced(2, true));
        REQUIRE_FALSE(host.core.isReady()); // the backend server is still followed
    }

    SECTION("nor one with the same id whose start lies in the future")
    {
        host.core.registerServer(HostFixture::registration(farFutureMs, 1));
        REQUIRE(host.takeReports().empty());
        REQUIRE(host.core.isReady());
    }

    SECTION("nor one with the same id and start time and another address or service")
    {
        auto moved = sequenced(2);
        moved.server.address = endpoint(9999);
        host.core.registerServer(moved);
        auto foreign = sequenced(3);
        foreign.serviceName = "unknown";
        host.core.registerServer(foreign);
        host.receiveFromEntry(host.makeOrder("b", {0}));
        REQUIRE(host.server.starts.size() == 2);
        REQUIRE(host.server.starts.back().order.server.address == endpoint(8080));
    }

    SECTION("it is followed as soon as a poll is answered by another instance")
    {
        host.core.registerServer(otherServer(2000));
        host.answerPoll(failedPoll(OrderOutcome::OtherInstance));
        REQUIRE(polledServer(host) == "i-odd");
        host.clock.advance(Millis(2 * AGATEDRUM_SERVER_HOLD_MS)); // the leases at the earlier address have expired
        host.answerPoll(HostFixture::pollReply());
        REQUIRE(host.takeReports().at(0).phase == wire::TaskPhase::ENDED);
    }

    SECTION("it is followed when the present backend server no longer answers")
    {
        host.core.registerServer(otherServer(2000));
        host.answerPoll(failedPoll(OrderOutcome::Unanswered));
        REQUIRE(polledServer(host) == "i-1");
        host.clock.advance(Millis(AGATEDRUM_SERVER_SILENT_MS));
        host.core.tick();
        REQUIRE(polledServer(host) == "i-odd");
    }

    SECTION("it is followed at once when the present backend server has left")
    {
        host.core.removeServer("i-1");
        host.core.registerServer(otherServer(2000));
        REQUIRE(polledServer(host) == "i-odd");
    }

    SECTION("one with an earlier start is followed when the present backend server has been silent for seconds")
    {
        // The clock of the machine may have been set back between the two starts.
        host.core.registerServer(otherServer(500));
        host.clock.advance(Millis(AGATEDRUM_SERVER_SILENT_MS));
        host.core.registerServer(otherServer(500));
        REQUIRE(polledServer(host) == "i-1"); // the present one may still run tasks
        host.clock.advance(Millis(10000));
        host.core.registerServer(otherServer(500));
        REQUIRE(polledServer(host) == "i-odd");
    }

    SECTION("it is forgotten when it does not register again while the present backend server answers")
    {
        host.core.registerServer(otherServer(2000));
        host.clock.advance(Millis(10000));
        host.core.tick();
        REQUIRE(polledServer(host) == "i-1");
    }
}

TEST_CASE("A host whose first registration was odd finds its backend server", "[odd]")
{
    HostFixture host;

    SECTION("a start in the future does not outrank the true registration")
    {
        host.core.registerServer(HostFixture::registration(farFutureMs, 1));
        host.core.registerServer(HostFixture::registration());
        REQUIRE(host.server.polls.back().order.server.startedAtMs == 1000);
        host.answerPoll(HostFixture::pollReply());
        REQUIRE(host.core.isReady());
    }

    SECTION("a server that never answers is given up when an earlier one still registers")
    {
        host.core.registerServer(otherServer(2000));
        host.core.registerServer(sequenced(1)); // may also be a delayed registration of an earlier instance
        REQUIRE(polledServer(host) == "i-odd");
        host.clock.advance(Millis(AGATEDRUM_SERVER_SILENT_MS));
        host.core.registerServer(sequenced(2));
        REQUIRE(polledServer(host) == "i-1");
        host.answerPoll(HostFixture::pollReply());
        REQUIRE(host.core.isReady());
    }

    SECTION("an address where nothing answers is replaced by the one of the next registration")
    {
        auto odd = sequenced(hugeNumber);
        odd.server.address = endpoint(9999);
        host.core.registerServer(odd);
        host.core.registerServer(sequenced(1));
        host.answerPoll(failedPoll(OrderOutcome::NotSent));
        host.clock.advance(Millis(200));
        host.core.tick();
        REQUIRE(host.server.polls.back().order.server.address == endpoint(8080));
    }
}

TEST_CASE("A huge sequence number does not hide the later registrations of the same instance", "[odd]")
{
    HostFixture host(optionsWithLongValidity());
    host.becomeAccepting();
    const auto waitOneSecond = [&host] {
        host.clock.advance(Millis(1000));
        host.answerPoll(HostFixture::pollReply());
        host.answerPoll(HostFixture::pollReply());
        REQUIRE(host.core.isReady());
    };

    SECTION("the numbering of the backend server is taken up again when the high one is not continued")
    {
        host.core.registerServer(sequenced(hugeNumber));
        for (int sequence = 2; sequence <= 5; ++sequence) {
            waitOneSecond();
            host.core.registerServer(sequenced(sequence));
        }
        host.core.registerServer(sequenced(6, true));
        REQUIRE_FALSE(host.core.isReady());
    }

    SECTION("a single delayed registration is not taken for a new numbering, however late it arrives")
    {
        host.core.registerServer(sequenced(50));
        for (int i = 0; i < 20; ++i) {
            waitOneSecond();
        }
        host.core.registerServer(sequenced(7, true));
        REQUIRE(host.core.isReady());
    }

    SECTION("delayed registrations change nothing while newer ones arrive")
    {
        for (int sequence = 2; sequence <= 10; ++sequence) {
            waitOneSecond();
            host.core.registerServer(sequenced(100 + sequence));
            host.core.registerServer(sequenced(sequence, true));
            REQUIRE(host.core.isReady());
        }
    }
}
