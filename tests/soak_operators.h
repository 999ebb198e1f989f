#pragma once

#include "soak_cluster.h"

namespace agatedrum::test {

/// A configuration that was acknowledged to an operator.
struct SoakAck
{
    std::int64_t number = 0;
    SoakTime at;
};

/// What a control process answered to a read.
struct SoakRead
{
    std::int64_t number = 0;
    SoakTime sentAt;
};

/// What an entry showed when it was asked for a route that was added or removed with a configuration.
struct SoakProbe
{
    std::string entry;
    std::int64_t number = 0; ///< of the configuration
    SoakTime ackedAt;
    SoakTime sentAt;
    SoakTime endedAt;
    bool isOlder = false; ///< only a configuration below the number explains the answer
};

/// Operators that change the configuration in series and at the same time, a reader that asks control processes for it,
/// and probes that ask every entry for added and removed routes.
class SoakOperators
{
public:
    static constexpr std::int64_t lastNumber = 60;

    SoakOperators(SoakRecord &record, const SoakCluster &cluster, std::uint64_t seed)
        : record(record)
        , cluster(cluster)
    {
        this->acks.push_back({1, soakNow()});
        for (std::uint64_t i = 0; i < operatorCount; ++i) {
            this->threads.emplace_back([this, i, seed] { this->runOperator(seed * 100 + i); });
        }
        this->threads.emplace_back([this, seed] { this->runReader(seed * 100 + 50); });
        for (int i = 1; i <= cluster.entryCount(); ++i) {
            this->threads.emplace_back(
                [this, i, seed] { this->runProbe(i, seed * 100 + 60 + static_cast<std::uint64_t>(i)); });
        }
    }
    ~SoakOperators()
    {
        this->stop();
    }
    SoakOperators(const SoakOperators &) = delete;
    SoakOperators &operator=(const SoakOperators &) = delete;

    void stop()
    {
        this->isStopping = true;
        for (auto &thread : this->threads) {
            thread.join();
        }
        this->threads.clear();
    }

    /// Reads the configuration for the given time. At least one control process must return it.
    void readBack(SoakMillis duration)
    {
        const auto before = this->reads.size();
        const auto end = soakNow() + duration;
        for (int i = 0; soakNow() < end; ++i) {
            this->read(1 + i % this->cluster.controlCount());
            std::this_thread::sleep_for(SoakMillis(50));
        }
        if (this->reads.size() == before) {
            this->record.addViolation("no control process returned the configuration at the end");
        }
    }

    // Read after stop().
    const std::vector<SoakAck> &allAcks() const
    {
        return this->acks;
    }
    const std::vector<SoakRead> &allReads() const
    {
        return this->reads;
    }
    const std::vector<SoakProbe> &allProbes() const
    {
        return this->probes;
    }

    static std::string configText(std::int64_t number)
    {
        SoakConfig config;
        config.number = number;
        config.lastNumber = lastNumber;
        config.services = {SoakCluster::serviceName};
        return soak_wire::encodeConfig(config);
    }
    /// Sends a request to a control process and follows two redirections, as callers of control processes do.
    static SoakExchange callOperator(SoakAddress address, const std::string &request)
    {
        constexpr int maxRedirections = 2;
        constexpr SoakMillis timeout {1000};
        auto result = soakCall(address, request, timeout);
        for (int i = 0; i < maxRedirections && result.status == 307; ++i) {
            constexpr std::string_view scheme = "http://";
            const auto target = result.location.substr(scheme.size());
            address = {target.substr(0, target.find(':')), std::atoi(target.c_str() + target.find(':') + 1)};
            result = soakCall(address, request, timeout);
        }
        return result;
    }

private:
    static constexpr std::uint64_t operatorCount = 2;
    static constexpr int maxSends = 8;

    void runOperator(std::uint64_t seed)
    {
        std::mt19937_64 random(seed);
        while (!this->isStopping) {
            // Without a pause, configurations come in quick succession.
            std::this_thread::sleep_for(SoakMillis(random() % 4 == 0 ? 0 : random() % 2000));
            const auto number = this->takeNumber(1 + static_cast<std::int64_t>(random() % 2));
            if (number == 0) {
                return;
            }
            const bool isAcked = this->change(number, random);
            if (isAcked && random() % 4 == 0) {
                this->change(number, random);
            }
        }
    }

