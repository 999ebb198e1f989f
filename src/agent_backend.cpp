#include "agent_backend_p.h"

#include "agatedrum/config.h"
#include "agent_connections_p.h"
#include "base_log_p.h"

#include <curl/curl.h>
#include <unistd.h>

#include <algorithm>
#include <deque>
#include <mutex>
#include <stdexcept>
#include <string_view>
#include <thread>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace agatedrum {

namespace {

constexpr long connectTimeoutMs = 1000;
constexpr int maxPollMs = 1000;
/// Common HTTP servers close idle connections after 5 s. A lower limit makes it unlikely that a request is sent on a
/// connection that the server is closing.
constexpr long maxConnectionIdleSeconds = 4;
/// A connection to an instance is not counted on shortly before it is closed as idle.
constexpr Millis maxInstanceIdleTime {3800};
constexpr long defaultMaxConnections = 64;
/// An idle connection may be closed, or taken by another call, just before a call is sent on it.
constexpr int maxInstanceChecks = 2;
constexpr std::size_t maxIdleHandles = 256;

struct StartCommand
{
    BackendCall call;
    Time requestedAt;
};
struct StopCommand
{
    std::int64_t number = 0;
};
struct LimitConnectionsCommand
{
    int connections = 0;
};
using Command = std::variant<StartCommand, StopCommand, LimitConnectionsCommand>;

/// What a transfer needs of its client when libcurl has chosen its connection.
struct TransferOwnerI
{
    virtual ~TransferOwnerI() = default;
    /// Records which instance a connection belongs to, if the check on it has been answered and is not evaluated yet:
    /// libcurl may hand the connection on before that.
    virtual void evaluateCheck(const std::string &connection) = 0;
};

/// A call in flight, or the instance check before it.
struct Transfer
{
    BackendCall call;
    Time startedAt; ///< when the call was requested
    BackendConnections *connections = nullptr;
    TransferOwnerI *owner = nullptr;
    CURL *easyHandle = nullptr;
    curl_slist *headers = nullptr;
    std::string body;
    int sendAttempts = 0; ///< number of times that libcurl was about to send the request
    int checks = 0; ///< number of instance checks so far
    bool isCheck = false; ///< whether the instance check is in flight, not the call itself
    bool isMisdirected = false; ///< not sent, since the connection was none of the instance
    curl_socket_t openedSocket = CURL_SOCKET_BAD; ///< socket that was opened for this transfer
    std::string connection; ///< key of the connection; empty until one is chosen

