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

// What precedes the sender's id on a connection: the messaging library's greeting and the first
// message's length, then version and kind of the envelope.
constexpr std::size_t kStreamSenderAt = 8 + 8 + 2;
constexpr std::size_t kDatagramSenderAt = 2;
constexpr std::size_t kSenderBytes = 8;

tcp::endpoint asioEndpoint(const Endpoint &endpoint)
{
    return {asio::ip::address_v4(endpoint.address), endpoint.port};
}

udp::endpoint asioDatagramEndpoint(const Endpoint &endpoint)
{
    return {asio::ip::address_v4(endpoint.address), endpoint.port};
}

// The sender at a position of the bytes; value 0 where they end before it.
HostId senderAt(std::string_view bytes, std::size_t position)
{
    HostId sender;
    if (bytes.size() >= position + kSenderBytes) {
        for (const char byte : bytes.substr(position, kSenderBytes)) {
            sender.value = (sender.value << 8U) | static_cast<unsigned char>(byte);
        }
    }
    return sender;
}

} // namespace

/// One connection that is passed on, with what its first bytes said.
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
    HostId sender; ///< value 0 until its first message
    std::string start; ///< the first bytes
    std::array<std::array<char, 16384>, 2> buffers{};
};

/// One advertised address.
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
        passDatagrams(added);
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

bool PeerForwarder::isCut(HostId sender, HostId receiver) const
{
    return isolated_.contains(receiver) || isolated_.contains(sender);
}

void PeerForwarder::passDatagrams(Entry &entry)
{
    entry.datagrams.async_receive_from(
        asio::buffer(entry.buffer), entry.datagramSender, [this, &entry](const boost::system::error_code &error, std::size_t size) {
            const std::string_view bytes(entry.buffer.data(), error ? 0 : size);
            if (!error && !isCut(senderAt(bytes, kDatagramSenderAt), hostIdOf(entry.advertised))) {
                boost::system::error_code ignored;
                entry.datagrams.send_to(asio::buffer(bytes.data(), bytes.size()), asioDatagramEndpoint(entry.listen), 0, ignored);
            }
            if (error != asio::error::operation_aborted) {
                passDatagrams(entry);
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
            pass(link, true);
            pass(link, false);
        });
        accept(entry);
    });
}

// Passes one piece on and goes on; a piece of a cut connection ends it instead.
void PeerForwarder::pass(const std::shared_ptr<Link> &link, bool towardsHost)
{
    auto &from = towardsHost ? link->peer : link->host;
    auto &buffer = link->buffers.at(towardsHost ? 1 : 0);
    from.async_read_some(asio::buffer(buffer), [this, link, towardsHost, &buffer](const boost::system::error_code &error,
                                                                                  std::size_t size) {
        if (towardsHost && link->sender == HostId{}) {
            link->start.append(buffer.data(), size);
            link->sender = senderAt(link->start, kStreamSenderAt);
        }
        if (error || isCut(link->sender, link->receiver)) {
            link->close();
            return;
        }
        auto &to = towardsHost ? link->host : link->peer;
        asio::async_write(to, asio::buffer(buffer, size), [this, link, towardsHost](const boost::system::error_code &failed, std::size_t) {
            if (failed) {
                link->close();
                return;
            }
            pass(link, towardsHost);
        });
    });
}

} // namespace medlarway
