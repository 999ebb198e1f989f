#include "control_log_p.h"

#include "agatedrum/config.h"
#include "base_log_p.h"
#include "control_codec_p.h"
#include "control_events_p.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace agatedrum {

namespace {

/// Limit of the entries in one AppendEntries message.
constexpr std::int64_t maxEntriesPerMessage = 256;
constexpr std::int64_t maxMessageBytes = AGATEDRUM_CONTROL_MESSAGE_BYTES;
constexpr std::int64_t maxUnacknowledgedBytes = AGATEDRUM_CONTROL_WINDOW_BYTES;
/// Size of the committed entries after which takeOutput() leaves further ones to the next call.
constexpr std::size_t maxOutputBytes = 1024UL * 1024;
/// Time after which an unacknowledged snapshot is sent again.
constexpr Millis snapshotRetryInterval(500);
/// Minimum time between two immediate retries after rejected AppendEntries. Rejections that arrive sooner are handled
/// by the next heartbeat, since retrying each of them at once would start a further exchange with a follower that keeps
/// rejecting.
constexpr Millis rejectionRetryInterval(5);

std::int64_t entryBytes(const wire::LogEntry &entry)
{
    return static_cast<std::int64_t>(entry.command.size());
}

} // namespace

std::string memberIdentity(const std::string &name, std::uint64_t diskId)
{
    return fmt::format("{}/{:016x}", name, diskId);
}

std::string memberName(const std::string &identity)
{
    return identity.substr(0, identity.rfind('/'));
}

ControlLog::ControlLog(ControlLogOptions options, ControlStoreContent loaded, Time now)
    : options(std::move(options))
    , random(this->options.seed)
    , listedNames(this->options.group)
    , hardState(std::move(loaded.state))
{
    if (loaded.snapshot) {
        this->snapshot = std::move(*loaded.snapshot);
        this->output.restoredSnapshot = this->snapshot;
    }
    this->committedIndex = this->snapshot.lastIndex;
    this->deliveredIndex = this->snapshot.lastIndex;
    this->memberships.push_back(
        {this->snapshot.lastIndex, this->snapshot.voters, this->snapshot.learners, this->snapshot.domains});
    for (auto &entry : loaded.entries) {
        this->adoptMembership(entry.index, entry.command);
        this->entries.push_back(std::move(entry));
    }
    this->durableIndex = this->lastIndex();
    const bool isNewDisk = this->hardState.member.empty();
    if (isNewDisk) {
        this->hardState.member = this->options.newMemberId;
        this->persistHardState();
    }
    logStoreOpened({this->hardState.member, isNewDisk, this->hardState.group, this->hardState.term,
                    this->hardState.vote, this->snapshot.lastIndex, this->lastIndex(), this->termAt(this->lastIndex()),
                    this->membership().voters, this->membership().learners});
    // Before a restart this member may have acknowledged a leader's lease, so it treats the leader as alive for now.
    this->leaderLastHeardAt = now;
    this->resetElectionTimer(now);
}

