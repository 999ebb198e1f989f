#include <catch2/catch.hpp>

#include "base_log_p.h"
#include "dispatch_core_p.h"
#include "host_audience_p.h"
#include "run_scenarios.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>

using namespace agatedrum;
using namespace agatedrum::test;

namespace {

constexpr Millis hostTimeout {700};
constexpr Millis answerTime {50};

/// An entry's view of a fleet, without a core.
struct Fleet
{
    DispatchHosts hosts {hostTimeout};
    Time now {Micros(1000000)};
    std::int64_t sequence = 0;

    void report(const std::string &name, bool isSummary = true, const std::vector<std::string> &labels = {},
                bool isAccepting = true)
    {
        wire::HostReport report;
        report.serviceName = "visits";
        report.accepting = isAccepting;
        report.labels = labels;
        report.summary = isSummary;
        report.sequence = ++this->sequence;
        this->hosts.update(incoming(name, wire::Role::AGENT, 43000, report), report, this->now);
    }
    void addHosts(int count)
    {
        for (int i = 0; i < count; ++i) {
            this->report(hostName(i));
        }
    }
    /// Sends the reports of the hosts that the entry listens to, except the named ones.
    void reportHeard(const DispatchListening &listening, const std::set<std::string> &silent = {})
    {
        std::vector<std::string> heard;
        for (const auto &[name, host] : this->hosts.all()) {
            if (listening.isListening(name) && silent.count(name) == 0) {
                heard.push_back(name);
            }
        }
        for (const auto &name : heard) {
            this->report(name, false);
        }
    }
    std::set<std::string> listenedBy(const DispatchListening &listening) const
    {
        std::set<std::string> result;
        for (const auto &[name, host] : this->hosts.all()) {
            if (listening.isListening(name)) {
                result.insert(name);
            }
        }
        return result;
    }
    static std::string hostName(int index)
    {
        return fmt::format("host-{}", index);
    }
};

DispatchListening makeListening(int entry)
{
    return DispatchListening({fmt::format("entry-{}", entry), 32, 6, hostTimeout, answerTime});
}

wire::MemberRef entryRef(int index, std::int64_t incarnation = 1)
{
    wire::MemberRef ref;
    ref.id = processId(fmt::format("entry-{}", index), incarnation);
    ref.address = endpoint(44000 + index);
    return ref;
}

std::vector<wire::MemberRef> entryRefs(int count)
{
    std::vector<wire::MemberRef> refs;
    refs.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        refs.push_back(entryRef(i));
    }
    return refs;
}

std::size_t countOf(const std::vector<ReportRecipient> &recipients, bool isSummary)
{
    return static_cast<std::size_t>(
        std::count_if(recipients.begin(), recipients.end(),
                      [isSummary](const ReportRecipient &each) { return each.isSummary == isSummary; }));
}

RouteConfig route()
{
    RouteConfig result;
    result.name = "r";
    result.serviceName = "visits";
    result.timeout = Millis(1500);
    result.latencyObjective = Millis(60);
    result.stretch = 1.6;
    result.maxAttempts = 2;
    return result;
}

/// An entry that listens to one host. The test simulates the hosts.
struct ListeningEntry
{
    ManualClock clock;
    RecordingSink sink;
    MemberLink link;
    DispatchCore core;
    std::vector<JobOutcome> outcomes;
    std::int64_t sequence = 0;

