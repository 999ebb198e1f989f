#include "base_yaml_p.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>
#include <utility>

namespace agatedrum {

namespace {

int lineOfMark(const YAML::Mark &mark)
{
    return mark.is_null() ? 0 : mark.line + 1;
}

void findDuplicateKeys(const YAML::Node &node, std::vector<YamlFault> &faults)
{
    if (node.IsSequence()) {
        for (const auto &child : node) {
            findDuplicateKeys(child, faults);
        }
    }
    if (!node.IsMap()) {
        return;
    }
    std::set<std::string> keys;
    for (const auto &pair : node) {
        if (!pair.first.IsScalar()) {
            faults.push_back({lineOfMark(pair.first.Mark()), "", "a key must be plain text"});
            continue;
        }
        if (!keys.insert(pair.first.Scalar()).second) {
            faults.push_back({lineOfMark(pair.first.Mark()), pair.first.Scalar(), "the key appears twice"});
        }
        findDuplicateKeys(pair.second, faults);
    }
}

template<typename Number>
std::optional<Number> parseNumber(const std::string &text)
{
    Number number {};
    const auto *end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, number);
    if (result.ec != std::errc {} || result.ptr != end || text.empty()) {
        return std::nullopt;
    }
    return number;
}

} // namespace

std::string describeFaults(const std::vector<YamlFault> &faults)
{
    std::string text;
    for (const auto &fault : faults) {
        if (!text.empty()) {
            text += '\n';
        }
        text += fault.line > 0 ? fmt::format("line {}: ", fault.line) : "";
        text += fault.key.empty() ? fault.message : fmt::format("{}: {}", fault.key, fault.message);
    }
    return text;
}

Result<YAML::Node, std::vector<YamlFault>> parseYaml(const std::string &text)
{
    try {
        const auto documents = YAML::LoadAll(text);
        if (documents.size() != 1) {
            return std::vector<YamlFault> {{0, "", "the file must hold exactly one YAML document"}};
        }
        std::vector<YamlFault> faults;
        if (!documents[0].IsMap()) {
            return std::vector<YamlFault> {{1, "", "the file must be a map of keys"}};
        }
        findDuplicateKeys(documents[0], faults);
        if (!faults.empty()) {
            return faults;
        }
        return documents[0];
    } catch (const YAML::Exception &failure) {
        return std::vector<YamlFault> {{lineOfMark(failure.mark), "", fmt::format("not valid YAML: {}", failure.msg)}};
    }
}

YamlReader::YamlReader(const YAML::Node &map, std::string path, std::vector<YamlFault> &faults)
    : node(map)
    , path(std::move(path))
    , faults(&faults)
{
    if (this->node.IsDefined() && !this->node.IsNull() && !this->node.IsMap()) {
        faults.push_back({lineOfMark(map.Mark()), this->path, "must be a map of keys"});
        this->node.reset();
    }
}

std::string YamlReader::pathOf(const std::string &key) const
{
    if (this->path.empty()) {
        return key;
    }
    return key.empty() ? this->path : this->path + "." + key;
}

int YamlReader::lineOf(const std::string &key) const
{
    if (this->node.IsMap() && this->node[key].IsDefined()) {
        return lineOfMark(this->node[key].Mark());
    }
    return lineOfMark(this->node.Mark());
}

YAML::Node YamlReader::child(const std::string &key)
{
    this->known.insert(key);
    if (!this->node.IsMap()) {
        return YAML::Node(YAML::NodeType::Undefined);
    }
    const auto &constNode = this->node;
    return constNode[key];
}

bool YamlReader::has(const std::string &key) const
{
    return this->node.IsMap() && this->node[key].IsDefined();
}

void YamlReader::fault(const std::string &key, const std::string &message)
{
    this->faults->push_back({this->lineOf(key), this->pathOf(key), message});
}

std::string YamlReader::text(const std::string &key, const std::string &fallback)
{
    const auto value = this->child(key);
    if (!value.IsDefined()) {
        return fallback;
    }
    if (!value.IsScalar()) {
        this->fault(key, "must be text");
        return fallback;
    }
    return value.Scalar();
}

