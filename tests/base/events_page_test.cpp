#include "base/log.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <fstream>
#include <set>
#include <string>

using namespace medlarway;

namespace
{

std::string levelText(LogLevel level)
{
    for (const auto *name : {"debug", "info", "warning", "error"}) {
        if (parseLogLevel(name) == level) {
            return name;
        }
    }
    return {};
}

// The rows of the page's table up to the column of advice, which the code does not know.
std::set<std::string> rowsOfPage()
{
    constexpr int kSharedColumns = 4;
    std::set<std::string> rows;
    std::ifstream page("docs/EVENTS.md");
    for (std::string line; std::getline(page, line);) {
        if (line.size() < 3 || line[0] != '|' || line[2] < '0' || line[2] > '9') {
            continue;
        }
        std::size_t end = 0;
        for (int column = 0; column < kSharedColumns; ++column) {
            end = line.find(" | ", end + 1);
        }
        CHECK_MESSAGE(line.size() > end + 5, "no advice for: ", line);
        rows.insert(line.substr(0, end));
    }
    return rows;
}

} // namespace

TEST_CASE("the page of events and the code agree")
{
    std::set<std::string> rows;
    std::set<int> numbers;
    for (const auto &info : allEvents()) {
        rows.insert(fmt::format("| {} | {} | {} | {}", static_cast<int>(info.event), info.name, levelText(info.level), info.summary));
        CHECK_MESSAGE(numbers.insert(static_cast<int>(info.event)).second, "number given twice: ", info.name);
    }
    const auto page = rowsOfPage();
    for (const auto &row : rows) {
        CHECK_MESSAGE(page.contains(row), "not on the page: ", row);
    }
    for (const auto &row : page) {
        CHECK_MESSAGE(rows.contains(row), "not in the code: ", row);
    }
}
