#include "entry_api_p.h"

#include "entry_jobs_p.h"
#include "entry_json_p.h"

#include <algorithm>
#include <charconv>
#include <initializer_list>
#include <utility>

namespace agatedrum {

namespace {

using Json = nlohmann::json;

/// Returns an error for the first query parameter that is not in knownParameters, or std::nullopt.
std::optional<ApiError> checkQueryParameters(const HttpRequest &request,
                                             std::initializer_list<std::string_view> knownParameters)
{
    for (const auto &[name, value] : request.query) {
        if (std::find(knownParameters.begin(), knownParameters.end(), name) == knownParameters.end()) {
            return ApiError {name, "unknown parameter"};
        }
    }
    return std::nullopt;
}

std::string queryParameter(const HttpRequest &request, const std::string &name)
{
    const auto found = request.query.find(name);
    return found == request.query.end() ? std::string() : found->second;
}

void submit(EntryCore &core, const HttpRequest &request, const HttpReply &reply)
{
    if (const auto queryError = checkQueryParameters(request, {})) {
        reply(apiErrorResponse(*queryError));
        return;
    }
    auto job = parseJob(request.body);
    if (!isOk(job)) {
        reply(apiErrorResponse(error(job)));
        return;
    }
    core.submit(takeValue(std::move(job)), [reply](const wire::JobAnswer &answer) { reply(answerResponse(answer)); });
}

/// Checks a name that was not read by the JSON parser, which would have checked its encoding.
/// @return an empty string if the name is valid, else a description of the error.
std::string checkDecodedName(const std::string &name)
{
    return isUtf8(name) ? checkName(name) : "is not UTF-8";
}

using JobRequestMethod = void (EntryCore::*)(const wire::JobKey &, const std::string &, const JobAnswerHandler &);

void handleJobRequest(EntryCore &core, JobRequestMethod method, const HttpRequest &request, const HttpReply &reply)
{
    if (const auto queryError = checkQueryParameters(request, {"service"})) {
        reply(apiErrorResponse(*queryError));
        return;
    }
    wire::JobKey key;
    key.caller = request.parameters.at("caller");
    key.submission = request.parameters.at("submission");
    const auto service = queryParameter(request, "service");
    const std::initializer_list<std::pair<const char *, const std::string *>> names
        = {{"caller", &key.caller}, {"submission", &key.submission}, {"service", &service}};
    for (const auto &[field, name] : names) {
        const auto message = checkDecodedName(*name);
        if (!message.empty()) {
            reply(apiErrorResponse({field, message}));
            return;
        }
    }
    (core.*method)(key, service, [reply](const wire::JobAnswer &answer) { reply(answerResponse(answer)); });
}

Json configFileJson(const wire::ConfigFile &file)
{
    return {{"number", file.number},
            {"digest", file.digest},
            {"author", file.author},
            {"acceptedAtMs", file.acceptedAtMs},
            {"text", file.text}};
}

/// Returns the error object for a request that the control group has not accepted.
Json applyError(const wire::ApplyReply &answer, bool notRun)
{
    return {{"code", answer.code}, {"message", answer.message}, {"field", ""}, {"notRun", notRun}, {"retryAfterMs", 0}};
}

HttpResponse applyResponse(const wire::ApplyReply &answer, bool isDryRun)
{
    if (answer.accepted) {
        return jsonResponse(200,
                            {{"accepted", true},
                             {"dryRun", isDryRun},
                             {"message", answer.message},
                             {"number", answer.inForce.number},
                             {"digest", answer.inForce.digest},
                             {"lagging", answer.lagging}});
    }
    // With any other code, an earlier attempt may have been accepted and its reply lost.
    const bool notRun = answer.code == "invalid" || answer.code == "conflict";
    const int status = answer.code == "unavailable" ? 503 : (answer.code == "invalid" ? 400 : 409);
    auto inForce = configFileJson(answer.inForce);
    inForce.erase("text");
    return jsonResponse(status, {{"error", applyError(answer, notRun)}, {"inForce", inForce}});
}

HttpResponse evacuationResponse(const wire::ApplyReply &answer)
{
    if (answer.accepted) {
        return jsonResponse(200, {{"accepted", true}, {"message", answer.message}});
    }
    // Only an unknown domain rules out that an earlier attempt was accepted and its reply lost.
    const bool notRun = answer.code == "unknown-domain";
    const int status = notRun ? 404 : (answer.code == "superseded" ? 409 : 503);
    return jsonResponse(status, {{"error", applyError(answer, notRun)}});
}

void orderEvacuation(EntryCore &core, bool isActive, const HttpRequest &request, const HttpReply &reply)
{
    auto requestError = checkQueryParameters(request, {"author"});
    const auto &domain = request.parameters.at("failureDomain");
    const auto author = queryParameter(request, "author");
    const std::initializer_list<std::pair<const char *, const std::string *>> names
        = {{"failureDomain", &domain}, {"author", &author}};
    for (const auto &[field, name] : names) {
        if (const auto message = checkDecodedName(*name); !requestError && !message.empty()) {
            requestError = ApiError {field, message};
        }
    }
    if (requestError) {
        reply(apiErrorResponse(*requestError));
        return;
    }
    core.orderEvacuation(domain, isActive, author, [reply](const Result<wire::ApplyReply, wire::Refusal> &answer) {
        reply(isOk(answer) ? evacuationResponse(value(answer)) : refusalResponse(error(answer)));
    });
}

void apply(EntryCore &core, const HttpRequest &request, const HttpReply &reply)
{
    auto requestError = checkQueryParameters(request, {"author", "dryRun"});
    const auto author = queryParameter(request, "author");
    const auto dryRun = queryParameter(request, "dryRun");
    if (const auto message = checkDecodedName(author); !requestError && !message.empty()) {
        requestError = ApiError {"author", message};
    }
    if (!requestError && !isUtf8(request.body)) {
        requestError = ApiError {"", "the file is not UTF-8"};
    }
    if (!requestError && !dryRun.empty() && dryRun != "true" && dryRun != "false") {
        requestError = ApiError {"dryRun", "must be true or false"};
    }
    if (requestError) {
        reply(apiErrorResponse(*requestError));
        return;
    }
    const bool isDryRun = dryRun == "true";
    core.apply(request.body, author, isDryRun,
               [reply, isDryRun](const Result<wire::ApplyReply, wire::Refusal> &answer) {
                   reply(isOk(answer) ? applyResponse(value(answer), isDryRun) : refusalResponse(error(answer)));
               });
}

/// Returns the message of the control group's error answer, which has the form {"error": TEXT}.
std::string controlErrorMessage(const std::string &text)
{
    const auto json = Json::parse(text, nullptr, false);
    const bool hasText = json.is_object() && json.contains("error") && json["error"].is_string();
    return hasText ? json["error"].get<std::string>() : "the control group has no answer";
}

/// Sends a query to the control group and replies with the JSON of its answer.
void forwardControlQuery(EntryCore &core, const std::string &kind, const std::string &argument, const HttpReply &reply)
{
    core.controlQuery(kind, argument, [reply](const Result<wire::ControlAnswer, wire::Refusal> &answer) {
        if (!isOk(answer)) {
            reply(refusalResponse(error(answer)));
        } else if (!value(answer).ok) {
            reply(refusalResponse(
                makeRefusal(wire::RefusalCode::NOT_FOUND, controlErrorMessage(value(answer).json), true)));
        } else {
            HttpResponse response;
            response.body = value(answer).json;
            reply(response);
        }
    });
}

void getConfiguration(EntryCore &core, const HttpRequest &request, const HttpReply &reply)
{
    if (const auto queryError = checkQueryParameters(request, {"number"})) {
        reply(apiErrorResponse(*queryError));
        return;
    }
    if (request.query.count("number") == 0) {
        reply(jsonResponse(200, configFileJson(core.configuration())));
        return;
    }
    const auto text = queryParameter(request, "number");
    std::int64_t number = 0;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (code != std::errc() || end != text.data() + text.size() || number < 1) {
        reply(apiErrorResponse({"number", "must be a whole number from 1"}));
        return;
    }
    forwardControlQuery(core, "config", text, reply);
}

HttpHandler controlQueryHandler(EntryCore &core, const std::string &kind)
{
    return [&core, kind](const HttpRequest &request, const HttpReply &reply) {
        if (const auto queryError = checkQueryParameters(request, {})) {
            reply(apiErrorResponse(*queryError));
            return;
        }
        forwardControlQuery(core, kind, "", reply);
    };
}

} // namespace

void addEntryRoutes(HttpServer &server, EntryCore &core)
{
    const auto route = [&server, &core](const char *method, const char *path, auto handler) {
        server.route(method, path, [&core, handler](const HttpRequest &request, const HttpReply &reply) {
            handler(core, request, reply);
        });
    };
    route("POST", "/v1/jobs", &submit);
    route("GET", "/v1/jobs/:caller/:submission",
          [](EntryCore &target, const HttpRequest &request, const HttpReply &reply) {
              handleJobRequest(target, &EntryCore::query, request, reply);
          });
    route("DELETE", "/v1/jobs/:caller/:submission",
          [](EntryCore &target, const HttpRequest &request, const HttpReply &reply) {
              handleJobRequest(target, &EntryCore::cancel, request, reply);
          });
    route("POST", "/v1/configuration", &apply);
    route("GET", "/v1/configuration", &getConfiguration);
    route("POST", "/v1/evacuations/:failureDomain",
          [](EntryCore &target, const HttpRequest &request, const HttpReply &reply) {
              orderEvacuation(target, true, request, reply);
          });
    route("DELETE", "/v1/evacuations/:failureDomain",
          [](EntryCore &target, const HttpRequest &request, const HttpReply &reply) {
              orderEvacuation(target, false, request, reply);
          });
    server.route("GET", "/v1/evacuations", controlQueryHandler(core, "evacuations"));
    server.route("GET", "/v1/configuration/history", controlQueryHandler(core, "history"));
    server.route("GET", "/v1/configuration/acknowledged", controlQueryHandler(core, "acknowledged"));
    server.route("GET", "/v1/overview", controlQueryHandler(core, "overview"));
    server.route("GET", "/v1/members", controlQueryHandler(core, "members"));
    server.route("GET", "/v1/cells", controlQueryHandler(core, "cells"));
}

} // namespace agatedrum
