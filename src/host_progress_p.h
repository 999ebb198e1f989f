#pragma once

#include "base_clock_p.h"

#include <deque>
#include <optional>
#include <vector>

namespace agatedrum {

/// How one run gets on, by the share of its work that the backend server says is done. Not thread-safe.
///
/// Answers this load: estimates are far off, and backend servers turn slow or stop in the middle of tasks. The recent
/// speed of a run tells when it ends long before it does.
class RunProgress
{
public:
    RunProgress() = default;
    explicit RunProgress(Time startedAt);

    /// @param percent of the work that is done, 0 to 100
    void observe(int percent, Time now);
    /// Shortest time until the end that the speed of the last moments allows; nothing while too little was seen.
    std::optional<Micros> remaining(Time now) const;
    /// Time from start to end by the same reckoning; nothing while too little was seen.
    std::optional<Micros> total(Time now) const;

private:
    struct Sample
    {
        Time at;
        int percent = 0;
    };

    Time startedAt;
    std::deque<Sample> samples; ///< by time
};

/// Run time of tasks relative to their estimates, from what ended runs taught and what present runs show.
///
/// A backend server that turns slow shows it in most of its runs at once, before any of them ends; a single long task
/// says nothing about its backend server.
/// @param learned from ended runs
/// @param present of the runs whose progress is known
double presentSlowness(double learned, std::vector<double> present);

} // namespace agatedrum
