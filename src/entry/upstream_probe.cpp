#include "entry/upstream_probe.h"

#include "base/contained.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <utility>

namespace medlarway
{

namespace
{

constexpr int kMaxAttempts = 2; // a single SYN may be lost

// Whether this host could not even try.
bool isLocalFailure(const boost::system::error_code &error)
{
    namespace errc = boost::system::errc;
    return error == errc::too_many_files_open || error == errc::too_many_files_open_in_system || error == errc::no_buffer_space
           || error == errc::not_enough_memory || error == errc::address_not_available || error == errc::operation_not_permitted
           || error == errc::permission_denied;
}

} // namespace

UpstreamProber::UpstreamProber(boost::asio::io_context &context)
    : context_(context)
{
}

void UpstreamProber::probe(const Endpoint &address, Done done)
{
    spawnContained(context_, "probe of an upstream", run(address, std::move(done)));
}

boost::asio::awaitable<void> UpstreamProber::run(Endpoint address, Done done)
{
    const boost::asio::ip::tcp::endpoint endpoint(boost::asio::ip::address_v4(address.address), address.port);
    bool reachable = false;
    for (int attempt = 0; attempt < kMaxAttempts && !reachable; ++attempt) {
        boost::beast::tcp_stream stream(context_);
        stream.expires_after(kProbeTimeout);
        const auto [error] = co_await stream.async_connect(endpoint, boost::asio::as_tuple(boost::asio::use_awaitable));
        reachable = !error || isLocalFailure(error);
    }
    done(reachable);
}

} // namespace medlarway
