#pragma once

#include <fmt/format.h>

#include <string>
#include <string_view>

namespace agatedrum {

enum class LogLevel { Debug, Info, Warning, Error };

/// Sets the minimum level of messages that are written. Thread-safe.
void setLogLevel(LogLevel level);
bool isLogged(LogLevel level);

/// Writes one line to standard error: time, level, component and text. Thread-safe.
void writeLog(LogLevel level, std::string_view component, std::string_view text);

/// Formats and writes a message if its level is enabled. Thread-safe.
/// @param component name of the component that logs, such as "owner".
template<typename... Args>
void log(LogLevel level, std::string_view component, fmt::format_string<Args...> format, Args &&...args)
{
    if (isLogged(level)) {
        writeLog(level, component, fmt::format(format, std::forward<Args>(args)...));
    }
}

} // namespace agatedrum
