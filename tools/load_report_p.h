#pragma once

#include "load_client_p.h"

#include <nlohmann/json.hpp>

#include <string>

namespace agatedrum::tools {

/// Figures of a run: how the jobs ended, responses of the complete jobs, and the ideal for the same arrivals.
nlohmann::json makeReport(const LoadOptions &options, const LoadPlan &plan, const LoadResult &result);
/// The report as a table for people.
std::string reportTable(const nlohmann::json &report);

} // namespace agatedrum::tools
