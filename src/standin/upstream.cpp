#include "standin/upstream.h"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <fmt/format.h>
#include <mutex>
#include <set>
#include <thread>
#include <utility>

namespace medlarway
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using asio::ip::udp;

constexpr std::uint64_t kMaxBodyBytes = 1ULL << 30U;
constexpr std::size_t kBufferBytes = 65536;
constexpr auto kWaitForCompletion = asio::as_tuple(asio::use_awaitable);

using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

// The number after "NAME=" in a request target; 0 if there is none.
std::uint64_t queryParameter(std::string_view target, std::string_view name)
{
    const auto found = target.find(fmt::format("{}=", name));
    std::uint64_t value = 0;
    if (found != std::string_view::npos) {
        const auto digits = target.substr(found + name.size() + 1);
        std::from_chars(digits.data(), digits.data() + digits.size(), value);
    }
    return value;
}

template<class Protocol>
typename Protocol::endpoint toAsio(const Endpoint &endpoint)
{
    return {asio::ip::address_v4(endpoint.address), endpoint.port};
}

template<class AsioEndpoint>
Endpoint fromAsio(const AsioEndpoint &endpoint)
{
    return {endpoint.address().to_v4().to_uint(), endpoint.port()};
}

} // namespace

std::string standinBody(std::size_t bytes)
{
    constexpr std::string_view kAlphabet = "abcdefghijklmnopqrstuvwxyz\n";
    std::string body(bytes, ' ');
    for (std::size_t index = 0; index < bytes; ++index) {
        body[index] = kAlphabet[(index + index / 1000) % kAlphabet.size()];
    }
    return body;
}

struct StandinUpstream::Impl {
    explicit Impl(StandinUpstreamOptions requested)
        : options(std::move(requested))
        , httpAcceptor(context, toAsio<tcp>(options.http))
        , streamAcceptor(context, toAsio<tcp>(options.stream))
        , datagramSocket(context, toAsio<udp>(options.datagram))
    {
        asio::co_spawn(context, accept(httpAcceptor, &Impl::serveHttp), asio::detached);
        asio::co_spawn(context, accept(streamAcceptor, &Impl::serveStream), asio::detached);
        asio::co_spawn(context, serveDatagrams(), asio::detached);
        thread = std::thread([this] { context.run(); });
    }

    ~Impl()
    {
        context.stop();
        thread.join();
        for (auto *socket : sockets) {
            beast::error_code ignored;
            socket->set_option(asio::socket_base::linger(true, 0), ignored);
        }
    }

    asio::awaitable<void> accept(tcp::acceptor &acceptor, asio::awaitable<void> (Impl::*serve)(tcp::socket));
    asio::awaitable<void> serveHttp(tcp::socket socket);
    asio::awaitable<void> serveStream(tcp::socket socket);
    asio::awaitable<void> serveDatagrams();
    asio::awaitable<Response> handleRequest(const Request &request);
    bool acquireSlot();
    Response makeResponse(const Request &request) const;
    Response makeShedResponse(const Request &request) const;
    void record(const Request &request);

    StandinUpstreamOptions options;
    std::set<tcp::socket *> sockets; ///< open sockets; declared before the context, whose destructor closes them
    asio::io_context context{1};
    tcp::acceptor httpAcceptor;
    tcp::acceptor streamAcceptor;
    udp::socket datagramSocket;
    std::thread thread;
    mutable std::mutex mutex;
    std::vector<std::string> requestsRun; ///< guarded by mutex
    std::size_t shedCount = 0; ///< guarded by mutex
    std::size_t usedSlots = 0; ///< accessed only on the context's thread
};

// Keeps a socket in the set of open sockets during the lifetime of its coroutine.
struct SocketRegistration {
    SocketRegistration(std::set<tcp::socket *> &all, tcp::socket &own)
        : sockets(all)
        , socket(&own)
    {
        sockets.insert(socket);
    }

    ~SocketRegistration()
    {
        sockets.erase(socket);
    }

    SocketRegistration(const SocketRegistration &) = delete;
    SocketRegistration &operator=(const SocketRegistration &) = delete;

    std::set<tcp::socket *> &sockets;
    tcp::socket *socket;
};

asio::awaitable<void> StandinUpstream::Impl::accept(tcp::acceptor &acceptor, asio::awaitable<void> (Impl::*serve)(tcp::socket))
{
    for (;;) {
        auto [error, socket] = co_await acceptor.async_accept(kWaitForCompletion);
        if (error) {
            co_return;
        }
        socket.set_option(tcp::no_delay(true), error);
        asio::co_spawn(context, (this->*serve)(std::move(socket)), asio::detached);
    }
}

