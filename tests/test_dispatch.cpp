#include <catch2/catch.hpp>

#include "dispatch_core_p.h"
#include "fakes.h"

#include <algorithm>
#include <optional>
#include <variant>

using namespace agatedrum;
using namespace agatedrum::test;

namespace {

HostCandidate candidate(const std::string &name, double slowness, std::int64_t freeCpu = 64000, int startDelayMs = 0)
{
    HostCandidate result;
    result.name = name;
    result.capacity.cpuMillis = 64000;
    result.free.cpuMillis = freeCpu;
    result.startDelay = Millis(startDelayMs);
    result.slowness = slowness;
    return result;
}

std::vector<TaskRequest> tasksOf(int count, int estimateMs, std::int64_t cpu = 6000)
{
    TaskRequest task;
    task.demand.cpuMillis = cpu;
    task.estimate = Millis(estimateMs);
    return std::vector<TaskRequest>(static_cast<std::size_t>(count), task);
}

PlacementGoal goal(int objectiveMs, int deadlineMs = 1500)
{
    return {Millis(objectiveMs), Millis(deadlineMs)};
}

RouteConfig route()
{
    RouteConfig result;
    result.name = "r";
    result.host = "h";
    result.pathPrefix = "/p/";
    result.serviceName = "visits";
    result.timeout = Millis(1500);
    result.latencyObjective = Millis(60);
    result.stretch = 1.6;
    result.maxAttempts = 2;
    return result;
}

/// An entry. The test simulates the hosts.
struct DispatchFixture
{
    ManualClock clock;
    RecordingSink sink;
    MemberLink link;
    DispatchCore core;
    std::vector<JobOutcome> outcomes;
    std::map<std::string, std::int64_t> reportNumbers;
    std::int64_t sequence = 0;

    DispatchFixture()
        : link(sink, clock, memberOptions())
        , core(sink, clock, link, dispatchOptions())
    {
    }
    static MemberOptions memberOptions()
    {
        MemberOptions options;
        options.self = processId("entry-1");
        options.role = wire::Role::ENTRY;
        options.address = endpoint(44001);
        options.control = {{"control-1", endpoint(44000)}};
        return options;
    }
    static DispatchOptions dispatchOptions()
    {
        DispatchOptions options;
        options.self = processId("entry-1");
        return options;
    }
    wire::HostReport makeReport()
    {
        wire::HostReport result;
        result.serviceName = "visits";
        result.accepting = true;
        result.capacity.cpuMillis = 12000;
        result.slowness = 1.0;
        result.sentAtMicros = 77;
        result.sequence = ++this->sequence;
        return result;
    }
    void receiveReport(const std::string &host, std::int64_t incarnation = 1)
    {
        this->core.handle(incoming(host, wire::Role::AGENT, 44003, this->makeReport(), incarnation));
    }
    void submit(
        const std::string &id, int count, std::function<bool()> isCallerDisconnected = [] { return false; })
    {
        JobRequest request;
        request.id = id;
        request.routeName = "r";
        request.spec = "s";
        request.tasks = tasksOf(count, 100);
        request.isCallerDisconnected = std::move(isCallerDisconnected);
        this->core.submit(route(), std::move(request),
                          [this](const JobOutcome &outcome) { this->outcomes.push_back(outcome); });
    }
    std::vector<wire::RunTasks> takeOrders()
    {
        auto found = this->sink.all<wire::RunTasks>();
        this->sink.take();
        return found;
    }
    void answer(const std::string &host, const wire::RunTasks &order, wire::TaskPhase::type phase,
                std::size_t index = 0, int remainingMs = 0, int workMs = 0)
    {
        this->answerFrom(host, 1, order, phase, index, remainingMs, workMs);
    }
    void answerFrom(const std::string &host, std::int64_t incarnation, const wire::RunTasks &order,
                    wire::TaskPhase::type phase, std::size_t index = 0, int remainingMs = 0, int workMs = 0)
    {
        wire::TaskReports message;
        wire::TaskReport report;
        report.job = order.job;
        report.index = order.orders.at(index).index;
        report.order = order.orders.at(index).order;
        report.phase = phase;
        report.remainingMicros = remainingMs * 1000LL;
        report.leastRemainingMicros = report.remainingMicros;
        report.workMicros = workMs * 1000LL;
        report.number = ++this->reportNumbers[host];
        message.reports = {report};
        message.host = this->makeReport();
        this->core.handle(incoming(host, wire::Role::AGENT, 44003, message, incarnation));
    }
};

} // namespace

