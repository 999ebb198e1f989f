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
constexpr int pollMs = 1000;
/// Below the 5 s after which common HTTP servers close an idle connection, so that a request rarely meets a close.
constexpr long maxIdleSeconds = 4;
constexpr long defaultConnections = 64;
constexpr std::size_t maxIdleHandles = 256;

struct StartCommand
{
    BackendCall call;
    Time at;
};
struct StopCommand
{
    std::int64_t number = 0;
};
struct LimitCommand
{
    int connections = 0;
};
using Command = std::variant<StartCommand, StopCommand, LimitCommand>;

/// One call in flight.
struct Transfer
{
    BackendCall call;
    Time startedAt;
    CURL *easy = nullptr;
    curl_slist *headers = nullptr;
    std::string body;
    int sends = 0; ///< how often libcurl was about to send the request
};

std::size_t appendBody(char *data, std::size_t size, std::size_t count, void *target)
{
    auto &body = static_cast<Transfer *>(target)->body;
    if (body.size() + size * count > AGATEDRUM_MAX_BODY_BYTES) {
        return 0; // ends the transfer as broken
    }
    body.append(data, size * count);
    return size * count;
}

/// libcurl sends a request again by itself when a kept connection closes before the first byte of the answer. The
/// backend server may have run the first one, so the second is stopped here.
int allowFirstSend(void *target, char * /*address*/, char * /*local*/, int /*port*/, int /*localPort*/)
{
    auto &transfer = *static_cast<Transfer *>(target);
    ++transfer.sends;
    return transfer.sends == 1 ? CURL_PREREQFUNC_OK : CURL_PREREQFUNC_ABORT;
}

/// An answer that ends with its connection and has no length may be truncated unnoticed.
bool hasKnownEnd(CURL *easy, long status)
{
    curl_off_t length = -1;
    curl_easy_getinfo(easy, CURLINFO_CONTENT_LENGTH_DOWNLOAD_T, &length);
    curl_header *header = nullptr;
    return length >= 0 || status == 204 || status == 304
        || curl_easy_header(easy, "Transfer-Encoding", 0, CURLH_HEADER, -1, &header) == CURLHE_OK;
}

void initCurlOnce()
{
    static const CURLcode code = curl_global_init(CURL_GLOBAL_DEFAULT);
    if (code != CURLE_OK) {
        throw std::runtime_error(std::string("libcurl: ") + curl_easy_strerror(code));
    }
}

} // namespace

