#pragma once

#include "base_clock_p.h"
#include "wire_message_p.h"

#include <cstdint>
#include <functional>
#include <string>
#include <tuple>
#include <vector>

namespace agatedrum {

/// One task of a best-effort job.
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

/// One life of a backend server that takes tasks with demands.
struct TaskServerRef
{
    std::string id;
    std::int64_t bornMs = 0; ///< when this life began; a later life has a higher value
    wire::Endpoint address;

    friend bool operator==(const TaskServerRef &a, const TaskServerRef &b)
    {
        return a.id == b.id && a.bornMs == b.bornMs && a.address == b.address;
    }
};

/// What a backend server says of itself.
struct ServerRegistration
{
    TaskServerRef server;
    std::string serviceName;
    std::string failureDomain;
    wire::Resources capacity;
    std::vector<std::string> labels;
    bool isDraining = false;
    std::int64_t clockMs = 0; ///< on the backend server's own clock
    std::int64_t sequence = 0; ///< rises with each registration of one life
};

/// Order to begin one run of a task.
struct StartOrder
{
    TaskServerRef server;
    TaskName task;
    std::int64_t run = 0; ///< above all earlier runs of the task at this backend server
    std::string spec;
    std::int64_t fence = 0; ///< fencing token
    std::int64_t holdUntilMs = 0; ///< everything that runs is kept until then, on the backend server's clock
};

struct StopOrder
{
    TaskServerRef server;
    TaskName task;
    std::int64_t run = 0;
    std::int64_t fence = 0;
};

/// Extends the time for which everything that runs is kept, and asks what runs and what has ended.
struct HoldOrder
{
    TaskServerRef server;
    std::int64_t fence = 0;
    std::int64_t seenEnds = 0; ///< ends up to this number are taken note of
    std::int64_t holdUntilMs = 0; ///< 0 for no extension
    Millis wait {0}; ///< the answer waits for an end, at most this long
};

/// How a backend server took an order.
enum class OrderOutcome {
    Accepted,
    Fenced, ///< a higher token was seen
    RunTooLow, ///< a run that is not lower was stopped or has ended there
    Late, ///< holdUntilMs has passed
    NoRoom,
    Invalid,
    Unhealthy, ///< nothing was done
    OtherLife, ///< another life of the backend server answered; nothing was done
    NotSent, ///< no connection; nothing was done
    Unanswered ///< may have been carried out, or may be later
};

const char *outcomeName(OrderOutcome outcome);

struct OrderReply
{
    OrderOutcome outcome = OrderOutcome::Unanswered;
    std::int64_t clockMs = 0; ///< of the backend server; 0 when not known
};

enum class RunEnd { Done, Failed, Stopped, Lapsed, Other };

struct RunningTask
{
    TaskName task;
    std::int64_t run = 0;
    int percent = 0; ///< of its work that is done
};

struct EndedTask
{
    std::int64_t number = 0;
    TaskName task;
    std::int64_t run = 0;
    RunEnd how = RunEnd::Other;
};

struct HoldReply
{
    OrderOutcome outcome = OrderOutcome::Unanswered;
    std::int64_t clockMs = 0;
    std::vector<RunningTask> running;
    std::vector<EndedTask> ended; ///< not taken note of yet, by rising number
};

/// Calls of a backend server that takes tasks with demands. Implementations are thread-safe, never block, and call back
/// once, on another thread.
struct TaskServerI
{
    virtual ~TaskServerI() = default;
    virtual void start(const StartOrder &order, std::function<void(const OrderReply &)> reply) = 0;
    virtual void stop(const StopOrder &order, std::function<void(const OrderReply &)> reply) = 0;
    virtual void hold(const HoldOrder &order, std::function<void(const HoldReply &)> reply) = 0;
};

} // namespace agatedrum
