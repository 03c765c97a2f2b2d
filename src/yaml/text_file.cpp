#include "yaml/text_file.h"

#include <fstream>

namespace medlarway
{

std::optional<std::string> readTextFile(const std::string &path, std::uint64_t maxBytes)
{
    std::ifstream file(path, std::ios::binary);
    std::string text;
    // Requests one byte more than allowed, so that a file that grows while it is read is rejected too.
    text.resize(maxBytes + 1);
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
    text.resize(static_cast<std::size_t>(file.gcount()));
    if (file.bad() || (!file.eof() && file.fail()) || !file.is_open() || text.size() > maxBytes) {
        return std::nullopt;
    }
    return text;
}

} // namespace medlarway
