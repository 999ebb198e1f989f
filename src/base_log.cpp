#include "base_log_p.h"

#include <fmt/chrono.h>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>

namespace agatedrum {

namespace {

std::atomic<LogLevel> lowestLevel {LogLevel::Info};
constexpr std::array<std::string_view, 4> levelNames {"debug", "info", "warning", "error"};

} // namespace

void setLogLevel(LogLevel level)
{
    lowestLevel.store(level, std::memory_order_relaxed);
}

bool isLogged(LogLevel level)
{
    return level >= lowestLevel.load(std::memory_order_relaxed);
}

void writeLog(LogLevel level, std::string_view part, std::string_view text)
{
    const auto now = std::chrono::system_clock::now();
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() % 1000;
    // One call, so that lines of several threads do not mix.
    const auto line = fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z {} {}: {}\n", fmt::gmtime(now), millis,
                                  levelNames.at(static_cast<std::size_t>(level)), part, text);
    std::fwrite(line.data(), 1, line.size(), stderr);
}

} // namespace agatedrum
