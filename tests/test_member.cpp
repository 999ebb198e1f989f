#include "agatedrum/config.h"
#include "fakes.h"
#include "member_link_p.h"

#include <catch2/catch.hpp>

using namespace agatedrum;
using namespace agatedrum::test;

namespace {

MemberOptions memberOptions()
{
    MemberOptions options;
    options.self = processId("owner-1");
    options.role = wire::Role::OWNER;
    options.address = endpoint(7001);
    options.control = {{"c1", endpoint(1)}, {"c2", endpoint(2)}, {"c3", endpoint(3)}};
    options.heartbeatInterval = Millis(200);
    return options;
}

wire::HeartbeatReply makeReply(const wire::MemberHeartbeat &heartbeat, bool accepted, const std::string &leader)
{
    wire::HeartbeatReply reply;
    reply.sentAtMicros = heartbeat.sentAtMicros;
    reply.accepted = accepted;
    reply.leader = leader;
    return reply;
}

wire::ClusterView makeView(std::int64_t version, std::int64_t configNumber)
{
    wire::ClusterView view;
    view.version = version;
    view.config.number = configNumber;
    return view;
}

} // namespace

// Guards against a member that acts without a valid lease, loses the control group, or uses an outdated view.
TEST_CASE("A member maintains its lease and cluster view by heartbeats to the control group", "[member]")
{
    ManualClock clock;
    RecordingSink sink;
    MemberLink link(sink, clock, memberOptions());

    SECTION("a new member has no lease")
    {
        REQUIRE_FALSE(link.hasLease());

        SECTION("the leader's reply grants a lease that starts when the heartbeat was sent")
        {
            link.tick({});
            const auto heartbeat = sink.all<wire::MemberHeartbeat>().at(0);
            clock.advance(Millis(400));
            link.handle(incoming("c1", wire::Role::CONTROL, 1, makeReply(heartbeat, true, "c1")));
            REQUIRE(link.hasLease());
            clock.advance(Millis(AGATEDRUM_OWNER_LEASE_MS - 401));
            REQUIRE(link.hasLease());
            clock.advance(Millis(1));
            REQUIRE_FALSE(link.hasLease());

            SECTION("a reply that arrives after its lease has expired grants no lease")
            {
                link.handle(incoming("c1", wire::Role::CONTROL, 1, makeReply(heartbeat, true, "c1")));
                REQUIRE_FALSE(link.hasLease());
            }
        }

        SECTION("a follower's reply grants no lease; the next heartbeat is sent at once to the leader that it names")
        {
            link.tick({});
            const auto heartbeat = sink.all<wire::MemberHeartbeat>().at(0);
            sink.take();
            link.handle(incoming("c1", wire::Role::CONTROL, 1, makeReply(heartbeat, false, "c3")));
            REQUIRE_FALSE(link.hasLease());
            link.tick({});
            const auto sent = sink.take();
            REQUIRE(sent.size() == 1);
            REQUIRE(sent[0].to.port == 3);
        }

        SECTION("the next heartbeat goes to another control process if the first one does not answer")
        {
            link.tick({});
            clock.advance(Millis(200));
            sink.take();
            link.tick({});
            REQUIRE(sink.take().at(0).to.port == 2);
        }
    }

    SECTION("a heartbeat that was not answered is retried before a long interval ends, so that a member joins without "
            "delay")
    {
        auto options = memberOptions();
        options.heartbeatInterval = Millis(2000);
        MemberLink slow(sink, clock, options);
        slow.tick({});
        clock.advance(Millis(AGATEDRUM_MEMBER_HEARTBEAT_MS));
        slow.tick({});
        const auto heartbeats = sink.all<wire::MemberHeartbeat>();
        REQUIRE(heartbeats.size() == 2);
        sink.take();
        slow.handle(incoming("c2", wire::Role::CONTROL, 2, makeReply(heartbeats[1], true, "c2")));
        clock.advance(Millis(1999));
        slow.tick({});
        REQUIRE(sink.take().empty());

        SECTION("a higher configuration number makes the next heartbeat due at once")
        {
            slow.recordConfigNumber(4);
            slow.handle(incoming("c2", wire::Role::CONTROL, 2, makeReply(heartbeats[1], true, "c2")));
            slow.tick({});
            REQUIRE(sink.take().size() == 1);
        }
    }

    SECTION("a view is not replaced by an older one")
    {
        link.handle(incoming("c1", wire::Role::CONTROL, 1, makeView(5, 7)));
        link.handle(incoming("c1", wire::Role::CONTROL, 1, makeView(4, 7)));
        REQUIRE(link.viewVersion() == 5);
        link.handle(incoming("c2", wire::Role::CONTROL, 2, makeView(6, 6)));
        REQUIRE(link.configNumber() == 7);
    }

    SECTION("a new configuration is confirmed by a heartbeat at once, so that apply --wait does not wait for the "
            "heartbeat interval")
    {
        link.tick({});
        sink.take();
        link.handle(incoming("c1", wire::Role::CONTROL, 1, makeView(5, 7)));
        link.tick({});
        REQUIRE(sink.all<wire::MemberHeartbeat>().at(0).configNumber == 7);
    }

    SECTION("a higher configuration number from any peer makes the next heartbeat due at once")
    {
        link.tick({});
        sink.take();
        link.tick({});
        REQUIRE(sink.take().empty());
        link.recordConfigNumber(9);
        link.tick({});
        REQUIRE(sink.take().size() == 1);
    }
}
