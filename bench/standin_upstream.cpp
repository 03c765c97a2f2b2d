// A stand-in upstream as a process: an HTTP server, a stream echo and a datagram echo on free ports. Prints a line with
// its addresses and then a line for each request that it runs. Exits on SIGTERM or SIGINT.
#include "standin/upstream.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <fmt/format.h>
#include <string>

ABSL_FLAG(std::string, name, "upstream", "name that is included in every response");

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
