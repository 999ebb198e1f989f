#pragma once

#include "http_server_p.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

namespace agatedrum::test {

/// TCP connection to a server on the loopback interface. A test controls which bytes are sent together.
class RawClient
{
public:
    explicit RawClient(int port)
        : descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const timeval receiveTimeout {5, 0};
        ::setsockopt(this->descriptor, SOL_SOCKET, SO_RCVTIMEO, &receiveTimeout, sizeof receiveTimeout);
        if (::connect(this->descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
            ::close(this->descriptor);
            throw std::runtime_error("cannot connect");
        }
    }
    ~RawClient()
    {
        ::close(this->descriptor);
    }
    RawClient(const RawClient &) = delete;
    RawClient &operator=(const RawClient &) = delete;

    void send(std::string_view bytes)
    {
        while (!bytes.empty()) {
            const auto sent = ::send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (sent <= 0) {
                return;
            }
            bytes.remove_prefix(static_cast<std::size_t>(sent));
        }
    }

    /// Makes the destructor reset the connection instead of closing it normally.
    void resetOnClose()
    {
        const linger noLinger {1, 0};
        ::setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &noLinger, sizeof noLinger);
    }

    /// Returns the next complete response, header section and body. If the server closes the connection or sends
    /// nothing for 5 s, returns the bytes received until then.
    std::string receive()
    {
        std::size_t length = 0; ///< length of the response; 0 until its header section has been received
        while (length == 0 || this->received.size() < length) {
            const auto headEnd = length == 0 ? this->received.find("\r\n\r\n") : std::string::npos;
            if (headEnd != std::string::npos) {
                const auto lengthField = this->received.find("Content-Length: ");
                length
                    = headEnd + 4 + (lengthField < headEnd ? std::stoul(this->received.substr(lengthField + 16)) : 0);
            } else if (!this->read()) {
                return std::exchange(this->received, {});
            }
        }
        auto answer = this->received.substr(0, length);
        this->received.erase(0, length);
        return answer;
    }

    /// Waits at most 5 s for the server to close the connection. Returns true if it did so without sending further
    /// bytes.
    bool isClosed()
    {
        char byte = 0;
        return ::recv(this->descriptor, &byte, 1, 0) == 0;
    }

private:
    bool read()
    {
        char bytes[65536];
        const auto count = ::recv(this->descriptor, bytes, sizeof bytes, 0);
        if (count > 0) {
            this->received.append(bytes, static_cast<std::size_t>(count));
        }
        return count > 0;
    }

    int descriptor;
    std::string received;
};

/// Starts a server on the first free port from options.address.port upwards, because tests of several worktrees may run
/// at the same time. Stores the port in options.
inline std::unique_ptr<HttpServer> startServer(HttpServerOptions &options,
                                               const std::function<void(HttpServer &)> &addRoutes)
{
    constexpr int attempts = 10;
    for (int i = 0;; ++i) {
        auto server = std::make_unique<HttpServer>(options);
        addRoutes(*server);
        try {
            server->start();
            return server;
        } catch (const std::runtime_error &) {
            if (i == attempts) {
                throw;
            }
            ++options.address.port;
        }
    }
}

/// Returns a POST request with the body.
inline std::string post(const std::string &target, const std::string &body)
{
    return "POST " + target + " HTTP/1.1\r\nHost: t\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
        + body;
}

inline std::string get(const std::string &target)
{
    return "GET " + target + " HTTP/1.1\r\nHost: t\r\n\r\n";
}

inline bool endsWith(const std::string &text, const std::string &end)
{
    return text.size() >= end.size() && text.compare(text.size() - end.size(), end.size(), end) == 0;
}

} // namespace agatedrum::test
