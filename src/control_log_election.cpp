#include "base_log_p.h"
#include "control_codec_p.h"
#include "control_events_p.h"
#include "control_log_p.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace agatedrum {

namespace {

/// Interval at which a process that is not a voter announces itself to the group.
constexpr Millis probeInterval(200);
/// Interval at which a process without a disk asks who leads.
constexpr Millis observerProbeInterval(300);
/// Time for which announcements are collected before one of the announcing processes is told to bootstrap the group.
/// All processes start within 0.3 s.
constexpr Millis designationDelay(1000);
/// Time without contact from a leader after which a voter announces itself too: the group may have replaced it while it
/// was away. Longer than an election takes.
constexpr Millis announcementTimeout(1500);
/// Acknowledgement time of this member itself: later than any other time. Half of the range, so that adding a lease
/// does not overflow.
constexpr Time selfAcknowledgedAt = Time(Micros(INT64_MAX / 2));

} // namespace

bool ControlLog::acceptsGroup(const std::string &group) const
{
    return !group.empty() && (this->hardState.group.empty() || this->hardState.group == group);
}

void ControlLog::resetElectionTimer(Time now)
{
    const auto range = (this->options.maxElectionTimeout - this->options.minElectionTimeout).count();
    std::uniform_int_distribution<std::int64_t> extra(0, range);
    this->electionDueAt = now + this->options.minElectionTimeout + Millis(extra(this->random));
}

void ControlLog::becomeFollower(std::int64_t term, const std::string &newLeader)
{
    if (term > this->hardState.term) {
        this->hardState.term = term;
        this->hardState.vote.clear();
        this->persistHardState();
    }
    if (this->status == Status::Leader) {
        logLeadership("leadership_ended", newLeader, this->hardState.term, {});
    } else if (newLeader != this->leader && !newLeader.empty()) {
        logLeadership("leader_followed", newLeader, this->hardState.term, {});
    }
    this->status = Status::Follower;
    this->isPreVoting = false;
    this->votes.clear();
    this->progress.clear();
    this->unknownMembers.clear();
    this->leader = newLeader;
}

void ControlLog::followLeader(const std::string &group, std::int64_t term, const std::string &member, Time now)
{
    if (this->hardState.group.empty()) {
        this->hardState.group = group;
    }
    this->becomeFollower(term, member);
    this->leaderLastHeardAt = now;
    this->resetElectionTimer(now);
}

// Bootstrapping a group.

void ControlLog::bootstrapOrAnnounce(Time now)
{
    if (this->mustBootstrap()) {
        this->bootstrapGroup(now);
        return;
    }
    // A leader that does not know this member adds it as a learner.
    if (now < this->probeDueAt || this->status == Status::Leader) {
        return;
    }
    this->probeDueAt = now + (this->options.isObserver ? observerProbeInterval : probeInterval);
    for (const auto &name : this->processesToContact(now)) {
        wire::RequestVote probe;
        probe.preVote = true;
        probe.term = this->hardState.term;
        probe.lastIndex = this->lastIndex();
        probe.member = this->hardState.member;
        probe.failureDomain = this->options.failureDomain;
        probe.observer = this->options.isObserver;
        this->sendAfterWrite(name, std::move(probe));
    }
}

bool ControlLog::mustBootstrap() const
{
    if (!this->options.mayBootstrap || this->options.isObserver || !this->hardState.group.empty()) {
        return false;
    }
    if (this->isNamedFounder) {
        return true;
    }
    // Only the process with the lowest name of those with a disk may bootstrap, else two groups could form out of the
    // same empty disks.
    std::string lowestName = this->options.name;
    bool isListed = false;
    for (const auto &name : this->options.group) {
        const bool isSelf = name == this->options.name;
        isListed = isListed || isSelf;
        if (!isSelf && this->observers.count(name) == 0) {
            if (this->emptyDiskMembers.count(name) == 0) {
                return false;
            }
            lowestName = std::min(lowestName, name);
        }
    }
    return isListed && lowestName == this->options.name;
}

bool ControlLog::isDesignator() const
{
    // The lowest of the listed processes, which all know, if none of them has a disk.
    const auto &group = this->options.group;
    return this->options.isObserver && this->options.mayBootstrap && !group.empty()
        && this->options.name == *std::min_element(group.begin(), group.end())
        && std::all_of(group.begin(), group.end(), [this](const std::string &name) {
               return name == this->options.name || this->observers.count(name) > 0;
           });
}

