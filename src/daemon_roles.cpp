#include "agatedrum/config.h"
#include "agent_api_p.h"
#include "agent_backend_p.h"
#include "agent_core_p.h"
#include "control_core_p.h"
#include "control_disk_p.h"
#include "control_store_p.h"
#include "daemon_member_p.h"
#include "daemon_process_p.h"
#include "entry_api_p.h"
#include "entry_core_p.h"
#include "owner_core_p.h"
#include "platform_roles_p.h"

#include <stdexcept>

namespace agatedrum {

namespace {

Millis heartbeatInterval(wire::Role::type role)
{
    switch (role) {
    case wire::Role::OWNER:
        return Millis(AGATEDRUM_OWNER_HEARTBEAT_MS);
    case wire::Role::AGENT:
        return Millis(AGATEDRUM_AGENT_HEARTBEAT_MS);
    default:
        return Millis(AGATEDRUM_MEMBER_HEARTBEAT_MS);
    }
}

class EntryRole : public RoleI
{
public:
    EntryRole(const ProcessSettings &settings, const wire::ProcessId &self, MessageSinkI &sink, const ClockI &clock)
        : link(sink, clock, memberOptions(settings, self, heartbeatInterval(settings.role)))
        , entry(sink, clock, this->link, entryOptions(settings))
    {
    }

    CoreI &core() override
    {
        return this->entry;
    }
    void addRoutes(HttpServer &server) override
    {
        addEntryRoutes(server, this->entry);
    }

private:
    static EntryOptions entryOptions(const ProcessSettings &settings)
    {
        EntryOptions options;
        options.maxRequests = static_cast<std::size_t>(settings.maxInFlight);
        options.requestTimeout = settings.requestTimeout;
        return options;
    }

    MemberLink link;
    EntryCore entry;
};

class OwnerRole : public RoleI
{
public:
    OwnerRole(const ProcessSettings &settings, const wire::ProcessId &self, MessageSinkI &sink, const ClockI &clock)
        : link(sink, clock, memberOptions(settings, self, heartbeatInterval(settings.role)))
        , owner(sink, clock, this->link, ownerOptions(settings, self))
    {
    }

    CoreI &core() override
    {
        return this->owner;
    }
    void addRoutes(HttpServer & /*server*/) override { }

private:
    static OwnerOptions ownerOptions(const ProcessSettings &settings, const wire::ProcessId &self)
    {
        OwnerOptions options;
        options.self = self;
        options.failureDomain = settings.failureDomain;
        options.shards = settings.shards;
        return options;
    }

    MemberLink link;
    OwnerCore owner;
};

class AgentRole : public RoleI
{
public:
    AgentRole(const ProcessSettings &settings, const wire::ProcessId &self, MessageSinkI &sink, const ClockI &clock)
        : link(sink, clock, memberOptions(settings, self, heartbeatInterval(settings.role)))
        , agent(sink, clock, this->link, this->backendClient, agentOptions(settings, self))
        , backendClient([this](const BackendOutcome &outcome) { this->agent.finished(outcome); })
    {
    }

    CoreI &core() override
    {
        return this->agent;
    }
    void addRoutes(HttpServer &server) override
    {
        registerAgentRoutes(server, this->agent);
    }

private:
    static AgentOptions agentOptions(const ProcessSettings &settings, const wire::ProcessId &self)
    {
        AgentOptions options;
        options.self = self;
        options.maxConnections = settings.maxBackendConnections;
        return options;
    }

    MemberLink link;
    AgentCore agent;
    CurlBackendClient backendClient; ///< destroyed first, since its thread calls the agent
};

class ControlRole : public RoleI
{
public:
    ControlRole(const ProcessSettings &settings, const wire::ProcessId &self, MessageSinkI &sink, const ClockI &clock)
        : store(openControlStore(settings.dataFolder))
        , control(sink, clock, *this->store, controlOptions(settings, self))
    {
    }

    CoreI &core() override
    {
        return this->control;
    }
    void addRoutes(HttpServer & /*server*/) override { }

private:
    static ControlOptions controlOptions(const ProcessSettings &settings, const wire::ProcessId &self)
    {
        ControlOptions options;
        options.self = self;
        options.address = settings.peers;
        options.group = settings.control;
        return options;
    }

    std::unique_ptr<ControlStore> store;
    ControlCore control;
};

template<typename Role>
std::unique_ptr<RoleI> createRole(const ProcessSettings &settings, const wire::ProcessId &self, MessageSinkI &sink,
                                  const ClockI &clock)
{
    return std::make_unique<Role>(settings, self, sink, clock);
}

} // namespace

std::unique_ptr<RoleI> makeRole(const ProcessSettings &settings, const wire::ProcessId &self, MessageSinkI &sink,
                                const ClockI &clock)
{
    if (settings.isOnPlatform) {
        return platform::makeRole(settings, self, sink, clock);
    }
    switch (settings.role) {
    case wire::Role::ENTRY:
        return createRole<EntryRole>(settings, self, sink, clock);
    case wire::Role::OWNER:
        return createRole<OwnerRole>(settings, self, sink, clock);
    case wire::Role::AGENT:
        return createRole<AgentRole>(settings, self, sink, clock);
    case wire::Role::CONTROL:
        return createRole<ControlRole>(settings, self, sink, clock);
    default:
        throw std::runtime_error("the daemon does not support the role in the settings");
    }
}

} // namespace agatedrum
