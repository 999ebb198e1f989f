#include "entry_fixture.h"
#include "entry_key_p.h"

#include <catch2/catch.hpp>

#include <set>

using namespace agatedrum;
using namespace agatedrum::test;

// Guards against an answer that reaches the wrong caller, reaches a caller twice, or is incomplete, and against a job
// that is reported as not run although it may have run.
TEST_CASE("An entry forwards a job to the owner of its cell", "[entry]")
{
    EntryFixture entry;
    entry.receiveView(1, {100, 100});
    entry.submit(jobSpec("s1"));
    const auto jobs = entry.takeSentJobs();
    REQUIRE(jobs.size() == 1);
    const auto &job = jobs[0];
    REQUIRE(job.spec.digest == jobDigest(jobSpec("s1")));

    SECTION("the complete answer is returned in the order of the tasks")
    {
        entry.receive(100, finishedReply(job));
        REQUIRE(entry.answers.size() == 1);
        REQUIRE(entry.answers[0].complete);
        REQUIRE(entry.answers[0].results[0].taskId == "t0");
        REQUIRE(entry.answers[0].results[1].body == "done-1");

        SECTION("an answer that is received twice reaches the caller once")
        {
            entry.receive(100, finishedReply(job));
            REQUIRE(entry.answers.size() == 1);
            REQUIRE(entry.core.dump()["counters"]["unmatchedAnswers"] == 1);
        }
    }

    SECTION("a job with a failed task is not complete, even if the owner's answer says so")
    {
        auto reply = finishedReply(job);
        reply.answer.results[0].outcome = wire::Outcome::FAILED;
        entry.receive(100, reply);
        REQUIRE_FALSE(entry.answers.at(0).complete);
    }

    SECTION("an answer for another key is dropped, even if the request id is the same")
    {
        auto reply = finishedReply(job);
        reply.answer.key.submission = "s2";
        entry.receive(100, reply);
        REQUIRE(entry.answers.empty());
    }

    SECTION("a final answer with missing or invalid results is reported as unknown outcome")
    {
        auto reply = finishedReply(job);
        const auto fault = GENERATE(0, 1, 2);
        if (fault == 0) {
            reply.answer.results.pop_back();
        } else if (fault == 1) {
            reply.answer.results[1].index = reply.answer.results[0].index;
        } else {
            reply.answer.results[0].index = -1;
        }
        entry.receive(100, reply);
        REQUIRE(entry.answers.at(0).refusal.code == wire::RefusalCode::NONE);
        REQUIRE_FALSE(entry.answers[0].refusal.notRun);
    }

    SECTION("an answer that is not final is not returned to the caller")
    {
        auto reply = finishedReply(job);
        reply.answer.done = false;
        entry.receive(100, reply);
        REQUIRE(entry.answers.empty());
        REQUIRE_FALSE(entry.core.isDrained());
    }

    SECTION("the outcome is unknown after the time limit, and a later answer is dropped")
    {
        entry.advanceTime(Millis(60000));
        REQUIRE(entry.answers.at(0).refusal.code == wire::RefusalCode::NONE);
        REQUIRE_FALSE(entry.answers[0].refusal.notRun);
        entry.receive(100, finishedReply(job));
        REQUIRE(entry.answers.size() == 1);
        REQUIRE(entry.core.isDrained());
    }

    SECTION("a refusal of a job that was sent once is returned as not run")
    {
        entry.receive(100, refusalReply(job, wire::RefusalCode::QUOTA));
        REQUIRE(entry.answers.at(0).refusal.notRun);
    }

    SECTION("a lost message is resent, and a refusal of a resent job is not returned as not run")
    {
        entry.advanceTime(Millis(4999));
        REQUIRE(entry.takeSentJobs().empty());
        entry.advanceTime(Millis(1));
        REQUIRE(entry.takeSentJobs().size() == 1);
        entry.receive(100, refusalReply(job, wire::RefusalCode::QUOTA));
        REQUIRE(entry.answers.at(0).refusal.code == wire::RefusalCode::QUOTA);
        REQUIRE_FALSE(entry.answers[0].refusal.notRun);
    }
}

