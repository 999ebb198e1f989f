#pragma once

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <list>
#include <map>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace agatedrum::test {

/// Stand-in for one instance of a backend server on the operators' platform, which tells apart its connections. All of
/// them end with it. Lists no runs.
class InstanceServer
{
public:
    struct Request
    {
        int connection = 0; ///< number of the connection, from 1
        std::string path;
        std::string body;
    };
    struct Behavior
    {
        std::chrono::milliseconds orderTime {0}; ///< time until an order is answered
        bool answersPolls = true;
        bool keepsConnections = true; ///< otherwise, each connection ends after one answer
        bool answersOrders = true; ///< otherwise, an order ends its connection
    };

    static constexpr auto host = "127.0.0.4";

    InstanceServer(int port, std::int64_t startedAtMs, Behavior behavior)
        : startedAtMs(startedAtMs)
        , behavior(behavior)
        , listener(::socket(AF_INET, SOCK_STREAM, 0))
    {
        const int on = 1;
        ::setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        ::inet_pton(AF_INET, host, &address.sin_addr);
        if (::bind(this->listener, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0
            || ::listen(this->listener, 16) != 0) {
            throw std::runtime_error("the stand-in cannot listen");
        }
        this->acceptor = std::thread([this] { this->run(); });
    }
    ~InstanceServer()
    {
        this->isStopping = true;
        ::shutdown(this->listener, SHUT_RDWR);
        this->acceptor.join();
        ::close(this->listener);
        {
            const std::lock_guard lock(this->mutex);
            for (const auto socket : this->sockets) {
                // A reset, so that the address is free at once.
                const linger now {1, 0};
                ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
                ::shutdown(socket, SHUT_RDWR);
            }
        }
        for (auto &thread : this->threads) {
            thread.join();
        }
    }
    InstanceServer(const InstanceServer &) = delete;
    InstanceServer &operator=(const InstanceServer &) = delete;

    std::vector<Request> requests() const
    {
        const std::lock_guard lock(this->mutex);
        return this->received;
    }
    std::vector<Request> requestsTo(const std::string &path) const
    {
        std::vector<Request> result;
        for (auto &request : this->requests()) {
            if (request.path == path) {
                result.push_back(std::move(request));
            }
        }
        return result;
    }
    int connections() const
    {
        const std::lock_guard lock(this->mutex);
        return this->lastConnection;
    }

private:
    void run()
    {
        while (!this->isStopping) {
            const int socket = ::accept(this->listener, nullptr, nullptr);
            if (socket < 0) {
                continue;
            }
            const std::lock_guard lock(this->mutex);
            this->sockets.push_back(socket);
            this->threads.emplace_back(
                [this, socket, number = ++this->lastConnection] { this->serve(socket, number); });
        }
    }

    void serve(int socket, int number)
    {
        if (!this->behavior.keepsConnections) {
            // Sends the answer together with the end of the connection, so that no request can be sent in between.
            const int on = 1;
            ::setsockopt(socket, IPPROTO_TCP, TCP_CORK, &on, sizeof(on));
        }
        std::string data;
        while (const auto request = readRequest(socket, data, number)) {
            {
                const std::lock_guard lock(this->mutex);
                this->received.push_back(*request);
            }
            const auto answer = this->answer(*request);
            if (answer) {
                ::send(socket, answer->data(), answer->size(), MSG_NOSIGNAL);
            }
            if (!this->behavior.keepsConnections || (!this->behavior.answersOrders && !isPoll(*request))) {
                break;
            }
        }
        const std::lock_guard lock(this->mutex);
        this->sockets.remove(socket);
        ::close(socket);
    }

    std::optional<std::string> answer(const Request &request) const
    {
        if (isPoll(request) ? !this->behavior.answersPolls : !this->behavior.answersOrders) {
            return std::nullopt;
        }
        std::this_thread::sleep_for(isPoll(request) ? waitOf(request.body) : this->behavior.orderTime);
        const auto body = isPoll(request)
            ? fmt::format(R"({{"ClockMs":5000,"born":{},"Running":[],"EndedRuns":[]}})", this->startedAtMs)
            : std::string(R"({"ClockMs":5000})");
        return fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", body.size(), body);
    }

    static bool isPoll(const Request &request)
    {
        return request.path == "/hold";
    }

    static std::chrono::milliseconds waitOf(const std::string &body)
    {
        const std::string field = "\"WaitMs\":";
        const auto at = body.find(field);
        return std::chrono::milliseconds(at == std::string::npos ? 0 : std::atoi(body.c_str() + at + field.size()));
    }

    /// Reads the next request of the connection. @param data what has been read beyond the request before
    static std::optional<Request> readRequest(int socket, std::string &data, int number)
    {
        std::size_t headEnd = std::string::npos;
        std::size_t length = 0;
        while (headEnd == std::string::npos || data.size() < headEnd + length) {
            char part[4096];
            const auto count = ::recv(socket, part, sizeof(part), 0);
            if (count <= 0) {
                return std::nullopt;
            }
            data.append(part, static_cast<std::size_t>(count));
            if (headEnd == std::string::npos && data.find("\r\n\r\n") != std::string::npos) {
                headEnd = data.find("\r\n\r\n") + 4;
                const auto at = data.find("Content-Length: ");
                length = at < headEnd ? std::strtoul(data.c_str() + at + 16, nullptr, 10) : 0;
            }
        }
        const auto pathAt = data.find(' ') + 1;
        Request request {number, data.substr(pathAt, data.find(' ', pathAt) - pathAt), data.substr(headEnd, length)};
        data.erase(0, headEnd + length);
        return request;
    }

    const std::int64_t startedAtMs;
    const Behavior behavior;
    const int listener;
    std::atomic<bool> isStopping {false};

    mutable std::mutex mutex;
    std::vector<Request> received;
    std::list<int> sockets; ///< of the open connections
    std::list<std::thread> threads;
    int lastConnection = 0;
    std::thread acceptor;
};

} // namespace agatedrum::test