void ControlLog::handle(const std::string &from, const Payload &payload, Time now)
{
    const auto *announcement = std::get_if<wire::RequestVote>(&payload);
    const bool isForObserver
        = std::holds_alternative<wire::VoteReply>(payload) || (announcement && announcement->group.empty());
    if (this->options.isObserver && !isForObserver) {
        return;
    }
    if (const auto *request = std::get_if<wire::RequestVote>(&payload)) {
        this->handleRequestVote(from, *request, now);
    } else if (const auto *vote = std::get_if<wire::VoteReply>(&payload)) {
        this->handleVoteReply(*vote, now);
    } else if (const auto *append = std::get_if<wire::AppendEntries>(&payload)) {
        this->handleAppendEntries(from, *append, now);
    } else if (const auto *appendReply = std::get_if<wire::AppendReply>(&payload)) {
        this->handleAppendReply(from, *appendReply, now);
    } else if (const auto *install = std::get_if<wire::InstallSnapshot>(&payload)) {
        this->handleInstallSnapshot(from, *install, now);
    } else if (const auto *installReply = std::get_if<wire::InstallReply>(&payload)) {
        this->handleInstallReply(*installReply, now);
    } else if (const auto *chunk = std::get_if<wire::SnapshotChunk>(&payload)) {
        this->handleSnapshotChunk(from, *chunk, now);
    } else if (const auto *chunkReply = std::get_if<wire::SnapshotChunkReply>(&payload)) {
        this->handleChunkReply(*chunkReply, now);
    } else if (const auto *order = std::get_if<wire::TimeoutNow>(&payload)) {
        this->handleTimeoutNow(*order, now);
    } else if (const auto *leaving = std::get_if<wire::VoterLeaving>(&payload)) {
        this->handleVoterLeaving(*leaving, now);
    }
}

void ControlLog::tick(Time now)
{
    if (this->hardState.group.empty() || !this->isMember(this->hardState.member) || this->isWithoutLeader(now)) {
        this->bootstrapOrAnnounce(now);
    }
    this->requestReplacement(now);
    if (this->hardState.group.empty()) {
        return;
    }
    if (this->status == Status::Leader) {
        if (now - this->quorumAcknowledgedAt() > this->options.maxElectionTimeout
            && now - this->leadershipStartedAt > this->options.maxElectionTimeout) {
            log(LogLevel::Warning, "control", "lost the quorum in term {}", this->hardState.term);
            logLeadership("quorum_lost", this->hardState.member, this->hardState.term, "no answers of a quorum");
            this->becomeFollower(this->hardState.term, {});
            this->resetElectionTimer(now);
            return;
        }
        if (this->areWritesRefused && this->committedIndex > this->durableIndex) {
            log(LogLevel::Warning, "control", "the disk refuses writes; handing over the leadership");
            logLeadership("leadership_handed_over", this->hardState.member, this->hardState.term,
                          "the disk refuses writes");
            this->transferLeadership(now);
            return;
        }
        this->proposeMembershipChange(now);
        this->announceLeadership(now);
        if (now >= this->heartbeatDueAt) {
            this->replicateToAll(now);
        }
    } else if (now >= this->electionDueAt && this->mayCampaign() && this->hardStateSequence <= this->writtenSequence) {
        // An election cannot be won before the newest term and vote are on disk.
        this->startPreVote(now);
    }
}

void ControlLog::onWritten(std::int64_t sequence, Time now)
{
    this->writtenSequence = std::max(this->writtenSequence, sequence);
    while (!this->pendingEntryWrites.empty() && this->pendingEntryWrites.front().first <= this->writtenSequence) {
        this->durableIndex = std::max(this->durableIndex, this->pendingEntryWrites.front().second);
        this->pendingEntryWrites.pop_front();
    }
    while (!this->messagesAwaitingWrite.empty() && this->messagesAwaitingWrite.front().first <= this->writtenSequence) {
        this->output.messages.push_back(std::move(this->messagesAwaitingWrite.front().second));
        this->messagesAwaitingWrite.pop_front();
    }
    if (this->status == Status::Candidate && !this->isPreVoting && this->hardStateSequence <= this->writtenSequence) {
        this->votes.insert(this->hardState.member);
        this->countVotes(now);
    }
    if (this->status == Status::Leader) {
        this->advanceCommittedIndex();
    }
}

std::optional<std::int64_t> ControlLog::propose(std::string command, Time now)
{
    if (this->status != Status::Leader) {
        return std::nullopt;
    }
    this->appendEntry(std::move(command));
    // Sends the entry without waiting for the leader's own write, so that both proceed in parallel.
    this->replicateToAll(now);
    return this->lastIndex();
}

