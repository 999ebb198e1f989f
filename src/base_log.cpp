#include "base_log_p.h"

#include <fmt/chrono.h>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>

namespace agatedrum {

namespace {

std::atomic<LogLevel> minLevel {LogLevel::Info};
constexpr std::array<std::string_view, 4> levelNames {"debug", "info", "warning", "error"};

} // namespace

void setLogLevel(LogLevel level)
{
    minLevel.store(level, std::memory_order_relaxed);
}

bool isLogged(LogLevel level)
{
    return level >= minLevel.load(std::memory_order_relaxed);
}

void writeLog(LogLevel level, std::string_view component, std::string_view text)
{
    const auto now = std::chrono::system_clock::now();
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() % 1000;
    // Written with a single call so that lines of concurrent threads are not interleaved.
    const auto line = fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z {} {}: {}\n", fmt::gmtime(now), millis,
                                  levelNames.at(static_cast<std::size_t>(level)), component, text);
    std::fwrite(line.data(), 1, line.size(), stderr);
}

} // namespace agatedrum
