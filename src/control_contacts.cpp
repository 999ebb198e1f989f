#include "control_contacts_p.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace agatedrum {

namespace {

/// A leader does not name members that were silent for less: they answer each heartbeat.
constexpr Millis notableSilence(100);

/// Returns when a member was last heard that is silent for so long. A negative silence counts as none.
Time heardBefore(Time now, std::int64_t silentMs)
{
    constexpr std::int64_t maxSilentMs = 24LL * 3600 * 1000;
    return now - Millis(std::clamp<std::int64_t>(silentMs, 0, maxSilentMs));
}

} // namespace

void ControlContacts::noteHeard(const std::string &identity, Time now)
{
    const auto inserted = this->heardAt.emplace(identity, now);
    inserted.first->second = std::max(inserted.first->second, now);
}

void ControlContacts::noteToldByLeader(const std::vector<std::string> &members, const Silences &silences, Time now)
{
    for (const auto &member : members) {
        const auto found = silences.find(member);
        this->noteHeard(member, found == silences.end() ? now : heardBefore(now, found->second));
    }
    this->keepOnly(members);
}

void ControlContacts::noteToldByMember(const Silences &silences, Time now)
{
    for (const auto &[member, silentMs] : silences) {
        this->noteHeard(member, heardBefore(now, silentMs));
    }
}

void ControlContacts::forget()
{
    this->heardAt.clear();
}

void ControlContacts::keepOnly(const std::vector<std::string> &members)
{
    for (auto each = this->heardAt.begin(); each != this->heardAt.end();) {
        const bool isMember = std::find(members.begin(), members.end(), each->first) != members.end();
        each = isMember ? std::next(each) : this->heardAt.erase(each);
    }
}

std::optional<Time> ControlContacts::lastHeardAt(const std::string &identity) const
{
    const auto found = this->heardAt.find(identity);
    return found == this->heardAt.end() ? std::nullopt : std::make_optional(found->second);
}

ControlContacts::Silences ControlContacts::silences(Time now) const
{
    Silences result;
    for (const auto &[member, at] : this->heardAt) {
        result[member] = std::chrono::duration_cast<Millis>(now - at).count();
    }
    return result;
}

ControlContacts::Silences ControlContacts::notableSilences(Time now) const
{
    auto result = this->silences(now);
    for (auto each = result.begin(); each != result.end();) {
        each = Millis(each->second) > notableSilence ? std::next(each) : result.erase(each);
    }
    return result;
}

} // namespace agatedrum