void ControlLog::compact(std::int64_t index, std::string data)
{
    if (index <= this->snapshot.lastIndex || index > this->deliveredIndex) {
        return;
    }
    wire::SnapshotFile newSnapshot;
    newSnapshot.lastIndex = index;
    newSnapshot.lastTerm = this->termAt(index);
    const auto membershipAtIndex = std::find_if(this->memberships.rbegin(), this->memberships.rend(),
                                                [index](const Membership &each) { return each.index <= index; });
    newSnapshot.voters = membershipAtIndex->voters;
    newSnapshot.learners = membershipAtIndex->learners;
    newSnapshot.domains = membershipAtIndex->domains;
    newSnapshot.data = std::move(data);
    while (!this->entries.empty() && this->entries.front().index <= index) {
        this->committedEntryBytes -= entryBytes(this->entries.front());
        this->entries.pop_front();
    }
    this->memberships.erase(this->memberships.begin(), std::prev(membershipAtIndex.base()));
    this->snapshot = std::move(newSnapshot);
    ControlWrite write;
    write.state = this->hardState;
    write.snapshot = this->snapshot;
    write.entries.assign(this->entries.begin(), this->entries.end());
    this->submit(std::move(write));
}

ControlLogOutput ControlLog::takeOutput()
{
    std::size_t bytes = 0;
    while (this->deliveredIndex < this->committedIndex && bytes < maxOutputBytes) {
        const auto *entry = this->entryAt(++this->deliveredIndex);
        bytes += entry->command.size();
        this->output.committed.push_back(*entry);
    }
    return std::exchange(this->output, {});
}

// Replication.

void ControlLog::appendEntry(std::string command)
{
    wire::LogEntry entry;
    entry.index = this->lastIndex() + 1;
    entry.term = this->hardState.term;
    entry.command = std::move(command);
    this->adoptMembership(entry.index, entry.command);
    this->logAdoptedMembership(entry.index);
    this->entries.push_back(entry);
    ControlWrite write;
    write.entries.push_back(std::move(entry));
    this->pendingEntryWrites.emplace_back(this->submit(std::move(write)), this->lastIndex());
}

void ControlLog::replicateToAll(Time now)
{
    this->heartbeatDueAt = now + this->options.heartbeatInterval;
    this->contacts.noteHeard(this->hardState.member, now); // nobody answers for the leader
    for (const auto &identity : this->replicationTargets()) {
        this->replicate(identity, this->progress[identity], now);
    }
}

void ControlLog::replicate(const std::string &identity, Progress &progress, Time now)
{
    if (progress.nextIndex <= this->snapshot.lastIndex) {
        this->sendSnapshot(identity, progress, now);
    }
    wire::AppendEntries append;
    append.term = this->hardState.term;
    append.member = this->hardState.member;
    append.group = this->hardState.group;
    append.commitIndex = this->committedIndex;
    append.round = now.time_since_epoch().count();
    append.__set_silentMs(this->contacts.notableSilences(now));
    // If the follower needs the snapshot, this message has no entries and serves as a heartbeat, which prevents an
    // election.
    append.prevIndex = std::max(progress.nextIndex - 1, this->snapshot.lastIndex);
    append.prevTerm = this->termAt(append.prevIndex);
    for (const auto last = this->lastIndexToSend(progress); progress.nextIndex <= last; ++progress.nextIndex) {
        append.entries.push_back(*this->entryAt(progress.nextIndex));
    }
    this->send(memberName(identity), std::move(append));
}

