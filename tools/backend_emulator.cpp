#include "backend_emulator_p.h"

#include "base_log_p.h"

#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>
#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>
#include <xxhash.h>

#include <algorithm>
#include <csignal>
#include <set>
#include <stdexcept>
#include <utility>

namespace agatedrum::tools {

namespace {

constexpr std::int64_t announceIntervalMicros = 1000000;
constexpr std::int64_t shutdownPollMicros = 100000;
/// Consecutive idle polls after which a leaving emulator exits, so that calls that were already sent still arrive.
constexpr int idlePollsBeforeExit = 5;
constexpr int maxUnacknowledgedPolls = 30;
constexpr int agentTimeoutSeconds = 2;
constexpr int dieExitStatus = 1;

/// Creates an event base with precise timers. With the coarse clock that libevent uses by default, a timer may fire one
/// clock tick (4 ms) too early.
event_base *newPreciseEventBase()
{
    const std::unique_ptr<event_config, decltype(&event_config_free)> config(event_config_new(), &event_config_free);
    event_config_set_flag(config.get(), EVENT_BASE_FLAG_PRECISE_TIMER);
    return event_base_new_with_config(config.get());
}

std::string bodyOf(evhttp_request *request)
{
    evbuffer *input = evhttp_request_get_input_buffer(request);
    std::string body(evbuffer_get_length(input), '\0');
    evbuffer_copyout(input, body.data(), body.size());
    return body;
}

std::string headerOf(evhttp_request *request, const char *name)
{
    const char *value = evhttp_find_header(evhttp_request_get_input_headers(request), name);
    return value == nullptr ? std::string() : std::string(value);
}

void reply(evhttp_request *request, int status, const std::string &body)
{
    evhttp_add_header(evhttp_request_get_output_headers(request), "Content-Type", "application/json");
    evbuffer *output = evhttp_request_get_output_buffer(request);
    evbuffer_add(output, body.data(), body.size());
    evhttp_send_reply(request, status, nullptr, nullptr);
}

void replyError(evhttp_request *request, int status, const std::string &text)
{
    reply(request, status, nlohmann::json {{"error", text}}.dump());
}

} // namespace

Emulator::Emulator(EmulatorOptions options)
    : options(std::move(options))
    , base(newPreciseEventBase(), &event_base_free)
    , http(evhttp_new(this->base.get()), &evhttp_free)
{
    this->routes["POST /v1/run"] = [this](evhttp_request *request) { this->handleRun(request); };
    this->routes["GET /v1/record"] = [this](evhttp_request *request) { this->handleRecord(request); };
    this->routes["POST /v1/fault"] = [this](evhttp_request *request) { this->handleFault(request); };
    evhttp_set_gencb(
        this->http.get(),
        [](evhttp_request *request, void *self) {
            auto &routes = static_cast<Emulator *>(self)->routes;
            const char *path = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(request));
            const bool isPost = evhttp_request_get_command(request) == EVHTTP_REQ_POST;
            const auto found = routes.find((isPost ? "POST " : "GET ") + std::string(path == nullptr ? "" : path));
            if (found == routes.end()) {
                replyError(request, 404, "unknown path");
            } else {
                found->second(request);
            }
        },
        this);
    this->bind();
    if (!this->options.agentUrl.empty()) {
        const std::unique_ptr<evhttp_uri, decltype(&evhttp_uri_free)> uri(
            evhttp_uri_parse(this->options.agentUrl.c_str()), &evhttp_uri_free);
        if (!uri || evhttp_uri_get_host(uri.get()) == nullptr || evhttp_uri_get_port(uri.get()) <= 0) {
            throw std::runtime_error(fmt::format("agent URL {} has no host or no port", this->options.agentUrl));
        }
        this->agent = evhttp_connection_base_new(this->base.get(), nullptr, evhttp_uri_get_host(uri.get()),
                                                 static_cast<std::uint16_t>(evhttp_uri_get_port(uri.get())));
        evhttp_connection_set_timeout(this->agent, agentTimeoutSeconds);
    }
}

Emulator::~Emulator()
{
    this->runs.clear();
    if (this->agent != nullptr) {
        evhttp_connection_free(this->agent);
    }
}

void Emulator::bind()
{
    this->socket = evhttp_bind_socket_with_handle(this->http.get(), this->options.host.c_str(),
                                                  static_cast<std::uint16_t>(this->options.port));
    if (this->socket == nullptr) {
        throw std::runtime_error(fmt::format("cannot listen on {}:{}", this->options.host, this->options.port));
    }
}

Emulator::EventPtr Emulator::addTimer(std::int64_t micros, event_callback_fn callback, void *argument)
{
    EventPtr timer(event_new(this->base.get(), -1, 0, callback, argument));
    const timeval delay {micros / 1000000, micros % 1000000};
    event_add(timer.get(), &delay);
    return timer;
}

