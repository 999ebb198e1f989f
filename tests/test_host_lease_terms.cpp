#include "host_lease_terms_p.h"

#include <catch2/catch.hpp>

#include <cstdint>

using namespace agatedrum;

// Guards against a lease that nothing compares with the time after which a deployment's callers submit a job again.
TEST_CASE("Runs of a lost entry end before callers submit their jobs again", "[host]")
{
    constexpr Millis longestTested {5000};
    constexpr std::int64_t stopTime = 5000; // in hundredths of a millisecond

    SECTION("for callers that submit again after 1300 ms")
    {
        const auto terms = HostLeaseTerms::forCallerRetry(Millis(1300));
        REQUIRE(terms);
        CHECK(terms->entryLease() == Millis(900));
        CHECK(terms->expiryStopTime() == Millis(200));
        CHECK(terms->orderedStopTime() == Millis(800));
    }

    SECTION("for all times that are accepted, on a clock that is 2% slow and with 50 ms for the stop")
    {
        for (auto retry = HostLeaseTerms::minCallerRetry(); retry <= longestTested; ++retry) {
            const auto terms = HostLeaseTerms::forCallerRetry(retry);
            INFO(retry.count() << " ms");
            REQUIRE(terms);
            const auto retryTime = retry.count() * 100; // in the same unit
            REQUIRE((terms->entryLease() + terms->expiryStopTime()).count() * 102 + stopTime < retryTime);
            REQUIRE(terms->orderedStopTime().count() * 102 + stopTime < retryTime);
            // Two reports of the host, which are sent every 200 ms, may be lost.
            REQUIRE(terms->entryLease() >= Millis(600));
            REQUIRE(terms->entryLease() <= Millis(900));
        }
    }

    SECTION("and all shorter times are refused")
    {
        for (Millis retry {0}; retry < HostLeaseTerms::minCallerRetry(); ++retry) {
            INFO(retry.count() << " ms");
            REQUIRE_FALSE(HostLeaseTerms::forCallerRetry(retry));
        }
    }
}
