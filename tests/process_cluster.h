#pragma once

#include "child_process.h"

#include <fmt/format.h>

#include <atomic>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>

namespace agatedrum::test {

using namespace std::chrono_literals;

/// A complete cluster of real processes on loopback, with one emulated backend server per agent.
class ProcessCluster
{
public:
    static constexpr int ownerCount = 3;
    static constexpr int entryCount = 2;
    static constexpr int agentCount = 4;

    /// @param firstPort first of the 100 consecutive ports that the cluster uses.
    ProcessCluster(int firstPort, int controlCount)
        : host(processLoopbackHost())
        , firstPort(firstPort)
        , controlCount(controlCount)
    {
        curl_global_init(CURL_GLOBAL_DEFAULT);
        std::string pattern = (std::filesystem::temp_directory_path() / "agatedrum-test-XXXXXX").string();
        this->folder = ::mkdtemp(pattern.data());
        const std::vector<std::pair<std::string, int>> roles
            = {{"control", controlCount}, {"owner", ownerCount}, {"entry", entryCount}, {"agent", agentCount}};
        for (const auto &[role, count] : roles) {
            for (int i = 1; i <= count; ++i) {
                this->writeSettings(role, i);
                this->start(role, i);
            }
        }
        for (int i = 1; i <= agentCount; ++i) {
            this->start("backend", i);
        }
    }
    ~ProcessCluster()
    {
        this->processes.clear();
        if (std::getenv("AGATEDRUM_KEEP_LOGS") == nullptr) {
            std::filesystem::remove_all(this->folder);
        }
    }
    ProcessCluster(const ProcessCluster &) = delete;
    ProcessCluster &operator=(const ProcessCluster &) = delete;

    /// Starts a process. Precondition: it is not running.
    void start(const std::string &role, int index)
    {
        const auto name = nameOf(role, index);
        const auto log = this->folder + "/" + name + ".log";
        std::vector<std::string> arguments = {"--settings", this->folder + "/" + name + ".yaml"};
        if (role == "backend") {
            const double speeds[] = {0.7, 1.0, 1.3, 1.8};
            arguments = {"--name",    name,
                         "--service", "desk",
                         "--host",    this->host,
                         "--port",    std::to_string(this->port(role, index, false)),
                         "--slots",   "8",
                         "--speed",   std::to_string(speeds[index - 1]),
                         "--agent",   this->url("agent", index)};
        }
        this->processes[name]
            = std::make_unique<ChildProcess>(role == "backend" ? "agatedrum-backend" : "agatedrumd", arguments, log);
    }
    ChildProcess &process(const std::string &name)
    {
        return *this->processes.at(name);
    }

    std::string url(const std::string &role, int index) const
    {
        return fmt::format("http://{}:{}", this->host, this->port(role, index, true));
    }
    /// Applies a configuration and then runs a first job, with retries. Returns false if either takes more than 20 s.
    bool waitUntilReady(const std::string &firstJob)
    {
        const std::string text
            = "number: 1\nservices:\n  - name: desk\n    recordCopies: 2\nteams:\n  - name: t\n...\n";
        return eventually(
                   [&] {
                       return httpCall("POST", this->url("entry", 1) + "/v1/configuration?author=t", text).status
                           == 200;
                   },
                   20s)
            && eventually(
                   [&] {
                       const auto answer = httpCall("POST", this->url("entry", 1) + "/v1/jobs", firstJob, 5000);
                       return answer.status == 200 && answer.json()["state"] == "complete";
                   },
                   20s);
    }
    /// Returns the owner of the only cell, or an empty string if no entry knows it.
    std::string owner()
    {
        for (int i = 1; i <= entryCount; ++i) {
            const auto cells = httpCall("GET", this->url("entry", i) + "/v1/cells", {}, 2000).json();
            if (cells.is_array() && cells.size() == 1) {
                return cells[0].value("owner", std::string());
            }
        }
        return {};
    }
    /// Returns the leader of the control group, or an empty string if no process reports itself as leader.
    std::string leader()
    {
        for (int i = 1; i <= this->controlCount; ++i) {
            const auto dump = httpCall("GET", this->url("control", i) + "/v1/dump", {}, 2000).json();
            if (dump.is_object() && dump.value("leader", std::string()) == nameOf("control", i)) {
                return nameOf("control", i);
            }
        }
        return {};
    }
    /// Returns the sum of a counter over all running agents.
    std::int64_t agentCounter(const std::string &name)
    {
        std::int64_t sum = 0;
        for (int i = 1; i <= agentCount; ++i) {
            const auto dump = httpCall("GET", this->url("agent", i) + "/v1/dump", {}, 2000).json();
            sum += dump.is_object() ? dump["counters"].value(name, std::int64_t {0}) : 0;
        }
        return sum;
    }

    /// How often a task started, finished, and lost its connection before the answer.
    struct TaskRecord
    {
        int starts = 0;
        int finishes = 0;
        int cuts = 0;
    };
    /// Returns the task records of all running backend servers, summed by task header.
    std::map<std::string, TaskRecord> taskRecords()
    {
        std::map<std::string, TaskRecord> sum;
        for (int i = 1; i <= agentCount; ++i) {
            if (!this->process(nameOf("backend", i)).isRunning()) {
                continue;
            }
            const auto answer = httpCall("GET", this->url("backend", i) + "/v1/record").json();
            for (const auto &task : answer.at("tasks")) {
                auto &entry = sum[task.at("task")];
                entry.starts += task.at("starts").get<int>();
                entry.finishes += task.at("finishes").get<int>();
                entry.cuts += task.at("cuts").get<int>();
            }
        }
        return sum;
    }

