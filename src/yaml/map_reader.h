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

/// Reads a text that must hold exactly one YAML document; notes a fault and returns nullopt where it doesn't.
std::optional<YAML::Node> readDocument(std::string_view text, Faults &faults);

/// Where a node stands.
Position positionOf(const YAML::Node &node);

/// The lowest and highest value allowed, both included.
template<class T>
struct Range {
    T lowest;
    T highest;
};

/// Reads the fields of one YAML map and notes every fault: a value of the wrong form, a key that is
/// missing, given twice or not known. A field that isn't there leaves its target as it was.
class MapReader
{
public:
    /// What the map describes goes into the faults' texts ("service", "settings").
    MapReader(const YAML::Node &node, std::string what, Faults &faults);

    /// Notes a fault where the key is missing.
    MapReader &require(std::string_view key);

    MapReader &text(std::string_view key, std::string &target);
    MapReader &flag(std::string_view key, bool &target);
    MapReader &endpoint(std::string_view key, Endpoint &target);
    MapReader &address(std::string_view key, std::uint32_t &target);
    MapReader &number(std::string_view key, std::uint32_t &target, Range<std::uint32_t> range);
    MapReader &byteCount(std::string_view key, std::uint64_t &target, Range<std::uint64_t> range);
    MapReader &duration(std::string_view key, Duration &target, Range<Duration> range);

    /// One word of a closed list.
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
        return fault(key, "must be one of " + names);
    }

    /// The node of a key; nullopt where it is missing.
    std::optional<YAML::Node> node(std::string_view key);

    /// The nodes of a list, at most so many; empty where the key is missing. Notes a fault where it is no list or longer.
    std::vector<YAML::Node> list(std::string_view key, std::size_t longest);

    /// Notes a fault at the key's value, or at the map where the key is missing.
    MapReader &fault(std::string_view key, const std::string &text);

    /// Where the key's value stands, or the map where the key is missing.
    Position position(std::string_view key) const;

    /// Notes a fault for every key that was never asked for. Call it last.
    void refuseUnknown();

private:
    struct Field {
        YAML::Node value;
        Position keyPosition;
        bool known = false;
    };

    bool readScalar(std::string_view key, std::string &target);
    Field *find(std::string_view key);

    std::string what_;
    Position position_;
    Faults *faults_;
    std::map<std::string, Field, std::less<>> fields_;
};

} // namespace medlarway
