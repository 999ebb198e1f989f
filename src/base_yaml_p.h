#pragma once

#include "agatedrum/result.h"

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace agatedrum {

/// One error in a YAML file.
struct YamlError
{
    int line = 0; ///< counted from 1; 0 if the error has no single location
    std::string key;
    std::string message; ///< what is wrong and which values are accepted
};

/// Returns one line of text for each error, such as "line 3: services[0].cells: ...".
std::string describeYamlErrors(const std::vector<YamlError> &errors);

/// Parses a text that contains exactly one YAML document with a map at the top level. Duplicate keys in a map are
/// errors.
Result<YAML::Node, std::vector<YamlError>> parseYaml(const std::string &text);

/// Reads the values of one map in a YAML file. Collects all errors instead of stopping at the first. Not thread-safe.
class YamlReader
{
public:
    /// @param path location of the map in the file, such as "services[0]"; empty for the top level.
    /// @param errors receives the errors; must outlive the reader.
    YamlReader(const YAML::Node &map, std::string path, std::vector<YamlError> &errors);

    bool has(const std::string &key) const;
    /// Returns the string, or fallback if the key is missing. Returns fallback and reports an error if the value is not
    /// a string.
    std::string text(const std::string &key, const std::string &fallback);
    /// Returns the text, or an empty one if the key is absent or has no value.
    std::string optionalText(const std::string &key);
    /// Like text(), but reports an error if the value is missing or empty.
    std::string requiredText(const std::string &key);
    /// Reads a string that must be one of the accepted values.
    std::string choice(const std::string &key, const std::string &fallback, const std::vector<std::string> &accepted);
    std::int64_t integer(const std::string &key, std::int64_t fallback, std::int64_t minValue, std::int64_t maxValue);
    /// Like integer(), but reports an error if the key is missing.
    std::int64_t requiredInteger(const std::string &key, std::int64_t minValue, std::int64_t maxValue);
    double real(const std::string &key, double fallback, double minValue, double maxValue);
    bool boolean(const std::string &key, bool fallback);
    /// Returns a reader for each map in a list; a missing list is read as empty.
    std::vector<YamlReader> list(const std::string &key);
    /// Returns the strings of a list; a missing list is read as empty.
    std::vector<std::string> textList(const std::string &key);
    /// Returns a reader for a nested map; a missing map is read as empty.
    YamlReader map(const std::string &key);

    /// Adds an error for a key of this map.
    void addError(const std::string &key, const std::string &message);
    /// Reports an error for each key that was not read. Must be called after all expected keys have been read.
    void reportUnknownKeys();

private:
    YAML::Node child(const std::string &key);
    std::string pathOfKey(const std::string &key) const;
    int lineOfKey(const std::string &key) const;

    YAML::Node node;
    std::string path;
    std::vector<YamlError> *errors;
    std::set<std::string> requestedKeys;
};

} // namespace agatedrum
