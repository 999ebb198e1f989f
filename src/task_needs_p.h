#pragma once

#include "agatedrum_types.h"

#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace agatedrum {

/// What a task of a best-effort job needs of the backend server that runs it.
struct TaskNeeds
{
    wire::Resources demand;
    std::string requiredLabel; ///< label that the host must have; empty for none
    int group = 0; ///< tasks of one group share the limit maxPerHost
    int maxPerHost = 0; ///< maximum number of tasks of the group per host; 0 for no limit

    friend bool operator==(const TaskNeeds &a, const TaskNeeds &b)
    {
        return std::tie(a.demand, a.requiredLabel, a.group, a.maxPerHost)
            == std::tie(b.demand, b.requiredLabel, b.group, b.maxPerHost);
    }
};

/// What a backend server offers to tasks, as far as it does not change with its load.
struct ServerOffer
{
    const wire::Resources &capacity;
    const std::vector<std::string> &labels;
    bool isEvacuated = false; ///< its failure domain is evacuated, so that no task may start there
};

/// Returns whether the list of evacuated failure domains contains this one. Thread-safe.
bool isEvacuated(const std::vector<std::string> &evacuatedDomains, const std::string &failureDomain);

bool hasLabel(const std::vector<std::string> &labels, const std::string &label);

/// Returns why a backend server may not run the task, or an empty string if it may, now or when it has free capacity.
/// Entries place tasks by it, as reported; hosts accept and start them by it, as registered. Thread-safe.
/// @param groupTasks number of other tasks of the job that count towards the task's limit there
std::string_view unmetNeed(const TaskNeeds &needs, const ServerOffer &offer, int groupTasks);

} // namespace agatedrum
