#pragma once

#include <optional>
#include <string>
#include <vector>

namespace medlarway
{

/// A place in a text, both counted from 1; 0 where it isn't known.
struct Position {
    int line = 0;
    int column = 0;

    friend bool operator==(const Position &, const Position &) = default;
};

/// One fault of a text that an operator wrote.
struct Fault {
    Position position;
    std::string text;

    friend bool operator==(const Fault &, const Fault &) = default;
};

/// Every fault that was found, in the order found.
using Faults = std::vector<Fault>;

/// What was read from a text: the value, or every fault at once.
template<class T>
struct Parsed {
    std::optional<T> value; ///< present only where there is no fault
    Faults faults;
};

/// Sorts the faults by their places; those of one place keep their order.
void sortFaults(Faults &faults);

/// Writes "line:column: text", without the place where it isn't known.
std::string faultToString(const Fault &fault);

/// One fault a line, each after the prefix; the prefix is usually the file's name and a colon.
std::string faultsToString(const Faults &faults, const std::string &prefix = {});

/// The same for a log line: the faults of faultsToString, joined by "; ".
std::string faultsOnOneLine(const std::string &faults);

} // namespace medlarway
