#pragma once

#include "base_incarnation_p.h"
#include "run_callers.h"

#include <fmt/format.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

namespace agatedrum::test {

/// Entries, hosts, backend servers and callers on one simulated clock. The entries and hosts run the real cores.
class RunSim
{
public:
    static constexpr Millis registrationInterval {1500};
    static constexpr Millis crashDelay {5}; ///< from the start of a deadly task to the crash
    static constexpr Millis crashDowntime {3300};

    explicit RunSim(std::uint64_t seed = 1, int entryCount = 2, int hostCount = 2, const SimListening &listening = {})
        : random(seed)
        , callers(timeline, record, entries, entryCount)
        , network(timeline)
        , entryCount(entryCount)
        , hostCount(hostCount)
        , listening(listening)
    {
        this->servers.trace = [this](const std::string &text) { this->trace(text); };
        for (int i = 0; i < hostCount; ++i) {
            this->startHost(i);
            this->startServer(i);
        }
        for (int i = 0; i < entryCount; ++i) {
            this->startEntry(i);
        }
        this->timeline.every(Millis(2), [this] {
            this->advanceServers();
            return true;
        });
        this->run(Millis(500));
    }

    void run(Micros time)
    {
        this->timeline.run(time);
    }
    void trace(const std::string &text) const
    {
        this->record.trace(this->timeline.elapsedMs(), text);
    }

    // Processes.

    void killEntry(int index, Micros downtime)
    {
        if (!this->entries[index]) {
            return;
        }
        this->trace(fmt::format("entry-{} is killed for {} ms", index, toMillis(downtime)));
        this->entries[index].reset();
        this->callers.resetConnections(index);
        this->timeline.after(downtime, [this, index] { this->startEntry(index); });
    }
    void killHost(int index, Micros downtime)
    {
        if (!this->hosts[index]) {
            return;
        }
        this->trace(fmt::format("host-{} is killed for {} ms", index, toMillis(downtime)));
        this->hosts[index].reset();
        this->timeline.after(downtime, [this, index] { this->startHost(index); });
    }
    /// Kills the host a short time after its next start order. The report of that start does not leave the host.
    void killHostAfterStart(int index, Micros delay, Micros downtime)
    {
        this->servers.onStartSent = [this, index, delay, downtime](const std::string &host) {
            if (host != hostName(index)) {
                return;
            }
            this->hosts[index]->isMuted = true;
            this->timeline.after(delay, [this, index, downtime] { this->killHost(index, downtime); });
            this->timeline.after(Micros(0), [this] { this->servers.onStartSent = [](const std::string &) {}; });
        };
    }
    /// @param handlesRequestsFirst whether it handles the waiting requests before the waiting messages when it wakes
    void freezeEntry(int index, Micros time, bool handlesRequestsFirst = false)
    {
        if (const auto &entry = this->entries[index]) {
            entry->handlesRequestsFirst = handlesRequestsFirst;
        }
        this->freeze(this->entries[index], time);
    }
    void freezeHost(int index, Micros time)
    {
        this->freeze(this->hosts[index], time);
    }
    /// Cuts the link between an entry and a host.
    void cut(int entry, int host, Micros time, bool isFromEntry, bool isFromHost, bool isHeld)
    {
        this->trace(fmt::format("link entry-{} host-{} is cut for {} ms:{}{}{}", entry, host, toMillis(time),
                                isFromEntry ? " from entry" : "", isFromHost ? " from host" : "",
                                isHeld ? " held" : " lost"));
        if (isFromEntry) {
            this->network.cut(entryPort(entry), hostPort(host), time, isHeld);
        }
        if (isFromHost) {
            this->network.cut(hostPort(host), entryPort(entry), time, isHeld);
        }
    }
    /// Sets the wall clock of a host's machine back, which lowers the incarnations of later processes.
    void stepWallClockBack(int host, std::int64_t byMs)
    {
        this->trace(fmt::format("the wall clock of host-{} is set back by {} ms", host, byMs));
        this->wallOffsetMs[host] -= byMs;
    }
    /// Sets the wall clock of a host's machine back at each of the next starts of the host by the time since its last
    /// one, so that the new process starts at the same wall clock time as the earlier one.
    void repeatStartTime(int host)
    {
        this->hostsRepeatingStartTime.insert(host);
    }

    // Backend servers.

