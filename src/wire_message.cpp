#include "wire_message_p.h"

#include <arpa/inet.h>

#include <charconv>
#include <optional>
#include <utility>

namespace agatedrum {

namespace {

constexpr int maxPort = 65535;

/// Calls visit(member, isSet, set) for each member of the union, in the order of Payload's alternatives: isSet()
/// returns whether the member is set, set() marks it as set.
template<typename Message, typename Visitor>
void forEachMember(Message &message, Visitor &&visit)
{
#define AGATEDRUM_MEMBER(name)                                                                                         \
    visit(                                                                                                             \
        message.name, [&message] { return static_cast<bool>(message.__isset.name); },                                  \
        [&message] { message.__isset.name = true; })
    AGATEDRUM_MEMBER(submitJob);
    AGATEDRUM_MEMBER(cancelJob);
    AGATEDRUM_MEMBER(queryJob);
    AGATEDRUM_MEMBER(jobReply);
    AGATEDRUM_MEMBER(notOwner);
    AGATEDRUM_MEMBER(recordBatch);
    AGATEDRUM_MEMBER(recordSnapshot);
    AGATEDRUM_MEMBER(recordAck);
    AGATEDRUM_MEMBER(startBatch);
    AGATEDRUM_MEMBER(cancelBatch);
    AGATEDRUM_MEMBER(resultAck);
    AGATEDRUM_MEMBER(fence);
    AGATEDRUM_MEMBER(agentHello);
    AGATEDRUM_MEMBER(resultBatch);
    AGATEDRUM_MEMBER(startRefused);
    AGATEDRUM_MEMBER(agentState);
    AGATEDRUM_MEMBER(memberHeartbeat);
    AGATEDRUM_MEMBER(heartbeatReply);
    AGATEDRUM_MEMBER(clusterView);
    AGATEDRUM_MEMBER(applyConfig);
    AGATEDRUM_MEMBER(applyReply);
    AGATEDRUM_MEMBER(controlQuery);
    AGATEDRUM_MEMBER(controlAnswer);
    AGATEDRUM_MEMBER(orderEvacuation);
    AGATEDRUM_MEMBER(requestVote);
    AGATEDRUM_MEMBER(voteReply);
    AGATEDRUM_MEMBER(appendEntries);
    AGATEDRUM_MEMBER(appendReply);
    AGATEDRUM_MEMBER(installSnapshot);
    AGATEDRUM_MEMBER(installReply);
    AGATEDRUM_MEMBER(timeoutNow);
    AGATEDRUM_MEMBER(snapshotChunk);
    AGATEDRUM_MEMBER(snapshotChunkReply);
    AGATEDRUM_MEMBER(voterLeaving);
    AGATEDRUM_MEMBER(hostReport);
    AGATEDRUM_MEMBER(hostContact);
    AGATEDRUM_MEMBER(runTasks);
    AGATEDRUM_MEMBER(stopTasks);
    AGATEDRUM_MEMBER(taskReports);
    AGATEDRUM_MEMBER(startsInDoubt);
    AGATEDRUM_MEMBER(ordersElsewhere);
#undef AGATEDRUM_MEMBER
}

std::optional<Payload> takePayload(wire::Message &message)
{
    std::optional<Payload> payload;
    forEachMember(message, [&payload](auto &member, auto isSet, auto) {
        if (isSet()) {
            payload = std::move(member);
        }
    });
    return payload;
}

} // namespace

const char *roleName(wire::Role::type role)
{
    switch (role) {
    case wire::Role::ENTRY:
        return "entry";
    case wire::Role::OWNER:
        return "owner";
    case wire::Role::AGENT:
        return "agent";
    case wire::Role::CONTROL:
        return "control";
    case wire::Role::TOOL:
        break;
    }
    return "tool";
}

std::optional<wire::Endpoint> parseEndpoint(const std::string &text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    wire::Endpoint endpoint;
    endpoint.host = text.substr(0, colon);
    const auto *textEnd = text.data() + text.size();
    const auto [end, code] = std::from_chars(text.data() + colon + 1, textEnd, endpoint.port);
    in_addr address {};
    const bool isPort = code == std::errc() && end == textEnd && endpoint.port > 0 && endpoint.port <= maxPort;
    const bool isTerminatedEarly = endpoint.host.find('\0') != std::string::npos; // inet_pton() reads a C string
    if (!isPort || isTerminatedEarly || inet_pton(AF_INET, endpoint.host.c_str(), &address) != 1) {
        return std::nullopt;
    }
    return endpoint;
}

wire::Message toMessage(Payload &&payload)
{
    wire::Message message;
    std::visit(
        [&message](auto &alternative) {
            using Alternative = std::decay_t<decltype(alternative)>;
            forEachMember(message, [&alternative](auto &member, auto, auto set) {
                if constexpr (std::is_same_v<std::decay_t<decltype(member)>, Alternative>) {
                    member = std::move(alternative);
                    set();
                }
            });
        },
        payload);
    return message;
}

std::vector<IncomingMessage> fromEnvelope(wire::Envelope &&envelope)
{
    std::vector<IncomingMessage> incoming;
    incoming.reserve(envelope.messages.size());
    for (auto &message : envelope.messages) {
        if (auto payload = takePayload(message)) {
            incoming.push_back(
                {envelope.sender, envelope.role, envelope.address, envelope.configNumber, std::move(*payload)});
        }
    }
    return incoming;
}

} // namespace agatedrum
