#include "fakes.h"
#include "wire_bus_p.h"

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <condition_variable>
#include <thread>
#include <vector>

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

/// Takes connections and reads nothing, so that its window closes.
class SilentPeer
{
public:
    explicit SilentPeer(int port)
        : listener(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
    {
        const int on = 1;
        const int smallest = 4096;
        ::setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        ::setsockopt(this->listener, SOL_SOCKET, SO_RCVBUF, &smallest, sizeof smallest);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        REQUIRE(::bind(this->listener, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0);
        REQUIRE(::listen(this->listener, 8) == 0);
    }
    ~SilentPeer()
    {
        for (const int socket : this->taken) {
            ::close(socket);
        }
        ::close(this->listener);
    }
    SilentPeer(const SilentPeer &) = delete;
    SilentPeer &operator=(const SilentPeer &) = delete;

    /// How many connections were opened so far.
    std::size_t connections()
    {
        for (int socket = 0; (socket = ::accept(this->listener, nullptr, nullptr)) >= 0;) {
            this->taken.push_back(socket);
        }
        return this->taken.size();
    }

private:
    int listener;
    std::vector<int> taken;
};

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

    SECTION("a connection whose peer acknowledges nothing is given up, since it may stay silent without a reset")
    {
        SilentPeer peer(19423);
        const std::string bulk(64UL * 1024, 'x');
        for (int i = 0; i < 600 && peer.connections() < 2; ++i) {
            wire::ApplyConfig message;
            message.text = bulk;
            sender.send(endpoint(19423), message);
            std::this_thread::sleep_for(Millis(10));
        }
        REQUIRE(peer.connections() >= 2);
    }
}
