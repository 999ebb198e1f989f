#include "entry_fixture.h"
#include "entry_key_p.h"

#include <catch2/catch.hpp>

#include <set>

using namespace agatedrum;
using namespace agatedrum::test;

TEST_CASE("An entry forwards a job to the owner of its cell", "[entry]")
{
    EntryFixture entry;
    entry.showView(1, {100, 100});
    entry.submit(jobSpec("s1"));
    const auto jobs = entry.sentJobs();
    REQUIRE(jobs.size() == 1);
    const auto &job = jobs[0];
    REQUIRE(job.spec.digest == jobDigest(jobSpec("s1")));

    SECTION("and hands the whole answer back in the order of the tasks")
    {
        entry.receive(100, finishedReply(job));
        REQUIRE(entry.answers.size() == 1);
        REQUIRE(entry.answers[0].complete);
        REQUIRE(entry.answers[0].results[0].taskId == "t0");
        REQUIRE(entry.answers[0].results[1].body == "done-1");

        SECTION("an answer that comes twice reaches the caller once")
        {
            entry.receive(100, finishedReply(job));
            REQUIRE(entry.answers.size() == 1);
            REQUIRE(entry.core.dump()["counters"]["unmatchedAnswers"] == 1);
        }
    }

    SECTION("a job with a failed task is failed, whatever the owner's flag says")
    {
        auto reply = finishedReply(job);
        reply.answer.results[0].outcome = wire::Outcome::FAILED;
        entry.receive(100, reply);
        REQUIRE_FALSE(entry.answers.at(0).complete);
    }

    SECTION("an answer for another key never reaches the caller, though the request id is the same")
    {
        auto reply = finishedReply(job);
        reply.answer.key.submission = "s2";
        entry.receive(100, reply);
        REQUIRE(entry.answers.empty());
    }

    SECTION("a partial answer is never handed on as complete or failed")
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

    SECTION("a state that is not final leaves the caller waiting")
    {
        auto reply = finishedReply(job);
        reply.answer.done = false;
        entry.receive(100, reply);
        REQUIRE(entry.answers.empty());
        REQUIRE_FALSE(entry.core.isDrained());
    }

    SECTION("an answer after the time limit is dropped, the caller was told that the outcome is unknown")
    {
        entry.pass(Millis(60000));
        REQUIRE(entry.answers.at(0).refusal.code == wire::RefusalCode::NONE);
        REQUIRE_FALSE(entry.answers[0].refusal.notRun);
        entry.receive(100, finishedReply(job));
        REQUIRE(entry.answers.size() == 1);
        REQUIRE(entry.core.isDrained());
    }

    SECTION("the only copy's refusal is passed on as not run")
    {
        entry.receive(100, refusalReply(job, wire::RefusalCode::QUOTA));
        REQUIRE(entry.answers.at(0).refusal.notRun);
    }

    SECTION("a lost message is sent again, and a refusal of the copy is not passed on as not run")
    {
        entry.pass(Millis(4999));
        REQUIRE(entry.sentJobs().empty());
        entry.pass(Millis(1));
        REQUIRE(entry.sentJobs().size() == 1);
        entry.receive(100, refusalReply(job, wire::RefusalCode::QUOTA));
        REQUIRE(entry.answers.at(0).refusal.code == wire::RefusalCode::QUOTA);
        REQUIRE_FALSE(entry.answers[0].refusal.notRun);
    }
}

