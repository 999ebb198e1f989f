#include "base_log_p.h"
#include "control_codec_p.h"
#include "control_events_p.h"
#include "control_log_p.h"

#include <algorithm>
#include <utility>

namespace agatedrum {

namespace {

/// A member that sent a message within this time counts as reachable.
constexpr Millis reachableTimeout(2000);
/// Interval at which a voter that is stopping asks for its replacement.
constexpr Millis replacementRequestInterval(50);
/// Time after the last such request for which a voter counts as stopping. A restarted process sends none.
constexpr Millis leavingTimeout(300);
/// Heartbeats of a new leader that a member can answer before an earlier silence counts against it.
constexpr int heartbeatsToAnswer = 4;

bool contains(const std::vector<std::string> &list, const std::string &item)
{
    return std::find(list.begin(), list.end(), item) != list.end();
}

std::vector<std::string> without(std::vector<std::string> list, const std::string &item)
{
    list.erase(std::remove(list.begin(), list.end(), item), list.end());
    return list;
}

/// Returns the identity in the list that belongs to the named process, or an empty string if there is none.
std::string findIdentity(const std::vector<std::string> &list, const std::string &name)
{
    const auto found = std::find_if(list.begin(), list.end(),
                                    [&name](const std::string &identity) { return memberName(identity) == name; });
    return found == list.end() ? std::string() : *found;
}

} // namespace

const ControlLog::Membership &ControlLog::membership() const
{
    return this->memberships.back();
}

std::vector<std::string> ControlLog::membersOf(const Membership &members)
{
    auto identities = members.voters;
    identities.insert(identities.end(), members.learners.begin(), members.learners.end());
    return identities;
}

bool ControlLog::isMember(const std::string &identity) const
{
    return this->isVoter(identity) || contains(this->membership().learners, identity);
}

bool ControlLog::isVoter(const std::string &identity) const
{
    return contains(this->membership().voters, identity);
}

void ControlLog::adoptMembership(std::int64_t index, const std::string &command)
{
    const auto decoded = decodeCompact<wire::Command>(command);
    if (decoded && decoded->__isset.setVoters) {
        // A membership takes effect when it is appended, as Raft requires for single-server changes.
        this->memberships.push_back(
            {index, decoded->setVoters.voters, decoded->setVoters.learners, decoded->setVoters.domains});
    }
}

void ControlLog::logAdoptedMembership(std::int64_t index) const
{
    if (this->membership().index == index) {
        logMembership("membership_adopted", index, this->membership().voters, this->membership().learners);
    }
}

void ControlLog::removeMembershipsFrom(std::int64_t from)
{
    while (this->memberships.size() > 1 && this->memberships.back().index >= from) {
        this->memberships.pop_back();
        logMembership("membership_taken_back", this->membership().index, this->membership().voters,
                      this->membership().learners);
    }
}

std::set<std::string> ControlLog::replicationTargets() const
{
    std::set<std::string> result;
    for (const auto &voter : this->membership().voters) {
        // If a learner has the same process name, the voter's disk was lost and its identity cannot reply any more.
        if (findIdentity(this->membership().learners, memberName(voter)).empty()) {
            result.insert(voter);
        }
    }
    result.insert(this->membership().learners.begin(), this->membership().learners.end());
    result.erase(this->hardState.member);
    return result;
}

void ControlLog::syncProgress(Time now)
{
    std::map<std::string, Progress> next;
    for (const auto &identity : membersOf(this->membership())) {
        const auto found = this->progress.find(identity);
        if (found != this->progress.end()) {
            next[identity] = found->second;
        } else {
            next[identity].nextIndex = this->lastIndex() + 1;
            // A silence goes on from what earlier leaders have told.
            next[identity].lastHeardAt = this->contacts.lastHeardAt(identity).value_or(now);
        }
    }
    this->progress = std::move(next);
    this->contacts.keepOnly(membersOf(this->membership()));
}

void ControlLog::proposeMembershipChange(Time now)
{
    // Changes the membership one member at a time, and only after an entry of the leader's own term is committed:
    // two overlapping changes could have disjoint quorums.
    if (this->termAt(this->committedIndex) != this->hardState.term || this->membership().index > this->committedIndex) {
        return;
    }
    if (const auto next = this->nextMembership(now)) {
        this->proposeMembership(*next, now);
    }
}

std::optional<ControlLog::Membership> ControlLog::nextMembership(Time now) const
{
    for (const auto step : {&ControlLog::withoutSurplusVoter, &ControlLog::withUnknownMember,
                            &ControlLog::withoutLostLearner, &ControlLog::withPromotedLearner}) {
        if (auto next = (this->*step)(now)) {
            return next;
        }
    }
    return this->withReportedDomains();
}

std::optional<ControlLog::Membership> ControlLog::withoutSurplusVoter(Time now) const
{
    auto next = this->membership();
    auto surplus = this->voterToReplace(now);
    // An identity whose disk is lost goes before its replacement comes: with both, a machine that loses its disk again
    // would hold two votes that nobody can give.
    const bool isReplaceable = !surplus.empty() && this->isSuperseded(surplus)
        && std::any_of(next.learners.begin(), next.learners.end(),
                       [&](const std::string &learner) { return this->canBePromoted(learner, now); });
    if (next.voters.size() <= this->targetVoters() && !isReplaceable) {
        return std::nullopt;
    }
    const bool isLost = !surplus.empty() && !this->isLeavingMember(surplus, now);
    if (surplus.empty() && !this->haveAllVotersAnswered()) {
        return std::nullopt;
    }
    if (surplus.empty()) {
        // The voter that was to be replaced has come back in the meantime.
        for (const auto &voter : next.voters) {
            const bool isMoreCrowded
                = surplus.empty() || this->votersBeside(next, voter) >= this->votersBeside(next, surplus);
            if (voter != this->hardState.member && isMoreCrowded) {
                surplus = voter;
            }
        }
    }
    next.voters = without(next.voters, surplus);
    if (!isLost) {
        next.learners.push_back(surplus);
    }
    return next;
}

bool ControlLog::haveAllVotersAnswered() const
{
    const auto &voters = this->membership().voters;
    return std::all_of(voters.begin(), voters.end(), [this](const std::string &voter) {
        const auto found = this->progress.find(voter);
        return voter == this->hardState.member
            || (found != this->progress.end() && found->second.lastHeardAt > this->leadershipStartedAt);
    });
}

std::optional<ControlLog::Membership> ControlLog::withUnknownMember(Time now) const
{
    auto next = this->membership();
    for (const auto &[name, unknown] : this->unknownMembers) {
        if (!this->isMember(unknown.identity) && now - unknown.lastHeardAt < reachableTimeout
            && (this->options.isOpen || contains(this->options.group, name))) {
            next.learners = without(next.learners, findIdentity(next.learners, name));
            next.learners.push_back(unknown.identity);
            next.domains[unknown.identity] = unknown.failureDomain;
            return next;
        }
    }
    return std::nullopt;
}

std::optional<ControlLog::Membership> ControlLog::withoutLostLearner(Time now) const
{
    auto next = this->membership();
    for (const auto &learner : next.learners) {
        if (this->isSilent(learner, this->options.learnerRemovalTimeout, now)) {
            next.learners = without(next.learners, learner);
            return next;
        }
    }
    return std::nullopt;
}

std::optional<ControlLog::Membership> ControlLog::withPromotedLearner(Time now) const
{
    auto next = this->membership();
    const auto replaced = this->voterToReplace(now);
    std::string promoted;
    for (const auto &learner : next.learners) {
        const bool isLessCrowded
            = promoted.empty() || this->votersBeside(next, learner) < this->votersBeside(next, promoted);
        if (this->canBePromoted(learner, now) && isLessCrowded) {
            promoted = learner;
        }
    }
    // A voter that is silent or stopping stays in place until its replacement votes.
    const bool isNeeded = next.voters.size() < this->targetVoters() || !replaced.empty();
    if (promoted.empty() || !(isNeeded || this->isBetterSpread(next, promoted))) {
        return std::nullopt;
    }
    next.voters.push_back(promoted);
    next.learners = without(next.learners, promoted);
    return next;
}

bool ControlLog::isBetterSpread(const Membership &members, const std::string &learner) const
{
    if (this->bearsLosses()) {
        return false;
    }
    const auto beside = this->votersBeside(members, learner);
    return std::any_of(members.voters.begin(), members.voters.end(), [&](const std::string &voter) {
        return voter != this->hardState.member && this->votersBeside(members, voter) > beside + 1;
    });
}

bool ControlLog::canBePromoted(const std::string &learner, Time now) const
{
    const auto &progress = this->progress.at(learner);
    return progress.matchIndex >= this->committedIndex && now - progress.lastHeardAt <= reachableTimeout
        && now >= progress.leavingUntil;
}

std::optional<ControlLog::Membership> ControlLog::withReportedDomains() const
{
    auto next = this->membership();
    std::map<std::string, std::string> domains;
    for (const auto &identity : membersOf(next)) {
        const auto found = this->progress.find(identity);
        const auto &reported = identity == this->hardState.member ? this->options.failureDomain
            : found == this->progress.end()                       ? std::string()
                                                                  : found->second.failureDomain;
        domains[identity] = reported.empty() ? this->domainOf(next, identity) : reported;
    }
    const bool isSame = std::all_of(domains.begin(), domains.end(), [&](const auto &domain) {
        return this->domainOf(next, domain.first) == domain.second;
    });
    next.domains = std::move(domains);
    return isSame ? std::nullopt : std::make_optional(std::move(next));
}

std::size_t ControlLog::targetVoters() const
{
    if (!this->options.isOpen) {
        return this->options.group.size();
    }
    return votersNeeded(this->domainsOf(this->membership(), membersOf(this->membership())), this->options.tolerance);
}

std::string ControlLog::voterToReplace(Time now) const
{
    std::string leaving;
    std::string unresponsive;
    for (const auto &voter : this->membership().voters) {
        const auto found = this->progress.find(voter);
        if (voter == this->hardState.member || found == this->progress.end()) {
            continue;
        }
        if (this->isSuperseded(voter)) {
            return voter;
        }
        if (this->options.isOpen && this->isSilent(voter, this->options.voterReplacementTimeout, now)) {
            unresponsive = voter;
        }
        if (this->options.isOpen && this->isLeavingMember(voter, now)) {
            leaving = voter;
        }
    }
    return unresponsive.empty() ? leaving : unresponsive;
}

bool ControlLog::isSilent(const std::string &member, Millis timeout, Time now) const
{
    const auto answerTime = this->options.heartbeatInterval * heartbeatsToAnswer;
    return now - this->progress.at(member).lastHeardAt > timeout && now - this->leadershipStartedAt > answerTime;
}

void ControlLog::noteHeard(const std::string &member, Time now)
{
    this->contacts.noteHeard(member, now);
    const auto found = this->progress.find(member);
    if (found != this->progress.end()) {
        found->second.lastHeardAt = now;
    }
}

void ControlLog::learnSilences(const wire::AppendEntries &append, Time now)
{
    if (append.__isset.silentMs) {
        this->contacts.noteToldByLeader(membersOf(this->membership()), append.silentMs, now);
    } else {
        // A leader of an earlier version hears the members without telling.
        this->contacts.forget();
    }
}

bool ControlLog::isSuperseded(const std::string &identity) const
{
    const auto own = this->progress.find(identity);
    return own != this->progress.end()
        && std::any_of(this->progress.begin(), this->progress.end(), [&](const auto &other) {
               return other.first != identity && memberName(other.first) == memberName(identity)
                   && other.second.lastHeardAt > own->second.lastHeardAt;
           });
}

bool ControlLog::isLeavingMember(const std::string &identity, Time now) const
{
    const auto found = this->progress.find(identity);
    return found != this->progress.end() && now < found->second.leavingUntil;
}

std::string ControlLog::domainOf(const Membership &members, const std::string &identity) const
{
    const auto found = members.domains.find(identity);
    return found == members.domains.end() ? std::string() : found->second;
}

std::vector<std::string> ControlLog::domainsOf(const Membership &members,
                                               const std::vector<std::string> &identities) const
{
    std::vector<std::string> domains;
    domains.reserve(identities.size());
    for (const auto &identity : identities) {
        domains.push_back(this->domainOf(members, identity));
    }
    return domains;
}

std::size_t ControlLog::votersBeside(const Membership &members, const std::string &identity) const
{
    const auto domain = this->domainOf(members, identity);
    return static_cast<std::size_t>(
        std::count_if(members.voters.begin(), members.voters.end(), [&](const std::string &voter) {
            return !domain.empty() && this->domainOf(members, voter) == domain;
        }));
}

// Leaving.

void ControlLog::beginLeaving()
{
    this->isLeaving = true;
}

bool ControlLog::mayLeave() const
{
    return !this->options.isOpen || !this->isVoter(this->hardState.member) || this->membership().learners.empty();
}

void ControlLog::requestReplacement(Time now)
{
    if (!this->isLeaving || this->mayLeave() || this->status == Status::Leader || this->leader.empty()
        || now < this->replacementRequestDueAt) {
        return;
    }
    this->replacementRequestDueAt = now + replacementRequestInterval;
    wire::VoterLeaving leaving;
    leaving.member = this->hardState.member;
    leaving.group = this->hardState.group;
    this->send(memberName(this->leader), std::move(leaving));
}

void ControlLog::handleVoterLeaving(const wire::VoterLeaving &leaving, Time now)
{
    const auto found = this->progress.find(leaving.member);
    if (this->status == Status::Leader && leaving.group == this->hardState.group && found != this->progress.end()) {
        found->second.leavingUntil = now + leavingTimeout;
    }
}

void ControlLog::proposeMembership(const Membership &next, Time now)
{
    log(LogLevel::Info, "control", "changing the membership to {} voters and {} learners", next.voters.size(),
        next.learners.size());
    wire::SetVoters voters;
    voters.voters = next.voters;
    voters.learners = next.learners;
    for (const auto &identity : membersOf(next)) {
        voters.domains[identity] = this->domainOf(next, identity);
    }
    wire::Command command;
    command.__set_setVoters(voters);
    this->unknownMembers.clear();
    this->appendEntry(encodeCompact(command));
    this->syncProgress(now);
    this->replicateToAll(now);
}

} // namespace agatedrum
