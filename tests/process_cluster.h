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

/// A whole cluster of real processes on loopback, with an emulated backend server beside each agent.
class ProcessCluster
{
public:
    static constexpr int owners = 3;
    static constexpr int entries = 2;
    static constexpr int agents = 4;

    /// @param base first of 100 ports.
    ProcessCluster(int base, int controls)
        : base(base)
        , controls(controls)
    {
        curl_global_init(CURL_GLOBAL_DEFAULT);
        std::string pattern = (std::filesystem::temp_directory_path() / "agatedrum-test-XXXXXX").string();
        this->folder = ::mkdtemp(pattern.data());
        const std::vector<std::pair<std::string, int>> roles
            = {{"control", controls}, {"owner", owners}, {"entry", entries}, {"agent", agents}};
        for (const auto &[role, count] : roles) {
            for (int i = 1; i <= count; ++i) {
                this->writeSettings(role, i);
                this->start(role, i);
            }
        }
        for (int i = 1; i <= agents; ++i) {
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

    /// Starts a process that does not run.
    void start(const std::string &role, int index)
    {
        const auto name = nameOf(role, index);
        const auto log = this->folder + "/" + name + ".log";
        std::vector<std::string> arguments = {"--settings", this->folder + "/" + name + ".yaml"};
        if (role == "backend") {
            const double speeds[] = {0.7, 1.0, 1.3, 1.8};
            arguments = {"--name",    name,
                         "--service", "desk",
                         "--port",    std::to_string(this->port(role, index, false)),
                         "--slots",   "8",
                         "--speed",   std::to_string(speeds[index - 1]),
                         "--agent",   fmt::format("http://127.0.0.1:{}", this->port("agent", index, true))};
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
        return fmt::format("http://127.0.0.1:{}", this->port(role, index, true));
    }
    /// Accepts a configuration and answers a first job.
    bool becomeReady(const std::string &firstJob)
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
    /// Owner of the only cell, or an empty name.
    std::string owner()
    {
        for (int i = 1; i <= entries; ++i) {
            const auto cells = httpCall("GET", this->url("entry", i) + "/v1/cells", {}, 2000).json();
            if (cells.is_array() && cells.size() == 1) {
                return cells[0].value("owner", std::string());
            }
        }
        return {};
    }
    /// Leader of the control group, or an empty name.
    std::string leader()
    {
        for (int i = 1; i <= this->controls; ++i) {
            const auto dump = httpCall("GET", this->url("control", i) + "/v1/dump", {}, 2000).json();
            if (dump.is_object() && dump.value("leader", std::string()) == nameOf("control", i)) {
                return nameOf("control", i);
            }
        }
        return {};
    }
    /// Sum of a counter over the agents that run.
    std::int64_t agentCounter(const std::string &name)
    {
        std::int64_t sum = 0;
        for (int i = 1; i <= agents; ++i) {
            const auto dump = httpCall("GET", this->url("agent", i) + "/v1/dump", {}, 2000).json();
            sum += dump.is_object() ? dump["counters"].value(name, std::int64_t {0}) : 0;
        }
        return sum;
    }

    struct TaskRecord
    {
        int starts = 0;
        int finishes = 0;
        int cuts = 0;
    };
    /// What all backend servers that run noted, by task header.
    std::map<std::string, TaskRecord> record()
    {
        std::map<std::string, TaskRecord> sum;
        for (int i = 1; i <= agents; ++i) {
            if (!this->process(nameOf("backend", i)).isRunning()) {
                continue;
            }
            const auto whole = httpCall("GET", this->url("backend", i) + "/v1/record").json();
            for (const auto &task : whole.at("tasks")) {
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
    int port(const std::string &role, int index, bool isHttp) const
    {
        static const std::map<std::string, int> offsets
            = {{"control", 0}, {"owner", 20}, {"entry", 40}, {"agent", 60}, {"backend", 80}};
        return this->base + offsets.at(role) + (isHttp && role != "backend" ? 10 : 0) + index;
    }
    void writeSettings(const std::string &role, int index)
    {
        const char *domains[] = {"north", "east", "south", "west"};
        std::ofstream file(this->folder + "/" + nameOf(role, index) + ".yaml");
        file << fmt::format("role: {}\nname: {}\nfailureDomain: {}\n", role, nameOf(role, index),
                            domains[(index - 1) % 4]);
        file << fmt::format("peers: {{host: 127.0.0.1, port: {}}}\n", this->port(role, index, false));
        file << fmt::format("http: {{host: 127.0.0.1, port: {}}}\ncontrol:\n", this->port(role, index, true));
        for (int i = 1; i <= this->controls; ++i) {
            file << fmt::format("  - {{name: control-{}, address: {{host: 127.0.0.1, port: {}}}}}\n", i,
                                this->port("control", i, false));
        }
        if (role == "control") {
            file << "dataFolder: " << this->folder << "/data-" << index << "\n";
        }
    }

    const int base;
    const int controls;
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

/// Callers that submit jobs one after another and resubmit each until it has an answer.
class CallerLoad
{
public:
    struct Job
    {
        std::string submission;
        nlohmann::json answer; ///< null when there was none
        std::vector<std::string> earlierTries; ///< what came before the answer
    };

    static constexpr int callers = 8;
    static constexpr int tasks = 8;
    static constexpr auto giveUpAfter = 30s;

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

    /// Waits for the answers of the jobs under way.
    std::vector<Job> stop()
    {
        this->isStopping = true;
        for (auto &thread : this->threads) {
            thread.join();
        }
        this->threads.clear();
        return this->jobs;
    }

    /// Submits one job, through the entries in turn, until it has an answer.
    static Job submit(ProcessCluster &cluster, const std::string &submission, const std::string &body, int firstEntry,
                      long tryMs)
    {
        Job job {submission, nullptr, {}};
        const auto end = std::chrono::steady_clock::now() + giveUpAfter;
        for (int attempt = 0; std::chrono::steady_clock::now() < end; ++attempt) {
            const int entry = 1 + (firstEntry + attempt) % ProcessCluster::entries;
            const auto reply = httpCall("POST", cluster.url("entry", entry) + "/v1/jobs", body, tryMs);
            const auto answer = reply.json();
            if (isFinal(answer)) {
                job.answer = answer;
                break;
            }
            job.earlierTries.push_back(std::to_string(reply.status) + " " + reply.body);
            std::this_thread::sleep_for(20ms);
        }
        return job;
    }

private:
    static bool isFinal(const nlohmann::json &answer)
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
            auto job = submit(this->cluster, submission, jobBody(submission, tasks, 10000), caller, 10000);
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
