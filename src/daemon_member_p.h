#pragma once

#include "member_link_p.h"
#include "settings_process_p.h"

namespace agatedrum {

/// What a process with these settings tells the control group of itself.
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
