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

bool ControlLog::isVoter(const std::string &identity) const
{
    return contains(this->membership().voters, identity);
}

void ControlLog::adoptMembership(std::int64_t index, const std::string &command)
{
    const auto decoded = decodeCompact<wire::Command>(command);
    if (decoded && decoded->__isset.setVoters) {
        // A membership takes effect when it is appended, as Raft requires for single-server changes.
        this->memberships.push_back({index, decoded->setVoters.voters, decoded->setVoters.learners});
        logMembership("membership_adopted", index, decoded->setVoters.voters, decoded->setVoters.learners);
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
    for (const auto &list : {this->membership().voters, this->membership().learners}) {
        for (const auto &identity : list) {
            const auto found = this->progress.find(identity);
            if (found != this->progress.end()) {
                next[identity] = found->second;
            } else {
                next[identity].nextIndex = this->lastIndex() + 1;
                next[identity].lastHeardAt = now;
            }
        }
    }
    this->progress = std::move(next);
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
    auto next = this->membership();
    const auto unresponsive = this->unresponsiveVoter(now);
    if (!unresponsive.empty() && next.voters.size() > this->options.maxVoters) {
        next.voters = without(next.voters, unresponsive);
        return next;
    }
    if (next.voters.size() > this->options.maxVoters) {
        // The voter that was to be replaced has come back in the meantime.
        const auto surplus = std::find_if(next.voters.rbegin(), next.voters.rend(),
                                          [this](const std::string &voter) { return voter != this->hardState.member; });
        next.learners.push_back(*surplus);
        next.voters = without(next.voters, next.learners.back());
        return next;
    }
    for (const auto &[name, unknownMember] : this->unknownMembers) {
        const auto &[identity, lastHeardAt] = unknownMember;
        const bool isKnown = contains(next.voters, identity) || contains(next.learners, identity);
        if (!isKnown && now - lastHeardAt < reachableTimeout
            && (this->options.isOpen || contains(this->options.group, name))) {
            next.learners = without(next.learners, findIdentity(next.learners, name));
            next.learners.push_back(identity);
            return next;
        }
    }
    for (const auto &learner : next.learners) {
        const auto &progress = this->progress.at(learner);
        if (now - std::max(progress.lastHeardAt, this->leadershipStartedAt) > this->options.learnerRemovalTimeout) {
            next.learners = without(next.learners, learner);
            return next;
        }
        if (progress.matchIndex < this->committedIndex || now - progress.lastHeardAt > reachableTimeout) {
            continue;
        }
        const auto replacedVoter = findIdentity(next.voters, memberName(learner));
        if (!replacedVoter.empty() && replacedVoter != this->hardState.member) {
            next.voters = without(next.voters, replacedVoter);
            return next;
        }
        if (next.voters.size() >= this->options.maxVoters && unresponsive.empty()) {
            continue;
        }
        next.voters.push_back(learner);
        next.learners = without(next.learners, learner);
        return next;
    }
    return std::nullopt;
}

std::string ControlLog::unresponsiveVoter(Time now) const
{
    for (const auto &voter : this->membership().voters) {
        const auto found = this->progress.find(voter);
        if (this->options.isOpen && voter != this->hardState.member && found != this->progress.end()
            && now - std::max(found->second.lastHeardAt, this->leadershipStartedAt)
                > this->options.voterReplacementTimeout) {
            return voter;
        }
    }
    return {};
}

void ControlLog::proposeMembership(const Membership &next, Time now)
{
    log(LogLevel::Info, "control", "changing the membership to {} voters and {} learners", next.voters.size(),
        next.learners.size());
    wire::SetVoters voters;
    voters.voters = next.voters;
    voters.learners = next.learners;
    wire::Command command;
    command.__set_setVoters(voters);
    this->unknownMembers.clear();
    this->appendEntry(encodeCompact(command));
    this->syncProgress(now);
    this->replicateToAll(now);
}

} // namespace agatedrum
