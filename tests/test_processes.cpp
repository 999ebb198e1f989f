#include "process_cluster.h"

#include <catch2/catch.hpp>

#include <iostream>

using namespace agatedrum::test;

namespace {

constexpr int killCount = 3;
constexpr auto maxTakeoverTime = 3s;

/// Submits a job and returns the time until it has a final answer.
std::chrono::milliseconds timeToAnswer(ProcessCluster &cluster, const std::string &submission)
{
    const auto start = std::chrono::steady_clock::now();
    const auto job = CallerLoad::submit(cluster, submission, jobBody(submission, 1, 1000), 0, 4000);
    INFO(job.answer.dump());
    CHECK(job.answer.is_object());
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - start);
}

/// Compares one task of an answer with the records of the backend servers.
void checkTask(const nlohmann::json &task, const std::string &header, const ProcessCluster::TaskRecord &seen)
{
    INFO(header << ": " << task.dump() << ", starts " << seen.starts << ", finishes " << seen.finishes);
    const std::string outcome = task.at("outcome");
    CHECK(seen.starts <= 1);
    if (outcome == "finished") {
        CHECK(seen.finishes == 1);
        CHECK(nlohmann::json::parse(task.at("body").get<std::string>()).at("task") == header);
    } else if (outcome == "notRun") {
        CHECK(seen.starts == 0);
    }
}

/// Checks that no task started twice and that every answer matches the records of the backend servers.
void checkAnswers(ProcessCluster &cluster, const std::vector<CallerLoad::Job> &jobs)
{
    const auto record = cluster.taskRecords();
    std::map<std::string, int> states;
    for (const auto &[header, seen] : record) {
        INFO(header << " started " << seen.starts << " times");
        CHECK(seen.starts <= 1);
    }
    for (const auto &job : jobs) {
        const auto findRecord = [&](const std::string &id) {
            const auto found = record.find("c/" + job.submission + "/" + id);
            return found == record.end() ? ProcessCluster::TaskRecord() : found->second;
        };
        INFO(job.submission << ": " << job.answer.dump());
        CHECK(job.answer.is_object());
        if (!job.answer.is_object()) {
            ++states["none"];
            continue;
        }
        if (job.answer.contains("error")) {
            const bool isNotRun = job.answer["error"]["notRun"];
            ++states[isNotRun ? "refused as not run" : "unknown"];
            for (int i = 0; isNotRun && i < CallerLoad::tasksPerJob; ++i) {
                CHECK(findRecord("t" + std::to_string(i)).starts == 0);
            }
            continue;
        }
        const auto &tasks = job.answer.at("tasks");
        CHECK(tasks.size() == static_cast<std::size_t>(CallerLoad::tasksPerJob));
        const std::string state = job.answer.at("state");
        ++states[state];
        bool isAllFinished = true;
        for (const auto &task : tasks) {
            checkTask(task, "c/" + job.submission + "/" + task.at("id").get<std::string>(),
                      findRecord(task.at("id").get<std::string>()));
            isAllFinished = isAllFinished && task.at("outcome") == "finished";
        }
        CHECK((state == "complete") == isAllFinished);
    }
    std::cout << jobs.size() << " jobs, " << record.size() << " tasks started:";
    for (const auto &[state, count] : states) {
        std::cout << " " << state << " " << count;
    }
    std::cout << std::endl;
    CHECK(jobs.size() > 20);
}

int countJobs(const std::vector<CallerLoad::Job> &jobs, const std::string &state)
{
    int count = 0;
    for (const auto &job : jobs) {
        count += job.answer.is_object() && job.answer.value("state", std::string()) == state ? 1 : 0;
    }
    return count;
}

} // namespace

// A killed owner must be replaced within 3 s. Its successor must keep recorded answers and must not start tasks again.
TEST_CASE("Killing owners loses no answer and starts no task twice", "[processes]")
{
    ProcessCluster cluster(15000, 3);
    REQUIRE(cluster.waitUntilReady(jobBody("first", 1, 1000)));
    CallerLoad load(cluster);
    for (int i = 0; i < killCount; ++i) {
        std::this_thread::sleep_for(1500ms);
        const auto owner = cluster.owner();
        REQUIRE_FALSE(owner.empty());
        cluster.process(owner).sendSignal(SIGKILL);
        const auto elapsed = timeToAnswer(cluster, "probe-" + std::to_string(i));
        std::cout << "kill -9 of " << owner << ": new job answered after " << elapsed.count() << " ms" << std::endl;
        CHECK(elapsed < maxTakeoverTime);
        cluster.process(owner).wait();
        cluster.start("owner", ProcessCluster::indexOf(owner));
        std::this_thread::sleep_for(1500ms);
    }
    checkAnswers(cluster, load.stop());
}

