#pragma once

#include "proxy/http_connection.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace medlarway
{

/// How reading a head ended: with its size, with an error of the sender's, or with neither where the connection ended.
struct HeadRead {
    std::size_t size = 0;
    std::optional<ErrorKind> error;
};

/// Reads until the buffer begins with a whole head of at most `limit` bytes.
asio::awaitable<HeadRead> readHead(HttpConnection &connection, tcp::socket &socket, InputBuffer &buffer, std::size_t limit);

/// The buffer's bytes.
std::string_view viewOf(const InputBuffer &buffer);

/// Up to three pieces that are written as one.
class GatheredBytes
{
public:
    GatheredBytes(std::string_view first, std::string_view second, std::string_view third);

    /// Writes what the socket takes at once. False where the connection has failed.
    bool writeSome(tcp::socket &socket);

    bool empty() const;

    /// Bytes written so far.
    std::size_t written() const;

    /// Copies what is left of the second piece and goes on from the copy.
    void moveSecond(char *copy);

private:
    std::array<asio::const_buffer, 3> parts_;
    std::size_t written_ = 0;
};

/// Writes all of it. False where the connection has failed or was interrupted.
asio::awaitable<bool> writeAll(HttpConnection &connection, tcp::socket &socket, GatheredBytes &bytes);

/// Writes a text that the caller keeps alive.
asio::awaitable<bool> writeText(HttpConnection &connection, tcp::socket &socket, std::string_view text);

/// How relaying a body ended.
enum class RelayEnd : std::uint8_t {
    Whole,
    SourceCut,
    SourceMalformed,
    SourceTooLarge,
    SinkFailed,
    Stopped, ///< interrupted, or asked to stop
};

/// What relayBody needs besides its two ends.
struct RelayPlan {
    BodyKind kind = BodyKind::None; ///< how the body's end is told to the sink
    std::string pending; ///< a head that is written together with the first bytes
    std::uint64_t mostBytes = 0; ///< the source may send no more; 0 for no bound
    std::string *copy = nullptr; ///< keeps the body's first bytes
    std::size_t copyBytes = 0; ///< at most so many and one read more
    const bool *stop = nullptr;
    std::uint64_t carried = 0; ///< bytes read from the source so far
    std::uint64_t written = 0; ///< bytes written to the sink so far, heads and chunk marks included
};

/// Carries a body from the reader to the sink. Reads on only when all was written, so a slow
/// sink holds the source back and the memory stays bounded.
template<bool isRequest>
asio::awaitable<RelayEnd> relayBody(HttpConnection &connection, BodyReader<isRequest> &source, tcp::socket &sink, RelayPlan &plan);

} // namespace medlarway
