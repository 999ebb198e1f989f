#pragma once

#include "entry_core_p.h"
#include "http_server_p.h"

namespace agatedrum {

/// Registers the HTTP resources of the entry role under /v1.
/// Preconditions: the server has not been started; core outlives the server.
void addEntryRoutes(HttpServer &server, EntryCore &core);

} // namespace agatedrum
