#pragma once

#include "base_clock_p.h"
#include "host_server_p.h"

#include <cstdint>
#include <optional>

namespace agatedrum {

/// What a host does with a registration.
enum class RegistrationVerdict {
    Ignore, ///< outdated, or contradicts what the backend server's answers show
    Update, ///< continues the present instance
    Follow, ///< begins another instance, which replaces the present one
    Defer ///< of another instance, while the present one still answers
};

/// What a host knows about its present backend server when a registration arrives.
struct ServerEvidence
{
    const ServerRegistration *registration = nullptr; ///< newest accepted registration; null if there is none
    std::int64_t clockMs = 0; ///< expected time of the backend server's clock
    /// Time since the newest poll that this instance has answered was sent; std::nullopt if it has answered none.
    std::optional<Micros> sinceAnswer;
    bool isGone = false; ///< it has left, or the newest poll was answered by another instance
};

/// Decides which registrations a host follows. No I/O; not thread-safe.
///
/// Registrations may come from another writer, or arrive late. An instance that answers polls as itself is kept: a
/// registration of another instance displaces it only when it stops to answer or another instance answers in its place.
/// A registration that only claims a high start time or sequence number therefore hides the true one for at most a few
/// seconds.
class RegistrationReview
{
public:
    /// @param silentTimeout time without an answer after which the present instance no longer keeps its place
    explicit RegistrationReview(Millis silentTimeout);

    /// Decides on a registration that has arrived, and remembers what later decisions depend on.
    /// @param wallMs wall clock time of this machine
    RegistrationVerdict review(const ServerRegistration &arrived, const ServerEvidence &present, Time now,
                               std::int64_t wallMs);
    /// Returns the newest deferred registration if it may be followed now.
    std::optional<ServerRegistration> takeDeferred(const ServerEvidence &present, Time now, std::int64_t wallMs);
    /// Drops the deferred registration of the backend server, which has left.
    void drop(const std::string &id);

private:
    RegistrationVerdict decide(const ServerRegistration &arrived, const ServerEvidence &present, Time now,
                               std::int64_t wallMs);
    RegistrationVerdict decideSameInstance(const ServerRegistration &arrived, const ServerEvidence &present, Time now);
    RegistrationVerdict decideOtherInstance(const ServerRegistration &arrived, const ServerEvidence &present, Time now,
                                            std::int64_t wallMs) const;

    const Millis silentTimeout;
    Time begunAt; ///< when the present instance was first followed
    Time acceptedAt; ///< when the newest registration of the present instance was accepted
    std::optional<std::int64_t> outdatedSequence; ///< of the newest registration that was ignored as outdated
    std::optional<ServerRegistration> deferred;
    Time deferredAt;
};

} // namespace agatedrum
