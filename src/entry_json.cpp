#include "entry_json_p.h"

#include <pistache/base64.h>

#include <array>
#include <cstddef>
#include <utility>

namespace agatedrum {

namespace {

using Json = nlohmann::json;

constexpr long millisPerSecond = 1000;
constexpr double microsPerMilli = 1000.0;
constexpr int gatewayTimeout = 504;

struct CodeInfo
{
    const char *name;
    int status;
};

/// Name and HTTP status of each RefusalCode, indexed by the code. The code NONE means that the outcome is unknown.
constexpr std::array<CodeInfo, 18> codeInfos {{
    {"OUTCOME_UNKNOWN", gatewayTimeout},
    {"INVALID", 400},
    {"UNKNOWN_SERVICE", 404},
    {"UNKNOWN_TEAM", 403},
    {"CONFLICT", 409},
    {"QUEUE_FULL", 503},
    {"QUOTA", 429},
    {"DEADLINE", 503},
    {"NEVER_RUNNABLE", 422},
    {"NO_OWNER", 503},
    {"RECORD_UNAVAILABLE", 503},
    {"TOO_OLD", 410},
    {"ANSWER_DROPPED", 410},
    {"LEASE_LOST", 503},
    {"STOPPING", 503},
    {"NOT_FOUND", 404},
    {"LEDGER_FULL", 503},
    {"CANCELLED", 409},
}};

constexpr std::array<const char *, 6> outcomeNames {"pending", "finished", "failed", "notRun", "stopped", "unknown"};

CodeInfo codeInfo(wire::RefusalCode::type code)
{
    const auto index = static_cast<std::size_t>(code);
    return index < codeInfos.size() ? codeInfos.at(index) : codeInfos.front();
}

const char *outcomeName(wire::Outcome::type outcome)
{
    const auto index = static_cast<std::size_t>(outcome);
    return index < outcomeNames.size() ? outcomeNames.at(index) : "unknown";
}

/// How a result body is written: as a string without a check, or with a check that encodes it as Base64 if it is not
/// valid UTF-8.
enum class BodyEncoding { Unchecked, Checked };

Json taskJson(const wire::TaskResult &result, BodyEncoding encoding)
{
    Json task = {{"id", result.taskId},
                 {"outcome", outcomeName(result.outcome)},
                 {"status", result.status},
                 {"runMs", static_cast<double>(result.runMicros) / microsPerMilli},
                 {"server", result.server}};
    if (encoding == BodyEncoding::Unchecked || isUtf8(result.body)) {
        task["body"] = result.body;
    } else {
        task["bodyBase64"] = Base64Encoder::EncodeString(result.body);
    }
    return task;
}

Json tasksJson(const std::vector<wire::TaskResult> &results, BodyEncoding encoding)
{
    auto tasks = Json::array();
    for (const auto &result : results) {
        tasks.push_back(taskJson(result, encoding));
    }
    return tasks;
}

Json answerJson(const wire::JobAnswer &answer, BodyEncoding encoding)
{
    const auto *state = !answer.done ? "running" : (answer.complete ? "complete" : "failed");
    return {{"caller", answer.key.caller},
            {"submission", answer.key.submission},
            {"state", state},
            {"tasks", tasksJson(answer.results, encoding)}};
}

Json refusalJson(const wire::Refusal &refusal, const std::string &field)
{
    return {{"error",
             {{"code", codeInfo(refusal.code).name},
              {"message", refusal.message},
              {"field", field},
              {"notRun", refusal.notRun},
              {"retryAfterMs", refusal.retryAfterMs}}}};
}

HttpResponse errorResponse(const wire::Refusal &refusal, const Json &body)
{
    auto response = jsonResponse(codeInfo(refusal.code).status, body);
    if (refusal.retryAfterMs > 0) {
        response.retryAfterSeconds = (refusal.retryAfterMs + millisPerSecond - 1) / millisPerSecond;
    }
    return response;
}

} // namespace

bool isUtf8(const std::string &text)
{
    try {
        Json(text).dump();
        return true;
    } catch (const Json::type_error &) {
        return false;
    }
}

HttpResponse jsonResponse(int status, const Json &body)
{
    HttpResponse response;
    response.status = status;
    response.body = body.dump(-1, ' ', false, Json::error_handler_t::replace);
    return response;
}

HttpResponse answerResponse(const wire::JobAnswer &answer)
{
    if (answer.__isset.refusal) {
        auto body = refusalJson(answer.refusal, "");
        if (!answer.results.empty()) {
            body["tasks"] = tasksJson(answer.results, BodyEncoding::Checked);
        }
        return errorResponse(answer.refusal, body);
    }
    HttpResponse response;
    try {
        response.body = answerJson(answer, BodyEncoding::Unchecked).dump();
    } catch (const Json::type_error &) {
        // A body is not valid UTF-8. Checking every body up front would cost every answer a second pass.
        return jsonResponse(response.status, answerJson(answer, BodyEncoding::Checked));
    }
    return response;
}

HttpResponse apiErrorResponse(const ApiError &error)
{
    wire::Refusal refusal;
    refusal.code = wire::RefusalCode::INVALID;
    refusal.message = error.message;
    refusal.notRun = true;
    return errorResponse(refusal, refusalJson(refusal, error.field));
}

HttpResponse refusalResponse(const wire::Refusal &refusal)
{
    return errorResponse(refusal, refusalJson(refusal, ""));
}

} // namespace agatedrum
