#include "cli_client_p.h"

#include <curl/curl.h>
#include <fmt/format.h>

#include <cctype>
#include <memory>
#include <mutex>
#include <utility>

namespace agatedrum {

namespace {

using Json = nlohmann::json;

constexpr long connectTimeoutSeconds = 5;
constexpr int firstErrorStatus = 400;
constexpr int badRequest = 400;
constexpr int notFound = 404;
constexpr int conflict = 409;

using CurlHandle = std::unique_ptr<CURL, decltype(&curl_easy_cleanup)>;
using HeaderList = std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)>;

std::size_t appendBody(const char *bytes, std::size_t size, std::size_t count, void *target)
{
    static_cast<std::string *>(target)->append(bytes, size * count);
    return size * count;
}

/// Returns true if the error proves that the request did not reach a server.
bool wasNotSent(CURLcode code)
{
    return code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST || code == CURLE_URL_MALFORMAT
        || code == CURLE_UNSUPPORTED_PROTOCOL;
}

ExitCode exitCodeForError(const std::string &method, int status, const Json &error)
{
    const bool isRead = method == "GET";
    if (status == notFound && (isRead || error.value("code", "") == "NOT_FOUND")) {
        return ExitCode::NotFound;
    }
    if (status == conflict) {
        return ExitCode::Conflict;
    }
    if (status == badRequest) {
        return ExitCode::BadInput;
    }
    return error.value("notRun", false) ? ExitCode::NotRun : (isRead ? ExitCode::Unreachable : ExitCode::Unknown);
}

CliFailure makeErrorFailure(const std::string &method, int status, const Json &body)
{
    const auto error = body.is_object() ? body.value("error", Json()) : Json();
    if (!error.is_object()) {
        return {ExitCode::BadAnswer, fmt::format("unexpected response with status {}: {}", status, body.dump())};
    }
    auto message = error.value("message", "");
    const auto field = error.value("field", "");
    if (!field.empty()) {
        message = field + ": " + message;
    }
    const auto retryAfter = error.value("retryAfterMs", 0);
    return {exitCodeForError(method, status, error),
            fmt::format("{} ({}{}{})", message, error.value("code", "refused"),
                        error.value("notRun", false) ? ", not run" : "",
                        retryAfter > 0 ? fmt::format(", try again after {} ms", retryAfter) : "")};
}

} // namespace

CliClient::CliClient(std::string baseUrl, std::chrono::seconds timeout)
    : baseUrl(std::move(baseUrl))
    , timeout(timeout)
{
    static std::once_flag once;
    std::call_once(once, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
}

Result<ClientAnswer, CliFailure> CliClient::request(const std::string &method, const std::string &target,
                                                    const std::string &body) const
{
    const CurlHandle handle(curl_easy_init(), &curl_easy_cleanup);
    const HeaderList headers(curl_slist_append(nullptr, "Content-Type: application/octet-stream"),
                             &curl_slist_free_all);
    ClientAnswer answer;
    const auto url = this->baseUrl + target;
    curl_easy_setopt(handle.get(), CURLOPT_URL, url.c_str());
    curl_easy_setopt(handle.get(), CURLOPT_PROTOCOLS_STR, "http,https");
    curl_easy_setopt(handle.get(), CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle.get(), CURLOPT_CONNECTTIMEOUT, connectTimeoutSeconds);
    curl_easy_setopt(handle.get(), CURLOPT_TIMEOUT, static_cast<long>(this->timeout.count()));
    if (method == "POST") {
        curl_easy_setopt(handle.get(), CURLOPT_HTTPHEADER, headers.get());
        curl_easy_setopt(handle.get(), CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(body.size()));
        curl_easy_setopt(handle.get(), CURLOPT_POSTFIELDS, body.data());
    } else {
        curl_easy_setopt(handle.get(), CURLOPT_CUSTOMREQUEST, method.c_str());
    }
    curl_easy_setopt(handle.get(), CURLOPT_WRITEFUNCTION, &appendBody);
    curl_easy_setopt(handle.get(), CURLOPT_WRITEDATA, &answer.body);
    const auto code = curl_easy_perform(handle.get());
    if (code != CURLE_OK) {
        const bool isOutcomeUnknown = method != "GET" && !wasNotSent(code);
        return CliFailure {isOutcomeUnknown ? ExitCode::Unknown : ExitCode::Unreachable,
                           fmt::format("{}: {}{}", url, curl_easy_strerror(code),
                                       isOutcomeUnknown ? "; the request may have been carried out" : "")};
    }
    long status = 0;
    curl_easy_getinfo(handle.get(), CURLINFO_RESPONSE_CODE, &status);
    answer.status = static_cast<int>(status);
    return answer;
}

Result<Json, CliFailure> CliClient::requestJson(const std::string &method, const std::string &target,
                                                const std::string &body) const
{
    const auto answer = this->request(method, target, body);
    if (!isOk(answer)) {
        return error(answer);
    }
    auto json = Json::parse(value(answer).body, nullptr, false);
    if (json.is_discarded()) {
        return CliFailure {ExitCode::BadAnswer,
                           fmt::format("the response with status {} is not valid JSON", value(answer).status)};
    }
    if (value(answer).status >= firstErrorStatus) {
        return makeErrorFailure(method, value(answer).status, json);
    }
    return json;
}

std::string encodePercent(std::string_view text)
{
    std::string encoded;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (std::isalnum(byte) != 0 || std::string_view("-._~").find(c) != std::string_view::npos) {
            encoded += c;
        } else {
            encoded += fmt::format("%{:02X}", byte);
        }
    }
    return encoded;
}

} // namespace agatedrum
