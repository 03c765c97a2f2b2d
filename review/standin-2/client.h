#pragma once

#include "packet.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace lab
{

/// A stand-in for the clients behind one address: opens flows, sends requests on them and repeats what is not acknowledged.
class Client
{
public:
    /// The entry host's address for packets that the routers choose for a flow; nullopt if the packet is lost.
    using Router = std::function<std::optional<Address>(const Address &client, const Address &route)>;

    enum class Outcome : std::uint8_t {
        Pending,
        Answered,
        NotOpened, ///< no SYN-ACK within 1.4 s, or a reset before
        Reset, ///< a reset ended the flow after it was open
        Expired, ///< the deadline passed
    };

    struct Request {
        Address client; ///< the client's end of the flow
        Address route;
        std::string id;
        Time sentAt;
        Time openedAt;
        Outcome outcome = Outcome::Pending;
    };

    /// A reset that the client received.
    struct ResetSeen {
        Address client;
        Address sender; ///< where the datagram came from
        std::uint32_t sequence = 0;
        std::uint32_t lastAcknowledged = 0; ///< the client's last acknowledgement number
        bool fromSystem = false; ///< without data and with the sum 0
        bool open = false; ///< the client had the SYN-ACK of the flow
    };

    struct Observer {
        std::function<void(const Request &)> finished;
        std::function<void(const ResetSeen &)> gotReset;
    };

    /// Listens at the address and port to which hosts and upstreams send.
    Client(Loop &loop, const Address &listen, Router router, Observer observer);

    /// Opens a flow from a new port and sends a request on it; returns the client's end. An empty id: no request yet.
    Address open(const Address &route, const std::string &id, Milliseconds deadline);

    /// Sends a further request on an open flow.
    void request(const Address &client, const std::string &id, Milliseconds deadline);

    /// From now on the network loses the first SYN-ACK of every n-th flow; 0: of none.
    void loseSynAcks(unsigned everyFlow)
    {
        lossInterval_ = everyFlow;
    }

    /// Closes the flow.
    void close(const Address &client);

    const std::map<Address, Request> &requests() const
    {
        return requests_;
    }

private:
    struct Flow {
        Address client;
        Address route;
        std::uint32_t firstSequence = 0;
        std::uint32_t sent = 0; ///< next own sequence number
        std::uint32_t acknowledgedByPeer = 0;
        std::uint32_t received = 0; ///< next sequence number expected
        std::uint32_t echo = 0;
        bool open = false;
        bool ended = false;
        bool losesSynAck = false; ///< the network loses its next SYN-ACK
        std::string response;
    };

    void sendSyn(const Address &client, std::uint32_t copy);
    void repeatData(const Address &client, std::uint32_t sequence, const std::string &data, Milliseconds wait);
    void onPacket(const Packet &packet, const Address &from);
    void onReset(Flow &flow, const Packet &packet, const Address &from);
    void sendRequest(Flow &flow);
    void finish(const Address &client, Outcome outcome);
    void send(const Flow &flow, std::uint8_t flags, std::uint32_t sequence, const std::string &data);

    Loop &loop_;
    Address listen_;
    Router router_;
    Observer observer_;
    int udp_ = -1;
    unsigned lossInterval_ = 0;
    std::uint16_t nextPort_ = 1024;
    std::uint32_t nextSequence_ = 0x10203040;
    std::map<Address, Flow> flows_;
    std::map<Address, Request> requests_; ///< the latest of each flow
};

} // namespace lab
