#pragma once

#include "control_faults.h"
#include "control_sim.h"

#include <fmt/format.h>

#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace agatedrum::test {

/// Operator of a simulated control group: sends up to eight changes at a time, each again after a second without an
/// acknowledgement, to any control process, and follows two redirects.
class SimOperator
{
public:
    struct Change
    {
        std::int64_t number = 0;
        std::string text;
        Time firstSentAt;
        Time lastSentAt;
        std::optional<Time> acknowledgedAt;
        int sends = 0;
        int redirects = 0;
        std::string redirectedTo; ///< leader to send the change to next, or empty
        std::string lastCode; ///< of the last answer
    };

    SimOperator(SimCluster &cluster, std::uint64_t seed)
        : cluster(cluster)
        , random(seed)
    {
    }

    /// Sends a new change, unless eight are in progress.
    void start(std::size_t paddingBytes)
    {
        if (this->inProgress() >= maxInProgress) {
            return;
        }
        Change change;
        change.number = ++this->lastNumber;
        change.text = "# " + std::string(paddingBytes, 'x') + "\n" + configText(change.number, 2);
        change.firstSentAt = this->cluster.clock.now();
        this->changes.push_back(std::move(change));
        this->send(this->changes.size() - 1, this->random() % this->cluster.cores.size());
    }
    /// Follows redirects and sends unacknowledged changes again. To be called at each step.
    void tick()
    {
        const auto now = this->cluster.clock.now();
        for (std::size_t i = 0; i < this->changes.size(); ++i) {
            auto &change = this->changes[i];
            if (change.acknowledgedAt) {
                continue;
            }
            const auto redirect = std::exchange(change.redirectedTo, {});
            for (std::size_t j = 0; j < this->cluster.group.size() && !redirect.empty(); ++j) {
                if (this->cluster.group[j].name == redirect) {
                    this->send(i, j);
                }
            }
            if (redirect.empty() && now - change.lastSentAt >= Millis(1000)) {
                change.redirects = 0;
                this->send(i, this->random() % this->cluster.cores.size());
            }
        }
    }
    std::size_t inProgress() const
    {
        return static_cast<std::size_t>(std::count_if(this->changes.begin(), this->changes.end(),
                                                      [](const Change &each) { return !each.acknowledgedAt; }));
    }

    std::vector<Change> changes;

private:
    static constexpr std::size_t maxInProgress = 8;

    void send(std::size_t index, std::size_t core)
    {
        auto &change = this->changes[index];
        change.lastSentAt = this->cluster.clock.now();
        ++change.sends;
        if (!this->cluster.cores[core]) {
            return;
        }
        wire::ApplyConfig request;
        request.text = change.text;
        request.author = "operator";
        request.ignoreIfNotHigher = true;
        this->cluster.cores[core]->applyLocal(
            request, [this, index](const LocalDecision &decision) { this->handleAnswer(index, decision); });
    }

    void handleAnswer(std::size_t index, const LocalDecision &decision)
    {
        auto &change = this->changes[index];
        change.lastCode = decision.decision.code + ": " + decision.decision.message;
        if (decision.decision.isAccepted && !change.acknowledgedAt) {
            change.acknowledgedAt = this->cluster.clock.now();
        }
        if (decision.decision.code == "not-leader" && change.redirects++ < 2) {
            change.redirectedTo = decision.leader;
        }
    }

    SimCluster &cluster;
    std::mt19937_64 random;
    std::int64_t lastNumber = 0;
};

/// One day of a control group whose disks fill up one after another, never two at a time, while an operator sends
/// changes. Everything is drawn from the seed: an open or a closed group, the order and times of the full disks, how
/// they refuse writes, and kills or losses of power.
class FullDisksDay
{
public:
    explicit FullDisksDay(std::uint64_t seed)
        : random(seed)
        , isOpen(this->randomBelow(2) == 0)
        , cluster(this->isOpen ? 4 : 3, seed)
        , changes(this->cluster, seed + 1)
        , disks(this->cluster.group.size())
        , restartAt(this->disks.size())
        , flushAt(this->disks.size())
        , paddingBytes(this->randomBelow(3) == 0 ? 20000 : 100)
    {
        if (this->isOpen) {
            for (auto &peer : this->cluster.group) {
                peer.name = "127.0.0.1:" + std::to_string(peer.address.port);
            }
        }
        this->cluster.adjustOptions = [this](ControlOptions &options) {
            if (this->isOpen) {
                options.group.resize(3);
                options.isOpen = true;
                options.tolerance = {1, 0}; // three voters
            }
            options.mayBootstrap = this->mayBootstrap;
        };
        this->cluster.snapshotEntries = 8 + this->randomBelow(3) * 30;
        this->cluster.onStep = [this] { this->step(); };
    }

