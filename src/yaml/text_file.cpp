#include "yaml/text_file.h"

#include <fstream>

namespace medlarway
{

std::optional<std::string> readTextFile(const std::string &path, std::uint64_t longestBytes)
{
    std::ifstream file(path, std::ios::binary);
    std::string text;
    // One byte more than allowed is asked for, so that a file that grows meanwhile is refused too.
    text.resize(longestBytes + 1);
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
    text.resize(static_cast<std::size_t>(file.gcount()));
    if (file.bad() || (!file.eof() && file.fail()) || !file.is_open() || text.size() > longestBytes) {
        return std::nullopt;
    }
    return text;
}

} // namespace medlarway