std::string YamlReader::requiredText(const std::string &key)
{
    const auto before = this->faults->size();
    auto value = this->text(key, "");
    if (value.empty() && this->faults->size() == before) {
        this->fault(key, "is required");
    }
    return value;
}

std::string YamlReader::choice(const std::string &key, const std::string &fallback,
                               const std::vector<std::string> &accepted)
{
    auto value = this->text(key, fallback);
    if (std::find(accepted.begin(), accepted.end(), value) == accepted.end()) {
        this->fault(key, fmt::format("\"{}\" is not one of {}", value, fmt::join(accepted, ", ")));
        return fallback;
    }
    return value;
}

std::int64_t YamlReader::integer(const std::string &key, std::int64_t fallback, std::int64_t lowest,
                                 std::int64_t highest)
{
    const auto value = this->child(key);
    if (!value.IsDefined()) {
        return fallback;
    }
    const auto number = value.IsScalar() ? parseNumber<std::int64_t>(value.Scalar()) : std::nullopt;
    if (!number || *number < lowest || *number > highest) {
        this->fault(key, fmt::format("must be a whole number from {} to {}", lowest, highest));
        return fallback;
    }
    return *number;
}

std::int64_t YamlReader::requiredInteger(const std::string &key, std::int64_t lowest, std::int64_t highest)
{
    if (!this->has(key)) {
        this->known.insert(key);
        this->fault(key, "is required");
        return lowest;
    }
    return this->integer(key, lowest, lowest, highest);
}

double YamlReader::real(const std::string &key, double fallback, double lowest, double highest)
{
    const auto value = this->child(key);
    if (!value.IsDefined()) {
        return fallback;
    }
    const auto number = value.IsScalar() ? parseNumber<double>(value.Scalar()) : std::nullopt;
    if (!number || !std::isfinite(*number) || *number < lowest || *number > highest) {
        this->fault(key, fmt::format("must be a number from {} to {}", lowest, highest));
        return fallback;
    }
    return *number;
}

bool YamlReader::boolean(const std::string &key, bool fallback)
{
    const auto value = this->child(key);
    if (!value.IsDefined()) {
        return fallback;
    }
    if (value.IsScalar() && value.Scalar() == "true") {
        return true;
    }
    if (value.IsScalar() && value.Scalar() == "false") {
        return false;
    }
    this->fault(key, "must be true or false");
    return fallback;
}

std::vector<YamlReader> YamlReader::list(const std::string &key)
{
    std::vector<YamlReader> readers;
    const auto value = this->child(key);
    if (!value.IsDefined() || value.IsNull()) {
        return readers;
    }
    if (!value.IsSequence()) {
        this->fault(key, "must be a list");
        return readers;
    }
    for (std::size_t i = 0; i < value.size(); ++i) {
        readers.emplace_back(value[i], fmt::format("{}[{}]", this->pathOf(key), i), *this->faults);
    }
    return readers;
}

std::vector<std::string> YamlReader::texts(const std::string &key)
{
    std::vector<std::string> result;
    const auto value = this->child(key);
    if (!value.IsDefined() || value.IsNull()) {
        return result;
    }
    if (!value.IsSequence()) {
        this->fault(key, "must be a list");
        return result;
    }
    for (const auto &item : value) {
        if (item.IsScalar()) {
            result.push_back(item.Scalar());
        } else {
            this->fault(key, "must hold texts only");
        }
    }
    return result;
}

YamlReader YamlReader::map(const std::string &key)
{
    return YamlReader(this->child(key), this->pathOf(key), *this->faults);
}

void YamlReader::finish()
{
    if (!this->node.IsMap()) {
        return;
    }
    for (const auto &pair : this->node) {
        const auto key = pair.first.Scalar();
        if (this->known.count(key) == 0) {
            this->faults->push_back({lineOfMark(pair.first.Mark()), this->pathOf(key),
                                     fmt::format("unknown key; accepted here: {}", fmt::join(this->known, ", "))});
        }
    }
}

} // namespace agatedrum
