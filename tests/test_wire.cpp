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

/// Collects the messages that a bus receives.
class Inbox
{
public:
    void add(const IncomingMessage &message)
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
    std::vector<IncomingMessage> messages;

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

/// Accepts connections and reads nothing, so that its TCP receive window fills up.
class NonReadingPeer
{
public:
    explicit NonReadingPeer(int port)
        : listener(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
    {
        const int on = 1;
        const int receiveBufferBytes = 4096;
        ::setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        ::setsockopt(this->listener, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof receiveBufferBytes);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        REQUIRE(::bind(this->listener, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0);
        REQUIRE(::listen(this->listener, 8) == 0);
    }
    ~NonReadingPeer()
    {
        for (const int socket : this->acceptedSockets) {
            ::close(socket);
        }
        ::close(this->listener);
    }
    NonReadingPeer(const NonReadingPeer &) = delete;
    NonReadingPeer &operator=(const NonReadingPeer &) = delete;

    /// Accepts the waiting connections and returns the number of all accepted connections.
    std::size_t connections()
    {
        for (int socket = 0; (socket = ::accept(this->listener, nullptr, nullptr)) >= 0;) {
            this->acceptedSockets.push_back(socket);
        }
        return this->acceptedSockets.size();
    }

private:
    int listener;
    std::vector<int> acceptedSockets;
};

wire::Fence fence(std::int64_t epoch)
{
    wire::Fence message;
    message.epoch = epoch;
    return message;
}

} // namespace

// Guards against messages that are lost, duplicated or reordered while the peer is reachable, that are sent although
// they have become invalid, or that are kept for an unreachable peer without a limit.
TEST_CASE("A bus sends messages to another process", "[wire]")
{
    SystemClock clock;
    Inbox inbox;
    PeerBus sender(busOptions("a", 0), clock, [] { return 42; });
    sender.start([](const IncomingMessage &) {});

    SECTION("messages arrive once, in order, with the sender's name and configuration number")
    {
        PeerBus receiver(busOptions("b", 19417), clock, [] { return 0; });
        receiver.start([&inbox](const IncomingMessage &message) { inbox.add(message); });
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

    SECTION("a message stays queued until its peer has started")
    {
        sender.send(endpoint(19418), fence(7));
        PeerBus receiver(busOptions("b", 19418), clock, [] { return 0; });
        receiver.start([&inbox](const IncomingMessage &message) { inbox.add(message); });
        REQUIRE(inbox.waitFor(1));
    }

    SECTION("a bus can be stopped right after its start, even before its event loop runs")
    {
        // A stop requested before the event loop runs must not be lost, or stop() would never return.
        for (int i = 0; i < 300; ++i) {
            PeerBus shortLived(busOptions("c", 0), clock, [] { return 0; });
            shortLived.start([](const IncomingMessage &) {});
        }
    }

    SECTION("a message for a peer that never starts is dropped and counted")
    {
        sender.send(endpoint(19419), fence(7));
        for (int i = 0; i < 400 && sender.counters().messagesDropped.load() == 0; ++i) {
            std::this_thread::sleep_for(Millis(10));
        }
        REQUIRE(sender.counters().messagesDropped.load() == 1);
    }

    SECTION("a message sent after the bus has stopped is dropped and counted")
    {
        // Other threads, such as the thread of a store, may call send() after stop().
        PeerBus stopped(busOptions("d", 0), clock, [] { return 0; });
        stopped.start([](const IncomingMessage &) {});
        stopped.stop(Millis(0));
        stopped.send(endpoint(19421), fence(1));
        REQUIRE(stopped.counters().messagesDropped.load() == 1);
    }

    SECTION("a message that may no longer be sent when it leaves the queue is dropped and counted")
    {
        // An owner process that was frozen could otherwise send queued task starts after its lease has expired.
        std::atomic<bool> hasLease {true};
        auto options = busOptions("e", 0);
        options.maySend = [&hasLease](const Payload &payload) {
            return hasLease || !std::holds_alternative<wire::StartBatch>(payload);
        };
        PeerBus frozen(options, clock, [] { return 0; });
        frozen.start([](const IncomingMessage &) {});
        frozen.send(endpoint(19422), wire::StartBatch());
        frozen.send(endpoint(19422), fence(8));
        hasLease = false;
        PeerBus receiver(busOptions("f", 19422), clock, [] { return 0; });
        receiver.start([&inbox](const IncomingMessage &message) { inbox.add(message); });
        REQUIRE(inbox.waitFor(1));
        REQUIRE(std::holds_alternative<wire::Fence>(inbox.messages[0].payload));
        REQUIRE(frozen.counters().messagesDropped.load() == 1);
    }

    SECTION("a connection is replaced if its peer acknowledges nothing for the time limit")
    {
        // A peer may become unreachable without a connection reset, so the bus must detect it and reconnect.
        NonReadingPeer peer(19423);
        const std::string largeText(64UL * 1024, 'x');
        for (int i = 0; i < 600 && peer.connections() < 2; ++i) {
            wire::ApplyConfig message;
            message.text = largeText;
            sender.send(endpoint(19423), message);
            std::this_thread::sleep_for(Millis(10));
        }
        REQUIRE(peer.connections() >= 2);
    }
}
