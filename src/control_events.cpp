#include "control_events_p.h"

#include "base_event_p.h"

#include <fmt/ranges.h>

namespace agatedrum {

namespace {

constexpr std::string_view component = "control";

std::string joined(const std::vector<std::string> &list)
{
    return fmt::format("{}", fmt::join(list, ","));
}

} // namespace

void logStoreOpened(const StoreOpened &opened)
{
    logEvent(component, "store_opened",
             {{"member", opened.member},
              {"newDisk", opened.isNewDisk},
              {"group", opened.group},
              {"term", opened.term},
              {"vote", opened.vote},
              {"snapshotIndex", opened.snapshotIndex},
              {"lastIndex", opened.lastIndex},
              {"lastTerm", opened.lastTerm},
              {"voters", joined(opened.voters)},
              {"learners", joined(opened.learners)}});
}

void logVoteDecision(const VoteDecision &decision)
{
    logEvent(component, decision.isGranted ? "vote_granted" : "vote_refused",
             {{"candidate", decision.candidate},
              {"preVote", decision.isPreVote},
              {"term", decision.term},
              {"ownTerm", decision.ownTerm},
              {"lastTerm", decision.lastTerm},
              {"lastIndex", decision.lastIndex},
              {"ownLastTerm", decision.ownLastTerm},
              {"ownLastIndex", decision.ownLastIndex},
              {"reason", decision.reason}});
}

void logElection(bool isPreVote, std::int64_t term, std::int64_t lastTerm, std::int64_t lastIndex,
                 const std::vector<std::string> &voters, const std::vector<std::string> &missing)
{
    logEvent(component, "election_started",
             {{"preVote", isPreVote},
              {"term", term},
              {"lastTerm", lastTerm},
              {"lastIndex", lastIndex},
              {"voters", joined(voters)},
              {"missing", joined(missing)}});
}

void logLeadership(std::string_view event, const std::string &leader, std::int64_t term, std::string_view reason)
{
    logEvent(component, event, {{"leader", leader}, {"term", term}, {"reason", reason}});
}

void logMemberSilent(const std::string &member, std::int64_t term, std::int64_t silentMs)
{
    logEvent(component, "member_silent", {{"member", member}, {"term", term}, {"silentMs", silentMs}});
}

void logMembership(std::string_view event, std::int64_t index, const std::vector<std::string> &voters,
                   const std::vector<std::string> &learners)
{
    logEvent(component, event, {{"index", index}, {"voters", joined(voters)}, {"learners", joined(learners)}});
}

} // namespace agatedrum
