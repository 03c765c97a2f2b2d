#pragma once

#include "http.h"
#include "network.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace standin
{

/// What an endpoint sees on its socket, for the record and the check.
struct Arrival {
    int endpoint = 0;
    FlowId flow;
    bool opens = false; ///< the end of the handshake
    bool isSyn = false;
    bool ran = false; ///< the packet completed a request, which the endpoint runs
    std::size_t bytes = 0;
};

/// An endpoint of the platform's packet protocol. Answers to each request with 600 bytes.
class Endpoint
{
public:
    using Report = std::function<void(const Arrival &)>;

    /// number: the digits of its id. Clients listen at clientPort.
    Endpoint(Loop &loop, Network &network, int index, std::uint64_t number, const Address &address, std::uint16_t clientPort,
             Report report);

    bool isOpen() const
    {
        return socket_ >= 0 && server_.isOpen();
    }

    /// Datagrams that were no packets of a client, or had other bytes than the client wrote.
    int invalid() const
    {
        return invalid_;
    }

private:
    struct Flow {
        std::uint32_t first = 0; ///< own sequence number of the SYN-ACK
        std::uint32_t next = 0; ///< of the client's next byte
        std::uint32_t echo = 0;
        int tries = 0;
        bool open = false;
        bool answered = false;
    };

    void receive(std::string_view datagram);
    void onPacket(const Packet &packet);
    void sendSynAck(const FlowId &id, std::uint32_t first);
    void sendAnswer(const FlowId &id, std::uint32_t first, int tries);
    void send(const FlowId &id, const Flow &flow, std::uint32_t sequence, std::uint8_t flags, std::size_t bytes);

    Loop &loop_;
    Network &network_;
    int index_;
    std::uint64_t number_;
    std::uint16_t clientPort_;
    Report report_;
    int socket_;
    HttpServer server_;
    std::map<FlowId, Flow> flows_;
    int invalid_ = 0;
};

} // namespace standin
