#include "cli_output_p.h"

#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <sstream>
#include <vector>

namespace agatedrum {

namespace {

using OrderedJson = nlohmann::ordered_json;

/// Replaces control characters with "?", so that values from other systems cannot control the terminal.
std::string replaceControlCharacters(std::string text)
{
    std::replace_if(
        text.begin(), text.end(), [](char c) { return std::iscntrl(static_cast<unsigned char>(c)) != 0; }, '?');
    return text;
}

std::vector<std::string> columnNames(const OrderedJson &rows)
{
    std::vector<std::string> names;
    for (const auto &row : rows) {
        for (const auto &item : row.items()) {
            if (std::find(names.begin(), names.end(), item.key()) == names.end()) {
                names.push_back(item.key());
            }
        }
    }
    return names;
}

std::string formatLine(const std::vector<std::string> &cells, const std::vector<std::size_t> &widths)
{
    std::string line;
    for (std::size_t i = 0; i < cells.size(); ++i) {
        line += i + 1 == cells.size() ? cells[i] : fmt::format("{:<{}}  ", cells[i], widths[i]);
    }
    return line + "\n";
}

} // namespace

std::string fieldText(const nlohmann::json &field)
{
    if (field.is_null() || (field.is_string() && field.get_ref<const std::string &>().empty())) {
        return "-";
    }
    if (field.is_string()) {
        return replaceControlCharacters(field.get<std::string>());
    }
    if (!field.is_array()) {
        return replaceControlCharacters(field.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
    }
    std::string text;
    for (const auto &item : field) {
        text += (text.empty() ? "" : ",") + fieldText(item);
    }
    return text.empty() ? "-" : text;
}

std::string tableText(const OrderedJson &rows)
{
    const auto names = columnNames(rows);
    std::vector<std::vector<std::string>> lines {names};
    for (const auto &row : rows) {
        auto &line = lines.emplace_back();
        for (const auto &name : names) {
            line.push_back(row.contains(name) ? fieldText(row[name]) : "-");
        }
    }
    std::vector<std::size_t> widths(names.size(), 0);
    for (const auto &line : lines) {
        for (std::size_t i = 0; i < line.size(); ++i) {
            widths[i] = std::max(widths[i], line[i].size());
        }
    }
    std::string text;
    for (const auto &line : lines) {
        text += formatLine(line, widths);
    }
    return names.empty() ? "none\n" : text;
}

std::string recordText(const OrderedJson &record)
{
    std::string text;
    for (const auto &item : record.items()) {
        const auto &field = item.value();
        if (!field.is_string() || field.get_ref<const std::string &>().find('\n') == std::string::npos) {
            text += fmt::format("{}: {}\n", item.key(), fieldText(field));
            continue;
        }
        text += item.key() + ":\n";
        std::istringstream lines(field.get<std::string>());
        for (std::string line; std::getline(lines, line);) {
            text += "  " + replaceControlCharacters(line) + "\n";
        }
    }
    return text;
}

} // namespace agatedrum
