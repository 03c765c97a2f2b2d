#pragma once

#include <optional>
#include <string>
#include <vector>

namespace medlarway
{

/// A position in a text. Line and column are counted from 1; both are 0 if the position is unknown.
struct Position {
    int line = 0;
    int column = 0;

    friend bool operator==(const Position &, const Position &) = default;
};

/// One error in a text that an operator wrote.
struct Fault {
    Position position;
    std::string text;

    friend bool operator==(const Fault &, const Fault &) = default;
};

/// All errors found in a text, in the order in which they were found.
using Faults = std::vector<Fault>;

/// The result of parsing a text: either the value or all errors.
template<class T>
struct Parsed {
    std::optional<T> value; ///< set only if there are no errors
    Faults faults;
};

/// Sorts the errors by position. Errors at the same position keep their order.
void sortFaults(Faults &faults);

/// Returns "line:column: text", or the text alone if the position is unknown.
std::string faultToString(const Fault &fault);

/// Returns one line per error, each starting with the prefix, which usually is the file name and a colon.
std::string faultsToString(const Faults &faults, const std::string &prefix = {});

/// Converts the result of faultsToString to a single log line: the errors are separated by "; ".
std::string faultsOnOneLine(const std::string &faults);

} // namespace medlarway
