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

/// Checks the keys of a document. An alias may make a node contain itself, or a short document describe a huge one, so
/// the depth and the number of the checked nodes are limited.
class KeyCheck
{
public:
    explicit KeyCheck(std::vector<YamlError> &errors)
        : errors(errors)
    {
    }

    void check(const YAML::Node &node, int depth = 0)
    {
        if (depth > maxDepth || ++this->checkedNodes > maxNodes) {
            if (!std::exchange(this->isTooLarge, true)) {
                this->errors.push_back({lineOfMark(node.Mark()), "", "the document is nested too deeply or too large"});
            }
            return;
        }
        if (node.IsSequence()) {
            for (const auto &child : node) {
                this->check(child, depth + 1);
            }
        } else if (node.IsMap()) {
            this->checkMap(node, depth);
        }
    }

private:
    static constexpr int maxDepth = 32;
    static constexpr int maxNodes = 1000000;

    void checkMap(const YAML::Node &node, int depth)
    {
        std::set<std::string> keys;
        for (const auto &pair : node) {
            if (!pair.first.IsScalar()) {
                this->errors.push_back({lineOfMark(pair.first.Mark()), "", "a key must be a string"});
                continue;
            }
            if (!keys.insert(pair.first.Scalar()).second) {
                this->errors.push_back({lineOfMark(pair.first.Mark()), pair.first.Scalar(), "the key appears twice"});
            }
            this->check(pair.second, depth + 1);
        }
    }

    std::vector<YamlError> &errors;
    int checkedNodes = 0;
    bool isTooLarge = false;
};

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

std::string describeYamlErrors(const std::vector<YamlError> &errors)
{
    std::string text;
    for (const auto &yamlError : errors) {
        if (!text.empty()) {
            text += '\n';
        }
        text += yamlError.line > 0 ? fmt::format("line {}: ", yamlError.line) : "";
        text += yamlError.key.empty() ? yamlError.message : fmt::format("{}: {}", yamlError.key, yamlError.message);
    }
    return text;
}

Result<YAML::Node, std::vector<YamlError>> parseYaml(const std::string &text)
{
    try {
        const auto documents = YAML::LoadAll(text);
        if (documents.size() != 1) {
            return std::vector<YamlError> {{0, "", "the file must contain exactly one YAML document"}};
        }
        std::vector<YamlError> errors;
        if (!documents[0].IsMap()) {
            return std::vector<YamlError> {{1, "", "the top level of the file must be a map of keys"}};
        }
        KeyCheck(errors).check(documents[0]);
        if (!errors.empty()) {
            return errors;
        }
        return documents[0];
    } catch (const YAML::Exception &exception) {
        return std::vector<YamlError> {
            {lineOfMark(exception.mark), "", fmt::format("invalid YAML: {}", exception.msg)}};
    }
}

YamlReader::YamlReader(const YAML::Node &map, std::string path, std::vector<YamlError> &errors)
    : node(map)
    , path(std::move(path))
    , errors(&errors)
{
    if (this->node.IsDefined() && !this->node.IsNull() && !this->node.IsMap()) {
        errors.push_back({lineOfMark(map.Mark()), this->path, "must be a map of keys"});
        this->node.reset();
    }
}

std::string YamlReader::pathOfKey(const std::string &key) const
{
    if (this->path.empty()) {
        return key;
    }
    return key.empty() ? this->path : this->path + "." + key;
}

int YamlReader::lineOfKey(const std::string &key) const
{
    if (this->node.IsMap() && this->node[key].IsDefined()) {
        return lineOfMark(this->node[key].Mark());
    }
    return lineOfMark(this->node.Mark());
}

