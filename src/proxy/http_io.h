#pragma once

#include "proxy/http_connection.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace medlarway
{

/// The result of reading a head: its size, or the sender's error, or neither if the connection closed or was interrupted.
struct HeadRead {
    std::size_t size = 0;
    std::optional<ErrorKind> error;
};

/// Reads until the buffer starts with a complete head of at most `limit` bytes.
asio::awaitable<HeadRead> readHead(HttpConnection &connection, tcp::socket &socket, InputBuffer &buffer, std::size_t limit);

/// The contents of the buffer.
std::string_view viewOf(const InputBuffer &buffer);

/// Up to three pieces that are written with one gathering write.
class GatheredBytes
{
public:
    GatheredBytes(std::string_view first, std::string_view second, std::string_view third);

    /// Writes as much as the socket accepts without blocking. Returns false if the connection has failed.
    bool writeSome(tcp::socket &socket);

    bool empty() const;

    /// The number of bytes written so far.
    std::size_t written() const;

    /// Copies the unwritten rest of the second piece to `copy`, which replaces it.
    void moveSecond(char *copy);

private:
    std::array<asio::const_buffer, 3> parts_;
    std::size_t written_ = 0;
};

/// Writes all bytes. Returns false if the connection has failed or was interrupted.
asio::awaitable<bool> writeAll(HttpConnection &connection, tcp::socket &socket, GatheredBytes &bytes);

/// Writes a text, which must stay valid until the coroutine returns. Returns false as writeAll() does.
asio::awaitable<bool> writeText(HttpConnection &connection, tcp::socket &socket, std::string_view text);

/// The result of relaying a body.
enum class RelayResult : std::uint8_t {
    Complete,
    SourceTruncated,
    SourceMalformed,
    SourceTooLarge,
    SinkFailed,
    Stopped, ///< interrupted, or stopped by RelayState::stop
};

/// Options and progress of relayBody.
struct RelayState {
    BodyKind kind = BodyKind::None; ///< the framing towards the sink
    std::string pendingHead; ///< a head to write together with the first bytes
    std::uint64_t maxBytes = 0; ///< limit for the body from the source; 0 means unlimited
    std::string *copy = nullptr; ///< receives a copy of the first bytes of the body; may be null
    std::size_t maxCopyBytes = 0; ///< copying stops after the read that exceeds this size
    const bool *stop = nullptr; ///< relaying stops when this becomes true; may be null
    std::uint64_t bytesRead = 0; ///< body bytes read from the source so far
    std::uint64_t written = 0; ///< bytes written to the sink so far, including head and chunk framing
};

/// Copies a body from the source to the sink. It reads more only after everything was written, so a slow
/// sink throttles the source and memory stays bounded.
template<bool isRequest>
asio::awaitable<RelayResult> relayBody(HttpConnection &connection, BodyReader<isRequest> &source, tcp::socket &sink, RelayState &state);

} // namespace medlarway