void ControlLog::nameFounder(const std::string &from, const wire::RequestVote &probe, Time now)
{
    if (this->designationDueAt == Time {}) {
        this->designationDueAt = now + designationDelay;
    }
    const bool isFresh = probe.term == 0 && probe.lastIndex == 0;
    if (!probe.observer && isFresh && this->founder.empty()) {
        this->emptyDiskMembers[from] = {probe.member, probe.failureDomain, now};
    }
    if (now >= this->designationDueAt && this->founder.empty() && !this->emptyDiskMembers.empty()
        && this->namedLeader.empty()) {
        this->founder = this->emptyDiskMembers.begin()->first;
    }
}

void ControlLog::announceLeadership(Time now)
{
    if (now < this->probeDueAt) {
        return;
    }
    this->probeDueAt = now + observerProbeInterval;
    std::set<std::string> names(this->listedNames.begin(), this->listedNames.end());
    for (const auto &identity : membersOf(this->membership())) {
        names.erase(memberName(identity));
    }
    for (const auto &name : names) {
        wire::VoteReply announcement;
        announcement.preVote = true;
        announcement.term = this->hardState.term;
        announcement.member = this->hardState.member;
        announcement.group = this->hardState.group;
        announcement.leader = this->options.name;
        this->send(name, std::move(announcement));
    }
}

bool ControlLog::isWithoutLeader(Time now) const
{
    return this->status != Status::Leader && now - this->leaderLastHeardAt > announcementTimeout;
}

void ControlLog::setContacts(std::vector<std::string> names)
{
    this->listedNames = std::move(names);
}

std::set<std::string> ControlLog::processesToContact(Time now) const
{
    if (this->options.isObserver && now - this->leaderNamedAt < 2 * observerProbeInterval) {
        return {this->namedLeader};
    }
    std::set<std::string> names(this->listedNames.begin(), this->listedNames.end());
    for (const auto &identity : membersOf(this->membership())) {
        names.insert(memberName(identity));
    }
    names.insert(this->namedProcesses.begin(), this->namedProcesses.end());
    names.insert(this->namedLeader);
    names.erase(this->options.name);
    names.erase(std::string());
    return names;
}

void ControlLog::handleProbe(const std::string &from, const wire::RequestVote &request, Time now)
{
    if (this->status == Status::Leader && memberName(request.member) == from && !request.observer) {
        this->rememberUnknownMember(from, {request.member, request.failureDomain, now});
    }
    wire::VoteReply reply;
    reply.preVote = true;
    reply.observer = this->options.isObserver;
    reply.fresh
        = !reply.observer && this->hardState.group.empty() && this->hardState.term == 0 && this->lastIndex() == 0;
    reply.member = this->hardState.member;
    reply.failureDomain = this->options.failureDomain;
    reply.group = this->hardState.group;
    reply.leader = this->leaderName(now);
    if (request.observer) {
        for (const auto &voter : this->membership().voters) {
            reply.processes.push_back(memberName(voter));
        }
    }
    if (this->isDesignator()) {
        this->nameFounder(from, request, now);
        reply.founder = this->founder;
    }
    this->sendAfterWrite(from, std::move(reply));
}

void ControlLog::rememberUnknownMember(const std::string &name, const UnknownMember &member)
{
    this->noteHeard(member.identity, member.lastHeardAt);
    auto &known = this->unknownMembers[name];
    if (known.identity != member.identity && !this->isMember(member.identity)) {
        logLeadership("member_announced", member.identity, this->hardState.term, {});
    }
    known = member;
}

void ControlLog::bootstrapGroup(Time now)
{
    this->emptyDiskMembers[this->options.name] = {this->hardState.member, this->options.failureDomain, now};
    log(LogLevel::Info, "control", "bootstrapping a control group of {} members", this->emptyDiskMembers.size());
    wire::SetVoters voters;
    for (const auto &[name, member] : this->emptyDiskMembers) {
        voters.voters.push_back(member.identity);
        voters.domains[member.identity] = member.failureDomain;
    }
    this->hardState.group = this->hardState.member;
    this->hardState.term = 1;
    this->hardState.vote = this->hardState.member;
    this->persistHardState();
    wire::Command command;
    command.__set_setVoters(voters);
    this->appendEntry(encodeCompact(command));
    this->campaign(false, now);
}

// Voting.

bool ControlLog::isUpToDate(const wire::RequestVote &request) const
{
    const auto lastTerm = this->termAt(this->lastIndex());
    return request.lastTerm > lastTerm || (request.lastTerm == lastTerm && request.lastIndex >= this->lastIndex());
}

bool ControlLog::hasLiveLeader(Time now) const
{
    // The leader's lease relies on this: while a quorum considers the leader alive, no other member can be elected.
    const auto lastHeardAt = this->status == Status::Leader ? this->quorumAcknowledgedAt() : this->leaderLastHeardAt;
    return now < lastHeardAt + this->options.minElectionTimeout;
}

