#include "control_log_p.h"

#include "base_log_p.h"
#include "control_codec_p.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace agatedrum {

namespace {

/// Entries in one AppendEntries.
constexpr std::size_t maxEntriesPerMessage = 256;
/// A snapshot is sent again when it stays unanswered for this time.
constexpr Millis snapshotRetry(500);
/// Refusals that follow sooner are answered by the next heartbeat: each one answered at once would start a further
/// exchange with a follower that keeps refusing.
constexpr Millis rewindInterval(5);

} // namespace

std::string memberIdentity(const std::string &name, std::uint64_t disk)
{
    return fmt::format("{}/{:016x}", name, disk);
}

std::string memberName(const std::string &identity)
{
    return identity.substr(0, identity.rfind('/'));
}

ControlLog::ControlLog(ControlLogOptions options, ControlLoaded loaded, Time now)
    : options(std::move(options))
    , random(this->options.seed)
    , hard(std::move(loaded.state))
{
    if (loaded.snapshot) {
        this->snapshot = std::move(*loaded.snapshot);
        this->output.restored = this->snapshot;
    }
    this->commit = this->snapshot.lastIndex;
    this->memberships.push_back({this->snapshot.lastIndex, this->snapshot.voters, this->snapshot.learners});
    for (auto &entry : loaded.entries) {
        this->adoptMembership(entry.index, entry.command);
        this->entries.push_back(std::move(entry));
    }
    this->durable = this->lastIndex();
    if (this->hard.member.empty()) {
        this->hard.member = this->options.freshMember;
        this->persistState();
    }
    // A restarted member may have promised a leader its lease just before.
    this->leaderHeard = now;
    this->resetElectionTimer(now);
}

void ControlLog::handle(const std::string &from, const Payload &payload, Time now)
{
    if (const auto *request = std::get_if<wire::RequestVote>(&payload)) {
        this->handleRequest(from, *request, now);
    } else if (const auto *vote = std::get_if<wire::VoteReply>(&payload)) {
        this->handleVote(*vote, now);
    } else if (const auto *append = std::get_if<wire::AppendEntries>(&payload)) {
        this->handleAppend(from, *append, now);
    } else if (const auto *appendReply = std::get_if<wire::AppendReply>(&payload)) {
        this->handleAppendReply(from, *appendReply, now);
    } else if (const auto *install = std::get_if<wire::InstallSnapshot>(&payload)) {
        this->handleInstall(from, *install, now);
    } else if (const auto *installReply = std::get_if<wire::InstallReply>(&payload)) {
        this->handleInstallReply(*installReply, now);
    } else if (const auto *order = std::get_if<wire::TimeoutNow>(&payload)) {
        this->handleTimeoutNow(*order, now);
    }
}

void ControlLog::tick(Time now)
{
    if (this->hard.group.empty() || !this->isVoter(this->hard.member)) {
        this->announce(now);
    }
    if (this->hard.group.empty()) {
        return;
    }
    if (this->status == Status::Leader) {
        if (now - this->quorumTime() > this->options.electionMax && now - this->led > this->options.electionMax) {
            log(LogLevel::Warning, "control", "lost the quorum in term {}", this->hard.term);
            this->becomeFollower(this->hard.term, {});
            this->resetElectionTimer(now);
            return;
        }
        this->reconfigure(now);
        if (now >= this->heartbeatDue) {
            this->broadcast(now);
        }
    } else if (now >= this->electionDue && this->isVoter(this->hard.member) && !this->isRetired
               && this->stateSequence <= this->writtenSequence) {
        // While the disk takes no term or vote, no election could be won.
        this->startPreVote(now);
    }
}