    /// Plays the day. The last disk has room again at fullEndedAt.
    void play()
    {
        for (std::size_t i = 0; i < this->disks.size(); ++i) {
            this->startNode(i);
        }
        this->cluster.run(Millis(2000));
        this->mayBootstrap = false;
        for (int i = 1; i <= 3; ++i) {
            this->cluster.addMember(fmt::format("owner-{}", i), wire::Role::OWNER, 41200 + i, fmt::format("d{}", i));
        }
        this->cluster.addAgent("agent-1", 41301, "tank");
        this->changes.start(this->paddingBytes);
        this->cluster.run(Millis(2000));
        this->changeInterval = Millis(100 + this->randomBelow(900));
        const int rounds = 3 + this->randomBelow(3);
        const int killRound = this->randomBelow(2 * rounds);
        for (int round = 0; round < rounds; ++round) {
            this->fillDisk(this->chooseDisk(round), round == killRound);
        }
        this->fullEndedAt = this->cluster.clock.now();
        if (this->randomBelow(3) == 0) {
            this->stopAll(this->randomBelow(2) == 0);
        }
        this->cluster.run(Millis(12000));
        this->changeInterval.reset();
        this->cluster.run(ackTimeout + Millis(500));
    }

    /// Returns whether a change was sent when the group had to acknowledge it within ackTimeout: no process was stopped
    /// or started from three seconds before until the end of that time.
    bool isDue(const SimOperator::Change &change) const
    {
        return change.firstSentAt + ackTimeout <= this->cluster.clock.now()
            && std::none_of(this->stopTimes.begin(), this->stopTimes.end(), [&change](Time stop) {
                   return change.firstSentAt < stop + Millis(3000) && change.firstSentAt + ackTimeout > stop;
               });
    }
    static bool isLate(const SimOperator::Change &change)
    {
        return !change.acknowledgedAt || *change.acknowledgedAt - change.firstSentAt > ackTimeout;
    }
    /// Describes all processes, for the message of a failed check.
    std::string describe() const
    {
        std::string text = fmt::format("{} group\n", this->isOpen ? "open" : "closed") + this->events;
        for (const auto &core : this->cluster.cores) {
            const auto dump = core ? core->dump() : nlohmann::json::object();
            for (const auto *key :
                 {"member", "leader", "term", "commitIndex", "lastIndex", "voters", "learners", "diskFailure"}) {
                text += dump.contains(key) ? dump[key].dump() + " " : "- ";
            }
            text += "\n";
        }
        for (const auto &change : this->changes.changes) {
            if (isLate(change)) {
                text += fmt::format("change {} sent at {} ms, {} times, acknowledged after {} ms, last answer {}\n",
                                    change.number, this->sinceStart(change.firstSentAt), change.sends,
                                    change.acknowledgedAt ? (*change.acknowledgedAt - change.firstSentAt).count() / 1000
                                                          : -1,
                                    change.lastCode);
            }
        }
        return text;
    }

    static constexpr Millis ackTimeout {4000}; ///< from the operators' rules

private:
    std::mt19937_64 random;
    bool isOpen;

public:
    SimCluster cluster;
    SimOperator changes;
    Time fullEndedAt;

private:
    int randomBelow(int bound)
    {
        return static_cast<int>(this->random() % static_cast<std::uint64_t>(bound));
    }
    std::int64_t sinceStart(Time time) const
    {
        return std::chrono::duration_cast<Millis>(time - this->startedAt).count();
    }
    void note(const std::string &event)
    {
        this->events += fmt::format("{} ms: {}\n", this->sinceStart(this->cluster.clock.now()), event);
    }

    /// Returns a disk by turns, that of the leader, or that of a follower.
    std::size_t chooseDisk(int round)
    {
        const auto count = static_cast<int>(this->disks.size());
        const auto leader = this->cluster.leader();
        const int choice = this->randomBelow(3);
        if (choice == 0 || leader < 0) {
            return static_cast<std::size_t>(round % count);
        }
        return static_cast<std::size_t>(choice == 1 ? leader : (leader + 1 + this->randomBelow(count - 1)) % count);
    }

