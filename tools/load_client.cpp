#include "load_client_p.h"

#include <curl/curl.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <memory>
#include <stdexcept>
#include <string>
#include <unordered_map>
#include <utility>

namespace agatedrum::tools {

namespace {

constexpr long requestTimeoutMs = 60000;
constexpr int maxPollMs = 20;

using Clock = std::chrono::steady_clock;

struct EasyDeleter
{
    void operator()(CURL *easy) const
    {
        curl_easy_cleanup(easy);
    }
};
struct MultiDeleter
{
    void operator()(CURLM *multi) const
    {
        curl_multi_cleanup(multi);
    }
};
struct HeaderDeleter
{
    void operator()(curl_slist *list) const
    {
        curl_slist_free_all(list);
    }
};

struct Transfer
{
    std::unique_ptr<CURL, EasyDeleter> easy;
    Action action;
    std::string request;
    std::string answer;
};

std::size_t appendTo(char *data, std::size_t size, std::size_t count, void *target)
{
    static_cast<std::string *>(target)->append(data, size * count);
    return size * count;
}

bool isAnswerOf(const nlohmann::json &answer, const std::string &submission, const WorkloadJob &job)
{
    if (answer.value("submission", "") != submission || !answer.contains("tasks") || !answer["tasks"].is_array()
        || answer["tasks"].size() != job.sizes.size()) {
        return false;
    }
    for (std::size_t task = 0; task < job.sizes.size(); ++task) {
        if (answer["tasks"][task].value("id", "") != std::to_string(task)) {
            return false;
        }
    }
    return true;
}

class LoadRun
{
public:
    LoadRun(const LoadOptions &options, const LoadPlan &plan)
        : options(options)
        , plan(plan)
        , multi(curl_multi_init())
        , headers(curl_slist_append(nullptr, "Content-Type: application/json"))
    {
        if (!this->multi || !this->headers) {
            throw std::runtime_error("initialisation of libcurl failed");
        }
        // Disables the header "Expect: 100-continue", which would delay large bodies by up to a second.
        curl_slist_append(this->headers.get(), "Expect:");
        this->result.jobs.resize(plan.jobs.size());
    }

    LoadResult run()
    {
        this->start = Clock::now();
        this->startWallMs
            = std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch()).count();
        while (this->nextAction < this->plan.actions.size() || !this->transfers.empty()) {
            this->startDueActions();
            int active = 0;
            curl_multi_perform(this->multi.get(), &active);
            this->handleFinishedTransfers();
            curl_multi_poll(this->multi.get(), nullptr, 0, this->pollTime(), nullptr);
        }
        this->result.wallSeconds = std::chrono::duration<double>(Clock::now() - this->start).count();
        return std::move(this->result);
    }

private:
    Micros elapsed() const
    {
        return std::chrono::duration_cast<Micros>(Clock::now() - this->start);
    }

    int pollTime() const
    {
        if (this->nextAction >= this->plan.actions.size()) {
            return maxPollMs;
        }
        const auto wait = this->plan.actions[this->nextAction].plannedAt - this->elapsed();
        return static_cast<int>(std::clamp<std::int64_t>(wait.count() / 1000, 0, maxPollMs));
    }

    void startDueActions()
    {
        const auto now = this->elapsed();
        for (; this->nextAction < this->plan.actions.size() && this->plan.actions[this->nextAction].plannedAt <= now;
             ++this->nextAction) {
            const auto &action = this->plan.actions[this->nextAction];
            this->result.maxLag = std::max(this->result.maxLag, now - action.plannedAt);
            this->send(action);
        }
    }

    void send(const Action &action)
    {
        auto transfer = std::make_unique<Transfer>();
        transfer->easy.reset(curl_easy_init());
        transfer->action = action;
        auto *easy = transfer->easy.get();
        auto url = this->options.entries[action.entry] + "/v1/jobs";
        if (action.kind == ActionKind::Cancel) {
            this->result.jobs[action.job].isCancelled = true;
            url += fmt::format("/agatedrum-load/{}?service={}", submissionOf(this->options, action.job),
                               this->options.profile.service);
            curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, "DELETE");
        } else {
            const auto &job = this->plan.jobs[action.job];
            const auto submittedAt = this->startWallMs + job.arrival.count() / 1000;
            transfer->request = requestBody(this->options, job, action.job, submittedAt);
            curl_easy_setopt(easy, CURLOPT_POSTFIELDS, transfer->request.c_str());
            curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(transfer->request.size()));
            curl_easy_setopt(easy, CURLOPT_HTTPHEADER, this->headers.get());
        }
        curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
        curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
        curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, requestTimeoutMs);
        curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, appendTo);
        curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer->answer);
        curl_multi_add_handle(this->multi.get(), easy);
        this->transfers.emplace(easy, std::move(transfer));
    }

    void handleFinishedTransfers()
    {
        int left = 0;
        while (const auto *message = curl_multi_info_read(this->multi.get(), &left)) {
            if (message->msg != CURLMSG_DONE) {
                continue;
            }
            auto *easy = message->easy_handle;
            const bool isDelivered = message->data.result == CURLE_OK;
            long status = 0;
            curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
            curl_multi_remove_handle(this->multi.get(), easy);
            const auto found = this->transfers.find(easy);
            if (found->second->action.kind != ActionKind::Cancel) {
                this->recordAnswer(*found->second, isDelivered ? status : 0);
            }
            this->transfers.erase(found);
        }
    }

    JobEnd classifyAnswer(const Transfer &transfer, long status) const
    {
        const auto number = transfer.action.job;
        const auto answer = nlohmann::json::parse(transfer.answer, nullptr, false);
        if (status == 0) {
            return JobEnd::Unknown;
        }
        if (!answer.is_object()) {
            return JobEnd::Wrong;
        }
        if (status != 200) {
            const auto error = answer.value("error", nlohmann::json::object());
            if (this->result.jobs[number].isCancelled && error.value("code", "") == "CANCELLED") {
                return JobEnd::Cancelled;
            }
            return error.value("notRun", false) ? JobEnd::Refused : JobEnd::Unknown;
        }
        if (!isAnswerOf(answer, submissionOf(this->options, number), this->plan.jobs[number])) {
            return JobEnd::Wrong;
        }
        if (answer.value("state", "") == "complete") {
            return JobEnd::Complete;
        }
        return this->result.jobs[number].isCancelled ? JobEnd::Cancelled : JobEnd::Failed;
    }

    void recordAnswer(const Transfer &transfer, long status)
    {
        auto &job = this->result.jobs[transfer.action.job];
        const auto end = this->classifyAnswer(transfer, status);
        const bool wasKnown = job.isAnswered && job.end != JobEnd::Unknown;
        if (wasKnown && end != JobEnd::Unknown && !job.isCancelled) {
            this->result.differingAnswers += static_cast<std::size_t>(end != job.end);
        }
        if (!wasKnown) {
            job.end = end;
            job.response = this->elapsed() - this->plan.jobs[transfer.action.job].arrival;
        }
        job.isAnswered = true;
    }

    const LoadOptions &options;
    const LoadPlan &plan;
    std::unique_ptr<CURLM, MultiDeleter> multi;
    std::unique_ptr<curl_slist, HeaderDeleter> headers;
    std::unordered_map<CURL *, std::unique_ptr<Transfer>> transfers;
    LoadResult result;
    Clock::time_point start;
    std::int64_t startWallMs = 0;
    std::size_t nextAction = 0;
};

} // namespace

LoadResult runLoad(const LoadOptions &options, const LoadPlan &plan)
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
    return LoadRun(options, plan).run();
}

} // namespace agatedrum::tools