bool ControlLog::mayCampaign() const
{
    return this->isVoter(this->hardState.member) && !this->isLeaving && !this->areWritesRefused;
}

void ControlLog::handleRequestVote(const std::string &from, const wire::RequestVote &request, Time now)
{
    if (request.group.empty()) {
        this->handleProbe(from, request, now);
        return;
    }
    if (!this->acceptsGroup(request.group) || (!request.transfer && this->hasLiveLeader(now))) {
        this->logVote(request, false, this->acceptsGroup(request.group) ? "live leader" : "other group");
        return;
    }
    wire::VoteReply reply;
    reply.preVote = request.preVote;
    reply.member = this->hardState.member;
    if (request.preVote) {
        reply.granted = request.term > this->hardState.term && this->isUpToDate(request);
        reply.term = reply.granted ? request.term : this->hardState.term;
    } else {
        if (request.term > this->hardState.term) {
            this->hardState.group = request.group;
            this->becomeFollower(request.term, {});
        }
        reply.granted = request.term == this->hardState.term && this->isUpToDate(request)
            && (this->hardState.vote.empty() || this->hardState.vote == request.member);
        reply.term = this->hardState.term;
        if (reply.granted && this->hardState.vote.empty()) {
            this->hardState.vote = request.member;
            this->persistHardState();
            this->resetElectionTimer(now);
        }
    }
    this->logVote(request, reply.granted, this->refusalReason(request));
    reply.group = this->hardState.group;
    reply.silentMs = this->contacts.silences(now);
    this->sendAfterWrite(from, std::move(reply));
}

std::string_view ControlLog::refusalReason(const wire::RequestVote &request) const
{
    if (!this->isUpToDate(request)) {
        return "older log";
    }
    return request.preVote || request.term < this->hardState.term ? "older term" : "voted for another";
}

void ControlLog::logVote(const wire::RequestVote &request, bool isGranted, std::string_view reason) const
{
    VoteDecision decision;
    decision.candidate = request.member;
    decision.isPreVote = request.preVote;
    decision.isGranted = isGranted;
    decision.term = request.term;
    decision.ownTerm = this->hardState.term;
    decision.lastTerm = request.lastTerm;
    decision.lastIndex = request.lastIndex;
    decision.ownLastTerm = this->termAt(this->lastIndex());
    decision.ownLastIndex = this->lastIndex();
    decision.reason = isGranted ? std::string_view() : reason;
    logVoteDecision(decision);
}

void ControlLog::handleVoteReply(const wire::VoteReply &reply, Time now)
{
    if (!reply.leader.empty()) {
        this->namedLeader = reply.leader;
        this->leaderNamedAt = now;
    }
    if (!reply.processes.empty()) {
        this->namedProcesses = reply.processes;
    }
    if (this->hardState.group.empty()) {
        this->learnOfDisk(reply, now);
        return;
    }
    if (!reply.group.empty() && reply.group != this->hardState.group) {
        return;
    }
    this->noteHeard(reply.member, now);
    this->contacts.noteToldByMember(reply.silentMs, now);
    if (!reply.granted && reply.term > this->hardState.term) {
        this->becomeFollower(reply.term, {});
        return;
    }
    const auto expectedTerm = this->isPreVoting ? this->hardState.term + 1 : this->hardState.term;
    if (this->status == Status::Candidate && reply.granted && reply.preVote == this->isPreVoting
        && reply.term == expectedTerm) {
        this->votes.insert(reply.member);
        this->countVotes(now);
    }
}

void ControlLog::learnOfDisk(const wire::VoteReply &reply, Time now)
{
    const auto name = memberName(reply.member);
    this->isNamedFounder = this->isNamedFounder || reply.founder == this->options.name;
    if (reply.observer) {
        this->observers.insert(name);
    } else if (this->options.isObserver) {
        return;
    } else if (reply.fresh) {
        this->emptyDiskMembers[name] = {reply.member, reply.failureDomain, now};
    } else {
        this->emptyDiskMembers.clear();
    }
}

// Campaigning.

void ControlLog::startPreVote(Time now)
{
    this->logElectionStart(true);
    this->resetElectionTimer(now);
    this->status = Status::Candidate;
    this->isPreVoting = true;
    this->leader.clear();
    this->votes = {this->hardState.member};
    this->requestVotes(true, false, false);
    this->countVotes(now);
}

