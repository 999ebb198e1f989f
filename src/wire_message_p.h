#pragma once

#include "agatedrum_types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace agatedrum {

/// One message between processes. Alternatives are the members of wire::Message.
using Payload
    = std::variant<wire::SubmitJob, wire::CancelJob, wire::QueryJob, wire::JobReply, wire::NotOwner, wire::RecordBatch,
                   wire::RecordSnapshot, wire::RecordAck, wire::StartBatch, wire::CancelBatch, wire::ResultAck,
                   wire::Fence, wire::AgentHello, wire::ResultBatch, wire::StartRefused, wire::AgentState,
                   wire::MemberHeartbeat, wire::HeartbeatReply, wire::ClusterView, wire::ApplyConfig, wire::ApplyReply,
                   wire::ControlQuery, wire::ControlAnswer, wire::RequestVote, wire::VoteReply, wire::AppendEntries,
                   wire::AppendReply, wire::InstallSnapshot, wire::InstallReply, wire::TimeoutNow, wire::HostReport,
                   wire::HostContact, wire::RunTasks, wire::StopTasks, wire::TaskReports>;

/// A received message with what its envelope says of the sender.
struct Incoming
{
    wire::ProcessId sender;
    wire::Role::type role = wire::Role::TOOL;
    wire::Endpoint address;
    std::int64_t configNumber = 0;
    Payload payload;
};

/// Sends messages. Implementations are thread-safe and never block; a message may be lost, late, repeated or reordered.
struct MessageSinkI
{
    virtual ~MessageSinkI() = default;
    /// @param to where the receiving process listens.
    virtual void send(const wire::Endpoint &to, Payload payload) = 0;
};

/// Name of a role as settings and operators write it.
const char *roleName(wire::Role::type role);

/// Reads "IP:PORT". Nothing when the text is not that.
std::optional<wire::Endpoint> parseEndpoint(const std::string &text);

/// Turns a payload into the union that travels.
wire::Message toMessage(Payload &&payload);

/// Splits an envelope. Messages of a kind that this version does not know are left out.
std::vector<Incoming> fromEnvelope(wire::Envelope &&envelope);

} // namespace agatedrum
