#include "base/hash.h"

#include <xxhash.h>

namespace medlarway
{

std::uint64_t hashBytes(std::string_view bytes)
{
    return XXH3_64bits(bytes.data(), bytes.size());
}

} // namespace medlarway
