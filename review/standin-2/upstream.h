#pragma once

#include "packet.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace lab
{

/// A stand-in for an endpoint of the platform: holds flows, repeats what is not acknowledged, works on a request for a while and responds.
class Upstream
{
public:
    struct Options {
        std::string id; ///< "i-" and hexadecimal digits
        Address address;
        std::uint16_t clientPort = 0; ///< port at which clients receive
        Milliseconds work{20}; ///< time from a request to its response
        std::size_t responseBytes = 200;
    };

    /// What an upstream saw, for the case to judge. The address is the client's end of the flow.
    struct Observer {
        std::function<void(const Upstream &, const Packet &)> tookSyn; ///< the first SYN of a flow that it takes
        std::function<void(const Upstream &, const Packet &)> opened;
        std::function<void(const Upstream &, const Packet &)> runs; ///< it begins to work on a request
        std::function<void(const Upstream &, const Packet &)> sentReset;
        std::function<void(const Upstream &, const Packet &)> gotForged; ///< a packet that its sender did not write so
    };

    Upstream(Loop &loop, Options options, Observer observer);
    ~Upstream();
    Upstream(const Upstream &) = delete;
    Upstream &operator=(const Upstream &) = delete;

    const Options &options() const
    {
        return options_;
    }

    /// Discards its flows, closes its sockets and sends nothing any more.
    void crash();

    bool holds(const Address &client) const
    {
        return flows_.contains(client) && flows_.at(client).open;
    }

private:
    struct Flow {
        Address client;
        Address route;
        std::uint32_t clientSequence = 0; ///< of the SYN
        std::uint32_t received = 0; ///< next sequence number expected from the client
        std::uint32_t sequence = 0; ///< own SYN's
        std::uint32_t sent = 0; ///< next own sequence number
        std::uint32_t acknowledged = 0; ///< by the client
        std::uint32_t echo = 0;
        bool open = false;
        std::string request;
    };

    void onDatagram(const std::string &bytes);
    void onSyn(const Packet &packet);
    void onPacket(const Packet &packet);
    void repeatSynAck(const Address &client, std::uint32_t sequence, Milliseconds wait, int copies);
    void finishRequest(const Address &client, std::uint32_t sequence);
    void repeatResponse(const Address &client, std::uint32_t sequence, const std::string &data, Milliseconds wait, int copies);
    void send(const Flow &flow, std::uint8_t flags, std::uint32_t sequence, const std::string &data);

    Loop &loop_;
    Options options_;
    Observer observer_;
    std::string prefix_; ///< the eight bytes in front of its packets
    std::map<Address, Flow> flows_; ///< by the client's end
    std::uint32_t nextSequence_ = 0;
    int udp_ = -1;
    int tcp_ = -1;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

/// The value of an upstream's entry in the store.
std::string entryOf(const Upstream &upstream, const std::string &service, const std::string &zone, const std::string &state,
                    long long born);

/// A route of the operator's configuration.
struct Route {
    Address address;
    std::string service;
};

/// The value of the operator's configuration in the store.
std::string configOf(int version, const std::vector<Route> &routes);

} // namespace lab
