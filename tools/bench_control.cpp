#include "base_log_p.h"
#include "bench_p.h"
#include "control_codec_p.h"
#include "control_core_p.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <string>
#include <utility>
#include <vector>

namespace agatedrum::bench {

namespace {

constexpr int heartbeatRounds = 50;
constexpr int configChanges = 20;
constexpr int agentsPerCell = 80;
constexpr int membersPerOwner = 50;

double threadCpuMicros()
{
    timespec time = {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

/// Discards messages and counts them. Also encodes them and counts their bytes if isEncoding is set.
class CountingSink : public MessageSinkI
{
public:
    void send(const wire::Endpoint & /*to*/, Payload payload) override
    {
        ++this->messages;
        if (this->isEncoding) {
            this->bytes += encodeCompact(toMessage(std::move(payload))).size();
        }
    }

    bool isEncoding = false;
    std::size_t messages = 0;
    std::size_t bytes = 0;
};

/// Average cost of one operation.
struct Cost
{
    double micros = 0; ///< CPU time without encoding of the messages
    double encodedMicros = 0; ///< CPU time with encoding of the messages
    double messages = 0;
    double bytes = 0;
};

/// A control group of one process with simulated members that acknowledge each view at once.
class ControlGroupBench
{
public:
    explicit ControlGroupBench(int size)
        : core(this->sink, this->clock, this->store, options())
    {
        for (int i = 0; i < size; ++i) {
            this->members.push_back(member(i, size));
        }
        this->run(Millis(3000), Millis(10));
        this->applyNextConfig();
        this->run(Millis(2000), Millis(100));
    }

    Cost measureHeartbeats()
    {
        return this->measure(heartbeatRounds * static_cast<int>(this->members.size()), [this] {
            for (int round = 0; round < heartbeatRounds; ++round) {
                this->sendHeartbeats();
            }
        });
    }
    Cost measureChanges()
    {
        return this->measure(configChanges, [this] {
            for (int change = 0; change < configChanges; ++change) {
                this->applyNextConfig();
                this->clock.advance(Millis(20));
                this->core.tick();
            }
        });
    }
    std::size_t heartbeatBytes() const
    {
        return encodeCompact(toMessage(Payload(this->members.back().payload))).size();
    }

private:
    static ControlOptions options()
    {
        ControlOptions result;
        result.self.name = "c1";
        result.self.incarnation = 1;
        result.group = {{"c1", {}}};
        result.seed = 1;
        return result;
    }

    static IncomingMessage member(int number, int size)
    {
        const int membersPerNonAgentRole = std::max(2, size / membersPerOwner);
        wire::MemberHeartbeat heartbeat;
        heartbeat.role = number < membersPerNonAgentRole ? wire::Role::OWNER
            : number < 2 * membersPerNonAgentRole        ? wire::Role::ENTRY
                                                         : wire::Role::AGENT;
        heartbeat.failureDomain = fmt::format("domain-{}", number % 4);
        heartbeat.address.host = "127.0.0.1";
        heartbeat.address.port = 41000 + number;
        if (heartbeat.role == wire::Role::AGENT) {
            wire::ServerInfo server;
            server.serviceName = "tank";
            server.slots = 8;
            heartbeat.__set_server(server);
        }
        IncomingMessage incoming;
        incoming.sender.name = fmt::format("member-{}", number);
        incoming.sender.incarnation = 1;
        incoming.role = heartbeat.role;
        incoming.address = heartbeat.address;
        incoming.payload = std::move(heartbeat);
        return incoming;
    }

    void sendHeartbeats()
    {
        const auto version = this->core.commitIndex();
        for (auto &member : this->members) {
            std::get<wire::MemberHeartbeat>(member.payload).viewVersion = version;
            this->core.handle(member);
        }
    }

    void run(Millis time, Millis step)
    {
        for (auto end = this->clock.now() + time; this->clock.now() < end;) {
            this->clock.advance(step);
            this->core.tick();
            this->sendHeartbeats();
        }
    }

    void applyNextConfig()
    {
        const auto cells = std::max<std::size_t>(1, this->members.size() / agentsPerCell);
        wire::ApplyConfig request;
        request.text
            = fmt::format("number: {}\nservices:\n  - name: tank\n    cells: {}\nteams:\n", ++this->number, cells);
        for (int team = 0; team < 40; ++team) {
            request.text += fmt::format("  - name: team-{}\n    weight: {}\n", team, 1 + this->number % 3);
        }
        request.text += "...\n";
        request.author = "operator";
        IncomingMessage incoming;
        incoming.sender.name = "cli";
        incoming.payload = std::move(request);
        this->core.handle(incoming);
    }

    template<typename Action>
    Cost measure(int count, const Action &action)
    {
        Cost cost;
        for (const bool isEncoding : {false, true}) {
            this->sink.isEncoding = isEncoding;
            this->sink.messages = 0;
            this->sink.bytes = 0;
            const auto start = threadCpuMicros();
            action();
            (isEncoding ? cost.encodedMicros : cost.micros) = (threadCpuMicros() - start) / count;
        }
        cost.messages = static_cast<double>(this->sink.messages) / count;
        cost.bytes = static_cast<double>(this->sink.bytes) / count;
        return cost;
    }

    ManualClock clock;
    CountingSink sink;
    MemoryControlStore store;
    ControlCore core;
    std::vector<IncomingMessage> members;
    std::int64_t number = 0;
};

} // namespace

int runControlBench()
{
    setLogLevel(LogLevel::Error);
    fmt::print("{:>8} {:>12} {:>12} {:>10} {:>10} | {:>12} {:>12} {:>10} {:>12}\n", "members", "beat us", "encoded us",
               "bytes in", "bytes out", "change us", "encoded us", "messages", "bytes out");
    for (const int size : {50, 100, 200, 2000}) {
        ControlGroupBench group(size);
        const auto heartbeatCost = group.measureHeartbeats();
        const auto changeCost = group.measureChanges();
        fmt::print("{:>8} {:>12.2f} {:>12.2f} {:>10} {:>10.0f} | {:>12.0f} {:>12.0f} {:>10.0f} {:>12.0f}\n", size,
                   heartbeatCost.micros, heartbeatCost.encodedMicros, group.heartbeatBytes(), heartbeatCost.bytes,
                   changeCost.micros, changeCost.encodedMicros, changeCost.messages, changeCost.bytes);
    }
    return 0;
}

} // namespace agatedrum::bench
