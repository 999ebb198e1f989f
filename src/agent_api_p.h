#pragma once

#include "agatedrum/result.h"
#include "agent_core_p.h"
#include "http_server_p.h"

#include <string>

namespace agatedrum {

/// Describes why an announcement is invalid.
struct AnnouncementError
{
    std::string field; ///< name of the invalid field; empty if the whole body is invalid
    std::string message;
};

/// Parses and validates the JSON body of an announcement. Thread-safe.
Result<Announcement, AnnouncementError> parseAnnouncement(const std::string &body);

/// Registers the resource "POST /v1/announce".
/// Preconditions: the server has not been started; core outlives the server.
void registerAgentRoutes(HttpServer &server, AgentCore &core);

} // namespace agatedrum
