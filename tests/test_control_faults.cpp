#include "base_log_p.h"
#include "control_codec_p.h"
#include "control_faults.h"
#include "control_sim.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <cstdlib>

using namespace agatedrum;
using namespace agatedrum::test;

namespace {

/// Defects injected into the control group, which the checks must detect.
enum class Defect { None, VotesReportedEarly, LearnerCountedEarly, VotesLostWithDisk };

/// Collects violations of the safety properties, which must hold at any time under any faults.
class Checker
{
public:
    explicit Checker(SimCluster &cluster)
        : cluster(cluster)
    {
    }

    void observeMessage(const IncomingMessage &message)
    {
        if (const auto *append = std::get_if<wire::AppendEntries>(&message.payload)) {
            this->expectSame(this->leaders, {append->group, append->term}, append->member, "leader of term");
            for (const auto &entry : append->entries) {
                this->expectSame(this->entries, {entry.index, entry.term}, entry.command, "entry");
            }
        } else if (const auto *view = std::get_if<wire::ClusterView>(&message.payload)) {
            for (const auto &cell : view->cells) {
                if (cell.__isset.owner) {
                    const auto owner = fmt::format("{}/{}", cell.owner.id.name, cell.owner.id.incarnation);
                    this->expectSame(this->owners, {cell.cell, cell.epoch}, owner, "owner of cell");
                }
            }
        } else if (const auto *reply = std::get_if<wire::ApplyReply>(&message.payload)) {
            if (reply->accepted) {
                this->expectSame(this->files, reply->inForce.number, reply->inForce.digest, "file");
                this->highestAcceptedNumber = std::max(this->highestAcceptedNumber, reply->inForce.number);
            }
        }
    }

    void checkStep()
    {
        int leaders = 0;
        for (const auto &core : this->cluster.cores) {
            if (core) {
                leaders += core->isLeader() ? 1 : 0;
                this->checkCore(*core);
            }
        }
        if (leaders > 1) {
            this->addViolation("two leaders with a lease");
        }
        std::map<std::int32_t, int> activeOwners;
        for (const auto &[name, member] : this->cluster.members) {
            if (member->link.hasLease()) {
                for (const auto &cell : member->link.view().cells) {
                    if (member->owns(cell) && ++activeOwners[cell.cell] > 1) {
                        this->addViolation(fmt::format("two owners with a lease for cell {}", cell.cell));
                    }
                }
            }
        }
    }

    std::vector<std::string> violations;
    std::int64_t highestAcceptedNumber = 0;

private:
    void checkCore(ControlCore &core)
    {
        const auto index = core.commitIndex();
        auto &lastIndex = this->lastIndexes[&core];
        if (index == lastIndex) {
            return;
        }
        lastIndex = index;
        const auto state = core.state();
        this->expectSame(this->states, index, encodeCompact(state.image()), "state after entry");
        for (const auto &file : state.history()) {
            this->expectSame(this->files, file.number, file.digest, "file");
        }
        if (core.isLeader() && state.file().number < this->highestAcceptedNumber) {
            this->addViolation(
                fmt::format("accepted file {} is missing at a leader with a lease", this->highestAcceptedNumber));
        }
    }

    template<typename Map>
    void expectSame(Map &map, const typename Map::key_type &key, const std::string &value, const char *what)
    {
        const auto [found, isNew] = map.emplace(key, value);
        if (!isNew && found->second != value) {
            this->addViolation(fmt::format("two different values for the same {}", what));
        }
    }

    void addViolation(std::string text)
    {
        if (this->violations.size() < 5) {
            this->violations.push_back(std::move(text));
        }
    }