// Guards against jobs that are lost, or answered by the wrong owner, when the owner of a cell changes while they are in
// flight.
TEST_CASE("An entry resends a job when its cell gets another owner", "[entry]")
{
    EntryFixture entry;
    entry.receiveView(1, {100, 100});
    auto spec = jobSpec("s1");
    spec.deadlineMs = 30000;
    entry.submit(spec);
    const auto job = entry.takeSentJobs().at(0);

    SECTION("the job is sent to the new owner with the remaining deadline")
    {
        entry.clock.advance(Millis(2000));
        entry.receiveView(2, {200, 200}, 2);
        const auto resentJobs = entry.takeSentJobs();
        REQUIRE(resentJobs.size() == 1);
        REQUIRE(entry.lastSentMessages[0].to.port == 200);
        REQUIRE(resentJobs[0].requestId == job.requestId);
        REQUIRE(resentJobs[0].epoch == 2);
        REQUIRE(resentJobs[0].spec.digest == job.spec.digest);
        REQUIRE(resentJobs[0].spec.deadlineMs == 28000);

        SECTION("a late refusal by the previous owner is dropped, since the new owner may run the job")
        {
            entry.receive(100, refusalReply(job, wire::RefusalCode::QUEUE_FULL));
            REQUIRE(entry.answers.empty());
            entry.receive(200, finishedReply(resentJobs[0]));
            REQUIRE(entry.answers.at(0).complete);
        }

        SECTION("a late answer by the previous owner is returned, and the answer of the new owner is dropped")
        {
            entry.receive(100, finishedReply(job));
            entry.receive(200, finishedReply(resentJobs[0]));
            REQUIRE(entry.answers.size() == 1);
        }

        SECTION("a late NotOwner of the previous owner does not cause the job to be resent")
        {
            wire::NotOwner notOwner;
            notOwner.requestId = job.requestId;
            entry.receive(100, notOwner);
            entry.advanceTime(Millis(1000));
            REQUIRE(entry.takeSentJobs().empty());
        }
    }

    SECTION("a new epoch of the same owner causes the job to be resent")
    {
        entry.receiveView(2, {100, 100}, 2);
        REQUIRE(entry.takeSentJobs().size() == 1);
    }

    SECTION("a view with the same owners and an older view cause no resend")
    {
        entry.receiveView(2, {100, 100});
        entry.receiveView(1, {300, 300}, 9);
        REQUIRE(entry.takeSentJobs().empty());
    }

    SECTION("a job is resent to an owner without a lease, with increasing delays")
    {
        const bool isRefusal = GENERATE(false, true);
        wire::NotOwner notOwner;
        notOwner.requestId = job.requestId;
        for (const auto delay : {100, 200, 400, 800, 1000, 1000}) {
            if (isRefusal) {
                entry.receive(100, refusalReply(job, wire::RefusalCode::LEASE_LOST));
            } else {
                entry.receive(100, notOwner);
            }
            entry.advanceTime(Millis(delay - 1));
            REQUIRE(entry.takeSentJobs().empty());
            entry.advanceTime(Millis(1));
            REQUIRE(entry.takeSentJobs().size() == 1);
        }
        REQUIRE(entry.answers.empty());
    }

    SECTION("without a new owner the job waits until its time limit, then the outcome is unknown")
    {
        entry.receiveView(2, {0, 0}, 2);
        entry.advanceTime(Millis(30999));
        REQUIRE(entry.answers.empty());
        entry.advanceTime(Millis(1));
        REQUIRE_FALSE(entry.answers.at(0).refusal.notRun);
    }
}

