#include "cell_owner_p.h"

#include "base_log_p.h"

#include <algorithm>
#include <utility>

namespace agatedrum {

namespace {

using Code = wire::RefusalCode;

constexpr std::int64_t shortRetryAfterMs = 200;

Waiter makeWaiter(const IncomingMessage &from, std::int64_t requestId)
{
    return {requestId, from.address, from.sender};
}

wire::JobAnswer makeRefusalAnswer(const wire::JobKey &key, const wire::Refusal &refusal)
{
    wire::JobAnswer answer;
    answer.key = key;
    answer.__set_refusal(refusal);
    return answer;
}

int replicaCountOf(const ClusterConfig &config, const std::string &service)
{
    const auto *found = config.service(service);
    return found == nullptr ? 1 : std::max(1, found->recordCopies);
}

/// Returns a seed that differs between the owners of a cell, so that they draw different random numbers.
std::uint64_t schedulerSeed(const wire::CellView &view)
{
    return static_cast<std::uint64_t>(view.epoch) << 32U | static_cast<std::uint32_t>(view.cell);
}

bool isFinalOutcome(wire::Outcome::type outcome)
{
    return outcome != wire::Outcome::NOT_RUN && outcome != wire::Outcome::UNKNOWN;
}

} // namespace

CellOwner::CellOwner(CellContext context, const wire::CellView &view, const ClusterConfig &config, CellLedger ledger)
    : context(std::move(context))
    , cell(view.cell)
    , cellEpoch(view.epoch)
    , serviceName(view.serviceName)
    , replicaCount(replicaCountOf(config, view.serviceName))
    , config(config)
    , ledger(std::move(ledger))
    , recordStream(view.cell, view.epoch,
                   [this](const wire::Endpoint &to, Payload payload) { return this->send(to, std::move(payload)); })
    , scheduler(config, view.serviceName, schedulerSeed(view))
{
    const auto now = this->now();
    this->applyView(view);
    for (const auto &[key, job] : this->ledger.jobs()) {
        if (job.hasEnded()) {
            continue;
        }
        auto &activeJob = this->activeJobs[job.number];
        activeJob.job = this->ledger.find(job.number);
        activeJob.stage = Stage::AwaitingAgents;
        activeJob.hasStarted = true;
        activeJob.waitStartedAt = now;
        activeJob.locations.resize(job.results.size());
    }
    this->takeoverDeadline = now + Millis(AGATEDRUM_FENCE_TIMEOUT_MS);
    log(LogLevel::Info, "owner", "cell {} epoch {}: took ownership, {} keys, {} unfinished jobs", this->cell,
        this->cellEpoch, this->ledger.size(), this->activeJobs.size());
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
    if (refusal.notRun
        && !this->refusedRequests.add(requestName(waiter.sender, waiter.requestId), refusal, this->now())) {
        refusal.notRun = false;
    }
    this->reply(waiter, makeRefusalAnswer(key, refusal));
}

void CellOwner::sendNotOwner(const Waiter &waiter, std::int64_t epoch) const
{
    wire::NotOwner notOwner;
    notOwner.requestId = waiter.requestId;
    notOwner.cell = this->cell;
    notOwner.epoch = epoch;
    this->context.sink.send(waiter.entry, std::move(notOwner));
}

/// Sends NotOwner if the process may not act or the request was sent to an earlier owner.
/// @param epoch the owner's epoch to which the entry sent the request, 0 if the request has none.
/// @return true if the request was refused.
bool CellOwner::refuseIfNotOwner(const Waiter &waiter, std::int64_t epoch) const
{
    if (this->context.mayAct() && (epoch == 0 || epoch >= this->cellEpoch)) {
        return false;
    }
    this->sendNotOwner(waiter, this->cellEpoch);
    return true;
}

void CellOwner::submit(const IncomingMessage &from, const wire::SubmitJob &message)
{
    const auto waiter = makeWaiter(from, message.requestId);
    if (this->refuseIfNotOwner(waiter, message.epoch)) {
        return;
    }
    if (const auto earlierRefusal = this->refusedRequests.find(requestName(from.sender, message.requestId))) {
        this->reply(waiter, makeRefusalAnswer(message.spec.key, *earlierRefusal));
        return;
    }
    switch (this->ledger.match(message.spec)) {
    case SubmissionMatch::DifferentContent:
        this->refuse(waiter, message.spec.key,
                     makeRefusal(Code::CONFLICT,
                                 "this content did not run: the submission id was used with other content", true));
        return;
    case SubmissionMatch::SameContent:
        if (this->context.defects != nullptr && this->context.defects->runsResubmissions
            && this->ledger.find(message.spec.key)->hasEnded()) {
            this->ledger.remove(message.spec.key);
            this->acceptJob(waiter, message.spec);
            return;
        }
        this->answerOrAddWaiter(waiter, *this->ledger.find(message.spec.key), message.spec);
        return;
    case SubmissionMatch::UnknownKey:
        this->acceptJob(waiter, message.spec);
        return;
    }
}

void CellOwner::answerOrAddWaiter(const Waiter &waiter, LedgerJob &job, const wire::JobSpec &spec)
{
    if (job.hasEnded() && this->pendingAnswers.count(job.number) == 0) {
        this->reply(waiter, this->ledger.answer(job, spec));
    } else if (!this->ledger.addWaiter(job, waiter)) {
        this->refuse(waiter, spec.key,
                     makeRefusal(Code::QUEUE_FULL, "too many requests wait for this job", false, shortRetryAfterMs));
    }
}

ScheduledJob CellOwner::toScheduledJob(const LedgerJob &job) const
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

void CellOwner::acceptJob(const Waiter &waiter, const wire::JobSpec &spec)
{
    const auto now = this->now();
    auto refusal = this->ledger.validateNewJob(spec, this->context.clock.wallMs());
    if (!refusal) {
        LedgerJob candidate;
        candidate.spec = spec;
        candidate.acceptedAt = now;
        refusal = this->scheduler.admit(this->toScheduledJob(candidate), now);
    }
    if (refusal) {
        this->refuse(waiter, spec.key, std::move(*refusal));
        return;
    }
    auto &job = this->ledger.add(spec, this->context.clock.wallMs(), now);
    this->ledger.addWaiter(job, waiter);
    wire::RecordOp op;
    op.key = spec.key;
    op.__set_accepted(spec);
    op.acceptedAtMs = job.acceptedAtMs;
    auto &activeJob = this->activeJobs[job.number];
    activeJob.job = &job;
    activeJob.waitStartedAt = now;
    activeJob.locations.resize(job.results.size());
    activeJob.recordSequence = this->recordStream.append(std::move(op));
    this->awaitingRecord.push_back(job.number);
    this->isFlushUrgent = true;
    this->runFollowUps();
}

void CellOwner::query(const IncomingMessage &from, const wire::QueryJob &message)
{
    const auto waiter = makeWaiter(from, message.requestId);
    if (this->refuseIfNotOwner(waiter, 0)) {
        return;
    }
    const auto *job = this->ledger.find(message.key);
    if (job == nullptr) {
        this->refuse(waiter, message.key,
                     makeRefusal(Code::NOT_FOUND, "no job is stored under this submission id", false));
        return;
    }
    this->reply(waiter, this->confirmedAnswer(*job, job->spec));
}

/// Returns the current answer without outcomes that are not yet recorded, since a next owner might decide differently.
wire::JobAnswer CellOwner::confirmedAnswer(const LedgerJob &job, const wire::JobSpec &spec) const
{
    auto answer = this->ledger.answer(job, spec);
    if (job.hasEnded() && this->pendingAnswers.count(job.number) == 0) {
        return answer;
    }
    answer.done = false;
    answer.complete = false;
    answer.__isset.refusal = false;
    for (auto &result : answer.results) {
        if (!isFinalOutcome(result.outcome)) {
            result.outcome = wire::Outcome::PENDING;
        }
    }
    return answer;
}

void CellOwner::cancel(const IncomingMessage &from, const wire::CancelJob &message)
{
    const auto waiter = makeWaiter(from, message.requestId);
    if (this->refuseIfNotOwner(waiter, 0)) {
        return;
    }
    auto *job = this->ledger.find(message.key);
    if (job == nullptr) {
        this->refuse(waiter, message.key,
                     makeRefusal(Code::NOT_FOUND, "no job is stored under this submission id", false));
        return;
    }
    this->answerOrAddWaiter(waiter, *job, job->spec);
    if (job->hasEnded() || job->isCancelled) {
        return;
    }
    job->isCancelled = true;
    wire::RecordOp op;
    op.key = message.key;
    op.cancelled = true;
    this->recordStream.append(std::move(op));
    this->pendingCancels.push_back(job->number);
}

void CellOwner::sendAnswers()
{
    for (auto entry = this->pendingAnswers.begin(); entry != this->pendingAnswers.end();) {
        auto *job = this->ledger.find(entry->first);
        if (job != nullptr && !this->sendAnswer(*job, entry->second)) {
            ++entry;
            continue;
        }
        const bool isRefused = entry->second.refusal.has_value();
        entry = this->pendingAnswers.erase(entry);
        if (job != nullptr && isRefused) {
            this->removeRefused(*job);
        }
    }
}

/// Sends the answer to all requests that wait for it, if it is recorded.
/// @return false if the answer has to be kept.
bool CellOwner::sendAnswer(LedgerJob &job, PendingAnswer &pending)
{
    const auto now = this->now();
    const bool isRecorded = this->recordStream.isRecorded(pending.sequence, 1);
    const bool isTimedOut = pending.refusal && now >= pending.recordDeadline;
    if ((!isRecorded && !isTimedOut) || !this->context.mayAct()) {
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
    // Later requests wait for the record again, since a next owner that does not have it might run the job.
    pending.recordDeadline = now + Millis(AGATEDRUM_RECORD_TIMEOUT_MS);
    return isRecorded;
}

/// Removes a refused job, which frees its key for a new submission. Nothing of it ran, and every holder has recorded
/// that nothing will.
void CellOwner::removeRefused(const LedgerJob &job)
{
    wire::RecordOp op;
    op.key = job.spec.key;
    op.forgotten = true;
    this->recordStream.append(std::move(op));
    const auto key = job.spec.key;
    this->ledger.remove(key);
}

void CellOwner::handleRecordAck(const IncomingMessage &from, const wire::RecordAck &message)
{
    if (!this->context.mayAct() || !this->recordStream.handleAck(from.sender, message, this->now())) {
        return;
    }
    this->runFollowUps();
}

void CellOwner::applyView(const wire::CellView &view)
{
    std::vector<wire::MemberRef> holders;
    std::copy_if(view.holders.begin(), view.holders.end(), std::back_inserter(holders),
                 [this](const auto &holder) { return holder.id.name != this->context.self.name; });
    this->recordStream.setHolders(holders);
    for (auto &[name, agent] : this->agents) {
        agent.isListed = false;
    }
    for (const auto &ref : view.agents) {
        if (auto *agent = this->addOrUpdateAgent(ref.id, ref.address)) {
            agent->isListed = true;
            agent->isEvacuated = ref.evacuated;
            this->updateAvailability(*agent);
        }
    }
}

void CellOwner::configure(const ClusterConfig &newConfig)
{
    this->config = newConfig;
    this->replicaCount = replicaCountOf(newConfig, this->serviceName);
    this->scheduler.configure(newConfig);
    for (auto &[name, agent] : this->agents) {
        this->updateAvailability(agent);
    }
}

void CellOwner::releaseOwnership(std::int64_t newEpoch)
{
    for (const auto &[key, job] : this->ledger.jobs()) {
        for (const auto &waiter : job.waiters) {
            this->sendNotOwner(waiter, newEpoch);
        }
    }
    log(LogLevel::Info, "owner", "cell {} epoch {}: released ownership, next epoch {}", this->cell, this->cellEpoch,
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
    report.wholeHolders = this->recordStream.inSyncHolders();
    return report;
}

bool CellOwner::takeReportChanged()
{
    return this->recordStream.takeReportChanged();
}

bool CellOwner::isIdle() const
{
    return this->activeJobs.empty() && this->pendingAnswers.empty() && this->pendingAcks.empty()
        && std::all_of(this->agents.begin(), this->agents.end(),
                       [](const auto &entry) { return entry.second.recordedResults.empty(); });
}

nlohmann::json CellOwner::dump() const
{
    nlohmann::json agents = nlohmann::json::array();
    for (const auto &[name, agent] : this->agents) {
        agents.push_back({{"name", name},
                          {"incarnation", agent.id.incarnation},
                          {"tasks", agent.inFlight.size()},
                          {"answered", agent.hasReportedState},
                          {"lost", agent.isLost},
                          {"leaving", agent.server.leaving}});
    }
    return {{"cell", this->cell},
            {"epoch", this->cellEpoch},
            {"service", this->serviceName},
            {"keys", this->ledger.size()},
            {"answerBytes", this->ledger.answerBytes()},
            {"floorMs", this->ledger.minSubmittedAtMs()},
            {"unfinishedJobs", this->activeJobs.size()},
            {"jobsAwaitingRecord", this->awaitingRecord.size()},
            {"jobsAwaitingAnswer", this->pendingAnswers.size()},
            {"isTakingOver", this->takeoverDeadline.has_value()},
            {"wholeHolders", this->recordStream.inSyncHolders()},
            {"agents", agents},
            {"scheduler", this->scheduler.dump(this->now())}};
}

} // namespace agatedrum
