#include <catch2/catch.hpp>

#include "dispatch_core_p.h"
#include "fakes.h"

#include <algorithm>
#include <optional>
#include <variant>

using namespace agatedrum;
using namespace agatedrum::test;

namespace {

HostChoice choice(const std::string &name, double slowness, std::int64_t freeCpu = 64000, int startDelayMs = 0)
{
    HostChoice result;
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

/// An entry and hosts that the test plays.
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
    wire::HostReport report()
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
    void hear(const std::string &host, std::int64_t incarnation = 1)
    {
        this->core.handle(incoming(host, wire::Role::AGENT, 44003, this->report(), incarnation));
    }
    void submit(
        const std::string &id, int count, std::function<bool()> isCallerGone = [] { return false; })
    {
        JobRequest request;
        request.id = id;
        request.routeName = "r";
        request.spec = "s";
        request.tasks = tasksOf(count, 100);
        request.isCallerGone = std::move(isCallerGone);
        this->core.submit(route(), std::move(request),
                          [this](const JobOutcome &outcome) { this->outcomes.push_back(outcome); });
    }
    std::vector<wire::RunTasks> orders()
    {
        auto found = this->sink.all<wire::RunTasks>();
        this->sink.take();
        return found;
    }
    void answer(const std::string &host, const wire::RunTasks &order, wire::TaskPhase::type phase,
                std::size_t index = 0, int remainingMs = 0, int workMs = 0)
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
        message.host = this->report();
        this->core.handle(incoming(host, wire::Role::AGENT, 44003, message));
    }
};

} // namespace

TEST_CASE("Tasks go where they end in time", "[dispatch]")
{
    SECTION("while hosts are free, a task goes to the fastest one")
    {
        std::vector<HostChoice> hosts {choice("slow", 1.4), choice("fast", 0.6)};
        REQUIRE(placeTasks(tasksOf(1, 100), goal(500), hosts, 1.0)[0].host == 1);
    }

    SECTION("the last room of a fast host is kept for long tasks, which no slow host would end in time")
    {
        std::vector<HostChoice> hosts {choice("slow", 1.4), choice("fast", 0.6, 8000)};
        REQUIRE(placeTasks(tasksOf(1, 100), goal(500), hosts, 1.0)[0].host == 0);
        REQUIRE(placeTasks(tasksOf(1, 1000), goal(1200), hosts, 1.0)[0].host == 1);
    }

    SECTION("a long task whose estimate may be too low goes to a fast host, although a slow one might end it in time")
    {
        std::vector<HostChoice> hosts {choice("slow", 1.4), choice("fast", 0.6, 20000)};
        REQUIRE(placeTasks(tasksOf(1, 800), goal(1500), hosts, 1.0)[0].host == 1);
        REQUIRE(placeTasks(tasksOf(1, 100), goal(1500), hosts, 1.0)[0].host == 0);
    }

    SECTION("a slow host gets a task only while the wait for a fast one is longer than the gain")
    {
        std::vector<HostChoice> shortWait {choice("slow", 3.0), choice("fast", 0.6, 0, 50)};
        REQUIRE(placeTasks(tasksOf(1, 600), goal(1000), shortWait, 1.0)[0].host == 1);
        std::vector<HostChoice> longWait {choice("slow", 3.0), choice("fast", 0.6, 0, 700)};
        REQUIRE(placeTasks(tasksOf(1, 200), goal(100), longWait, 1.0)[0].host == 0);
    }

    SECTION("the tasks of one job spread as hosts fill, and what is placed counts")
    {
        std::vector<HostChoice> hosts {choice("a", 1.0, 12000), choice("b", 1.0, 12000)};
        std::vector<int> counts(2, 0);
        for (const auto &placement : placeTasks(tasksOf(4, 100), goal(500), hosts, 1.0)) {
            REQUIRE(placement.start == Micros(0));
            ++counts[static_cast<std::size_t>(placement.host)];
        }
        REQUIRE(counts == std::vector<int> {2, 2});
    }

    SECTION("a host that fails most tasks gets none while another can take them")
    {
        std::vector<HostChoice> hosts {choice("failing", 0.6), choice("sound", 1.4)};
        hosts[0].failureShare = 0.8;
        REQUIRE(placeTasks(tasksOf(1, 100), goal(500), hosts, 1.0)[0].host == 1);
    }

    SECTION("a required label, a bound for each host and a demand above all hosts are kept")
    {
        auto tasks = tasksOf(2, 100);
        tasks[0].requiredLabel = tasks[1].requiredLabel = "b";
        tasks[0].maxPerHost = tasks[1].maxPerHost = 1;
        std::vector<HostChoice> hosts {choice("x", 1.0), choice("y", 1.0)};
        hosts[1].labels = {"b"};
        const auto placements = placeTasks(tasks, goal(500), hosts, 1.0);
        REQUIRE(placements[0].host == 1);
        REQUIRE(placements[1].host == -1);
        REQUIRE(placeTasks(tasksOf(1, 100, 65000), goal(500), hosts, 1.0)[0].host == -1);
    }
}

