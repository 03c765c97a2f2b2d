// The users' platform in small, for the quickstart: a store that publishes one route and two upstreams, and a client that
// sends flows through an entry host. Exits with 0 once every flow was answered.
#include "standin/platform/packets.h"
#include "standin/platform/store.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <fmt/format.h>
#include <string>
#include <thread>

ABSL_FLAG(std::string, store, "127.0.0.1:9800", "where the store listens");
ABSL_FLAG(std::string, packets, "127.0.0.1:9801", "where the entry host takes packets; the client uses the same port at 127.0.0.2");
ABSL_FLAG(int, flows, 4, "flows that the client opens");

using namespace medlarway;

namespace
{

constexpr Endpoint kRoute{0xc6120001, 443}; // 198.18.0.1:443
constexpr std::uint32_t kClientAddress = 0x7f000002;
constexpr std::uint32_t kUpstreamAddress = 0x7f000003;
constexpr int kMostTries = 20; // openings without an answer while the entry host starts

// One flow: opened, asked twice, its answers printed.
bool sendFlow(StandinPacketClient &client, const Endpoint &host, int number)
{
    auto event = ClientEvent::Nothing;
    for (int attempt = 0; attempt < kMostTries && event != ClientEvent::Opened; ++attempt) {
        event = client.open(host, kRoute);
    }
    if (event != ClientEvent::Opened) {
        fmt::print("flow {}: no upstream answered\n", number);
        return false;
    }
    for (const auto *request : {"first request", "second request"}) {
        if (client.exchange(host, fmt::format("flow {}, {}", number, request)) != ClientEvent::Data) {
            fmt::print("flow {}: {} was not answered\n", number, request);
            return false;
        }
        fmt::print("answer from {}\n", client.received());
    }
    return true;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    absl::ParseCommandLine(argumentCount, arguments);
    const auto storeAddress = parseEndpoint(absl::GetFlag(FLAGS_store));
    const auto host = parseEndpoint(absl::GetFlag(FLAGS_packets));
    if (!storeAddress || !host) {
        fmt::print(stderr, "give --store and --packets as ADDRESS:PORT\n");
        return 2;
    }
    StandinPacketUpstream first("first", 0xa1, {kUpstreamAddress, 0}, host->port);
    StandinPacketUpstream second("second", 0xa2, {kUpstreamAddress, 0}, host->port);
    boost::asio::io_context context(1);
    StandinStore store(context, *storeAddress);
    store.put("op/config", standinConfig(1, kRoute, "service"));
    store.put("servers/i-a1", standinUpstreamEntry("service", first.address(), "here"));
    store.put("servers/i-a2", standinUpstreamEntry("service", second.address(), "here"));
    std::thread platform([&context] { context.run(); });

    StandinPacketClient client({kClientAddress, host->port});
    bool good = true;
    for (int number = 1; number <= absl::GetFlag(FLAGS_flows) && good; ++number) {
        good = sendFlow(client, *host, number);
    }
    context.stop();
    platform.join();
    return good ? 0 : 1;
}
