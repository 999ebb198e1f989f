#pragma once

#include "agatedrum/result.h"

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace agatedrum {

/// One fault of a YAML file.
struct YamlFault
{
    int line = 0; ///< from 1; 0 when the fault is not at one place
    std::string key;
    std::string message; ///< what is wrong and what would be accepted
};

/// One line a fault: "line 3: services[0].cells: ...".
std::string describeFaults(const std::vector<YamlFault> &faults);

/// Parses one YAML document. Duplicate keys of a map are faults.
Result<YAML::Node, std::vector<YamlFault>> parseYaml(const std::string &text);

/// Reads one map of a YAML file and notes every fault instead of stopping at the first. Not thread-safe.
class YamlReader
{
public:
    /// @param path where the map stands, such as "services[0]"; empty for the whole file.
    /// @param faults where faults are added; must outlive the reader.
    YamlReader(const YAML::Node &map, std::string path, std::vector<YamlFault> &faults);

    bool has(const std::string &key) const;
    /// @return the string, or fallback when the key is missing or faulty.
    std::string text(const std::string &key, const std::string &fallback);
    /// As text(), but a missing or empty value is a fault.
    std::string requiredText(const std::string &key);
    /// A string out of a list.
    std::string choice(const std::string &key, const std::string &fallback, const std::vector<std::string> &accepted);
    std::int64_t integer(const std::string &key, std::int64_t fallback, std::int64_t lowest, std::int64_t highest);
    /// As integer(), but a missing value is a fault.
    std::int64_t requiredInteger(const std::string &key, std::int64_t lowest, std::int64_t highest);
    double real(const std::string &key, double fallback, double lowest, double highest);
    bool boolean(const std::string &key, bool fallback);
    /// The maps of a list; a missing list is empty.
    std::vector<YamlReader> list(const std::string &key);
    /// The texts of a list; a missing list is empty.
    std::vector<std::string> texts(const std::string &key);
    /// A map below this one; a missing one reads as empty.
    YamlReader map(const std::string &key);

    /// Adds a fault at a key of this map.
    void fault(const std::string &key, const std::string &message);
    /// Call last: every key that was not asked for is a fault.
    void finish();

private:
    YAML::Node child(const std::string &key);
    std::string pathOf(const std::string &key) const;
    int lineOf(const std::string &key) const;

    YAML::Node node;
    std::string path;
    std::vector<YamlFault> *faults;
    std::set<std::string> known;
};

} // namespace agatedrum
