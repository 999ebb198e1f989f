#pragma once

#include "member_link_p.h"
#include "settings_process_p.h"

namespace agatedrum {

/// Returns the options for the connection of a process with these settings to the control group.
inline MemberOptions memberOptions(const ProcessSettings &settings, const wire::ProcessId &self, Millis interval)
{
    MemberOptions options;
    options.self = self;
    options.role = settings.role;
    options.failureDomain = settings.failureDomain;
    options.address = settings.peers;
    options.control = settings.control;
    options.heartbeatInterval = interval;
    return options;
}

} // namespace agatedrum
