#pragma once

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace agatedrum::tools {

/// Settings of the emulated backend server, from the command line.
struct EmulatorOptions
{
    std::string host = "127.0.0.1";
    int port = 0;
    std::string name = "backend";
    std::string service = "default";
    int slots = 8;
    int connections = 64;
    double speed = 1.0; ///< the run time of a task is its work divided by this
    std::int64_t workUs = 100000; ///< work of a task whose body has no "workUs"
    std::string agentUrl; ///< base URL of the agent to announce to; empty for none
};

/// Emulates a backend server on one thread. Tasks only wait for their run time; the server counts starts and ends of
/// each task. Not thread-safe.
class Emulator
{
public:
    /// Throws std::runtime_error if the address cannot be bound or the agent URL is invalid.
    explicit Emulator(EmulatorOptions options);
    ~Emulator();
    Emulator(const Emulator &) = delete;
    Emulator &operator=(const Emulator &) = delete;

    /// Serves requests until SIGTERM or SIGINT. Then announces that it leaves, waits for running tasks, and returns. A
    /// second signal ends it at once.
    void run();

private:
    struct EventFree
    {
        void operator()(event *pointer) const
        {
            event_free(pointer);
        }
    };
    using EventPtr = std::unique_ptr<event, EventFree>;

    /// How often a task started and ended on this server.
    struct TaskRecord
    {
        int started = 0;
        int finished = 0;
        int cut = 0; ///< the client closed the connection before the answer
    };

    /// A running task.
    struct Run
    {
        Emulator *emulator = nullptr;
        evhttp_request *request = nullptr;
        std::string task;
        std::string answer;
        bool isTruncated = false; ///< sends half of the answer, then closes the connection
        bool isDropped = false; ///< closes the connection without an answer
        int status = 200;
        EventPtr timer;
        EventPtr closeEvent;
    };

    void bind();
    EventPtr addTimer(std::int64_t micros, event_callback_fn callback, void *argument);

    void handleRun(evhttp_request *request);
    void handleRecord(evhttp_request *request);
    void handleFault(evhttp_request *request);
    std::int64_t runMicros(const std::string &body) const;
    std::string makeAnswer(const std::string &task, const std::string &body) const;
    void finishRun(Run *run);
    static void sendTruncatedAnswer(const Run &run);
    /// Removes a task whose client closed the connection before the answer.
    void removeDisconnectedRun(Run *run);

    /// Sends an announcement to the agent and schedules the next one.
    void announce();
    /// Handles the answer of the agent to an announcement; nullptr if there was none.
    void handleAnnounceReply(evhttp_request *request);
    void stopListening(double seconds);
    /// Starts the shutdown. A second call ends the event loop at once.
    void beginShutdown();

    const EmulatorOptions options;
    std::unique_ptr<event_base, decltype(&event_base_free)> base;
    std::unique_ptr<evhttp, decltype(&evhttp_free)> http;
    evhttp_bound_socket *socket = nullptr;
    evhttp_connection *agent = nullptr;

    std::map<std::string, std::function<void(evhttp_request *)>> routes;
    std::map<Run *, std::unique_ptr<Run>> runs;
    std::map<std::string, TaskRecord> taskRecords;
    std::uint64_t refused = 0; ///< tasks refused because all slots were in use
    std::size_t mostRunning = 0; ///< maximum number of tasks that ran at once

    std::string fault = "none"; ///< kind of the injected fault
    double faultFactor = 1.0; ///< slowdown for "slow", seconds for "refuse"
    bool isLeaving = false;
    bool isShuttingDown = false;
    bool isLeaveAcknowledged = false; ///< the agent accepted an announcement with "leaving"
    int idlePolls = 0; ///< consecutive polls without a running task during the shutdown
    int unacknowledgedPolls = 0; ///< polls without an acknowledgement of "leaving" by the agent
    EventPtr announceTimer;
    EventPtr listenTimer;
    EventPtr shutdownTimer;
    EventPtr termSignal;
    EventPtr intSignal;
};

} // namespace agatedrum::tools
