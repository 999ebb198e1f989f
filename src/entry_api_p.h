#pragma once

#include "entry_core_p.h"
#include "http_server_p.h"

namespace agatedrum {

/// Adds the resources under /v1 to a server. Preconditions: the server has not started; core outlives it.
void addEntryRoutes(HttpServer &server, EntryCore &core);

} // namespace agatedrum
