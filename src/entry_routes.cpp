#include "entry_routes_p.h"

#include "base_log_p.h"
#include "config_cluster_p.h"
#include "entry_key_p.h"

#include <algorithm>

namespace agatedrum {

EntryRoutes::EntryRoutes(const wire::ClusterView &view, const EntryRoutes &previous)
    : knownServices(previous.knownServices)
{
    if (view.config.number == 0) {
        return; // no configuration has been accepted yet
    }
    const auto config = parseConfig(view.config.text);
    if (!isOk(config)) {
        log(LogLevel::Error, "entry", "configuration {} of the view cannot be parsed: {}", view.config.number,
            error(config).text());
        return;
    }
    for (const auto &cell : view.cells) {
        this->cells[cell.serviceName].push_back(
            {cell.cell, cell.epoch,
             cell.__isset.owner ? std::optional<wire::Endpoint>(cell.owner.address) : std::nullopt});
    }
    for (const auto &service : value(config).services) {
        this->services.insert(service.name);
        this->knownServices.insert(service.name);
    }
    for (auto it = this->cells.begin(); it != this->cells.end();) {
        const auto *service = value(config).service(it->first);
        // Hashing over an incomplete list of cells could map the same key to two different ledgers.
        if (service == nullptr || it->second.size() != static_cast<std::size_t>(service->cells)) {
            it = this->cells.erase(it);
            continue;
        }
        std::sort(it->second.begin(), it->second.end(),
                  [](const CellRoute &a, const CellRoute &b) { return a.cell < b.cell; });
        ++it;
    }
    this->hasView = true;
}

RouteState EntryRoutes::state(const std::string &service) const
{
    if (this->cells.count(service) > 0) {
        return RouteState::Found;
    }
    if (!this->hasView || this->services.count(service) > 0) {
        return RouteState::Unavailable;
    }
    return this->knownServices.count(service) > 0 ? RouteState::Removed : RouteState::NeverKnown;
}

const CellRoute &EntryRoutes::route(const std::string &service, const wire::JobKey &key) const
{
    const auto &list = this->cells.at(service);
    return list[cellIndex(key, list.size())];
}

nlohmann::json EntryRoutes::dump() const
{
    auto list = nlohmann::json::array();
    for (const auto &[service, routes] : this->cells) {
        for (const auto &route : routes) {
            const auto owner = route.owner ? route.owner->host + ":" + std::to_string(route.owner->port) : "";
            list.push_back({{"service", service}, {"cell", route.cell}, {"epoch", route.epoch}, {"owner", owner}});
        }
    }
    return list;
}

} // namespace agatedrum
