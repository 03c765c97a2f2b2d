#include "proxy/http_io.h"

#include "proxy/http_rules.h"

#include <algorithm>
#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cstring>
#include <fmt/format.h>
#include <memory>

namespace medlarway
{

namespace
{

// Consecutive reads of one connection before it yields to the others of the thread.
constexpr int kMaxBodyReadsPerTurn = 16;

constexpr std::string_view kLastChunk = "0\r\n\r\n";

bool mustStop(const HttpConnection &connection, const RelayState &state)
{
    return connection.interrupted() != Interrupt::None || (state.stop != nullptr && *state.stop);
}

void appendCopy(RelayState &state, std::string_view bytes)
{
    if (state.copy != nullptr && state.copy->size() <= state.maxCopyBytes) {
        state.copy->append(bytes);
    }
}

// The buffer for one read. The thread's shared scratch buffer is used until a write has to wait. From then on the
// connection uses its own buffer until its source has no more bytes available.
class ReadBuffer
{
public:
    explicit ReadBuffer(DataThread &thread)
        : scratch_(thread.scratch())
    {
    }

    std::span<char> bytes() const
    {
        return ownBuffer_ ? std::span(ownBuffer_.get(), scratch_.size()) : scratch_;
    }

    // Moves bytes that are read but not yet written to memory that stays valid while the coroutine is suspended.
    void retain(GatheredBytes &gathered)
    {
        if (!ownBuffer_) {
            ownBuffer_ = std::make_unique_for_overwrite<char[]>(scratch_.size());
            gathered.moveSecond(ownBuffer_.get());
        }
    }

    void release()
    {
        ownBuffer_.reset();
    }

private:
    std::span<char> scratch_;
    std::unique_ptr<char[]> ownBuffer_; // NOLINT(modernize-avoid-c-arrays)
};

} // namespace

std::string_view viewOf(const InputBuffer &buffer)
{
    return {static_cast<const char *>(buffer.data().data()), buffer.size()};
}

asio::awaitable<HeadRead> readHead(HttpConnection &connection, tcp::socket &socket, InputBuffer &buffer, std::size_t limit)
{
    std::size_t searched = 0;
    while (true) {
        // Step 1. Scan the buffered bytes.
        const auto bytes = viewOf(buffer);
        const auto scan = scanHead(bytes, searched);
        searched = bytes.size();
        if (scan.state == HeadScan::State::Malformed) {
            co_return HeadRead{0, ErrorKind::MalformedRequest};
        }
        if (scan.state == HeadScan::State::Complete ? scan.size > limit : searched >= limit) {
            co_return HeadRead{0, ErrorKind::HeadTooLarge};
        }
        if (scan.state == HeadScan::State::Complete) {
            co_return HeadRead{scan.size, std::nullopt};
        }

        // Step 2. Read more.
        const auto error = co_await connection.readMore(socket, buffer);
        if (error) {
            co_return HeadRead{};
        }
    }
}

GatheredBytes::GatheredBytes(std::string_view first, std::string_view second, std::string_view third)
    : parts_{asio::buffer(first), asio::buffer(second), asio::buffer(third)}
{
}

bool GatheredBytes::writeSome(tcp::socket &socket)
{
    while (!empty()) {
        ErrorCode error;
        auto size = socket.write_some(parts_, error);
        if (error) {
            return isWouldBlock(error);
        }
        written_ += size;
        for (auto &part : parts_) {
            const auto used = std::min(size, part.size());
            part += used;
            size -= used;
        }
    }
    return true;
}

bool GatheredBytes::empty() const
{
    return std::all_of(parts_.begin(), parts_.end(), [](const auto &part) { return part.size() == 0; });
}

std::size_t GatheredBytes::written() const
{
    return written_;
}

void GatheredBytes::moveSecond(char *copy)
{
    auto &second = parts_[1];
    std::memcpy(copy, second.data(), second.size());
    second = asio::const_buffer(copy, second.size());
}

asio::awaitable<bool> writeAll(HttpConnection &connection, tcp::socket &socket, GatheredBytes &bytes)
{
    while (true) {
        if (!bytes.writeSome(socket)) {
            co_return false;
        }
        if (bytes.empty()) {
            co_return true;
        }
        const auto error = co_await connection.waitToWrite(socket);
        if (error) {
            co_return false;
        }
    }
}

asio::awaitable<bool> writeText(HttpConnection &connection, tcp::socket &socket, std::string_view text)
{
    GatheredBytes bytes(text, {}, {});
    co_return co_await writeAll(connection, socket, bytes);
}

template<bool isRequest>
asio::awaitable<RelayResult> relayBody(HttpConnection &connection, BodyReader<isRequest> &source, tcp::socket &sink, RelayState &state)
{
    const bool chunked = state.kind == BodyKind::Chunked;
    ReadBuffer readBuffer(connection.runner().thread());
    for (int turn = 0; !mustStop(connection, state); ++turn) {
        if (turn == kMaxBodyReadsPerTurn) {
            turn = 0;
            co_await asio::post(sink.get_executor(), asio::use_awaitable);
        }
        std::size_t size = 0;
        const auto step = source.read(readBuffer.bytes(), size);
        if (step == BodyStep::Truncated || step == BodyStep::Malformed) {
            co_return step == BodyStep::Truncated ? RelayResult::SourceTruncated : RelayResult::SourceMalformed;
        }
        if (step == BodyStep::WouldBlock && state.pendingHead.empty()) {
            readBuffer.release();
            source.release();
            const auto error = co_await connection.waitToRead(source.socket());
            if (error) {
                break;
            }
            continue;
        }
        state.bytesRead += size;
        if (state.maxBytes > 0 && state.bytesRead > state.maxBytes) {
            co_return RelayResult::SourceTooLarge;
        }
        const std::string_view data(readBuffer.bytes().data(), size);
        appendCopy(state, data);

        // The head is sent together with the first bytes, or alone if none are available yet.
        auto before = std::exchange(state.pendingHead, {});
        std::string_view after;
        if (chunked && step == BodyStep::Data) {
            before += fmt::format("{:x}\r\n", size);
            after = kLineEnd;
        } else if (chunked && step == BodyStep::End) {
            after = kLastChunk;
        }
        GatheredBytes bytes(before, data, after);
        bool ok = bytes.writeSome(sink);
        if (ok && !bytes.empty()) {
            readBuffer.retain(bytes);
            ok = co_await writeAll(connection, sink, bytes);
        }
        state.written += bytes.written();
        if (!ok) {
            co_return mustStop(connection, state) ? RelayResult::Stopped : RelayResult::SinkFailed;
        }
        if (step == BodyStep::End) {
            co_return RelayResult::Complete;
        }
    }
    co_return RelayResult::Stopped;
}

template asio::awaitable<RelayResult> relayBody(HttpConnection &, BodyReader<true> &, tcp::socket &, RelayState &);
template asio::awaitable<RelayResult> relayBody(HttpConnection &, BodyReader<false> &, tcp::socket &, RelayState &);

} // namespace medlarway