// Guards against refusals that say that a job was not run although it may have run through another entry or earlier,
// and against unbounded memory use by pending requests.
TEST_CASE("An entry that cannot forward a job refuses it with the correct not-run flag", "[entry]")
{
    EntryFixture entry;

    SECTION("a job received before the first view waits for the view")
    {
        entry.submit(jobSpec("s1"));
        REQUIRE(entry.takeSentJobs().empty());
        entry.receiveView(1, {100, 100});
        REQUIRE(entry.takeSentJobs().size() == 1);
    }

    SECTION("a job is refused if its cell gets no owner in time, but not as not run")
    {
        entry.receiveView(1, {0, 0});
        entry.submit(jobSpec("s1"));
        entry.advanceTime(Millis(AGATEDRUM_ENTRY_OWNER_WAIT_MS - 1));
        REQUIRE(entry.answers.empty());
        entry.advanceTime(Millis(1));
        REQUIRE(entry.answers.at(0).refusal.code == wire::RefusalCode::NO_OWNER);
        REQUIRE_FALSE(entry.answers[0].refusal.notRun);
    }

    SECTION("a view that lacks a cell of the service routes no jobs, since keys could map to two ledgers")
    {
        entry.receiveView(1, {100});
        entry.submit(jobSpec("s1"));
        REQUIRE(entry.takeSentJobs().empty());
        entry.receiveView(2, {100, 100});
        REQUIRE(entry.takeSentJobs().size() == 1);
    }

    SECTION("an unknown service is refused as not run only while the lease is valid")
    {
        entry.receiveView(1, {100, 100});
        auto spec = jobSpec("s1");
        spec.serviceName = "none";
        entry.submit(spec);
        REQUIRE(entry.answers.at(0).refusal.code == wire::RefusalCode::UNKNOWN_SERVICE);
        REQUIRE_FALSE(entry.answers[0].refusal.notRun);
        entry.renewLease();
        entry.submit(spec);
        REQUIRE(entry.answers.at(1).refusal.notRun);
    }

    SECTION("a job of a removed service is refused, but not as not run")
    {
        entry.receiveView(1, {100, 100});
        auto view = entryView(2, {});
        view.config.text = "number: 2\nservices:\n  - name: other\n...\n";
        view.config.number = 2;
        entry.receive(1, view);
        entry.renewLease();
        entry.submit(jobSpec("s1"));
        REQUIRE(entry.answers.at(0).refusal.code == wire::RefusalCode::UNKNOWN_SERVICE);
        REQUIRE_FALSE(entry.answers[0].refusal.notRun);
    }

    SECTION("requests above the maximum number are refused, and an answer frees capacity")
    {
        entry.receiveView(1, {100, 100});
        for (const auto *name : {"a", "b", "c", "d"}) {
            entry.submit(jobSpec(name));
        }
        const auto jobs = entry.takeSentJobs();
        REQUIRE(jobs.size() == 3);
        REQUIRE(entry.answers.at(0).refusal.code == wire::RefusalCode::QUEUE_FULL);
        REQUIRE_FALSE(entry.answers[0].refusal.notRun);
        REQUIRE(entry.answers[0].refusal.retryAfterMs > 0);
        entry.receive(100, finishedReply(jobs[0]));
        entry.submit(jobSpec("e"));
        REQUIRE(entry.takeSentJobs().size() == 1);
    }

    SECTION("jobs above the maximum total size are refused, and an answer frees capacity")
    {
        entry.receiveView(1, {100, 100});
        auto large = jobSpec("a", 1);
        large.tasks[0].body = std::string(90, 'x');
        entry.submit(large);
        const auto jobs = entry.takeSentJobs();
        entry.submit(jobSpec("b"));
        REQUIRE(entry.answers.at(0).refusal.code == wire::RefusalCode::QUEUE_FULL);
        REQUIRE_FALSE(entry.answers[0].refusal.notRun);
        entry.receive(100, finishedReply(jobs.at(0)));
        entry.submit(jobSpec("b"));
        REQUIRE(entry.takeSentJobs().size() == 1);
        REQUIRE(entry.core.dump()["bodyBytes"] == 12);
    }

    SECTION("a stopping entry refuses new jobs and is drained after its last answer")
    {
        entry.receiveView(1, {100, 100});
        entry.submit(jobSpec("s1"));
        const auto job = entry.takeSentJobs().at(0);
        entry.core.beginStop();
        REQUIRE_FALSE(entry.core.isDrained());
        entry.submit(jobSpec("s2"));
        REQUIRE(entry.answers.at(0).refusal.code == wire::RefusalCode::STOPPING);
        REQUIRE_FALSE(entry.answers[0].refusal.notRun);
        entry.receive(100, finishedReply(job));
        REQUIRE(entry.core.isDrained());
    }
}

