#pragma once

#include "base_core_p.h"
#include "http_server_p.h"
#include "wire_bus_p.h"

#include <string>

namespace agatedrum {

/// What the pages of an operator show of a process.
struct AdminSources
{
    std::string role;
    std::string name;
    const CoreI &core;
    const PeerBus &bus;
};

/// Adds /healthz, /readyz, /metrics and /v1/dump. Precondition: the sources outlive the server.
void registerAdminRoutes(HttpServer &server, const AdminSources &sources);

} // namespace agatedrum