    SimCluster &cluster;
    std::map<std::pair<std::string, std::int64_t>, std::string> leaders;
    std::map<std::pair<std::int64_t, std::int64_t>, std::string> entries;
    std::map<std::pair<std::int32_t, std::int64_t>, std::string> owners;
    std::map<std::int64_t, std::string> files;
    std::map<std::int64_t, std::string> states;
    std::map<const ControlCore *, std::int64_t> lastIndexes;
};

/// One run: random faults of disks, network and processes, then a repair of all faults.
class FaultRun
{
public:
    FaultRun(std::uint64_t seed, Defect defect)
        : cluster(3, seed)
        , checker(this->cluster)
        , random(seed)
        , defect(defect)
        , disks(3)
        , restartAt(3)
    {
        this->cluster.net.interceptor = [this](IncomingMessage &message) {
            this->interceptMessage(message);
            this->checker.observeMessage(message);
        };
        this->cluster.onStep = [this] {
            this->flushDisks(8);
            this->crashLastVoter();
            this->checker.checkStep();
        };
        this->cluster.snapshotEntries = 8;
        for (std::size_t i = 0; i < this->disks.size(); ++i) {
            this->startNode(i);
        }
        this->cluster.run(Millis(1500));
        this->cluster.addMember("entry-1", wire::Role::ENTRY, 41101, "d1");
        for (int i = 1; i <= 4; ++i) {
            this->cluster.addMember(fmt::format("owner-{}", i), wire::Role::OWNER, 41200 + i,
                                    fmt::format("d{}", i % 3));
        }
        this->cluster.addAgent("agent-1", 41301, "tank");
        this->cluster.run(Millis(1500));
        this->applyNextFile();
    }

    /// Injects random faults for a time.
    void injectFaults(Millis time)
    {
        const auto end = this->cluster.clock.now() + time;
        this->isInjectingFaults = true;
        while (this->cluster.clock.now() < end) {
            this->injectRandomFault();
            if (this->leaderCrashAt && this->cluster.clock.now() >= *this->leaderCrashAt) {
                this->leaderCrashAt.reset();
                this->crashLeaderWithLaggingFollower();
            }
            for (int i = this->randomBelow(20); i >= 0; --i) {
                this->cluster.run(Millis(20));
                this->restartDueNodes();
            }
        }
    }

    /// Ends all faults.
    /// @return whether the group then recovers: three voters, an owner for every cell, and a new file is accepted.
    bool repair()
    {
        this->cluster.net.healPartitions();
        this->cluster.net.faults = {};
        this->isInjectingFaults = false;
        for (std::size_t i = 0; i < this->disks.size(); ++i) {
            this->disks[i].isFull = false;
            this->disks[i].cutPowerAfter(-1);
            this->restartAt[i] = Time {};
        }
        this->restartDueNodes();
        // A store that was full notices the free space when it retries its write.
        this->cluster.run(Millis(200));
        return this->cluster.runUntil(Millis(20000), [this] { return this->isRecovered(); }) && this->applyNextFile();
    }

    /// Applies a file with the next number. @return whether it was accepted.
    bool applyNextFile()
    {
        if (!this->cluster.runUntil(Millis(5000), [this] { return this->cluster.leader() >= 0; })) {
            return false;
        }
        auto &entry = *this->cluster.members.at("entry-1");
        // The newest number may belong to a file whose reply was lost, so it is read from the leader.
        const auto number = this->cluster.leaderCore().configNumber() + 1;
        return this->cluster.apply(entry, configText(number, 2)).accepted;
    }

    SimCluster cluster;
    Checker checker;

private:
    int randomBelow(int bound)
    {
        return static_cast<int>(this->random() % static_cast<std::uint64_t>(bound));
    }

    void startNode(std::size_t number)
    {
        this->disks[number].cutPowerAfter(-1);
        // A process cannot start if there is no space for an empty log.
        this->disks[number].isFull = this->disks[number].isFull && !this->disks[number].files.empty();
        try {
            this->cluster.stores[number]
                = std::make_shared<SimStore>(this->disks[number], this->defect == Defect::VotesReportedEarly);
            this->cluster.start(number);
        } catch (const ControlStoreError &) {
            // An interrupted snapshot cannot be completed while the disk is full; any other error is a test failure.
            if (!this->disks[number].isFull) {
                throw;
            }
        }
    }

    SimStore &store(std::size_t number)
    {
        return static_cast<SimStore &>(*this->cluster.stores[number]);
    }