TEST_CASE("Tasks are placed where they are expected to end on time", "[dispatch]")
{
    // Guards against late answers caused by poor placement, such as long tasks on slow hosts.
    SECTION("if all hosts are free, a task is placed at the fastest one")
    {
        std::vector<HostCandidate> hosts {candidate("slow", 1.4), candidate("fast", 0.6)};
        REQUIRE(placeTasks(tasksOf(1, 100), goal(500), hosts, 1.0)[0].host == 1);
    }

    SECTION("the last capacity of a fast host is kept for long tasks that no slow host would end on time")
    {
        std::vector<HostCandidate> hosts {candidate("slow", 1.4), candidate("fast", 0.6, 8000)};
        REQUIRE(placeTasks(tasksOf(1, 100), goal(500), hosts, 1.0)[0].host == 0);
        REQUIRE(placeTasks(tasksOf(1, 1000), goal(1200), hosts, 1.0)[0].host == 1);
    }

    SECTION(
        "a long task goes to a fast host even if a slow one might end it on time, since its estimate may be too low")
    {
        std::vector<HostCandidate> hosts {candidate("slow", 1.4), candidate("fast", 0.6, 20000)};
        REQUIRE(placeTasks(tasksOf(1, 800), goal(1500), hosts, 1.0)[0].host == 1);
        REQUIRE(placeTasks(tasksOf(1, 100), goal(1500), hosts, 1.0)[0].host == 0);
    }

    SECTION("a slow host gets a task only if waiting for a fast one takes longer than it gains")
    {
        std::vector<HostCandidate> shortWait {candidate("slow", 3.0), candidate("fast", 0.6, 0, 50)};
        REQUIRE(placeTasks(tasksOf(1, 600), goal(1000), shortWait, 1.0)[0].host == 1);
        std::vector<HostCandidate> longWait {candidate("slow", 3.0), candidate("fast", 0.6, 0, 700)};
        REQUIRE(placeTasks(tasksOf(1, 200), goal(100), longWait, 1.0)[0].host == 0);
    }

    SECTION("the tasks of one job are spread over the hosts, since each placement reduces the free capacity")
    {
        std::vector<HostCandidate> hosts {candidate("a", 1.0, 12000), candidate("b", 1.0, 12000)};
        std::vector<int> counts(2, 0);
        for (const auto &placement : placeTasks(tasksOf(4, 100), goal(500), hosts, 1.0)) {
            REQUIRE(placement.start == Micros(0));
            ++counts[static_cast<std::size_t>(placement.host)];
        }
        REQUIRE(counts == std::vector<int> {2, 2});
    }

    SECTION("a host that fails most tasks gets no tasks while another host can run them")
    {
        std::vector<HostCandidate> hosts {candidate("failing", 0.6), candidate("sound", 1.4)};
        hosts[0].failureShare = 0.8;
        REQUIRE(placeTasks(tasksOf(1, 100), goal(500), hosts, 1.0)[0].host == 1);
    }

    SECTION("required labels, the task limit per host and the capacity of the hosts are respected")
    {
        auto tasks = tasksOf(2, 100);
        tasks[0].requiredLabel = tasks[1].requiredLabel = "b";
        tasks[0].maxPerHost = tasks[1].maxPerHost = 1;
        std::vector<HostCandidate> hosts {candidate("x", 1.0), candidate("y", 1.0)};
        hosts[1].labels = {"b"};
        const auto placements = placeTasks(tasks, goal(500), hosts, 1.0);
        REQUIRE(placements[0].host == 1);
        REQUIRE(placements[1].host == -1);
        REQUIRE(placeTasks(tasksOf(1, 100, 65000), goal(500), hosts, 1.0)[0].host == -1);
    }
}

