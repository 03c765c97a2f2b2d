#pragma once

#include "network.h"
#include "router.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace standin
{

/// How a client's flow ended.
enum class FlowEnd {
    Answered, ///< it got the whole answer of the endpoint at which it opened the flow
    NotOpened,
    NotAnswered, ///< at the deadline
    Reset, ///< while it was open
    Foreign, ///< it got an answer of another endpoint
};

/// What a client reports of a flow that has ended.
struct FlowResult {
    FlowId flow;
    FlowEnd end = FlowEnd::Answered;
    bool ownReset = false; ///< the reset had no sum, so it came from the system
};

/// A machine with clients that open one flow for each request. A client acknowledges the endpoint's SYN-ACK at once and sends its request
/// after a pause.
class ClientMachine
{
public:
    using Report = std::function<void(const FlowResult &)>;

    ClientMachine(Loop &loop, Network &network, const Router &router, const Address &address, Span pause, Report report);

    bool isOpen() const
    {
        return socket_ >= 0;
    }

    /// Opens a flow from a new port.
    FlowId open(const Address &route);

private:
    struct Flow {
        FlowId id;
        std::uint32_t first = 0; ///< sequence number of the SYN
        std::uint32_t acknowledged = 0;
        std::uint32_t echo = 0;
        char opener = 0; ///< byte that fills the answers of the endpoint; set by the answer
        int syns = 0;
        bool open = false;
        bool ended = false;
    };

    void receive(std::string_view datagram);
    void sendSyn(std::uint16_t port);
    void sendRequest(std::uint16_t port, int tries);
    void send(const Flow &flow, std::uint32_t sequence, std::uint8_t flags, const std::string &data);
    void end(Flow &flow, FlowEnd how, bool ownReset = false);

    Loop &loop_;
    Network &network_;
    const Router &router_;
    std::uint32_t ip_;
    Span pause_;
    Report report_;
    int socket_;
    std::uint16_t lastPort_ = 1024;
    std::map<std::uint16_t, Flow> flows_;
};

} // namespace standin
