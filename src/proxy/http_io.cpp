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

// Reads in a row before other connections of the thread get their turn.
constexpr int kReadsPerTurn = 16;

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kLastChunk = "0\r\n\r\n";

bool mustStop(const HttpConnection &connection, const RelayPlan &plan)
{
    return connection.interrupted() != Interrupt::None || (plan.stop != nullptr && *plan.stop);
}

void keepCopy(RelayPlan &plan, std::string_view bytes)
{
    if (plan.copy != nullptr && plan.copy->size() <= plan.copyBytes) {
        plan.copy->append(bytes);
    }
}

// Bytes for one read. The thread's scratch serves until a write had to wait; from then on
// the connection has its own, until its source falls silent again.
class ReadSpace
{
public:
    explicit ReadSpace(DataThread &thread)
        : scratch_(thread.scratch())
    {
    }

    std::span<char> bytes() const
    {
        return own_ ? std::span(own_.get(), scratch_.size()) : scratch_;
    }

    // Moves bytes that were read, and are not written yet, into memory that outlives a suspension.
    void keep(GatheredBytes &gathered)
    {
        if (!own_) {
            own_ = std::make_unique_for_overwrite<char[]>(scratch_.size());
            gathered.moveSecond(own_.get());
        }
    }

    void release()
    {
        own_.reset();
    }

private:
    std::span<char> scratch_;
    std::unique_ptr<char[]> own_; // NOLINT(modernize-avoid-c-arrays)
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
        // Step 1. Look at what is there.
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
asio::awaitable<RelayEnd> relayBody(HttpConnection &connection, BodyReader<isRequest> &source, tcp::socket &sink, RelayPlan &plan)
{
    const bool chunked = plan.kind == BodyKind::Chunked;
    ReadSpace space(connection.runner().thread());
    for (int turn = 0; !mustStop(connection, plan); ++turn) {
        if (turn == kReadsPerTurn) {
            turn = 0;
            co_await asio::post(sink.get_executor(), asio::use_awaitable);
        }
        std::size_t size = 0;
        const auto step = source.read(space.bytes(), size);
        if (step == BodyStep::Cut || step == BodyStep::Malformed) {
            co_return step == BodyStep::Cut ? RelayEnd::SourceCut : RelayEnd::SourceMalformed;
        }
        if (step == BodyStep::Wait && plan.pending.empty()) {
            space.release();
            source.release();
            const auto error = co_await connection.waitToRead(source.socket());
            if (error) {
                break;
            }
            continue;
        }
        plan.carried += size;
        if (plan.mostBytes > 0 && plan.carried > plan.mostBytes) {
            co_return RelayEnd::SourceTooLarge;
        }
        const std::string_view data(space.bytes().data(), size);
        keepCopy(plan, data);

        // The head goes out with the first bytes, or alone where they are late.
        auto before = std::exchange(plan.pending, {});
        std::string_view after;
        if (chunked && step == BodyStep::Data) {
            before += fmt::format("{:x}\r\n", size);
            after = kLineEnd;
        } else if (chunked && step == BodyStep::End) {
            after = kLastChunk;
        }
        GatheredBytes bytes(before, data, after);
        bool good = bytes.writeSome(sink);
        if (good && !bytes.empty()) {
            space.keep(bytes);
            good = co_await writeAll(connection, sink, bytes);
        }
        plan.written += bytes.written();
        if (!good) {
            co_return mustStop(connection, plan) ? RelayEnd::Stopped : RelayEnd::SinkFailed;
        }
        if (step == BodyStep::End) {
            co_return RelayEnd::Whole;
        }
    }
    co_return RelayEnd::Stopped;
}

template asio::awaitable<RelayEnd> relayBody(HttpConnection &, BodyReader<true> &, tcp::socket &, RelayPlan &);
template asio::awaitable<RelayEnd> relayBody(HttpConnection &, BodyReader<false> &, tcp::socket &, RelayPlan &);

} // namespace medlarway
