#pragma once

#include "control_faults.h"
#include "control_sim.h"

#include <memory>
#include <string>
#include <vector>

namespace agatedrum::test {

constexpr std::size_t listedProcesses = 3;

/// Four control processes, of which three are listed in the configuration; the name of each is its address.
struct OpenCluster : SimCluster
{
    OpenCluster()
        : SimCluster(4)
    {
        for (auto &peer : this->group) {
            peer.name = "127.0.0.1:" + std::to_string(peer.address.port);
        }
        this->adjustOptions = [this](ControlOptions &options) {
            options.group.assign(this->group.begin(), this->group.begin() + listedProcesses);
            options.group = this->seeds.empty() ? options.group : this->seeds;
            options.isOpen = true;
            options.maxVoters = listedProcesses;
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
    ControlCore &currentLeader()
    {
        return *this->cores.at(static_cast<std::size_t>(this->leader()));
    }
    std::size_t followerNumber()
    {
        return this->leader() == 0 ? 1 : 0;
    }

    bool mayBootstrap = true;
    std::vector<ControlPeer> seeds; ///< processes that further ones are told of, if not empty
};

/// An open cluster whose processes have disks, which they keep over a restart.
struct DurableCluster : OpenCluster
{
    DurableCluster()
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

private:
    void addDisk(std::size_t number)
    {
        this->disks.push_back(std::make_unique<FakeDisk>());
        this->simStores.emplace_back();
        this->openStore(number);
    }
    void openStore(std::size_t number)
    {
        this->simStores[number] = std::make_shared<SimStore>(*this->disks[number], false);
        this->stores[number] = this->simStores[number];
    }

    std::vector<std::unique_ptr<FakeDisk>> disks;
    std::vector<std::shared_ptr<SimStore>> simStores;
};

} // namespace agatedrum::test
