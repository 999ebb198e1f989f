#include "fakes.h"
#include "http_client.h"
#include "http_server_p.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <condition_variable>
#include <deque>
#include <future>
#include <thread>

using namespace agatedrum;
using namespace agatedrum::test;

namespace {

constexpr int firstPort = 14100;
constexpr int answeredRequests = 20000; // number of requests answered by another thread
constexpr int pipelinedRequests = 100; // number of requests sent before the first response is read
constexpr std::size_t largeBytes = 20000000; // more than the socket buffers of one connection hold

/// Requests that stay unanswered until the test answers them.
class PendingRequests
{
public:
    void add(const HttpRequest &request, HttpReply reply)
    {
        const std::lock_guard lock(this->mutex);
        this->entries.emplace_back(request.parameters.at("name"), std::move(reply));
        this->arrived.notify_all();
    }

    /// Removes and returns the oldest request. Waits at most the given time; returns an empty reply function if there
    /// is none.
    std::pair<std::string, HttpReply> take(Millis limit = Millis(5000))
    {
        std::unique_lock lock(this->mutex);
        if (!this->arrived.wait_for(lock, limit, [this] { return !this->entries.empty(); })) {
            return {};
        }
        auto entry = std::move(this->entries.front());
        this->entries.pop_front();
        return entry;
    }

private:
    std::mutex mutex;
    std::condition_variable arrived;
    std::deque<std::pair<std::string, HttpReply>> entries;
};

HttpResponse text(const std::string &body)
{
    HttpResponse response;
    response.body = body;
    return response;
}

HttpServerOptions serverOptions()
{
    HttpServerOptions options;
    options.address = endpoint(firstPort);
    options.limits.maxBodyBytes = 1000;
    options.maxConnections = 3;
    options.limits.idleTimeout = Millis(1000);
    return options;
}

template<typename Condition>
bool eventually(Condition &&condition)
{
    for (int i = 0; i < 500 && !condition(); ++i) {
        std::this_thread::sleep_for(Millis(10));
    }
    return condition();
}

} // namespace

// Guards against a server that hangs: a thread that answers a request may hold a lock, which the handler of the next
// request on the connection takes as well.
TEST_CASE("A server handles no request within the answer to another one", "[http]")
{
    constexpr int rounds = 2000;
    constexpr int requestsPerRound = 8;
    static thread_local bool isAnswering = false;
    std::atomic<int> nestedRequests {0};
    PendingRequests waiting;
    auto options = serverOptions();
    const auto running = startServer(options, [&](HttpServer &server) {
        server.route("GET", "/wait/:name", [&](const HttpRequest &request, HttpReply reply) {
            nestedRequests += isAnswering ? 1 : 0;
            waiting.add(request, std::move(reply));
        });
    });
    std::thread answering([&waiting] {
        for (int i = 0; i < rounds * requestsPerRound; ++i) {
            const auto [name, reply] = waiting.take();
            if (!reply) {
                return;
            }
            isAnswering = true;
            reply(text(name));
            isAnswering = false;
        }
    });
    RawClient client(options.address.port);
    int answers = 0;
    for (int round = 0; round < rounds; ++round) {
        std::string requests;
        for (int i = 0; i < requestsPerRound; ++i) {
            requests += "GET /wait/" + std::to_string(i) + " HTTP/1.1\r\nHost: h\r\n\r\n";
        }
        client.send(requests);
        for (int i = 0; i < requestsPerRound; ++i) {
            const auto answer = client.receive();
            answers += !answer.empty() && answer.back() == static_cast<char>('0' + i) ? 1 : 0;
        }
    }
    answering.join();
    REQUIRE(answers == rounds * requestsPerRound);
    REQUIRE(nestedRequests == 0);
}

