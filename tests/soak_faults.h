#pragma once

#include "soak_cluster.h"

namespace agatedrum::test {

enum class SoakKind {
    Planned, ///< stops with SIGTERM and reloads with SIGHUP, one process of a role at a time
    Crash, ///< also kills and freezes, also several at a time
    Limits, ///< as Crash, with callers that go up to the limits of the settings and the configuration
    LateStarts, ///< as Crash, with start orders that are carried out late and whose hosts are then killed or frozen
    DeadlyTasks, ///< as Planned, with tasks that crash the executors that start them
    Capacity, ///< as Crash, with executors whose capacity shrinks and grows
};

/// Stops, kills, freezes and reloads the processes of a cluster as a seed tells, and starts them again.
class SoakFaults
{
public:
    SoakFaults(SoakRecord &record, SoakCluster &cluster, SoakKind kind, std::uint64_t seed)
        : record(record)
        , cluster(cluster)
        , isPlannedOnly(kind == SoakKind::Planned || kind == SoakKind::DeadlyTasks)
        , aimsAtLateStarts(kind == SoakKind::LateStarts)
        , random(seed)
    {
        for (const auto &name : cluster.processNames()) {
            this->states[name] = {};
        }
    }

    /// Disturbs the processes for the given time. Returns when all run again.
    void run(SoakMillis duration)
    {
        const auto end = soakNow() + duration;
        auto nextAt = soakNow();
        while (soakNow() < end || !this->isAllUp()) {
            this->superviseAll();
            if (this->aimsAtLateStarts && soakNow() < end) {
                this->disturbLateStartHost();
            }
            if (soakNow() >= nextAt && soakNow() < end) {
                this->disturb();
                nextAt = soakNow() + this->drawPause();
            }
            std::this_thread::sleep_for(SoakMillis(this->aimsAtLateStarts ? 1 : 5));
        }
    }

    /// Waits for the given time and supervises the processes.
    void watch(SoakMillis duration)
    {
        const auto end = soakNow() + duration;
        while (soakNow() < end) {
            this->superviseAll();
            std::this_thread::sleep_for(SoakMillis(5));
        }
    }

    /// Stops all processes for good: entries and hosts at the same time, then the control processes in turn.
    void stopAll()
    {
        std::vector<std::vector<std::string>> groups(1);
        for (const auto &[name, state] : this->states) {
            if (SoakCluster::roleOf(name) == "control") {
                groups.push_back({name});
            } else {
                groups.front().push_back(name);
            }
        }
        for (const auto &group : groups) {
            for (const auto &name : group) {
                this->stop(name, true);
            }
            while (std::any_of(group.begin(), group.end(),
                               [this](const auto &name) { return this->states[name].phase == Phase::Stopping; })) {
                this->superviseAll();
                std::this_thread::sleep_for(SoakMillis(5));
            }
        }
    }

    int faultCount() const
    {
        return this->faults;
    }

private:
    enum class Phase { Up, Stopping, Down, Frozen };

    struct State
    {
        Phase phase = Phase::Up;
        SoakTime since = soakNow();
        SoakTime backAt; ///< when a process that is down or frozen goes on
        bool isForGood = false; ///< the process is not started again
        std::size_t fault = 0;
    };

    /// A process that has just started has not blocked its signals yet.
    static constexpr SoakMillis startTime {700};

    SoakMillis draw(int leastMs, int mostMs)
    {
        return SoakMillis(leastMs + static_cast<int>(this->random() % static_cast<std::uint64_t>(mostMs - leastMs)));
    }

    /// After the loss of an entry, a host is often the next to be disturbed, while the entry's tasks may still run
    /// there.
    SoakMillis drawPause()
    {
        if (this->isPlannedOnly) {
            return this->draw(200, 800);
        }
        if (this->hasLostEntry && this->random() % 2 == 0) {
            this->nextRole = "agent";
            return this->draw(5, 1200);
        }
        return this->draw(100, 900);
    }

    bool isAllUp() const
    {
        return std::all_of(this->states.begin(), this->states.end(),
                           [](const auto &each) { return each.second.phase == Phase::Up; });
    }

    // Supervision.

    void superviseAll()
    {
        for (auto &[name, state] : this->states) {
            this->supervise(name, state);
        }
    }

    void supervise(const std::string &name, State &state)
    {
        const auto now = soakNow();
        auto &process = this->cluster.process(name);
        if (state.phase == Phase::Up && !process.isRunning()) {
            this->record.addViolation(fmt::format("{} ended by itself with {}", name, process.wait()));
            this->enter(name, Phase::Down, "own end", now + SoakMillis(300));
        } else if (state.phase == Phase::Stopping && !process.isRunning()) {
            if (process.wait() != 0) {
                this->record.addViolation(fmt::format("{} ended with {} on SIGTERM", name, process.wait()));
            }
            this->stayDown(state);
        } else if (state.phase == Phase::Stopping && now > state.since + SoakCluster::grace) {
            this->record.addViolation(fmt::format("{} did not end in its time after SIGTERM", name));
            process.sendSignal(SIGKILL);
            process.wait();
            this->stayDown(state);
        } else if (state.phase == Phase::Down && now >= state.backAt) {
            this->cluster.start(name);
            this->comeBack(state);
        } else if (state.phase == Phase::Frozen && now >= state.backAt) {
            process.sendSignal(SIGCONT);
            this->comeBack(state);
        }
    }