    static std::string nameOf(const std::string &role, int index)
    {
        return role + "-" + std::to_string(index);
    }
    static int indexOf(const std::string &name)
    {
        return std::stoi(name.substr(name.rfind('-') + 1));
    }

private:
    /// Returns a loopback address derived from the id of this test process. The ports lie in the range of ephemeral
    /// ports, so on 127.0.0.1 an outgoing connection of any process may occupy a port that a cluster process must
    /// listen on.
    static std::string processLoopbackHost()
    {
        const int pid = ::getpid();
        return fmt::format("127.{}.{}.2", 1 + pid / 250 % 250, 1 + pid % 250);
    }
    int port(const std::string &role, int index, bool isHttp) const
    {
        static const std::map<std::string, int> offsets
            = {{"control", 0}, {"owner", 20}, {"entry", 40}, {"agent", 60}, {"backend", 80}};
        return this->firstPort + offsets.at(role) + (isHttp && role != "backend" ? 10 : 0) + index;
    }
    void writeSettings(const std::string &role, int index)
    {
        const char *domains[] = {"north", "east", "south", "west"};
        std::ofstream file(this->folder + "/" + nameOf(role, index) + ".yaml");
        file << fmt::format("role: {}\nname: {}\nfailureDomain: {}\n", role, nameOf(role, index),
                            domains[(index - 1) % 4]);
        file << fmt::format("peers: {{host: {}, port: {}}}\n", this->host, this->port(role, index, false));
        file << fmt::format("http: {{host: {}, port: {}}}\ncontrol:\n", this->host, this->port(role, index, true));
        for (int i = 1; i <= this->controlCount; ++i) {
            file << fmt::format("  - {{name: control-{}, address: {{host: {}, port: {}}}}}\n", i, this->host,
                                this->port("control", i, false));
        }
        if (role == "control") {
            file << "dataFolder: " << this->folder << "/data-" << index << "\n";
        }
    }

    const std::string host;
    const int firstPort;
    const int controlCount;
    std::string folder;
    std::map<std::string, std::unique_ptr<ChildProcess>> processes;
};

inline std::string jobBody(const std::string &submission, int tasks, int workUs)
{
    const auto now
        = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch());
    nlohmann::json job = {{"caller", "c"},     {"team", "t"},         {"submission", submission},
                          {"service", "desk"}, {"idempotent", false}, {"submittedAt", now.count()}};
    for (int i = 0; i < tasks; ++i) {
        job["tasks"].push_back({{"id", "t" + std::to_string(i)},
                                {"body", nlohmann::json {{"workUs", workUs * (1 + i % 4)}}.dump()},
                                {"declaredMs", 1 + workUs * (1 + i % 4) / 1000}});
    }
    return job.dump();
}

/// Runs threads that each submit one job after another. Each job is resubmitted until it has a final answer.
class CallerLoad
{
public:
    struct Job
    {
        std::string submission;
        nlohmann::json answer; ///< null if there was no final answer in time
        std::vector<std::string> earlierAttempts; ///< status and body of each attempt before the final answer
    };

    static constexpr int callers = 8;
    static constexpr int tasksPerJob = 8;
    static constexpr auto submitTimeout = 30s;

    explicit CallerLoad(ProcessCluster &cluster)
        : cluster(cluster)
    {
        for (int i = 0; i < callers; ++i) {
            this->threads.emplace_back([this, i] { this->run(i); });
        }
    }
    ~CallerLoad()
    {
        this->stop();
    }
    CallerLoad(const CallerLoad &) = delete;
    CallerLoad &operator=(const CallerLoad &) = delete;

    /// Stops submitting, waits for the answers of the submitted jobs, and returns all jobs.
    std::vector<Job> stop()
    {
        this->isStopping = true;
        for (auto &thread : this->threads) {
            thread.join();
        }
        this->threads.clear();
        return this->jobs;
    }

    /// Submits one job to the entries in turn until one returns a final answer or the time limit of 30 s expires.
    static Job submit(ProcessCluster &cluster, const std::string &submission, const std::string &body, int firstEntry,
                      long attemptTimeoutMs)
    {
        Job job {submission, nullptr, {}};
        const auto end = std::chrono::steady_clock::now() + submitTimeout;
        for (int attempt = 0; std::chrono::steady_clock::now() < end; ++attempt) {
            const int entry = 1 + (firstEntry + attempt) % ProcessCluster::entryCount;
            const auto reply = httpCall("POST", cluster.url("entry", entry) + "/v1/jobs", body, attemptTimeoutMs);
            const auto answer = reply.json();
            if (isFinalAnswer(answer)) {
                job.answer = answer;
                break;
            }
            job.earlierAttempts.push_back(std::to_string(reply.status) + " " + reply.failure + reply.body);
            std::this_thread::sleep_for(20ms);
        }
        return job;
    }

private:
    static bool isFinalAnswer(const nlohmann::json &answer)
    {
        if (!answer.is_object()) {
            return false;
        }
        if (answer.contains("error")) {
            const auto &error = answer["error"];
            return error.value("notRun", false) || error["code"] == "TOO_OLD" || error["code"] == "ANSWER_DROPPED";
        }
        return answer.value("state", std::string()) != "running";
    }
    void run(int caller)
    {
        for (int i = 0; !this->isStopping; ++i) {
            const auto submission = fmt::format("s{}-{}", caller, i);
            auto job = submit(this->cluster, submission, jobBody(submission, tasksPerJob, 10000), caller, 10000);
            const std::lock_guard lock(this->mutex);
            this->jobs.push_back(std::move(job));
        }
    }

    ProcessCluster &cluster;
    std::atomic<bool> isStopping {false};
    std::mutex mutex;
    std::vector<Job> jobs;
    std::vector<std::thread> threads;
};

} // namespace agatedrum::test