TEST_CASE("A job that has to wait for capacity is refused at once if it would end late", "[dispatch]")
{
    // Guards against overload in which jobs that miss their objective take capacity from jobs that could still meet
    // it.
    const Admission admission(0.0);
    const auto tasks = tasksOf(1, 100); // objective 220 ms
    const auto evaluate = [&](int startMs, int endMs) {
        return admission.evaluate(route(), tasks, {{0, Millis(startMs), Millis(endMs)}}, Millis(1500));
    };

    SECTION("it is accepted if it meets its objective or does not have to wait")
    {
        REQUIRE_FALSE(evaluate(100, 200));
        REQUIRE_FALSE(evaluate(0, 300));
    }
    SECTION("it is refused with a retry delay if the backlog makes it late")
    {
        const auto refusal = evaluate(200, 300);
        REQUIRE(refusal);
        REQUIRE(refusal->retryAfter >= Millis(1000));
    }
    SECTION("it is accepted with an estimate somewhat above the caller's time while there is free capacity")
    {
        REQUIRE_FALSE(evaluate(0, 2000));
        REQUIRE(evaluate(0, 3100));
    }
    SECTION("it is refused if no host can run it")
    {
        REQUIRE(admission.evaluate(route(), tasks, {{-1, {}, {}}}, Millis(1500)));
    }
}

TEST_CASE("An entry answers a job when all of its tasks have ended", "[dispatch]")
{
    // Guards against wrong or missing answers when tasks fail and when messages are lost, duplicated or delayed.
    DispatchFixture entry;

    SECTION("without a host the job is refused")
    {
        entry.submit("a", 1);
        REQUIRE(entry.outcomes.at(0).end == JobEnd::Refused);
    }

    SECTION("the answer comes with the last success")
    {
        entry.receiveReport("host-1");
        entry.submit("a", 2);
        const auto orders = entry.takeOrders();
        REQUIRE(orders.size() == 1);
        REQUIRE(orders[0].orders.size() == 2);
        REQUIRE(orders[0].heardAtMicros == 77);
        entry.answer("host-1", orders[0], wire::TaskPhase::SUCCEEDED, 0);
        REQUIRE(entry.outcomes.empty());
        entry.clock.advance(Millis(120));
        entry.answer("host-1", orders[0], wire::TaskPhase::SUCCEEDED, 1);
        REQUIRE(entry.outcomes.at(0).end == JobEnd::Completed);

        SECTION("its time is in the metric of complete answers only, not in that of answers without success")
        {
            const auto families = entry.core.latencyHistograms();
            REQUIRE(families.at(0).name == "agatedrum_dispatch_answer_seconds");
            REQUIRE(families.at(0).metric.at(0).histogram.sample_sum == Approx(0.12));
            REQUIRE(families.at(1).metric.at(0).histogram.sample_count == 0);
        }
    }

    SECTION("a failed task runs again until it has failed the maximum number of times")
    {
        entry.receiveReport("host-1");
        entry.submit("a", 1);
        entry.answer("host-1", entry.takeOrders().at(0), wire::TaskPhase::FAILED);
        REQUIRE(entry.outcomes.empty());
        entry.answer("host-1", entry.takeOrders().at(0), wire::TaskPhase::FAILED);
        REQUIRE(entry.outcomes.at(0).end == JobEnd::Failed);
    }

    SECTION("a refused order is placed again and does not count as a failed attempt")
    {
        entry.receiveReport("host-1");
        entry.submit("a", 1);
        for (int i = 0; i < 3; ++i) {
            entry.answer("host-1", entry.takeOrders().at(0), wire::TaskPhase::REFUSED);
            entry.clock.advance(Millis(10));
            entry.core.tick();
        }
        REQUIRE(entry.outcomes.empty());
        REQUIRE(entry.takeOrders().size() == 1);
    }

    SECTION("duplicate and outdated reports are ignored")
    {
        entry.receiveReport("host-1");
        entry.submit("a", 1);
        const auto first = entry.takeOrders().at(0);
        entry.reportNumbers["host-1"] = 10;
        entry.answer("host-1", first, wire::TaskPhase::FAILED);
        entry.reportNumbers["host-1"] = 10;
        entry.answer("host-1", first, wire::TaskPhase::FAILED);
        entry.reportNumbers["host-1"] = 5;
        entry.answer("host-1", first, wire::TaskPhase::SUCCEEDED);
        REQUIRE(entry.outcomes.empty());
        REQUIRE(entry.takeOrders().size() == 1);
    }

    SECTION("an unanswered order is resent with the same number")
    {
        entry.receiveReport("host-1");
        entry.submit("a", 1);
        const auto first = entry.takeOrders().at(0);
        entry.clock.advance(Millis(AGATEDRUM_HOST_REPEAT_MS));
        entry.receiveReport("host-1");
        entry.core.tick();
        const auto second = entry.takeOrders().at(0);
        REQUIRE(second.orders[0].order == first.orders[0].order);
    }
}