    /// Returns a number above all earlier ones, or 0 if there is none left.
    std::int64_t takeNumber(std::int64_t step)
    {
        const std::lock_guard lock(this->mutex);
        if (this->highestNumber + step > lastNumber) {
            return 0;
        }
        this->highestNumber += step;
        return this->highestNumber;
    }

    /// Sends a configuration to one control process after another until it is acknowledged. Some answers are not waited
    /// for, as if they had been lost.
    bool change(std::int64_t number, std::mt19937_64 &random)
    {
        const auto request = soakRequest("PUT", soak_wire::configPath, "operators", configText(number));
        auto control = static_cast<int>(random() % 100);
        for (int i = 0; i < maxSends; ++i, ++control) {
            const auto address = this->cluster.operatorAddress(1 + control % this->cluster.controlCount());
            if (random() % 6 == 0) {
                soakCall(address, request, SoakMillis(2));
                continue;
            }
            const auto result = callOperator(address, request);
            if (result.status == 200) {
                const std::lock_guard lock(this->mutex);
                this->acks.push_back({number, soakNow()});
                return true;
            }
            if (result.status >= 400 && result.status < 500) {
                this->record.addViolation(
                    fmt::format("configuration {} was refused: {} {}", number, result.status, result.body));
                return false;
            }
            std::this_thread::sleep_for(SoakMillis(100 * (i + 1)));
        }
        return false;
    }

    void runReader(std::uint64_t seed)
    {
        std::mt19937_64 random(seed);
        while (!this->isStopping) {
            this->read(1 + static_cast<int>(random() % 100) % this->cluster.controlCount());
            std::this_thread::sleep_for(SoakMillis(100));
        }
    }

    void read(int control)
    {
        const auto sentAt = soakNow();
        const auto result = callOperator(this->cluster.operatorAddress(control),
                                         soakRequest("GET", soak_wire::configPath, "operators"));
        if (result.status != 200) {
            return;
        }
        const auto number = soak_wire::configNumber(result.body);
        if (result.body != configText(number)) {
            this->record.addViolation(fmt::format("configuration {} was read back changed: {}", number, result.body));
        }
        this->reads.push_back({number, sentAt});
    }

    void runProbe(int entry, std::uint64_t seed)
    {
        std::mt19937_64 random(seed);
        SoakConnection connection;
        while (!this->isStopping) {
            std::this_thread::sleep_for(SoakMillis(60));
            const auto ack = this->pickAck(random() % 2 == 0);
            const bool wantsAdded = random() % 2 == 0;
            if (ack.number == 1) {
                continue;
            }
            if (connection.isOpen() && connection.checkIdle() == SoakConnection::Idle::Reset) {
                this->record.addIdleReset(SoakCluster::nameOf("entry", entry));
            }
            if (!connection.isOpen() && !connection.connect(this->cluster.callerAddress(entry), SoakMillis(500))) {
                continue;
            }
            const auto path = wantsAdded ? soak_wire::addedPrefix(ack.number) : soak_wire::removedPrefix(ack.number);
            const auto result = connection.exchange(soakRequest("GET", path, soak_wire::callerHost), SoakMillis(1000));
            if (result.status == 200 || result.status == 404) {
                const std::lock_guard lock(this->mutex);
                this->probes.push_back({SoakCluster::nameOf("entry", entry), ack.number, ack.at, result.sentAt,
                                        result.endedAt, (result.status == 404) == wantsAdded});
            }
        }
    }

    /// Returns the highest acknowledged configuration, of all or of those that were acknowledged 2 s ago.
    SoakAck pickAck(bool wantsNewest)
    {
        const auto before = wantsNewest ? soakNow() : soakNow() - SoakMillis(2000);
        const std::lock_guard lock(this->mutex);
        SoakAck best = this->acks.front();
        for (const auto &ack : this->acks) {
            if (ack.number > best.number && ack.at <= before) {
                best = ack;
            }
        }
        return best;
    }

    SoakRecord &record;
    const SoakCluster &cluster;
    std::atomic<bool> isStopping {false};
    std::mutex mutex; ///< guards the acks, the probes and the highest number while the threads run
    std::int64_t highestNumber = 1;
    std::vector<SoakAck> acks;
    std::vector<SoakProbe> probes;
    std::vector<SoakRead> reads; ///< written by the reader, and by readBack() after stop()
    std::vector<std::thread> threads;
};

/// Compares what operators, readers and probes saw with the bounds on configurations.
class SoakConfigChecks
{
public:
    static constexpr SoakMillis applyTime {2000}; ///< from the acknowledgement until all entries obey
    static constexpr SoakMillis contactTime {3000}; ///< calm time after which a process and the core count again
    static constexpr SoakMillis unstableStretch {5000}; ///< added to applyTime while the control group is unstable
    static constexpr SoakMillis rollbackSlack {250};

