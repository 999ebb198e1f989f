#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace agatedrum {

/// Formats one field for people: strings without quotes, lists separated by commas, "-" for null and empty values.
/// Control characters are replaced with "?".
std::string fieldText(const nlohmann::json &field);

/// Formats objects as a table with one column per field, in the order in which the fields first appear. Returns "none"
/// if there are no fields.
/// Precondition: rows is a list of objects.
std::string tableText(const nlohmann::ordered_json &rows);

/// Formats one "name: value" line per field. Strings of several lines are indented below their name.
/// Precondition: record is an object.
std::string recordText(const nlohmann::ordered_json &record);

} // namespace agatedrum