TEST_CASE("An entry follows a job's cell to another owner", "[entry]")
{
    EntryFixture entry;
    entry.showView(1, {100, 100});
    auto spec = jobSpec("s1");
    spec.deadlineMs = 30000;
    entry.submit(spec);
    const auto job = entry.sentJobs().at(0);

    SECTION("a view with another owner makes it send the job there, with the time that is left")
    {
        entry.clock.advance(Millis(2000));
        entry.showView(2, {200, 200}, 2);
        const auto again = entry.sentJobs();
        REQUIRE(again.size() == 1);
        REQUIRE(entry.lastSent[0].to.port == 200);
        REQUIRE(again[0].requestId == job.requestId);
        REQUIRE(again[0].epoch == 2);
        REQUIRE(again[0].spec.digest == job.spec.digest);
        REQUIRE(again[0].spec.deadlineMs == 28000);

        SECTION("a late refusal by the earlier owner is not passed on, since the new owner may run the job")
        {
            entry.receive(100, refusalReply(job, wire::RefusalCode::QUEUE_FULL));
            REQUIRE(entry.answers.empty());
            entry.receive(200, finishedReply(again[0]));
            REQUIRE(entry.answers.at(0).complete);
        }

        SECTION("a late answer by the earlier owner is the job's answer, and the second one is dropped")
        {
            entry.receive(100, finishedReply(job));
            entry.receive(200, finishedReply(again[0]));
            REQUIRE(entry.answers.size() == 1);
        }

        SECTION("a late NotOwner of the earlier owner sends nothing")
        {
            wire::NotOwner notOwner;
            notOwner.requestId = job.requestId;
            entry.receive(100, notOwner);
            entry.pass(Millis(1000));
            REQUIRE(entry.sentJobs().empty());
        }
    }

    SECTION("a new epoch of the same owner makes it send the job again")
    {
        entry.showView(2, {100, 100}, 2);
        REQUIRE(entry.sentJobs().size() == 1);
    }

    SECTION("an unchanged or older view sends nothing")
    {
        entry.showView(2, {100, 100});
        entry.showView(1, {300, 300}, 9);
        REQUIRE(entry.sentJobs().empty());
    }

    SECTION("an owner without a lease is asked again, each time later")
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
            entry.pass(Millis(delay - 1));
            REQUIRE(entry.sentJobs().empty());
            entry.pass(Millis(1));
            REQUIRE(entry.sentJobs().size() == 1);
        }
        REQUIRE(entry.answers.empty());
    }

    SECTION("a lost owner is waited for until the time limit, then the outcome is unknown")
    {
        entry.showView(2, {0, 0}, 2);
        entry.pass(Millis(30999));
        REQUIRE(entry.answers.empty());
        entry.pass(Millis(1));
        REQUIRE_FALSE(entry.answers.at(0).refusal.notRun);
    }
}

