#pragma once

#include "agatedrum_types.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace agatedrum {

/// One cell and who owns it.
struct CellRoute
{
    std::int32_t cell = 0;
    std::int64_t epoch = 0;
    std::optional<wire::Endpoint> owner;
};

/// What a view says of the way to a job's cell.
enum class RouteState {
    Found, ///< the cell is known; its owner may be missing
    Unavailable, ///< no view yet, or the view does not list all cells of the service
    NeverKnown, ///< the service is in no configuration that was seen
    Removed ///< the service was in an earlier configuration
};

/// Immutable map from services to their cells.
class EntryRoutes
{
public:
    EntryRoutes() = default;
    /// @param previous supplies the services of earlier views.
    EntryRoutes(const wire::ClusterView &view, const EntryRoutes &previous);

    RouteState state(const std::string &service) const;
    /// Precondition: state(service) is Found.
    const CellRoute &route(const std::string &service, const wire::JobKey &key) const;
    nlohmann::json dump() const;

private:
    std::map<std::string, std::vector<CellRoute>> cells; ///< sorted by number; only services with all their cells
    std::set<std::string> services; ///< in the newest configuration
    std::set<std::string> known; ///< in any configuration
    bool hasView = false;
};

} // namespace agatedrum
