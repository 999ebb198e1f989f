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
    options.interval = Millis(200);
    return options;
}

wire::HeartbeatReply replyTo(const wire::MemberHeartbeat &heartbeat, bool accepted, const std::string &leader)
{
    wire::HeartbeatReply reply;
    reply.sentAtMicros = heartbeat.sentAtMicros;
    reply.accepted = accepted;
    reply.leader = leader;
    return reply;
}

wire::ClusterView viewOf(std::int64_t version, std::int64_t configNumber)
{
    wire::ClusterView view;
    view.version = version;
    view.config.number = configNumber;
    return view;
}

} // namespace

TEST_CASE("A member keeps its tie to the control group", "[member]")
{
    ManualClock clock;
    RecordingSink sink;
    MemberLink link(sink, clock, memberOptions());

    SECTION("a new member has no lease")
    {
        REQUIRE_FALSE(link.hasLease());

        SECTION("the leader's answer gives one that counts from the heartbeat's sending")
        {
            link.tick({});
            const auto heartbeat = sink.all<wire::MemberHeartbeat>().at(0);
            clock.advance(Millis(400));
            link.handle(incoming("c1", wire::Role::CONTROL, 1, replyTo(heartbeat, true, "c1")));
            REQUIRE(link.hasLease());
            clock.advance(Millis(AGATEDRUM_OWNER_LEASE_MS - 401));
            REQUIRE(link.hasLease());
            clock.advance(Millis(1));
            REQUIRE_FALSE(link.hasLease());

            SECTION("an answer that comes after the end of its lease gives none")
            {
                link.handle(incoming("c1", wire::Role::CONTROL, 1, replyTo(heartbeat, true, "c1")));
                REQUIRE_FALSE(link.hasLease());
            }
        }

        SECTION("a follower's answer gives none and names the leader, which gets the next heartbeat at once")
        {
            link.tick({});
            const auto heartbeat = sink.all<wire::MemberHeartbeat>().at(0);
            sink.take();
            link.handle(incoming("c1", wire::Role::CONTROL, 1, replyTo(heartbeat, false, "c3")));
            REQUIRE_FALSE(link.hasLease());
            link.tick({});
            const auto sent = sink.take();
            REQUIRE(sent.size() == 1);
            REQUIRE(sent[0].to.port == 3);
        }

        SECTION("a silent control process is passed over")
        {
            link.tick({});
            clock.advance(Millis(200));
            sink.take();
            link.tick({});
            REQUIRE(sink.take().at(0).to.port == 2);
        }
    }

    SECTION("a long interval holds only between answered heartbeats, or a member would join late")
    {
        auto options = memberOptions();
        options.interval = Millis(2000);
        MemberLink slow(sink, clock, options);
        slow.tick({});
        clock.advance(Millis(AGATEDRUM_MEMBER_HEARTBEAT_MS));
        slow.tick({});
        const auto heartbeats = sink.all<wire::MemberHeartbeat>();
        REQUIRE(heartbeats.size() == 2);
        sink.take();
        slow.handle(incoming("c2", wire::Role::CONTROL, 2, replyTo(heartbeats[1], true, "c2")));
        clock.advance(Millis(1999));
        slow.tick({});
        REQUIRE(sink.take().empty());

        SECTION("and a higher configuration number still brings the next one forward")
        {
            slow.noteConfigNumber(4);
            slow.handle(incoming("c2", wire::Role::CONTROL, 2, replyTo(heartbeats[1], true, "c2")));
            slow.tick({});
            REQUIRE(sink.take().size() == 1);
        }
    }

    SECTION("a view never gives way to an older one")
    {
        link.handle(incoming("c1", wire::Role::CONTROL, 1, viewOf(5, 7)));
        link.handle(incoming("c1", wire::Role::CONTROL, 1, viewOf(4, 7)));
        REQUIRE(link.viewVersion() == 5);
        link.handle(incoming("c2", wire::Role::CONTROL, 2, viewOf(6, 6)));
        REQUIRE(link.configNumber() == 7);
    }

    SECTION("a new configuration is confirmed by a heartbeat at once, or apply --wait would wait for the interval")
    {
        link.tick({});
        sink.take();
        link.handle(incoming("c1", wire::Role::CONTROL, 1, viewOf(5, 7)));
        link.tick({});
        REQUIRE(sink.all<wire::MemberHeartbeat>().at(0).configNumber == 7);
    }

    SECTION("a higher configuration number from any peer brings the next heartbeat forward")
    {
        link.tick({});
        sink.take();
        link.tick({});
        REQUIRE(sink.take().empty());
        link.noteConfigNumber(9);
        link.tick({});
        REQUIRE(sink.take().size() == 1);
    }
}
