#include "host_registration_p.h"

namespace agatedrum {

namespace {

constexpr Millis maxClockJump {60000}; ///< clocks of machines jump by seconds; a start time beyond this cannot be
constexpr Millis deferredRetention {3000}; ///< spans a few registrations of a true instance, which are repeated
/// A registration is seldom delayed for longer than this while newer ones of the same instance are lost.
constexpr Millis sequenceRetention {3000};
/// An instance that has been silent for this long runs no tasks any more, since their leases have expired.
constexpr Millis maxSilence {5000};

bool isSameInstance(const TaskServerRef &a, const TaskServerRef &b)
{
    return a.id == b.id && a.startedAtMs == b.startedAtMs;
}

/// Returns true if both name the same backend server, apart from its start.
bool isSamePlace(const ServerRegistration &a, const ServerRegistration &b)
{
    return a.server.id == b.server.id && a.server.address == b.server.address && a.serviceName == b.serviceName;
}

bool isPlausibleStart(std::int64_t startedAtMs, std::int64_t wallMs)
{
    return startedAtMs <= wallMs + maxClockJump.count();
}

/// Returns true if the registration shows a restart at the same place: all counts of an instance start anew.
bool isRestart(const ServerRegistration &arrived, const ServerRegistration &previous, std::int64_t previousClockMs)
{
    return isSamePlace(arrived, previous) && arrived.sequence <= previous.sequence
        && arrived.clockMs <= previousClockMs;
}

} // namespace

RegistrationReview::RegistrationReview(Millis silentTimeout)
    : silentTimeout(silentTimeout)
{
}

RegistrationVerdict RegistrationReview::review(const ServerRegistration &arrived, const ServerEvidence &present,
                                               Time now, std::int64_t wallMs)
{
    const auto verdict = this->decide(arrived, present, now, wallMs);
    if (verdict == RegistrationVerdict::Defer) {
        if (this->deferred && isSameInstance(arrived.server, this->deferred->server)
            && arrived.sequence < this->deferred->sequence) {
            return verdict; // a newer one is deferred already
        }
        this->deferred = arrived;
        this->deferredAt = now;
    } else if (verdict != RegistrationVerdict::Ignore) {
        this->acceptedAt = now;
        this->outdatedSequence.reset();
    }
    if (verdict == RegistrationVerdict::Follow) {
        this->begunAt = now;
        this->deferred.reset();
    }
    return verdict;
}

std::optional<ServerRegistration> RegistrationReview::takeDeferred(const ServerEvidence &present, Time now,
                                                                   std::int64_t wallMs)
{
    if (!this->deferred || now - this->deferredAt > deferredRetention) {
        this->deferred.reset();
        return std::nullopt;
    }
    return this->decide(*this->deferred, present, now, wallMs) == RegistrationVerdict::Follow ? this->deferred
                                                                                              : std::nullopt;
}

void RegistrationReview::drop(const std::string &id)
{
    if (this->deferred && this->deferred->server.id == id) {
        this->deferred.reset();
    }
}

RegistrationVerdict RegistrationReview::decide(const ServerRegistration &arrived, const ServerEvidence &present,
                                               Time now, std::int64_t wallMs)
{
    if (present.registration == nullptr) {
        return RegistrationVerdict::Follow;
    }
    return isSameInstance(arrived.server, present.registration->server)
        ? this->decideSameInstance(arrived, present, now)
        : this->decideOtherInstance(arrived, present, now, wallMs);
}

RegistrationVerdict RegistrationReview::decideSameInstance(const ServerRegistration &arrived,
                                                           const ServerEvidence &present, Time now)
{
    if (!isSamePlace(arrived, *present.registration)) {
        // An instance keeps its address and service, so one of the two registrations is another writer's.
        return present.sinceAnswer ? RegistrationVerdict::Ignore : RegistrationVerdict::Follow;
    }
    if (arrived.sequence >= present.registration->sequence) {
        return RegistrationVerdict::Update;
    }
    if (present.sinceAnswer && arrived.clockMs + sequenceRetention.count() <= present.clockMs) {
        return RegistrationVerdict::Ignore; // the backend server's clock shows that it is a delayed one
    }
    // A single delayed registration says nothing. Rising numbers without any higher one show the true numbering.
    const bool isContinued = this->outdatedSequence && arrived.sequence > *this->outdatedSequence;
    this->outdatedSequence = arrived.sequence;
    return isContinued && now - this->acceptedAt >= sequenceRetention ? RegistrationVerdict::Update
                                                                      : RegistrationVerdict::Ignore;
}

RegistrationVerdict RegistrationReview::decideOtherInstance(const ServerRegistration &arrived,
                                                            const ServerEvidence &present, Time now,
                                                            std::int64_t wallMs) const
{
    const auto presentStartMs = present.registration->server.startedAtMs;
    const bool isEarlier = arrived.server.startedAtMs < presentStartMs;
    if (!present.sinceAnswer) {
        const bool mayBeOdd = !isPlausibleStart(presentStartMs, wallMs) || now - this->begunAt >= this->silentTimeout;
        return isEarlier && !mayBeOdd ? RegistrationVerdict::Ignore : RegistrationVerdict::Follow;
    }
    if (isEarlier) {
        // A clock that was set back between two starts gives the later instance the earlier start time.
        return *present.sinceAnswer >= maxSilence ? RegistrationVerdict::Follow : RegistrationVerdict::Ignore;
    }
    const bool isPlausible = isPlausibleStart(arrived.server.startedAtMs, wallMs);
    const auto allowedSilence = isPlausible ? this->silentTimeout : maxSilence;
    const bool isRestarted = isPlausible && arrived.server.startedAtMs > presentStartMs
        && isRestart(arrived, *present.registration, present.clockMs);
    return present.isGone || isRestarted || *present.sinceAnswer >= allowedSilence ? RegistrationVerdict::Follow
                                                                                   : RegistrationVerdict::Defer;
}

} // namespace agatedrum