    void stayDown(State &state)
    {
        state.phase = Phase::Down;
        state.backAt = state.isForGood ? SoakTime::max() : soakNow() + this->draw(100, 800);
    }

    void enter(const std::string &name, Phase phase, const std::string &kind, SoakTime backAt)
    {
        auto &state = this->states[name];
        state.phase = phase;
        state.since = soakNow();
        state.backAt = backAt;
        state.fault = this->record.faultBegan(name, kind);
        ++this->faults;
    }

    void comeBack(State &state)
    {
        state.phase = Phase::Up;
        state.since = soakNow();
        this->record.faultEnded(state.fault);
    }

    // Faults.

    void stop(const std::string &name, bool isForGood)
    {
        this->enter(name, Phase::Stopping, "stop", SoakTime::max());
        this->states[name].isForGood = isForGood;
        this->cluster.process(name).sendSignal(SIGTERM);
    }
    void kill(const std::string &name)
    {
        this->enter(name, Phase::Down, "kill", soakNow() + this->draw(100, 1500));
        this->cluster.process(name).sendSignal(SIGKILL);
        this->cluster.process(name).wait();
    }
    void freeze(const std::string &name)
    {
        this->enter(name, Phase::Frozen, "freeze", soakNow() + this->draw(300, 4000));
        this->cluster.process(name).sendSignal(SIGSTOP);
    }

    /// Kills or freezes the host of a start order that has just arrived and will be carried out late. A killed host
    /// stays away until such an order may have been carried out. Two other hosts run.
    void disturbLateStartHost()
    {
        const auto name = this->cluster.takeLateStartHost();
        const auto running = this->runningOf("agent");
        if (running.size() < 3 || std::find(running.begin(), running.end(), name) == running.end()) {
            return;
        }
        if (this->random() % 3 == 0) {
            this->freeze(name);
        } else {
            this->kill(name);
            this->states[name].backAt = soakNow() + this->draw(1000, 8000);
        }
    }

    /// Returns the processes of a role that may be disturbed now.
    std::vector<std::string> runningOf(const std::string &role) const
    {
        std::vector<std::string> running;
        for (const auto &[name, state] : this->states) {
            if (SoakCluster::roleOf(name) == role && state.phase == Phase::Up && soakNow() >= state.since + startTime) {
                running.push_back(name);
            }
        }
        return running;
    }

    void disturb()
    {
        this->hasLostEntry = false;
        const auto name = this->pickProcess();
        if (name.empty()) {
            return;
        }
        const auto choice = this->random() % 100;
        if (this->isPlannedOnly ? choice < 35 : choice < 8) {
            this->record.faultEnded(this->record.faultBegan(name, "reload"));
            this->cluster.process(name).sendSignal(SIGHUP);
        } else if (this->isPlannedOnly || choice < 25) {
            this->stop(name, false);
        } else {
            this->hasLostEntry = SoakCluster::roleOf(name) == "entry";
            if (choice < 60) {
                this->kill(name);
            } else {
                this->freeze(name);
            }
        }
    }

    /// Returns a process that may be disturbed now, or an empty string. At least one entry and one host always run;
    /// with planned faults only, at most one process of each role is disturbed.
    std::string pickProcess()
    {
        const auto luck = this->random() % 10;
        const std::string role = !this->nextRole.empty() ? this->nextRole
            : luck < 4                                   ? "entry"
            : luck < 8                                   ? "agent"
                                                         : "control";
        this->nextRole.clear();
        const auto running = this->runningOf(role);
        const auto disturbed = std::count_if(this->states.begin(), this->states.end(), [&role](const auto &each) {
            return SoakCluster::roleOf(each.first) == role && each.second.phase != Phase::Up;
        });
        if (running.empty() || (this->isPlannedOnly && disturbed > 0) || (role != "control" && running.size() < 2)) {
            return {};
        }
        return running[this->random() % running.size()];
    }

    SoakRecord &record;
    SoakCluster &cluster;
    const bool isPlannedOnly;
    const bool aimsAtLateStarts;
    std::mt19937_64 random;
    std::map<std::string, State> states;
    int faults = 0;
    bool hasLostEntry = false; ///< the last fault killed or froze an entry
    std::string nextRole; ///< role of the process to disturb next; empty for any
};

} // namespace agatedrum::test