    ListeningEntry()
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
        options.hostsPerService = 1;
        options.entriesPerHost = 1;
        return options;
    }
    void receiveReport(int host, bool isSummary, const std::vector<std::string> &labels = {})
    {
        wire::HostReport report;
        report.serviceName = "visits";
        report.accepting = true;
        report.capacity.cpuMillis = 12000;
        report.slowness = 1.0;
        report.sentAtMicros = 77;
        report.labels = labels;
        report.entryCount = 100;
        report.summary = isSummary;
        report.sequence = ++this->sequence;
        this->core.handle(incoming(Fleet::hostName(host), wire::Role::AGENT, 43000 + host, report));
    }
    /// Returns the ports of the hosts that were asked for their reports since the last call.
    std::set<int> takeAsked()
    {
        std::set<int> ports;
        for (const auto &sent : this->sink.take()) {
            if (std::holds_alternative<wire::HostContact>(sent.payload)) {
                ports.insert(sent.to.port);
            }
        }
        return ports;
    }
    /// Returns the ports of the hosts that got an order since the last call.
    std::set<int> takeOrdered()
    {
        std::set<int> ports;
        for (const auto &sent : this->sink.take()) {
            if (std::holds_alternative<wire::RunTasks>(sent.payload)) {
                ports.insert(sent.to.port);
            }
        }
        return ports;
    }
    void submit(const std::string &id, const std::string &label = {}, std::int64_t cpuMillis = 6000)
    {
        JobRequest request;
        request.id = id;
        request.routeName = "r";
        TaskRequest task;
        task.demand.cpuMillis = cpuMillis;
        task.estimate = Millis(100);
        task.requiredLabel = label;
        request.tasks = {task};
        this->core.submit(route(), std::move(request),
                          [this](const JobOutcome &outcome) { this->outcomes.push_back(outcome); });
    }
    void tickAfter(Millis time)
    {
        this->clock.advance(time);
        this->core.tick();
    }
};

} // namespace

// Guards against a cost of each entry that grows with the number of hosts, and against hosts that no entry listens to.
TEST_CASE("Each entry of a large fleet listens to a part of the hosts", "[listening]")
{
    Fleet fleet;
    fleet.addHosts(240);

    SECTION("60 entries listen to 32 of 240 hosts each, and each host is listened to")
    {
        std::map<std::string, int> listeners;
        for (int entry = 0; entry < 60; ++entry) {
            auto listening = makeListening(entry);
            listening.review(fleet.hosts, 60, fleet.now);
            CHECK(listening.size() == 32);
            for (const auto &name : fleet.listenedBy(listening)) {
                ++listeners[name];
            }
        }
        CHECK(listeners.size() == 240);
    }
    SECTION("few entries listen to more hosts each, so that six of them listen to a host")
    {
        auto listening = makeListening(1);
        listening.review(fleet.hosts, 12, fleet.now);
        CHECK(listening.size() == 120);
        listening.review(fleet.hosts, 4, fleet.now);
        CHECK(listening.size() == 240);
    }
    SECTION("an entry that does not know the number of entries listens to all hosts")
    {
        auto listening = makeListening(1);
        listening.review(fleet.hosts, 0, fleet.now);
        CHECK(listening.size() == 240);
    }
    SECTION("the choice does not change with a new host, but for that host and one that it replaces")
    {
        auto listening = makeListening(1);
        listening.review(fleet.hosts, 60, fleet.now);
        const auto before = fleet.listenedBy(listening);
        fleet.report("host-new");
        listening.review(fleet.hosts, 60, fleet.now);
        const auto after = fleet.listenedBy(listening);
        const auto kept = std::count_if(before.begin(), before.end(),
                                        [&after](const std::string &name) { return after.count(name) > 0; });
        CHECK(kept >= 31);
        CHECK(after.size() == 32);
    }
}

