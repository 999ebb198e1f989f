#pragma once

#include "agatedrum_types.h"

#include <cstddef>
#include <cstdint>

namespace agatedrum {

/// Returns the XXH3-64 hash over the fields that must be equal in a resubmission: team, service, tasks, submission time
/// and the idempotent flag.
std::int64_t jobDigest(const wire::JobSpec &spec);

/// Returns the index of the job's cell among the cells of its service, which are sorted by number.
/// Precondition: cells, the number of cells of the service, is above 0.
std::size_t cellIndex(const wire::JobKey &key, std::size_t cells);

} // namespace agatedrum
