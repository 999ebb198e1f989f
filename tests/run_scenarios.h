#pragma once

#include "run_sim.h"

#include <catch2/catch.hpp>

#include <optional>
#include <string>
#include <utility>

namespace agatedrum::test {

constexpr Millis afterwards {10000}; ///< longer than all submissions of one job take

/// A job with one task that needs a whole server, so that a second run is placed at another host.
inline SimJob wholeServerJob(int workMs, int estimateMs)
{
    return {"j", {workMs}, estimateMs, 16000};
}

inline void requireNoViolation(const RunSim &sim)
{
    INFO((sim.record.violations.empty() ? std::string() : sim.record.violations.front()));
    REQUIRE_FALSE(sim.record.runs.empty());
    CHECK(sim.record.violations.empty());
}

} // namespace agatedrum::test
