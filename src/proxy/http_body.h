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
using AnswerParser = http::response_parser<http::buffer_body>;

/// What one look for body bytes gave.
enum class BodyStep : std::uint8_t {
    Data,
    Wait, ///< nothing there yet
    End, ///< the body is whole
    Cut, ///< the connection ended or failed before the body's end
    Malformed, ///< the chunks are not valid
};

/// Takes a body off one connection, decoded, without waiting. Parser, socket and buffer must outlive it.
template<bool isRequest>
class BodyReader
{
public:
    using Parser = http::parser<isRequest, http::buffer_body>;

    /// The parser has read the head; the buffer may hold the body's first bytes.
    BodyReader(Parser &parser, BodyFraming framing, tcp::socket &socket, InputBuffer &buffer)
        : parser_(parser)
        , framing_(framing)
        , left_(framing.length)
        , socket_(socket)
        , buffer_(buffer)
    {
    }

    /// Puts bytes into `out` and their number into `size`.
    BodyStep read(std::span<char> out, std::size_t &size);

    /// Whether the body is whole and all of it was handed out.
    bool ended() const
    {
        return framing_.kind == BodyKind::None || (framing_.kind == BodyKind::Length && left_ == 0)
               || (framing_.kind == BodyKind::Chunked && parser_.is_done());
    }

    /// Whether bytes were taken from the connection already.
    bool hasBuffered() const
    {
        return buffer_.size() > 0;
    }

    tcp::socket &socket()
    {
        return socket_;
    }

    /// Frees the buffer's memory while it is empty.
    void release();

private:
    BodyStep readPlain(std::span<char> out, std::size_t &size);
    BodyStep readChunks(std::span<char> out, std::size_t &size);
    BodyStep receive(std::span<char> out, std::size_t &size);

    Parser &parser_;
    BodyFraming framing_;
    std::uint64_t left_;
    tcp::socket &socket_;
    InputBuffer &buffer_;
    bool chunksBegan_ = false;
};

extern template class BodyReader<true>;
extern template class BodyReader<false>;

/// Frees a buffer's memory while it is empty, so that an idle connection holds none.
void releaseIfEmpty(InputBuffer &buffer);

} // namespace medlarway
