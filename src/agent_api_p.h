#pragma once

#include "agatedrum/result.h"
#include "agent_core_p.h"
#include "http_server_p.h"

#include <string>

namespace agatedrum {

/// What is wrong with an announcement.
struct AnnouncementError
{
    std::string field; ///< empty when the whole body is wrong
    std::string message;
};

/// Parses and checks the JSON body of an announcement. Thread-safe.
Result<Announcement, AnnouncementError> parseAnnouncement(const std::string &body);

/// Adds "POST /v1/announce". Preconditions: the server is not started; core outlives it.
void registerAgentRoutes(HttpServer &server, AgentCore &core);

} // namespace agatedrum
