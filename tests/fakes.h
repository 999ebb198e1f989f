#pragma once

#include "wire_message_p.h"

#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace agatedrum::test {

/// Keeps what is sent, so that a test can look at it, deliver it, lose it or repeat it.
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

    /// All messages since the last call.
    std::vector<Sent> take()
    {
        const std::lock_guard lock(this->mutex);
        return std::exchange(this->sent, {});
    }

    /// All messages of one type since the last take, which stay.
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

inline Incoming incoming(const std::string &sender, wire::Role::type role, int port, Payload payload,
                         std::int64_t incarnation = 1)
{
    return {processId(sender, incarnation), role, endpoint(port), 0, std::move(payload)};
}

} // namespace agatedrum::test