// Guards against entries that map a key to different cells, and against a changed resubmission with an equal digest.
TEST_CASE("The cell of a key and the digest of a job depend on exactly the relevant fields", "[entry]")
{
    SECTION("keys are spread evenly over the cells, and caller and submission are separated in the hash")
    {
        std::vector<int> jobs(8);
        for (int i = 0; i < 8000; ++i) {
            ++jobs[cellIndex(jobSpec("s" + std::to_string(i)).key, jobs.size())];
        }
        for (const auto count : jobs) {
            REQUIRE(count > 800);
            REQUIRE(count < 1200);
        }
        wire::JobKey a;
        a.caller = "ab";
        a.submission = "c";
        wire::JobKey b;
        b.caller = "a";
        b.submission = "bc";
        REQUIRE(cellIndex(a, 1000000) != cellIndex(b, 1000000));
    }

    SECTION("each field that a resubmission must repeat changes the digest, the deadline does not")
    {
        std::vector<wire::JobSpec> specs(9, jobSpec("s1"));
        specs[1].team = "other";
        specs[2].serviceName = "other";
        specs[3].submittedAtMs += 1;
        specs[4].idempotent = true;
        specs[5].tasks[0].id = "other";
        specs[6].tasks[0].body = "other";
        specs[7].tasks[0].declaredMicros = 1;
        specs[8].tasks.pop_back();
        std::set<std::int64_t> digests;
        for (const auto &spec : specs) {
            digests.insert(jobDigest(spec));
        }
        REQUIRE(digests.size() == specs.size());
        auto later = jobSpec("s1");
        later.deadlineMs = 5;
        REQUIRE(jobDigest(later) == jobDigest(specs[0]));
    }
}

// Guards against requests to the control group that are lost with a message, answered by a process that is not the
// leader, or never answered.
TEST_CASE("An entry resends a request to the control group until the leader answers", "[entry]")
{
    EntryFixture entry;
    std::vector<Result<wire::ApplyReply, wire::Refusal>> replies;
    entry.core.apply("text", "operator", true,
                     [&replies](const Result<wire::ApplyReply, wire::Refusal> &reply) { replies.push_back(reply); });
    const auto sent = entry.sink.all<wire::ApplyConfig>().at(0);
    REQUIRE(sent.text == "text");
    REQUIRE(sent.dryRun);
    entry.sink.take();
    wire::ApplyReply reply;
    reply.requestId = sent.requestId;

    SECTION("a request without an answer is resent, and its answer is returned once")
    {
        entry.advanceTime(Millis(1000));
        REQUIRE(entry.sink.all<wire::ApplyConfig>().size() == 1);
        reply.accepted = true;
        entry.receive(1, reply);
        entry.receive(1, reply);
        REQUIRE(replies.size() == 1);
        REQUIRE(value(replies[0]).accepted);
    }

    SECTION("an answer of a process that is not the leader causes a resend")
    {
        reply.code = "not-leader";
        entry.receive(1, reply);
        REQUIRE(replies.empty());
        entry.advanceTime(Millis(100));
        REQUIRE(entry.sink.all<wire::ApplyConfig>().size() == 1);
    }

    SECTION("a request without a decision is resent, and the last reply is returned at the time limit")
    {
        reply.code = "unavailable";
        reply.message = "no leader now";
        entry.receive(1, reply);
        REQUIRE(replies.empty());
        entry.advanceTime(Millis(10000));
        REQUIRE(value(replies.at(0)).message == "no leader now");
    }

    SECTION("a request without an answer until the time limit is reported as unknown outcome")
    {
        entry.advanceTime(Millis(10000));
        REQUIRE_FALSE(isOk(replies.at(0)));
        REQUIRE_FALSE(error(replies[0]).notRun);
    }

    SECTION("an answer to a query does not complete a configuration request with the same id")
    {
        wire::ControlAnswer answer;
        answer.requestId = sent.requestId;
        answer.ok = true;
        entry.receive(1, answer);
        REQUIRE(replies.empty());
    }
}
