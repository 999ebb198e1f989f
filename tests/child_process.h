#pragma once

#include <curl/curl.h>
#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <functional>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace agatedrum::test {

/// Runs a program of the build folder as a child process. The destructor kills the process by its process id.
class ChildProcess
{
public:
    /// @param logFile file to which the program's output is appended; if empty, the program inherits the test's output.
    ChildProcess(const std::string &program, const std::vector<std::string> &arguments, const std::string &logFile = {})
    {
        const char *binFolder = std::getenv("AGATEDRUM_BIN");
        const std::string path = std::string(binFolder == nullptr ? "." : binFolder) + "/" + program;
        std::vector<char *> argv = {const_cast<char *>(path.c_str())};
        for (const auto &argument : arguments) {
            argv.push_back(const_cast<char *>(argument.c_str()));
        }
        argv.push_back(nullptr);
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        if (!logFile.empty()) {
            posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                             0644);
            posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
        }
        const int code = ::posix_spawn(&this->pid, path.c_str(), &actions, nullptr, argv.data(), environ);
        posix_spawn_file_actions_destroy(&actions);
        if (code != 0) {
            throw std::runtime_error("cannot start " + path);
        }
    }
    ~ChildProcess()
    {
        if (this->isRunning()) {
            this->sendSignal(SIGKILL);
            this->wait();
        }
    }
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    /// Returns the process id, or -1 after the process has exited.
    pid_t id() const
    {
        return this->pid;
    }
    void sendSignal(int number) const
    {
        if (this->pid > 0) {
            ::kill(this->pid, number);
        }
    }
    /// Waits until the process has exited. Returns its exit status, or 128 plus the number of the signal that killed
    /// it.
    int wait()
    {
        if (this->pid > 0) {
            int status = 0;
            ::waitpid(this->pid, &status, 0);
            this->pid = -1;
            this->exitStatus = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
        }
        return this->exitStatus;
    }
    bool isRunning()
    {
        int status = 0;
        if (this->pid > 0 && ::waitpid(this->pid, &status, WNOHANG) == this->pid) {
            this->pid = -1;
            this->exitStatus = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
        }
        return this->pid > 0;
    }

private:
    pid_t pid = -1;
    int exitStatus = 0;
};

/// Result of httpCall().
struct HttpCallResponse
{
    int status = 0; ///< 0 if no complete response was received
    std::string body;
    std::string failure; ///< reason why no complete response was received

    nlohmann::json json() const
    {
        return nlohmann::json::parse(this->body, nullptr, false);
    }
};

/// Sends one HTTP request on a new connection and waits for the response.
inline HttpCallResponse httpCall(const std::string &method, const std::string &url, const std::string &body = {},
                                 long timeoutMs = 20000, const std::vector<std::string> &extraHeaders = {})
{
    HttpCallResponse answer;
    CURL *curl = curl_easy_init();
    curl_slist *headers = curl_slist_append(nullptr, "Content-Type: application/json");
    for (const auto &header : extraHeaders) {
        headers = curl_slist_append(headers, header.c_str());
    }
    curl_easy_setopt(curl, CURLOPT_URL, url.c_str());
    curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, method.c_str());
    if (method != "GET") {
        curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE, static_cast<long>(body.size()));
        curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body.c_str());
    }
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(curl, CURLOPT_PROXY, "");
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, timeoutMs);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, &answer.body);
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION,
                     static_cast<std::size_t (*)(char *, std::size_t, std::size_t, void *)>(
                         [](char *data, std::size_t size, std::size_t count, void *target) {
                             static_cast<std::string *>(target)->append(data, size * count);
                             return size * count;
                         }));
    const auto code = curl_easy_perform(curl);
    if (code != CURLE_OK) {
        answer.failure = curl_easy_strerror(code);
    } else {
        long status = 0;
        curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
        answer.status = static_cast<int>(status);
    }
    curl_slist_free_all(headers);
    curl_easy_cleanup(curl);
    return answer;
}

/// Polls until the condition is true. Returns false if it is still false after the timeout.
inline bool eventually(const std::function<bool()> &condition, std::chrono::milliseconds timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= deadline) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    return true;
}

} // namespace agatedrum::test
