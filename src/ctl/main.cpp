#include "daemon/version.h"

#include <fmt/core.h>

int main()
{
    fmt::print("medlarwayctl {}\n", medlarway::kVersion);
    return 0;
}