// Guards against an entry that refuses jobs, or places them at few hosts, after the hosts that it listens to are lost.
TEST_CASE("An entry makes up for hosts that do not answer or do not accept tasks", "[listening]")
{
    Fleet fleet;
    fleet.addHosts(240);
    auto listening = makeListening(1);
    listening.review(fleet.hosts, 60, fleet.now);
    listening.takeUnheard(fleet.hosts, fleet.now);
    fleet.reportHeard(listening);
    const auto first = fleet.listenedBy(listening);

    SECTION("ten silent hosts are made up for by ten others, and are still asked")
    {
        std::set<std::string> silent;
        std::copy_n(first.begin(), 10, std::inserter(silent, silent.end()));
        for (int i = 0; i < 11; ++i) {
            fleet.now += Millis(100);
            fleet.reportHeard(listening, silent);
            listening.review(fleet.hosts, 60, fleet.now);
        }
        CHECK(listening.size() == 42);
        const auto unheard = listening.takeUnheard(fleet.hosts, fleet.now);
        CHECK(std::count_if(unheard.begin(), unheard.end(),
                            [&silent](const DispatchHost *host) { return silent.count(host->id.name) > 0; })
              == 10);

        SECTION("until they answer again")
        {
            fleet.reportHeard(listening);
            listening.review(fleet.hosts, 60, fleet.now);
            CHECK(fleet.listenedBy(listening) == first);
        }
    }
    SECTION("a host that ceases to accept tasks is made up for at once")
    {
        fleet.report(*first.begin(), false, {}, false);
        listening.review(fleet.hosts, 60, fleet.now);
        CHECK(listening.size() == 33);
    }
    SECTION("a fleet without available hosts does not make the entry listen to all of it")
    {
        for (int i = 0; i < 240; ++i) {
            fleet.report(Fleet::hostName(i), true, {}, false);
        }
        listening.review(fleet.hosts, 60, fleet.now);
        CHECK(listening.size() == 64);
    }
}

// Guards against an entry that loses the reports of a host while its tasks run there, and against one that listens to
// all hosts in a permanent backlog.
TEST_CASE("An entry listens to further hosts for some time", "[listening]")
{
    Fleet fleet;
    fleet.addHosts(240);
    auto listening = makeListening(1);
    listening.review(fleet.hosts, 60, fleet.now);
    std::string other;
    for (int i = 0; i < 240 && other.empty(); ++i) {
        other = listening.isListening(Fleet::hostName(i)) ? "" : Fleet::hostName(i);
    }

    SECTION("to a host with tasks until they have ended")
    {
        listening.require(other, fleet.now + Millis(4500), fleet.now);
        CHECK(listening.isListening(other));
        fleet.now += Millis(4400);
        fleet.reportHeard(listening);
        listening.review(fleet.hosts, 60, fleet.now);
        CHECK(listening.isListening(other));
        fleet.now += Millis(200);
        fleet.reportHeard(listening);
        listening.review(fleet.hosts, 60, fleet.now);
        CHECK_FALSE(listening.isListening(other));
    }
    SECTION("to a sample while jobs are refused, which changes but does not grow")
    {
        listening.requireSample("visits", fleet.hosts, fleet.now);
        const auto sample = fleet.listenedBy(listening);
        CHECK(sample.size() == 48);
        for (int i = 0; i < 10; ++i) {
            listening.requireSample("visits", fleet.hosts, fleet.now);
        }
        CHECK(listening.size() == 48);
        fleet.now += Millis(6000);
        fleet.reportHeard(listening);
        listening.review(fleet.hosts, 60, fleet.now);
        listening.requireSample("visits", fleet.hosts, fleet.now);
        CHECK(listening.size() == 48);
        CHECK(fleet.listenedBy(listening) != sample);
    }
    SECTION("to some hosts of a rack that a job names, but not to all of them")
    {
        for (int i = 0; i < 12; ++i) {
            fleet.report(fmt::format("rack-host-{}", i), true, {"rack-1"});
        }
        listening.review(fleet.hosts, 60, fleet.now);
        listening.requireLabel("visits", "rack-1", fleet.hosts, fleet.now);
        int heard = 0;
        for (int i = 0; i < 12; ++i) {
            heard += listening.isListening(fmt::format("rack-host-{}", i)) ? 1 : 0;
        }
        CHECK(heard >= 4);
        CHECK(heard < 12);
    }
}

