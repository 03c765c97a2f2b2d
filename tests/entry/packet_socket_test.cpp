#include "base/counters.h"
#include "entry/packet_socket.h"
#include "harness/run_until.h"

#include <doctest/doctest.h>
#include <string>

using namespace medlarway;
using boost::asio::ip::udp;

namespace
{

struct Client {
    explicit Client(boost::asio::io_context &context)
        : socket(context, udp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
    {
    }

    Endpoint address() const
    {
        return {0x7f000001, socket.local_endpoint().port()};
    }

    void send(const Endpoint &to)
    {
        socket.send_to(boost::asio::buffer(std::string("packet")), {boost::asio::ip::address_v4(to.address), to.port});
    }

    udp::socket socket;
};

Endpoint freeEndpoint()
{
    boost::asio::io_context context;
    return Client(context).address();
}

// The descriptor of the socket that is bound to the endpoint.
int descriptorOf(const Endpoint &endpoint)
{
    for (int descriptor = 0; descriptor < 1024; ++descriptor) {
        sockaddr_in address{};
        socklen_t length = sizeof(address);
        if (::getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &length) == 0 && ntohs(address.sin_port) == endpoint.port) {
            return descriptor;
        }
    }
    return -1;
}

} // namespace

TEST_CASE("a socket for packets")
{
    boost::asio::io_context context;
    const auto address = freeEndpoint();
    Client client(context);
    std::size_t received = 0;
    std::function<void(std::vector<OutgoingPacket> & outgoing)> onBatch = [](auto & /*outgoing*/) {};
    PacketSocket socket(context, address, [&](std::span<std::span<std::uint8_t>> datagrams, std::vector<OutgoingPacket> &outgoing) {
        received += datagrams.size();
        onBatch(outgoing);
    });
    socket.start();
    const std::array<std::uint8_t, 1> body{7};
    const OutgoingPacket answer{client.address(), {}, 0, body};

    SUBCASE("goes on after an exception of its handler, and sends what was ready")
    {
        onBatch = [&](std::vector<OutgoingPacket> &outgoing) {
            outgoing.push_back(answer);
            throw std::runtime_error("fault of the handler");
        };
        for (std::size_t packet = 1; packet < 4; ++packet) {
            client.send(address);
            CHECK(runUntil(context, [&] { return received == packet; }));
            CHECK(socket.counts().sent == packet);
        }
    }
    SUBCASE("counts the packets that the system refuses and sends the others")
    {
        const auto dropped = counterValue(Counter::DatagramsDropped);
        const OutgoingPacket refused{Endpoint{0x7f000001, 0}, {}, 0, body};
        std::vector<OutgoingPacket> outgoing{refused, answer, refused, refused, answer};
        socket.send(outgoing);
        CHECK(socket.counts().sent == 2);
        CHECK(socket.counts().sendFailures == 3);
        CHECK(counterValue(Counter::DatagramsDropped) - dropped == 3);
    }
    SUBCASE("reports an error of the socket and goes on")
    {
        const auto faults = counterValue(Counter::InternalFaults);
        const int descriptor = descriptorOf(address);
        const auto setErrors = [&](int on) { REQUIRE(::setsockopt(descriptor, IPPROTO_IP, IP_RECVERR, &on, sizeof(on)) == 0); };
        setErrors(1);
        std::vector<OutgoingPacket> outgoing{OutgoingPacket{freeEndpoint(), {}, 0, body}};
        socket.send(outgoing); // refused by the receiver
        CHECK(runUntil(context, [&] { return counterValue(Counter::InternalFaults) > faults; }));
        setErrors(0);
        client.send(address);
        CHECK(runUntil(context, [&] { return received == 1; }));
    }
}
