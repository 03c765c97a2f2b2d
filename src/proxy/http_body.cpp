#include "proxy/http_body.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/beast/http/error.hpp>
#include <cstring>

namespace medlarway
{

namespace
{

// Read at a time where chunks must be decoded.
constexpr std::size_t kChunkReadBytes = 16U << 10U;

// A chunk's line or the trailer may not be longer.
constexpr std::size_t kChunkLineBytes = 8U << 10U;

// The shortest chunked body, "0" CR LF CR LF; the parser takes no less at the start.
constexpr std::size_t kShortestChunkedBody = 5;

} // namespace

template<bool isRequest>
BodyStep BodyReader<isRequest>::read(std::span<char> out, std::size_t &size)
{
    size = 0;
    if (ended()) {
        return BodyStep::End;
    }
    return framing_.kind == BodyKind::Chunked ? readChunks(out, size) : readPlain(out, size);
}

// A body without chunks needs no parser and is read straight into the place it is sent from.
template<bool isRequest>
BodyStep BodyReader<isRequest>::readPlain(std::span<char> out, std::size_t &size)
{
    if (framing_.kind == BodyKind::Length) {
        out = out.first(std::min<std::uint64_t>(out.size(), left_));
    }
    if (buffer_.size() > 0) {
        size = std::min(out.size(), buffer_.size());
        std::memcpy(out.data(), buffer_.data().data(), size);
        buffer_.consume(size);
    } else {
        const auto step = receive(out, size);
        if (step != BodyStep::Data) {
            return step;
        }
    }
    left_ -= framing_.kind == BodyKind::Length ? size : 0;
    return BodyStep::Data;
}

template<bool isRequest>
BodyStep BodyReader<isRequest>::receive(std::span<char> out, std::size_t &size)
{
    ErrorCode error;
    size = socket_.read_some(asio::buffer(out.data(), out.size()), error);
    if (!error) {
        return BodyStep::Data;
    }
    if (isWouldBlock(error)) {
        return BodyStep::Wait;
    }
    const bool orderly = error == asio::error::eof && framing_.kind == BodyKind::UntilClose;
    return orderly ? BodyStep::End : BodyStep::Cut;
}

template<bool isRequest>
BodyStep BodyReader<isRequest>::readChunks(std::span<char> out, std::size_t &size)
{
    while (!parser_.is_done()) {
        // Step 1. Decode what is there.
        bool wantsMore = buffer_.size() < (chunksBegan_ ? 1 : kShortestChunkedBody);
        if (!wantsMore) {
            auto &body = parser_.get().body();
            body.data = out.data();
            body.size = out.size();
            body.more = true;
            boost::beast::error_code error;
            const auto used = parser_.put(buffer_.data(), error);
            buffer_.consume(used);
            chunksBegan_ = chunksBegan_ || used > 0;
            size = out.size() - body.size;
            wantsMore = error == http::error::need_more || used == 0;
            if (error && error != http::error::need_more && error != http::error::need_buffer) {
                return BodyStep::Malformed;
            }
            if (size > 0) {
                return BodyStep::Data;
            }
        }
        if (!wantsMore) {
            continue;
        }

        // Step 2. Read more; a line that doesn't end is refused before it fills the memory.
        if (buffer_.size() > kChunkLineBytes) {
            return BodyStep::Malformed;
        }
        const auto room = buffer_.prepare(kChunkReadBytes);
        std::size_t received = 0;
        const auto step = receive(std::span(static_cast<char *>(room.data()), room.size()), received);
        if (step != BodyStep::Data) {
            return step;
        }
        buffer_.commit(received);
    }
    return BodyStep::End;
}

template<bool isRequest>
void BodyReader<isRequest>::release()
{
    releaseIfEmpty(buffer_);
}

template class BodyReader<true>;
template class BodyReader<false>;

void releaseIfEmpty(InputBuffer &buffer)
{
    if (buffer.size() == 0) {
        buffer.clear();
        buffer.shrink_to_fit();
    }
}

} // namespace medlarway
