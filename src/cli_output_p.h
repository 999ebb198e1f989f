#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace agatedrum {

/// Text of one field for people: strings as they are, lists with commas, "-" for nothing.
std::string fieldText(const nlohmann::json &field);

/// Columns under the names of the fields, in the order in which they appear first.
/// Precondition: rows is a list of objects.
std::string tableText(const nlohmann::ordered_json &rows);

/// One "name: value" line for each field; texts with several lines are indented below their name.
/// Precondition: record is an object.
std::string recordText(const nlohmann::ordered_json &record);

} // namespace agatedrum
