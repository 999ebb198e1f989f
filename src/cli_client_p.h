#pragma once

#include "agatedrum/result.h"
#include "cli_options_p.h"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace agatedrum {

/// HTTP response of an entry.
struct ClientAnswer
{
    int status = 0;
    std::string body;
};

/// HTTP client for one entry. Not thread-safe.
class CliClient
{
public:
    /// @param baseUrl URL of the entry, without a trailing slash.
    CliClient(std::string baseUrl, std::chrono::seconds timeout);

    /// Sends one request and waits for the response. Never retries.
    /// @param target path and query, percent-encoded.
    Result<ClientAnswer, CliFailure> request(const std::string &method, const std::string &target,
                                             const std::string &body = {}) const;
    /// Sends a request and parses the response as JSON. An error status becomes a failure with the matching exit code.
    Result<nlohmann::json, CliFailure> requestJson(const std::string &method, const std::string &target,
                                                   const std::string &body = {}) const;

private:
    const std::string baseUrl;
    const std::chrono::seconds timeout;
};

/// Percent-encodes all characters that are not unreserved in a URL.
std::string encodePercent(std::string_view text);

} // namespace agatedrum
