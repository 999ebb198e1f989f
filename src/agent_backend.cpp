#include "agent_backend_p.h"

#include "agatedrum/config.h"
#include "base_log_p.h"

#include <curl/curl.h>

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
constexpr long defaultMaxConnections = 64;
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

/// A call in flight.
struct Transfer
{
    BackendCall call;
    Time startedAt;
    CURL *easyHandle = nullptr;
    curl_slist *headers = nullptr;
    std::string body;
    int sendAttempts = 0; ///< number of times that libcurl was about to send the request
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

/// libcurl resends a request by itself if a reused connection is closed before the first byte of the answer. The
/// backend server may have run the first request, so this callback aborts the second one.
int allowOnlyFirstSend(void *target, char * /*address*/, char * /*local*/, int /*port*/, int /*localPort*/)
{
    auto &transfer = *static_cast<Transfer *>(target);
    ++transfer.sendAttempts;
    return transfer.sendAttempts == 1 ? CURL_PREREQFUNC_OK : CURL_PREREQFUNC_ABORT;
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

struct CurlBackendClient::Impl
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

    ~Impl()
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
            curl_multi_perform(this->multi, &running);
            if (this->reportFinishedTransfers()) {
                continue; // the handler may have queued new commands
            }
            curl_multi_poll(this->multi, nullptr, 0, maxPollMs, nullptr);
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
        this->startTransfer(*transfer);
        const auto number = transfer->call.number;
        this->transfers.emplace(number, std::move(transfer));
    }

    void apply(const StopCommand &command)
    {
        const auto found = this->transfers.find(command.number);
        if (found != this->transfers.end()) {
            this->finishTransfer(found->second.get(), wire::Outcome::STOPPED, 0);
        }
    }

    void apply(const LimitConnectionsCommand &command)
    {
        this->setMaxConnections(command.connections);
    }

    void setMaxConnections(long connections)
    {
        curl_multi_setopt(this->multi, CURLMOPT_MAX_TOTAL_CONNECTIONS, connections);
        curl_multi_setopt(this->multi, CURLMOPT_MAXCONNECTS, connections);
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
        curl_easy_setopt(easyHandle, CURLOPT_URL, transfer.call.url.c_str());
        curl_easy_setopt(easyHandle, CURLOPT_PROTOCOLS_STR, "http,https");
        curl_easy_setopt(easyHandle, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
        curl_easy_setopt(easyHandle, CURLOPT_PROXY, "");
        curl_easy_setopt(easyHandle, CURLOPT_POST, 1L);
        curl_easy_setopt(easyHandle, CURLOPT_POSTFIELDS, transfer.call.body.data());
        curl_easy_setopt(easyHandle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(transfer.call.body.size()));
        curl_easy_setopt(easyHandle, CURLOPT_HTTPHEADER, transfer.headers);
        curl_easy_setopt(easyHandle, CURLOPT_WRITEFUNCTION, appendBody);
        curl_easy_setopt(easyHandle, CURLOPT_WRITEDATA, &transfer);
        curl_easy_setopt(easyHandle, CURLOPT_PREREQFUNCTION, allowOnlyFirstSend);
        curl_easy_setopt(easyHandle, CURLOPT_PREREQDATA, &transfer);
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
        curl_slist_free_all(transfer.headers);
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
            log(LogLevel::Info, "agent", "backend call {} {} failed: {}", transfer.call.url, transfer.call.taskHeader,
                curl_easy_strerror(code));
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
        const bool isAnswerComplete = outcome == wire::Outcome::FINISHED || outcome == wire::Outcome::FAILED;
        result.status = isAnswerComplete ? status : 0;
        result.body = isAnswerComplete ? std::move(transfer->body) : std::string();
        result.runTime = this->clock.now() - transfer->startedAt;
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
    std::unordered_map<std::int64_t, std::unique_ptr<Transfer>> transfers;
    std::vector<CURL *> idleHandles;
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
