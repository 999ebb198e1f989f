#include "fakes.h"
#include "wire_bus_p.h"

#include <catch2/catch.hpp>

#include <condition_variable>
#include <thread>

using namespace agatedrum;
using namespace agatedrum::test;

namespace {

/// Collects what a bus receives.
class Inbox
{
public:
    void add(const Incoming &message)
    {
        const std::lock_guard lock(this->mutex);
        this->messages.push_back(message);
        this->arrived.notify_all();
    }
    bool waitFor(std::size_t count)
    {
        std::unique_lock lock(this->mutex);
        return this->arrived.wait_for(lock, std::chrono::seconds(10),
                                      [this, count] { return this->messages.size() >= count; });
    }
    std::vector<Incoming> messages;

private:
    std::mutex mutex;
    std::condition_variable arrived;
};

BusOptions busOptions(const std::string &name, int port)
{
    BusOptions options;
    options.self = processId(name);
    options.address = endpoint(port);
    return options;
}

wire::Fence fence(std::int64_t epoch)
{
    wire::Fence message;
    message.epoch = epoch;
    return message;
}

} // namespace

TEST_CASE("A bus carries messages between two processes", "[wire]")
{
    SystemClock clock;
    Inbox inbox;
    PeerBus sender(busOptions("a", 0), clock, [] { return 42; });
    sender.start([](const Incoming &) {});

    SECTION("messages arrive once, in order, with their sender and its configuration number")
    {
        PeerBus receiver(busOptions("b", 19417), clock, [] { return 0; });
        receiver.start([&inbox](const Incoming &message) { inbox.add(message); });
        for (int i = 0; i < 2000; ++i) {
            sender.send(endpoint(19417), fence(i));
        }
        REQUIRE(inbox.waitFor(2000));
        REQUIRE(inbox.messages.size() == 2000);
        for (int i = 0; i < 2000; ++i) {
            REQUIRE(std::get<wire::Fence>(inbox.messages[static_cast<std::size_t>(i)].payload).epoch == i);
        }
        REQUIRE(inbox.messages[0].sender.name == "a");
        REQUIRE(inbox.messages[0].configNumber == 42);
    }

    SECTION("a message waits for a peer that is not up yet")
    {
        sender.send(endpoint(19418), fence(7));
        PeerBus receiver(busOptions("b", 19418), clock, [] { return 0; });
        receiver.start([&inbox](const Incoming &message) { inbox.add(message); });
        REQUIRE(inbox.waitFor(1));
    }

    SECTION("a bus that is stopped right after its start ends, even before its event loop has begun")
    {
        for (int i = 0; i < 300; ++i) {
            PeerBus shortLived(busOptions("c", 0), clock, [] { return 0; });
            shortLived.start([](const Incoming &) {});
        }
    }

    SECTION("a message for a peer that stays away is dropped and counted")
    {
        sender.send(endpoint(19419), fence(7));
        for (int i = 0; i < 400 && sender.counters().messagesDropped.load() == 0; ++i) {
            std::this_thread::sleep_for(Millis(10));
        }
        REQUIRE(sender.counters().messagesDropped.load() == 1);
    }

    SECTION("a message sent after the stop is dropped and counted, since the thread of a store may still send")
    {
        PeerBus stopped(busOptions("d", 0), clock, [] { return 0; });
        stopped.start([](const Incoming &) {});
        stopped.stop(Millis(0));
        stopped.send(endpoint(19421), fence(1));
        REQUIRE(stopped.counters().messagesDropped.load() == 1);
    }

    SECTION("a message whose reason ended while it waited does not leave, such as a start of an owner that was frozen")
    {
        std::atomic<bool> hasLease {true};
        auto options = busOptions("e", 0);
        options.mayLeave = [&hasLease](const Payload &payload) {
            return hasLease || !std::holds_alternative<wire::StartBatch>(payload);
        };
        PeerBus frozen(options, clock, [] { return 0; });
        frozen.start([](const Incoming &) {});
        frozen.send(endpoint(19422), wire::StartBatch());
        frozen.send(endpoint(19422), fence(8));
        hasLease = false;
        PeerBus receiver(busOptions("f", 19422), clock, [] { return 0; });
        receiver.start([&inbox](const Incoming &message) { inbox.add(message); });
        REQUIRE(inbox.waitFor(1));
        REQUIRE(std::holds_alternative<wire::Fence>(inbox.messages[0].payload));
        REQUIRE(frozen.counters().messagesDropped.load() == 1);
    }
}
