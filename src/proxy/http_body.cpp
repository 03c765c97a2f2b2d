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

// Size of one read of a chunked body.
constexpr std::size_t kChunkReadBytes = 16U << 10U;

// Limit for a chunk-size line and for the trailer.
constexpr std::size_t kMaxChunkLineBytes = 8U << 10U;

// The shortest chunked body is "0" CR LF CR LF; the parser needs as many bytes to start.
constexpr std::size_t kMinChunkedBodyBytes = 5;

} // namespace

template<bool isRequest>
BodyStep BodyReader<isRequest>::read(std::span<char> out, std::size_t &size)
{
    size = 0;
    if (complete()) {
        return BodyStep::End;
    }
    return framing_.kind == BodyKind::Chunked ? readChunks(out, size) : readPlain(out, size);
}

// A body that is not chunked needs no parser, so it is read directly into the buffer that it is sent from.
template<bool isRequest>
BodyStep BodyReader<isRequest>::readPlain(std::span<char> out, std::size_t &size)
{
    if (framing_.kind == BodyKind::Length) {
        out = out.first(std::min<std::uint64_t>(out.size(), remaining_));
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
    remaining_ -= framing_.kind == BodyKind::Length ? size : 0;
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
        return BodyStep::WouldBlock;
    }
    const bool orderly = error == asio::error::eof && framing_.kind == BodyKind::UntilClose;
    return orderly ? BodyStep::End : BodyStep::Truncated;
}

template<bool isRequest>
BodyStep BodyReader<isRequest>::readChunks(std::span<char> out, std::size_t &size)
{
    while (!parser_.is_done()) {
        // Step 1. Decode the buffered bytes.
        bool needsInput = buffer_.size() < (chunksStarted_ ? 1 : kMinChunkedBodyBytes);
        if (!needsInput) {
            auto &body = parser_.get().body();
            body.data = out.data();
            body.size = out.size();
            body.more = true;
            boost::beast::error_code error;
            const auto used = parser_.put(buffer_.data(), error);
            buffer_.consume(used);
            chunksStarted_ = chunksStarted_ || used > 0;
            size = out.size() - body.size;
            needsInput = error == http::error::need_more || used == 0;
            if (error && error != http::error::need_more && error != http::error::need_buffer) {
                return BodyStep::Malformed;
            }
            if (size > 0) {
                return BodyStep::Data;
            }
        }
        if (!needsInput) {
            continue;
        }

        // Step 2. Receive more. The limit keeps a line without an end from exhausting memory.
        if (buffer_.size() > kMaxChunkLineBytes) {
            return BodyStep::Malformed;
        }
        const auto space = buffer_.prepare(kChunkReadBytes);
        std::size_t received = 0;
        const auto step = receive(std::span(static_cast<char *>(space.data()), space.size()), received);
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
