#pragma once

#include "load_client_p.h"

#include <nlohmann/json.hpp>

#include <string>

namespace agatedrum::tools {

/// Returns the report of a run: counts of job results, response times of the complete jobs, and the response times of
/// an ideal queue for the same arrivals.
nlohmann::json makeReport(const LoadOptions &options, const LoadPlan &plan, const LoadResult &result);
/// Formats the report as a table for people.
std::string reportTable(const nlohmann::json &report);

} // namespace agatedrum::tools
