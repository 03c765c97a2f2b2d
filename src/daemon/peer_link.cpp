#include "daemon/peer_link.h"

#include "base/errors.h"
#include "peering/codec.h"

#include <chrono>
#include <nlohmann/json.hpp>

namespace medlarway
{

namespace
{

// Burst size of the budgets, in seconds at the configured rate. The control burst lets a whole catalogue change be sent
// at once while the long-term rate is kept.
constexpr std::uint64_t kControlBurstSeconds = 20;
constexpr std::uint64_t kRequestBurstSeconds = 1;

} // namespace

PeerLink::PeerLink(const PeerLinkOptions &options, WorkerThread &controlThread, Handler handler)
    : envelope_(options.self, options.boot, options.keys)
    , controlBudget_(options.controlBytesPerSecond, options.controlBytesPerSecond * kControlBurstSeconds)
    , requestBudget_(options.requestBytesPerSecond, options.requestBytesPerSecond * kRequestBurstSeconds)
    , handler_(std::move(handler))
{
    // The socket's thread only passes the bytes on. If the ring is full, they are dropped and counted.
    socket_ = std::make_unique<ControlSocket>(options.listen, [this, &controlThread](std::string_view sealed) {
        controlThread.post([this, bytes = std::string(sealed)] { receive(bytes); });
    });
}

void PeerLink::send(HostId to, const PeerMessage &message, Time now)
{
    const auto body = encodePeerMessage(message);
    const auto size = body.size() + kEnvelopeBytes;
    auto &traffic = traffic_.at(message.index());
    if (body.size() > kMaxMessageBytes) {
        reportError(ErrorKind::PeerOversized, "a message of " + std::to_string(body.size()) + " bytes was not sent");
        return;
    }
    auto &budget = trafficClassOf(message) == TrafficClass::Control ? controlBudget_ : requestBudget_;
    if (!budget.take(size, priorityOf(message), now)) {
        ++traffic.overBudget;
        reportError(ErrorKind::PeerOverBudget, peerMessageKindName(message.index()));
        return;
    }
    if (socket_->send(to, envelope_.seal(to, static_cast<std::uint8_t>(message.index()), body))) {
        ++traffic.sentMessages;
        traffic.sentBytes += size;
        count(Counter::PeerMessagesSent);
        count(Counter::PeerBytesSent, size);
    }
}

void PeerLink::receive(std::string_view sealed)
{
    count(Counter::PeerBytesReceived, sealed.size());
    try {
        deliver(envelope_.open(sealed));
    } catch (const Error &error) {
        reportError(error.kind(), error.what());
        if (error.kind() == ErrorKind::PeerStaleBoot) {
            notifyStaleBoot(sealed);
        }
    }
}

// Every peer refuses a host whose clock was set back across a restart, because its boot number decreased. The reply
// carries the boot number last seen from the host, so that it can continue with a higher one.
void PeerLink::notifyStaleBoot(std::string_view sealed)
{
    const auto sender = Envelope::senderOf(sealed);
    send(sender, BootNotice{envelope_.lastSeenBoot(sender)}, std::chrono::steady_clock::now());
}

void PeerLink::deliver(const OpenedMessage &opened)
{
    const auto message = decodePeerMessage(opened.kind, opened.body);
    auto &traffic = traffic_.at(opened.kind);
    ++traffic.receivedMessages;
    traffic.receivedBytes += opened.body.size() + kEnvelopeBytes;
    count(Counter::PeerMessagesReceived);
    if (const auto *notice = std::get_if<BootNotice>(&message)) {
        envelope_.raiseBoot(notice->knownBoot);
        return;
    }
    handler_(opened.from, message);
}

void PeerLink::setRates(std::uint64_t controlBytesPerSecond, std::uint64_t requestBytesPerSecond)
{
    controlBudget_.setRate(controlBytesPerSecond);
    requestBudget_.setRate(requestBytesPerSecond);
}

void PeerLink::setKeys(const PeerKeys &keys)
{
    envelope_.setKeys(keys);
}

std::string PeerLink::stateAsJson() const
{
    nlohmann::json state = nlohmann::json::object();
    for (std::size_t kind = 0; kind < traffic_.size(); ++kind) {
        const auto &traffic = traffic_.at(kind);
        state[std::string(peerMessageKindName(kind))] = {{"sent_messages", traffic.sentMessages},
                                                         {"sent_bytes", traffic.sentBytes},
                                                         {"received_messages", traffic.receivedMessages},
                                                         {"received_bytes", traffic.receivedBytes},
                                                         {"over_budget", traffic.overBudget}};
    }
    state["open_connections"] = socket_->connectionCount();
    return state.dump();
}

} // namespace medlarway