// Guards against a number of messages that grows with the product of hosts and entries, and against entries that do not
// learn of a host.
TEST_CASE("A host reports to the entries that listen, and seldom to the others", "[listening]")
{
    HostEntries listeners(Millis(900), Millis(2000), Millis(200));
    HostAudience audience(Millis(5000));
    ReportOccasion occasion;
    occasion.now = Time(Micros(1000000));
    occasion.isAccepting = true;
    const auto known = entryRefs(60);
    const auto advance = [&](Millis time) {
        occasion.now += time;
        return audience.recipients(known, listeners, occasion);
    };
    const auto listen = [&](int entry) {
        listeners.handleContact(
            incoming(fmt::format("entry-{}", entry), wire::Role::ENTRY, 44000 + entry, wire::HostContact()), 0, 0,
            occasion.now);
    };
    // Each new process is told for 3 s: the connection to its predecessor may stay open for 1 s.
    std::vector<int> introductions;
    for (int i = 0; i < 16; ++i) {
        if (countOf(advance(Millis(200)), true) == 60) {
            introductions.push_back(i);
        }
    }
    CHECK(introductions == std::vector<int> {0, 1, 3, 7, 15});

    SECTION("in 10 s, each of the others gets two or three summaries, and the listener all 50 reports")
    {
        std::size_t summaries = 0;
        std::size_t reports = 0;
        for (int i = 0; i < 50; ++i) {
            listen(0);
            const auto recipients = advance(Millis(200));
            summaries += countOf(recipients, true);
            reports += countOf(recipients, false);
        }
        CHECK(reports == 50);
        CHECK(summaries >= std::size_t {2} * 59);
        CHECK(summaries <= std::size_t {3} * 59);
    }
    SECTION("an entry that sends nothing is a listener for 2 s")
    {
        listen(0);
        CHECK(countOf(advance(Millis(1900)), false) == 1);
        CHECK(countOf(advance(Millis(200)), false) == 0);
    }
    SECTION("all entries learn at once of starts without an answer and of crashes")
    {
        occasion.concernsAll = true;
        CHECK(countOf(advance(Millis(200)), true) == 60);
    }
    SECTION("all entries learn that the host ceases to accept tasks, but not more than once a second")
    {
        advance(Millis(1000));
        occasion.isAccepting = false;
        CHECK(advance(Millis(1000)).size() == 60);
        occasion.isAccepting = true;
        CHECK(advance(Millis(200)).empty());
        CHECK(advance(Millis(800)).size() == 60);
    }
    SECTION("a new process of an entry is told at once, with what an entry must know when it starts")
    {
        auto restarted = known;
        restarted[7] = entryRef(7, 2);
        occasion.now += Millis(200);
        const auto recipients = audience.recipients(restarted, listeners, occasion);
        REQUIRE(recipients.size() == 1);
        CHECK(recipients[0].isIntroduction);
        CHECK(recipients[0].address == endpoint(44007));
    }
}