struct CurlBackendCaller::Impl
{
    explicit Impl(BackendOutcomeHandler handler)
        : handler(std::move(handler))
    {
        initCurlOnce();
        this->multi = curl_multi_init();
        curl_multi_setopt(this->multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
        this->setLimit(defaultConnections);
        this->thread = std::thread([this] { this->run(); });
    }

    ~Impl()
    {
        {
            const std::lock_guard lock(this->mutex);
            this->isEnding = true;
        }
        curl_multi_wakeup(this->multi);
        this->thread.join();
        for (auto &[number, transfer] : this->transfers) {
            this->detach(*transfer);
        }
        for (CURL *easy : this->idleHandles) {
            curl_easy_cleanup(easy);
        }
        curl_multi_cleanup(this->multi);
    }

    void push(Command command)
    {
        {
            const std::lock_guard lock(this->mutex);
            this->commands.push_back(std::move(command));
        }
        curl_multi_wakeup(this->multi);
    }

    void run()
    {
        while (this->takeCommands()) {
            int running = 0;
            curl_multi_perform(this->multi, &running);
            if (this->reportFinished()) {
                continue; // the handler may have queued the next call
            }
            curl_multi_poll(this->multi, nullptr, 0, pollMs, nullptr);
        }
    }

    /// @return false when the thread is to end.
    bool takeCommands()
    {
        std::vector<Command> taken;
        {
            const std::lock_guard lock(this->mutex);
            if (this->isEnding) {
                return false;
            }
            taken.swap(this->commands);
        }
        for (auto &command : taken) {
            std::visit([this](auto &typed) { this->apply(typed); }, command);
        }
        return true;
    }

    void apply(StartCommand &command)
    {
        auto transfer = std::make_unique<Transfer>();
        transfer->call = std::move(command.call);
        transfer->startedAt = command.at;
        this->attach(*transfer);
        const auto number = transfer->call.number;
        this->transfers.emplace(number, std::move(transfer));
    }

    void apply(const StopCommand &command)
    {
        const auto found = this->transfers.find(command.number);
        if (found != this->transfers.end()) {
            this->finish(found->second.get(), wire::Outcome::STOPPED, 0);
        }
    }

    void apply(const LimitCommand &command)
    {
        this->setLimit(command.connections);
    }

    void setLimit(long connections)
    {
        curl_multi_setopt(this->multi, CURLMOPT_MAX_TOTAL_CONNECTIONS, connections);
        curl_multi_setopt(this->multi, CURLMOPT_MAXCONNECTS, connections);
    }

    void attach(Transfer &transfer)
    {
        if (this->idleHandles.empty()) {
            transfer.easy = curl_easy_init();
        } else {
            transfer.easy = this->idleHandles.back();
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
        CURL *easy = transfer.easy;
        curl_easy_setopt(easy, CURLOPT_URL, transfer.call.url.c_str());
        curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http,https");
        curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
        curl_easy_setopt(easy, CURLOPT_PROXY, "");
        curl_easy_setopt(easy, CURLOPT_POST, 1L);
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, transfer.call.body.data());
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(transfer.call.body.size()));
        curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer.headers);
        curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, appendBody);
        curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer);
        curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, allowFirstSend);
        curl_easy_setopt(easy, CURLOPT_PREREQDATA, &transfer);
        curl_easy_setopt(easy, CURLOPT_PRIVATE, &transfer);
        curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, maxIdleSeconds);
        curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, connectTimeoutMs);
        curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(transfer.call.timeout.count()));
        curl_multi_add_handle(this->multi, easy);
    }

    void detach(Transfer &transfer)
    {
        curl_multi_remove_handle(this->multi, transfer.easy);
        curl_slist_free_all(transfer.headers);
        if (this->idleHandles.size() < maxIdleHandles) {
            curl_easy_reset(transfer.easy);
            this->idleHandles.push_back(transfer.easy);
        } else {
            curl_easy_cleanup(transfer.easy);
        }
    }

    bool reportFinished()
    {
        bool isAny = false;
        int left = 0;
        while (CURLMsg *message = curl_multi_info_read(this->multi, &left)) {
            if (message->msg != CURLMSG_DONE) {
                continue;
            }
            isAny = true;
            const CURLcode code = message->data.result;
            Transfer *transfer = nullptr;
            long status = 0;
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
            curl_easy_getinfo(message->easy_handle, CURLINFO_RESPONSE_CODE, &status);
            this->finish(transfer, outcomeOf(*transfer, code, status), static_cast<int>(status));
        }
        return isAny;
    }

    static wire::Outcome::type outcomeOf(const Transfer &transfer, CURLcode code, long status)
    {
        if (code != CURLE_OK) {
            log(LogLevel::Info, "agent", "backend call {} {} failed: {}", transfer.call.url, transfer.call.taskHeader,
                curl_easy_strerror(code));
            return transfer.sends == 0 ? wire::Outcome::NOT_RUN : wire::Outcome::UNKNOWN;
        }
        if (!hasKnownEnd(transfer.easy, status)) {
            return wire::Outcome::UNKNOWN;
        }
        return status >= 200 && status < 300 ? wire::Outcome::FINISHED : wire::Outcome::FAILED;
    }

    void finish(Transfer *transfer, wire::Outcome::type outcome, int status)
    {
        this->detach(*transfer);
        BackendOutcome result;
        result.number = transfer->call.number;
        result.outcome = outcome;
        const bool isWhole = outcome == wire::Outcome::FINISHED || outcome == wire::Outcome::FAILED;
        result.status = isWhole ? status : 0;
        result.body = isWhole ? std::move(transfer->body) : std::string();
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
    bool isEnding = false;

    // Used by the thread only.
    std::unordered_map<std::int64_t, std::unique_ptr<Transfer>> transfers;
    std::vector<CURL *> idleHandles;
};

CurlBackendCaller::CurlBackendCaller(BackendOutcomeHandler handler)
    : impl(std::make_unique<Impl>(std::move(handler)))
{
}

CurlBackendCaller::~CurlBackendCaller() = default;

void CurlBackendCaller::start(BackendCall call)
{
    this->impl->push(StartCommand {std::move(call), this->impl->clock.now()});
}

void CurlBackendCaller::stop(std::int64_t number)
{
    this->impl->push(StopCommand {number});
}

void CurlBackendCaller::limitConnections(int connections)
{
    this->impl->push(LimitCommand {connections});
}

} // namespace agatedrum
