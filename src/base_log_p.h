#pragma once

#include <fmt/format.h>

#include <string>
#include <string_view>

namespace agatedrum {

enum class LogLevel { Debug, Info, Warning, Error };

/// Sets the lowest level that is written. Thread-safe.
void setLogLevel(LogLevel level);
bool isLogged(LogLevel level);

/// Writes one line to standard error: time, level, prefix of the part, text. Thread-safe.
void writeLog(LogLevel level, std::string_view part, std::string_view text);

/// @param part fixed prefix of the part that logs, such as "owner".
template<typename... Args>
void log(LogLevel level, std::string_view part, fmt::format_string<Args...> format, Args &&...args)
{
    if (isLogged(level)) {
        writeLog(level, part, fmt::format(format, std::forward<Args>(args)...));
    }
}

} // namespace agatedrum
