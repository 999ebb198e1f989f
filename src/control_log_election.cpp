#include "base_log_p.h"
#include "control_codec_p.h"
#include "control_log_p.h"

#include <algorithm>
#include <utility>

namespace agatedrum {

namespace {

/// Time after which a member that is no voter announces itself again.
constexpr Millis probeInterval(200);
/// Stands for "always" where a lease is added to it; half the range, so that the sum stays in it.
constexpr Time alwaysHeard = Time(Micros(INT64_MAX / 2));

} // namespace

bool ControlLog::acceptsGroup(const std::string &group) const
{
    return !group.empty() && (this->hard.group.empty() || this->hard.group == group);
}

void ControlLog::resetElectionTimer(Time now)
{
    const auto range = (this->options.electionMax - this->options.electionMin).count();
    std::uniform_int_distribution<std::int64_t> extra(0, range);
    this->electionDue = now + this->options.electionMin + Millis(extra(this->random));
}

void ControlLog::becomeFollower(std::int64_t term, const std::string &newLeader)
{
    if (term > this->hard.term) {
        this->hard.term = term;
        this->hard.vote.clear();
        this->persistState();
    }
    this->status = Status::Follower;
    this->isPreVoting = false;
    this->votes.clear();
    this->progress.clear();
    this->strangers.clear();
    this->leader = newLeader;
}

// Forming a group.

void ControlLog::announce(Time now)
{
    // Only one member may form the group, else two groups could form out of the same fresh disks.
    const bool mayForm = this->options.mayForm && this->hard.group.empty() && !this->options.group.empty()
        && this->options.name == *std::min_element(this->options.group.begin(), this->options.group.end());
    if (mayForm) {
        this->freshMembers[this->options.name] = this->hard.member;
        if (this->freshMembers.size() == this->options.group.size()) {
            this->formGroup(now);
            return;
        }
    }
    // A leader that does not know this member takes it in as a learner.
    if (now < this->probeDue || this->status == Status::Leader) {
        return;
    }
    this->probeDue = now + probeInterval;
    for (const auto &name : this->options.group) {
        if (name != this->options.name) {
            wire::RequestVote probe;
            probe.preVote = true;
            probe.member = this->hard.member;
            this->sendHeld(name, std::move(probe));
        }
    }
}

void ControlLog::handleProbe(const std::string &from, const wire::RequestVote &request, Time now)
{
    if (this->status == Status::Leader && memberName(request.member) == from) {
        this->strangers[from] = {request.member, now};
    }
    wire::VoteReply reply;
    reply.preVote = true;
    reply.fresh = this->hard.group.empty() && this->hard.term == 0 && this->lastIndex() == 0;
    reply.member = this->hard.member;
    reply.group = this->hard.group;
    this->sendHeld(from, std::move(reply));
}

void ControlLog::formGroup(Time now)
{
    log(LogLevel::Info, "control", "forming a group of {}", this->freshMembers.size());
    wire::SetVoters voters;
    for (const auto &[name, identity] : this->freshMembers) {
        voters.voters.push_back(identity);
    }
    this->hard.group = this->hard.member;
    this->hard.term = 1;
    this->hard.vote = this->hard.member;
    this->persistState();
    wire::Command command;
    command.__set_setVoters(voters);
    this->appendLocal(encodeCompact(command));
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
    // This is what makes a leader's lease hold: no quorum elects another one meanwhile.
    const auto heard = this->status == Status::Leader ? this->quorumTime() : this->leaderHeard;
    return now < heard + this->options.electionMin;
}

void ControlLog::handleRequest(const std::string &from, const wire::RequestVote &request, Time now)
{
    if (request.group.empty()) {
        this->handleProbe(from, request, now);
        return;
    }
    if (!this->acceptsGroup(request.group) || (!request.transfer && this->hasLiveLeader(now))) {
        return;
    }
    wire::VoteReply reply;
    reply.preVote = request.preVote;
    reply.member = this->hard.member;
    if (request.preVote) {
        reply.granted = request.term > this->hard.term && this->isUpToDate(request);
        reply.term = reply.granted ? request.term : this->hard.term;
    } else {
        if (request.term > this->hard.term) {
            this->hard.group = request.group;
            this->becomeFollower(request.term, {});
        }
        reply.granted = request.term == this->hard.term && this->isUpToDate(request)
            && (this->hard.vote.empty() || this->hard.vote == request.member);
        reply.term = this->hard.term;
        if (reply.granted && this->hard.vote.empty()) {
            this->hard.vote = request.member;
            this->persistState();
            this->resetElectionTimer(now);
        }
    }
    reply.group = this->hard.group;
    this->sendHeld(from, std::move(reply));
}

void ControlLog::handleVote(const wire::VoteReply &reply, Time now)
{
    if (this->hard.group.empty()) {
        if (reply.fresh) {
            this->freshMembers[memberName(reply.member)] = reply.member;
        } else {
            this->freshMembers.clear();
        }
        return;
    }
    if (!reply.group.empty() && reply.group != this->hard.group) {
        return;
    }
    if (!reply.granted && reply.term > this->hard.term) {
        this->becomeFollower(reply.term, {});
        return;
    }
    const auto wanted = this->isPreVoting ? this->hard.term + 1 : this->hard.term;
    if (this->status == Status::Candidate && reply.granted && reply.preVote == this->isPreVoting
        && reply.term == wanted) {
        this->votes.insert(reply.member);
        this->countVotes(now);
    }
}

// Campaigning.

void ControlLog::startPreVote(Time now)
{
    this->resetElectionTimer(now);
    this->status = Status::Candidate;
    this->isPreVoting = true;
    this->leader.clear();
    this->votes = {this->hard.member};
    this->requestVotes(true, false, false);
    this->countVotes(now);
}

void ControlLog::campaign(bool isTransfer, Time now)
{
    this->resetElectionTimer(now);
    this->status = Status::Candidate;
    this->isPreVoting = false;
    this->leader.clear();
    this->votes.clear();
    ++this->hard.term;
    this->hard.vote = this->hard.member;
    this->persistState();
    // The own vote counts once it is written, like any other.
    this->requestVotes(false, isTransfer, true);
}

void ControlLog::requestVotes(bool preVote, bool isTransfer, bool held)
{
    wire::RequestVote request;
    request.term = preVote ? this->hard.term + 1 : this->hard.term;
    request.lastIndex = this->lastIndex();
    request.lastTerm = this->termAt(request.lastIndex);
    request.preVote = preVote;
    request.transfer = isTransfer;
    request.member = this->hard.member;
    request.group = this->hard.group;
    for (const auto &voter : this->membership().voters) {
        if (voter == this->hard.member) {
            continue;
        }
        if (held) {
            this->sendHeld(memberName(voter), request);
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
    log(LogLevel::Info, "control", "{} leads in term {}", this->options.name, this->hard.term);
    this->status = Status::Leader;
    this->leader = this->hard.member;
    this->votes.clear();
    this->strangers.clear();
    this->progress.clear();
    this->syncProgress(now);
    this->led = now;
    wire::Command noop;
    noop.__set_noop(true);
    this->appendLocal(encodeCompact(noop));
    this->broadcast(now);
}

Time ControlLog::quorumTime() const
{
    std::vector<std::int64_t> times;
    for (const auto &voter : this->membership().voters) {
        const auto found = this->progress.find(voter);
        const auto time = voter == this->hard.member ? alwaysHeard
            : found == this->progress.end()          ? Time {}
                                                     : found->second.acknowledged;
        times.push_back(time.time_since_epoch().count());
    }
    return Time(Micros(this->majority(std::move(times))));
}

void ControlLog::transferLeadership(Time now)
{
    if (this->status != Status::Leader) {
        return;
    }
    std::string best;
    std::int64_t bestMatch = -1;
    for (const auto &voter : this->membership().voters) {
        const auto found = this->progress.find(voter);
        if (voter != this->hard.member && found != this->progress.end() && found->second.match > bestMatch) {
            best = voter;
            bestMatch = found->second.match;
        }
    }
    if (best.empty()) {
        return;
    }
    // Stepping down first ends the lease before another member can be elected.
    const auto term = this->hard.term;
    this->becomeFollower(term, {});
    this->resetElectionTimer(now);
    wire::TimeoutNow order;
    order.term = term;
    this->send(memberName(best), std::move(order));
}

void ControlLog::handleTimeoutNow(const wire::TimeoutNow &order, Time now)
{
    if (order.term == this->hard.term && this->status == Status::Follower && this->isVoter(this->hard.member)
        && !this->isRetired) {
        this->campaign(true, now);
    }
}

void ControlLog::retire()
{
    this->isRetired = true;
}

} // namespace agatedrum