void ControlLog::written(std::int64_t sequence, Time now)
{
    this->writtenSequence = std::max(this->writtenSequence, sequence);
    while (!this->pendingEntries.empty() && this->pendingEntries.front().first <= this->writtenSequence) {
        this->durable = std::max(this->durable, this->pendingEntries.front().second);
        this->pendingEntries.pop_front();
    }
    while (!this->held.empty() && this->held.front().first <= this->writtenSequence) {
        this->output.messages.push_back(std::move(this->held.front().second));
        this->held.pop_front();
    }
    if (this->status == Status::Candidate && !this->isPreVoting && this->stateSequence <= this->writtenSequence) {
        this->votes.insert(this->hard.member);
        this->countVotes(now);
    }
    if (this->status == Status::Leader) {
        this->advanceCommit();
    }
}

std::optional<std::int64_t> ControlLog::propose(std::string command, Time now)
{
    if (this->status != Status::Leader) {
        return std::nullopt;
    }
    this->appendLocal(std::move(command));
    // The entries leave with the write, not after it: followers and the leader's disk work at the same time.
    this->broadcast(now);
    return this->lastIndex();
}

void ControlLog::compact(std::int64_t index, std::string data)
{
    if (index <= this->snapshot.lastIndex || index > this->commit) {
        return;
    }
    wire::SnapshotFile next;
    next.lastIndex = index;
    next.lastTerm = this->termAt(index);
    const auto current = std::find_if(this->memberships.rbegin(), this->memberships.rend(),
                                      [index](const Membership &each) { return each.index <= index; });
    next.voters = current->voters;
    next.learners = current->learners;
    next.data = std::move(data);
    while (!this->entries.empty() && this->entries.front().index <= index) {
        this->entries.pop_front();
    }
    this->memberships.erase(this->memberships.begin(), std::prev(current.base()));
    this->snapshot = std::move(next);
    ControlWrite write;
    write.state = this->hard;
    write.snapshot = this->snapshot;
    write.entries.assign(this->entries.begin(), this->entries.end());
    this->submit(std::move(write));
}

ControlLogOutput ControlLog::take()
{
    return std::exchange(this->output, {});
}

// Replication.

void ControlLog::appendLocal(std::string command)
{
    wire::LogEntry entry;
    entry.index = this->lastIndex() + 1;
    entry.term = this->hard.term;
    entry.command = std::move(command);
    this->adoptMembership(entry.index, entry.command);
    this->entries.push_back(entry);
    ControlWrite write;
    write.entries.push_back(std::move(entry));
    this->pendingEntries.emplace_back(this->submit(std::move(write)), this->lastIndex());
}

void ControlLog::broadcast(Time now)
{
    this->heartbeatDue = now + this->options.heartbeat;
    for (const auto &identity : this->targets()) {
        this->replicate(identity, this->progress[identity], now);
    }
}

void ControlLog::replicate(const std::string &identity, Progress &progress, Time now)
{
    if (progress.next <= this->snapshot.lastIndex) {
        this->sendSnapshot(identity, progress, now);
    }
    wire::AppendEntries append;
    append.term = this->hard.term;
    append.member = this->hard.member;
    append.group = this->hard.group;
    append.commitIndex = this->commit;
    append.round = now.time_since_epoch().count();
    // Behind the snapshot, an empty message still keeps the follower from starting an election.
    append.prevIndex = std::max(progress.next - 1, this->snapshot.lastIndex);
    append.prevTerm = this->termAt(append.prevIndex);
    const auto first = static_cast<std::size_t>(append.prevIndex - this->snapshot.lastIndex);
    const auto last = std::min(this->entries.size(), first + maxEntriesPerMessage);
    if (progress.next > this->snapshot.lastIndex && first < last) {
        append.entries.assign(this->entries.begin() + static_cast<std::ptrdiff_t>(first),
                              this->entries.begin() + static_cast<std::ptrdiff_t>(last));
        progress.next = append.entries.back().index + 1;
    }
    this->send(memberName(identity), std::move(append));
}