TEST_CASE("An entry without a way to the owner refuses accurately", "[entry]")
{
    EntryFixture entry;

    SECTION("a job that comes before the first view waits for it")
    {
        entry.submit(jobSpec("s1"));
        REQUIRE(entry.sentJobs().empty());
        entry.showView(1, {100, 100});
        REQUIRE(entry.sentJobs().size() == 1);
    }

    SECTION("a job waits for an owner, and then may have run through another entry")
    {
        entry.showView(1, {0, 0});
        entry.submit(jobSpec("s1"));
        entry.pass(Millis(AGATEDRUM_ENTRY_OWNER_WAIT_MS - 1));
        REQUIRE(entry.answers.empty());
        entry.pass(Millis(1));
        REQUIRE(entry.answers.at(0).refusal.code == wire::RefusalCode::NO_OWNER);
        REQUIRE_FALSE(entry.answers[0].refusal.notRun);
    }

    SECTION("a view that lacks a cell of the service routes nothing, since keys would reach two ledgers")
    {
        entry.showView(1, {100});
        entry.submit(jobSpec("s1"));
        REQUIRE(entry.sentJobs().empty());
        entry.showView(2, {100, 100});
        REQUIRE(entry.sentJobs().size() == 1);
    }

    SECTION("an unknown service is refused as not run only while the view is fresh")
    {
        entry.showView(1, {100, 100});
        auto spec = jobSpec("s1");
        spec.serviceName = "none";
        entry.submit(spec);
        REQUIRE(entry.answers.at(0).refusal.code == wire::RefusalCode::UNKNOWN_SERVICE);
        REQUIRE_FALSE(entry.answers[0].refusal.notRun);
        entry.renewLease();
        entry.submit(spec);
        REQUIRE(entry.answers.at(1).refusal.notRun);
    }

    SECTION("a removed service may have run the job before")
    {
        entry.showView(1, {100, 100});
        auto view = entryView(2, {});
        view.config.text = "number: 2\nservices:\n  - name: other\n...\n";
        view.config.number = 2;
        entry.receive(1, view);
        entry.renewLease();
        entry.submit(jobSpec("s1"));
        REQUIRE(entry.answers.at(0).refusal.code == wire::RefusalCode::UNKNOWN_SERVICE);
        REQUIRE_FALSE(entry.answers[0].refusal.notRun);
    }

    SECTION("requests above the bound are refused, and a freed place is used again")
    {
        entry.showView(1, {100, 100});
        for (const auto *name : {"a", "b", "c", "d"}) {
            entry.submit(jobSpec(name));
        }
        const auto jobs = entry.sentJobs();
        REQUIRE(jobs.size() == 3);
        REQUIRE(entry.answers.at(0).refusal.code == wire::RefusalCode::QUEUE_FULL);
        REQUIRE_FALSE(entry.answers[0].refusal.notRun);
        REQUIRE(entry.answers[0].refusal.retryAfterMs > 0);
        entry.receive(100, finishedReply(jobs[0]));
        entry.submit(jobSpec("e"));
        REQUIRE(entry.sentJobs().size() == 1);
    }

    SECTION("jobs whose bodies exceed the bound together are refused, and an answer makes room")
    {
        entry.showView(1, {100, 100});
        auto large = jobSpec("a", 1);
        large.tasks[0].body = std::string(90, 'x');
        entry.submit(large);
        const auto jobs = entry.sentJobs();
        entry.submit(jobSpec("b"));
        REQUIRE(entry.answers.at(0).refusal.code == wire::RefusalCode::QUEUE_FULL);
        REQUIRE_FALSE(entry.answers[0].refusal.notRun);
        entry.receive(100, finishedReply(jobs.at(0)));
        entry.submit(jobSpec("b"));
        REQUIRE(entry.sentJobs().size() == 1);
        REQUIRE(entry.core.dump()["bodyBytes"] == 12);
    }

    SECTION("a stopping entry takes no new job and is drained after its last answer")
    {
        entry.showView(1, {100, 100});
        entry.submit(jobSpec("s1"));
        const auto job = entry.sentJobs().at(0);
        entry.core.beginStop();
        REQUIRE_FALSE(entry.core.isDrained());
        entry.submit(jobSpec("s2"));
        REQUIRE(entry.answers.at(0).refusal.code == wire::RefusalCode::STOPPING);
        REQUIRE_FALSE(entry.answers[0].refusal.notRun);
        entry.receive(100, finishedReply(job));
        REQUIRE(entry.core.isDrained());
    }
}

TEST_CASE("A job's key and digest are the same at every entry", "[entry]")
{
    SECTION("keys spread over the cells, and a caller's name does not run into the submission's")
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

    SECTION("each part that a resubmission repeats changes the digest, the deadline does not")
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

TEST_CASE("An entry asks the control group until its leader answers", "[entry]")
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

    SECTION("silence makes it ask again, and the answer is handed on once")
    {
        entry.pass(Millis(1000));
        REQUIRE(entry.sink.all<wire::ApplyConfig>().size() == 1);
        reply.accepted = true;
        entry.receive(1, reply);
        entry.receive(1, reply);
        REQUIRE(replies.size() == 1);
        REQUIRE(value(replies[0]).accepted);
    }

    SECTION("a control process that does not lead is not the answer")
    {
        reply.code = "not-leader";
        entry.receive(1, reply);
        REQUIRE(replies.empty());
        entry.pass(Millis(100));
        REQUIRE(entry.sink.all<wire::ApplyConfig>().size() == 1);
    }

    SECTION("a control group that cannot decide now is asked again, and its reason is handed on at the time limit")
    {
        reply.code = "unavailable";
        reply.message = "no leader now";
        entry.receive(1, reply);
        REQUIRE(replies.empty());
        entry.pass(Millis(10000));
        REQUIRE(value(replies.at(0)).message == "no leader now");
    }

    SECTION("no answer until the time limit is reported as unknown outcome")
    {
        entry.pass(Millis(10000));
        REQUIRE_FALSE(isOk(replies.at(0)));
        REQUIRE_FALSE(error(replies[0]).notRun);
    }

    SECTION("a question's answer does not end a configuration request with the same id")
    {
        wire::ControlAnswer answer;
        answer.requestId = sent.requestId;
        answer.ok = true;
        entry.receive(1, answer);
        REQUIRE(replies.empty());
    }
}