    /// Fills a disk for 1 to 8 s, and then leaves all disks with room for up to 2 s.
    void fillDisk(std::size_t number, bool isStopped)
    {
        auto &disk = this->disks[number];
        disk.full.status = this->randomBelow(2) == 0 ? DiskStatus::Full : DiskStatus::Failed;
        disk.full.appendedPercent = static_cast<std::size_t>(this->randomBelow(101));
        disk.full.isRefusedAtSync = this->randomBelow(3) == 0;
        disk.full.refusesTruncation = this->randomBelow(2) == 0;
        disk.isFull = true;
        this->note(fmt::format("disk {} full, {}, {}% appended{}{}", number,
                               disk.full.status == DiskStatus::Full ? "Full" : "Failed", disk.full.appendedPercent,
                               disk.full.isRefusedAtSync ? ", refused at sync" : "",
                               disk.full.refusesTruncation ? ", truncation refused" : ""));
        const int time = 1000 + this->randomBelow(7001);
        const int stopAfter = this->randomBelow(time);
        this->cluster.run(Millis(stopAfter));
        if (isStopped) {
            this->stopAll(this->randomBelow(2) == 0);
        } else if (this->randomBelow(4) == 0) {
            this->restartOwner();
        }
        this->cluster.run(Millis(time - stopAfter));
        disk.isFull = false;
        this->note(fmt::format("disk {} has room", number));
        this->cluster.run(Millis(this->randomBelow(2000)));
    }

    void restartOwner()
    {
        const int number = 1 + this->randomBelow(3);
        this->cluster.addMember(fmt::format("owner-{}", number), wire::Role::OWNER, 41200 + number,
                                fmt::format("d{}", number), ++this->ownerIncarnation);
    }

    /// Kills all control processes, or cuts the power of all in the middle of what they write.
    void stopAll(bool isPowerLost)
    {
        this->note(isPowerLost ? "power of all lost" : "all killed");
        this->stopTimes.push_back(this->cluster.clock.now());
        for (std::size_t i = 0; i < this->disks.size(); ++i) {
            if (isPowerLost && this->cluster.cores[i]) {
                this->disks[i].cutPowerAfter(this->randomBelow(6));
                try {
                    this->store(i).flush();
                } catch (const PowerCut &) { // NOLINT(bugprone-empty-catch)
                }
            }
            this->cluster.kill(i);
            if (isPowerLost) {
                this->disks[i].crash(this->random);
            }
            this->disks[i].cutPowerAfter(-1);
            this->restartAt[i] = this->cluster.clock.now() + Millis(this->randomBelow(1000));
        }
    }

    void startNode(std::size_t number)
    {
        try {
            this->cluster.stores[number] = std::make_shared<SimStore>(this->disks[number], false);
            this->cluster.start(number);
            this->stopTimes.push_back(this->cluster.clock.now());
        } catch (const ControlStoreError &) {
            // A process cannot start if there is no space for what it has to repair; any other error is a test failure.
            if (!this->disks[number].isFull) {
                throw;
            }
            this->restartAt[number] = this->cluster.clock.now() + Millis(500);
        }
    }

    SimStore &store(std::size_t number)
    {
        return static_cast<SimStore &>(*this->cluster.stores[number]);
    }

    void step()
    {
        const auto now = this->cluster.clock.now();
        for (std::size_t i = 0; i < this->disks.size(); ++i) {
            if (!this->cluster.cores[i]) {
                if (now >= this->restartAt[i]) {
                    this->startNode(i);
                }
            } else if (now >= this->flushAt[i]) {
                this->store(i).flush();
                const auto status = this->store(i).status();
                const bool isRefused = status.isFull || !status.failure.empty();
                // A write takes a few milliseconds; ControlStore retries a refused one after 100 ms.
                this->flushAt[i] = now + Millis(isRefused ? 100 : 2 + this->randomBelow(16));
            }
        }
        this->changes.tick();
        if (this->changeInterval && now >= this->changeAt) {
            this->changeAt = now + *this->changeInterval;
            const int count = this->randomBelow(10) == 0 ? 8 : 1;
            for (int i = 0; i < count; ++i) {
                this->changes.start(this->paddingBytes);
            }
        }
    }

    std::vector<FakeDisk> disks;
    std::vector<Time> restartAt;
    std::vector<Time> flushAt;
    std::size_t paddingBytes;
    bool mayBootstrap = true;
    std::vector<Time> stopTimes;
    std::optional<Millis> changeInterval;
    Time changeAt;
    Time startedAt = this->cluster.clock.now();
    std::int64_t ownerIncarnation = 1;
    std::string events;
};

} // namespace agatedrum::test