YAML::Node YamlReader::child(const std::string &key)
{
    this->requestedKeys.insert(key);
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

void YamlReader::addError(const std::string &key, const std::string &message)
{
    this->errors->push_back({this->lineOfKey(key), this->pathOfKey(key), message});
}

std::string YamlReader::text(const std::string &key, const std::string &fallback)
{
    const auto value = this->child(key);
    if (!value.IsDefined()) {
        return fallback;
    }
    if (!value.IsScalar()) {
        this->addError(key, "must be a string");
        return fallback;
    }
    return value.Scalar();
}

std::string YamlReader::optionalText(const std::string &key)
{
    // A template leaves a key without a value where it has none.
    const auto value = this->child(key);
    return value.IsDefined() && value.IsNull() ? std::string() : this->text(key, "");
}

std::string YamlReader::requiredText(const std::string &key)
{
    const auto previousErrorCount = this->errors->size();
    auto value = this->text(key, "");
    if (value.empty() && this->errors->size() == previousErrorCount) {
        this->addError(key, "is required");
    }
    return value;
}

std::string YamlReader::choice(const std::string &key, const std::string &fallback,
                               const std::vector<std::string> &accepted)
{
    auto value = this->text(key, fallback);
    if (std::find(accepted.begin(), accepted.end(), value) == accepted.end()) {
        this->addError(key, fmt::format("\"{}\" is not one of {}", value, fmt::join(accepted, ", ")));
        return fallback;
    }
    return value;
}

std::int64_t YamlReader::integer(const std::string &key, std::int64_t fallback, std::int64_t minValue,
                                 std::int64_t maxValue)
{
    const auto value = this->child(key);
    if (!value.IsDefined()) {
        return fallback;
    }
    const auto number = value.IsScalar() ? parseNumber<std::int64_t>(value.Scalar()) : std::nullopt;
    if (!number || *number < minValue || *number > maxValue) {
        this->addError(key, fmt::format("must be a whole number from {} to {}", minValue, maxValue));
        return fallback;
    }
    return *number;
}

std::int64_t YamlReader::requiredInteger(const std::string &key, std::int64_t minValue, std::int64_t maxValue)
{
    if (!this->has(key)) {
        this->requestedKeys.insert(key);
        this->addError(key, "is required");
        return minValue;
    }
    return this->integer(key, minValue, minValue, maxValue);
}

double YamlReader::real(const std::string &key, double fallback, double minValue, double maxValue)
{
    const auto value = this->child(key);
    // A template leaves a key without a value where it has none.
    if (!value.IsDefined() || value.IsNull()) {
        return fallback;
    }
    const auto number = value.IsScalar() ? parseNumber<double>(value.Scalar()) : std::nullopt;
    if (!number || !std::isfinite(*number) || *number < minValue || *number > maxValue) {
        this->addError(key, fmt::format("must be a number from {} to {}", minValue, maxValue));
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
    this->addError(key, "must be true or false");
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
        this->addError(key, "must be a list");
        return readers;
    }
    for (std::size_t i = 0; i < value.size(); ++i) {
        readers.emplace_back(value[i], fmt::format("{}[{}]", this->pathOfKey(key), i), *this->errors);
    }
    return readers;
}

std::vector<std::string> YamlReader::textList(const std::string &key)
{
    std::vector<std::string> result;
    const auto value = this->child(key);
    if (!value.IsDefined() || value.IsNull()) {
        return result;
    }
    if (!value.IsSequence()) {
        this->addError(key, "must be a list");
        return result;
    }
    for (const auto &item : value) {
        if (item.IsScalar()) {
            result.push_back(item.Scalar());
        } else {
            this->addError(key, "must contain only strings");
        }
    }
    return result;
}

YamlReader YamlReader::map(const std::string &key)
{
    return YamlReader(this->child(key), this->pathOfKey(key), *this->errors);
}

void YamlReader::reportUnknownKeys()
{
    if (!this->node.IsMap()) {
        return;
    }
    for (const auto &pair : this->node) {
        const auto key = pair.first.Scalar();
        if (this->requestedKeys.count(key) == 0) {
            this->errors->push_back(
                {lineOfMark(pair.first.Mark()), this->pathOfKey(key),
                 fmt::format("unknown key; accepted here: {}", fmt::join(this->requestedKeys, ", "))});
        }
    }
}

} // namespace agatedrum
