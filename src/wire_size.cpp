#include "wire_message_p.h"

namespace agatedrum {

namespace {

constexpr std::size_t messageBytes = 256; ///< a message without content of variable size, with its share of an envelope
constexpr std::size_t itemBytes = 64; ///< an item of a list without texts
constexpr std::size_t memberBytes = 128; ///< a process with its name and address

// contentBytes() returns the size of a message's content of variable size.

std::size_t contentBytes(const wire::JobSpec &spec)
{
    std::size_t bytes = spec.key.caller.size() + spec.key.submission.size();
    for (const auto &task : spec.tasks) {
        bytes += itemBytes + task.id.size() + task.body.size();
    }
    return bytes;
}

std::size_t contentBytes(const std::vector<wire::TaskResult> &results)
{
    std::size_t bytes = 0;
    for (const auto &result : results) {
        bytes += itemBytes + result.body.size();
    }
    return bytes;
}

std::size_t contentBytes(const std::vector<wire::RecordOp> &ops)
{
    std::size_t bytes = 0;
    for (const auto &op : ops) {
        bytes += memberBytes + contentBytes(op.accepted) + contentBytes(op.results);
    }
    return bytes;
}

std::size_t contentBytes(const wire::SubmitJob &message)
{
    return contentBytes(message.spec);
}

std::size_t contentBytes(const wire::JobReply &message)
{
    return contentBytes(message.answer.results);
}

std::size_t contentBytes(const wire::RecordBatch &message)
{
    return contentBytes(message.ops);
}

std::size_t contentBytes(const wire::RecordSnapshot &message)
{
    return contentBytes(message.ops);
}

std::size_t contentBytes(const wire::StartBatch &message)
{
    std::size_t bytes = 0;
    for (const auto &start : message.starts) {
        bytes += memberBytes + start.body.size();
    }
    return bytes;
}

std::size_t contentBytes(const wire::ResultBatch &message)
{
    std::size_t bytes = 0;
    for (const auto &result : message.results) {
        bytes += memberBytes + result.result.body.size();
    }
    return bytes;
}

std::size_t contentBytes(const wire::AgentState &message)
{
    std::size_t bytes = 0;
    for (const auto &task : message.tasks) {
        bytes += memberBytes + task.result.body.size();
    }
    return bytes;
}

std::size_t contentBytes(const wire::ClusterView &message)
{
    std::size_t bytes = message.config.text.size() + memberBytes * message.entries.size();
    for (const auto &cell : message.cells) {
        bytes += memberBytes * (1 + cell.holders.size() + cell.agents.size());
    }
    return bytes;
}

std::size_t contentBytes(const wire::ApplyConfig &message)
{
    return message.text.size();
}

std::size_t contentBytes(const wire::ApplyReply &message)
{
    return message.message.size() + message.inForce.text.size() + itemBytes * message.lagging.size();
}

std::size_t contentBytes(const wire::ControlAnswer &message)
{
    return message.json.size();
}

std::size_t contentBytes(const wire::AppendEntries &message)
{
    std::size_t bytes = 0;
    for (const auto &entry : message.entries) {
        bytes += itemBytes + entry.command.size();
    }
    return bytes;
}

std::size_t contentBytes(const wire::InstallSnapshot &message)
{
    return message.data.size();
}

std::size_t contentBytes(const wire::SnapshotChunk &message)
{
    return message.data.size();
}

std::size_t contentBytes(const wire::RunTasks &message)
{
    return message.spec.size() + itemBytes * (message.orders.size() + message.elsewhere.size());
}

std::size_t contentBytes(const wire::TaskReports &message)
{
    return memberBytes * message.reports.size();
}

/// All other messages are small.
template<typename Message>
std::size_t contentBytes(const Message & /*message*/)
{
    return 0;
}

} // namespace

std::size_t estimateBytes(const Payload &payload)
{
    return messageBytes + std::visit([](const auto &message) { return contentBytes(message); }, payload);
}

} // namespace agatedrum