    bool isBound() const
    {
        return this->call.instanceCheck.has_value();
    }
    /// Prepares the next request of the same call.
    void reset()
    {
        this->body.clear();
        this->sendAttempts = 0;
        this->isCheck = false;
        this->isMisdirected = false;
        this->openedSocket = CURL_SOCKET_BAD;
        this->connection.clear();
    }
};

std::size_t appendBody(char *data, std::size_t size, std::size_t count, void *target)
{
    auto &body = static_cast<Transfer *>(target)->body;
    if (body.size() + size * count > AGATEDRUM_MAX_BODY_BYTES) {
        return 0; // makes libcurl abort the transfer with a write error
    }
    body.append(data, size * count);
    return size * count;
}

/// Called before a request is sent. Aborts it in two cases: libcurl resends a request by itself if a reused connection
/// is closed before the first byte of the answer, and the backend server may have run the first one; and a call that is
/// bound to an instance is sent on its connections only.
int reviewSend(void *target, char *address, char * /*local*/, int port, int localPort)
{
    auto &transfer = *static_cast<Transfer *>(target);
    const auto key = BackendConnections::keyOf(address, port, localPort);
    if (transfer.openedSocket != CURL_SOCKET_BAD) {
        transfer.connections->recordOpened(transfer.openedSocket, key);
        transfer.openedSocket = CURL_SOCKET_BAD;
    } else {
        transfer.owner->evaluateCheck(key);
    }
    transfer.connection = key;
    transfer.connections->recordUse(key, transfer.call.number);
    if (transfer.sendAttempts == 0 && transfer.isBound() && !transfer.isCheck
        && !transfer.connections->belongsTo(key, transfer.call.instanceCheck->instance)) {
        transfer.isMisdirected = true;
        return CURL_PREREQFUNC_ABORT;
    }
    ++transfer.sendAttempts;
    return transfer.sendAttempts == 1 ? CURL_PREREQFUNC_OK : CURL_PREREQFUNC_ABORT;
}

int noteOpenedSocket(void *target, curl_socket_t socket, curlsocktype /*purpose*/)
{
    static_cast<Transfer *>(target)->openedSocket = socket;
    return CURL_SOCKOPT_OK;
}

int closeSocket(void *target, curl_socket_t socket)
{
    static_cast<BackendConnections *>(target)->recordClosed(socket);
    return ::close(socket);
}

/// Returns whether the answer has a length or a transfer encoding, or its status allows no body. Otherwise the answer
/// ends when the connection closes, and a truncated answer could not be recognized.
bool canDetectTruncation(CURL *easyHandle, long status)
{
    curl_off_t length = -1;
    curl_easy_getinfo(easyHandle, CURLINFO_CONTENT_LENGTH_DOWNLOAD_T, &length);
    curl_header *header = nullptr;
    return length >= 0 || status == 204 || status == 304
        || curl_easy_header(easyHandle, "Transfer-Encoding", 0, CURLH_HEADER, -1, &header) == CURLHE_OK;
}

void initCurlOnce()
{
    static const CURLcode code = curl_global_init(CURL_GLOBAL_DEFAULT);
    if (code != CURLE_OK) {
        throw std::runtime_error(std::string("libcurl: ") + curl_easy_strerror(code));
    }
}

} // namespace