// Guards against a host that cannot check what the entry knew by an earlier report.
TEST_CASE("An entry tells the host what a task needs of the backend server", "[dispatch]")
{
    DispatchFixture entry;
    auto report = entry.makeReport();
    report.labels = {"b"};
    entry.core.handle(incoming("host-1", wire::Role::AGENT, 44003, report, 1));
    JobRequest request;
    request.id = "a";
    request.routeName = "r";
    request.tasks = tasksOf(1, 100);
    request.tasks[0].requiredLabel = "b";
    request.tasks[0].group = 3;
    request.tasks[0].maxPerHost = 2;
    entry.core.submit(route(), std::move(request), [](const JobOutcome &) {});
    const auto orders = entry.takeOrders();
    REQUIRE(orders.size() == 1);
    REQUIRE(orders[0].serviceName == "visits");
    const auto &order = orders[0].orders.at(0);
    REQUIRE(order.requiredLabel == "b");
    REQUIRE(order.group == 3);
    REQUIRE(order.maxPerHost == 2);
}

TEST_CASE("An entry reports the correct outcome of an abandoned job and stops its tasks", "[dispatch]")
{
    // Guards against wrong answers and overlapping runs of a task after a host or a caller is lost.
    DispatchFixture entry;
    entry.receiveReport("host-1");

    SECTION("the jobs of an unresponsive host end as unfinished, since their tasks may continue to run")
    {
        entry.submit("a", 1);
        entry.clock.advance(Millis(AGATEDRUM_HOST_SILENT_MS));
        entry.core.tick();
        REQUIRE(entry.outcomes.at(0).end == JobEnd::Unfinished);
    }

    SECTION("the tasks of a disconnected caller are stopped, and stops are resent until the host reports the end")
    {
        bool isDisconnected = false;
        entry.submit("a", 1, [&isDisconnected] { return isDisconnected; });
        const auto order = entry.takeOrders().at(0);
        isDisconnected = true;
        entry.core.tick();
        REQUIRE(entry.sink.all<wire::StopTasks>().size() == 1);
        entry.sink.take();
        entry.clock.advance(Millis(AGATEDRUM_HOST_REPEAT_MS));
        entry.receiveReport("host-1");
        entry.core.tick();
        REQUIRE(entry.sink.all<wire::StopTasks>().size() == 1);
        entry.sink.take();

        SECTION("a resubmission of the job is placed only after that end, so that no two runs of a task overlap")
        {
            entry.submit("a", 1);
            REQUIRE(entry.takeOrders().empty());
            entry.answer("host-1", order, wire::TaskPhase::ENDED);
            entry.core.tick();
            REQUIRE(entry.takeOrders().size() == 1);
        }
    }

    SECTION("a refused task is placed again at once, and after several refusals it may wait at its host")
    {
        entry.submit("a", 1);
        for (int refusals = 0; refusals < 3; ++refusals) {
            const auto order = entry.takeOrders().at(0);
            REQUIRE_FALSE(order.orders.at(0).mayWait);
            entry.answer("host-1", order, wire::TaskPhase::REFUSED);
        }
        REQUIRE(entry.takeOrders().at(0).orders.at(0).mayWait);
        REQUIRE(entry.outcomes.empty());
    }

    SECTION("a task that would end late on a slow host is relocated after that host has reported its end")
    {
        entry.submit("a", 1);
        const auto order = entry.takeOrders().at(0);
        entry.receiveReport("host-2");
        entry.sink.take();
        entry.clock.advance(Millis(50));
        entry.answer("host-1", order, wire::TaskPhase::RUNNING, 0, 3000, 60);
        REQUIRE(entry.sink.all<wire::StopTasks>().size() == 1);
        REQUIRE(entry.takeOrders().empty());
        entry.core.tick();
        REQUIRE(entry.takeOrders().empty());
        entry.answer("host-1", order, wire::TaskPhase::ENDED);
        const auto messages = entry.sink.take();
        const auto isOrder = [](const auto &sent) { return std::holds_alternative<wire::RunTasks>(sent.payload); };
        const auto found = std::find_if(messages.begin(), messages.end(), isOrder);
        REQUIRE(found != messages.end());
        REQUIRE(std::get<wire::RunTasks>(found->payload).orders.at(0).estimateMicros == 60000);
        REQUIRE(entry.outcomes.empty());
    }

    SECTION("a job that no host can end before the caller's deadline is abandoned at once and frees its capacity")
    {
        entry.submit("a", 1);
        const auto order = entry.takeOrders().at(0);
        entry.clock.advance(Millis(50));
        entry.answer("host-1", order, wire::TaskPhase::RUNNING, 0, 3000, 3000);
        REQUIRE(entry.outcomes.at(0).end == JobEnd::Unfinished);
        REQUIRE(entry.sink.all<wire::StopTasks>().size() == 1);
    }

    SECTION("a job whose deadline passes ends as unfinished, not as refused")
    {
        entry.submit("a", 1);
        for (int i = 0; i < 15; ++i) {
            entry.clock.advance(Millis(100));
            entry.receiveReport("host-1");
            entry.core.tick();
        }
        REQUIRE(entry.outcomes.at(0).end == JobEnd::Unfinished);
    }

    SECTION("a job that is already in flight at this entry is not run a second time")
    {
        entry.submit("a", 1);
        entry.takeOrders();
        entry.submit("a", 1);
        REQUIRE(entry.takeOrders().empty());
        REQUIRE(entry.outcomes.at(0).end == JobEnd::Unfinished);
    }

    SECTION("a stopping entry accepts no jobs and is drained when all jobs are answered")
    {
        entry.submit("a", 1);
        const auto order = entry.takeOrders().at(0);
        entry.core.beginStop();
        entry.submit("b", 1);
        REQUIRE(entry.outcomes.at(0).end == JobEnd::Refused);
        REQUIRE_FALSE(entry.core.isDrained());
        entry.answer("host-1", order, wire::TaskPhase::SUCCEEDED);
        REQUIRE(entry.core.isDrained());
    }
}