void ControlLog::sendSnapshot(const std::string &identity, Progress &progress, Time now)
{
    if (progress.snapshotSent != Time {} && now - progress.snapshotSent < snapshotRetry) {
        return;
    }
    progress.snapshotSent = now;
    wire::InstallSnapshot install;
    install.term = this->hard.term;
    install.member = this->hard.member;
    install.group = this->hard.group;
    install.lastIndex = this->snapshot.lastIndex;
    install.lastTerm = this->snapshot.lastTerm;
    install.voters = this->snapshot.voters;
    install.learners = this->snapshot.learners;
    install.data = this->snapshot.data;
    install.round = now.time_since_epoch().count();
    this->send(memberName(identity), std::move(install));
}

void ControlLog::handleAppend(const std::string &from, const wire::AppendEntries &append, Time now)
{
    if (!this->acceptsGroup(append.group)) {
        return;
    }
    wire::AppendReply reply;
    reply.round = append.round;
    reply.member = this->hard.member;
    if (append.term < this->hard.term) {
        reply.term = this->hard.term;
        reply.group = this->hard.group;
        this->sendHeld(from, std::move(reply));
        return;
    }
    if (this->hard.group.empty()) {
        this->hard.group = append.group;
    }
    this->becomeFollower(append.term, append.member);
    this->leaderHeard = now;
    this->resetElectionTimer(now);

    reply.term = this->hard.term;
    reply.group = this->hard.group;
    const bool isKnown = append.prevIndex <= this->snapshot.lastIndex
        || (append.prevIndex <= this->lastIndex() && this->termAt(append.prevIndex) == append.prevTerm);
    // Everything up to the snapshot is committed and so matches; before it the follower cannot compare.
    if (!isKnown) {
        reply.matchIndex = std::min(this->lastIndex(), append.prevIndex - 1);
        if (append.prevIndex <= this->lastIndex()) {
            const auto conflict = this->termAt(append.prevIndex);
            while (reply.matchIndex > this->snapshot.lastIndex && this->termAt(reply.matchIndex) == conflict) {
                --reply.matchIndex;
            }
        }
        this->sendHeld(from, std::move(reply));
        return;
    }
    if (!this->appendReceived(append.entries)) {
        return;
    }
    const auto match = append.entries.empty() ? append.prevIndex : append.entries.back().index;
    this->setCommit(std::min(append.commitIndex, match));
    this->sendHeldReply(from, append, match);
}

void ControlLog::sendHeldReply(const std::string &to, const wire::AppendEntries &append, std::int64_t match)
{
    wire::AppendReply reply;
    reply.term = this->hard.term;
    reply.ok = true;
    reply.round = append.round;
    reply.member = this->hard.member;
    reply.group = this->hard.group;
    reply.matchIndex = std::min(match, this->durable);
    const bool isDurable = match <= this->durable;
    // The leader's lease needs no entries on disk, so a slow disk does not delay its renewal.
    if (this->stateSequence <= this->writtenSequence) {
        this->send(to, reply);
    }
    if (!isDurable || this->stateSequence > this->writtenSequence) {
        reply.matchIndex = match;
        this->sendHeld(to, std::move(reply));
    }
}

bool ControlLog::appendReceived(const std::vector<wire::LogEntry> &received)
{
    ControlWrite write;
    for (const auto &entry : received) {
        if (entry.index <= this->snapshot.lastIndex) {
            continue;
        }
        if (entry.index <= this->lastIndex()) {
            if (this->termAt(entry.index) == entry.term) {
                continue;
            }
            if (entry.index <= this->commit) {
                log(LogLevel::Error, "control", "entry {} conflicts with a committed one; message ignored",
                    entry.index);
                return false;
            }
            this->truncate(entry.index);
            write.truncateFrom = entry.index;
        }
        this->adoptMembership(entry.index, entry.command);
        this->entries.push_back(entry);
        write.entries.push_back(entry);
    }
    if (!write.entries.empty()) {
        this->pendingEntries.emplace_back(this->submit(std::move(write)), this->lastIndex());
    }
    return true;
}

