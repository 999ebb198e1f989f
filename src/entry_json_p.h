#pragma once

#include "agatedrum/result.h"
#include "agatedrum_types.h"
#include "http_server_p.h"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace agatedrum {

/// Why a request is refused for its own content.
struct ApiFault
{
    std::string field; ///< such as "tasks[3].id"; empty for the whole request
    std::string message;
};

/// Reads the JSON of a job and checks every field. Thread-safe.
/// @return the job without a digest.
Result<wire::JobSpec, ApiFault> parseJob(const std::string &body);

/// Checks a caller, submission, team, service or task name. @return an empty text when it is accepted.
std::string checkName(std::string_view name);

bool isUtf8(const std::string &text);

/// A job's final answer, state or refusal.
HttpResponse answerResponse(const wire::JobAnswer &answer);
/// A refusal of a request for its own content: certainly not run.
HttpResponse faultResponse(const ApiFault &fault);
HttpResponse refusalResponse(const wire::Refusal &refusal);

/// Serializes; bytes that are no UTF-8 are replaced.
HttpResponse jsonResponse(int status, const nlohmann::json &body);

} // namespace agatedrum