TEST_CASE("A job that waits for room is refused at once when it would end late", "[dispatch]")
{
    const Admission admission(0.0);
    const auto tasks = tasksOf(1, 100); // objective 220 ms
    const auto judge = [&](int startMs, int endMs) {
        return admission.judge(route(), tasks, {{0, Millis(startMs), Millis(endMs)}}, Millis(1500));
    };

    SECTION("it starts when it meets its objective, or when it need not wait")
    {
        REQUIRE_FALSE(judge(100, 200));
        REQUIRE_FALSE(judge(0, 300));
    }
    SECTION("it is refused when the backlog makes it late, and told to come back")
    {
        const auto refusal = judge(200, 300);
        REQUIRE(refusal);
        REQUIRE(refusal->retryAfter >= Millis(1000));
    }
    SECTION("a rough estimate above the caller's time is no reason while there is room")
    {
        REQUIRE_FALSE(judge(0, 2000));
        REQUIRE(judge(0, 3100));
    }
    SECTION("it is refused when no host can run it")
    {
        REQUIRE(admission.judge(route(), tasks, {{-1, {}, {}}}, Millis(1500)));
    }
}

TEST_CASE("An entry answers a job when all of its tasks have ended", "[dispatch]")
{
    DispatchFixture entry;

    SECTION("without a host the job is refused as not run")
    {
        entry.submit("a", 1);
        REQUIRE(entry.outcomes.at(0).end == JobEnd::Refused);
    }

    SECTION("the answer comes with the last success")
    {
        entry.hear("host-1");
        entry.submit("a", 2);
        const auto orders = entry.orders();
        REQUIRE(orders.size() == 1);
        REQUIRE(orders[0].orders.size() == 2);
        REQUIRE(orders[0].heardAtMicros == 77);
        entry.answer("host-1", orders[0], wire::TaskPhase::SUCCEEDED, 0);
        REQUIRE(entry.outcomes.empty());
        entry.clock.advance(Millis(120));
        entry.answer("host-1", orders[0], wire::TaskPhase::SUCCEEDED, 1);
        REQUIRE(entry.outcomes.at(0).end == JobEnd::Completed);

        SECTION("and its time is on the metrics page, apart from those of jobs without an answer")
        {
            const auto families = entry.core.latencies();
            REQUIRE(families.at(0).name == "agatedrum_dispatch_answer_seconds");
            REQUIRE(families.at(0).metric.at(0).histogram.sample_sum == Approx(0.12));
            REQUIRE(families.at(1).metric.at(0).histogram.sample_count == 0);
        }
    }

    SECTION("a failed task runs again, until it has failed as often as it may")
    {
        entry.hear("host-1");
        entry.submit("a", 1);
        entry.answer("host-1", entry.orders().at(0), wire::TaskPhase::FAILED);
        REQUIRE(entry.outcomes.empty());
        entry.answer("host-1", entry.orders().at(0), wire::TaskPhase::FAILED);
        REQUIRE(entry.outcomes.at(0).end == JobEnd::Failed);
    }

    SECTION("a refused order is placed again and costs no attempt")
    {
        entry.hear("host-1");
        entry.submit("a", 1);
        for (int i = 0; i < 3; ++i) {
            entry.answer("host-1", entry.orders().at(0), wire::TaskPhase::REFUSED);
            entry.clock.advance(Millis(10));
            entry.core.tick();
        }
        REQUIRE(entry.outcomes.empty());
        REQUIRE(entry.orders().size() == 1);
    }

    SECTION("a report that comes again, or late, counts once")
    {
        entry.hear("host-1");
        entry.submit("a", 1);
        const auto first = entry.orders().at(0);
        entry.reportNumbers["host-1"] = 10;
        entry.answer("host-1", first, wire::TaskPhase::FAILED);
        entry.reportNumbers["host-1"] = 10;
        entry.answer("host-1", first, wire::TaskPhase::FAILED);
        entry.reportNumbers["host-1"] = 5;
        entry.answer("host-1", first, wire::TaskPhase::SUCCEEDED);
        REQUIRE(entry.outcomes.empty());
        REQUIRE(entry.orders().size() == 1);
    }

    SECTION("an order that is not answered is repeated with the same number")
    {
        entry.hear("host-1");
        entry.submit("a", 1);
        const auto first = entry.orders().at(0);
        entry.clock.advance(Millis(AGATEDRUM_HOST_REPEAT_MS));
        entry.hear("host-1");
        entry.core.tick();
        const auto second = entry.orders().at(0);
        REQUIRE(second.orders[0].order == first.orders[0].order);
    }
}