// A frozen owner does not notice that its lease has expired and that another owner has taken over. When it continues,
// it must not start tasks.
TEST_CASE("A frozen owner that wakes after its lease starts nothing", "[processes]")
{
    ProcessCluster cluster(15100, 3);
    REQUIRE(cluster.waitUntilReady(jobBody("first", 1, 1000)));
    CallerLoad load(cluster);
    for (int i = 0; i < killCount; ++i) {
        std::this_thread::sleep_for(1500ms);
        const auto owner = cluster.owner();
        REQUIRE_FALSE(owner.empty());
        cluster.process(owner).sendSignal(SIGSTOP);
        const auto elapsed = timeToAnswer(cluster, "probe-" + std::to_string(i));
        std::cout << "freeze of " << owner << ": new job answered after " << elapsed.count() << " ms" << std::endl;
        CHECK(elapsed < maxTakeoverTime);
        std::this_thread::sleep_for(1500ms);
        cluster.process(owner).sendSignal(SIGCONT);
        std::this_thread::sleep_for(1500ms);
    }
    const auto jobs = load.stop();
    CHECK(cluster.agentCounter("agent_starts_of_former_owners_total") == 0);
    checkAnswers(cluster, jobs);
}

// An entry that is killed loses its connections to callers, which resubmit through another entry. The resubmission must
// return the result of the same job.
TEST_CASE("Killing entries loses no job and starts no task twice", "[processes]")
{
    ProcessCluster cluster(15200, 3);
    REQUIRE(cluster.waitUntilReady(jobBody("first", 1, 1000)));
    CallerLoad load(cluster);
    for (int i = 0; i < killCount; ++i) {
        std::this_thread::sleep_for(1000ms);
        const int index = 1 + i % ProcessCluster::entryCount;
        cluster.process(ProcessCluster::nameOf("entry", index)).sendSignal(SIGKILL);
        cluster.process(ProcessCluster::nameOf("entry", index)).wait();
        std::this_thread::sleep_for(1000ms);
        cluster.start("entry", index);
    }
    const auto jobs = load.stop();
    checkAnswers(cluster, jobs);
    CHECK(countJobs(jobs, "complete") == static_cast<int>(jobs.size()));
}

// An agent that is killed cannot report the results of its tasks. A restart after 200 ms or 2 s must not lead to a
// second start or to an outcome that contradicts the records of the backend servers.
TEST_CASE("Killing agents starts no task twice and gives no wrong outcome", "[processes]")
{
    ProcessCluster cluster(15300, 3);
    REQUIRE(cluster.waitUntilReady(jobBody("first", 1, 1000)));
    CallerLoad load(cluster);
    for (int i = 0; i < killCount; ++i) {
        std::this_thread::sleep_for(1000ms);
        const auto name = ProcessCluster::nameOf("agent", 1 + i);
        cluster.process(name).sendSignal(SIGKILL);
        cluster.process(name).wait();
        std::this_thread::sleep_for(i % 2 == 0 ? 200ms : 2000ms);
        cluster.start("agent", 1 + i);
    }
    std::this_thread::sleep_for(2000ms);
    checkAnswers(cluster, load.stop());
}

// While the control group elects a new leader, jobs must continue without a single failed attempt.
TEST_CASE("Killing leaders of the control group interrupts no jobs", "[processes]")
{
    // Two of five processes stay down, so the test does not depend on recovery from the store.
    ProcessCluster cluster(15400, 5);
    REQUIRE(cluster.waitUntilReady(jobBody("first", 1, 1000)));
    CallerLoad load(cluster);
    for (int i = 0; i < 2; ++i) {
        std::this_thread::sleep_for(1500ms);
        const auto leader = cluster.leader();
        REQUIRE_FALSE(leader.empty());
        cluster.process(leader).sendSignal(SIGKILL);
        std::this_thread::sleep_for(2500ms);
    }
    const auto jobs = load.stop();
    checkAnswers(cluster, jobs);
    for (const auto &job : jobs) {
        INFO(job.submission << ": " << job.answer.dump());
        INFO("earlier attempts: " << nlohmann::json(job.earlierAttempts).dump());
        CHECK(job.earlierAttempts.empty());
        CHECK(job.answer.value("state", std::string()) == "complete");
    }
}
