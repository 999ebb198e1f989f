#pragma once

#include "child_process.h"
#include "soak_machine.h"

#include <filesystem>
#include <fstream>

namespace agatedrum::test {

/// Numbers and limits of the processes in a SoakCluster.
struct SoakClusterOptions
{
    int controls = 3;
    int entries = 3;
    int hosts = 4;
    int maxInFlight = 20000; ///< of each entry
    int maxConnections = 10000; ///< of each entry
    bool hasSlowExecutor = false; ///< runs at the first executor take 2.5 times as long
    bool hasLateCalls = false; ///< see SoakExecutorOptions
    bool hasLateStarts = false; ///< see SoakExecutorOptions; every other executor also grants leases late
    bool changesCapacity = false; ///< see SoakExecutorOptions
    int number = 0; ///< 0 to 9; distinguishes clusters that one test process runs at the same time
    std::uint64_t seed = 1;
};

/// A cluster of real processes that speak the platform's protocols, with a stand-in for an executor beside each host.
/// Every host has a loopback address of its own, because all control processes listen on the same port. Only one thread
/// may start and stop processes.
class SoakCluster
{
public:
    static constexpr auto serviceName = "desk";
    static constexpr SoakMillis grace {6000}; ///< from SIGTERM to SIGKILL

    SoakCluster(SoakRecord &record, const SoakClusterOptions &options)
        : options(options)
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "agatedrum-soak-XXXXXX").string();
        this->folder = ::mkdtemp(pattern.data());
        std::mt19937_64 random(options.seed);
        for (const auto &[role, count] : this->roles()) {
            for (int i = 1; i <= count; ++i) {
                this->writeSettings(role, i, true);
                this->start(nameOf(role, i));
            }
        }
        for (int i = 1; i <= options.hosts; ++i) {
            SoakExecutorOptions executor;
            executor.id = fmt::format("i-{:08x}", 16 * options.number + i);
            executor.service = serviceName;
            executor.zone = zoneOf(i);
            executor.address = {this->hostAddress("agent", i), executorPort};
            executor.registrar = {this->hostAddress("agent", i), registrationPort};
            executor.clockRate = random() % 2 == 0 ? 1.0 : 0.98;
            executor.slowness = options.hasSlowExecutor && i == 1 ? 2.5 : 1.0;
            executor.hasLateCalls = options.hasLateCalls;
            executor.hasLateStarts = options.hasLateStarts;
            executor.grantsLateLeases = options.hasLateStarts && i % 2 == 0;
            executor.changesCapacity = options.changesCapacity;
            executor.onLateStart = [this, i] { this->lateStartHost = i; };
            executor.seed = random();
            this->executors.push_back(std::make_unique<SoakMachine>(record, executor));
        }
    }
    ~SoakCluster()
    {
        this->processes.clear();
        this->executors.clear();
        if (std::getenv("AGATEDRUM_KEEP_LOGS") == nullptr) {
            std::filesystem::remove_all(this->folder);
        }
    }
    SoakCluster(const SoakCluster &) = delete;
    SoakCluster &operator=(const SoakCluster &) = delete;

    /// Starts a process, again or for the first time. Precondition: it is not running.
    void start(const std::string &name)
    {
        const bool isAgain = this->processes.count(name) > 0;
        if (isAgain && roleOf(name) == "control") {
            this->writeSettings("control", indexOf(name), false);
        }
        this->processes[name] = std::make_unique<ChildProcess>(
            "agatedrumd", std::vector<std::string> {"--settings", this->folder + "/" + name + ".yaml"},
            this->folder + "/" + name + ".log");
    }
    ChildProcess &process(const std::string &name)
    {
        return *this->processes.at(name);
    }
    std::vector<std::string> processNames() const
    {
        std::vector<std::string> names;
        for (const auto &[name, process] : this->processes) {
            names.push_back(name);
        }
        return names;
    }

    int entryCount() const
    {
        return this->options.entries;
    }
    int controlCount() const
    {
        return this->options.controls;
    }
    /// @param index 1 for the first entry
    SoakAddress callerAddress(int index) const
    {
        return {this->hostAddress("entry", index), callerPort};
    }
    SoakAddress operatorAddress(int index) const
    {
        return {this->hostAddress("control", index), operatorPort};
    }
    /// Returns the host that last sent a start order that will be carried out late, once for each such order, or an
    /// empty string. Thread-safe.
    std::string takeLateStartHost()
    {
        const int index = this->lateStartHost.exchange(0);
        return index == 0 ? std::string() : nameOf("agent", index);
    }
    const std::string &logFolder() const
    {
        return this->folder;
    }

    static std::string nameOf(const std::string &role, int index)
    {
        return role + "-" + std::to_string(index);
    }
    static std::string roleOf(const std::string &name)
    {
        return name.substr(0, name.rfind('-'));
    }
    static int indexOf(const std::string &name)
    {
        return std::stoi(name.substr(name.rfind('-') + 1));
    }

