#pragma once

#include "base_clock_p.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace agatedrum {

/// When each member of a control group was last heard, by this member itself or, as told, by others.
///
/// Of two times the later one counts. Others may know of later contacts, so that a silence may seem too long until they
/// tell it or the member answers. Not thread-safe.
class ControlContacts
{
public:
    /// Silences by identity, in milliseconds.
    using Silences = std::map<std::string, std::int64_t>;

    /// Notes a message of the member.
    void noteHeard(const std::string &identity, Time now);
    /// Notes what a leader tells: members of the list that it does not name were heard just now.
    void noteToldByLeader(const std::vector<std::string> &members, const Silences &silences, Time now);
    /// Notes what a member tells of the members that it knows of.
    void noteToldByMember(const Silences &silences, Time now);
    /// Forgets all, as under a leader that does not tell silences.
    void forget();
    /// Forgets the members that are not in the list.
    void keepOnly(const std::vector<std::string> &members);

    /// Returns when the member was last heard, or std::nullopt if that is not known.
    std::optional<Time> lastHeardAt(const std::string &identity) const;
    /// Returns all known silences.
    Silences silences(Time now) const;
    /// Returns the silences that are longer than some heartbeat intervals.
    Silences notableSilences(Time now) const;

private:
    std::map<std::string, Time> heardAt;
};

} // namespace agatedrum
