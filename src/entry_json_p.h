#pragma once

#include "agatedrum/result.h"
#include "agatedrum_types.h"
#include "http_server_p.h"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace agatedrum {

/// Describes why the content of a request is invalid.
struct ApiError
{
    std::string field; ///< path of the invalid field, such as "tasks[3].id"; empty if the whole request is invalid
    std::string message;
};

/// Parses the JSON of a job and validates every field. Thread-safe.
/// @return the job, with its digest not set, or the first error.
Result<wire::JobSpec, ApiError> parseJob(const std::string &body);

/// Validates a caller, submission, team, service or task name.
/// @return an empty string if the name is valid, else a description of the error.
std::string checkName(std::string_view name);

/// Returns whether the text is valid UTF-8.
bool isUtf8(const std::string &text);

/// Creates the response for a job's final answer, current state or refusal.
HttpResponse answerResponse(const wire::JobAnswer &answer);
/// Creates the response for a request with invalid content; it says that the job has certainly not run.
HttpResponse apiErrorResponse(const ApiError &error);
/// Creates the response for a refusal, with the HTTP status of its code.
HttpResponse refusalResponse(const wire::Refusal &refusal);

/// Creates a response with a JSON body. Bytes that are not valid UTF-8 are replaced.
HttpResponse jsonResponse(int status, const nlohmann::json &body);

} // namespace agatedrum
