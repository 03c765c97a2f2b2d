#include "steering/revision.h"

#include <fmt/format.h>

namespace medlarway
{

std::string revisionToString(const Revision &revision)
{
    return fmt::format("{}.{}", revision.era, revision.number);
}

} // namespace medlarway