void ControlLog::handleAppendReply(const std::string &from, const wire::AppendReply &reply, Time now)
{
    if (reply.term > this->hard.term && reply.group == this->hard.group) {
        this->becomeFollower(reply.term, {});
        return;
    }
    if (this->status != Status::Leader) {
        return;
    }
    const auto found = this->progress.find(reply.member);
    if (found == this->progress.end()) {
        if (memberName(reply.member) == from && (reply.group.empty() || reply.group == this->hard.group)) {
            this->strangers[from] = {reply.member, now};
        }
        return;
    }
    if (reply.term != this->hard.term || reply.group != this->hard.group) {
        return;
    }
    auto &progress = found->second;
    progress.heard = now;
    progress.acknowledged = std::max(progress.acknowledged, Time(Micros(reply.round)));
    this->strangers.erase(from);
    if (!reply.ok) {
        progress.next = std::max(progress.match + 1, std::min(progress.next - 1, reply.matchIndex + 1));
        if (now - progress.rewound < rewindInterval) {
            return;
        }
        progress.rewound = now;
        if (progress.next > this->snapshot.lastIndex) {
            this->replicate(reply.member, progress, now);
        } else {
            this->sendSnapshot(reply.member, progress, now);
        }
        return;
    }
    progress.match = std::max(progress.match, reply.matchIndex);
    progress.next = std::max(progress.next, progress.match + 1);
    this->advanceCommit();
    if (progress.next <= this->lastIndex()) {
        this->replicate(reply.member, progress, now);
    }
}

void ControlLog::handleInstall(const std::string &from, const wire::InstallSnapshot &install, Time now)
{
    if (!this->acceptsGroup(install.group) || install.term < this->hard.term) {
        return;
    }
    if (this->hard.group.empty()) {
        this->hard.group = install.group;
    }
    this->becomeFollower(install.term, install.member);
    this->leaderHeard = now;
    this->resetElectionTimer(now);
    if (install.lastIndex > this->commit) {
        this->installSnapshot(install);
    }
    wire::InstallReply reply;
    reply.term = this->hard.term;
    reply.lastIndex = install.lastIndex;
    reply.member = this->hard.member;
    reply.group = this->hard.group;
    reply.round = install.round;
    this->sendHeld(from, std::move(reply));
}

void ControlLog::installSnapshot(const wire::InstallSnapshot &install)
{
    // Entries after the snapshot may have been acknowledged already, so they stay unless the log differs.
    const bool isSuffixKept = this->termAt(install.lastIndex) == install.lastTerm;
    while (!this->entries.empty() && (!isSuffixKept || this->entries.front().index <= install.lastIndex)) {
        this->entries.pop_front();
    }
    if (!isSuffixKept) {
        this->memberships.clear();
        this->pendingEntries.clear();
        this->durable = 0;
    }
    this->memberships.erase(std::remove_if(this->memberships.begin(), this->memberships.end(),
                                           [&](const Membership &each) { return each.index <= install.lastIndex; }),
                            this->memberships.end());
    this->memberships.insert(this->memberships.begin(), {install.lastIndex, install.voters, install.learners});
    this->snapshot.lastIndex = install.lastIndex;
    this->snapshot.lastTerm = install.lastTerm;
    this->snapshot.voters = install.voters;
    this->snapshot.learners = install.learners;
    this->snapshot.data = install.data;
    this->commit = install.lastIndex;
    this->output.committed.clear();
    this->output.restored = this->snapshot;
    ControlWrite write;
    write.state = this->hard;
    write.snapshot = this->snapshot;
    write.entries.assign(this->entries.begin(), this->entries.end());
    this->pendingEntries.emplace_back(this->submit(std::move(write)), this->lastIndex());
}