asio::awaitable<void> StandinUpstream::Impl::serveHttp(tcp::socket socket)
{
    const SocketRegistration registration(sockets, socket);
    beast::flat_buffer buffer;
    bool keepAlive = true;
    while (keepAlive) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(kMaxBodyBytes);
        const auto [readError, read] = co_await http::async_read(socket, buffer, parser, kWaitForCompletion);
        if (readError) {
            break;
        }
        const auto &request = parser.get();
        auto response = co_await handleRequest(request);
        keepAlive = response.keep_alive();
        const auto [writeError, written] = co_await http::async_write(socket, response, kWaitForCompletion);
        keepAlive = keepAlive && !writeError;
    }
}

// Runs a request for the delay that it specifies, if a slot is free.
asio::awaitable<Response> StandinUpstream::Impl::handleRequest(const Request &request)
{
    if (!acquireSlot()) {
        co_return makeShedResponse(request);
    }
    record(request);
    asio::steady_timer timer(context);
    timer.expires_after(std::chrono::milliseconds(queryParameter({request.target().data(), request.target().size()}, "delay")));
    co_await timer.async_wait(kWaitForCompletion);
    --usedSlots;
    co_return makeResponse(request);
}

bool StandinUpstream::Impl::acquireSlot()
{
    if (options.slots != 0 && usedSlots >= options.slots) {
        const std::lock_guard lock(mutex);
        ++shedCount;
        return false;
    }
    ++usedSlots;
    return true;
}

// Retry-After tells the load balancer that the request did not run.
Response StandinUpstream::Impl::makeShedResponse(const Request &request) const
{
    Response response{http::status::service_unavailable, request.version()};
    response.keep_alive(request.keep_alive());
    response.set(http::field::retry_after, "1");
    response.set("Standin-Name", options.name);
    response.prepare_payload();
    return response;
}

Response StandinUpstream::Impl::makeResponse(const Request &request) const
{
    const std::string target(request.target());
    Response response{http::status::ok, request.version()};
    response.keep_alive(request.keep_alive());
    response.set(http::field::content_type, "text/plain");
    response.set("Standin-Name", options.name);
    if (target.find("bytes=") != std::string::npos) {
        response.body() = standinBody(queryParameter(target, "bytes"));
    } else {
        response.body() = fmt::format("{} {} {} {}\n", options.name, std::string(request.method_string()), target, request.body().size());
    }
    response.prepare_payload();
    return response;
}

void StandinUpstream::Impl::record(const Request &request)
{
    auto line = fmt::format("{} {} {}", std::string(request.method_string()), std::string(request.target()),
                            std::string(request["Idempotency-Key"]));
    if (options.printRequests) {
        fmt::print("{} ran {}\n", options.name, line);
        std::fflush(stdout);
    }
    const std::lock_guard lock(mutex);
    requestsRun.push_back(std::move(line));
}

asio::awaitable<void> StandinUpstream::Impl::serveStream(tcp::socket socket)
{
    const SocketRegistration registration(sockets, socket);
    std::vector<char> buffer(kBufferBytes);
    const auto greeting = options.name + "\n";
    auto [error, written] = co_await asio::async_write(socket, asio::buffer(greeting), kWaitForCompletion);
    while (!error) {
        const auto [readError, bytes] = co_await socket.async_read_some(asio::buffer(buffer), kWaitForCompletion);
        if (readError) {
            break;
        }
        const auto [writeError, echoed] = co_await asio::async_write(socket, asio::buffer(buffer.data(), bytes), kWaitForCompletion);
        error = writeError;
    }
}

asio::awaitable<void> StandinUpstream::Impl::serveDatagrams()
{
    std::array<char, kBufferBytes> buffer{};
    for (;;) {
        udp::endpoint sender;
        const auto [error, bytes] = co_await datagramSocket.async_receive_from(asio::buffer(buffer), sender, kWaitForCompletion);
        if (error == asio::error::operation_aborted) {
            co_return;
        }
        if (!error) {
            const auto reply = fmt::format("{}: {}", options.name, std::string_view(buffer.data(), bytes));
            co_await datagramSocket.async_send_to(asio::buffer(reply), sender, kWaitForCompletion);
        }
    }
}

StandinUpstream::StandinUpstream(StandinUpstreamOptions options)
    : impl_(std::make_unique<Impl>(std::move(options)))
{
}

StandinUpstream::~StandinUpstream() = default;

Endpoint StandinUpstream::httpAddress() const
{
    return fromAsio(impl_->httpAcceptor.local_endpoint());
}

Endpoint StandinUpstream::streamAddress() const
{
    return fromAsio(impl_->streamAcceptor.local_endpoint());
}

Endpoint StandinUpstream::datagramAddress() const
{
    return fromAsio(impl_->datagramSocket.local_endpoint());
}

std::vector<std::string> StandinUpstream::requestsRun() const
{
    const std::lock_guard lock(impl_->mutex);
    return impl_->requestsRun;
}

std::size_t StandinUpstream::requestsShed() const
{
    const std::lock_guard lock(impl_->mutex);
    return impl_->shedCount;
}

} // namespace medlarway
