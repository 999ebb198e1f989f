#pragma once

#include <fmt/format.h>

#include <initializer_list>
#include <string>
#include <string_view>

namespace agatedrum {

/// One key=value field of an event. The key must outlive the field.
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

/// Writes one structured line to standard output: time, component, event and fields as key=value. Never blocks on the
/// output: lines go through a bounded queue to a writer thread. Lines are dropped and counted while the queue is full.
/// Thread-safe.
/// @param component name of the component that made the decision, such as "dispatch".
/// @param event decision, such as "refused".
void logEvent(std::string_view component, std::string_view event, std::initializer_list<EventField> fields);

/// Starts the writer thread. Events are dropped while it is not running. Must be called once, from the main thread.
void startEventLog();
/// Writes the queued lines within a short time limit and stops the writer thread. Idempotent.
void stopEventLog();

/// Formats one event line. Used by logEvent() and its tests.
std::string formatEvent(std::string_view time, std::string_view component, std::string_view event,
                        std::initializer_list<EventField> fields);

} // namespace agatedrum
