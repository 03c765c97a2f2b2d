#pragma once

#include "proxy/http_headers.h"
#include "proxy/net.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <cstddef>
#include <cstdint>
#include <span>

namespace medlarway
{

using InputBuffer = boost::beast::flat_buffer;
using RequestParser = http::request_parser<http::buffer_body>;
using ResponseParser = http::response_parser<http::buffer_body>;

/// The result of one non-blocking attempt to read body bytes.
enum class BodyStep : std::uint8_t {
    Data,
    WouldBlock, ///< no bytes are available yet
    End, ///< the body is complete
    Truncated, ///< the connection closed or failed before the end of the body
    Malformed, ///< the chunked encoding is invalid
};

/// Reads and decodes a body from one connection without blocking. Parser, socket and buffer must outlive it.
template<bool isRequest>
class BodyReader
{
public:
    using Parser = http::parser<isRequest, http::buffer_body>;

    /// The parser must have parsed the head. The buffer may already contain the first bytes of the body.
    BodyReader(Parser &parser, BodyFraming framing, tcp::socket &socket, InputBuffer &buffer)
        : parser_(parser)
        , framing_(framing)
        , remaining_(framing.length)
        , socket_(socket)
        , buffer_(buffer)
    {
    }

    /// Reads decoded bytes into `out` and sets `size` to their number.
    BodyStep read(std::span<char> out, std::size_t &size);

    /// Whether read() has returned the whole body.
    bool complete() const
    {
        return framing_.kind == BodyKind::None || (framing_.kind == BodyKind::Length && remaining_ == 0)
               || (framing_.kind == BodyKind::Chunked && parser_.is_done());
    }

    /// Whether the buffer contains bytes that were received but not yet returned.
    bool hasBuffered() const
    {
        return buffer_.size() > 0;
    }

    tcp::socket &socket()
    {
        return socket_;
    }

    /// Frees the buffer's memory if it is empty.
    void release();

private:
    BodyStep readPlain(std::span<char> out, std::size_t &size);
    BodyStep readChunks(std::span<char> out, std::size_t &size);
    BodyStep receive(std::span<char> out, std::size_t &size);

    Parser &parser_;
    BodyFraming framing_;
    std::uint64_t remaining_;
    tcp::socket &socket_;
    InputBuffer &buffer_;
    bool chunksStarted_ = false;
};

extern template class BodyReader<true>;
extern template class BodyReader<false>;

/// Frees a buffer's memory if it is empty, so that an idle connection uses none.
void releaseIfEmpty(InputBuffer &buffer);

} // namespace medlarway
