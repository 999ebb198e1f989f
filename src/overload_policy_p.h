#pragma once

#include "base_clock_p.h"
#include "wire_message_p.h"

#include <cstdint>
#include <vector>

namespace agatedrum {

/// Tasks seldom take less than their estimate divided by this.
constexpr int estimateTolerance = 2;

/// A task that competes for the capacity of a host.
struct CapacityClaim
{
    std::int64_t id = 0;
    int priority = 0; ///< 0 is the most urgent
    Time latestStart; ///< a task that starts later misses the objective
    Time deadline; ///< the caller's; a result after this time is of no use
    Time waitingSince;
    wire::Resources demand;
    Micros expectedRunTime {0}; ///< on this host
};

/// A task that has reserved capacity.
struct ReservingTask
{
    wire::Resources demand;
    Micros remaining {0}; ///< expected time until the capacity is released
    int priority = 0;
};

/// Capacity of a host, and the tasks that reserve it.
struct CapacityForecast
{
    wire::Resources capacity;
    std::vector<ReservingTask> reserving;
    std::vector<std::int64_t> meanCpuMillis; ///< recent mean of the processors that each priority has reserved, from 0
};

/// Measures the recent use of a host's processors by priority. No I/O; not thread-safe.
class PriorityUse
{
public:
    /// Takes a sample of the tasks that reserve capacity.
    void observe(const std::vector<ReservingTask> &reserving, Time now);
    /// Returns the recent mean of each priority, from 0, in thousandths of a core.
    std::vector<std::int64_t> meanCpuMillis() const;

private:
    std::vector<double> mean; ///< by priority
    Time observedAt;
};

/// Claims in the order in which they get capacity.
struct ClaimOrder
{
    std::vector<CapacityClaim> onTime; ///< expected to start in time
    std::vector<CapacityClaim> deferred; ///< get what the others leave
};

/// Decides which tasks wait, and which are given up, when a host has too little room for all of them. No I/O; all
/// functions are thread-safe. Claims are sorted by startsBefore().
struct OverloadPolicy
{
    /// Returns the claims in the order in which they get capacity.
    ClaimOrder (*order)(const std::vector<CapacityClaim> &claims, const CapacityForecast &forecast, Time now);
    /// Returns the claims that one more task of this priority has to wait for.
    std::vector<CapacityClaim> (*ahead)(const std::vector<CapacityClaim> &claims, int priority, Time now);
    /// Returns whether a waiting task shall be refused, since its result would be of no use.
    bool (*givesUp)(const CapacityClaim &claim, Time now);
    /// Returns the processors that stay free for more urgent tasks when a task of this priority starts, in thousandths
    /// of a core.
    std::int64_t (*keptCpuMillis)(const CapacityForecast &forecast, int priority);
    bool heedsPriority; ///< whether the waiting time of a task depends on its priority
};

/// Serves the earliest latest start first. Tasks that are late already come after the others, so that a burst does not
/// make all tasks late.
extern const OverloadPolicy deadlinePolicy;

/// Handles a burst of long, less urgent tasks that fills the hosts while short, urgent ones arrive. The earliest latest
/// start goes first as long as all tasks can start in time. Otherwise tasks are deferred until the others can: first
/// the least urgent priority that is ahead of the late task, and of that priority the task with the most work, because
/// its delay makes room for the most callers. Tasks of the same priority do not displace each other, so callers of
/// equal right are treated alike whatever the size of their jobs. A task that has waited for some time is no longer
/// deferred, so that the lowest priority does not starve. A task that cannot end before its caller's deadline is given
/// up at once.
///
/// Tasks of 900 ms release a host's capacity too seldom for tasks of 60 ms that have to start within 70 ms. So a task
/// starts only if the part that more urgent tasks recently used, and do not use now, stays free: at most an eighth.
extern const OverloadPolicy priorityPolicy;

/// Returns whether the claim precedes the other one while both can start in time.
bool startsBefore(const CapacityClaim &a, const CapacityClaim &b);

wire::Resources freeResources(const CapacityForecast &forecast);

/// Returns the demand with the kept processors added, which must fit for a task to start.
wire::Resources withKept(wire::Resources demand, std::int64_t keptCpuMillis);

/// Returns the expected waiting time of one more task with this demand behind the claims.
Micros expectedStartDelay(const CapacityForecast &forecast, const std::vector<CapacityClaim> &claims,
                          const wire::Resources &demand);

} // namespace agatedrum