// Guards against a caller that waits until its deadline for an answer that is known already, and against a refusal that
// says "not run" of a job that may run.
TEST_CASE("An entry gives up a job at once if no host can end it in time", "[dispatch]")
{
    DispatchFixture entry;
    entry.receiveReport("host-1");
    const auto submit = [&entry](int tasks) {
        entry.submit("a", tasks);
        return entry.takeOrders().at(0);
    };
    // The host refuses the last task of the order, and has no free capacity within the time of the caller.
    const auto refuseLast = [&entry](const wire::RunTasks &order) {
        wire::TaskReport report;
        report.job = order.job;
        report.index = order.orders.back().index;
        report.order = order.orders.back().order;
        report.phase = wire::TaskPhase::REFUSED;
        report.number = ++entry.reportNumbers["host-1"];
        wire::TaskReports message;
        message.reports = {report};
        message.host = entry.makeReport();
        message.host.reserved = message.host.capacity;
        message.host.startDelayMicros = 1600000;
        entry.core.handle(incoming("host-1", wire::Role::AGENT, 44003, message));
        REQUIRE(entry.outcomes.size() == 1);
        return entry.outcomes.front();
    };

    SECTION("as not run if its only task has waited at a host and was refused")
    {
        const auto order = submit(1);
        entry.answer("host-1", order, wire::TaskPhase::QUEUED);
        const auto outcome = refuseLast(order);
        REQUIRE(outcome.end == JobEnd::Refused);
        REQUIRE(outcome.retryAfter > Millis(0));
    }
    SECTION("as unfinished if another task waits at a host, where it may start before the order to stop it arrives")
    {
        const auto order = submit(2);
        entry.answer("host-1", order, wire::TaskPhase::QUEUED);
        REQUIRE(refuseLast(order).end == JobEnd::Unfinished);
        REQUIRE_FALSE(entry.sink.all<wire::StopTasks>().empty());
    }
    SECTION("as unfinished if another task has run")
    {
        const auto order = submit(2);
        entry.answer("host-1", order, wire::TaskPhase::SUCCEEDED);
        REQUIRE(refuseLast(order).end == JobEnd::Unfinished);
    }
}

