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

/// Refuses parameters of the query that the resource does not know.
std::optional<ApiFault> checkQuery(const HttpRequest &request, std::initializer_list<std::string_view> known)
{
    for (const auto &[name, content] : request.query) {
        if (std::find(known.begin(), known.end(), name) == known.end()) {
            return ApiFault {name, "unknown parameter"};
        }
    }
    return std::nullopt;
}

std::string queryText(const HttpRequest &request, const std::string &name)
{
    const auto found = request.query.find(name);
    return found == request.query.end() ? std::string() : found->second;
}

void submit(EntryCore &core, const HttpRequest &request, const HttpReply &reply)
{
    if (const auto fault = checkQuery(request, {})) {
        reply(faultResponse(*fault));
        return;
    }
    auto job = parseJob(request.body);
    if (!isOk(job)) {
        reply(faultResponse(error(job)));
        return;
    }
    core.submit(takeValue(std::move(job)), [reply](const wire::JobAnswer &answer) { reply(answerResponse(answer)); });
}

/// Checks a name that came outside JSON. @return an empty text when it is accepted.
std::string checkDecodedName(const std::string &name)
{
    return isUtf8(name) ? checkName(name) : "is not UTF-8";
}

using JobCallMember = void (EntryCore::*)(const wire::JobKey &, const std::string &, const JobAnswerHandler &);

void callJob(EntryCore &core, JobCallMember member, const HttpRequest &request, const HttpReply &reply)
{
    if (const auto fault = checkQuery(request, {"service"})) {
        reply(faultResponse(*fault));
        return;
    }
    wire::JobKey key;
    key.caller = request.parameters.at("caller");
    key.submission = request.parameters.at("submission");
    const auto service = queryText(request, "service");
    const std::initializer_list<std::pair<const char *, const std::string *>> names
        = {{"caller", &key.caller}, {"submission", &key.submission}, {"service", &service}};
    for (const auto &[field, name] : names) {
        const auto message = checkDecodedName(*name);
        if (!message.empty()) {
            reply(faultResponse({field, message}));
            return;
        }
    }
    (core.*member)(key, service, [reply](const wire::JobAnswer &answer) { reply(answerResponse(answer)); });
}

Json fileJson(const wire::ConfigFile &file)
{
    return {{"number", file.number},
            {"digest", file.digest},
            {"author", file.author},
            {"acceptedAtMs", file.acceptedAtMs},
            {"text", file.text}};
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
    // Other refusals can follow a lost reply that accepted this very file.
    const bool notRun = answer.code == "invalid" || answer.code == "conflict";
    const int status = answer.code == "unavailable" ? 503 : (answer.code == "invalid" ? 400 : 409);
    auto inForce = fileJson(answer.inForce);
    inForce.erase("text");
    return jsonResponse(
        status,
        {{"error",
          {{"code", answer.code}, {"message", answer.message}, {"field", ""}, {"notRun", notRun}, {"retryAfterMs", 0}}},
         {"inForce", inForce}});
}

void apply(EntryCore &core, const HttpRequest &request, const HttpReply &reply)
{
    auto fault = checkQuery(request, {"author", "dryRun"});
    const auto author = queryText(request, "author");
    const auto dryRun = queryText(request, "dryRun");
    if (const auto message = checkDecodedName(author); !fault && !message.empty()) {
        fault = ApiFault {"author", message};
    }
    if (!fault && !isUtf8(request.body)) {
        fault = ApiFault {"", "the file is not UTF-8"};
    }
    if (!fault && !dryRun.empty() && dryRun != "true" && dryRun != "false") {
        fault = ApiFault {"dryRun", "must be true or false"};
    }
    if (fault) {
        reply(faultResponse(*fault));
        return;
    }
    const bool isDryRun = dryRun == "true";
    core.apply(request.body, author, isDryRun,
               [reply, isDryRun](const Result<wire::ApplyReply, wire::Refusal> &answer) {
                   reply(isOk(answer) ? applyResponse(value(answer), isDryRun) : refusalResponse(error(answer)));
               });
}

/// What the control group says to a question that it cannot answer: {"error": TEXT}.
std::string controlFault(const std::string &text)
{
    const auto json = Json::parse(text, nullptr, false);
    const bool hasText = json.is_object() && json.contains("error") && json["error"].is_string();
    return hasText ? json["error"].get<std::string>() : "the control group has no answer";
}

/// Passes on the control group's JSON.
void ask(EntryCore &core, const std::string &kind, const std::string &argument, const HttpReply &reply)
{
    core.controlQuery(kind, argument, [reply](const Result<wire::ControlAnswer, wire::Refusal> &answer) {
        if (!isOk(answer)) {
            reply(refusalResponse(error(answer)));
        } else if (!value(answer).ok) {
            reply(refusalResponse(makeRefusal(wire::RefusalCode::NOT_FOUND, controlFault(value(answer).json), true)));
        } else {
            HttpResponse response;
            response.body = value(answer).json;
            reply(response);
        }
    });
}

void showConfiguration(EntryCore &core, const HttpRequest &request, const HttpReply &reply)
{
    if (const auto fault = checkQuery(request, {"number"})) {
        reply(faultResponse(*fault));
        return;
    }
    if (request.query.count("number") == 0) {
        reply(jsonResponse(200, fileJson(core.configuration())));
        return;
    }
    const auto text = queryText(request, "number");
    std::int64_t number = 0;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (code != std::errc() || end != text.data() + text.size() || number < 1) {
        reply(faultResponse({"number", "must be a whole number from 1"}));
        return;
    }
    ask(core, "config", text, reply);
}

HttpHandler askHandler(EntryCore &core, const std::string &kind)
{
    return [&core, kind](const HttpRequest &request, const HttpReply &reply) {
        if (const auto fault = checkQuery(request, {})) {
            reply(faultResponse(*fault));
            return;
        }
        ask(core, kind, "", reply);
    };
}

} // namespace

void addEntryRoutes(HttpServer &server, EntryCore &core)
{
    const auto route = [&server, &core](const char *method, const char *path, auto function) {
        server.route(method, path, [&core, function](const HttpRequest &request, const HttpReply &reply) {
            function(core, request, reply);
        });
    };
    route("POST", "/v1/jobs", &submit);
    route("GET", "/v1/jobs/:caller/:submission",
          [](EntryCore &target, const HttpRequest &request, const HttpReply &reply) {
              callJob(target, &EntryCore::query, request, reply);
          });
    route("DELETE", "/v1/jobs/:caller/:submission",
          [](EntryCore &target, const HttpRequest &request, const HttpReply &reply) {
              callJob(target, &EntryCore::cancel, request, reply);
          });
    route("POST", "/v1/configuration", &apply);
    route("GET", "/v1/configuration", &showConfiguration);
    server.route("GET", "/v1/configuration/history", askHandler(core, "history"));
    server.route("GET", "/v1/configuration/acknowledged", askHandler(core, "acknowledged"));
    server.route("GET", "/v1/members", askHandler(core, "members"));
    server.route("GET", "/v1/cells", askHandler(core, "cells"));
}

} // namespace agatedrum
