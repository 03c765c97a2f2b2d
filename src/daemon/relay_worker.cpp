#include "daemon/relay_worker.h"

#include "base/errors.h"
#include "peering/codec.h"

namespace medlarway
{

namespace
{

constexpr std::size_t kRelayRingCapacity = 8192;

// The envelope kind of a relayed datagram. No control message uses it, so that each channel rejects envelopes sealed
// for the other.
constexpr std::uint8_t kRelayKind = 0xff;

} // namespace

RelayWorker::RelayWorker(HostId self, const Endpoint &listen, std::uint64_t boot, const PeerKeys &keys, Handler handler)
    : thread_("relay", kRelayRingCapacity)
    , envelope_(self, boot, keys)
    , handler_(std::move(handler))
    , socket_(thread_.context(), listen, [this](std::string_view sealed) { receive(sealed); })
{
}

void RelayWorker::start()
{
    socket_.start();
    thread_.start();
}

void RelayWorker::stop()
{
    thread_.stop();
}

void RelayWorker::relay(HostId to, const RelayedDatagram &datagram)
{
    thread_.post([this, to, datagram] { send(to, datagram); });
}

void RelayWorker::setKeys(const PeerKeys &keys)
{
    thread_.post([this, keys] { envelope_.setKeys(keys); });
}

void RelayWorker::send(HostId to, const RelayedDatagram &datagram)
{
    if (!fitsRelay(datagram.payload.size())) {
        reportError(ErrorKind::DatagramTooLarge, "a datagram is too large to be relayed");
        return;
    }
    if (socket_.send(to, envelope_.seal(to, kRelayKind, encodeMessage(datagram)))) {
        count(Counter::DatagramsRelayed);
    } else {
        count(Counter::DatagramsDropped);
    }
}

void RelayWorker::receive(std::string_view sealed)
{
    try {
        const auto opened = envelope_.open(sealed);
        if (opened.kind != kRelayKind) {
            throw Error(ErrorKind::PeerMalformed, "not a relayed datagram");
        }
        handler_(opened.from, decodeMessage<RelayedDatagram>(opened.body));
    } catch (const Error &error) {
        reportError(error.kind(), error.what());
    }
}

} // namespace medlarway
