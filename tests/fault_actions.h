#pragma once

#include "fault_cluster.h"

#include <string>
#include <vector>

namespace agatedrum::test {

/// One kind of fault that a test can inject.
struct FaultAction
{
    std::string name;
    void (*inject)(FaultCluster &cluster);
    Millis maxHangTime {0}; ///< maximum time for which tasks may still hang after the repair
};

inline FaultCluster::OwnerProcess *findHolder(FaultCluster &cluster)
{
    for (auto &owner : cluster.owners) {
        if (owner.core && owner.name != cluster.control.ownerName()) {
            return &owner;
        }
    }
    return nullptr;
}

/// Drops the next message of type T.
template<typename T>
void dropNext(FaultCluster &cluster)
{
    auto remaining = std::make_shared<int>(1);
    cluster.network.dropFilters.push_back([remaining](int, int, const Payload &payload) {
        return *remaining > 0 && std::holds_alternative<T>(payload) && (*remaining)-- > 0;
    });
}

/// Drops the next message of each type that a job needs.
inline void dropNextOfEachKind(FaultCluster &cluster)
{
    dropNext<wire::SubmitJob>(cluster);
    dropNext<wire::JobReply>(cluster);
    dropNext<wire::RecordBatch>(cluster);
    dropNext<wire::RecordAck>(cluster);
    dropNext<wire::StartBatch>(cluster);
    dropNext<wire::ResultBatch>(cluster);
    dropNext<wire::ResultAck>(cluster);
    dropNext<wire::Fence>(cluster);
    dropNext<wire::AgentState>(cluster);
}

/// Restarts stopped processes, resumes frozen ones, and removes the faults of the network and the backend servers.
inline void repair(FaultCluster &cluster)
{
    cluster.network.clearFaults();
    for (auto &owner : cluster.owners) {
        if (!owner.core) {
            cluster.startOwner(owner);
        } else if (owner.isFrozen) {
            cluster.resume(owner);
        }
    }
    for (auto &agent : cluster.agents) {
        agent.backend->mode = FakeBackend::Mode::Healthy;
        agent.isLeaving = false;
        if (!agent.core) {
            cluster.startAgent(agent);
        } else if (agent.isFrozen) {
            cluster.resume(agent);
        }
    }
}

inline void freezeOwner(FaultCluster &cluster)
{
    cluster.cellOwner().isFrozen = true;
}

inline void restartOwner(FaultCluster &cluster)
{
    auto &owner = cluster.cellOwner();
    cluster.kill(owner);
    cluster.startOwner(owner);
}

inline void killHolder(FaultCluster &cluster)
{
    if (auto *holder = findHolder(cluster)) {
        cluster.kill(*holder);
    }
}

inline void restartHolder(FaultCluster &cluster)
{
    if (auto *holder = findHolder(cluster)) {
        cluster.kill(*holder);
        cluster.startOwner(*holder);
    }
}

inline void killOwnerAndHolder(FaultCluster &cluster)
{
    killHolder(cluster);
    cluster.kill(cluster.cellOwner());
}

/// Kills the owner, and 200 ms after the cell has got its next owner kills that one too.
inline void killOwnerTwice(FaultCluster &cluster)
{
    const auto first = cluster.control.ownerName();
    cluster.kill(cluster.cellOwner());
    for (int i = 0; i < 400 && cluster.control.ownerName() == first; ++i) {
        cluster.run(Millis(10));
    }
    cluster.run(Millis(200));
    if (auto *next = cluster.owner(cluster.control.ownerName()); next != nullptr && next->name != first) {
        cluster.kill(*next);
    }
}

inline void cutOwnerToAgents(FaultCluster &cluster)
{
    for (const auto &agent : cluster.agents) {
        cluster.network.cut(cluster.cellOwner().port, agent.port);
    }
}

inline void cutAgentsToOwner(FaultCluster &cluster)
{
    for (const auto &agent : cluster.agents) {
        cluster.network.cut(agent.port, cluster.cellOwner().port);
    }
}

inline void cutOwnerAndAgents(FaultCluster &cluster)
{
    cutOwnerToAgents(cluster);
    cutAgentsToOwner(cluster);
}

inline void cutOwnerFromOwners(FaultCluster &cluster)
{
    for (const auto &owner : cluster.owners) {
        cluster.network.cutBothWays(cluster.cellOwner().port, owner.port);
    }
}

inline void cutOwnerFromControl(FaultCluster &cluster)
{
    cluster.network.cutBothWays(cluster.cellOwner().port, FakeControl::port);
}

inline void cutControlToOwner(FaultCluster &cluster)
{
    cluster.network.cut(FakeControl::port, cluster.cellOwner().port);
}

inline void killAgent(FaultCluster &cluster)
{
    cluster.kill(cluster.agents[0]);
}

inline void restartAgent(FaultCluster &cluster)
{
    cluster.kill(cluster.agents[0]);
    cluster.startAgent(cluster.agents[0]);
}

inline void freezeAgent(FaultCluster &cluster)
{
    cluster.agents[0].isFrozen = true;
}

inline void repeatMessages(FaultCluster &cluster)
{
    cluster.network.conditions.repeatShare = 1;
    cluster.network.conditions.repeatDelay = Millis(700);
}

inline void delayMessages(FaultCluster &cluster)
{
    cluster.network.conditions.extraDelay = Millis(150);
}

inline void dropMessages(FaultCluster &cluster)
{
    cluster.network.conditions.lossShare = 0.3;
}

template<FakeBackend::Mode M>
void setBackendMode(FaultCluster &cluster)
{
    cluster.agents[0].backend->mode = M;
}

inline void killBackend(FaultCluster &cluster)
{
    cluster.agents[0].backend->failCalls();
    cluster.agents[0].backend->mode = FakeBackend::Mode::Dead;
}

inline void announceBackendLeaving(FaultCluster &cluster)
{
    cluster.agents[0].isLeaving = true;
    if (cluster.agents[0].core) {
        cluster.announce(cluster.agents[0]);
    }
}

inline void disconnectCallers(FaultCluster &cluster)
{
    cluster.entries[0]->disconnectCallers();
}

inline void stopOwner(FaultCluster &cluster)
{
    if (cluster.cellOwner().core) {
        cluster.cellOwner().core->beginStop();
    }
}

inline void cancelJob(FaultCluster &cluster)
{
    if (cluster.isKnown("s1")) {
        cluster.cancel("s1");
    }
}

inline void cancelAndKillOwner(FaultCluster &cluster)
{
    cancelJob(cluster);
    cluster.run(Millis(14));
    cluster.kill(cluster.cellOwner());
}

inline void cancelUnderLoss(FaultCluster &cluster)
{
    cluster.network.conditions.lossShare = 0.3;
    cancelJob(cluster);
}

/// Freezes the owner in the middle of a call, for example between its check of the lease and the action that follows,
/// while the other processes run.
inline void freezeOwnerDuringCall(FaultCluster &cluster)
{
    cluster.freezeDuringCall(cluster.cellOwner(), 1 + cluster.network.drawBelow(40), Millis(3000));
}

/// Drops messages of each type three times, so that messages sent to recover from the loss are lost as well.
inline void dropNextRepeatedly(FaultCluster &cluster)
{
    dropNextOfEachKind(cluster);
    cluster.run(Millis(400));
    dropNextOfEachKind(cluster);
    cluster.run(Millis(400));
    dropNextOfEachKind(cluster);
}

inline const std::vector<FaultAction> &faultActions()
{
    static const std::vector<FaultAction> actions = {
        {"owner killed", [](FaultCluster &cluster) { cluster.kill(cluster.cellOwner()); }},
        {"owner frozen", freezeOwner},
        {"owner restarted with empty memory", restartOwner},
        {"owner stopped", stopOwner},
        {"owner and its successor killed", killOwnerTwice},
        {"holder killed", killHolder},
        {"holder restarted with empty memory", restartHolder},
        {"owner and holder killed", killOwnerAndHolder},
        {"link owner to agents cut", cutOwnerToAgents},
        {"link agents to owner cut", cutAgentsToOwner},
        {"link owner and agents cut", cutOwnerAndAgents},
        {"link owner and owners cut", cutOwnerFromOwners},
        {"link owner and control cut", cutOwnerFromControl},
        {"link control to owner cut", cutControlToOwner},
        {"next message of each kind lost", dropNextOfEachKind},
        {"messages lost", dropMessages},
        {"messages repeated", repeatMessages},
        {"messages delayed", delayMessages},
        {"agent killed", killAgent},
        {"agent restarted with empty memory", restartAgent},
        {"agent frozen", freezeAgent},
        {"backend hung", setBackendMode<FakeBackend::Mode::Hung>, Millis(AGATEDRUM_TASK_TIME_MS)},
        {"backend failing", setBackendMode<FakeBackend::Mode::Failing>},
        {"backend dead", killBackend},
        {"backend leaving", announceBackendLeaving},
        {"callers disconnected", disconnectCallers},
        {"job cancelled", cancelJob},
        {"job cancelled and owner killed", cancelAndKillOwner},
        {"job cancelled while messages are lost", cancelUnderLoss},
        {"owner frozen within a function", freezeOwnerDuringCall},
        {"next message of each kind lost repeatedly", dropNextRepeatedly},
    };
    return actions;
}

} // namespace agatedrum::test
