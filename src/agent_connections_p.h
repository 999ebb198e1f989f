#pragma once

#include "base_clock_p.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace agatedrum {

/// The open connections to backend servers on which an instance has shown itself. A connection ends with the instance
/// that accepted it, so what is sent on it later reaches that instance or nobody. Not thread-safe.
class BackendConnections
{
public:
    /// @param maxIdleTime time without a request after which a connection is no longer used
    explicit BackendConnections(Millis maxIdleTime);

    /// Names a connection; unique among the open ones.
    static std::string keyOf(const std::string &address, int port, int localPort);

    /// Records that a socket was connected. What was known of an earlier connection with the same key is forgotten.
    void recordOpened(int socket, const std::string &key);
    void recordClosed(int socket);
    /// Records which instance has answered on the connection. Ignored if the connection is closed.
    void recordInstance(const std::string &key, const std::string &instance);
    /// Records that a call begins to use the connection.
    void recordUse(const std::string &key, std::int64_t call);
    /// Records that a call uses the connection no longer. Ignored if it is closed or another call uses it already.
    void recordIdle(const std::string &key, std::int64_t call, Time now);

    /// Returns whether the instance has answered on the connection.
    bool belongsTo(const std::string &key, const std::string &instance) const;
    /// Returns the number of idle connections on which the instance has answered.
    std::size_t idleCount(const std::string &instance, Time now) const;

private:
    struct Connection
    {
        int socket = -1;
        std::string instance; ///< empty if it is not known
        std::int64_t user = 0; ///< number of the call that uses it, or used it last
        bool isUsed = true;
        Time idleSince;
    };

    const Millis maxIdleTime;
    std::map<std::string, Connection> connections;
};

} // namespace agatedrum