std::int64_t ControlLog::lastIndexToSend(const Progress &progress) const
{
    if (progress.nextIndex <= this->snapshot.lastIndex) {
        return progress.nextIndex - 1;
    }
    std::int64_t unacknowledgedBytes = 0;
    for (auto index = std::max(progress.matchIndex, this->snapshot.lastIndex) + 1; index < progress.nextIndex;
         ++index) {
        unacknowledgedBytes += entryBytes(*this->entryAt(index));
        if (unacknowledgedBytes >= maxUnacknowledgedBytes) {
            return progress.nextIndex - 1;
        }
    }
    const auto end = std::min(this->lastIndex(), progress.nextIndex + maxEntriesPerMessage - 1);
    auto last = progress.nextIndex - 1;
    std::int64_t bytes = 0;
    while (last < end) {
        bytes += entryBytes(*this->entryAt(last + 1));
        if (bytes > maxMessageBytes && last >= progress.nextIndex) {
            break;
        }
        ++last;
    }
    return last;
}

void ControlLog::sendSnapshot(const std::string &identity, Progress &progress, Time now)
{
    if (progress.snapshotIndex != this->snapshot.lastIndex) {
        progress.snapshotIndex = this->snapshot.lastIndex;
        progress.snapshotOffset = 0;
        progress.snapshotSentAt = Time {};
    }
    if (progress.snapshotSentAt != Time {} && now - progress.snapshotSentAt < snapshotRetryInterval) {
        return;
    }
    progress.snapshotSentAt = now;
    this->send(memberName(identity), this->snapshotMessage(progress, now));
}

Payload ControlLog::snapshotMessage(const Progress &progress, Time now) const
{
    const auto fill = [&](auto &message) {
        message.term = this->hardState.term;
        message.member = this->hardState.member;
        message.group = this->hardState.group;
        message.lastIndex = this->snapshot.lastIndex;
        message.lastTerm = this->snapshot.lastTerm;
        message.voters = this->snapshot.voters;
        message.learners = this->snapshot.learners;
        message.domains = this->snapshot.domains;
        message.round = now.time_since_epoch().count();
    };
    if (this->snapshotBytes() <= maxMessageBytes) {
        wire::InstallSnapshot install;
        fill(install);
        install.data = this->snapshot.data;
        return install;
    }
    wire::SnapshotChunk chunk;
    fill(chunk);
    chunk.offset = progress.snapshotOffset;
    chunk.totalBytes = this->snapshotBytes();
    chunk.data = this->snapshot.data.substr(static_cast<std::size_t>(chunk.offset), maxMessageBytes);
    return chunk;
}

void ControlLog::handleAppendEntries(const std::string &from, const wire::AppendEntries &append, Time now)
{
    if (!this->acceptsGroup(append.group)) {
        return;
    }
    wire::AppendReply reply;
    reply.round = append.round;
    reply.member = this->hardState.member;
    reply.failureDomain = this->options.failureDomain;
    if (append.term < this->hardState.term) {
        reply.term = this->hardState.term;
        reply.group = this->hardState.group;
        this->sendAfterWrite(from, std::move(reply));
        return;
    }
    this->followLeader(append.group, append.term, append.member, now);
    this->learnSilences(append, now);

    reply.term = this->hardState.term;
    reply.group = this->hardState.group;
    const bool isPreviousEntryMatching = append.prevIndex <= this->snapshot.lastIndex
        || (append.prevIndex <= this->lastIndex() && this->termAt(append.prevIndex) == append.prevTerm);
    // Entries up to the snapshot are committed, so they match the leader's log and need no comparison.
    if (!isPreviousEntryMatching) {
        reply.matchIndex = std::min(this->lastIndex(), append.prevIndex - 1);
        if (append.prevIndex <= this->lastIndex()) {
            const auto conflictingTerm = this->termAt(append.prevIndex);
            while (reply.matchIndex > this->snapshot.lastIndex && this->termAt(reply.matchIndex) == conflictingTerm) {
                --reply.matchIndex;
            }
        }
        this->sendAfterWrite(from, std::move(reply));
        return;
    }
    if (!this->appendReceivedEntries(append.entries)) {
        return;
    }
    const auto lastMatchIndex = append.entries.empty() ? append.prevIndex : append.entries.back().index;
    this->setCommittedIndex(std::min(append.commitIndex, lastMatchIndex));
    this->sendAppendReply(from, append, lastMatchIndex);
}

