#pragma once

#include "agatedrum/result.h"
#include "cli_options_p.h"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace agatedrum {

struct ClientAnswer
{
    int status = 0;
    std::string body;
};

/// Talks HTTP to an entry. Not thread-safe.
class CliClient
{
public:
    /// @param base URL of the entry without a slash at its end.
    CliClient(std::string base, std::chrono::seconds timeout);

    /// Makes one request. Never repeats it.
    /// @param target path and query, encoded.
    Result<ClientAnswer, CliFailure> request(const std::string &method, const std::string &target,
                                             const std::string &body = {}) const;
    /// Makes a request whose answer is JSON; a refusal becomes a failure with its exit code.
    Result<nlohmann::json, CliFailure> requestJson(const std::string &method, const std::string &target,
                                                   const std::string &body = {}) const;

private:
    const std::string base;
    const std::chrono::seconds timeout;
};

/// Encodes all that is not unreserved in a URL.
std::string encodePercent(std::string_view text);

} // namespace agatedrum
