#include "base_event_p.h"

#include <fmt/chrono.h>

#include <limits.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <mutex>
#include <thread>

namespace agatedrum {

namespace {

constexpr std::size_t maxQueuedLines = 8192;
constexpr int writeTimeoutMs = 200; ///< lines are discarded if standard output is not writable for this long
constexpr std::chrono::milliseconds batchInterval {20}; ///< lines are collected for this long and written together
constexpr std::chrono::milliseconds flushTimeout {200};

/// Bounded queue of lines with a thread that writes them to standard output.
class EventWriter
{
public:
    void start()
    {
        const std::lock_guard lock(this->mutex);
        this->isRunning = true;
        this->thread = std::thread([this] { this->run(); });
    }

    void stop()
    {
        {
            const std::lock_guard lock(this->mutex);
            if (!this->isRunning) {
                return;
            }
            this->isRunning = false;
        }
        this->wakeCondition.notify_all();
        this->thread.join();
    }

    void add(std::string &&line)
    {
        {
            const std::lock_guard lock(this->mutex);
            if (!this->isRunning) {
                return;
            }
            if (this->queuedLines.size() >= maxQueuedLines) {
                ++this->droppedCount;
                return;
            }
            this->queuedLines.push_back(std::move(line));
            if (this->queuedLines.size() > 1) {
                return;
            }
        }
        this->wakeCondition.notify_one();
    }

private:
    void run()
    {
        std::unique_lock lock(this->mutex);
        while (this->isRunning) {
            this->wakeCondition.wait(lock, [this] { return !this->isRunning || !this->queuedLines.empty(); });
            lock.unlock();
            std::this_thread::sleep_for(batchInterval);
            this->writeQueuedLines(std::chrono::steady_clock::time_point::max());
            lock.lock();
        }
        lock.unlock();
        this->writeQueuedLines(std::chrono::steady_clock::now() + flushTimeout);
    }

    void writeQueuedLines(std::chrono::steady_clock::time_point deadline)
    {
        std::deque<std::string> batch;
        std::uint64_t droppedLines = 0;
        {
            const std::lock_guard lock(this->mutex);
            batch.swap(this->queuedLines);
            std::swap(droppedLines, this->droppedCount);
        }
        std::string text;
        if (droppedLines > 0) {
            text = fmt::format("part=log event=dropped lines={}\n", droppedLines);
        }
        for (const auto &line : batch) {
            text += line;
        }
        writeAll(text, deadline);
    }

    static void writeAll(std::string_view text, std::chrono::steady_clock::time_point deadline)
    {
        while (!text.empty() && std::chrono::steady_clock::now() < deadline) {
            pollfd ready {STDOUT_FILENO, POLLOUT, 0};
            if (::poll(&ready, 1, writeTimeoutMs) <= 0) {
                return;
            }
            const auto written = ::write(STDOUT_FILENO, text.data(), std::min<std::size_t>(text.size(), PIPE_BUF));
            if (written <= 0) {
                return;
            }
            text.remove_prefix(static_cast<std::size_t>(written));
        }
    }

    std::mutex mutex;
    std::condition_variable wakeCondition;
    std::deque<std::string> queuedLines;
    std::uint64_t droppedCount = 0;
    bool isRunning = false;
    std::thread thread;
};

EventWriter &eventWriter()
{
    static EventWriter instance;
    return instance;
}

bool needsQuotes(std::string_view text)
{
    return text.empty()
        || std::any_of(text.begin(), text.end(), [](char c) { return c <= ' ' || c == '"' || c == '=' || c == '\\'; });
}

void appendQuoted(std::string &line, std::string_view text)
{
    line += '"';
    for (const char c : text) {
        if (c == '"' || c == '\\') {
            line += '\\';
        }
        line += static_cast<unsigned char>(c) < ' ' ? ' ' : c;
    }
    line += '"';
}

} // namespace

std::string formatEvent(std::string_view time, std::string_view component, std::string_view event,
                        std::initializer_list<EventField> fields)
{
    auto line = fmt::format("time={} part={} event={}", time, component, event);
    for (const auto &field : fields) {
        line += fmt::format(" {}=", field.key);
        if (needsQuotes(field.text)) {
            appendQuoted(line, field.text);
        } else {
            line += field.text;
        }
    }
    return line + '\n';
}

void logEvent(std::string_view component, std::string_view event, std::initializer_list<EventField> fields)
{
    const auto now = std::chrono::system_clock::now();
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() % 1000;
    eventWriter().add(
        formatEvent(fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(now), millis), component, event, fields));
}

void startEventLog()
{
    eventWriter().start();
}

void stopEventLog()
{
    eventWriter().stop();
}

} // namespace agatedrum
