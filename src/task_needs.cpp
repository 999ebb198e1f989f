#include "task_needs_p.h"

#include "host_resources_p.h"

#include <algorithm>

namespace agatedrum {

bool hasLabel(const std::vector<std::string> &labels, const std::string &label)
{
    return std::find(labels.begin(), labels.end(), label) != labels.end();
}

bool isEvacuated(const std::vector<std::string> &evacuatedDomains, const std::string &failureDomain)
{
    return std::find(evacuatedDomains.begin(), evacuatedDomains.end(), failureDomain) != evacuatedDomains.end();
}

std::string_view unmetNeed(const TaskNeeds &needs, const ServerOffer &offer, int groupTasks)
{
    if (offer.isEvacuated) {
        return "the failure domain of the backend server is evacuated";
    }
    if (!fits(needs.demand, offer.capacity)) {
        return "the demand exceeds the capacity of the backend server";
    }
    if (!needs.requiredLabel.empty() && !hasLabel(offer.labels, needs.requiredLabel)) {
        return "the backend server does not have the required label";
    }
    if (needs.maxPerHost > 0 && groupTasks >= needs.maxPerHost) {
        return "the host has as many tasks of the group as it may have";
    }
    return {};
}

} // namespace agatedrum
