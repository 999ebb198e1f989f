#include "bench_p.h"
#include "owner_core_p.h"

#include <fmt/format.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <chrono>
#include <ctime>
#include <deque>
#include <map>
#include <memory>

namespace agatedrum::bench {

namespace {

constexpr int agentCount = 50;
constexpr int slotsPerAgent = 64;
constexpr int tasksPerJob = 50;
constexpr int maxOpenJobs = 60;
constexpr int jobCount = 20000;
constexpr int bodyBytes = 100;
constexpr Millis tickInterval {5};

wire::Endpoint endpointOf(int port)
{
    wire::Endpoint endpoint;
    endpoint.host = "127.0.0.1";
    endpoint.port = port;
    return endpoint;
}

wire::ProcessId idOf(const std::string &name)
{
    wire::ProcessId id;
    id.name = name;
    id.incarnation = 1;
    return id;
}

double cpuSeconds()
{
    timespec time {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

std::size_t encodedBytes(const Payload &payload)
{
    const auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
    apache::thrift::protocol::TCompactProtocol protocol(buffer);
    auto copy = payload;
    toMessage(std::move(copy)).write(&protocol);
    return buffer->available_read();
}

/// Queues the messages of one process until the benchmark delivers them, and counts them.
class QueueSink : public MessageSinkI
{
public:
    struct Sent
    {
        int port = 0;
        Payload payload;
    };
    void send(const wire::Endpoint &to, Payload payload) override
    {
        ++this->messages;
        if (this->isMeasuringBytes) {
            this->bytes += encodedBytes(payload);
        }
        this->queue.push_back({to.port, std::move(payload)});
    }

    std::deque<Sent> queue;
    std::int64_t messages = 0;
    std::size_t bytes = 0;
    bool isMeasuringBytes = false;
};

/// Runs one OwnerCore with simulated agents, entry and control group, which answer at once. Holders are real
/// OwnerCore objects.
class OwnerBench
{
public:
    OwnerBench(int replicas, int jobs, bool isMeasuringBytes)
        : replicas(replicas)
        , jobs(jobs)
    {
        for (int i = 0; i < replicas; ++i) {
            this->members.push_back(std::make_unique<Member>(*this, i));
        }
        this->members[0]->sink.isMeasuringBytes = isMeasuringBytes;
        for (auto &member : this->members) {
            this->renewLease(*member);
        }
        this->deliverPending();
        for (int i = 0; i < agentCount; ++i) {
            wire::AgentHello hello;
            hello.epoch = 1;
            hello.server = serverInfo();
            this->deliverToOwner(agentName(i), wire::Role::AGENT, agentPort + i, hello);
        }
        this->deliverPending();
        this->advance(tickInterval);
    }

    void run()
    {
        const auto messagesBefore = this->members[0]->sink.messages;
        const auto bytesBefore = this->members[0]->sink.bytes;
        const auto start = std::chrono::steady_clock::now();
        const auto cpuBefore = this->ownerCpu;
        while (this->answeredJobs < this->jobs) {
            while (this->submittedJobs < this->jobs && this->submittedJobs - this->answeredJobs < maxOpenJobs) {
                this->submit();
            }
            this->deliverPending();
            this->advance(tickInterval);
        }
        const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
        this->seconds = elapsed.count();
        this->cpu = this->ownerCpu - cpuBefore;
        this->messages = this->members[0]->sink.messages - messagesBefore;
        this->bytes = this->members[0]->sink.bytes - bytesBefore;
    }

    int started = 0;
    double seconds = 0;
    double cpu = 0;
    std::int64_t messages = 0;
    std::size_t bytes = 0;

private:
    static constexpr int controlPort = 42000;
    static constexpr int ownerPort = 42010;
    static constexpr int entryPort = 42030;
    static constexpr int agentPort = 42100;

    struct Member
    {
        Member(const OwnerBench &bench, int index)
            : name("owner-" + std::to_string(index))
            , port(ownerPort + index)
            , link(sink, bench.clock, memberOptions(name, port))
            , core(sink, bench.clock, link, ownerOptions(name))
        {
        }
        static MemberOptions memberOptions(const std::string &name, int port)
        {
            MemberOptions options;
            options.self = idOf(name);
            options.role = wire::Role::OWNER;
            options.address = endpointOf(port);
            options.control = {{"control-1", endpointOf(controlPort)}};
            options.heartbeatInterval = Millis(AGATEDRUM_OWNER_HEARTBEAT_MS);
            return options;
        }
        static OwnerOptions ownerOptions(const std::string &name)
        {
            OwnerOptions options;
            options.self = idOf(name);
            return options;
        }
        std::string name;
        int port;
        QueueSink sink;
        MemberLink link;
        OwnerCore core;
    };

    static std::string agentName(int index)
    {
        return "agent-" + std::to_string(index);
    }
    static wire::ServerInfo serverInfo()
    {
        wire::ServerInfo server;
        server.serviceName = "visits";
        server.slots = slotsPerAgent;
        server.connections = slotsPerAgent;
        server.backendUp = true;
        server.usage = -1;
        return server;
    }
    wire::ClusterView view() const
    {
        wire::ClusterView view;
        view.version = 1;
        view.config.number = 1;
        view.config.text
            = fmt::format("number: 1\nservices:\n  - name: visits\n    recordCopies: {}\n...\n", this->replicas);
        wire::CellView cell;
        cell.serviceName = "visits";
        cell.epoch = 1;
        for (const auto &member : this->members) {
            wire::MemberRef ref;
            ref.id = idOf(member->name);
            ref.address = endpointOf(member->port);
            if (member == this->members.front()) {
                cell.__set_owner(ref);
            } else {
                cell.holders.push_back(ref);
            }
        }
        for (int i = 0; i < agentCount; ++i) {
            wire::MemberRef ref;
            ref.id = idOf(agentName(i));
            ref.address = endpointOf(agentPort + i);
            cell.agents.push_back(ref);
        }
        view.cells = {cell};
        return view;
    }
    void renewLease(Member &member)
    {
        wire::HeartbeatReply reply;
        reply.accepted = true;
        reply.leader = "control-1";
        reply.viewVersion = 1;
        reply.sentAtMicros = this->clock.now().time_since_epoch().count();
        this->deliver(member, "control-1", wire::Role::CONTROL, controlPort, this->view());
        this->deliver(member, "control-1", wire::Role::CONTROL, controlPort, reply);
    }
    void deliver(Member &member, const std::string &sender, wire::Role::type role, int port, Payload payload)
    {
        const IncomingMessage incoming {idOf(sender), role, endpointOf(port), 1, std::move(payload)};
        const auto before = cpuSeconds();
        member.core.handle(incoming);
        if (&member == this->members.front().get()) {
            this->ownerCpu += cpuSeconds() - before;
        }
    }
    void deliverToOwner(const std::string &sender, wire::Role::type role, int port, Payload payload)
    {
        this->deliver(*this->members.front(), sender, role, port, std::move(payload));
    }
    void submit()
    {
        wire::SubmitJob message;
        message.requestId = ++this->submittedJobs;
        message.epoch = 1;
        auto &spec = message.spec;
        spec.key.caller = "desk";
        spec.key.submission = "job-" + std::to_string(this->submittedJobs);
        spec.serviceName = "visits";
        spec.submittedAtMs = this->clock.wallMs();
        for (int i = 0; i < tasksPerJob; ++i) {
            wire::TaskSpec task;
            task.id = "t" + std::to_string(i);
            task.body.assign(bodyBytes, 'x');
            spec.tasks.push_back(std::move(task));
        }
        this->deliverToOwner("entry-1", wire::Role::ENTRY, entryPort, std::move(message));
    }
    /// Delivers queued messages until no process sends any more.
    void deliverPending()
    {
        bool isBusy = true;
        while (isBusy) {
            isBusy = false;
            for (auto &member : this->members) {
                auto sent = std::exchange(member->sink.queue, {});
                isBusy = isBusy || !sent.empty();
                for (auto &message : sent) {
                    this->route(*member, message);
                }
            }
        }
    }
    void route(const Member &from, QueueSink::Sent &message)
    {
        if (message.port >= agentPort) {
            this->answerAsAgent(message.port - agentPort, message.payload);
        } else if (message.port == entryPort) {
            this->answeredJobs += std::holds_alternative<wire::JobReply>(message.payload) ? 1 : 0;
        } else if (message.port != controlPort) {
            this->deliver(*this->members[static_cast<std::size_t>(message.port - ownerPort)], from.name,
                          wire::Role::OWNER, from.port, std::move(message.payload));
        }
    }
    void answerAsAgent(int index, const Payload &payload)
    {
        const auto port = agentPort + index;
        if (const auto *fence = std::get_if<wire::Fence>(&payload)) {
            wire::AgentState state;
            state.epoch = fence->epoch;
            state.barrier = fence->barrier;
            state.server = serverInfo();
            state.uptimeMicros = Micros(std::chrono::hours(1)).count();
            this->deliverToOwner(agentName(index), wire::Role::AGENT, port, state);
        } else if (const auto *batch = std::get_if<wire::StartBatch>(&payload)) {
            this->started += static_cast<int>(batch->starts.size());
            wire::ResultBatch results;
            for (const auto &start : batch->starts) {
                wire::AgentResult result;
                result.key = start.ref.key;
                result.sequence = start.sequence;
                result.result.index = start.ref.index;
                result.result.outcome = wire::Outcome::FINISHED;
                result.result.runMicros = 200000;
                result.result.body.assign(bodyBytes, 'y');
                results.results.push_back(std::move(result));
            }
            this->deliverToOwner(agentName(index), wire::Role::AGENT, port, std::move(results));
        }
    }
    void advance(Micros step)
    {
        this->clock.advance(step);
        if (this->clock.now() >= this->nextHello) {
            this->nextHello = this->clock.now() + Millis(AGATEDRUM_AGENT_HELLO_MS);
            for (auto &member : this->members) {
                this->renewLease(*member);
            }
            for (int i = 0; i < agentCount; ++i) {
                wire::AgentHello hello;
                hello.epoch = 1;
                hello.server = serverInfo();
                hello.running = slotsPerAgent;
                this->deliverToOwner(agentName(i), wire::Role::AGENT, agentPort + i, hello);
            }
        }
        for (auto &member : this->members) {
            const auto before = cpuSeconds();
            member->core.tick();
            if (member == this->members.front()) {
                this->ownerCpu += cpuSeconds() - before;
            }
        }
        this->deliverPending();
    }

    ManualClock clock;
    int replicas;
    int jobs;
    int submittedJobs = 0;
    int answeredJobs = 0;
    double ownerCpu = 0;
    Time nextHello;
    std::vector<std::unique_ptr<Member>> members;
};

} // namespace

int runOwnerBench()
{
    fmt::print("One OwnerCore, jobs of {} tasks, {} agents of {} slots, {} jobs at once, bodies of {} bytes\n",
               tasksPerJob, agentCount, slotsPerAgent, maxOpenJobs, bodyBytes);
    fmt::print("{:>6} {:>12} {:>16} {:>14} {:>12}\n", "copies", "starts/s", "CPU us per task", "messages/job",
               "bytes/job");
    for (const int replicas : {1, 2, 3}) {
        OwnerBench speed(replicas, jobCount, false);
        speed.run();
        OwnerBench size(replicas, jobCount / 20, true);
        size.run();
        fmt::print("{:>6} {:>12.0f} {:>16.2f} {:>14.2f} {:>12.0f}\n", replicas, speed.started / speed.cpu,
                   speed.cpu / speed.started * 1e6, static_cast<double>(speed.messages) / jobCount,
                   static_cast<double>(size.bytes) / (jobCount / 20.0));
    }
    return 0;
}

} // namespace agatedrum::bench