TEST_CASE("A refusal by a restarted host does not count for an order that its earlier process received", "[dispatch]")
{
    // Guards against two runs of one task: the earlier process may have started the task and been killed before its
    // report left, and the backend server continues the run.
    DispatchFixture entry;
    entry.receiveReport("host-1");
    entry.submit("a", 1);
    const auto order = entry.takeOrders().at(0);
    entry.receiveReport("host-2");
    entry.sink.take();
    entry.clock.advance(Millis(AGATEDRUM_HOST_REPEAT_MS));

    SECTION("the order is not resent to the new process, and the job ends as unfinished")
    {
        entry.receiveReport("host-1", 2);
        entry.core.tick();
        REQUIRE(entry.takeOrders().empty());
        REQUIRE(entry.outcomes.at(0).end == JobEnd::Unfinished);
    }

    SECTION("a refusal by the new process does not place the task elsewhere")
    {
        entry.answerFrom("host-1", 2, order, wire::TaskPhase::REFUSED);
        REQUIRE(entry.takeOrders().empty());
        entry.core.tick();
        REQUIRE(entry.takeOrders().empty());
        REQUIRE(entry.outcomes.at(0).end == JobEnd::Unfinished);
    }

    SECTION("a task that the earlier process was running does not wait for its end until the caller's deadline")
    {
        entry.answer("host-1", order, wire::TaskPhase::RUNNING);
        entry.receiveReport("host-1", 2);
        entry.core.tick();
        REQUIRE(entry.outcomes.at(0).end == JobEnd::Unfinished);
    }

    SECTION("a job that was ordered at the new process goes on")
    {
        entry.receiveReport("host-1", 2);
        entry.core.tick();
        entry.receiveReport("host-1", 2);
        REQUIRE(entry.outcomes.size() == 1);
        entry.submit("b", 4); // more than one of the two hosts has capacity for
        REQUIRE(entry.takeOrders().size() == 2);
        entry.core.tick();
        REQUIRE(entry.outcomes.size() == 1);
    }
}

TEST_CASE("An entry does not run a request that has waited for longer than its caller", "[dispatch]")
{
    // Guards against two runs of one task: after a freeze, an entry reads requests whose callers have resubmitted them.
    DispatchFixture entry;
    entry.core.tick();
    entry.receiveReport("host-1");

    SECTION("a request whose caller has disconnected before it was read")
    {
        entry.submit("a", 1, [] { return true; });
        REQUIRE(entry.takeOrders().empty());
        REQUIRE(entry.outcomes.at(0).end == JobEnd::Refused);
    }

    SECTION("a request that is read after a freeze, before or shortly after the next tick")
    {
        entry.clock.advance(Millis(AGATEDRUM_ENTRY_STALL_MS));
        entry.receiveReport("host-1");
        entry.submit("a", 1);
        entry.core.tick();
        entry.submit("b", 1);
        REQUIRE(entry.takeOrders().empty());
        REQUIRE(entry.outcomes.at(0).end == JobEnd::Refused);
        REQUIRE(entry.outcomes.at(1).end == JobEnd::Refused);

        SECTION("later requests run")
        {
            entry.clock.advance(Millis(100));
            entry.core.tick();
            entry.submit("c", 1);
            REQUIRE(entry.takeOrders().size() == 1);
        }
    }
}

TEST_CASE("A stopping entry accepts jobs until the end of its drain time", "[dispatch]")
{
    // Guards against connections that are cut because the load balancer has not yet noticed the stop.
    ManualClock clock;
    RecordingSink sink;
    MemberLink link(sink, clock, DispatchFixture::memberOptions());
    auto options = DispatchFixture::dispatchOptions();
    options.drainTime = Millis(2500);
    DispatchCore core(sink, clock, link, options);
    core.beginStop();
    REQUIRE_FALSE(core.isReady());
    REQUIRE_FALSE(core.isClosed());
    REQUIRE_FALSE(core.isDrained());
    clock.advance(Millis(2500));
    core.beginStop();
    REQUIRE(core.isClosed());
    REQUIRE(core.isDrained());
}
