#include "child_process.h"
#include "fakes.h"
#include "http_server_p.h"

#include <catch2/catch.hpp>

#include <future>
#include <memory>
#include <mutex>

using namespace agatedrum;
using namespace agatedrum::test;

namespace {

constexpr auto waitTimeout = std::chrono::seconds(5);
const std::string serverUrl = "http://127.0.0.3:13521";

HttpCallResponse run(const std::string &task, int workUs)
{
    const nlohmann::json body = {{"workUs", workUs}};
    return httpCall("POST", serverUrl + "/v1/run", body.dump(), 20000, {"Agatedrum-Task: " + task});
}

HttpCallResponse setFault(const std::string &kind, double factor)
{
    const nlohmann::json body = {{"kind", kind}, {"factor", factor}};
    return httpCall("POST", serverUrl + "/v1/fault", body.dump());
}

} // namespace

TEST_CASE("The emulator of a backend server", "[backend]")
{
    std::mutex mutex;
    std::vector<nlohmann::json> announced;
    HttpServerOptions options;
    options.address = endpoint(13520);
    HttpServer agent(options);
    agent.route("POST", "/v1/announce", [&](const HttpRequest &request, const HttpReply &reply) {
        const std::lock_guard lock(mutex);
        announced.push_back(nlohmann::json::parse(request.body));
        reply({});
    });
    agent.start();
    const auto lastAnnouncement = [&] {
        const std::lock_guard lock(mutex);
        return announced.empty() ? nlohmann::json::object() : announced.back();
    };
    ChildProcess process("agatedrum-backend",
                         {"--host", "127.0.0.3", "--port", "13521", "--name", "s1", "--service", "x", "--slots", "1",
                          "--speed", "2", "--agent", "http://127.0.0.1:13520"});
    REQUIRE(eventually([&] { return lastAnnouncement().value("name", "") == "s1"; }, waitTimeout));

    SECTION("announces itself every second")
    {
        REQUIRE(lastAnnouncement()["url"] == serverUrl + "/v1/run");
        REQUIRE(lastAnnouncement()["slots"] == 1);
        std::this_thread::sleep_for(std::chrono::milliseconds(2200));
        const std::lock_guard lock(mutex);
        REQUIRE(announced.size() >= 3);
    }
    SECTION("a task takes its work divided by the speed, and a task beyond the slots is refused")
    {
        const auto start = std::chrono::steady_clock::now();
        auto first = std::async(std::launch::async, [] { return run("a", 400000); });
        REQUIRE(
            eventually([] { return httpCall("GET", serverUrl + "/v1/record").json()["running"] == 1; }, waitTimeout));
        REQUIRE(run("b", 1000).status == 503);
        REQUIRE(first.get().json()["task"] == "a");
        const auto elapsed = std::chrono::steady_clock::now() - start;
        REQUIRE(elapsed >= std::chrono::milliseconds(200));
        REQUIRE(elapsed < std::chrono::milliseconds(400));
        const auto record = httpCall("GET", serverUrl + "/v1/record").json();
        REQUIRE(record["tasks"].size() == 1);
        const nlohmann::json expected = {{"task", "a"}, {"starts", 1}, {"finishes", 1}, {"cuts", 0}};
        REQUIRE(record["tasks"][0] == expected);
    }
    SECTION("no task ends early, even if other requests wake the event loop often")
    {
        // Guards against timers on a coarse clock: a timer that is recomputed at each wake-up fires one clock tick
        // early.
        constexpr int tasks = 40;
        for (int i = 0; i < tasks; ++i) {
            const auto start = std::chrono::steady_clock::now();
            auto task = std::async(std::launch::async, [i] { return run("task-" + std::to_string(i), 40000); });
            while (task.wait_for(std::chrono::microseconds(700)) != std::future_status::ready) {
                REQUIRE(httpCall("GET", serverUrl + "/v1/record").status == 200);
            }
            REQUIRE(std::chrono::steady_clock::now() - start >= std::chrono::milliseconds(20));
            REQUIRE(task.get().status == 200);
        }
    }
    SECTION("refuses new connections for the requested time")
    {
        REQUIRE(setFault("refuse", 0.3).status == 200);
        REQUIRE(run("a", 0).status == 0);
        REQUIRE(eventually([] { return run("b", 0).status == 200; }, waitTimeout));
    }
    SECTION("rejects an unknown kind of fault")
    {
        REQUIRE(setFault("explode", 1).status == 400);
    }
    SECTION("after SIGTERM it announces that it leaves and finishes running tasks before it exits")
    {
        auto first = std::async(std::launch::async, [] { return run("a", 1000000); });
        REQUIRE(
            eventually([] { return httpCall("GET", serverUrl + "/v1/record").json()["running"] == 1; }, waitTimeout));
        process.sendSignal(SIGTERM);
        REQUIRE(eventually([&] { return lastAnnouncement()["leaving"] == true; }, waitTimeout));
        REQUIRE(first.get().status == 200);
        REQUIRE(process.wait() == 0);
    }
    agent.stop();
}
