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

/// A program of the build folder that runs while the object lives. Killed by process id at the end.
class ChildProcess
{
public:
    /// @param logFile takes what the program prints; empty for the test's own output.
    ChildProcess(const std::string &program, const std::vector<std::string> &arguments, const std::string &logFile = {})
    {
        const char *folder = std::getenv("AGATEDRUM_BIN");
        const std::string path = std::string(folder == nullptr ? "." : folder) + "/" + program;
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
            this->signal(SIGKILL);
            this->wait();
        }
    }
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    void signal(int number) const
    {
        if (this->pid > 0) {
            ::kill(this->pid, number);
        }
    }
    /// Waits for the end and returns the exit status, or 128 and the signal's number.
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

struct HttpAnswer
{
    int status = 0; ///< 0 when no whole answer came
    std::string body;

    nlohmann::json json() const
    {
        return nlohmann::json::parse(this->body, nullptr, false);
    }
};

/// One HTTP request on a connection of its own.
inline HttpAnswer httpCall(const std::string &method, const std::string &url, const std::string &body = {},
                           long timeoutMs = 20000, const std::vector<std::string> &extraHeaders = {})
{
    HttpAnswer answer;
    CURL *easy = curl_easy_init();
    curl_slist *headers = curl_slist_append(nullptr, "Content-Type: application/json");
    for (const auto &header : extraHeaders) {
        headers = curl_slist_append(headers, header.c_str());
    }
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method.c_str());
    if (method != "GET") {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(body.size()));
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body.c_str());
    }
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, timeoutMs);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &answer.body);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION,
                     static_cast<std::size_t (*)(char *, std::size_t, std::size_t, void *)>(
                         [](char *data, std::size_t size, std::size_t count, void *target) {
                             static_cast<std::string *>(target)->append(data, size * count);
                             return size * count;
                         }));
    if (curl_easy_perform(easy) == CURLE_OK) {
        long status = 0;
        curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
        answer.status = static_cast<int>(status);
    }
    curl_slist_free_all(headers);
    curl_easy_cleanup(easy);
    return answer;
}

/// Polls until the condition holds. @return false when it did not within the time.
inline bool eventually(const std::function<bool()> &condition, std::chrono::milliseconds within)
{
    const auto end = std::chrono::steady_clock::now() + within;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= end) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    return true;
}

} // namespace agatedrum::test
