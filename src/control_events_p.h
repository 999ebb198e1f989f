#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace agatedrum {

/// Log of the control group as a start found it on disk.
struct StoreOpened
{
    std::string member;
    bool isNewDisk = false; ///< whether the disk held no identity, so that the member has just got one
    std::string group;
    std::int64_t term = 0;
    std::string vote;
    std::int64_t snapshotIndex = 0;
    std::int64_t lastIndex = 0;
    std::int64_t lastTerm = 0;
    std::vector<std::string> voters;
    std::vector<std::string> learners;
};

/// What a member decided about the request of a candidate.
struct VoteDecision
{
    std::string candidate;
    bool isPreVote = false;
    bool isGranted = false;
    std::int64_t term = 0; ///< of the request
    std::int64_t ownTerm = 0;
    std::int64_t lastTerm = 0; ///< term of the candidate's last entry
    std::int64_t lastIndex = 0; ///< the candidate's last entry
    std::int64_t ownLastTerm = 0;
    std::int64_t ownLastIndex = 0;
    std::string_view reason; ///< of a refusal
};

/// Structured lines on the beliefs of a member of the control group. All functions are thread-safe and never block.
void logStoreOpened(const StoreOpened &opened);
void logVoteDecision(const VoteDecision &decision);
/// @param missing voters without an answer to the previous round of this member, if it was not decided.
void logElection(bool isPreVote, std::int64_t term, std::int64_t lastTerm, std::int64_t lastIndex,
                 const std::vector<std::string> &voters, const std::vector<std::string> &missing);
void logLeadership(std::string_view event, const std::string &leader, std::int64_t term, std::string_view reason);
/// A new leader counts this silence from before its term against the member.
void logMemberSilent(const std::string &member, std::int64_t term, std::int64_t silentMs);
void logMembership(std::string_view event, std::int64_t index, const std::vector<std::string> &voters,
                   const std::vector<std::string> &learners);

} // namespace agatedrum
