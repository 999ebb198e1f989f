#pragma once

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace agatedrum::test {

/// A best-effort job with one step, as a caller of the soak test submits it.
struct SoakJob
{
    std::string id; ///< 16 hexadecimal digits
    std::string service;
    std::int64_t cpuMillis = 1000; ///< demand of each task
    std::vector<int> taskMs; ///< run time of each task
    std::vector<int> failures; ///< for each task, how many of its first runs fail
    int deadlyTask = -1; ///< index of the task that crashes each executor that starts it; -1 for none
    std::size_t paddingBytes = 0; ///< filler of the body, for jobs that exceed the size limit
};

/// Routing that the operators of the soak test send. It is determined by its number.
struct SoakConfig
{
    std::int64_t number = 1;
    std::int64_t lastNumber = 1; ///< highest number that the test can use
    std::vector<std::string> services;
};

/// Names, paths and bodies of the operators' platform. No other file of the soak test uses them.
namespace soak_wire {

using Json = nlohmann::json;

constexpr auto callerHost = "soak.example";
constexpr auto timeLimitHeader = "Agatedrum-Deadline-Ms";
constexpr auto instanceHeader = "agatedrum-expect-instance"; ///< lower-case, as HttpRequest has it
constexpr auto startPath = "/run-start";
constexpr auto stopPath = "/run-stop";
constexpr auto pollPath = "/hold";
constexpr auto configPath = "/config";

inline std::string jobPath(const SoakJob &job)
{
    return fmt::format("/jobs-{}/{}", job.service, job.id);
}

/// Prefix of a route that exists from the configuration with this number on.
inline std::string addedPrefix(std::int64_t number)
{
    return fmt::format("/added-{}/", number);
}

/// Prefix of a route that exists only in configurations below this number.
inline std::string removedPrefix(std::int64_t number)
{
    return fmt::format("/removed-{}/", number);
}

inline std::string taskName(const std::string &job, std::size_t index)
{
    return fmt::format("{}.0.0.{}", job, index);
}

inline std::string jobOfTask(const std::string &task)
{
    return task.substr(0, task.find('.'));
}

inline std::size_t indexOfTask(const std::string &task)
{
    return std::stoul(task.substr(task.rfind('.') + 1));
}

inline std::string encodeJob(const SoakJob &job)
{
    Json spec = {{"taskMs", job.taskMs}, {"failures", job.failures}, {"cpuMillis", job.cpuMillis}};
    if (job.deadlyTask >= 0) {
        spec["deadlyTask"] = job.deadlyTask;
    }
    const auto longestMs = *std::max_element(job.taskMs.begin(), job.taskMs.end());
    const Json step = {{"Count", job.taskMs.size()}, {"Cpu", job.cpuMillis}, {"MemMb", 64}, {"EstimatedMs", longestMs}};
    Json body = {{"Spec", spec.dump()}, {"Steps", Json::array({step})}, {"BestEffort", true}};
    if (job.paddingBytes > 0) {
        body["Filler"] = std::string(job.paddingBytes, 'x');
    }
    return body.dump();
}

/// Returns the state in a job's answer, or an empty string.
inline std::string jobState(const std::string &body)
{
    const auto json = Json::parse(body, nullptr, false);
    return json.is_object() && json.contains("State") ? json["State"].get<std::string>() : std::string();
}

inline std::string encodeConfig(const SoakConfig &config)
{
    constexpr int shortestTimeoutMs = 2000;
    constexpr int timeoutStepMs = 250;
    auto routes = Json::array();
    const auto add = [&](const std::string &name, const std::string &prefix, const std::string &service) {
        routes.push_back({{"Name", name},
                          {"Host", callerHost},
                          {"PathPrefix", prefix},
                          {"Type", "unsafe"},
                          {"TimeoutMs", shortestTimeoutMs + timeoutStepMs * (config.number % 5)},
                          {"TargetDurationMs", 60},
                          {"Priority", 1},
                          {"Backend", service},
                          {"MaxAttempts", 3},
                          {"Stretch", 1.6}});
    };
    auto services = Json::array();
    for (const auto &service : config.services) {
        add("jobs-" + service, fmt::format("/jobs-{}/", service), service);
        services.push_back({{"Name", service},
                            {"HealthPath", "/health"},
                            {"MaxConnections", 64},
                            {"Protocol", "h1"},
                            {"Tls", false},
                            {"RejectsOverload", false},
                            {"Standby", false}});
    }
    for (std::int64_t number = 1; number <= config.lastNumber; ++number) {
        if (number <= config.number) {
            add(fmt::format("added-{}", number), addedPrefix(number), config.services.front());
        } else {
            add(fmt::format("removed-{}", number), removedPrefix(number), config.services.front());
        }
    }
    return Json {
        {"Version", config.number},
        {"Routes", routes},
        {"Services", services},
        {"Limits",
         {{"MaxHeaderBytes", 2048}, {"MaxBodyBytes", 16384}, {"HeaderTimeoutMs", 3000}, {"IdleTimeoutMs", 15000}}}}
        .dump();
}

/// Returns the number of a configuration that was read back, or 0 if the text has none.
inline std::int64_t configNumber(const std::string &body)
{
    const auto json = Json::parse(body, nullptr, false);
    return json.is_object() && json.contains("Version") ? json["Version"].get<std::int64_t>() : 0;
}

struct Registration
{
    std::string id;
    std::string service;
    std::string address;
    std::string zone;
    std::int64_t bornMs = 0;
    std::int64_t cpuMillis = 0;
    std::int64_t clockMs = 0;
    std::int64_t sequence = 0;
};

inline std::string registrationPath(const Registration &registration)
{
    return "/instances/" + registration.id;
}

inline std::string encodeRegistration(const Registration &registration)
{
    return Json {{"Backend", registration.service},
                 {"Address", registration.address},
                 {"Zone", registration.zone},
                 {"Version", "v1"},
                 {"Slots", 8},
                 {"State", "ready"},
                 {"ColdRemainingMs", 0},
                 {"Capacity", {{"Cpu", registration.cpuMillis}, {"MemMb", 65536}, {"Gpus", 0}}},
                 {"Labels", {"a", "r1-1"}},
                 {"ClockMs", registration.clockMs},
                 {"Sequence", registration.sequence},
                 {"born", registration.bornMs}}
        .dump();
}

/// A call of a host to its executor. Fields that a call lacks are 0 or empty.
struct ExecutorCall
{
    std::string task;
    std::int64_t run = 0;
    std::string spec;
    std::int64_t leaseUntilMs = 0;
    std::int64_t fence = 0;
    std::int64_t seenEnd = 0;
    std::int64_t waitMs = 0;
};

inline ExecutorCall decodeCall(const std::string &body)
{
    const auto json = Json::parse(body);
    ExecutorCall call;
    call.task = json.value("Task", std::string());
    call.run = json.value("RunId", std::int64_t {0});
    call.spec = json.value("Spec", std::string());
    call.leaseUntilMs = json.value("DeadlineMs", std::int64_t {0});
    call.fence = json.value("FencingToken", std::int64_t {0});
    call.seenEnd = json.value("AckCursor", std::int64_t {0});
    call.waitMs = json.value("WaitMs", std::int64_t {0});
    return call;
}

/// What an executor has to know of a task, out of the text that the caller gave it.
struct TaskSpec
{
    int runMs = 0;
    int failures = 0;
    std::int64_t cpuMillis = 0;
    bool isDeadly = false; ///< crashes the executor
};

inline TaskSpec decodeSpec(const std::string &spec, std::size_t index)
{
    const auto json = Json::parse(spec);
    return {json.at("taskMs").at(index), json.at("failures").at(index), json.at("cpuMillis"),
            json.value("deadlyTask", -1) == static_cast<int>(index)};
}

inline std::string encodeClock(std::int64_t clockMs)
{
    return Json {{"ClockMs", clockMs}}.dump();
}

inline std::string encodeRefusal(std::int64_t clockMs, const char *reason)
{
    return Json {{"ClockMs", clockMs}, {"Reason", reason}}.dump();
}

struct RunningRow
{
    std::string task;
    std::int64_t run = 0;
    int percent = 0;
    std::int64_t cpuMillis = 0;
};

struct EndedRow
{
    std::int64_t number = 0;
    std::string task;
    std::int64_t run = 0;
    std::string end;
};

inline std::string encodePollReply(std::int64_t clockMs, std::int64_t bornMs, const std::vector<RunningRow> &running,
                                   const std::vector<EndedRow> &ended)
{
    auto runningRows = Json::array();
    for (const auto &row : running) {
        runningRows.push_back(Json::array({row.task, row.run, "", row.percent, row.cpuMillis}));
    }
    auto endedRows = Json::array();
    for (const auto &row : ended) {
        endedRows.push_back(Json::array({row.number, row.task, row.run, row.end, ""}));
    }
    return Json {{"ClockMs", clockMs}, {"born", bornMs}, {"Running", runningRows}, {"EndedRuns", endedRows}}.dump();
}

} // namespace soak_wire

} // namespace agatedrum::test
