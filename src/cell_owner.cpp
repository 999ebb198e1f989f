#include "cell_owner_p.h"

#include "base_log_p.h"

#include <algorithm>
#include <utility>

namespace agatedrum {

namespace {

using Code = wire::RefusalCode;

constexpr std::int64_t retrySoonMs = 200;

Waiter waiterOf(const Incoming &from, std::int64_t requestId)
{
    return {requestId, from.address, from.sender};
}

wire::JobAnswer refusalAnswer(const wire::JobKey &key, const wire::Refusal &refusal)
{
    wire::JobAnswer answer;
    answer.key = key;
    answer.__set_refusal(refusal);
    return answer;
}

int copiesOf(const ClusterConfig &config, const std::string &service)
{
    const auto *found = config.service(service);
    return found == nullptr ? 1 : std::max(1, found->recordCopies);
}

/// A next owner draws other numbers than the one before.
std::uint64_t schedulerSeed(const wire::CellView &view)
{
    return static_cast<std::uint64_t>(view.epoch) << 32U | static_cast<std::uint32_t>(view.cell);
}

bool isCertain(wire::Outcome::type outcome)
{
    return outcome != wire::Outcome::NOT_RUN && outcome != wire::Outcome::UNKNOWN;
}

} // namespace

CellOwner::CellOwner(CellContext context, const wire::CellView &view, const ClusterConfig &config, CellLedger ledger)
    : context(std::move(context))
    , cell(view.cell)
    , cellEpoch(view.epoch)
    , serviceName(view.serviceName)
    , copies(copiesOf(config, view.serviceName))
    , config(config)
    , ledger(std::move(ledger))
    , stream(view.cell, view.epoch,
             [this](const wire::Endpoint &to, Payload payload) { return this->send(to, std::move(payload)); })
    , scheduler(config, view.serviceName, schedulerSeed(view))
{
    const auto now = this->now();
    this->applyView(view);
    for (const auto &[key, job] : this->ledger.jobs()) {
        if (job.hasEnded()) {
            continue;
        }
        auto &active = this->active[job.number];
        active.job = this->ledger.find(job.number);
        active.stage = Stage::AwaitingAgents;
        active.hasStarted = true;
        active.since = now;
        active.places.resize(job.results.size());
    }
    this->takeoverUntil = now + Millis(AGATEDRUM_FENCE_TIMEOUT_MS);
    log(LogLevel::Info, "owner", "cell {} epoch {}: owned, {} keys, {} unfinished jobs", this->cell, this->cellEpoch,
        this->ledger.size(), this->active.size());
}

Time CellOwner::now() const
{
    return this->context.clock.now();
}

bool CellOwner::send(const wire::Endpoint &to, Payload payload) const
{
    if (!this->context.mayAct()) {
        return false;
    }
    this->context.sink.send(to, std::move(payload));
    return true;
}

void CellOwner::reply(const Waiter &waiter, wire::JobAnswer answer) const
{
    wire::JobReply reply;
    reply.requestId = waiter.requestId;
    reply.answer = std::move(answer);
    this->send(waiter.entry, std::move(reply));
}

void CellOwner::refuse(const Waiter &waiter, const wire::JobKey &key, wire::Refusal refusal)
{
    if (refusal.notRun && !this->refusals.add(requestName(waiter.sender, waiter.requestId), refusal, this->now())) {
        refusal.notRun = false;
    }
    this->reply(waiter, refusalAnswer(key, refusal));
}

void CellOwner::sendNotOwner(const Waiter &waiter, std::int64_t epoch) const
{
    wire::NotOwner notOwner;
    notOwner.requestId = waiter.requestId;
    notOwner.cell = this->cell;
    notOwner.epoch = epoch;
    this->context.sink.send(waiter.entry, std::move(notOwner));
}

/// @param epoch for which the entry meant the request; a copy of a request to an earlier owner is not served.
bool CellOwner::turnAway(const Waiter &waiter, std::int64_t epoch) const
{
    if (this->context.mayAct() && (epoch == 0 || epoch >= this->cellEpoch)) {
        return false;
    }
    this->sendNotOwner(waiter, this->cellEpoch);
    return true;
}

void CellOwner::submit(const Incoming &from, const wire::SubmitJob &message)
{
    const auto waiter = waiterOf(from, message.requestId);
    if (this->turnAway(waiter, message.epoch)) {
        return;
    }
    if (const auto earlier = this->refusals.find(requestName(from.sender, message.requestId))) {
        this->reply(waiter, refusalAnswer(message.spec.key, *earlier));
        return;
    }
    switch (this->ledger.match(message.spec)) {
    case Match::OtherContent:
        this->refuse(waiter, message.spec.key,
                     makeRefusal(Code::CONFLICT,
                                 "this content did not run: the submission id was used with other content", true));
        return;
    case Match::Same:
        if (this->context.defects != nullptr && this->context.defects->runsResubmissions
            && this->ledger.find(message.spec.key)->hasEnded()) {
            this->ledger.forget(message.spec.key);
            this->accept(waiter, message.spec);
            return;
        }
        this->joinOrAnswer(waiter, *this->ledger.find(message.spec.key), message.spec);
        return;
    case Match::Unknown:
        this->accept(waiter, message.spec);
        return;
    }
}

void CellOwner::joinOrAnswer(const Waiter &waiter, LedgerJob &job, const wire::JobSpec &spec)
{
    if (job.hasEnded() && this->answers.count(job.number) == 0) {
        this->reply(waiter, this->ledger.answer(job, spec));
    } else if (!this->ledger.join(job, waiter)) {
        this->refuse(waiter, spec.key,
                     makeRefusal(Code::QUEUE_FULL, "too many requests wait for this job", false, retrySoonMs));
    }
}

ScheduledJob CellOwner::scheduled(const LedgerJob &job) const
{
    ScheduledJob scheduled;
    scheduled.number = job.number;
    scheduled.team = job.spec.team;
    scheduled.idempotent = job.spec.idempotent;
    for (const auto &task : job.spec.tasks) {
        scheduled.declared.emplace_back(task.declaredMicros);
    }
    if (job.spec.deadlineMs > 0) {
        scheduled.deadline = job.acceptedAt + Millis(job.spec.deadlineMs);
    }
    return scheduled;
}

void CellOwner::accept(const Waiter &waiter, const wire::JobSpec &spec)
{
    const auto now = this->now();
    auto refusal = this->ledger.refuseNew(spec, this->context.clock.wallMs());
    if (!refusal) {
        LedgerJob candidate;
        candidate.spec = spec;
        candidate.acceptedAt = now;
        refusal = this->scheduler.admit(this->scheduled(candidate), now);
    }
    if (refusal) {
        this->refuse(waiter, spec.key, std::move(*refusal));
        return;
    }
    auto &job = this->ledger.add(spec, this->context.clock.wallMs(), now);
    this->ledger.join(job, waiter);
    wire::RecordOp op;
    op.key = spec.key;
    op.__set_accepted(spec);
    op.acceptedAtMs = job.acceptedAtMs;
    auto &active = this->active[job.number];
    active.job = &job;
    active.since = now;
    active.places.resize(job.results.size());
    active.recordSequence = this->stream.append(std::move(op));
    this->awaitingRecord.push_back(job.number);
    this->isUrgent = true;
    this->afterMessage();
}

void CellOwner::query(const Incoming &from, const wire::QueryJob &message)
{
    const auto waiter = waiterOf(from, message.requestId);
    if (this->turnAway(waiter, 0)) {
        return;
    }
    const auto *job = this->ledger.find(message.key);
    if (job == nullptr) {
        this->refuse(waiter, message.key,
                     makeRefusal(Code::NOT_FOUND, "no job is held under this submission id", false));
        return;
    }
    this->reply(waiter, this->settledAnswer(*job, job->spec));
}

/// Leaves out what a next owner might decide otherwise, because it is not yet recorded.
wire::JobAnswer CellOwner::settledAnswer(const LedgerJob &job, const wire::JobSpec &spec) const
{
    auto answer = this->ledger.answer(job, spec);
    if (job.hasEnded() && this->answers.count(job.number) == 0) {
        return answer;
    }
    answer.done = false;
    answer.complete = false;
    answer.__isset.refusal = false;
    for (auto &result : answer.results) {
        if (!isCertain(result.outcome)) {
            result.outcome = wire::Outcome::PENDING;
        }
    }
    return answer;
}

void CellOwner::cancel(const Incoming &from, const wire::CancelJob &message)
{
    const auto waiter = waiterOf(from, message.requestId);
    if (this->turnAway(waiter, 0)) {
        return;
    }
    auto *job = this->ledger.find(message.key);
    if (job == nullptr) {
        this->refuse(waiter, message.key,
                     makeRefusal(Code::NOT_FOUND, "no job is held under this submission id", false));
        return;
    }
    this->joinOrAnswer(waiter, *job, job->spec);
    if (job->hasEnded() || job->isCancelled) {
        return;
    }
    job->isCancelled = true;
    wire::RecordOp op;
    op.key = message.key;
    op.cancelled = true;
    this->stream.append(std::move(op));
    this->cancels.push_back(job->number);
}

void CellOwner::sendAnswers()
{
    for (auto entry = this->answers.begin(); entry != this->answers.end();) {
        auto *job = this->ledger.find(entry->first);
        if (job != nullptr && !this->sendAnswer(*job, entry->second)) {
            ++entry;
            continue;
        }
        const bool isRefused = entry->second.refusal.has_value();
        entry = this->answers.erase(entry);
        if (job != nullptr && isRefused) {
            this->forgetRefused(*job);
        }
    }
}

/// @return false when the answer has to wait.
bool CellOwner::sendAnswer(LedgerJob &job, PendingAnswer &pending)
{
    const auto now = this->now();
    const bool isRecorded = this->stream.isRecorded(pending.sequence, 1);
    const bool isGivenUp = pending.refusal && now >= pending.giveUpAt;
    if ((!isRecorded && !isGivenUp) || !this->context.mayAct()) {
        return false;
    }
    for (const auto &waiter : std::exchange(job.waiters, {})) {
        if (!pending.refusal) {
            this->reply(waiter, this->ledger.answer(job));
            continue;
        }
        auto refusal = *pending.refusal;
        refusal.notRun = isRecorded;
        this->refuse(waiter, job.spec.key, std::move(refusal));
    }
    // Later requests wait for the record again: a next owner that lacks it might run the job.
    pending.giveUpAt = now + Millis(AGATEDRUM_RECORD_TIMEOUT_MS);
    return isRecorded;
}

/// Nothing ran, every holder knows that nothing will: the key is free for a new submission.
void CellOwner::forgetRefused(const LedgerJob &job)
{
    wire::RecordOp op;
    op.key = job.spec.key;
    op.forgotten = true;
    this->stream.append(std::move(op));
    const auto key = job.spec.key;
    this->ledger.forget(key);
}

void CellOwner::acknowledged(const Incoming &from, const wire::RecordAck &message)
{
    if (!this->context.mayAct() || !this->stream.acknowledged(from.sender, message, this->now())) {
        return;
    }
    this->afterMessage();
}

void CellOwner::applyView(const wire::CellView &view)
{
    std::vector<wire::MemberRef> holders;
    std::copy_if(view.holders.begin(), view.holders.end(), std::back_inserter(holders),
                 [this](const auto &holder) { return holder.id.name != this->context.self.name; });
    this->stream.setHolders(holders);
    for (auto &[name, agent] : this->agents) {
        agent.isListed = false;
    }
    for (const auto &ref : view.agents) {
        if (auto *agent = this->meet(ref.id, ref.address)) {
            agent->isListed = true;
        }
    }
}

void CellOwner::configure(const ClusterConfig &next)
{
    this->config = next;
    this->copies = copiesOf(next, this->serviceName);
    this->scheduler.configure(next);
    for (auto &[name, agent] : this->agents) {
        this->updateAvailability(agent);
    }
}

void CellOwner::resign(std::int64_t newEpoch)
{
    for (const auto &[key, job] : this->ledger.jobs()) {
        for (const auto &waiter : job.waiters) {
            this->sendNotOwner(waiter, newEpoch);
        }
    }
    log(LogLevel::Info, "owner", "cell {} epoch {}: no longer owned, next epoch {}", this->cell, this->cellEpoch,
        newEpoch);
}

std::int64_t CellOwner::epoch() const
{
    return this->cellEpoch;
}

const std::string &CellOwner::service() const
{
    return this->serviceName;
}

wire::CellReport CellOwner::report() const
{
    wire::CellReport report;
    report.cell = this->cell;
    report.epoch = this->cellEpoch;
    report.owned = true;
    report.whole = true;
    report.wholeHolders = this->stream.wholeHolders();
    return report;
}

bool CellOwner::takeReportChanged()
{
    return this->stream.takeReportChanged();
}

bool CellOwner::isIdle() const
{
    return this->active.empty() && this->answers.empty() && this->acks.empty()
        && std::all_of(this->agents.begin(), this->agents.end(),
                       [](const auto &entry) { return entry.second.recorded.empty(); });
}

nlohmann::json CellOwner::dump() const
{
    nlohmann::json agents = nlohmann::json::array();
    for (const auto &[name, agent] : this->agents) {
        agents.push_back({{"name", name},
                          {"incarnation", agent.id.incarnation},
                          {"tasks", agent.flights.size()},
                          {"answered", agent.hasState},
                          {"lost", agent.isLost},
                          {"leaving", agent.server.leaving}});
    }
    return {{"cell", this->cell},
            {"epoch", this->cellEpoch},
            {"service", this->serviceName},
            {"keys", this->ledger.size()},
            {"answerBytes", this->ledger.answerBytes()},
            {"floorMs", this->ledger.floorMs()},
            {"unfinishedJobs", this->active.size()},
            {"jobsAwaitingRecord", this->awaitingRecord.size()},
            {"jobsAwaitingAnswer", this->answers.size()},
            {"isTakingOver", this->takeoverUntil.has_value()},
            {"wholeHolders", this->stream.wholeHolders()},
            {"agents", agents},
            {"scheduler", this->scheduler.dump(this->now())}};
}

} // namespace agatedrum