void ControlLog::campaign(bool isTransfer, Time now)
{
    this->logElectionStart(false);
    this->resetElectionTimer(now);
    this->status = Status::Candidate;
    this->isPreVoting = false;
    this->leader.clear();
    this->votes.clear();
    ++this->hardState.term;
    this->hardState.vote = this->hardState.member;
    this->persistHardState();
    // This member's own vote is counted once it is written.
    this->requestVotes(false, isTransfer, true);
}

void ControlLog::logElectionStart(bool preVote) const
{
    std::vector<std::string> missing;
    if (this->status == Status::Candidate) {
        std::copy_if(this->membership().voters.begin(), this->membership().voters.end(), std::back_inserter(missing),
                     [this](const std::string &voter) { return this->votes.count(voter) == 0; });
    }
    logElection(preVote, this->hardState.term + 1, this->termAt(this->lastIndex()), this->lastIndex(),
                this->membership().voters, missing);
}

void ControlLog::requestVotes(bool preVote, bool isTransfer, bool waitsForWrite)
{
    wire::RequestVote request;
    request.term = preVote ? this->hardState.term + 1 : this->hardState.term;
    request.lastIndex = this->lastIndex();
    request.lastTerm = this->termAt(request.lastIndex);
    request.preVote = preVote;
    request.transfer = isTransfer;
    request.member = this->hardState.member;
    request.group = this->hardState.group;
    for (const auto &voter : this->membership().voters) {
        if (voter == this->hardState.member) {
            continue;
        }
        if (waitsForWrite) {
            this->sendAfterWrite(memberName(voter), request);
        } else {
            this->send(memberName(voter), request);
        }
    }
}

void ControlLog::countVotes(Time now)
{
    const auto &voters = this->membership().voters;
    const auto granted = static_cast<std::size_t>(std::count_if(
        voters.begin(), voters.end(), [this](const std::string &voter) { return this->votes.count(voter) > 0; }));
    if (granted <= voters.size() / 2) {
        return;
    }
    if (this->isPreVoting) {
        this->campaign(false, now);
    } else {
        this->becomeLeader(now);
    }
}

void ControlLog::becomeLeader(Time now)
{
    log(LogLevel::Info, "control", "{} became leader in term {}", this->options.name, this->hardState.term);
    logLeadership("leader_elected", this->hardState.member, this->hardState.term, {});
    this->status = Status::Leader;
    this->leader = this->hardState.member;
    this->votes.clear();
    this->unknownMembers.clear();
    this->progress.clear();
    this->syncProgress(now);
    this->logSilences(now);
    this->leadershipStartedAt = now;
    wire::Command noop;
    noop.__set_noop(true);
    this->appendEntry(encodeCompact(noop));
    this->replicateToAll(now);
}

void ControlLog::logSilences(Time now) const
{
    for (const auto &[member, silentMs] : this->contacts.notableSilences(now)) {
        logMemberSilent(member, this->hardState.term, silentMs);
    }
}

Time ControlLog::quorumAcknowledgedAt() const
{
    std::vector<std::int64_t> times;
    for (const auto &voter : this->membership().voters) {
        const auto found = this->progress.find(voter);
        const auto time = voter == this->hardState.member ? selfAcknowledgedAt
            : found == this->progress.end()               ? Time {}
                                                          : found->second.acknowledgedSentAt;
        times.push_back(time.time_since_epoch().count());
    }
    return Time(Micros(this->majorityValue(std::move(times))));
}

void ControlLog::transferLeadership(Time now)
{
    if (this->status != Status::Leader) {
        return;
    }
    std::string bestVoter;
    std::int64_t bestMatch = -1;
    for (const auto &voter : this->membership().voters) {
        const auto found = this->progress.find(voter);
        // A member that is stopping too would not campaign.
        if (voter != this->hardState.member && found != this->progress.end() && found->second.matchIndex > bestMatch
            && !this->isLeavingMember(voter, now)) {
            bestVoter = voter;
            bestMatch = found->second.matchIndex;
        }
    }
    if (bestVoter.empty()) {
        return;
    }
    // Steps down first, so that the lease ends before another member can be elected.
    const auto term = this->hardState.term;
    this->becomeFollower(term, {});
    this->resetElectionTimer(now);
    wire::TimeoutNow order;
    order.term = term;
    this->send(memberName(bestVoter), std::move(order));
}

void ControlLog::handleTimeoutNow(const wire::TimeoutNow &order, Time now)
{
    if (order.term == this->hardState.term && this->status == Status::Follower && this->mayCampaign()) {
        this->campaign(true, now);
    }
}

void ControlLog::setWritesRefused(bool areRefused)
{
    this->areWritesRefused = areRefused;
}

} // namespace agatedrum