    /// Crashes the current server of a host. It starts again under its id and address, and registers with a delay.
    void restartServer(int host, Micros downtime, Micros registrationDelay)
    {
        const auto old = this->current[host];
        if (!old) {
            return;
        }
        this->trace(fmt::format("server {} crashes for {} ms", old->name(), toMillis(downtime)));
        old->crash();
        this->servers.byPort.erase(old->ref.address.port);
        this->current[host].reset();
        this->timeline.after(downtime, [this, host, ref = old->ref, registrationDelay] {
            this->startServer(host, ref.id, ref.address.port, registrationDelay);
        });
    }
    /// Crashes the current server of a host. Another one starts at its address, under another id.
    void crashServer(int host, Micros downtime)
    {
        const auto old = this->current[host];
        if (!old) {
            return;
        }
        this->trace(fmt::format("server {} crashes", old->name()));
        ++this->crashCount;
        old->crash();
        this->servers.byPort.erase(old->ref.address.port);
        this->current[host].reset();
        const auto id = fmt::format("c-{}", ++this->lastReplacement);
        this->timeline.after(downtime,
                             [this, host, id, port = old->ref.address.port] { this->startServer(host, id, port); });
    }
    /// Starts a server with another id at another address. The old one continues to run its tasks for some time.
    void replaceServer(int host, Micros drainTime)
    {
        const auto old = this->current[host];
        if (!old) {
            return;
        }
        this->trace(fmt::format("server {} is replaced and ends in {} ms", old->name(), toMillis(drainTime)));
        this->timeline.after(drainTime, [this, old] {
            old->crash();
            const auto found = this->servers.byPort.find(old->ref.address.port);
            if (found != this->servers.byPort.end() && found->second == old) {
                this->servers.byPort.erase(found);
            }
        });
        const int number = ++this->lastReplacement;
        this->startServer(host, fmt::format("r-{}", number), 9000 + number);
    }
    /// Makes the tasks at the current server of a host take longer by a factor for some time.
    void slowServer(int host, double factor, Micros time)
    {
        const auto target = this->current[host];
        if (!target) {
            return;
        }
        this->trace(fmt::format("server {} is slower by {} for {} ms", target->name(), factor, toMillis(time)));
        target->advance();
        target->workFactor = factor;
        this->timeline.after(time, [target] {
            target->advance();
            target->workFactor = 1.0;
        });
    }
    /// Changes the capacity of the current server of a host. The next registration of the server shows it.
    void resizeServer(int host, std::int64_t cpuMillis)
    {
        if (const auto target = this->current[host]) {
            this->trace(fmt::format("server {} has a capacity of {}", target->name(), cpuMillis));
            target->resize(cpuMillis);
        }
    }
    SimServer *server(int host)
    {
        return this->current[host].get();
    }
    void advanceServers()
    {
        const auto all = this->servers.byPort;
        for (const auto &[port, server] : all) {
            server->advance();
        }
    }

    std::set<TaskName> deadlyTasks; ///< a server that starts one of them crashes
    int crashCount = 0;
    Timeline timeline;
    RandomSource random;
    RunRecord record;
    SimServers servers;
    std::map<int, std::shared_ptr<HostProcess>> hosts; ///< null while a process is down
    SimEntries entries;
    SimCallers callers;
    /// Whether a registration is lost that its host reads later than a server waits for the answer.
    bool losesLateRegistrations = false;

    static std::string hostName(int index)
    {
        return fmt::format("host-{}", index);
    }

private:
    static constexpr Millis registrationTimeout {1000}; ///< for which a server waits for the answer