void Emulator::run()
{
    const auto onSignal = [](evutil_socket_t, short, void *self) { static_cast<Emulator *>(self)->beginShutdown(); };
    this->termSignal.reset(evsignal_new(this->base.get(), SIGTERM, onSignal, this));
    this->intSignal.reset(evsignal_new(this->base.get(), SIGINT, onSignal, this));
    event_add(this->termSignal.get(), nullptr);
    event_add(this->intSignal.get(), nullptr);
    this->announce();
    event_base_dispatch(this->base.get());
}

std::int64_t Emulator::runMicros(const std::string &body) const
{
    double work = static_cast<double>(this->options.workUs);
    const auto parsed = nlohmann::json::parse(body, nullptr, false);
    if (parsed.is_object() && parsed.contains("workUs") && parsed["workUs"].is_number()) {
        work = parsed["workUs"].get<double>();
    }
    if (this->fault == "slow") {
        work *= this->faultFactor;
    }
    return static_cast<std::int64_t>(work / this->options.speed);
}

std::string Emulator::makeAnswer(const std::string &task, const std::string &body) const
{
    const auto digest = fmt::format("{:016x}", XXH3_64bits(body.data(), body.size()));
    return nlohmann::json {{"task", task}, {"digest", digest}, {"server", this->options.name}}.dump();
}

void Emulator::handleRun(evhttp_request *request)
{
    if (this->runs.size() >= static_cast<std::size_t>(this->options.slots)) {
        ++this->refused;
        replyError(request, 503, "all slots are taken");
        return;
    }
    auto run = std::make_unique<Run>();
    auto *key = run.get();
    const auto body = bodyOf(request);
    run->emulator = this;
    run->request = request;
    run->task = headerOf(request, "Agatedrum-Task");
    run->answer = this->makeAnswer(run->task, body);
    run->isTruncated = this->fault == "truncate";
    run->isDropped = this->fault == "drop";
    ++this->taskRecords[run->task].started;
    if (this->fault == "failAll") {
        run->status = 500;
        run->answer = nlohmann::json {{"error", "task failed"}}.dump();
    }
    const auto fd = bufferevent_getfd(evhttp_connection_get_bufferevent(evhttp_request_get_connection(request)));
    run->closeEvent.reset(event_new(
        this->base.get(), fd, EV_CLOSED,
        [](evutil_socket_t, short, void *argument) {
            auto *closed = static_cast<Run *>(argument);
            closed->emulator->removeDisconnectedRun(closed);
        },
        key));
    event_add(run->closeEvent.get(), nullptr);
    if (this->fault != "hang") {
        run->timer = this->addTimer(
            run->status == 500 ? 0 : this->runMicros(body),
            [](evutil_socket_t, short, void *argument) {
                auto *finished = static_cast<Run *>(argument);
                finished->emulator->finishRun(finished);
            },
            key);
    }
    this->runs.emplace(key, std::move(run));
    this->mostRunning = std::max(this->mostRunning, this->runs.size());
}

void Emulator::finishRun(Run *run)
{
    const auto finishedRun = std::move(this->runs.extract(run).mapped());
    ++this->taskRecords[finishedRun->task].finished;
    finishedRun->closeEvent.reset();
    if (!finishedRun->isTruncated && !finishedRun->isDropped) {
        reply(finishedRun->request, finishedRun->status, finishedRun->answer);
        return;
    }
    if (finishedRun->isTruncated) {
        sendTruncatedAnswer(*finishedRun);
    }
    evhttp_connection_free(evhttp_request_get_connection(finishedRun->request));
}

/// Sends the header section and only half of the body that its Content-Length announces.
void Emulator::sendTruncatedAnswer(const Run &run)
{
    auto *connection = evhttp_request_get_connection(run.request);
    const auto half = fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", run.answer.size(),
                                  run.answer.substr(0, run.answer.size() / 2));
    const auto fd = bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
    if (::send(fd, half.data(), half.size(), MSG_NOSIGNAL) < 0) {
        log(LogLevel::Info, "backend", "sending the truncated answer failed");
    }
}

void Emulator::removeDisconnectedRun(Run *run)
{
    const auto disconnectedRun = std::move(this->runs.extract(run).mapped());
    ++this->taskRecords[disconnectedRun->task].cut;
    disconnectedRun->closeEvent.reset();
    evhttp_connection_free(evhttp_request_get_connection(disconnectedRun->request));
}

