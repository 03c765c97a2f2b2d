#include "scenario.h"

#include <cstdio>
#include <cstdlib>
#include <exception>

namespace lab
{

int runScenario(int argumentCount, char **arguments, const std::function<int(const Scenario &)> &run)
{
    if (argumentCount != 4) {
        std::fprintf(stderr, "usage: CASE PROGRAM RECORD FOLDER\n");
        return kNotRun;
    }
    const auto *trouble = std::getenv("TROUBLE");
    try {
        return run({arguments[1], arguments[2], arguments[3], trouble == nullptr || std::string(trouble) != "0"});
    } catch (const std::exception &exception) {
        std::fprintf(stderr, "the case could not run: %s\n", exception.what());
        return kNotRun;
    }
}

} // namespace lab
