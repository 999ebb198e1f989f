#include "cell_ledger_p.h"
#include "cell_records_p.h"

#include <catch2/catch.hpp>

using namespace agatedrum;

namespace {

constexpr std::int64_t wallMs = 1700000000000;
const Time start = Time(std::chrono::hours(1));

wire::JobSpec spec(const std::string &submission, std::int64_t submittedAtMs = wallMs)
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

wire::TaskResult result(int index, wire::Outcome::type outcome, const std::string &body = {})
{
    wire::TaskResult result;
    result.index = index;
    result.outcome = outcome;
    result.body = body;
    return result;
}

LedgerJob &addEnded(CellLedger &ledger, const std::string &submission, const std::string &body)
{
    auto &job = ledger.add(spec(submission), wallMs, start);
    ledger.decide(job, result(0, wire::Outcome::FINISHED, body), start);
    ledger.decide(job, result(1, wire::Outcome::FAILED, body), start);
    return job;
}

wire::RecordSnapshot snapshotPart(const CellLedger &ledger, JobNumber &after, int part, int parts)
{
    wire::RecordSnapshot snapshot;
    snapshot.epoch = 1;
    snapshot.sequence = 5;
    snapshot.part = part;
    snapshot.parts = parts;
    snapshot.ops = ledger.snapshotPart(after, 1, start);
    return snapshot;
}

} // namespace

// Guards against a second run of a job whose first submission is no longer held.
TEST_CASE("A ledger refuses what it cannot tell from an earlier submission", "[ledger]")
{
    CellLedger ledger;

    SECTION("older than the window")
    {
        const auto refusal = ledger.refuseNew(spec("s1", wallMs - AGATEDRUM_SUBMISSION_WINDOW_MS - 1), wallMs);
        REQUIRE(refusal->code == wire::RefusalCode::TOO_OLD);
        REQUIRE_FALSE(refusal->notRun);
    }
    SECTION("older than the floor after a loss")
    {
        ledger.raiseFloor(wallMs + 5000);
        REQUIRE(ledger.refuseNew(spec("s1", wallMs + 4999), wallMs)->code == wire::RefusalCode::TOO_OLD);
        REQUIRE_FALSE(ledger.refuseNew(spec("s1", wallMs + 5000), wallMs));
    }
    SECTION("further ahead than clocks may differ, which certainly did not run")
    {
        const auto refusal = ledger.refuseNew(spec("s1", wallMs + AGATEDRUM_MAX_CLOCK_SKEW_MS + 1), wallMs);
        REQUIRE(refusal->code == wire::RefusalCode::INVALID);
        REQUIRE(refusal->notRun);
    }
    SECTION("expired, even when the wall clock is set back")
    {
        addEnded(ledger, "s1", "x");
        const auto later = wallMs + AGATEDRUM_SUBMISSION_WINDOW_MS + 2LL * AGATEDRUM_MAX_CLOCK_SKEW_MS;
        ledger.expire(later, start + Millis(later - wallMs));
        REQUIRE(ledger.size() == 0);
        REQUIRE(ledger.refuseNew(spec("s1"), wallMs)->code == wire::RefusalCode::TOO_OLD);
    }
    SECTION("new jobs when it is full, never old keys")
    {
        LedgerLimits limits;
        limits.keys = 1;
        CellLedger full(limits);
        full.add(spec("s1"), wallMs, start);
        REQUIRE(full.refuseNew(spec("s2"), wallMs)->code == wire::RefusalCode::LEDGER_FULL);
        REQUIRE(full.match(spec("s1")) == Match::Same);
    }
}

// Guards against an answer that forgets outcomes with the bodies.
TEST_CASE("A ledger drops bodies before outcomes", "[ledger]")
{
    LedgerLimits limits;
    limits.answerBytes = 100;
    CellLedger ledger(limits);
    addEnded(ledger, "s1", std::string(40, 'x'));
    REQUIRE(ledger.answerBytes() == 80);
    addEnded(ledger, "s2", std::string(40, 'y'));
    REQUIRE(ledger.answerBytes() == 80);
    const auto answer = ledger.answer(*ledger.find(spec("s1").key), spec("s1"));
    REQUIRE(answer.refusal.code == wire::RefusalCode::ANSWER_DROPPED);
    REQUIRE_FALSE(answer.refusal.notRun);
    REQUIRE(answer.results.at(0).outcome == wire::Outcome::FINISHED);
    REQUIRE(answer.results.at(1).outcome == wire::Outcome::FAILED);
    REQUIRE(answer.results.at(1).taskId == "b");
    REQUIRE(ledger.answer(*ledger.find(spec("s2").key)).results.at(0).body.size() == 40);
}

// Guards against a holder that counts as whole with a gap in its copy.
TEST_CASE("A holder's copy is whole after the snapshot and every batch", "[ledger]")
{
    CellLedger ledger;
    addEnded(ledger, "s1", "x");
    ledger.add(spec("s2"), wallMs, start);
    CellRecords records;
    wire::RecordBatch batch;
    batch.epoch = 1;
    batch.sequence = 7;
    batch.ops.resize(1);
    batch.ops[0].key = spec("s2").key;
    batch.ops[0].results = {result(0, wire::Outcome::FINISHED)};
    JobNumber after = 0;
    const auto first = snapshotPart(ledger, after, 0, 0);
    const auto second = snapshotPart(ledger, after, 1, 2);

    REQUIRE_FALSE(records.handle(batch, start)->whole);
    REQUIRE_FALSE(records.handle(second, start)->whole);
    REQUIRE_FALSE(records.handle(second, start)->whole);
    const auto ack = records.handle(first, start);
    REQUIRE(ack->whole);
    REQUIRE(ack->sequence == 5);
    batch.sequence = 6;
    REQUIRE(records.handle(batch, start)->sequence == 7);
    batch.epoch = 0;
    REQUIRE_FALSE(records.handle(batch, start));
    REQUIRE(records.isWhole(1));

    auto copy = records.takeLedger();
    REQUIRE(copy.size() == 2);
    REQUIRE(copy.answer(*copy.find(spec("s1").key)).results.at(0).body == "x");
    REQUIRE(copy.find(spec("s2").key)->pending == 1);
}