void ControlLog::handleInstallReply(const wire::InstallReply &reply, Time now)
{
    const auto found = this->progress.find(reply.member);
    if (this->status != Status::Leader || reply.term != this->hard.term || found == this->progress.end()) {
        return;
    }
    auto &progress = found->second;
    progress.heard = now;
    progress.match = std::max(progress.match, reply.lastIndex);
    progress.next = std::max(progress.next, progress.match + 1);
    progress.snapshotSent = Time {};
    this->advanceCommit();
    this->replicate(reply.member, progress, now);
}

void ControlLog::advanceCommit()
{
    std::vector<std::int64_t> matches;
    for (const auto &voter : this->membership().voters) {
        const auto found = this->progress.find(voter);
        matches.push_back(voter == this->hard.member    ? this->durable
                              : found == progress.end() ? 0
                                                        : found->second.match);
    }
    const auto index = this->majority(std::move(matches));
    // Entries of earlier terms are committed only along with one of this term.
    if (index > this->commit && this->termAt(index) == this->hard.term) {
        this->setCommit(index);
    }
}

void ControlLog::setCommit(std::int64_t index)
{
    while (this->commit < index) {
        ++this->commit;
        this->output.committed.push_back(*this->entryAt(this->commit));
    }
}

std::int64_t ControlLog::majority(std::vector<std::int64_t> values) const
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end(), std::greater<>());
    return values[values.size() / 2];
}

// Log.

std::int64_t ControlLog::lastIndex() const
{
    return this->snapshot.lastIndex + static_cast<std::int64_t>(this->entries.size());
}

std::int64_t ControlLog::termAt(std::int64_t index) const
{
    if (index == this->snapshot.lastIndex) {
        return this->snapshot.lastTerm;
    }
    const auto *entry = this->entryAt(index);
    return entry ? entry->term : 0;
}

const wire::LogEntry *ControlLog::entryAt(std::int64_t index) const
{
    const auto offset = index - this->snapshot.lastIndex - 1;
    return offset >= 0 && offset < static_cast<std::int64_t>(this->entries.size())
        ? &this->entries[static_cast<std::size_t>(offset)]
        : nullptr;
}

void ControlLog::truncate(std::int64_t from)
{
    while (!this->entries.empty() && this->entries.back().index >= from) {
        this->entries.pop_back();
    }
    this->dropMemberships(from);
    this->durable = std::min(this->durable, from - 1);
    for (auto &pending : this->pendingEntries) {
        pending.second = std::min(pending.second, from - 1);
    }
}

std::int64_t ControlLog::submit(ControlWrite write)
{
    write.sequence = this->nextSequence++;
    if (write.state) {
        this->stateSequence = write.sequence;
    }
    this->output.writes.push_back(std::move(write));
    return this->nextSequence - 1;
}

std::int64_t ControlLog::persistState()
{
    ControlWrite write;
    write.state = this->hard;
    return this->submit(std::move(write));
}

void ControlLog::send(const std::string &to, Payload payload)
{
    this->output.messages.push_back({to, std::move(payload)});
}

void ControlLog::sendHeld(const std::string &to, Payload payload)
{
    const auto sequence = this->nextSequence - 1;
    if (sequence <= this->writtenSequence) {
        this->send(to, std::move(payload));
    } else {
        this->held.emplace_back(sequence, ControlLogMessage {to, std::move(payload)});
    }
}

// Queries.

bool ControlLog::isLeader() const
{
    return this->status == Status::Leader;
}

bool ControlLog::hasLease(Time now) const
{
    return this->status == Status::Leader && this->termAt(this->commit) == this->hard.term
        && now < this->quorumTime() + this->options.lease;
}

Time ControlLog::leaderSince() const
{
    return this->led;
}

std::string ControlLog::leaderName() const
{
    return this->leader.empty() ? std::string() : memberName(this->leader);
}

std::int64_t ControlLog::term() const
{
    return this->hard.term;
}

std::int64_t ControlLog::commitIndex() const
{
    return this->commit;
}

std::int64_t ControlLog::snapshotIndex() const
{
    return this->snapshot.lastIndex;
}

const std::string &ControlLog::member() const
{
    return this->hard.member;
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
