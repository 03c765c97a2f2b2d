#pragma once

#include "base/endpoint.h"
#include "base/time.h"
#include "yaml/fault.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>
#include <yaml-cpp/yaml.h>

namespace medlarway
{

/// Parses a text that must contain exactly one YAML document without aliases. Otherwise adds an error and returns nullopt.
std::optional<YAML::Node> readDocument(std::string_view text, Faults &faults);

/// Returns the position of a node in its text.
Position positionOf(const YAML::Node &node);

/// The allowed values of a field: min to max, both inclusive.
template<class T>
struct Range {
    T min;
    T max;
};

/// Reads the fields of a YAML map and collects all errors: values of the wrong form, and keys that are
/// missing, duplicate or unknown. If a key is missing, the target variable of its field stays unchanged.
class MapReader
{
public:
    /// The section is the name of the map in error texts, for instance "service" or "settings".
    /// The list of errors must outlive the reader.
    MapReader(const YAML::Node &node, std::string section, Faults &faults);

    /// Adds an error if the key is missing.
    MapReader &require(std::string_view key);

    MapReader &text(std::string_view key, std::string &target);
    MapReader &flag(std::string_view key, bool &target);
    MapReader &endpoint(std::string_view key, Endpoint &target);
    MapReader &address(std::string_view key, std::uint32_t &target);
    MapReader &number(std::string_view key, std::uint32_t &target, Range<std::uint32_t> range);
    MapReader &byteCount(std::string_view key, std::uint64_t &target, Range<std::uint64_t> range);
    MapReader &duration(std::string_view key, Duration &target, Range<Duration> range);

    /// Reads a word that must be one of the choices and sets the target to its value.
    template<class T>
    MapReader &choice(std::string_view key, T &target, std::initializer_list<std::pair<std::string_view, T>> choices)
    {
        std::string word;
        if (!readScalar(key, word)) {
            return *this;
        }
        std::string names;
        for (const auto &[name, value] : choices) {
            if (name == word) {
                target = value;
                return *this;
            }
            names += names.empty() ? "" : ", ";
            names += name;
        }
        return addError(key, "must be one of " + names);
    }

    /// Returns the value of a key; nullopt if the key is missing.
    std::optional<YAML::Node> node(std::string_view key);

    /// Returns the elements of a list; empty if the key is missing.
    /// If the value is not a list or has more than maxEntries elements, adds an error and returns nothing.
    std::vector<YAML::Node> list(std::string_view key, std::size_t maxEntries);

    /// Adds an error at the position of the key's value, or of the map if the key is missing.
    MapReader &addError(std::string_view key, const std::string &text);

    /// Returns the position of the key's value, or of the map if the key is missing.
    Position position(std::string_view key) const;

    /// Adds an error for every key that no other function was called with. Call it last.
    void rejectUnknownKeys();

private:
    struct Field {
        YAML::Node value;
        Position keyPosition;
        bool requested = false;
    };

    bool readScalar(std::string_view key, std::string &target);
    Field *find(std::string_view key);

    std::string section_;
    Position position_;
    Faults *faults_;
    std::map<std::string, Field, std::less<>> fields_;
};

} // namespace medlarway