    static int entryPort(int index)
    {
        return 43000 + index;
    }
    static int hostPort(int index)
    {
        return 43100 + index;
    }
    std::int64_t wallMs(int host)
    {
        return this->timeline.clock().wallMs() + this->wallOffsetMs[host];
    }
    void freeze(const std::shared_ptr<SimProcess> &process, Micros time)
    {
        if (process) {
            this->trace(fmt::format("{} is frozen for {} ms", process->self.name, toMillis(time)));
            process->freeze(time);
        }
    }
    void startEntry(int index)
    {
        const auto name = fmt::format("entry-{}", index);
        this->trace(name + " starts");
        auto process = std::make_shared<EntryProcess>(this->timeline, this->network,
                                                      processId(name, this->timeline.clock().wallMs()),
                                                      entryPort(index), this->listening);
        this->network.add(process);
        process->start();
        this->entries[index] = std::move(process);
        ++this->viewVersion;
        for (const auto &[number, host] : this->hosts) {
            this->sendView(host);
        }
    }
    /// Tells a host which entries there are, as the control group does when one has started.
    void sendView(const std::shared_ptr<HostProcess> &host)
    {
        wire::ClusterView view;
        view.version = this->viewVersion;
        for (int index = 0; index < this->entryCount; ++index) {
            wire::MemberRef member;
            if (const auto &entry = this->entries[index]) {
                member.id = entry->self;
            }
            member.address = endpoint(entryPort(index));
            view.entries.push_back(member);
        }
        if (host) {
            postAfter(this->timeline, host, Millis(10), [core = &host->core(), view] {
                core->handle(incoming("control-1", wire::Role::CONTROL, 42000, view));
            });
        }
    }
    void startHost(int index)
    {
        this->trace(hostName(index) + " starts");
        if (this->hostsRepeatingStartTime.count(index) > 0) {
            this->stepWallClockBack(index, this->wallMs(index) - this->hostStartMs[index]);
        }
        this->hostStartMs[index] = this->wallMs(index);
        auto process = std::make_shared<HostProcess>(
            this->timeline, this->network, this->servers,
            processId(hostName(index), makeIncarnation(this->wallMs(index), ++this->hostStarts)), hostPort(index));
        this->network.add(process);
        process->start();
        this->sendView(process);
        this->hosts[index] = std::move(process);
    }
    void startServer(int host)
    {
        this->startServer(host, fmt::format("i-{}", host), 8080 + host);
    }
    void startServer(int host, const std::string &id, int port, Micros registrationDelay = Millis(2))
    {
        TaskServerRef ref {id, this->timeline.clock().wallMs(), endpoint(port)};
        const auto clockRate = 1.0 - 0.02 * this->random.drawFraction();
        auto server = std::make_shared<SimServer>(this->timeline, this->record, std::move(ref), clockRate);
        server->prepareBegin = [this] { this->advanceServers(); };
        server->onBegin = [this, host, weak = std::weak_ptr<SimServer>(server)](const TaskName &task) {
            if (this->deadlyTasks.count(task) > 0) {
                this->timeline.after(crashDelay, [this, host, weak] {
                    if (const auto crashing = weak.lock(); crashing && crashing == this->current[host]) {
                        this->crashServer(host, crashDowntime);
                    }
                });
            }
        };
        this->trace(fmt::format("server {} of host-{} starts", server->name(), host));
        this->servers.byPort[port] = server;
        this->current[host] = server;
        auto sequence = std::make_shared<std::int64_t>(0);
        const auto sendRegistration = [this, host, sequence, weak = std::weak_ptr<SimServer>(server)](Micros delay) {
            const auto sender = weak.lock();
            if (!sender || this->servers.find(sender->ref) != sender) {
                return false;
            }
            this->sendRegistration(host, sender, ++*sequence, delay);
            return true;
        };
        sendRegistration(registrationDelay);
        this->timeline.every(registrationInterval, [sendRegistration] { return sendRegistration(Millis(2)); });
    }
    void sendRegistration(int host, const std::shared_ptr<SimServer> &server, std::int64_t sequence, Micros delay)
    {
        ServerRegistration registration;
        registration.server = server->ref;
        registration.serviceName = "visits";
        registration.capacity.cpuMillis = server->capacities.cpuMillis();
        registration.capacity.memoryMb = 1000;
        registration.clockMs = server->clockMs();
        registration.sequence = sequence;
        registration.isDraining = this->current[host] != server;
        const auto apply = [this, registration, server, capacity = server->capacities.newest(),
                            sentAt = this->timeline.now()](HostCore &core) {
            if (this->losesLateRegistrations && this->timeline.now() - sentAt > registrationTimeout) {
                return;
            }
            server->capacities.recordArrival(capacity, this->timeline.now());
            core.registerServer(registration);
        };
        this->timeline.after(delay, [this, host, apply] {
            if (const auto process = this->hosts[host]) {
                process->post([core = &process->core(), apply] { apply(*core); });
            }
        });
    }

    SimNetwork network;
    const int entryCount;
    const int hostCount;
    const SimListening listening;
    std::map<int, std::shared_ptr<SimServer>> current; ///< newest server of each host; null while it is down
    std::int64_t viewVersion = 1;
    std::map<int, std::int64_t> wallOffsetMs;
    std::map<int, std::int64_t> hostStartMs; ///< wall clock at the newest start of each host
    std::set<int> hostsRepeatingStartTime;
    std::uint32_t hostStarts = 0; ///< takes the place of the random part of an incarnation
    int lastReplacement = 0;
};

} // namespace agatedrum::test