void ControlLog::sendAppendReply(const std::string &to, const wire::AppendEntries &append, std::int64_t lastMatchIndex)
{
    wire::AppendReply reply;
    reply.term = this->hardState.term;
    reply.ok = true;
    reply.round = append.round;
    reply.member = this->hardState.member;
    reply.failureDomain = this->options.failureDomain;
    reply.group = this->hardState.group;
    reply.matchIndex = std::min(lastMatchIndex, this->durableIndex);
    const bool isDurable = lastMatchIndex <= this->durableIndex;
    // Acknowledges the leader's lease at once: this does not depend on the entries, so a slow disk does not delay it.
    if (this->hardStateSequence <= this->writtenSequence) {
        this->send(to, reply);
    }
    if (!isDurable || this->hardStateSequence > this->writtenSequence) {
        reply.matchIndex = lastMatchIndex;
        this->sendAfterWrite(to, std::move(reply));
    }
}

bool ControlLog::appendReceivedEntries(const std::vector<wire::LogEntry> &received)
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
            if (entry.index <= this->committedIndex) {
                log(LogLevel::Error, "control", "entry {} conflicts with a committed entry; message ignored",
                    entry.index);
                return false;
            }
            this->truncateFrom(entry.index);
            write.truncateFrom = entry.index;
        }
        this->adoptMembership(entry.index, entry.command);
        this->logAdoptedMembership(entry.index);
        this->entries.push_back(entry);
        write.entries.push_back(entry);
    }
    if (!write.entries.empty()) {
        this->pendingEntryWrites.emplace_back(this->submit(std::move(write)), this->lastIndex());
    }
    return true;
}

void ControlLog::handleAppendReply(const std::string &from, const wire::AppendReply &reply, Time now)
{
    if (reply.term > this->hardState.term && reply.group == this->hardState.group) {
        this->becomeFollower(reply.term, {});
        return;
    }
    if (this->status != Status::Leader) {
        return;
    }
    const auto found = this->progress.find(reply.member);
    if (found == this->progress.end()) {
        if (memberName(reply.member) == from && (reply.group.empty() || reply.group == this->hardState.group)) {
            this->rememberUnknownMember(from, {reply.member, reply.failureDomain, now});
        }
        return;
    }
    if (reply.term != this->hardState.term || reply.group != this->hardState.group) {
        return;
    }
    auto &progress = found->second;
    this->noteHeard(reply.member, now);
    progress.failureDomain = reply.failureDomain;
    progress.acknowledgedSentAt = std::max(progress.acknowledgedSentAt, Time(Micros(reply.round)));
    this->unknownMembers.erase(from);
    if (!reply.ok) {
        progress.nextIndex = std::max(progress.matchIndex + 1, std::min(progress.nextIndex - 1, reply.matchIndex + 1));
        if (now - progress.rejectionRetriedAt < rejectionRetryInterval) {
            return;
        }
        progress.rejectionRetriedAt = now;
        if (progress.nextIndex > this->snapshot.lastIndex) {
            this->replicate(reply.member, progress, now);
        } else {
            this->sendSnapshot(reply.member, progress, now);
        }
        return;
    }
    progress.matchIndex = std::max(progress.matchIndex, reply.matchIndex);
    progress.nextIndex = std::max(progress.nextIndex, progress.matchIndex + 1);
    this->advanceCommittedIndex();
    if (this->lastIndexToSend(progress) >= progress.nextIndex) {
        this->replicate(reply.member, progress, now);
    }
}

void ControlLog::handleInstallSnapshot(const std::string &from, const wire::InstallSnapshot &install, Time now)
{
    if (!this->acceptsGroup(install.group) || install.term < this->hardState.term) {
        return;
    }
    this->followLeader(install.group, install.term, install.member, now);
    if (install.lastIndex > this->committedIndex) {
        this->installSnapshot(install);
    }
    wire::InstallReply reply;
    reply.term = this->hardState.term;
    reply.lastIndex = install.lastIndex;
    reply.member = this->hardState.member;
    reply.group = this->hardState.group;
    reply.round = install.round;
    this->sendAfterWrite(from, std::move(reply));
}

