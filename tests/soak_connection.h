#pragma once

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <string>
#include <string_view>

namespace agatedrum::test {

using SoakTime = std::chrono::steady_clock::time_point;
using SoakMillis = std::chrono::milliseconds;

inline SoakTime soakNow()
{
    return std::chrono::steady_clock::now();
}

struct SoakAddress
{
    std::string host;
    int port = 0;
};

/// Result of one request on a SoakConnection.
struct SoakExchange
{
    enum class End {
        Answered,
        NotConnected, ///< nothing was sent
        Cut, ///< the connection ended before the answer was complete
        TimedOut,
    };
    End end = End::NotConnected;
    int status = 0; ///< 0 unless answered
    std::string body;
    std::string location;
    bool isReset = false; ///< of a cut connection: ended by a reset
    std::size_t partialBytes = 0; ///< of a cut connection: bytes of the answer that were received
    bool isReused = false; ///< the connection had served a request before
    SoakTime beganAt;
    SoakTime sentAt; ///< when the last byte was handed to the system
    SoakTime endedAt;

    std::string text() const
    {
        const char *names[] = {"answered", "not connected", "cut", "timed out"};
        return fmt::format("{} {}{}{}{} after {} ms", names[static_cast<int>(this->end)], this->status,
                           this->isReset ? " reset" : "", this->partialBytes > 0 ? " partial answer" : "",
                           this->isReused ? " reused" : "",
                           std::chrono::duration_cast<SoakMillis>(this->endedAt - this->sentAt).count());
    }
};

/// Client connection that is used for one request after another until the server closes it.
class SoakConnection
{
public:
    /// State of a connection between two requests.
    enum class Idle { Usable, Closed, Reset, UnaskedBytes };

    SoakConnection() = default;
    ~SoakConnection()
    {
        this->close();
    }
    SoakConnection(const SoakConnection &) = delete;
    SoakConnection &operator=(const SoakConnection &) = delete;

    bool isOpen() const
    {
        return this->descriptor >= 0;
    }

    void close()
    {
        if (this->descriptor >= 0) {
            ::close(this->descriptor);
        }
        this->descriptor = -1;
        this->served = 0;
    }

    bool connect(const SoakAddress &address, SoakMillis timeout)
    {
        this->close();
        this->descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        sockaddr_in target {};
        target.sin_family = AF_INET;
        target.sin_port = htons(static_cast<std::uint16_t>(address.port));
        ::inet_pton(AF_INET, address.host.c_str(), &target.sin_addr);
        int result = ::connect(this->descriptor, reinterpret_cast<const sockaddr *>(&target), sizeof target);
        if (result != 0 && errno == EINPROGRESS && this->waitFor(POLLOUT, soakNow() + timeout)) {
            socklen_t length = sizeof result;
            ::getsockopt(this->descriptor, SOL_SOCKET, SO_ERROR, &result, &length);
        }
        if (result != 0) {
            this->close();
        }
        return result == 0;
    }

    /// Looks at a connection on which no answer is outstanding. A connection that is not usable is closed.
    Idle checkIdle()
    {
        char byte = 0;
        const auto count = ::recv(this->descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
            return Idle::Usable;
        }
        const auto state = count == 0 ? Idle::Closed : count < 0 ? Idle::Reset : Idle::UnaskedBytes;
        this->close();
        return state;
    }

    /// Sends a request and waits for its answer. Closes the connection if there is no complete answer, or if the answer
    /// announces that the server closes it.
    SoakExchange exchange(std::string_view request, SoakMillis timeout)
    {
        SoakExchange result;
        result.isReused = this->served++ > 0;
        result.beganAt = soakNow();
        const auto deadline = result.beganAt + timeout;
        this->send(request, deadline);
        result.sentAt = soakNow();
        this->receive(result, deadline);
        result.endedAt = soakNow();
        if (result.end != SoakExchange::End::Answered || this->mustClose) {
            this->close();
        }
        return result;
    }

private:
    bool waitFor(short events, SoakTime deadline) const
    {
        pollfd entry {this->descriptor, events, 0};
        const auto left = std::chrono::ceil<SoakMillis>(deadline - soakNow()).count();
        return left > 0 && ::poll(&entry, 1, static_cast<int>(left)) > 0;
    }

    /// Stops at the first error: the server may have answered before it has read the whole request.
    void send(std::string_view bytes, SoakTime deadline) const
    {
        while (!bytes.empty()) {
            const auto count = ::send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (count > 0) {
                bytes.remove_prefix(static_cast<std::size_t>(count));
            } else if ((errno != EAGAIN && errno != EWOULDBLOCK) || !this->waitFor(POLLOUT, deadline)) {
                return;
            }
        }
    }

    void receive(SoakExchange &result, SoakTime deadline)
    {
        std::string bytes;
        while (!this->isComplete(bytes, result)) {
            char buffer[16384];
            if (!this->waitFor(POLLIN, deadline)) {
                result.end = SoakExchange::End::TimedOut;
                return;
            }
            const auto count = ::recv(this->descriptor, buffer, sizeof buffer, 0);
            if (count > 0) {
                bytes.append(buffer, static_cast<std::size_t>(count));
            } else if (count == 0 || (errno != EAGAIN && errno != EWOULDBLOCK)) {
                result.end = SoakExchange::End::Cut;
                result.isReset = count < 0;
                result.partialBytes = bytes.size();
                return;
            }
        }
        result.end = SoakExchange::End::Answered;
    }

    /// Parses the answer once all of it has been received.
    bool isComplete(const std::string &bytes, SoakExchange &result)
    {
        const auto headEnd = bytes.find("\r\n\r\n");
        if (headEnd == std::string::npos) {
            return false;
        }
        const auto head = bytes.substr(0, headEnd);
        const auto length = std::strtoul(fieldOf(head, "Content-Length: ").c_str(), nullptr, 10);
        if (bytes.size() < headEnd + 4 + length) {
            return false;
        }
        result.status = std::atoi(head.c_str() + std::min<std::size_t>(head.size(), 9));
        result.body = bytes.substr(headEnd + 4, length);
        result.location = fieldOf(head, "Location: ");
        this->mustClose = fieldOf(head, "Connection: ") == "close";
        return true;
    }

    static std::string fieldOf(const std::string &head, const std::string &name)
    {
        const auto begin = head.find("\r\n" + name);
        if (begin == std::string::npos) {
            return {};
        }
        const auto valueBegin = begin + 2 + name.size();
        return head.substr(valueBegin, head.find("\r\n", valueBegin) - valueBegin);
    }

    int descriptor = -1;
    int served = 0;
    bool mustClose = false;
};

/// Returns the bytes of a request.
inline std::string soakRequest(const std::string &method, const std::string &path, const std::string &host,
                               const std::string &body = {}, const std::string &headers = {})
{
    return fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n{}\r\n{}",
                       method, path, host, body.size(), headers, body);
}

/// Sends one request on a connection of its own.
inline SoakExchange soakCall(const SoakAddress &address, const std::string &request, SoakMillis timeout)
{
    SoakConnection connection;
    if (!connection.connect(address, timeout)) {
        return {};
    }
    return connection.exchange(request, timeout);
}

} // namespace agatedrum::test