    void flushDisks(int oneIn)
    {
        for (std::size_t i = 0; i < this->disks.size(); ++i) {
            if (this->cluster.cores[i] && this->randomBelow(oneIn) == 0) {
                try {
                    this->store(i).flush();
                } catch (const PowerCut &) {
                    this->crashNode(i);
                }
            }
        }
    }

    void crashNode(std::size_t number)
    {
        this->cluster.kill(number);
        this->disks[number].crash(this->random);
        this->restartAt[number] = this->cluster.clock.now() + Millis(this->randomBelow(1500));
    }

    void restartDueNodes()
    {
        for (std::size_t i = 0; i < this->disks.size(); ++i) {
            if (!this->cluster.cores[i] && this->cluster.clock.now() >= this->restartAt[i]) {
                this->startNode(i);
            }
        }
    }

    void injectRandomFault()
    {
        const auto node = static_cast<std::size_t>(this->randomBelow(3));
        const int other = this->randomBelow(3);
        switch (this->randomBelow(32)) {
        case 0:
        case 1:
            if (this->cluster.cores[node]) {
                this->crashNode(node);
            }
            break;
        case 2:
            this->disks[node].cutPowerAfter(this->randomBelow(6));
            break;
        case 3:
            this->wipe(node);
            break;
        case 4:
        case 5:
            this->cluster.net.setPartitioned(41001 + static_cast<int>(node), 41001 + other, true);
            break;
        case 6:
        case 7:
        case 8:
            this->cluster.net.healPartitions();
            break;
        case 9:
            this->cluster.net.faults
                = {this->randomBelow(20), this->randomBelow(20), Micros(1000 + this->randomBelow(80000))};
            break;
        case 10:
            this->cluster.net.faults = {};
            break;
        case 11:
            this->disks[node].isFull = this->randomBelow(3) == 0;
            break;
        case 12:
            this->partitionOwner();
            break;
        case 13:
            this->restartOwner();
            break;
        case 14:
            if (this->cluster.cores[node] && this->randomBelow(4) == 0) {
                this->cluster.cores[node]->beginStop();
                this->cluster.run(Millis(20));
                if (this->cluster.cores[node]) {
                    this->crashNode(node);
                }
            }
            break;
        case 15:
        case 16:
            this->crashLeaderWithLaggingFollower();
            break;
        default:
            this->applyFile();
        }
        for (const auto &[name, member] : this->cluster.members) {
            member->updateReport(this->randomBelow(2) == 0);
        }
    }

    /// Wipes a disk, but only if all three voters run: the group cannot survive the loss of two disks of three.
    void wipe(std::size_t number)
    {
        const auto leader = this->cluster.leader();
        if (leader >= 0 && leader != static_cast<int>(number) && this->randomBelow(2) == 0) {
            // Lets the third process fall behind, so that the wiped disk had entries that it lacks.
            this->cluster.net.setPartitioned(41001 + leader, 41001 + 3 - leader - static_cast<int>(number), true);
            this->applyFiles();
        }
        if (!this->hasCurrentVoters()) {
            return;
        }
        const auto state = this->store(number).load().state;
        const auto member = this->cluster.cores[number]->dump()["member"].get<std::string>();
        this->cluster.kill(number);
        this->disks[number].wipe();
        if (this->defect == Defect::VotesLostWithDisk) {
            // Injected defect: the process restarts with its old identity, but without its votes and log entries.
            SimStore store(this->disks[number], false);
            ControlWrite write;
            write.sequence = 1;
            write.state = state;
            write.state->member = member;
            write.state->term = 1;
            write.state->vote.clear();
            write.state->group = this->group;
            store.submit(std::move(write));
            store.flush();
        }
        this->restartAt[number] = this->cluster.clock.now() + Millis(this->randomBelow(300));
        this->leaderCrashAt = this->restartAt[number] + Millis(this->randomBelow(2000));
        this->learnerUntil[this->cluster.group[number].name] = this->cluster.clock.now() + Millis(5000);
    }

