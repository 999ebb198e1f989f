#pragma once

#include "base_clock_p.h"
#include "wire_message_p.h"

#include <cstdint>
#include <functional>
#include <string>
#include <tuple>
#include <vector>

namespace agatedrum {

/// Identifies one task of a best-effort job.
struct TaskName
{
    std::string job;
    std::int32_t index = 0;

    friend bool operator<(const TaskName &a, const TaskName &b)
    {
        return std::tie(a.job, a.index) < std::tie(b.job, b.index);
    }
    friend bool operator==(const TaskName &a, const TaskName &b)
    {
        return std::tie(a.job, a.index) == std::tie(b.job, b.index);
    }
};

/// Identifies one instance of a backend server that runs tasks with resource demands.
struct TaskServerRef
{
    std::string id;
    std::int64_t startedAtMs = 0; ///< start time of this instance; a later instance has a higher value
    wire::Endpoint address;

    friend bool operator==(const TaskServerRef &a, const TaskServerRef &b)
    {
        return a.id == b.id && a.startedAtMs == b.startedAtMs && a.address == b.address;
    }
};

/// Registration data that a backend server sends about itself.
struct ServerRegistration
{
    TaskServerRef server;
    std::string serviceName;
    std::string failureDomain;
    wire::Resources capacity;
    std::vector<std::string> labels;
    bool isDraining = false;
    std::int64_t clockMs = 0; ///< on the backend server's own clock
    std::int64_t sequence = 0; ///< increases with each registration of one instance
};

/// Orders one run of a task.
struct StartOrder
{
    TaskServerRef server;
    TaskName task;
    std::int64_t run = 0; ///< higher than all earlier runs of the task on this backend server
    std::string spec;
    std::int64_t fence = 0; ///< fencing token
    std::int64_t leaseUntilMs = 0; ///< lease of all running tasks, on the backend server's clock
};

/// Stops one run of a task, and prevents its start if it has not begun.
struct StopOrder
{
    TaskServerRef server;
    TaskName task;
    std::int64_t run = 0;
    std::int64_t fence = 0;
};

/// Renews the lease of all running tasks, and asks which runs are active and which have ended.
struct PollOrder
{
    TaskServerRef server;
    std::int64_t fence = 0;
    std::int64_t lastSeenEnd = 0; ///< ended runs up to this number were received
    std::int64_t leaseUntilMs = 0; ///< 0 for no renewal
    Millis wait {0}; ///< maximum time for which the answer may be delayed until a run ends
};

/// Result of an order to a backend server.
enum class OrderOutcome {
    Accepted,
    Fenced, ///< the backend server has seen a higher fencing token
    RunTooLow, ///< a run with the same or a higher number was stopped or has ended there
    Late, ///< leaseUntilMs has passed
    NoCapacity,
    Invalid,
    Unhealthy, ///< the backend server is temporarily unavailable; the order was not carried out
    OtherInstance, ///< another instance of the backend server answered; the order was not carried out
    NotSent, ///< no connection; the order was not carried out
    Unanswered ///< the order may have been carried out or may still be carried out
};

/// Returns the name of the outcome for logs and reports.
const char *outcomeName(OrderOutcome outcome);

struct OrderReply
{
    OrderOutcome outcome = OrderOutcome::Unanswered;
    std::int64_t clockMs = 0; ///< clock of the backend server; 0 if unknown
};

/// How a run ended.
enum class RunEnd { Done, Failed, Stopped, LeaseExpired, Other };

/// An active run as listed by the backend server.
struct RunningTask
{
    TaskName task;
    std::int64_t run = 0;
    int percent = 0; ///< completed share of its work, in percent
};

/// An ended run as listed by the backend server.
struct EndedTask
{
    std::int64_t number = 0; ///< increases with each ended run
    TaskName task;
    std::int64_t run = 0;
    RunEnd outcome = RunEnd::Other;
};

struct PollReply
{
    OrderOutcome outcome = OrderOutcome::Unanswered;
    std::int64_t clockMs = 0;
    std::vector<RunningTask> running;
    std::vector<EndedTask> ended; ///< those after PollOrder::lastSeenEnd, in ascending order of their numbers
    bool hasAllRuns = true; ///< false if some active runs could not be read
};

/// Client of a backend server that runs tasks with resource demands. Implementations are thread-safe and never block.
/// Each call invokes its callback exactly once, on another thread.
struct TaskServerI
{
    virtual ~TaskServerI() = default;
    virtual void start(const StartOrder &order, std::function<void(const OrderReply &)> reply) = 0;
    virtual void stop(const StopOrder &order, std::function<void(const OrderReply &)> reply) = 0;
    virtual void poll(const PollOrder &order, std::function<void(const PollReply &)> reply) = 0;
};

} // namespace agatedrum
