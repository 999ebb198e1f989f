#include "child_process.h"
#include "soak_platform.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace agatedrum::test;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t diskProcesses = 8;
constexpr std::size_t tolerated = 2; ///< losses with their disks, at the same time
constexpr std::size_t votersNeeded = 2 * tolerated + 1;
constexpr auto acceptTime = 15s;
constexpr auto electionTime = 5s;

/// Control processes with the interface of the operators' platform. Every process has a loopback address of its own,
/// because all listen on the same ports.
class ControlProcesses
{
public:
    struct Answer
    {
        std::size_t process = 0; ///< number of the process that answered last
        HttpCallResponse response;
    };

    struct GroupState
    {
        std::size_t leader = 0;
        std::vector<std::size_t> voters;
    };

    /// @param count number of processes
    /// @param withDisk number of those that have a disk, the first ones
    ControlProcesses(std::size_t count, std::size_t withDisk)
        : withDisk(withDisk)
        , processes(count)
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "agatedrum-test-XXXXXX").string();
        this->folder = ::mkdtemp(pattern.data());
        for (std::size_t i = 0; i < count; ++i) {
            this->start(i, true);
        }
    }
    ~ControlProcesses()
    {
        this->processes.clear();
        if (std::getenv("AGATEDRUM_KEEP_LOGS") == nullptr) {
            std::filesystem::remove_all(this->folder);
        }
    }
    ControlProcesses(const ControlProcesses &) = delete;
    ControlProcesses &operator=(const ControlProcesses &) = delete;

    std::size_t count() const
    {
        return this->processes.size();
    }
    const std::string &logFolder() const
    {
        return this->folder;
    }
    /// Precondition: the process is not running.
    void start(std::size_t number, bool mayFormGroup)
    {
        const auto settings = fmt::format("{}/{}.yaml", this->folder, number);
        this->writeSettings(settings, number, mayFormGroup);
        this->processes[number]
            = std::make_unique<ChildProcess>("agatedrumd", std::vector<std::string> {"--settings", settings},
                                             fmt::format("{}/{}.log", this->folder, number));
    }
    /// Kills these processes at the same time.
    void kill(const std::vector<std::size_t> &numbers)
    {
        for (const auto number : numbers) {
            this->processes[number]->sendSignal(SIGKILL);
        }
        for (const auto number : numbers) {
            this->processes[number]->wait();
        }
    }
    /// Precondition: the process is not running.
    void emptyDisk(std::size_t number) const
    {
        std::filesystem::remove_all(this->dataFolder(number));
    }

    /// Returns the state of the group that its leader knows, or nothing if there is no leader within the time.
    std::optional<GroupState> waitForLeader(std::chrono::milliseconds time) const
    {
        std::optional<GroupState> state;
        eventually(
            [&] {
                for (std::size_t i = 0; i < this->count() && !state; ++i) {
                    state = this->stateOfLeader(i);
                }
                return state.has_value();
            },
            time);
        return state;
    }

    /// Sends a request to one process after the other until one accepts it or time is up. A read is accepted by the
    /// leader only, a change by every process that reaches the leader.
    Answer order(const std::string &method, const std::string &body, std::chrono::milliseconds time,
                 std::size_t first = 0) const
    {
        Answer answer;
        std::size_t next = first;
        eventually(
            [&] {
                answer.process = next++ % this->count();
                answer.response = this->orderAt(answer.process, method, body);
                return answer.response.status == 200;
            },
            time);
        return answer;
    }
    HttpCallResponse orderAt(std::size_t number, const std::string &method, const std::string &body) const
    {
        const auto url = fmt::format("http://{}:{}{}", host(number), operatorPort, soak_wire::configPath);
        return httpCall(method, url, body, 1000);
    }