    void interceptMessage(IncomingMessage &message)
    {
        if (const auto *append = std::get_if<wire::AppendEntries>(&message.payload)) {
            this->group = append->group;
            this->lastPrevIndex = append->prevIndex;
        }
        const auto *vote = std::get_if<wire::VoteReply>(&message.payload);
        if (vote && vote->granted && !vote->preVote) {
            this->lastVoter = message.address.port - 41001;
        }
        auto *reply = std::get_if<wire::AppendReply>(&message.payload);
        if (this->defect == Defect::LearnerCountedEarly && reply && !reply->ok && !reply->group.empty()
            && this->cluster.clock.now() < this->learnerUntil[message.sender.name]) {
            // Injected defect: the learner counts as up to date before it has the log.
            reply->ok = true;
            reply->matchIndex = this->lastPrevIndex;
        }
    }

    /// Crashes a process that has just voted, and isolates the leader: the restarted process must not vote again in the
    /// same term.
    void crashLastVoter()
    {
        const auto voter = std::exchange(this->lastVoter, -1);
        if (!this->isInjectingFaults) {
            return;
        }
        if (voter >= 0 && this->cluster.cores[static_cast<std::size_t>(voter)] && this->randomBelow(3) == 0) {
            this->crashNode(static_cast<std::size_t>(voter));
            this->restartAt[static_cast<std::size_t>(voter)] = this->cluster.clock.now();
            this->partitionLeaderAt = this->cluster.clock.now() + Millis(10);
        }
        if (!this->partitionLeaderAt || this->cluster.clock.now() < *this->partitionLeaderAt) {
            return;
        }
        this->partitionLeaderAt.reset();
        for (int i = 0; i < 3; ++i) {
            const auto &core = this->cluster.cores[static_cast<std::size_t>(i)];
            if (core && core->dump()["leader"] == this->cluster.group[static_cast<std::size_t>(i)].name) {
                this->cluster.net.setPartitioned(41001 + i, 41001 + (i + 1) % 3, true);
                this->cluster.net.setPartitioned(41001 + i, 41001 + (i + 2) % 3, true);
            }
        }
    }

    /// Lets one follower fall behind and then crashes the leader, so that only the third process has all entries.
    void crashLeaderWithLaggingFollower()
    {
        const auto leader = this->cluster.leader();
        if (leader < 0) {
            return;
        }
        this->cluster.net.setPartitioned(41001 + leader, 41001 + (leader + 1 + this->randomBelow(2)) % 3, true);
        this->applyFiles();
        if (this->cluster.cores[static_cast<std::size_t>(leader)]) {
            this->crashNode(static_cast<std::size_t>(leader));
        }
        this->cluster.net.healPartitions();
    }

    void applyFiles()
    {
        for (int i = 0; i < 10; ++i) {
            this->applyFile();
            this->cluster.run(Millis(this->randomBelow(80)));
        }
    }

    void partitionOwner()
    {
        const int port = 41200 + 1 + this->randomBelow(4);
        for (int control = 41001; control <= 41003; ++control) {
            this->cluster.net.setPartitioned(port, control, true);
        }
    }

    void restartOwner()
    {
        const int number = 1 + this->randomBelow(4);
        this->cluster.addMember(fmt::format("owner-{}", number), wire::Role::OWNER, 41200 + number,
                                fmt::format("d{}", number % 3), ++this->ownerIncarnation);
    }

    void applyFile()
    {
        // Simulates two operators: numbers repeat, with the same or different content.
        wire::ApplyConfig request;
        request.requestId = ++this->lastRequestId;
        request.text = configText(this->checker.highestAcceptedNumber + this->randomBelow(3), 2, 2,
                                  this->randomBelow(2) == 0 ? "team-a" : "team-b");
        request.author = "operator";
        this->cluster.members.at("entry-1")->send(41001 + this->randomBelow(3), std::move(request));
    }

    /// Returns whether all three processes run and the voters are the identities of their current disks.
    bool hasCurrentVoters()
    {
        const auto &cores = this->cluster.cores;
        if (this->cluster.leader() < 0
            || !std::all_of(cores.begin(), cores.end(), [](const auto &core) { return core != nullptr; })) {
            return false;
        }
        const auto voters = this->cluster.leaderCore().dump()["voters"];
        return voters.size() == 3 && std::all_of(cores.begin(), cores.end(), [&voters](const auto &core) {
                   return std::find(voters.begin(), voters.end(), core->dump()["member"]) != voters.end();
               });
    }