TEST_CASE("An entry gives up a job truthfully and stops what runs", "[dispatch]")
{
    DispatchFixture entry;
    entry.hear("host-1");

    SECTION("a silent host ends its jobs as unfinished, since their tasks may run on")
    {
        entry.submit("a", 1);
        entry.clock.advance(Millis(AGATEDRUM_HOST_SILENT_MS));
        entry.core.tick();
        REQUIRE(entry.outcomes.at(0).end == JobEnd::Unfinished);
    }

    SECTION("the tasks of a caller that has gone are stopped, and stopped again until the host reports their end")
    {
        bool isGone = false;
        entry.submit("a", 1, [&isGone] { return isGone; });
        const auto order = entry.orders().at(0);
        isGone = true;
        entry.core.tick();
        REQUIRE(entry.sink.all<wire::StopTasks>().size() == 1);
        entry.sink.take();
        entry.clock.advance(Millis(AGATEDRUM_HOST_REPEAT_MS));
        entry.hear("host-1");
        entry.core.tick();
        REQUIRE(entry.sink.all<wire::StopTasks>().size() == 1);
        entry.sink.take();

        SECTION("the same job sent again is placed only after that end, or two runs of a task could meet")
        {
            entry.submit("a", 1);
            REQUIRE(entry.orders().empty());
            entry.answer("host-1", order, wire::TaskPhase::ENDED);
            entry.core.tick();
            REQUIRE(entry.orders().size() == 1);
        }
    }

    SECTION("a task that a host refuses is placed again at once, and after some refusals it waits where it is placed")
    {
        entry.submit("a", 1);
        for (int refusals = 0; refusals < 3; ++refusals) {
            const auto order = entry.orders().at(0);
            REQUIRE_FALSE(order.orders.at(0).mayWait);
            entry.answer("host-1", order, wire::TaskPhase::REFUSED);
        }
        REQUIRE(entry.orders().at(0).orders.at(0).mayWait);
        REQUIRE(entry.outcomes.empty());
    }

    SECTION("a task that a slow host would end too late moves to another one, after the first has reported its end")
    {
        entry.submit("a", 1);
        const auto order = entry.orders().at(0);
        entry.hear("host-2");
        entry.sink.take();
        entry.clock.advance(Millis(50));
        entry.answer("host-1", order, wire::TaskPhase::RUNNING, 0, 3000, 60);
        REQUIRE(entry.sink.all<wire::StopTasks>().size() == 1);
        REQUIRE(entry.orders().empty());
        entry.core.tick();
        REQUIRE(entry.orders().empty());
        entry.answer("host-1", order, wire::TaskPhase::ENDED);
        const auto moved = entry.sink.take();
        const auto isOrder = [](const auto &sent) { return std::holds_alternative<wire::RunTasks>(sent.payload); };
        const auto found = std::find_if(moved.begin(), moved.end(), isOrder);
        REQUIRE(found != moved.end());
        REQUIRE(std::get<wire::RunTasks>(found->payload).orders.at(0).estimateMicros == 60000);
        REQUIRE(entry.outcomes.empty());
    }

    SECTION("a job that no host can end in the caller's time is given up at once and stops using room")
    {
        entry.submit("a", 1);
        const auto order = entry.orders().at(0);
        entry.clock.advance(Millis(50));
        entry.answer("host-1", order, wire::TaskPhase::RUNNING, 0, 3000, 3000);
        REQUIRE(entry.outcomes.at(0).end == JobEnd::Unfinished);
        REQUIRE(entry.sink.all<wire::StopTasks>().size() == 1);
    }

    SECTION("at the end of the caller's time the job is unfinished, not refused")
    {
        entry.submit("a", 1);
        for (int i = 0; i < 15; ++i) {
            entry.clock.advance(Millis(100));
            entry.hear("host-1");
            entry.core.tick();
        }
        REQUIRE(entry.outcomes.at(0).end == JobEnd::Unfinished);
    }

    SECTION("a job that is in flight here already is not run beside itself")
    {
        entry.submit("a", 1);
        entry.orders();
        entry.submit("a", 1);
        REQUIRE(entry.orders().empty());
        REQUIRE(entry.outcomes.at(0).end == JobEnd::Unfinished);
    }

    SECTION("a stopping entry takes no job and is drained when all are answered")
    {
        entry.submit("a", 1);
        const auto order = entry.orders().at(0);
        entry.core.beginStop();
        entry.submit("b", 1);
        REQUIRE(entry.outcomes.at(0).end == JobEnd::Refused);
        REQUIRE_FALSE(entry.core.isDrained());
        entry.answer("host-1", order, wire::TaskPhase::SUCCEEDED);
        REQUIRE(entry.core.isDrained());
    }
}

TEST_CASE("A stopping entry takes jobs until the load balancer has noticed, or new connections would be cut",
          "[dispatch]")
{
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