private:
    // All below the range of ephemeral ports.
    static constexpr int peerPort = 7740;
    static constexpr int operatorPort = 8176;
    static constexpr int httpPort = 9104;

    static std::string host(std::size_t number)
    {
        const int pid = ::getpid();
        return fmt::format("127.{}.{}.{}", 1 + pid / 250 % 250, 1 + pid % 250, 10 + number);
    }
    static std::string peerName(std::size_t number)
    {
        return fmt::format("{}:{}", host(number), peerPort);
    }
    /// Returns nothing if the process does not lead.
    std::optional<GroupState> stateOfLeader(std::size_t number) const
    {
        const auto isIdentityOf = [](std::size_t process, const std::string &identity) {
            return identity.rfind(peerName(process), 0) == 0;
        };
        const auto dump = httpCall("GET", fmt::format("http://{}:{}/v1/dump", host(number), httpPort), {}, 1000).json();
        if (!dump.is_object() || !dump.value("lease", false)
            || !isIdentityOf(number, dump.value("leader", std::string()))) {
            return std::nullopt;
        }
        GroupState state {number, {}};
        for (const auto &voter : dump["voters"]) {
            for (std::size_t i = 0; i < this->count(); ++i) {
                if (isIdentityOf(i, voter)) {
                    state.voters.push_back(i);
                }
            }
        }
        return state;
    }
    std::string dataFolder(std::size_t number) const
    {
        return fmt::format("{}/data-{}", this->folder, number);
    }
    void writeSettings(const std::string &path, std::size_t number, bool mayFormGroup) const
    {
        constexpr std::size_t seedCount = 3;
        const char *domains[] = {"north", "east", "south", "west"};
        std::string seeds;
        for (std::size_t i = 0; i < seedCount; ++i) {
            seeds += fmt::format("{}\"{}:{}\"", i == 0 ? "" : ", ", host(i), operatorPort);
        }
        std::ofstream(path) << fmt::format(
            "role: control\ninterface: platform\nname: \"{0}:{1}\"\nfailureDomain: {2}\n"
            "peers: {{host: {0}, port: {1}}}\nhttp: {{host: {0}, port: {3}}}\ncontrolSeeds: [{4}]\ncontrolPort: {1}\n"
            "operators: \"{0}:{5}\"\ndataFolder: \"{6}\"\nmayFormGroup: {7}\ntoleratedMachines: {8}\n"
            "toleratedDomains: 1\nrepairSeconds: 4\nbusThreads: 1\nhttpThreads: 1\n",
            host(number), peerPort, domains[number % std::size(domains)], httpPort, seeds, operatorPort,
            number < this->withDisk ? this->dataFolder(number) : std::string(), mayFormGroup, tolerated);
    }

    const std::size_t withDisk;
    std::string folder;
    std::vector<std::unique_ptr<ChildProcess>> processes;
};

std::string configOf(std::int64_t number)
{
    return soak_wire::encodeConfig({number, 3, {"desk"}});
}

} // namespace

// Guards against an acknowledged configuration that is only on disks that may be lost together, and against a group
// that elects no leader after such a loss.
TEST_CASE("A configuration survives the loss of two processes with their disks and a kill of all",
          "[control][processes]")
{
    std::size_t processes = diskProcesses;
    SECTION("where each process has a disk") { }
    SECTION("where a process without a disk takes the changes")
    {
        ++processes;
    }
    ControlProcesses group(processes, diskProcesses);
    INFO(group.logFolder());
    const auto lastProcess = processes - 1;
    std::int64_t number = 1;
    const auto accepted = group.order("PUT", configOf(number), acceptTime);
    INFO(accepted.response.status << accepted.response.failure << accepted.response.body);
    REQUIRE(accepted.response.status == 200);
    auto state = group.waitForLeader(electionTime);
    REQUIRE(state);
    REQUIRE(state->voters.size() >= votersNeeded);
    auto holder = accepted.process;
    if (lastProcess >= diskProcesses) {
        ++number;
        REQUIRE(eventually([&] { return group.orderAt(lastProcess, "PUT", configOf(number)).status == 200; },
                           electionTime));
        state = group.waitForLeader(electionTime);
        REQUIRE(state);
        REQUIRE(std::count(state->voters.begin(), state->voters.end(), lastProcess) == 0);
        holder = state->leader;
    }

    const auto other = std::find_if(state->voters.begin(), state->voters.end(),
                                    [holder](std::size_t voter) { return voter != holder; });
    REQUIRE(other != state->voters.end());
    std::vector<std::size_t> killed = {holder, *other};
    for (std::size_t i = 0; i < processes; ++i) {
        if (i != holder && i != *other) {
            killed.push_back(i);
        }
    }
    group.kill(killed);
    group.emptyDisk(holder);
    group.emptyDisk(*other);
    for (std::size_t i = 0; i < processes; ++i) {
        group.start(i, false);
    }

    const auto readBack = group.order("GET", {}, acceptTime);
    INFO(readBack.response.status << readBack.response.failure << readBack.response.body);
    REQUIRE(readBack.response.status == 200);
    REQUIRE(soak_wire::configNumber(readBack.response.body) == number);
    const auto further = group.order("PUT", configOf(number + 1), acceptTime, lastProcess);
    INFO(further.response.status << further.response.failure << further.response.body);
    REQUIRE(further.response.status == 200);
    state = group.waitForLeader(electionTime);
    REQUIRE(state);
    REQUIRE(state->voters.size() >= votersNeeded);
}