struct CurlBackendClient::Impl : TransferOwnerI
{
    explicit Impl(BackendOutcomeHandler handler)
        : handler(std::move(handler))
    {
        initCurlOnce();
        this->multi = curl_multi_init();
        curl_multi_setopt(this->multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
        this->setMaxConnections(defaultMaxConnections);
        this->thread = std::thread([this] { this->run(); });
    }

    ~Impl() override
    {
        {
            const std::lock_guard lock(this->mutex);
            this->isStopRequested = true;
        }
        curl_multi_wakeup(this->multi);
        this->thread.join();
        for (auto &[number, transfer] : this->transfers) {
            this->releaseTransfer(*transfer);
        }
        for (CURL *easyHandle : this->idleHandles) {
            curl_easy_cleanup(easyHandle);
        }
        curl_multi_cleanup(this->multi);
    }

    void enqueue(Command command)
    {
        {
            const std::lock_guard lock(this->mutex);
            this->commands.push_back(std::move(command));
        }
        curl_multi_wakeup(this->multi);
    }

    void run()
    {
        while (this->executeCommands()) {
            int running = 0;
            this->startWaitingCalls();
            curl_multi_perform(this->multi, &running);
            if (this->reportFinishedTransfers()) {
                continue; // the handler may have queued new commands
            }
            curl_multi_poll(this->multi, nullptr, 0, this->pollTimeoutMs(), nullptr);
        }
    }

    /// Executes the queued commands. @return false if the thread must end.
    bool executeCommands()
    {
        std::vector<Command> queuedCommands;
        {
            const std::lock_guard lock(this->mutex);
            if (this->isStopRequested) {
                return false;
            }
            queuedCommands.swap(this->commands);
        }
        for (auto &command : queuedCommands) {
            std::visit([this](auto &typed) { this->apply(typed); }, command);
        }
        return true;
    }

    void apply(StartCommand &command)
    {
        auto transfer = std::make_unique<Transfer>();
        transfer->call = std::move(command.call);
        transfer->startedAt = command.requestedAt;
        transfer->connections = &this->connections;
        transfer->owner = this;
        if (transfer->isBound()) {
            this->waiting.push_back(std::move(transfer));
            return;
        }
        this->startTransfer(*transfer);
        this->keep(std::move(transfer));
    }

    void apply(const StopCommand &command)
    {
        const auto found = this->transfers.find(command.number);
        if (found != this->transfers.end()) {
            this->finishTransfer(found->second.get(), wire::Outcome::STOPPED, 0);
            return;
        }
        const auto unsent = std::find_if(this->waiting.begin(), this->waiting.end(),
                                         [&command](const auto &each) { return each->call.number == command.number; });
        if (unsent != this->waiting.end()) {
            auto transfer = std::move(*unsent);
            this->waiting.erase(unsent);
            this->failUnsent(std::move(transfer), wire::Outcome::STOPPED);
        }
    }

    // Calls that are bound to an instance of a backend server.

    /// Sends the waiting calls for which there is a connection, or the check of a new connection, in their order.
    void startWaitingCalls()
    {
        auto calls = std::exchange(this->waiting, {});
        for (auto &transfer : calls) {
            if (this->clock.now() >= waitEnd(*transfer)) {
                this->failUnsent(std::move(transfer));
            } else if (this->idleConnections(*transfer) > 0) {
                this->startTransfer(*transfer);
                this->keep(std::move(transfer));
            } else if (this->transfers.size() < static_cast<std::size_t>(this->maxConnections)) {
                this->startCheck(std::move(transfer));
            } else {
                this->waiting.push_back(std::move(transfer));
            }
        }
    }

    void startCheck(std::unique_ptr<Transfer> transfer)
    {
        if (transfer->checks >= maxInstanceChecks) {
            this->failUnsent(std::move(transfer));
            return;
        }
        ++transfer->checks;
        transfer->isCheck = true;
        this->startTransfer(*transfer);
        this->keep(std::move(transfer));
    }

    /// Returns the number of idle connections to the call's instance that no call takes which is about to be sent.
    std::size_t idleConnections(const Transfer &transfer) const
    {
        const auto idle = this->connections.idleCount(transfer.call.instanceCheck->instance, this->clock.now());
        const auto taken = static_cast<std::size_t>(
            std::count_if(this->transfers.begin(), this->transfers.end(),
                          [](const auto &each) { return each.second->connection.empty() && !each.second->isCheck; }));
        return idle > taken ? idle - taken : 0;
    }

    static Time waitEnd(const Transfer &transfer)
    {
        return transfer.startedAt + transfer.call.timeout;
    }

    int pollTimeoutMs() const
    {
        auto timeout = maxPollMs;
        for (const auto &transfer : this->waiting) {
            const auto left = std::chrono::ceil<Millis>(waitEnd(*transfer) - this->clock.now());
            timeout = std::min(timeout, std::max(1, static_cast<int>(left.count())));
        }
        return timeout;
    }

    void failUnsent(std::unique_ptr<Transfer> transfer, wire::Outcome::type outcome = wire::Outcome::UNKNOWN)
    {
        BackendOutcome result;
        result.number = transfer->call.number;
        result.outcome = outcome;
        result.isOfInstanceCheck = true;
        result.runTime = this->clock.now() - transfer->startedAt;
        this->handler(result);
    }

    void evaluateCheck(const std::string &connection) override
    {
        for (const auto &[number, transfer] : this->transfers) {
            if (!transfer->isCheck || transfer->connection != connection) {
                continue;
            }
            long status = 0;
            curl_easy_getinfo(transfer->easyHandle, CURLINFO_RESPONSE_CODE, &status);
            BackendOutcome outcome;
            outcome.status = static_cast<int>(status);
            outcome.body = transfer->body;
            if (status != 0 && canDetectTruncation(transfer->easyHandle, status)
                && transfer->call.instanceCheck->isAnswerOfInstance(outcome)) {
                this->connections.recordInstance(connection, transfer->call.instanceCheck->instance);
            }
        }
    }

    /// Continues a call whose request has ended without being its own outcome. @return whether it does.
    bool continueCall(const Transfer &transfer, const BackendOutcome &outcome)
    {
        const bool isConfirmed
            = transfer.isCheck && outcome.status != 0 && transfer.call.instanceCheck->isAnswerOfInstance(outcome);
        if (isConfirmed) {
            this->connections.recordInstance(transfer.connection, transfer.call.instanceCheck->instance);
        }
        if (!isConfirmed && !transfer.isMisdirected) {
            return false;
        }
        auto node = this->transfers.extract(transfer.call.number);
        node.mapped()->reset();
        this->waiting.push_front(std::move(node.mapped()));
        return true;
    }

    void keep(std::unique_ptr<Transfer> transfer)
    {
        const auto number = transfer->call.number;
        this->transfers.emplace(number, std::move(transfer));
    }

    void apply(const LimitConnectionsCommand &command)
    {
        this->setMaxConnections(command.connections);
    }

    void setMaxConnections(long count)
    {
        this->maxConnections = count;
        curl_multi_setopt(this->multi, CURLMOPT_MAX_TOTAL_CONNECTIONS, count);
        curl_multi_setopt(this->multi, CURLMOPT_MAXCONNECTS, count);
    }

    void startTransfer(Transfer &transfer)
    {
        if (this->idleHandles.empty()) {
            transfer.easyHandle = curl_easy_init();
        } else {
            transfer.easyHandle = this->idleHandles.back();
            this->idleHandles.pop_back();
        }
        transfer.headers = curl_slist_append(nullptr, "Content-Type: application/json");
        if (!transfer.call.taskHeader.empty()) {
            transfer.headers
                = curl_slist_append(transfer.headers, ("Agatedrum-Task: " + transfer.call.taskHeader).c_str());
        }
        for (const auto &header : transfer.call.headers) {
            transfer.headers = curl_slist_append(transfer.headers, header.c_str());
        }
        transfer.headers = curl_slist_append(transfer.headers, "Expect:");
        CURL *easyHandle = transfer.easyHandle;
        const auto &url = transfer.isCheck ? transfer.call.instanceCheck->url : transfer.call.url;
        const auto &body = transfer.isCheck ? transfer.call.instanceCheck->body : transfer.call.body;
        curl_easy_setopt(easyHandle, CURLOPT_URL, url.c_str());
        curl_easy_setopt(easyHandle, CURLOPT_FRESH_CONNECT, transfer.isCheck ? 1L : 0L);
        curl_easy_setopt(easyHandle, CURLOPT_PROTOCOLS_STR, "http,https");
        curl_easy_setopt(easyHandle, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
        curl_easy_setopt(easyHandle, CURLOPT_PROXY, "");
        curl_easy_setopt(easyHandle, CURLOPT_POST, 1L);
        curl_easy_setopt(easyHandle, CURLOPT_POSTFIELDS, body.data());
        curl_easy_setopt(easyHandle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(body.size()));
        curl_easy_setopt(easyHandle, CURLOPT_HTTPHEADER, transfer.headers);
        curl_easy_setopt(easyHandle, CURLOPT_WRITEFUNCTION, appendBody);
        curl_easy_setopt(easyHandle, CURLOPT_WRITEDATA, &transfer);
        curl_easy_setopt(easyHandle, CURLOPT_PREREQFUNCTION, reviewSend);
        curl_easy_setopt(easyHandle, CURLOPT_PREREQDATA, &transfer);
        curl_easy_setopt(easyHandle, CURLOPT_SOCKOPTFUNCTION, noteOpenedSocket);
        curl_easy_setopt(easyHandle, CURLOPT_SOCKOPTDATA, &transfer);
        curl_easy_setopt(easyHandle, CURLOPT_CLOSESOCKETFUNCTION, closeSocket);
        curl_easy_setopt(easyHandle, CURLOPT_CLOSESOCKETDATA, &this->connections);
        curl_easy_setopt(easyHandle, CURLOPT_PRIVATE, &transfer);
        curl_easy_setopt(easyHandle, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(easyHandle, CURLOPT_MAXAGE_CONN, maxConnectionIdleSeconds);
        curl_easy_setopt(easyHandle, CURLOPT_CONNECTTIMEOUT_MS, connectTimeoutMs);
        curl_easy_setopt(easyHandle, CURLOPT_TIMEOUT_MS, static_cast<long>(transfer.call.timeout.count()));
        curl_multi_add_handle(this->multi, easyHandle);
    }

    void releaseTransfer(Transfer &transfer)
    {
        curl_multi_remove_handle(this->multi, transfer.easyHandle);
        this->connections.recordIdle(transfer.connection, transfer.call.number, this->clock.now());
        curl_slist_free_all(transfer.headers);
        transfer.headers = nullptr;
        if (this->idleHandles.size() < maxIdleHandles) {
            curl_easy_reset(transfer.easyHandle);
            this->idleHandles.push_back(transfer.easyHandle);
        } else {
            curl_easy_cleanup(transfer.easyHandle);
        }
    }

    bool reportFinishedTransfers()
    {
        bool hasFinishedTransfer = false;
        int remainingMessages = 0;
        while (CURLMsg *message = curl_multi_info_read(this->multi, &remainingMessages)) {
            if (message->msg != CURLMSG_DONE) {
                continue;
            }
            hasFinishedTransfer = true;
            const CURLcode code = message->data.result;
            Transfer *transfer = nullptr;
            long status = 0;
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
            curl_easy_getinfo(message->easy_handle, CURLINFO_RESPONSE_CODE, &status);
            this->finishTransfer(transfer, outcomeOf(*transfer, code, status), static_cast<int>(status));
        }
        return hasFinishedTransfer;
    }

    static wire::Outcome::type outcomeOf(const Transfer &transfer, CURLcode code, long status)
    {
        if (code != CURLE_OK) {
            log(LogLevel::Info, "agent", "backend call {} {} failed: {}",
                transfer.isCheck ? transfer.call.instanceCheck->url : transfer.call.url, transfer.call.taskHeader,
                transfer.isMisdirected ? "no connection to its instance" : curl_easy_strerror(code));
            return transfer.sendAttempts == 0 ? wire::Outcome::NOT_RUN : wire::Outcome::UNKNOWN;
        }
        if (!canDetectTruncation(transfer.easyHandle, status)) {
            return wire::Outcome::UNKNOWN;
        }
        return status >= 200 && status < 300 ? wire::Outcome::FINISHED : wire::Outcome::FAILED;
    }

    void finishTransfer(Transfer *transfer, wire::Outcome::type outcome, int status)
    {
        this->releaseTransfer(*transfer);
        BackendOutcome result;
        result.number = transfer->call.number;
        result.outcome = outcome;
        result.isOfInstanceCheck = transfer->isCheck;
        const bool isAnswerComplete = outcome == wire::Outcome::FINISHED || outcome == wire::Outcome::FAILED;
        result.status = isAnswerComplete ? status : 0;
        result.body = isAnswerComplete ? std::move(transfer->body) : std::string();
        result.runTime = this->clock.now() - transfer->startedAt;
        if (outcome != wire::Outcome::STOPPED && this->continueCall(*transfer, result)) {
            return;
        }
        this->transfers.erase(result.number);
        this->handler(result);
    }

    const BackendOutcomeHandler handler;
    const SystemClock clock;
    CURLM *multi = nullptr;
    std::thread thread;

    std::mutex mutex;
    std::vector<Command> commands;
    bool isStopRequested = false;

    // Accessed only by the thread, and by the destructor after the thread has ended.
    BackendConnections connections {maxInstanceIdleTime};
    std::unordered_map<std::int64_t, std::unique_ptr<Transfer>> transfers;
    std::deque<std::unique_ptr<Transfer>> waiting; ///< calls without a connection to their instance
    std::vector<CURL *> idleHandles;
    long maxConnections = defaultMaxConnections;
};

CurlBackendClient::CurlBackendClient(BackendOutcomeHandler handler)
    : impl(std::make_unique<Impl>(std::move(handler)))
{
}

CurlBackendClient::~CurlBackendClient() = default;

void CurlBackendClient::start(BackendCall call)
{
    this->impl->enqueue(StartCommand {std::move(call), this->impl->clock.now()});
}

void CurlBackendClient::stop(std::int64_t number)
{
    this->impl->enqueue(StopCommand {number});
}

void CurlBackendClient::limitConnections(int connections)
{
    this->impl->enqueue(LimitConnectionsCommand {connections});
}

} // namespace agatedrum
