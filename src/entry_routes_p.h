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

/// A cell, its epoch and the address of its owner.
struct CellRoute
{
    std::int32_t cell = 0;
    std::int64_t epoch = 0;
    std::optional<wire::Endpoint> owner; ///< std::nullopt if the cell has no owner
};

/// Whether the cell of a job can be determined for a service.
enum class RouteState {
    Found, ///< the cells are known; a cell may have no owner
    Unavailable, ///< no view has been received, or the view does not list all cells of the service
    NeverKnown, ///< the service is in no configuration received so far
    Removed ///< the service was in an earlier configuration only
};

/// Immutable map from services to their cells, built from a cluster view.
class EntryRoutes
{
public:
    EntryRoutes() = default;
    /// @param previous routes of the previous view; its set of known services is carried over.
    EntryRoutes(const wire::ClusterView &view, const EntryRoutes &previous);

    /// Returns whether the cells of the service are known.
    RouteState state(const std::string &service) const;
    /// Returns the cell of the job with this key. Precondition: state(service) is Found.
    const CellRoute &route(const std::string &service, const wire::JobKey &key) const;
    nlohmann::json dump() const;

private:
    /// by service, sorted by cell number; only services whose cells are all listed
    std::map<std::string, std::vector<CellRoute>> cells;
    std::set<std::string> services; ///< services of the newest configuration
    std::set<std::string> knownServices; ///< services of any configuration received so far
    bool hasView = false;
};

} // namespace agatedrum