    SoakConfigChecks(const SoakRecord &record, const SoakOperators &operators)
        : record(record)
        , operators(operators)
    {
        this->checkReads();
        for (const auto &probe : operators.allProbes()) {
            if (probe.isOlder && this->mustBeInForce(probe)) {
                this->found.push_back(
                    fmt::format("{} showed a configuration below {}, acknowledged at {}, to a request sent at {}",
                                probe.entry, probe.number, record.offset(probe.ackedAt), record.offset(probe.sentAt)));
            }
        }
        this->checkRegressions();
    }

    const std::vector<std::string> &violations() const
    {
        return this->found;
    }

private:
    /// A reload is no disturbance: the process goes on without interruption.
    static bool isDisturbed(const SoakFault &fault, SoakTime from, SoakTime until)
    {
        return fault.kind != "reload" && fault.from <= until && fault.until >= from;
    }

    bool isCalm(const std::string &prefix, SoakTime from, SoakTime until) const
    {
        const auto &faults = this->record.faults();
        return std::none_of(faults.begin(), faults.end(), [&](const SoakFault &fault) {
            return fault.process.rfind(prefix, 0) == 0 && isDisturbed(fault, from, until);
        });
    }

    /// Returns whether two control processes, of three, were never disturbed at the same time.
    bool hasMajority(SoakTime from, SoakTime until) const
    {
        const auto &faults = this->record.faults();
        for (auto left = faults.begin(); left != faults.end(); ++left) {
            for (auto right = std::next(left); right != faults.end(); ++right) {
                const auto begin = std::max({left->from, right->from, from});
                const auto end = std::min({left->until, right->until, until});
                const bool areControls = SoakCluster::roleOf(left->process) == "control"
                    && SoakCluster::roleOf(right->process) == "control" && left->process != right->process;
                if (areControls && begin <= end) {
                    return false;
                }
            }
        }
        return true;
    }

    bool mustBeInForce(const SoakProbe &probe) const
    {
        const auto calmSince = probe.sentAt - contactTime;
        if (probe.sentAt <= probe.ackedAt + applyTime || !this->isCalm(probe.entry, calmSince, probe.endedAt)) {
            return false;
        }
        const bool isCoreStable = this->isCalm("control", calmSince, probe.endedAt);
        return isCoreStable
            || (probe.sentAt > probe.ackedAt + applyTime + unstableStretch
                && this->hasMajority(probe.ackedAt, probe.endedAt));
    }

    /// No control process, disturbed or not, may return a configuration that is older than one acknowledged 2 s ago.
    void checkReads()
    {
        for (const auto &read : this->operators.allReads()) {
            for (const auto &ack : this->operators.allAcks()) {
                if (ack.at + applyTime < read.sentAt && read.number < ack.number) {
                    this->found.push_back(fmt::format(
                        "configuration {} was returned to a read at {}, after {} had been acknowledged at {}",
                        read.number, this->record.offset(read.sentAt), ack.number, this->record.offset(ack.at)));
                    break;
                }
            }
        }
    }

    /// Within one life of its process, an entry must not fall back to an older configuration.
    void checkRegressions()
    {
        for (const auto &earlier : this->operators.allProbes()) {
            for (const auto &later : this->operators.allProbes()) {
                if (!earlier.isOlder && later.isOlder && earlier.entry == later.entry && earlier.number >= later.number
                    && later.sentAt > earlier.endedAt + rollbackSlack
                    && !this->hasRestarted(earlier.entry, earlier.endedAt, later.endedAt)) {
                    this->found.push_back(fmt::format("{} showed configuration {} at {} and an older one than {} at {}",
                                                      earlier.entry, earlier.number,
                                                      this->record.offset(earlier.endedAt), later.number,
                                                      this->record.offset(later.sentAt)));
                    return;
                }
            }
        }
    }

    bool hasRestarted(const std::string &entry, SoakTime from, SoakTime until) const
    {
        const auto &faults = this->record.faults();
        return std::any_of(faults.begin(), faults.end(), [&](const SoakFault &fault) {
            return fault.process == entry && fault.kind != "freeze" && isDisturbed(fault, from, until);
        });
    }

    const SoakRecord &record;
    const SoakOperators &operators;
    std::vector<std::string> found;
};

} // namespace agatedrum::test
