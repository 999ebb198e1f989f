#include "cell_ledger_p.h"
#include "cell_records_p.h"

#include <catch2/catch.hpp>

using namespace agatedrum;

namespace {

constexpr std::int64_t wallMs = 1700000000000;
const Time startTime = Time(std::chrono::hours(1));

wire::JobSpec makeSpec(const std::string &submission, std::int64_t submittedAtMs = wallMs)
{
    wire::JobSpec spec;
    spec.key.caller = "desk";
    spec.key.submission = submission;
    spec.submittedAtMs = submittedAtMs;
    spec.digest = 1;
    spec.tasks.resize(2);
    spec.tasks[0].id = "a";
    spec.tasks[1].id = "b";
    return spec;
}

wire::TaskResult makeResult(int index, wire::Outcome::type outcome, const std::string &body = {})
{
    wire::TaskResult result;
    result.index = index;
    result.outcome = outcome;
    result.body = body;
    return result;
}

LedgerJob &addEndedJob(CellLedger &ledger, const std::string &submission, const std::string &body)
{
    auto &job = ledger.add(makeSpec(submission), wallMs, startTime);
    ledger.setResult(job, makeResult(0, wire::Outcome::FINISHED, body), startTime);
    ledger.setResult(job, makeResult(1, wire::Outcome::FAILED, body), startTime);
    return job;
}

wire::RecordSnapshot makeSnapshotPart(const CellLedger &ledger, JobNumber &lastJob, int part, int parts)
{
    wire::RecordSnapshot snapshot;
    snapshot.epoch = 1;
    snapshot.sequence = 5;
    snapshot.part = part;
    snapshot.parts = parts;
    snapshot.ops = ledger.snapshotPart(lastJob, 1, startTime);
    return snapshot;
}

} // namespace

// Guards against a second run of a job whose first submission is no longer in the ledger, because it expired, was lost
// with the ledger, or lies outside of the submission window.
TEST_CASE("A ledger refuses submissions that may have been accepted earlier", "[ledger]")
{
    CellLedger ledger;

    SECTION("a submission older than the submission window is refused as too old")
    {
        const auto refusal = ledger.validateNewJob(makeSpec("s1", wallMs - AGATEDRUM_SUBMISSION_WINDOW_MS - 1), wallMs);
        REQUIRE(refusal->code == wire::RefusalCode::TOO_OLD);
        REQUIRE_FALSE(refusal->notRun);
    }
    SECTION("a submission before the minimum submission time is refused as too old")
    {
        ledger.raiseMinSubmittedAt(wallMs + 5000);
        REQUIRE(ledger.validateNewJob(makeSpec("s1", wallMs + 4999), wallMs)->code == wire::RefusalCode::TOO_OLD);
        REQUIRE_FALSE(ledger.validateNewJob(makeSpec("s1", wallMs + 5000), wallMs));
    }
    SECTION("a submission further in the future than the maximum clock skew is refused as not run")
    {
        const auto refusal = ledger.validateNewJob(makeSpec("s1", wallMs + AGATEDRUM_MAX_CLOCK_SKEW_MS + 1), wallMs);
        REQUIRE(refusal->code == wire::RefusalCode::INVALID);
        REQUIRE(refusal->notRun);
    }
    SECTION("a submission whose key has expired is refused, even if the wall clock is set back")
    {
        addEndedJob(ledger, "s1", "x");
        const auto laterWallMs = wallMs + AGATEDRUM_SUBMISSION_WINDOW_MS + 2LL * AGATEDRUM_MAX_CLOCK_SKEW_MS;
        ledger.expire(laterWallMs, startTime + Millis(laterWallMs - wallMs));
        REQUIRE(ledger.size() == 0);
        REQUIRE(ledger.validateNewJob(makeSpec("s1"), wallMs)->code == wire::RefusalCode::TOO_OLD);
    }
    SECTION("a full ledger refuses new jobs but still finds the keys that it holds")
    {
        LedgerLimits limits;
        limits.maxKeys = 1;
        CellLedger fullLedger(limits);
        fullLedger.add(makeSpec("s1"), wallMs, startTime);
        REQUIRE(fullLedger.validateNewJob(makeSpec("s2"), wallMs)->code == wire::RefusalCode::LEDGER_FULL);
        REQUIRE(fullLedger.match(makeSpec("s1")) == SubmissionMatch::SameContent);
    }
}

// Guards against the loss of outcomes and task ids in an answer whose bodies were dropped to save space.
TEST_CASE("A ledger that drops the bodies of an answer keeps its outcomes", "[ledger]")
{
    LedgerLimits limits;
    limits.maxAnswerBytes = 100;
    CellLedger ledger(limits);
    addEndedJob(ledger, "s1", std::string(40, 'x'));
    REQUIRE(ledger.answerBytes() == 80);
    addEndedJob(ledger, "s2", std::string(40, 'y'));
    REQUIRE(ledger.answerBytes() == 80);
    const auto answer = ledger.answer(*ledger.find(makeSpec("s1").key), makeSpec("s1"));
    REQUIRE(answer.refusal.code == wire::RefusalCode::ANSWER_DROPPED);
    REQUIRE_FALSE(answer.refusal.notRun);
    REQUIRE(answer.results.at(0).outcome == wire::Outcome::FINISHED);
    REQUIRE(answer.results.at(1).outcome == wire::Outcome::FAILED);
    REQUIRE(answer.results.at(1).taskId == "b");
    REQUIRE(ledger.answer(*ledger.find(makeSpec("s2").key)).results.at(0).body.size() == 40);
}

// Guards against a holder that reports its replica as in sync while a part of the snapshot or a batch is missing. Parts
// and batches arrive out of order and repeated.
TEST_CASE("A replica is in sync only after the whole snapshot, and applies batches in order", "[ledger]")
{
    CellLedger ledger;
    addEndedJob(ledger, "s1", "x");
    ledger.add(makeSpec("s2"), wallMs, startTime);
    CellRecords records;
    wire::RecordBatch batch;
    batch.epoch = 1;
    batch.sequence = 7;
    batch.ops.resize(1);
    batch.ops[0].key = makeSpec("s2").key;
    batch.ops[0].results = {makeResult(0, wire::Outcome::FINISHED)};
    JobNumber lastJob = 0;
    const auto firstPart = makeSnapshotPart(ledger, lastJob, 0, 0);
    const auto secondPart = makeSnapshotPart(ledger, lastJob, 1, 2);

    REQUIRE_FALSE(records.handle(batch, startTime)->whole);
    REQUIRE_FALSE(records.handle(secondPart, startTime)->whole);
    REQUIRE_FALSE(records.handle(secondPart, startTime)->whole);
    const auto ack = records.handle(firstPart, startTime);
    REQUIRE(ack->whole);
    REQUIRE(ack->sequence == 5);
    batch.sequence = 6;
    REQUIRE(records.handle(batch, startTime)->sequence == 7);
    batch.epoch = 0;
    REQUIRE_FALSE(records.handle(batch, startTime));
    REQUIRE(records.isInSync(1));

    auto replica = records.takeLedger();
    REQUIRE(replica.size() == 2);
    REQUIRE(replica.answer(*replica.find(makeSpec("s1").key)).results.at(0).body == "x");
    REQUIRE(replica.find(makeSpec("s2").key)->pending == 1);
}
