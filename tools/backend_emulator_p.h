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

struct EmulatorOptions
{
    std::string host = "127.0.0.1";
    int port = 0;
    std::string name = "backend";
    std::string service = "default";
    int slots = 8;
    int connections = 64;
    double speed = 1.0; ///< a task takes its work divided by this
    std::int64_t workUs = 100000; ///< of a task whose body names none
    std::string agentUrl; ///< base URL of the agent; empty for none
};

/// Emulates a backend server on one thread: tasks sleep, and a record of each is kept. Not thread-safe.
class Emulator
{
public:
    /// Throws std::runtime_error when the address cannot be bound.
    explicit Emulator(EmulatorOptions options);
    ~Emulator();
    Emulator(const Emulator &) = delete;
    Emulator &operator=(const Emulator &) = delete;

    /// Serves until SIGTERM or SIGINT, then leaves, finishes what runs, and returns.
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

    /// How often a task was seen here.
    struct TaskRecord
    {
        int started = 0;
        int finished = 0;
        int cut = 0; ///< the connection closed before the answer
    };

    /// One task that runs.
    struct Run
    {
        Emulator *emulator = nullptr;
        evhttp_request *request = nullptr;
        std::string task;
        std::string answer;
        bool isTruncated = false; ///< half of the answer, then the connection closes
        bool isDropped = false; ///< no answer, the connection closes
        int status = 200;
        EventPtr timer;
        EventPtr closed;
    };

    void bind();
    EventPtr addTimer(std::int64_t micros, event_callback_fn callback, void *argument);

    void handleRun(evhttp_request *request);
    void handleRecord(evhttp_request *request);
    void handleFault(evhttp_request *request);
    std::int64_t runMicros(const std::string &body) const;
    std::string answerTo(const std::string &task, const std::string &body) const;
    void finish(Run *run);
    static void sendHalf(const Run &run);
    void cut(Run *run);

    void announce();
    void announced(evhttp_request *request);
    void stopListening(double seconds);
    void leave();

    const EmulatorOptions options;
    std::unique_ptr<event_base, decltype(&event_base_free)> base;
    std::unique_ptr<evhttp, decltype(&evhttp_free)> http;
    evhttp_bound_socket *socket = nullptr;
    evhttp_connection *agent = nullptr;

    std::map<std::string, std::function<void(evhttp_request *)>> routes;
    std::map<Run *, std::unique_ptr<Run>> runs;
    std::map<std::string, TaskRecord> record;
    std::uint64_t refused = 0;
    std::size_t mostRunning = 0;

    std::string fault = "none";
    double factor = 1.0;
    bool isLeaving = false;
    bool isEnding = false;
    bool isLeaveKnown = false; ///< the agent answered an announcement that said leaving
    int idleTicks = 0;
    int endTicks = 0; ///< polls at which the agent had not answered that this server leaves
    EventPtr announceTimer;
    EventPtr listenTimer;
    EventPtr endTimer;
    EventPtr termSignal;
    EventPtr intSignal;
};

} // namespace agatedrum::tools
