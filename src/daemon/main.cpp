#include "daemon/version.h"

#include <fmt/core.h>

int main()
{
    fmt::print("medlarwayd {}\n", medlarway::kVersion);
    return 0;
}