// Guards against a task that is placed by a report after which no other came: the host may be lost, or the lease of the
// entry has expired there.
TEST_CASE("An entry places no task by a summary, and asks hosts before it refuses a job", "[listening]")
{
    setLogLevel(LogLevel::Error);
    ListeningEntry entry;
    for (int host = 0; host < 3; ++host) {
        entry.receiveReport(host, true);
    }
    entry.core.tick();
    const auto asked = entry.takeAsked();
    REQUIRE(asked.size() == 1);
    const auto heard = *asked.begin() - 43000;

    SECTION("a job is held until a host has answered")
    {
        entry.submit("j");
        CHECK(entry.outcomes.empty());
        CHECK(entry.takeOrdered().empty());
        entry.receiveReport(heard, false);
        entry.tickAfter(Millis(20));
        CHECK(entry.takeOrdered() == std::set<int> {43000 + heard});
    }
    SECTION("a job is refused as not run when no host has answered in time")
    {
        entry.submit("j");
        entry.tickAfter(Millis(20));
        CHECK(entry.outcomes.empty());
        CHECK_FALSE(entry.core.isDrained());
        entry.tickAfter(Millis(40));
        REQUIRE(entry.outcomes.size() == 1);
        CHECK(entry.outcomes[0].end == JobEnd::Refused);
        CHECK(entry.outcomes[0].retryAfter > Millis(0));
    }
    SECTION("a job that is held is not accepted a second time")
    {
        entry.submit("j");
        entry.submit("j");
        REQUIRE(entry.outcomes.size() == 1);
        CHECK(entry.outcomes[0].end == JobEnd::Unfinished);
        entry.receiveReport(heard, false);
        entry.tickAfter(Millis(20));
        CHECK(entry.takeOrdered().size() == 1);
    }
    SECTION("a job with a label that only a host has to which the entry does not listen runs there")
    {
        entry.receiveReport(heard, false);
        entry.receiveReport(7, true, {"wide"});
        entry.takeAsked();
        entry.submit("j", "wide");
        CHECK(entry.takeAsked().count(43007) == 1);
        entry.receiveReport(7, false, {"wide"});
        entry.tickAfter(Millis(20));
        CHECK(entry.takeOrdered() == std::set<int> {43007});
    }
    SECTION("a job without room at the hosts that are heard runs at another one")
    {
        entry.receiveReport(heard, false);
        entry.submit("a", {}, 12000);
        CHECK(entry.takeOrdered() == std::set<int> {43000 + heard});
        entry.submit("b", {}, 14000);
        CHECK(entry.takeAsked().size() == 2);
        CHECK(entry.outcomes.empty());
    }
    SECTION("an entry that accepts no more jobs asks no hosts, since messages to lost hosts would delay its end")
    {
        entry.tickAfter(Millis(2000));
        CHECK_FALSE(entry.takeAsked().empty());
        entry.core.beginStop();
        entry.tickAfter(Millis(2000));
        CHECK(entry.core.isClosed());
        CHECK(entry.takeAsked().empty());
    }
    SECTION("a host that restarts is asked again as soon as its first summary comes")
    {
        entry.receiveReport(heard, false);
        entry.takeAsked();
        entry.receiveReport(heard, true);
        CHECK(entry.takeAsked() == std::set<int> {43000 + heard});
    }
}

// Guards against late starts beside a later run at an entry that does not listen to the host of the earlier start, and
// against jobs that are refused for good there.
TEST_CASE("A late start does not overlap a later run at an entry that does not listen to its host", "[run-faults]")
{
    setLogLevel(LogLevel::Error);
    for (int entries = 3; entries <= 8; ++entries) {
        RunSim sim(1, entries, 6, {1, 1});
        bool isFirst = true;
        sim.servers.lateOrder = [&isFirst](OrderKind kind, const std::string &) {
            return kind == OrderKind::Start && std::exchange(isFirst, false)
                ? std::optional<LateOrder>({Millis(2500), true})
                : std::nullopt;
        };
        sim.callers.submit(wholeServerJob(1300, 1200), 0);
        sim.run(Millis(80));
        int host = 0;
        for (int i = 0; i < 6; ++i) {
            host = sim.hosts[i]->core().dump()["tasks"].empty() ? host : i;
        }
        SECTION(fmt::format("the host is killed, {} entries", entries))
        {
            sim.killHost(host, Millis(60000));
            sim.callers.resetConnections(0);
            sim.run(Millis(20000));
            CHECK(sim.callers.answered(JobEnd::Completed) <= 1);
        }
        SECTION(fmt::format("the host is killed with the entry, {} entries", entries))
        {
            sim.killHost(host, Millis(60000));
            sim.killEntry(0, Millis(60000));
            sim.run(Millis(20000));
        }
        SECTION(fmt::format("the host lives, {} entries", entries))
        {
            sim.callers.resetConnections(0);
            sim.run(Millis(20000));
            CHECK(sim.callers.answered(JobEnd::Completed) == 1);
        }
        requireNoViolation(sim);
    }
}
