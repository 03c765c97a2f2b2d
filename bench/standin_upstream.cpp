// A stand-in upstream as a process: HTTP, stream echo and datagram echo on ports of its own choice.
// Prints one line with its addresses, then one for each request that ran; ends with SIGTERM or SIGINT.
#include "standin/upstream.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <fmt/format.h>
#include <string>

ABSL_FLAG(std::string, name, "upstream", "the name that every answer carries");

int main(int argumentCount, char **arguments)
{
    absl::ParseCommandLine(argumentCount, arguments);
    medlarway::StandinUpstreamOptions options;
    options.name = absl::GetFlag(FLAGS_name);
    options.printRequests = true;
    const medlarway::StandinUpstream upstream(options);
    fmt::print("{} http={} stream={} datagram={}\n", options.name, endpointToString(upstream.httpAddress()),
               endpointToString(upstream.streamAddress()), endpointToString(upstream.datagramAddress()));
    std::fflush(stdout);
    boost::asio::io_context context;
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([](const boost::system::error_code & /*error*/, int /*signal*/) {});
    context.run();
    return 0;
}
