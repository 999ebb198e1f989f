#include "base_log_p.h"
#include "control_codec_p.h"
#include "control_log_p.h"

#include <algorithm>
#include <utility>

namespace agatedrum {

namespace {

/// A member counts as present when it was heard within this time.
constexpr Millis presence(2000);

bool contains(const std::vector<std::string> &list, const std::string &item)
{
    return std::find(list.begin(), list.end(), item) != list.end();
}

std::vector<std::string> without(std::vector<std::string> list, const std::string &item)
{
    list.erase(std::remove(list.begin(), list.end(), item), list.end());
    return list;
}

/// Identity of the process in the list, or empty.
std::string identityOf(const std::vector<std::string> &list, const std::string &name)
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
        // In force from when it is appended, as Raft's rules for changes of one member at a time demand.
        this->memberships.push_back({index, decoded->setVoters.voters, decoded->setVoters.learners});
    }
}

void ControlLog::dropMemberships(std::int64_t from)
{
    while (this->memberships.size() > 1 && this->memberships.back().index >= from) {
        this->memberships.pop_back();
    }
}

std::set<std::string> ControlLog::targets() const
{
    std::set<std::string> result;
    for (const auto &voter : this->membership().voters) {
        // Under the name of a voter whose disk was lost, only its successor can answer.
        if (identityOf(this->membership().learners, memberName(voter)).empty()) {
            result.insert(voter);
        }
    }
    result.insert(this->membership().learners.begin(), this->membership().learners.end());
    result.erase(this->hard.member);
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
                next[identity].next = this->lastIndex() + 1;
                next[identity].heard = now;
            }
        }
    }
    this->progress = std::move(next);
}

void ControlLog::reconfigure(Time now)
{
    // Only one change at a time, and only after an entry of the own term: two overlapping changes could have
    // disjoint quorums.
    if (this->termAt(this->commit) != this->hard.term || this->membership().index > this->commit) {
        return;
    }
    if (const auto next = this->nextMembership(now)) {
        this->proposeMembership(*next, now);
    }
}

std::optional<ControlLog::Membership> ControlLog::nextMembership(Time now) const
{
    auto next = this->membership();
    const auto silent = this->silentVoter(now);
    if (!silent.empty() && next.voters.size() > this->options.maxVoters) {
        next.voters = without(next.voters, silent);
        return next;
    }
    for (const auto &[name, stranger] : this->strangers) {
        const auto &[identity, heard] = stranger;
        const bool isKnown = contains(next.voters, identity) || contains(next.learners, identity);
        if (!isKnown && now - heard < presence && (this->options.isOpen || contains(this->options.group, name))) {
            next.learners = without(next.learners, identityOf(next.learners, name));
            next.learners.push_back(identity);
            return next;
        }
    }
    for (const auto &learner : next.learners) {
        const auto &progress = this->progress.at(learner);
        if (now - std::max(progress.heard, this->led) > this->options.learnerForget) {
            next.learners = without(next.learners, learner);
            return next;
        }
        if (progress.match < this->commit || now - progress.heard > presence) {
            continue;
        }
        const auto lost = identityOf(next.voters, memberName(learner));
        if (!lost.empty() && lost != this->hard.member) {
            next.voters = without(next.voters, lost);
            return next;
        }
        if (next.voters.size() >= this->options.maxVoters && silent.empty()) {
            continue;
        }
        next.voters.push_back(learner);
        next.learners = without(next.learners, learner);
        return next;
    }
    return std::nullopt;
}

std::string ControlLog::silentVoter(Time now) const
{
    for (const auto &voter : this->membership().voters) {
        const auto found = this->progress.find(voter);
        if (this->options.isOpen && voter != this->hard.member && found != this->progress.end()
            && now - std::max(found->second.heard, this->led) > this->options.voterReplace) {
            return voter;
        }
    }
    return {};
}

void ControlLog::proposeMembership(const Membership &next, Time now)
{
    log(LogLevel::Info, "control", "members become {} voters and {} learners", next.voters.size(),
        next.learners.size());
    wire::SetVoters voters;
    voters.voters = next.voters;
    voters.learners = next.learners;
    wire::Command command;
    command.__set_setVoters(voters);
    this->strangers.clear();
    this->appendLocal(encodeCompact(command));
    this->syncProgress(now);
    this->broadcast(now);
}

} // namespace agatedrum