    bool isRecovered()
    {
        if (!this->hasCurrentVoters()) {
            return false;
        }
        const auto &leader = this->cluster.leaderCore();
        const auto state = leader.state();
        return std::all_of(this->cluster.cores.begin(), this->cluster.cores.end(),
                           [&](const auto &core) { return core->commitIndex() >= leader.commitIndex(); })
            && std::all_of(state.cells().begin(), state.cells().end(),
                           [&state](const auto &cell) { return state.member(cell.second.record.owner) != nullptr; });
    }

    std::mt19937_64 random;
    Defect defect;
    std::vector<FakeDisk> disks;
    std::vector<Time> restartAt;
    std::string group;
    std::int64_t lastPrevIndex = 0;
    std::optional<Time> leaderCrashAt;
    std::optional<Time> partitionLeaderAt;
    int lastVoter = -1;
    bool isInjectingFaults = false;
    std::map<std::string, Time> learnerUntil;
    std::int64_t ownerIncarnation = 1;
    std::int64_t lastRequestId = 0;
};

std::uint64_t firstSeed()
{
    const auto *text = std::getenv("AGATEDRUM_SEED");
    return text ? std::strtoull(text, nullptr, 10) : 1000;
}

int seedCount()
{
    const auto *text = std::getenv("AGATEDRUM_SEEDS");
    return text ? std::atoi(text) : 12;
}

/// Runs seeds until the checks detect the defect. @return the number of seeds run, or 0 if it was not detected.
int seedsUntilDetected(Defect defect, int maxSeeds)
{
    for (int i = 0; i < maxSeeds; ++i) {
        FaultRun run(firstSeed() + static_cast<std::uint64_t>(i), defect);
        run.injectFaults(Millis(120000));
        if (!run.checker.violations.empty()) {
            fmt::print("defect {} detected with seed {}: {}\n", static_cast<int>(defect),
                       firstSeed() + static_cast<std::uint64_t>(i), run.checker.violations.front());
            return i + 1;
        }
    }
    return 0;
}

} // namespace

// Guards against lost or contradictory decisions: two leaders or two owners at the same time, different entries at one
// index, or an accepted file that disappears. They can come about when processes crash, disks lose data or fill up, and
// messages are lost, repeated, delayed or blocked.
TEST_CASE("Committed decisions survive random faults of disks, network and processes", "[control]")
{
    setLogLevel(LogLevel::Error);
    for (int i = 0; i < seedCount(); ++i) {
        const auto seed = firstSeed() + static_cast<std::uint64_t>(i);
        FaultRun run(seed, Defect::None);
        run.injectFaults(Millis(120000));
        const bool isRepaired = run.repair();
        fmt::print("seed {}: highest accepted file {}\n", seed, run.checker.highestAcceptedNumber);
        INFO(fmt::format("seed {}, highest accepted file {}: {}", seed, run.checker.highestAcceptedNumber,
                         fmt::join(run.checker.violations, "; ")));
        std::string processes;
        for (const auto &core : run.cluster.cores) {
            const auto dump = core ? core->dump() : nlohmann::json::object();
            for (const auto *key : {"member", "leader", "term", "commitIndex", "lastIndex", "voters", "learners"}) {
                processes += dump.contains(key) ? dump[key].dump() + " " : "- ";
            }
            processes += "\n";
        }
        INFO(processes);
        REQUIRE(run.checker.violations.empty());
        REQUIRE(run.checker.highestAcceptedNumber > 0);
        REQUIRE(isRepaired);
    }
}

// Guards against checks that detect nothing: each injected defect must lead to a violation within 40 seeds.
TEST_CASE("The safety checks detect injected defects", "[control]")
{
    setLogLevel(LogLevel::Error);
    REQUIRE(seedsUntilDetected(Defect::VotesReportedEarly, 40) > 0);
    REQUIRE(seedsUntilDetected(Defect::LearnerCountedEarly, 40) > 0);
    REQUIRE(seedsUntilDetected(Defect::VotesLostWithDisk, 40) > 0);
}