void ControlLog::installSnapshot(const wire::InstallSnapshot &install)
{
    // Keeps the entries after the snapshot if the log matches it, since they may have been acknowledged already.
    const bool isSuffixKept = this->termAt(install.lastIndex) == install.lastTerm;
    while (!this->entries.empty() && (!isSuffixKept || this->entries.front().index <= install.lastIndex)) {
        this->entries.pop_front();
    }
    if (!isSuffixKept) {
        this->memberships.clear();
        this->pendingEntryWrites.clear();
        this->durableIndex = 0;
    }
    this->memberships.erase(std::remove_if(this->memberships.begin(), this->memberships.end(),
                                           [&](const Membership &each) { return each.index <= install.lastIndex; }),
                            this->memberships.end());
    this->memberships.insert(this->memberships.begin(),
                             {install.lastIndex, install.voters, install.learners, install.domains});
    this->snapshot.lastIndex = install.lastIndex;
    this->snapshot.lastTerm = install.lastTerm;
    this->snapshot.voters = install.voters;
    this->snapshot.learners = install.learners;
    this->snapshot.domains = install.domains;
    this->snapshot.data = install.data;
    this->committedIndex = install.lastIndex;
    this->deliveredIndex = install.lastIndex;
    this->committedEntryBytes = 0;
    this->output.restoredSnapshot = this->snapshot;
    ControlWrite write;
    write.state = this->hardState;
    write.snapshot = this->snapshot;
    write.entries.assign(this->entries.begin(), this->entries.end());
    this->pendingEntryWrites.emplace_back(this->submit(std::move(write)), this->lastIndex());
}

void ControlLog::handleSnapshotChunk(const std::string &from, const wire::SnapshotChunk &chunk, Time now)
{
    if (!this->acceptsGroup(chunk.group) || chunk.term < this->hardState.term || chunk.totalBytes <= 0) {
        return;
    }
    this->receiveChunk(chunk);
    auto &received = this->incomingSnapshot;
    if (static_cast<std::int64_t>(received.data.size()) == received.totalBytes
        || chunk.lastIndex <= this->committedIndex) {
        wire::InstallSnapshot install;
        install.term = chunk.term;
        install.lastIndex = chunk.lastIndex;
        install.lastTerm = chunk.lastTerm;
        install.data = std::move(received.data);
        install.voters = chunk.voters;
        install.learners = chunk.learners;
        install.domains = chunk.domains;
        install.member = chunk.member;
        install.group = chunk.group;
        install.round = chunk.round;
        received = {};
        this->handleInstallSnapshot(from, install, now);
        return;
    }
    this->followLeader(chunk.group, chunk.term, chunk.member, now);
    wire::SnapshotChunkReply reply;
    reply.term = this->hardState.term;
    reply.lastIndex = chunk.lastIndex;
    reply.nextOffset = static_cast<std::int64_t>(received.data.size());
    reply.member = this->hardState.member;
    reply.group = this->hardState.group;
    reply.round = chunk.round;
    this->sendAfterWrite(from, std::move(reply));
}

void ControlLog::receiveChunk(const wire::SnapshotChunk &chunk)
{
    auto &received = this->incomingSnapshot;
    // A leader sends the same snapshot during its whole term; another one may encode the same state differently.
    if (chunk.term != received.term || chunk.lastIndex != received.lastIndex
        || chunk.totalBytes != received.totalBytes) {
        received = {};
        received.term = chunk.term;
        received.lastIndex = chunk.lastIndex;
        received.totalBytes = chunk.totalBytes;
    }
    if (chunk.offset == static_cast<std::int64_t>(received.data.size())) {
        received.data += chunk.data;
    }
}

