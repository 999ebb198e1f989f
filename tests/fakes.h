#pragma once

#include "wire_message_p.h"

#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace agatedrum::test {

/// Records sent messages, so that a test can inspect, deliver, drop or repeat them.
class RecordingSink : public MessageSinkI
{
public:
    struct Sent
    {
        wire::Endpoint to;
        Payload payload;
    };

    void send(const wire::Endpoint &to, Payload payload) override
    {
        const std::lock_guard lock(this->mutex);
        this->sent.push_back({to, std::move(payload)});
    }

    /// Returns and removes all messages sent since the last call.
    std::vector<Sent> take()
    {
        const std::lock_guard lock(this->mutex);
        return std::exchange(this->sent, {});
    }

    /// Returns all messages of one type since the last take(), without removing them.
    template<typename T>
    std::vector<T> all()
    {
        const std::lock_guard lock(this->mutex);
        std::vector<T> found;
        for (const auto &message : this->sent) {
            if (const auto *typed = std::get_if<T>(&message.payload)) {
                found.push_back(*typed);
            }
        }
        return found;
    }

private:
    std::mutex mutex;
    std::vector<Sent> sent;
};

inline wire::Endpoint endpoint(int port)
{
    wire::Endpoint result;
    result.host = "127.0.0.1";
    result.port = port;
    return result;
}

inline wire::ProcessId processId(const std::string &name, std::int64_t incarnation = 1)
{
    wire::ProcessId id;
    id.name = name;
    id.incarnation = incarnation;
    return id;
}

inline IncomingMessage incoming(const std::string &sender, wire::Role::type role, int port, Payload payload,
                                std::int64_t incarnation = 1)
{
    return {processId(sender, incarnation), role, endpoint(port), 0, std::move(payload)};
}

} // namespace agatedrum::test
