// Measures the data path between local callers and a local upstream, compared with direct connections over the loopback.
#include "proxy/engine.h"
#include "proxy/net.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <cstdlib>
#include <fmt/core.h>
#include <fstream>
#include <sys/resource.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

ABSL_FLAG(int, small_seconds, 5, "duration of each run with small requests, in seconds");
ABSL_FLAG(int, requests_per_second, 10'000, "rate of small requests in the run with a fixed rate");
ABSL_FLAG(int, connections, 64, "connections that send small requests");
ABSL_FLAG(int, large_megabytes, 256, "size of the large body in MiB");
ABSL_FLAG(int, feeds, 20'000, "number of idle feeds");
ABSL_FLAG(int, stream_seconds, 20, "duration of each run with new streams, in seconds");
ABSL_FLAG(int, streams_per_second, 5'000, "new streams per second");

using namespace medlarway;
using Clock = std::chrono::steady_clock;

namespace
{

constexpr std::size_t kChunkBytes = 1U << 20U;

double secondsSince(Clock::time_point start)
{
    return std::chrono::duration<double>(Clock::now() - start).count();
}

double percentile(std::vector<double> &values, double fraction)
{
    if (values.empty()) {
        return 0;
    }
    const auto at = static_cast<std::ptrdiff_t>(fraction * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + at, values.end());
    return values[static_cast<std::size_t>(at)];
}

// An Asio event loop that runs on its own thread.
struct Loop {
    asio::io_context context{1};
    asio::executor_work_guard<asio::io_context::executor_type> work = asio::make_work_guard(context);
    std::thread thread{[this] { context.run(); }};

    ~Loop()
    {
        context.stop();
        thread.join();
    }
};

asio::awaitable<void> sendLarge(tcp::socket &socket, ErrorCode &error)
{
    const auto total = static_cast<std::size_t>(absl::GetFlag(FLAGS_large_megabytes)) * kChunkBytes;
    const auto head = fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", total);
    const std::string chunk(kChunkBytes, 'x');
    co_await asio::async_write(socket, asio::buffer(head), asio::redirect_error(asio::use_awaitable, error));
    for (std::size_t sent = 0; !error && sent < total; sent += kChunkBytes) {
        co_await asio::async_write(socket, asio::buffer(chunk), asio::redirect_error(asio::use_awaitable, error));
    }
}

// Serves one connection of the upstream: small and large responses, feeds that stay open, and an echo of input that starts
// with "!" instead of an HTTP request.
asio::awaitable<void> serveConnection(tcp::socket socket)
{
    const std::string small = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n" + std::string(100, 'x');
    std::string input;
    ErrorCode error;
    while (!error) {
        std::array<char, 2048> bytes{};
        const auto size = co_await socket.async_read_some(asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
        input.append(bytes.data(), size);
        if (input.starts_with("!")) {
            co_await asio::async_write(socket, asio::buffer(input), asio::redirect_error(asio::use_awaitable, error));
            input.clear();
        }
        if (!input.ends_with("\r\n\r\n")) {
            continue;
        }
        if (input.starts_with("GET /large")) {
            co_await sendLarge(socket, error);
        } else if (input.starts_with("GET /feed")) {
            const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n!\r\n";
            co_await asio::async_write(socket, asio::buffer(head), asio::redirect_error(asio::use_awaitable, error));
        } else {
            co_await asio::async_write(socket, asio::buffer(small), asio::redirect_error(asio::use_awaitable, error));
        }
        input.clear();
    }
}

asio::awaitable<void> acceptAll(tcp::acceptor acceptor)
{
    ErrorCode error;
    while (acceptor.is_open()) {
        auto socket = co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (!error) {
            prepareSocket(socket);
            asio::co_spawn(acceptor.get_executor(), serveConnection(std::move(socket)), asio::detached);
        }
    }
}

Endpoint startUpstream(Loop &loop)
{
    tcp::acceptor acceptor(loop.context, tcpEndpointOf(*parseEndpoint("127.0.0.1:0")));
    acceptor.listen(4096);
    const auto address = endpointFrom(acceptor.local_endpoint());
    asio::co_spawn(loop.context, acceptAll(std::move(acceptor)), asio::detached);
    return address;
}

// A proxy engine with one service, which has one upstream.
struct Proxy {
    std::unique_ptr<ProxyEngine> engine;
    Endpoint address;

    Proxy(ServiceKind kind, ServiceClass serviceClass, const Endpoint &upstream)
    {
        ProxyOptions options;
        options.bindAddress = 0x7f000001;
        engine = std::make_unique<ProxyEngine>(options, ProxyPorts{});
        Service service;
        service.name = "bench";
        service.owner = "bench";
        service.kind = kind;
        service.serviceClass = serviceClass;
        service.upstreams = {Upstream{upstream, AvailabilityZone{"a"}, false}};
        service.limits.slotsPerUpstream = 1024;
        service.limits.connectionsPerUpstream = 1'000'000;
        service.limits.queueLength = 4096;
        auto catalogue = std::make_shared<Catalogue>();
        catalogue->shards.push_back(CatalogueShard{"main", 1, {service}});
        engine->applyCatalogue(catalogue);
        while (address.port == 0) {
            address = engine->listeningOn("bench").value_or(Endpoint{});
        }
    }
};

struct Measurements {
    std::vector<double> milliseconds;
    int failed = 0;
};

// Sends requests on one connection until the end of the run. With an interval, requests have fixed due times, and latency
// is measured from the due time, so that it includes the wait for earlier responses. With an interval of 0, each
// request is sent as soon as the previous one has been answered.
asio::awaitable<void> requestLoop(Endpoint address, Clock::time_point start, Duration interval, Measurements &measurements)
{
    ErrorCode error;
    tcp::socket socket(co_await asio::this_coro::executor);
    asio::steady_timer timer(socket.get_executor());
    co_await socket.async_connect(tcpEndpointOf(address), asio::redirect_error(asio::use_awaitable, error));
    prepareSocket(socket);
    const std::string request = "GET /small HTTP/1.1\r\nHost: bench\r\n\r\n";
    std::array<char, 2048> bytes{};
    const auto end = start + std::chrono::seconds{absl::GetFlag(FLAGS_small_seconds)};
    auto due = interval > Duration::zero() ? start : Clock::now();
    while (!error && due < end) {
        timer.expires_at(due);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
        co_await asio::async_write(socket, asio::buffer(request), asio::redirect_error(asio::use_awaitable, error));
        const auto size = co_await socket.async_read_some(asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
        const std::string_view response(bytes.data(), size);
        measurements.failed += error || !response.starts_with("HTTP/1.1 200") || !response.ends_with("xxxx") ? 1 : 0;
        measurements.milliseconds.push_back(secondsSince(due) * 1000);
        due = interval > Duration::zero() ? due + interval : Clock::now();
    }
}

Measurements runSmall(const Endpoint &address, int rate)
{
    asio::io_context context{1};
    Measurements measurements;
    const int connections = absl::GetFlag(FLAGS_connections);
    const auto interval = rate == 0 ? Duration::zero() : Duration{std::chrono::seconds{connections}} / rate;
    for (int index = 0; index < connections; ++index) {
        const auto start = Clock::now() + interval * index / connections;
        asio::co_spawn(context, requestLoop(address, start, interval, measurements), asio::detached);
    }
    context.run();
    return measurements;
}

void benchSmall(int offered)
{
    Loop upstreamLoop;
    const auto upstream = startUpstream(upstreamLoop);
    const Proxy proxy(ServiceKind::Http, ServiceClass::Idempotent, upstream);
    std::array<double, 2> p50{};
    std::array<double, 2> p99{};
    std::array<double, 2> rate{};
    const auto load = offered == 0 ? std::string("as fast as it goes") : fmt::format("{} a second offered", offered);
    for (const int through : {0, 1}) {
        auto measurements = runSmall(through == 1 ? proxy.address : upstream, offered);
        p50.at(through) = percentile(measurements.milliseconds, 0.5);
        p99.at(through) = percentile(measurements.milliseconds, 0.99);
        rate.at(through) = static_cast<double>(measurements.milliseconds.size()) / absl::GetFlag(FLAGS_small_seconds);
        fmt::print("small requests, {}, {}: {:.0f} a second, p50 {:.3f} ms, p99 {:.3f} ms, failed {}\n", load,
                   through == 1 ? "through medlarway" : "direct", rate.at(through), p50.at(through), p99.at(through), measurements.failed);
    }
    fmt::print("small requests, {}: rate ratio {:.2f}, added p50 {:.3f} ms, added p99 {:.3f} ms (target below 1)\n", load,
               rate[1] / rate[0], p50[1] - p50[0], p99[1] - p99[0]);
}

double largeSeconds(const Endpoint &address)
{
    asio::io_context context{1};
    tcp::socket socket(context);
    socket.connect(tcpEndpointOf(address));
    const auto start = Clock::now();
    asio::write(socket, asio::buffer(std::string("GET /large HTTP/1.1\r\nHost: bench\r\n\r\n")));
    std::string bytes;
    const auto head = asio::read_until(socket, asio::dynamic_buffer(bytes), "\r\n\r\n");
    auto remaining = static_cast<std::size_t>(absl::GetFlag(FLAGS_large_megabytes)) * kChunkBytes - (bytes.size() - head);
    std::vector<char> chunk(kChunkBytes);
    while (remaining > 0) {
        remaining -= socket.read_some(asio::buffer(chunk.data(), std::min(remaining, chunk.size())));
    }
    return secondsSince(start);
}

void benchLarge()
{
    Loop upstreamLoop;
    const auto upstream = startUpstream(upstreamLoop);
    const Proxy proxy(ServiceKind::Http, ServiceClass::Idempotent, upstream);
    std::vector<double> direct;
    std::vector<double> through;
    for (int round = 0; round < 5; ++round) {
        direct.push_back(largeSeconds(upstream));
        through.push_back(largeSeconds(proxy.address));
    }
    const auto size = absl::GetFlag(FLAGS_large_megabytes);
    const auto ratio = percentile(direct, 0.5) / percentile(through, 0.5);
    fmt::print("large body of {} MB, median of 5: direct {:.0f} MB/s, through medlarway {:.0f} MB/s, ratio {:.2f} (target at least 0.50)\n",
               size, size / percentile(direct, 0.5), size / percentile(through, 0.5), ratio);
}

std::size_t residentBytes()
{
    std::size_t pages = 0;
    std::ifstream("/proc/self/statm") >> pages >> pages;
    return pages * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

int raiseFileLimit()
{
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
    return static_cast<int>(std::min<rlim_t>(limit.rlim_cur, 1'000'000));
}

// Runs the callers and the upstream of the feeds in a child process, so that the parent measures only the proxy's memory.
// Writes the upstream's port to the parent, reads the proxy's port, opens the feeds and writes how many were answered.
void holdFeeds(int in, int out, bool asHttp, int feeds)
{
    Loop loop;
    const auto upstream = startUpstream(loop);
    std::uint16_t port = upstream.port;
    [[maybe_unused]] auto done = ::write(out, &port, sizeof(port));
    done = ::read(in, &port, sizeof(port));
    asio::io_context context{1};
    std::vector<tcp::socket> sockets;
    const std::string_view hello = asHttp ? "GET /feed HTTP/1.1\r\nHost: bench\r\n\r\n" : "!";
    int answered = 0;
    for (int index = 0; index < feeds; ++index) {
        ErrorCode error;
        auto &socket = sockets.emplace_back(context);
        socket.connect(tcpEndpointOf(Endpoint{0x7f000001, port}), error);
        asio::write(socket, asio::buffer(hello), error);
        std::array<char, 512> bytes{};
        const auto size = socket.read_some(asio::buffer(bytes), error);
        answered += size > 0 && !error ? 1 : 0;
    }
    done = ::write(out, &answered, sizeof(answered));
    done = ::read(in, &port, sizeof(port)); // returns when the parent has measured and closes the pipe
}

void benchFeeds(bool asHttp, int fileLimit)
{
    const int feeds = std::min(absl::GetFlag(FLAGS_feeds), (fileLimit - 200) / 2);
    std::array<int, 2> toChild{};
    std::array<int, 2> toParent{};
    if (::pipe(toChild.data()) != 0 || ::pipe(toParent.data()) != 0) {
        return;
    }
    std::fflush(stdout);
    const auto child = ::fork();
    if (child == 0) {
        ::close(toChild[1]);
        holdFeeds(toChild[0], toParent[1], asHttp, feeds);
        std::_Exit(0);
    }
    ::close(toChild[0]);
    std::uint16_t port = 0;
    [[maybe_unused]] auto done = ::read(toParent[0], &port, sizeof(port));
    int answered = 0;
    {
        const auto kind = asHttp ? ServiceKind::Http : ServiceKind::Stream;
        const Proxy proxy(kind, ServiceClass::Feed, Endpoint{0x7f000001, port});
        const auto before = residentBytes();
        done = ::write(toChild[1], &proxy.address.port, sizeof(proxy.address.port));
        done = ::read(toParent[0], &answered, sizeof(answered));
        const auto perFeed = (static_cast<double>(residentBytes()) - static_cast<double>(before)) / std::max(answered, 1);
        fmt::print("{} idle feeds as {} ({} asked for, {} file descriptors allowed): {} open, {:.0f} bytes of resident memory a feed "
                   "(target below 16384)\n",
                   feeds, asHttp ? "http" : "streams", absl::GetFlag(FLAGS_feeds), fileLimit, answered, perFeed);
    }
    ::close(toChild[1]);
    ::waitpid(child, nullptr, 0);
    ::close(toParent[0]);
    ::close(toParent[1]);
}

// Opens a stream and measures the time until one byte has been echoed.
asio::awaitable<void> runStream(Endpoint address, Measurements &measurements)
{
    const auto start = Clock::now();
    ErrorCode error;
    tcp::socket socket(co_await asio::this_coro::executor);
    co_await socket.async_connect(tcpEndpointOf(address), asio::redirect_error(asio::use_awaitable, error));
    std::array<char, 1> byte{'!'};
    co_await asio::async_write(socket, asio::buffer(byte), asio::redirect_error(asio::use_awaitable, error));
    const auto size = co_await socket.async_read_some(asio::buffer(byte), asio::redirect_error(asio::use_awaitable, error));
    measurements.failed += size == 1 ? 0 : 1;
    measurements.milliseconds.push_back(secondsSince(start) * 1000);
}

asio::awaitable<void> openStreams(Endpoint address, Measurements &measurements)
{
    const auto rate = absl::GetFlag(FLAGS_streams_per_second);
    const auto total = rate * absl::GetFlag(FLAGS_stream_seconds);
    const auto executor = co_await asio::this_coro::executor;
    asio::steady_timer timer(executor);
    const auto start = Clock::now();
    for (int opened = 0; opened < total;) {
        const auto due = std::min(total, static_cast<int>(secondsSince(start) * rate) + 1);
        for (; opened < due; ++opened) {
            asio::co_spawn(executor, runStream(address, measurements), asio::detached);
        }
        timer.expires_after(std::chrono::milliseconds{1});
        ErrorCode error;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    }
}

void benchStreams()
{
    Loop upstreamLoop;
    const auto upstream = startUpstream(upstreamLoop);
    const Proxy proxy(ServiceKind::Stream, ServiceClass::Feed, upstream);
    for (const bool through : {false, true}) {
        asio::io_context context{1};
        Measurements measurements;
        const auto start = Clock::now();
        asio::co_spawn(context, openStreams(through ? proxy.address : upstream, measurements), asio::detached);
        context.run();
        const auto rate = static_cast<double>(measurements.milliseconds.size()) / secondsSince(start);
        fmt::print("new streams, {}: {} in {:.1f} s, {:.0f} a second, failed {}, p50 {:.3f} ms, p99 {:.3f} ms\n",
                   through ? "through medlarway" : "direct", measurements.milliseconds.size(), secondsSince(start), rate,
                   measurements.failed, percentile(measurements.milliseconds, 0.5), percentile(measurements.milliseconds, 0.99));
    }
}

} // namespace

int main(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    const int fileLimit = raiseFileLimit();
    setLogLevel(LogLevel::Error);
    benchFeeds(false, fileLimit);
    benchFeeds(true, fileLimit);
    benchSmall(absl::GetFlag(FLAGS_requests_per_second));
    benchSmall(0);
    benchLarge();
    benchStreams();
    return 0;
}