void Emulator::handleRecord(evhttp_request *request)
{
    nlohmann::json tasks = nlohmann::json::array();
    std::uint64_t started = 0;
    std::uint64_t finished = 0;
    std::uint64_t cut = 0;
    std::uint64_t startedTwice = 0;
    for (const auto &[task, entry] : this->taskRecords) {
        tasks.push_back({{"task", task}, {"starts", entry.started}, {"finishes", entry.finished}, {"cuts", entry.cut}});
        started += static_cast<std::uint64_t>(entry.started);
        finished += static_cast<std::uint64_t>(entry.finished);
        cut += static_cast<std::uint64_t>(entry.cut);
        startedTwice += entry.started > 1 ? 1U : 0U;
    }
    const nlohmann::json answer = {{"server", this->options.name},
                                   {"running", this->runs.size()},
                                   {"mostRunning", this->mostRunning},
                                   {"refused", this->refused},
                                   {"started", started},
                                   {"finished", finished},
                                   {"cut", cut},
                                   {"startedTwice", startedTwice},
                                   {"tasks", std::move(tasks)}};
    reply(request, 200, answer.dump());
}

void Emulator::handleFault(evhttp_request *request)
{
    static const std::set<std::string> kinds
        = {"none", "hang", "failAll", "slow", "truncate", "drop", "die", "leave", "refuse"};
    const auto parsed = nlohmann::json::parse(bodyOf(request), nullptr, false);
    const auto kind = parsed.is_object() ? parsed.value("kind", std::string()) : std::string();
    if (kinds.count(kind) == 0) {
        replyError(request, 400, "kind must be one of none, hang, failAll, slow, truncate, drop, die, leave, refuse");
        return;
    }
    if (kind == "die") {
        ::_exit(dieExitStatus);
    }
    this->fault = kind;
    this->faultFactor = parsed.value("factor", 1.0);
    this->isLeaving = kind == "leave";
    reply(request, 200, nlohmann::json {{"fault", kind}}.dump());
    if (kind == "refuse") {
        this->stopListening(this->faultFactor);
    }
    this->announce();
}

/// Refuses new connections for the given time. Open connections stay until their client closes them.
void Emulator::stopListening(double seconds)
{
    if (this->socket == nullptr) {
        return;
    }
    evhttp_del_accept_socket(this->http.get(), this->socket);
    this->socket = nullptr;
    this->listenTimer = this->addTimer(
        static_cast<std::int64_t>(seconds * 1000000),
        [](evutil_socket_t, short, void *self) {
            auto *emulator = static_cast<Emulator *>(self);
            emulator->fault = "none";
            emulator->bind();
        },
        this);
}

void Emulator::announce()
{
    if (this->agent == nullptr) {
        return;
    }
    this->announceTimer = this->addTimer(
        announceIntervalMicros, [](evutil_socket_t, short, void *self) { static_cast<Emulator *>(self)->announce(); },
        this);
    const double used = static_cast<double>(this->runs.size()) / this->options.slots;
    const nlohmann::json body = {{"name", this->options.name},
                                 {"service", this->options.service},
                                 {"slots", this->options.slots},
                                 {"connections", this->options.connections},
                                 {"url", fmt::format("http://{}:{}/v1/run", this->options.host, this->options.port)},
                                 {"leaving", this->isLeaving},
                                 {"usage", used}};
    auto *request = evhttp_request_new(
        [](evhttp_request *answer, void *self) { static_cast<Emulator *>(self)->handleAnnounceReply(answer); }, this);
    auto *headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Host", "agent");
    evhttp_add_header(headers, "Content-Type", "application/json");
    const auto text = body.dump();
    evbuffer_add(evhttp_request_get_output_buffer(request), text.data(), text.size());
    evhttp_make_request(this->agent, request, EVHTTP_REQ_POST, "/v1/announce");
}

void Emulator::handleAnnounceReply(evhttp_request *request)
{
    const int status = request == nullptr ? 0 : evhttp_request_get_response_code(request);
    if (status != 200) {
        log(LogLevel::Info, "backend", "the announcement to the agent failed with status {}", status);
        return;
    }
    this->isLeaveAcknowledged = this->isLeaving;
}

void Emulator::beginShutdown()
{
    if (this->isShuttingDown) {
        event_base_loopbreak(this->base.get());
        return;
    }
    this->isShuttingDown = true;
    this->isLeaving = true;
    this->announce();
    this->shutdownTimer.reset(event_new(
        this->base.get(), -1, EV_PERSIST,
        [](evutil_socket_t, short, void *self) {
            auto *emulator = static_cast<Emulator *>(self);
            // An agent that does not answer, for example because it has ended, delays the exit by at most
            // maxUnacknowledgedPolls polls.
            const bool isKnown = emulator->agent == nullptr || emulator->isLeaveAcknowledged
                || ++emulator->unacknowledgedPolls >= maxUnacknowledgedPolls;
            const bool isIdle = emulator->runs.empty() && isKnown;
            emulator->idlePolls = isIdle ? emulator->idlePolls + 1 : 0;
            if (emulator->idlePolls >= idlePollsBeforeExit) {
                event_base_loopbreak(emulator->base.get());
            }
        },
        this));
    const timeval delay {0, shutdownPollMicros};
    event_add(this->shutdownTimer.get(), &delay);
}

} // namespace agatedrum::tools
