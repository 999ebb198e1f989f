#pragma once

#include "fault_world.h"

#include <string>
#include <vector>

namespace agatedrum::test {

/// One kind of fault: how it strikes, and how the platform repairs what was lost.
struct FaultAction
{
    std::string name;
    void (*strike)(FaultWorld &world);
    Millis lasting {0}; ///< for how long tasks may still hang after the repair
};

inline FaultWorld::OwnerProcess *holderOf(FaultWorld &world)
{
    for (auto &owner : world.owners) {
        if (owner.core && owner.name != world.control.ownerName()) {
            return &owner;
        }
    }
    return nullptr;
}

template<typename T>
void loseNext(FaultWorld &world)
{
    auto left = std::make_shared<int>(1);
    world.network.filters.push_back([left](int, int, const Payload &payload) {
        return *left > 0 && std::holds_alternative<T>(payload) && (*left)-- > 0;
    });
}

/// Loses the next message of each kind that a job needs.
inline void loseNextOfEach(FaultWorld &world)
{
    loseNext<wire::SubmitJob>(world);
    loseNext<wire::JobReply>(world);
    loseNext<wire::RecordBatch>(world);
    loseNext<wire::RecordAck>(world);
    loseNext<wire::StartBatch>(world);
    loseNext<wire::ResultBatch>(world);
    loseNext<wire::ResultAck>(world);
    loseNext<wire::Fence>(world);
    loseNext<wire::AgentState>(world);
}

/// Starts again what does not run, wakes what is frozen, and heals the network and the backend servers.
inline void repair(FaultWorld &world)
{
    world.network.heal();
    for (auto &owner : world.owners) {
        if (!owner.core) {
            world.startOwner(owner);
        } else if (owner.isFrozen) {
            world.wake(owner);
        }
    }
    for (auto &agent : world.agents) {
        agent.backend->mode = FakeBackend::Mode::Good;
        agent.isLeaving = false;
        if (!agent.core) {
            world.startAgent(agent);
        } else if (agent.isFrozen) {
            world.wake(agent);
        }
    }
}

inline void freezeOwner(FaultWorld &world)
{
    world.cellOwner().isFrozen = true;
}

inline void restartOwner(FaultWorld &world)
{
    auto &owner = world.cellOwner();
    world.kill(owner);
    world.startOwner(owner);
}

inline void killHolder(FaultWorld &world)
{
    if (auto *holder = holderOf(world)) {
        world.kill(*holder);
    }
}

inline void restartHolder(FaultWorld &world)
{
    if (auto *holder = holderOf(world)) {
        world.kill(*holder);
        world.startOwner(*holder);
    }
}

inline void killOwnerAndHolder(FaultWorld &world)
{
    killHolder(world);
    world.kill(world.cellOwner());
}

/// The owner dies, and as soon as the cell has recovered, its next owner too.
inline void killOwnerTwice(FaultWorld &world)
{
    const auto first = world.control.ownerName();
    world.kill(world.cellOwner());
    for (int i = 0; i < 400 && world.control.ownerName() == first; ++i) {
        world.run(Millis(10));
    }
    world.run(Millis(200));
    if (auto *next = world.owner(world.control.ownerName()); next != nullptr && next->name != first) {
        world.kill(*next);
    }
}

inline void cutOwnerFromAgents(FaultWorld &world)
{
    for (const auto &agent : world.agents) {
        world.network.cut(world.cellOwner().port, agent.port);
    }
}

inline void cutAgentsFromOwner(FaultWorld &world)
{
    for (const auto &agent : world.agents) {
        world.network.cut(agent.port, world.cellOwner().port);
    }
}

inline void cutOwnerAndAgents(FaultWorld &world)
{
    cutOwnerFromAgents(world);
    cutAgentsFromOwner(world);
}

inline void cutOwnerFromOwners(FaultWorld &world)
{
    for (const auto &owner : world.owners) {
        world.network.cutBoth(world.cellOwner().port, owner.port);
    }
}

inline void cutOwnerFromControl(FaultWorld &world)
{
    world.network.cutBoth(world.cellOwner().port, FakeControl::port);
}

inline void cutControlToOwner(FaultWorld &world)
{
    world.network.cut(FakeControl::port, world.cellOwner().port);
}

inline void killAgent(FaultWorld &world)
{
    world.kill(world.agents[0]);
}

inline void restartAgent(FaultWorld &world)
{
    world.kill(world.agents[0]);
    world.startAgent(world.agents[0]);
}

inline void freezeAgent(FaultWorld &world)
{
    world.agents[0].isFrozen = true;
}

inline void repeatMessages(FaultWorld &world)
{
    world.network.weather.repeatShare = 1;
    world.network.weather.repeatDelay = Millis(700);
}

inline void delayMessages(FaultWorld &world)
{
    world.network.weather.extraDelay = Millis(150);
}

inline void loseMessages(FaultWorld &world)
{
    world.network.weather.lossShare = 0.3;
}

template<FakeBackend::Mode M>
void setBackend(FaultWorld &world)
{
    world.agents[0].backend->mode = M;
}

inline void breakBackend(FaultWorld &world)
{
    world.agents[0].backend->breakCalls();
    world.agents[0].backend->mode = FakeBackend::Mode::Dead;
}

inline void leaveBackend(FaultWorld &world)
{
    world.agents[0].isLeaving = true;
    if (world.agents[0].core) {
        world.announce(world.agents[0]);
    }
}

inline void loseCallers(FaultWorld &world)
{
    world.entries[0]->forgetCallers();
}

inline void stopOwner(FaultWorld &world)
{
    if (world.cellOwner().core) {
        world.cellOwner().core->beginStop();
    }
}

inline void cancelJob(FaultWorld &world)
{
    if (world.isKnown("s1")) {
        world.cancel("s1");
    }
}

inline void cancelAndKillOwner(FaultWorld &world)
{
    cancelJob(world);
    world.run(Millis(14));
    world.kill(world.cellOwner());
}

inline void cancelUnderLoss(FaultWorld &world)
{
    world.network.weather.lossShare = 0.3;
    cancelJob(world);
}

/// The process stands still between its check of the lease and what follows, and others act meanwhile.
inline void freezeWithinOwner(FaultWorld &world)
{
    world.freezeWithin(world.cellOwner(), 1 + world.network.below(40), Millis(3000));
}

/// The messages that repair a loss are lost as well.
inline void loseTwice(FaultWorld &world)
{
    loseNextOfEach(world);
    world.run(Millis(400));
    loseNextOfEach(world);
    world.run(Millis(400));
    loseNextOfEach(world);
}

inline const std::vector<FaultAction> &faultActions()
{
    static const std::vector<FaultAction> actions = {
        {"owner killed", [](FaultWorld &world) { world.kill(world.cellOwner()); }},
        {"owner frozen", freezeOwner},
        {"owner restarted with empty memory", restartOwner},
        {"owner stopped", stopOwner},
        {"owner killed twice", killOwnerTwice},
        {"holder killed", killHolder},
        {"holder restarted with empty memory", restartHolder},
        {"owner and holder killed", killOwnerAndHolder},
        {"link owner to agents cut", cutOwnerFromAgents},
        {"link agents to owner cut", cutAgentsFromOwner},
        {"link owner and agents cut", cutOwnerAndAgents},
        {"link owner and owners cut", cutOwnerFromOwners},
        {"link owner and control cut", cutOwnerFromControl},
        {"link control to owner cut", cutControlToOwner},
        {"next message of each kind lost", loseNextOfEach},
        {"messages lost", loseMessages},
        {"messages repeated", repeatMessages},
        {"messages delayed", delayMessages},
        {"agent killed", killAgent},
        {"agent restarted with empty memory", restartAgent},
        {"agent frozen", freezeAgent},
        {"backend hung", setBackend<FakeBackend::Mode::Hung>, Millis(AGATEDRUM_TASK_TIME_MS)},
        {"backend failing", setBackend<FakeBackend::Mode::Failing>},
        {"backend dead", breakBackend},
        {"backend leaving", leaveBackend},
        {"callers gone", loseCallers},
        {"job cancelled", cancelJob},
        {"job cancelled and owner killed", cancelAndKillOwner},
        {"job cancelled while messages are lost", cancelUnderLoss},
        {"owner frozen within a function", freezeWithinOwner},
        {"messages lost again after the repair", loseTwice},
    };
    return actions;
}

} // namespace agatedrum::test
