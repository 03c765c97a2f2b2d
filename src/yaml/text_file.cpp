#include "yaml/text_file.h"

#include <array>
#include <fstream>

namespace medlarway
{

std::optional<std::string> readTextFile(const std::string &path, std::uint64_t maxBytes)
{
    constexpr std::size_t kChunkBytes = 16U << 10U;
    std::ifstream file(path, std::ios::binary);
    std::array<char, kChunkBytes> chunk{};
    std::string text;
    // Stops above the limit, as a file that grows while it is read may never end.
    while (file && text.size() <= maxBytes) {
        file.read(chunk.data(), chunk.size());
        text.append(chunk.data(), static_cast<std::size_t>(file.gcount()));
    }
    const bool complete = file.eof() && !file.bad() && text.size() <= maxBytes;
    return complete ? std::optional(std::move(text)) : std::nullopt;
}

} // namespace medlarway