private:
    // All below the range of ephemeral ports.
    static constexpr int firstPeerPort = 7720;
    static constexpr int executorPort = 8080;
    static constexpr int callerPort = 8161;
    static constexpr int operatorPort = 8166;
    static constexpr int readinessPort = 8167;
    static constexpr int registrationPort = 8168;

    std::vector<std::pair<std::string, int>> roles() const
    {
        return {{"control", this->options.controls}, {"entry", this->options.entries}, {"agent", this->options.hosts}};
    }
    static std::string zoneOf(int index)
    {
        const char *zones[] = {"north", "east", "south", "west"};
        return zones[(index - 1) % 4];
    }
    /// Returns a loopback address that no other process of the tests uses. Entry and control process of the same index
    /// share one.
    std::string hostAddress(const std::string &role, int index) const
    {
        const int pid = ::getpid();
        constexpr int addressesPerCluster = 24;
        constexpr int firstAgent = 12;
        const int last = 4 + addressesPerCluster * this->options.number + (role == "agent" ? firstAgent : 0) + index;
        return fmt::format("127.{}.{}.{}", 1 + pid / 250 % 250, 1 + pid % 250, last);
    }

    void writeSettings(const std::string &role, int index, bool mayFormGroup) const
    {
        const auto host = this->hostAddress(role, index);
        const int peerPort = firstPeerPort + (role == "entry" ? 1 : 0);
        const int httpPort = role == "entry" ? 9101 : role == "control" ? 9102 : 9103;
        std::string seeds;
        for (int i = 1; i <= this->options.controls; ++i) {
            seeds += fmt::format("{}\"{}:{}\"", i == 1 ? "" : ", ", this->hostAddress("control", i), operatorPort);
        }
        const auto name = role == "control" ? fmt::format("\"{}:{}\"", host, firstPeerPort) : nameOf(role, index);
        std::ofstream file(this->folder + "/" + nameOf(role, index) + ".yaml");
        file << fmt::format("role: {}\ninterface: platform\nname: {}\nfailureDomain: {}\n", role, name, zoneOf(index))
             << fmt::format("peers: {{host: {}, port: {}}}\nhttp: {{host: {}, port: {}}}\n", host, peerPort, host,
                            httpPort)
             << fmt::format("controlSeeds: [{}]\ncontrolPort: {}\ngraceSeconds: {}\n", seeds, firstPeerPort,
                            std::chrono::duration_cast<std::chrono::seconds>(grace).count())
             << "busThreads: 1\nhttpThreads: 1\n";
        if (role == "entry") {
            file << fmt::format("callers: \"{}:{}\"\nreadiness: \"{}:{}\"\nfarFactor: 1.5\n", host, callerPort, host,
                                readinessPort)
                 << fmt::format("maxInFlight: {}\nmaxConnections: {}\n", this->options.maxInFlight,
                                this->options.maxConnections);
        } else if (role == "control") {
            file << fmt::format("operators: \"{}:{}\"\ndataFolder: {}/data-{}\nmayFormGroup: {}\n", host, operatorPort,
                                this->folder, index, mayFormGroup);
            // A group accepts no change if it has too few processes for the losses that its settings name.
            file << fmt::format("toleratedMachines: {}\n", (this->options.controls - 1) / 2);
        } else {
            file << fmt::format("registrations: \"{}:{}\"\ncallerRetryMs: 1300\n", host, registrationPort);
        }
    }

    const SoakClusterOptions options;
    std::string folder;
    std::map<std::string, std::unique_ptr<ChildProcess>> processes;
    std::atomic<int> lateStartHost {0}; ///< index of a host, 0 for none
    std::vector<std::unique_ptr<SoakMachine>> executors;
};

} // namespace agatedrum::test