void ControlLog::handleChunkReply(const wire::SnapshotChunkReply &reply, Time now)
{
    const auto found = this->progress.find(reply.member);
    if (this->status != Status::Leader || reply.term != this->hardState.term || found == this->progress.end()) {
        return;
    }
    auto &progress = found->second;
    this->noteHeard(reply.member, now);
    const bool isNextOffset = reply.nextOffset >= 0 && reply.nextOffset < this->snapshotBytes()
        && reply.nextOffset != progress.snapshotOffset;
    if (reply.lastIndex != this->snapshot.lastIndex || progress.snapshotIndex != reply.lastIndex || !isNextOffset
        || progress.nextIndex > this->snapshot.lastIndex) {
        return;
    }
    progress.snapshotOffset = reply.nextOffset;
    progress.snapshotSentAt = Time {};
    this->sendSnapshot(reply.member, progress, now);
}

void ControlLog::handleInstallReply(const wire::InstallReply &reply, Time now)
{
    const auto found = this->progress.find(reply.member);
    if (this->status != Status::Leader || reply.term != this->hardState.term || found == this->progress.end()) {
        return;
    }
    auto &progress = found->second;
    this->noteHeard(reply.member, now);
    progress.matchIndex = std::max(progress.matchIndex, reply.lastIndex);
    progress.nextIndex = std::max(progress.nextIndex, progress.matchIndex + 1);
    progress.snapshotSentAt = Time {};
    this->advanceCommittedIndex();
    this->replicate(reply.member, progress, now);
}

void ControlLog::advanceCommittedIndex()
{
    std::vector<std::int64_t> matches;
    for (const auto &voter : this->membership().voters) {
        const auto found = this->progress.find(voter);
        matches.push_back(voter == this->hardState.member ? this->durableIndex
                              : found == progress.end()   ? 0
                                                          : found->second.matchIndex);
    }
    const auto index = this->majorityValue(std::move(matches));
    // Raft commits entries of earlier terms only together with an entry of the current term.
    if (index > this->committedIndex && this->termAt(index) == this->hardState.term) {
        this->setCommittedIndex(index);
    }
}

void ControlLog::setCommittedIndex(std::int64_t index)
{
    while (this->committedIndex < index) {
        ++this->committedIndex;
        this->committedEntryBytes += entryBytes(*this->entryAt(this->committedIndex));
    }
}

std::int64_t ControlLog::majorityValue(std::vector<std::int64_t> values) const
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

void ControlLog::truncateFrom(std::int64_t from)
{
    while (!this->entries.empty() && this->entries.back().index >= from) {
        this->entries.pop_back();
    }
    this->removeMembershipsFrom(from);
    this->durableIndex = std::min(this->durableIndex, from - 1);
    for (auto &pending : this->pendingEntryWrites) {
        pending.second = std::min(pending.second, from - 1);
    }
}

std::int64_t ControlLog::submit(ControlWrite write)
{
    write.sequence = this->nextSequence++;
    if (write.state) {
        this->hardStateSequence = write.sequence;
    }
    this->output.writes.push_back(std::move(write));
    return this->nextSequence - 1;
}

std::int64_t ControlLog::persistHardState()
{
    ControlWrite write;
    write.state = this->hardState;
    return this->submit(std::move(write));
}

void ControlLog::send(const std::string &to, Payload payload)
{
    this->output.messages.push_back({to, std::move(payload)});
}

void ControlLog::sendAfterWrite(const std::string &to, Payload payload)
{
    const auto sequence = this->nextSequence - 1;
    if (sequence <= this->writtenSequence) {
        this->send(to, std::move(payload));
    } else {
        this->messagesAwaitingWrite.emplace_back(sequence, ControlLogMessage {to, std::move(payload)});
    }
}

} // namespace agatedrum
