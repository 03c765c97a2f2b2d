#pragma once

#include "packet.h"
#include "record.h"

#include <map>
#include <string>

namespace review
{

/// Settings of an endpoint.
struct EndpointOptions {
    std::string id; ///< such as "i-7f3a91c2"
    std::string service;
    Address address; ///< for datagrams and for status checks over TCP
    std::string zone;
    std::uint16_t clientPort = 0; ///< where clients listen
    std::int64_t born = 0; ///< start in Unix milliseconds, by the clock of the endpoint's machine
    Millis work{20}; ///< time that a request takes
    bool repeatsSynAck = false; ///< sends its SYN-ACK again, as any missing packet, until the client acknowledges it
};

/// An endpoint as PROTOCOL.md describes it, in the form "echo".
class Endpoint
{
public:
    Endpoint(Loop &loop, Record &record, const EndpointOptions &options);
    ~Endpoint(); ///< ends like a crash: nothing is sent
    Endpoint(const Endpoint &) = delete;
    Endpoint &operator=(const Endpoint &) = delete;

    /// The value of its entry in the store.
    std::string entry(const std::string &state) const;

    const EndpointOptions &options() const
    {
        return options_;
    }

    std::string key() const
    {
        return "servers/" + options_.id;
    }

    /// When a flow's opening packet arrived first, by the client's port; only flows that opened here are listed.
    struct Opened {
        Address client;
        Address destination;
        Time synAt;
        Time openedAt;
    };
    const std::vector<Opened> &opened() const
    {
        return opened_;
    }

    std::size_t requestsRun() const
    {
        return requestsRun_;
    }

private:
    struct Flow {
        std::uint32_t clientSequence = 0; ///< of the SYN
        std::uint32_t expected = 0; ///< next sequence number of the client
        std::uint32_t sequence = 0; ///< own next sequence number
        std::uint32_t echo = 0;
        bool open = false;
        Time synAt;
        std::string lastResponse; ///< bytes of the last response, for a repeated request
        std::uint32_t lastResponseAt = 0; ///< its sequence number
        bool working = false;
    };
    using FlowKey = std::pair<Address, Address>;

    void onDatagrams();
    void onPacket(const Packet &packet);
    void onSyn(const Packet &packet);
    void repeatSynAck(const std::pair<Address, Address> &key, std::uint32_t clientSequence, int copies);
    void onData(const Packet &packet, Flow &flow);
    void finishRequest(const FlowKey &key, const std::string &request);
    void send(const FlowKey &key, const Flow &flow, std::uint8_t flags, std::uint32_t sequence, const std::string &data);
    void onStatusCheck();

    Loop &loop_;
    Record &record_;
    EndpointOptions options_;
    std::uint64_t number_ = 0;
    int datagrams_ = -1;
    int listener_ = -1;
    std::map<FlowKey, Flow> flows_;
    std::vector<Opened> opened_;
    std::size_t requestsRun_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace review
