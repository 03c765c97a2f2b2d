#include "fleet/peer_forwarder.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <future>
#include <string>

namespace medlarway
{

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;

// Offsets of the sender's id. On a connection it follows the messaging library's handshake (8 bytes), the length of the
// first message (8 bytes), and the version and kind of the envelope (2 bytes).
constexpr std::size_t kStreamSenderOffset = 8 + 8 + 2;
constexpr std::size_t kDatagramSenderOffset = 2;
constexpr std::size_t kSenderBytes = 8;

tcp::endpoint asioEndpoint(const Endpoint &endpoint)
{
    return {asio::ip::address_v4(endpoint.address), endpoint.port};
}

udp::endpoint asioDatagramEndpoint(const Endpoint &endpoint)
{
    return {asio::ip::address_v4(endpoint.address), endpoint.port};
}

// The sender's id at an offset; value 0 if there are too few bytes.
HostId senderAt(std::string_view bytes, std::size_t offset)
{
    HostId sender;
    if (bytes.size() >= offset + kSenderBytes) {
        for (const char byte : bytes.substr(offset, kSenderBytes)) {
            sender.value = (sender.value << 8U) | static_cast<unsigned char>(byte);
        }
    }
    return sender;
}

} // namespace

/// A forwarded connection, from a peer to a host.
struct PeerForwarder::Link {
    Link(tcp::socket fromPeer, HostId receiverHost)
        : peer(std::move(fromPeer))
        , host(peer.get_executor())
        , receiver(receiverHost)
    {
    }

    void close()
    {
        boost::system::error_code ignored;
        peer.close(ignored);
        host.close(ignored);
    }

    tcp::socket peer;
    tcp::socket host;
    HostId receiver;
    HostId sender; ///< value 0 until it is read from the first message
    std::string prefix; ///< bytes received from the peer before the sender was known
    std::array<std::array<char, 16384>, 2> buffers{};
};

/// One forwarded endpoint.
struct PeerForwarder::Entry {
    tcp::acceptor acceptor;
    udp::socket datagrams;
    Endpoint advertised;
    Endpoint listen;
    std::array<char, 2048> buffer{};
    udp::endpoint datagramSender;
};

PeerForwarder::PeerForwarder()
    : work_(asio::make_work_guard(context_))
    , thread_([this] { context_.run(); })
{
}

PeerForwarder::~PeerForwarder()
{
    context_.stop();
    thread_.join();
}

void PeerForwarder::forward(const Endpoint &advertised, const Endpoint &listen)
{
    auto entry = std::make_unique<Entry>(Entry{tcp::acceptor(context_, asioEndpoint(advertised)),
                                               udp::socket(context_, asioDatagramEndpoint(advertised)),
                                               advertised,
                                               listen,
                                               {},
                                               {}});
    asio::post(context_, [this, &added = *entry] {
        accept(added);
        relayDatagrams(added);
    });
    entries_.push_back(std::move(entry));
}

void PeerForwarder::isolate(HostId host)
{
    std::promise<void> done;
    asio::post(context_, [&] {
        isolated_.insert(host);
        done.set_value();
    });
    done.get_future().wait();
}

void PeerForwarder::heal(HostId host)
{
    std::promise<void> done;
    asio::post(context_, [&] {
        isolated_.erase(host);
        done.set_value();
    });
    done.get_future().wait();
}

bool PeerForwarder::isIsolated(HostId sender, HostId receiver) const
{
    return isolated_.contains(receiver) || isolated_.contains(sender);
}

void PeerForwarder::relayDatagrams(Entry &entry)
{
    entry.datagrams.async_receive_from(
        asio::buffer(entry.buffer), entry.datagramSender, [this, &entry](const boost::system::error_code &error, std::size_t size) {
            const std::string_view bytes(entry.buffer.data(), error ? 0 : size);
            if (!error && !isIsolated(senderAt(bytes, kDatagramSenderOffset), hostIdOf(entry.advertised))) {
                boost::system::error_code ignored;
                entry.datagrams.send_to(asio::buffer(bytes.data(), bytes.size()), asioDatagramEndpoint(entry.listen), 0, ignored);
            }
            if (error != asio::error::operation_aborted) {
                relayDatagrams(entry);
            }
        });
}

void PeerForwarder::accept(Entry &entry)
{
    entry.acceptor.async_accept([this, &entry](const boost::system::error_code &error, tcp::socket socket) {
        if (error) {
            return;
        }
        auto link = std::make_shared<Link>(std::move(socket), hostIdOf(entry.advertised));
        link->host.async_connect(asioEndpoint(entry.listen), [this, link](const boost::system::error_code &failed) {
            if (failed) {
                link->close();
                return;
            }
            relay(link, true);
            relay(link, false);
        });
        accept(entry);
    });
}

// Relays one read in one direction and then starts the next one. Closes the connection instead if it is isolated.
void PeerForwarder::relay(const std::shared_ptr<Link> &link, bool toHost)
{
    auto &from = toHost ? link->peer : link->host;
    auto &buffer = link->buffers.at(toHost ? 1 : 0);
    from.async_read_some(asio::buffer(buffer), [this, link, toHost, &buffer](const boost::system::error_code &error, std::size_t size) {
        if (toHost && link->sender == HostId{}) {
            link->prefix.append(buffer.data(), size);
            link->sender = senderAt(link->prefix, kStreamSenderOffset);
        }
        if (error || isIsolated(link->sender, link->receiver)) {
            link->close();
            return;
        }
        auto &to = toHost ? link->host : link->peer;
        asio::async_write(to, asio::buffer(buffer, size), [this, link, toHost](const boost::system::error_code &failed, std::size_t) {
            if (failed) {
                link->close();
                return;
            }
            relay(link, toHost);
        });
    });
}

} // namespace medlarway
