#include "yaml/fault.h"

#include <algorithm>
#include <fmt/format.h>
#include <tuple>

namespace medlarway
{

void sortFaults(Faults &faults)
{
    const auto isBefore = [](const Fault &left, const Fault &right) {
        return std::tie(left.position.line, left.position.column) < std::tie(right.position.line, right.position.column);
    };
    std::stable_sort(faults.begin(), faults.end(), isBefore);
}

std::string faultToString(const Fault &fault)
{
    if (fault.position.line == 0) {
        return fault.text;
    }
    return fmt::format("{}:{}: {}", fault.position.line, fault.position.column, fault.text);
}

std::string faultsToString(const Faults &faults, const std::string &prefix)
{
    std::string text;
    for (const auto &fault : faults) {
        if (!text.empty()) {
            text += '\n';
        }
        text += prefix;
        text += faultToString(fault);
    }
    return text;
}

std::string faultsOnOneLine(const std::string &faults)
{
    std::string line;
    for (const char c : faults) {
        line += c == '\n' ? std::string("; ") : std::string(1, c);
    }
    return line;
}

} // namespace medlarway
