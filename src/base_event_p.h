#pragma once

#include <fmt/format.h>

#include <initializer_list>
#include <string>
#include <string_view>

namespace agatedrum {

/// One field of an event.
struct EventField
{
    template<typename Value>
    EventField(std::string_view key, const Value &value)
        : key(key)
        , text(fmt::format("{}", value))
    {
    }
    std::string_view key;
    std::string text;
};

/// Writes one structured line to standard output: time, part, event and fields as key=value. Never blocks: lines go
/// through a bounded queue to one writing thread, and those that find it full are counted. Thread-safe.
/// @param part that decided, such as "dispatch".
/// @param event what was decided, such as "refused".
void logEvent(std::string_view part, std::string_view event, std::initializer_list<EventField> fields);

/// Starts the writing thread. Without it, events are dropped. Call once, in a program's main thread.
void startEventLog();
/// Writes what waits, for at most a short time, and ends the thread. Idempotent.
void stopEventLog();

/// Formats one line. For the writer and its tests.
std::string formatEvent(std::string_view time, std::string_view part, std::string_view event,
                        std::initializer_list<EventField> fields);

} // namespace agatedrum
