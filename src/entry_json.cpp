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

/// By RefusalCode. A refusal without a code means that the outcome is unknown.
constexpr std::array<CodeInfo, 18> codes {{
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

constexpr std::array<const char *, 6> outcomes {"pending", "finished", "failed", "notRun", "stopped", "unknown"};

CodeInfo infoOf(wire::RefusalCode::type code)
{
    const auto index = static_cast<std::size_t>(code);
    return index < codes.size() ? codes.at(index) : codes.front();
}

const char *outcomeName(wire::Outcome::type outcome)
{
    const auto index = static_cast<std::size_t>(outcome);
    return index < outcomes.size() ? outcomes.at(index) : "unknown";
}

/// How a body that may be no UTF-8 is written.
enum class BodyForm { AsIs, Checked };

Json taskJson(const wire::TaskResult &result, BodyForm form)
{
    Json task = {{"id", result.taskId},
                 {"outcome", outcomeName(result.outcome)},
                 {"status", result.status},
                 {"runMs", static_cast<double>(result.runMicros) / microsPerMilli},
                 {"server", result.server}};
    if (form == BodyForm::AsIs || isUtf8(result.body)) {
        task["body"] = result.body;
    } else {
        task["bodyBase64"] = Base64Encoder::EncodeString(result.body);
    }
    return task;
}

Json tasksJson(const std::vector<wire::TaskResult> &results, BodyForm form)
{
    auto tasks = Json::array();
    for (const auto &result : results) {
        tasks.push_back(taskJson(result, form));
    }
    return tasks;
}

Json answerJson(const wire::JobAnswer &answer, BodyForm form)
{
    const auto *state = !answer.done ? "running" : (answer.complete ? "complete" : "failed");
    return {{"caller", answer.key.caller},
            {"submission", answer.key.submission},
            {"state", state},
            {"tasks", tasksJson(answer.results, form)}};
}

Json refusalJson(const wire::Refusal &refusal, const std::string &field)
{
    return {{"error",
             {{"code", infoOf(refusal.code).name},
              {"message", refusal.message},
              {"field", field},
              {"notRun", refusal.notRun},
              {"retryAfterMs", refusal.retryAfterMs}}}};
}

HttpResponse errorResponse(const wire::Refusal &refusal, const Json &body)
{
    auto response = jsonResponse(infoOf(refusal.code).status, body);
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
            body["tasks"] = tasksJson(answer.results, BodyForm::Checked);
        }
        return errorResponse(answer.refusal, body);
    }
    HttpResponse response;
    try {
        response.body = answerJson(answer, BodyForm::AsIs).dump();
    } catch (const Json::type_error &) {
        // Some body is no UTF-8. Checking each body first would cost every answer a second pass.
        return jsonResponse(response.status, answerJson(answer, BodyForm::Checked));
    }
    return response;
}

HttpResponse faultResponse(const ApiFault &fault)
{
    wire::Refusal refusal;
    refusal.code = wire::RefusalCode::INVALID;
    refusal.message = fault.message;
    refusal.notRun = true;
    return errorResponse(refusal, refusalJson(refusal, fault.field));
}

HttpResponse refusalResponse(const wire::Refusal &refusal)
{
    return errorResponse(refusal, refusalJson(refusal, ""));
}

} // namespace agatedrum
