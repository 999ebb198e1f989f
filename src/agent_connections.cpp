#include "agent_connections_p.h"

#include <fmt/format.h>

#include <algorithm>

namespace agatedrum {

BackendConnections::BackendConnections(Millis maxIdleTime)
    : maxIdleTime(maxIdleTime)
{
}

std::string BackendConnections::keyOf(const std::string &address, int port, int localPort)
{
    return fmt::format("{}:{}-{}", address, port, localPort);
}

void BackendConnections::recordOpened(int socket, const std::string &key)
{
    this->recordClosed(socket);
    Connection connection;
    connection.socket = socket;
    this->connections[key] = connection;
}

void BackendConnections::recordClosed(int socket)
{
    const auto found = std::find_if(this->connections.begin(), this->connections.end(),
                                    [socket](const auto &each) { return each.second.socket == socket; });
    if (found != this->connections.end()) {
        this->connections.erase(found);
    }
}

void BackendConnections::recordInstance(const std::string &key, const std::string &instance)
{
    const auto found = this->connections.find(key);
    if (found != this->connections.end()) {
        found->second.instance = instance;
    }
}

void BackendConnections::recordUse(const std::string &key, std::int64_t call)
{
    const auto found = this->connections.find(key);
    if (found != this->connections.end()) {
        found->second.user = call;
        found->second.isUsed = true;
    }
}

void BackendConnections::recordIdle(const std::string &key, std::int64_t call, Time now)
{
    const auto found = this->connections.find(key);
    if (found != this->connections.end() && found->second.user == call) {
        found->second.isUsed = false;
        found->second.idleSince = now;
    }
}

bool BackendConnections::belongsTo(const std::string &key, const std::string &instance) const
{
    const auto found = this->connections.find(key);
    return found != this->connections.end() && found->second.instance == instance;
}

std::size_t BackendConnections::idleCount(const std::string &instance, Time now) const
{
    return static_cast<std::size_t>(
        std::count_if(this->connections.begin(), this->connections.end(), [&](const auto &each) {
            const auto &connection = each.second;
            return connection.instance == instance && !connection.isUsed
                && now - connection.idleSince < this->maxIdleTime;
        }));
}

} // namespace agatedrum