// Guards against responses that are lost, truncated or sent to another caller, and against requests that get no
// response.
TEST_CASE("A server sends each response to the caller of its request", "[http]")
{
    PendingRequests waiting;
    auto options = serverOptions();
    const auto running = startServer(options, [&waiting](HttpServer &server) {
        server.route("POST", "/echo",
                     [](const HttpRequest &request, const HttpReply &reply) { reply(text(request.body)); });
        server.route("GET", "/wait/:name", [&waiting](const HttpRequest &request, HttpReply reply) {
            waiting.add(request, std::move(reply));
        });
        server.route("GET", "/lost", [](const HttpRequest &, const HttpReply &) {});
        server.route("GET", "/throw",
                     [](const HttpRequest &, const HttpReply &) { throw std::runtime_error("handler failed"); });
        server.route("GET", "/show/:name", [](const HttpRequest &request, const HttpReply &reply) {
            reply(text(request.parameters.at("name") + "|" + request.query.at("q")));
        });
        server.route("GET", "/busy", [](const HttpRequest &, const HttpReply &reply) {
            reply({503, "busy", "text/plain", 7});
        });
    });
    auto &server = *running;
    const int port = options.address.port;
    RawClient client(port);

    SECTION("a connection stays open for further requests")
    {
        for (const std::string body : {"one", "two", ""}) {
            client.send(post("/echo", body));
            REQUIRE(endsWith(client.receive(), "\r\n\r\n" + body));
        }
        REQUIRE(eventually([&server] { return server.openRequests() == 0; }));
    }

    SECTION("path and query are decoded")
    {
        client.send(get("/show/a%2Fb%20c?q=d+e%26f"));
        REQUIRE(endsWith(client.receive(), "a/b c|d e&f"));
    }

    SECTION("a second request on a connection is dispatched after the first response, so responses stay in order")
    {
        client.send(get("/wait/first"));
        auto first = waiting.take();
        client.send(get("/wait/second"));
        REQUIRE_FALSE(waiting.take(Millis(100)).second);
        REQUIRE(server.openRequests() == 1);
        first.second(text("answer-1"));
        REQUIRE(endsWith(client.receive(), "answer-1"));
        waiting.take().second(text("answer-2"));
        REQUIRE(endsWith(client.receive(), "answer-2"));
    }

    SECTION("all requests that arrive in one TCP segment are answered")
    {
        client.send(post("/echo", "one") + post("/echo", "two") + post("/echo", "three"));
        REQUIRE(endsWith(client.receive(), "one"));
        REQUIRE(endsWith(client.receive(), "two"));
        REQUIRE(endsWith(client.receive(), "three"));
    }

    SECTION("a malformed request line is refused and the connection is closed")
    {
        client.send("NONSENSE\r\n");
        REQUIRE(client.receive().find("HTTP/1.1 400") == 0);
        REQUIRE(client.isClosed());
    }

    SECTION("a request with a chunked body is refused before its handler runs")
    {
        client.send("POST /echo HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
        REQUIRE(client.receive().find("HTTP/1.1 411") == 0);
        REQUIRE(client.isClosed());
    }

    SECTION("a body that is too large is refused while the caller is still sending it")
    {
        client.send(post("/echo", std::string(200000, 'x')));
        const auto answer = client.receive();
        REQUIRE(answer.find("HTTP/1.1 413") == 0);
        REQUIRE(answer.find("\"notRun\":true") != std::string::npos);
    }

    SECTION("a request with Expect: 100-continue is answered with 100 Continue")
    {
        client.send("POST /echo HTTP/1.1\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n");
        REQUIRE(client.receive() == "HTTP/1.1 100 Continue\r\n\r\n");
        client.send("ab");
        REQUIRE(endsWith(client.receive(), "ab"));
    }

    SECTION("a response has the handler's Content-Type and Retry-After headers")
    {
        client.send(get("/busy"));
        const auto answer = client.receive();
        REQUIRE(answer.find("HTTP/1.1 503") == 0);
        REQUIRE(answer.find("\r\nContent-Type: text/plain\r\n") != std::string::npos);
        REQUIRE(answer.find("\r\nRetry-After: 7\r\n") != std::string::npos);
    }

    SECTION("unknown paths and methods are refused and the connection stays open")
    {
        client.send(get("/none"));
        REQUIRE(client.receive().find("HTTP/1.1 404") == 0);
        client.send(get("/echo"));
        REQUIRE(client.receive().find("HTTP/1.1 405") == 0);
        client.send(get("/show/%G1?q=1"));
        REQUIRE(client.receive().find("HTTP/1.1 400") == 0);
        client.send(post("/echo", "still"));
        REQUIRE(endsWith(client.receive(), "still"));
    }

    SECTION("a request is answered with status 500 if its handler throws or drops the reply function")
    {
        for (const auto *target : {"/lost", "/throw"}) {
            client.send(get(target));
            const auto answer = client.receive();
            REQUIRE(answer.find("HTTP/1.1 500") == 0);
            // The handler may have forwarded the request before it failed.
            REQUIRE(answer.find("\"notRun\":false") != std::string::npos);
        }
    }

    SECTION("a response to a disconnected caller is not sent to a later caller")
    {
        // A new connection may get the descriptor of the closed one while the response to it is being written.
        for (int round = 0; round < 50; ++round) {
            HttpReply late;
            {
                RawClient gone(port);
                gone.send(get("/wait/gone"));
                late = waiting.take().second;
            }
            std::thread answerer([&late] { late(text("for another caller")); });
            RawClient next(port);
            next.send(post("/echo", "own"));
            const auto answer = next.receive();
            answerer.join();
            // The server may close the new connection without a response, but must not send another caller's response.
            REQUIRE((answer.empty() || endsWith(answer, "\r\n\r\nown")));
            REQUIRE(eventually([&server] { return server.openRequests() == 0; }));
        }
    }

    SECTION("a response larger than the socket buffers is received completely by a slow caller")
    {
        client.send(get("/wait/large"));
        const auto request = waiting.take();
        std::string large;
        for (int i = 0; large.size() < largeBytes; ++i) {
            large += std::to_string(i) + ",";
        }
        request.second(text(large));
        std::this_thread::sleep_for(Millis(200));
        const auto answer = client.receive();
        REQUIRE(answer.size() > large.size());
        REQUIRE(answer.compare(answer.size() - large.size(), large.size(), large) == 0);
        client.send(post("/echo", "after"));
        REQUIRE(endsWith(client.receive(), "after"));
    }

    SECTION("the descriptor of a caller that disconnects during a response can be used by a later caller")
    {
        for (int round = 0; round < 20; ++round) {
            {
                RawClient gone(port);
                gone.send(get("/wait/large"));
                waiting.take().second(text(std::string(largeBytes, 'x')));
                std::this_thread::sleep_for(Millis(5));
                gone.resetOnClose();
            }
            REQUIRE(eventually([&server] { return server.openRequests() == 0; }));
            RawClient next(port);
            next.send(post("/echo", "own"));
            REQUIRE(endsWith(next.receive(), "\r\n\r\nown"));
        }
    }

    SECTION("connections above the maximum number are refused until another connection is closed")
    {
        {
            RawClient second(port);
            RawClient third(port);
            client.send(post("/echo", "a"));
            second.send(post("/echo", "b"));
            third.send(post("/echo", "c"));
            REQUIRE(endsWith(client.receive(), "a"));
            REQUIRE(endsWith(second.receive(), "b"));
            REQUIRE(endsWith(third.receive(), "c"));
            RawClient fourth(port);
            const auto answer = fourth.receive();
            REQUIRE(answer.find("HTTP/1.1 503") == 0);
            REQUIRE(answer.find("\"notRun\":false") != std::string::npos);
            REQUIRE(fourth.isClosed());
            RawClient fifth(port);
            REQUIRE(fifth.isClosed());
        }
        REQUIRE(eventually([port] {
            RawClient again(port);
            again.send(post("/echo", "d"));
            return endsWith(again.receive(), "d");
        }));
    }

    SECTION("an idle connection is closed, but not one with a pending request")
    {
        client.send(get("/wait/long"));
        auto request = waiting.take();
        RawClient idle(port);
        REQUIRE(idle.isClosed());
        std::this_thread::sleep_for(Millis(1300));
        request.second(text("at last"));
        REQUIRE(endsWith(client.receive(), "at last"));
    }

    SECTION("a stopping server accepts no new connections and answers pending requests")
    {
        client.send(get("/wait/flight"));
        auto request = waiting.take();
        RawClient idle(port);
        idle.send(post("/echo", "a"));
        REQUIRE(endsWith(idle.receive(), "a"));
        server.beginStop();
        REQUIRE(idle.isClosed());
        RawClient fresh(port);
        REQUIRE(fresh.isClosed());
        REQUIRE(server.openRequests() == 1);
        request.second(text("answered"));
        const auto answer = client.receive();
        REQUIRE(endsWith(answer, "answered"));
        REQUIRE(answer.find("Connection: close") != std::string::npos);
        REQUIRE(client.isClosed());
        REQUIRE(eventually([&server] { return server.openRequests() == 0; }));
    }

    SECTION("start() throws if the address is in use, and the server can be destroyed")
    {
        HttpServer second(options);
        REQUIRE_THROWS_AS(second.start(), std::runtime_error);
    }

    SECTION("the next request is dispatched after a response from another thread than the connection's own")
    {
        // If the end of a write were missed on another thread, the connection would never dispatch its next request.
        auto answerer = std::async(std::launch::async, [&waiting] {
            for (int i = 0; i < answeredRequests; ++i) {
                const auto request = waiting.take();
                request.second(text(request.first));
            }
        });
        for (int first = 0; first < answeredRequests; first += pipelinedRequests) {
            std::string requests;
            for (int i = first; i < first + pipelinedRequests; ++i) {
                requests += get("/wait/" + std::to_string(i));
            }
            client.send(requests);
            for (int i = first; i < first + pipelinedRequests; ++i) {
                REQUIRE(endsWith(client.receive(), "\r\n\r\n" + std::to_string(i)));
            }
        }
        answerer.get();
    }

    SECTION("a response after the server has stopped is dropped")
    {
        client.send(get("/wait/late"));
        auto request = waiting.take();
        server.stop();
        request.second(text("late"));
        REQUIRE(server.openRequests() == 0);
    }
}

TEST_CASE("A connection opened right after another was closed gets its response", "[http]")
{
    // Guards against a server that closes a new connection because the thread that answered the previous connection on
    // the same descriptor still holds its responder, although the write has ended.
    constexpr int callers = 4;
    constexpr int answererThreads = 16;
    constexpr int connectionsPerCaller = 3000;
    PendingRequests waiting;
    auto options = serverOptions();
    options.maxConnections = 100;
    const auto running = startServer(options, [&waiting](HttpServer &server) {
        server.route("GET", "/wait/:name", [&waiting](const HttpRequest &request, HttpReply reply) {
            waiting.add(request, std::move(reply));
        });
    });
    const int port = options.address.port;
    std::atomic<bool> isDone {false};
    std::vector<std::future<void>> answerers;
    answerers.reserve(answererThreads);
    for (int i = 0; i < answererThreads; ++i) {
        answerers.push_back(std::async(std::launch::async, [&waiting, &isDone] {
            while (!isDone) {
                if (const auto request = waiting.take(Millis(50)); request.second) {
                    request.second(text(request.first));
                }
            }
        }));
    }
    std::atomic<int> unanswered {0};
    std::vector<std::future<void>> clients;
    clients.reserve(callers);
    for (int i = 0; i < callers; ++i) {
        clients.push_back(std::async(std::launch::async, [port, i, &unanswered] {
            for (int n = 0; n < connectionsPerCaller; ++n) {
                const auto name = std::to_string(i) + "x" + std::to_string(n);
                RawClient client(port);
                client.send(get("/wait/" + name));
                unanswered += endsWith(client.receive(), "\r\n\r\n" + name) ? 0 : 1;
            }
        }));
    }
    for (auto &client : clients) {
        client.get();
    }
    isDone = true;
    REQUIRE(unanswered.load() == 0);
}

// Guards against a fallback handler that misses requests or the end of its caller's connection, and against limits and
// drains that have no effect on a running server.
TEST_CASE("A fallback handler gets requests for all paths with the caller's data", "[http]")
{
    auto options = serverOptions();
    std::function<bool()> isCallerDisconnected;
    const auto running = startServer(options, [&isCallerDisconnected](HttpServer &server) {
        server.setFallback([&isCallerDisconnected](const HttpRequest &request, const HttpReply &reply) {
            if (request.path == "/wait") {
                isCallerDisconnected = request.isCallerDisconnected;
                std::thread([reply] {
                    std::this_thread::sleep_for(Millis(500));
                    reply(text("late"));
                }).detach();
                return;
            }
            reply(text(request.method + " " + request.path + " " + request.headers.at("host")));
        });
    });

    SECTION("the handler gets the method, path and headers as sent")
    {
        RawClient client(options.address.port);
        client.send("PUT /any/path HTTP/1.1\r\nHoSt: x.example\r\nContent-Length: 0\r\n\r\n");
        REQUIRE(endsWith(client.receive(), "PUT /any/path x.example"));
    }

    SECTION("a handler can detect that its caller has disconnected, so that it can stop work for it")
    {
        {
            RawClient client(options.address.port);
            client.send("GET /wait HTTP/1.1\r\nHost: x\r\n\r\n");
            REQUIRE(eventually([&isCallerDisconnected] { return static_cast<bool>(isCallerDisconnected); }));
            REQUIRE_FALSE(isCallerDisconnected());
        }
        REQUIRE(eventually([&isCallerDisconnected] { return isCallerDisconnected(); }));
        std::this_thread::sleep_for(Millis(600));
    }

    SECTION("a connection with an incomplete header section is closed after the header timeout")
    {
        HttpLimits limits = options.limits;
        limits.headerTimeout = Millis(300);
        limits.idleTimeout = Millis(60000);
        running->setLimits(limits);
        RawClient client(options.address.port);
        const auto startedAt = std::chrono::steady_clock::now();
        client.send("GET / HTTP/1.1\r\nHos");
        REQUIRE(client.receive().empty());
        REQUIRE(std::chrono::steady_clock::now() - startedAt < std::chrono::seconds(3));
    }

    SECTION("a draining server accepts new connections and closes each after its response")
    {
        running->beginDrain();
        RawClient client(options.address.port);
        client.send("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
        REQUIRE_THAT(client.receive(), Catch::Contains("200") && Catch::Contains("Connection: close"));
    }

    SECTION("limits can be changed while the server is running")
    {
        HttpLimits limits = options.limits;
        limits.maxBodyBytes = 10;
        running->setLimits(limits);
        RawClient client(options.address.port);
        client.send(post("/any", "longer than ten bytes"));
        REQUIRE_THAT(client.receive(), Catch::Contains("413"));
    }
}
