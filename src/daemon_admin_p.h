#pragma once

#include "base_core_p.h"
#include "http_server_p.h"
#include "wire_bus_p.h"

#include <string>

namespace agatedrum {

/// Data sources of the admin pages of a process.
struct AdminSources
{
    std::string role;
    std::string name;
    const CoreI &core;
    const PeerBus &bus;
};

/// Adds the routes /healthz, /readyz, /metrics and /v1/dump. Precondition: the sources outlive the server.
void registerAdminRoutes(HttpServer &server, const AdminSources &sources);

} // namespace agatedrum
