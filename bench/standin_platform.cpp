// A small stand-in for the platform, used by the quickstart: a store that publishes one route and two upstreams, and a
// client that opens flows through an entry host. Exits with 0 if all flows are answered, else with 1.
#include "standin/platform/packets.h"
#include "standin/platform/store.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <fmt/format.h>
#include <string>
#include <thread>

ABSL_FLAG(std::string, store, "127.0.0.1:9800", "address where the store listens");
ABSL_FLAG(std::string, packets, "127.0.0.1:9801",
          "address where the entry host receives packets; the client uses the same port at 127.0.0.2");
ABSL_FLAG(int, flows, 4, "flows that the client opens");

using namespace medlarway;

namespace
{

constexpr Endpoint kRoute{0xc6120001, 443}; // 198.18.0.1:443
constexpr std::uint32_t kClientAddress = 0x7f000002;
constexpr std::uint32_t kUpstreamAddress = 0x7f000003;
constexpr int kMaxAttempts = 20; // the first SYNs may remain unanswered while the entry host starts

// Opens a flow, sends two requests on it and prints the responses. Returns false if one of them is not answered.
bool sendFlow(StandinPacketClient &client, const Endpoint &host, int number)
{
    auto event = ClientEvent::Nothing;
    for (int attempt = 0; attempt < kMaxAttempts && event != ClientEvent::Opened; ++attempt) {
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
    std::thread platformThread([&context] { context.run(); });

    StandinPacketClient client({kClientAddress, host->port});
    bool succeeded = true;
    for (int number = 1; number <= absl::GetFlag(FLAGS_flows) && succeeded; ++number) {
        succeeded = sendFlow(client, *host, number);
    }
    context.stop();
    platformThread.join();
    return succeeded ? 0 : 1;
}
