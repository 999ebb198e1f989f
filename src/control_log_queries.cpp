#include "control_log_p.h"

namespace agatedrum {

namespace {

/// Time for which an observer believes the last answer on who leads; several questions fall into it.
constexpr Millis namedLeaderTimeout(1000);

} // namespace

bool ControlLog::isLeader() const
{
    return this->status == Status::Leader;
}

bool ControlLog::hasLease(Time now) const
{
    return this->status == Status::Leader && this->termAt(this->committedIndex) == this->hardState.term
        && now < this->quorumAcknowledgedAt() + this->options.lease;
}

Time ControlLog::leaderSince() const
{
    return this->leadershipStartedAt;
}

bool ControlLog::bearsLosses() const
{
    return !this->options.isOpen || this->bearsLosses(this->membership());
}

bool ControlLog::bearsLosses(const Membership &members) const
{
    return agatedrum::bearsLosses(this->domainsOf(members, members.voters), this->options.tolerance);
}

bool ControlLog::committedBearsLosses() const
{
    for (auto each = this->memberships.rbegin(); this->options.isOpen && each != this->memberships.rend(); ++each) {
        if (!this->bearsLosses(*each)) {
            return false;
        }
        if (each->index <= this->committedIndex) {
            break; // earlier memberships have been replaced
        }
    }
    return true;
}

std::string ControlLog::leaderName(Time now) const
{
    if (this->options.isObserver) {
        return now - this->leaderNamedAt < namedLeaderTimeout ? this->namedLeader : std::string();
    }
    return this->leader.empty() ? std::string() : memberName(this->leader);
}

std::int64_t ControlLog::term() const
{
    return this->hardState.term;
}

std::int64_t ControlLog::commitIndex() const
{
    return this->committedIndex;
}

std::int64_t ControlLog::snapshotIndex() const
{
    return this->snapshot.lastIndex;
}

std::int64_t ControlLog::committedBytes() const
{
    return this->committedEntryBytes;
}

std::int64_t ControlLog::snapshotBytes() const
{
    return static_cast<std::int64_t>(this->snapshot.data.size());
}

const std::string &ControlLog::member() const
{
    return this->hardState.member;
}

std::vector<std::string> ControlLog::voters() const
{
    return this->membership().voters;
}

std::vector<std::string> ControlLog::learners() const
{
    return this->membership().learners;
}

} // namespace agatedrum
