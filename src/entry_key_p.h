#pragma once

#include "agatedrum_types.h"

#include <cstddef>
#include <cstdint>

namespace agatedrum {

/// XXH3-64 over everything that a resubmission must repeat: team, service, tasks, time of submission, idempotent.
std::int64_t jobDigest(const wire::JobSpec &spec);

/// Which of a service's cells, in the order of their numbers, holds the job. Precondition: cells is above 0.
std::size_t cellIndex(const wire::JobKey &key, std::size_t cells);

} // namespace agatedrum
