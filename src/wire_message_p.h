#pragma once

#include "agatedrum_types.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace agatedrum {

/// One message between processes. The alternatives are the members of wire::Message.
using Payload
    = std::variant<wire::SubmitJob, wire::CancelJob, wire::QueryJob, wire::JobReply, wire::NotOwner, wire::RecordBatch,
                   wire::RecordSnapshot, wire::RecordAck, wire::StartBatch, wire::CancelBatch, wire::ResultAck,
                   wire::Fence, wire::AgentHello, wire::ResultBatch, wire::StartRefused, wire::AgentState,
                   wire::MemberHeartbeat, wire::HeartbeatReply, wire::ClusterView, wire::ApplyConfig, wire::ApplyReply,
                   wire::ControlQuery, wire::ControlAnswer, wire::OrderEvacuation, wire::RequestVote, wire::VoteReply,
                   wire::AppendEntries, wire::AppendReply, wire::InstallSnapshot, wire::InstallReply, wire::TimeoutNow,
                   wire::SnapshotChunk, wire::SnapshotChunkReply, wire::VoterLeaving, wire::HostReport,
                   wire::HostContact, wire::RunTasks, wire::StopTasks, wire::TaskReports, wire::StartsInDoubt,
                   wire::OrdersElsewhere>;

/// A received message with the sender's data from its envelope.
struct IncomingMessage
{
    wire::ProcessId sender;
    wire::Role::type role = wire::Role::TOOL;
    wire::Endpoint address;
    std::int64_t configNumber = 0;
    Payload payload;
};

/// Sends messages. Implementations are thread-safe and do not block. A message may be lost, delayed, duplicated or
/// reordered.
struct MessageSinkI
{
    virtual ~MessageSinkI() = default;
    /// @param to address on which the receiving process listens.
    virtual void send(const wire::Endpoint &to, Payload payload) = 0;
};

/// Returns the name of a role as used in settings and by operators.
const char *roleName(wire::Role::type role);

/// Parses "IP:PORT". @return std::nullopt if the text is not a valid IPv4 address and port.
std::optional<wire::Endpoint> parseEndpoint(const std::string &text);

/// Returns the approximate size of a message when it is sent, in bytes.
std::size_t estimateBytes(const Payload &payload);

/// Converts a payload to the wire::Message union that is sent.
wire::Message toMessage(Payload &&payload);

/// Splits an envelope into its messages. Skips messages of a type that this version does not know.
std::vector<IncomingMessage> fromEnvelope(wire::Envelope &&envelope);

} // namespace agatedrum
