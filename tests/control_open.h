#pragma once

#include "control_faults.h"
#include "control_sim.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace agatedrum::test {

constexpr std::size_t listedProcesses = 3;

/// Control processes, of which the first three are listed in the configuration; the name of each is its address.
struct OpenCluster : SimCluster
{
    explicit OpenCluster(int processes = 4, std::uint64_t seed = 1)
        : SimCluster(processes, seed)
    {
        for (auto &peer : this->group) {
            peer.name = "127.0.0.1:" + std::to_string(peer.address.port);
        }
        this->adjustOptions = [this](ControlOptions &options) {
            options.group.assign(this->group.begin(), this->group.begin() + listedProcesses);
            options.group = this->seeds.empty() ? options.group : this->seeds;
            options.isOpen = true;
            options.tolerance = this->tolerance;
            const auto domain = this->domains.find(options.self.name);
            options.failureDomain = domain == this->domains.end() ? std::string() : domain->second;
            options.isObserver = this->observers.count(options.self.name) > 0;
            options.mayBootstrap = this->mayBootstrap;
        };
    }
    bool waitForLeader()
    {
        return this->runUntil(Millis(3000), [this] { return this->leader() >= 0; });
    }
    nlohmann::json voters()
    {
        return this->currentLeader().dump()["voters"];
    }
    nlohmann::json learners()
    {
        return this->currentLeader().dump()["learners"];
    }
    /// Cuts the links of a process to all others.
    void cutOff(std::size_t number)
    {
        for (std::size_t i = 0; i < this->group.size(); ++i) {
            if (i != number) {
                this->net.setPartitioned(this->group[number].address.port, this->group[i].address.port, true);
            }
        }
    }
    /// Returns whether a process votes, by any identity. Precondition: the group has a leader.
    bool isVoter(std::size_t number)
    {
        return this->voters().dump().find(this->group[number].name + "/") != std::string::npos;
    }
    ControlCore &currentLeader()
    {
        return *this->cores.at(static_cast<std::size_t>(this->leader()));
    }
    std::size_t followerNumber()
    {
        return this->leader() == 0 ? 1 : 0;
    }

    bool mayBootstrap = true;
    LossTolerance tolerance; ///< by default, three processes vote
    std::map<std::string, std::string> domains; ///< failure domains by name, if any
    std::set<std::string> observers; ///< names of processes without a disk
    std::vector<ControlPeer> seeds; ///< processes that further ones are told of, if not empty
};

/// An open cluster whose processes have disks, which they keep over a restart.
struct DurableCluster : OpenCluster
{
    explicit DurableCluster(int processes = 4, std::uint64_t seed = 1)
        : OpenCluster(processes, seed)
    {
        for (std::size_t i = 0; i < this->group.size(); ++i) {
            this->addDisk(i);
        }
        this->onStep = [this] {
            for (std::size_t i = 0; i < this->cores.size(); ++i) {
                if (this->cores[i]) {
                    this->simStores[i]->flush();
                }
            }
        };
    }
    void start(std::size_t number)
    {
        this->openStore(number);
        SimCluster::start(number);
    }
    /// Takes the power of a process: writes that were not synced may be lost or torn.
    void losePower(std::size_t number)
    {
        this->kill(number);
        this->disks[number]->crash(this->powerRandom);
    }
    /// Ends a process and empties its disk.
    void loseDisk(std::size_t number)
    {
        this->kill(number);
        this->disks[number]->wipe();
    }
    /// Starts a further process with an empty disk. @return its number.
    std::size_t addSuccessor()
    {
        const auto number = this->group.size();
        const int port = 41001 + static_cast<int>(number);
        this->group.push_back({"127.0.0.1:" + std::to_string(port), endpoint(port)});
        this->cores.emplace_back();
        this->sinks.emplace_back();
        this->stores.emplace_back();
        this->addDisk(number);
        this->start(number);
        return number;
    }

    /// Waits until the group has a leader and as many voters as it needs. @return whether it does within the time.
    bool waitForVoters(std::size_t count, Millis timeout = Millis(5000))
    {
        return this->runUntil(timeout, [&] { return this->leader() >= 0 && this->voters().size() == count; });
    }

    /// Makes the store of a process that starts; by default, one that reports writes once they are on the disk.
    std::function<std::shared_ptr<SimStore>(FakeDisk &)> makeStore
        = [](FakeDisk &disk) { return std::make_shared<SimStore>(disk, false); };
    std::vector<std::unique_ptr<FakeDisk>> disks;
    std::vector<std::shared_ptr<SimStore>> simStores;

private:
    void addDisk(std::size_t number)
    {
        this->disks.push_back(std::make_unique<FakeDisk>());
        this->simStores.emplace_back();
        this->openStore(number);
    }
    void openStore(std::size_t number)
    {
        this->simStores[number] = this->makeStore(*this->disks[number]);
        this->stores[number] = this->simStores[number];
    }

    std::mt19937_64 powerRandom {1};
};

} // namespace agatedrum::test
