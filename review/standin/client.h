#pragma once

#include "packet.h"
#include "record.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace review
{

/// Chooses the host that takes a packet of a flow, as a router does.
using Route = std::function<Address(const Address &client, const Address &destination)>;

enum class FlowState : std::uint8_t {
    Opening,
    Open,
    Unanswered, ///< no SYN-ACK within 1.4 s
    ResetBeforeOpen,
    ResetBySystem, ///< an open flow got a reset of the system's own
    ResetByEndpoint,
    Closed,
};

/// A flow of a client.
struct ClientFlow {
    Address client;
    Address destination;
    FlowState state = FlowState::Opening;
    Time synAt;
    Time endedAt;
    std::uint32_t sequence = 0; ///< next to send
    std::uint32_t acknowledged = 0; ///< next expected of the endpoint
    std::uint32_t echo = 0;
    std::string request; ///< outstanding; empty if there is none
    int sent = 0; ///< copies of the outstanding packet
    std::uint64_t turn = 0; ///< raised when the outstanding packet is done with, so that its timers end
    std::size_t answered = 0;
    std::string endpoint; ///< that answered last
    Address resetFrom; ///< sender of the reset that ended the flow
};
using FlowPointer = std::shared_ptr<ClientFlow>;

/// The clients at one address: any number of flows, each from a port of its own.
class Client
{
public:
    /// Listens at the address and port to which hosts and endpoints send.
    Client(Loop &loop, Record &record, Address listen, Route route);
    ~Client();
    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;

    /// Sends a SYN and its copies after 200 and 600 ms.
    FlowPointer open(const Address &destination);

    /// Sends a request on an open flow without an outstanding one, and again after 200, 400, 800 and 1600 ms.
    void request(const FlowPointer &flow, const std::string &text);

    /// Sends a FIN.
    void finish(const FlowPointer &flow);

    /// Datagrams for which this is true are lost on their way to the client.
    std::function<bool(const Packet &)> isLost;

    /// Called when a request is answered.
    std::function<void(const FlowPointer &)> onAnswer;

    std::size_t wrongPackets() const
    {
        return wrongPackets_;
    }

private:
    void onDatagrams();
    void onPacket(const Packet &packet);
    void onReset(const FlowPointer &flow, const Packet &packet);
    void sendSyn(const FlowPointer &flow);
    void sendRequest(const FlowPointer &flow);
    void send(const FlowPointer &flow, std::uint8_t flags, std::uint32_t sequence, std::uint32_t acknowledged, const std::string &data);

    Loop &loop_;
    Record &record_;
    Address listen_;
    Route route_;
    int datagrams_ = -1;
    std::uint16_t nextPort_ = 40001;
    std::map<std::uint16_t, FlowPointer> flows_;
    std::size_t wrongPackets_ = 0;
};

} // namespace review
