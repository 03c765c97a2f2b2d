#include "proxy/fixture.h"

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace medlarway;

namespace
{

sockaddr_in addressOf(const Endpoint &endpoint)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_addr.s_addr = htonl(endpoint.address);
    result.sin_port = htons(endpoint.port);
    return result;
}

// A UDP socket on loopback. A read times out after five seconds.
class UdpSocket
{
public:
    UdpSocket()
        : socket_(::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0))
    {
        const auto any = addressOf(Endpoint{INADDR_LOOPBACK, 0});
        static_cast<void>(::bind(socket_, reinterpret_cast<const sockaddr *>(&any), sizeof(any)));
        const timeval timeout{5, 0};
        ::setsockopt(socket_, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    }

    ~UdpSocket()
    {
        ::shutdown(socket_, SHUT_RDWR);
        ::close(socket_);
    }

    UdpSocket(const UdpSocket &) = delete;
    UdpSocket &operator=(const UdpSocket &) = delete;

    Endpoint address() const
    {
        sockaddr_in local{};
        socklen_t size = sizeof(local);
        ::getsockname(socket_, reinterpret_cast<sockaddr *>(&local), &size);
        return Endpoint{ntohl(local.sin_addr.s_addr), ntohs(local.sin_port)};
    }

    void send(const Endpoint &to, const std::string &payload) const
    {
        const auto address = addressOf(to);
        ::sendto(socket_, payload.data(), payload.size(), 0, reinterpret_cast<const sockaddr *>(&address), sizeof(address));
    }

    std::pair<Endpoint, std::string> receive() const
    {
        std::string bytes(65536, '\0');
        sockaddr_in from{};
        socklen_t size = sizeof(from);
        const auto received = ::recvfrom(socket_, bytes.data(), bytes.size(), 0, reinterpret_cast<sockaddr *>(&from), &size);
        bytes.resize(received < 0 ? 0 : static_cast<std::size_t>(received));
        return {Endpoint{ntohl(from.sin_addr.s_addr), ntohs(from.sin_port)}, bytes};
    }

private:
    int socket_;
};

Service datagramService(const std::vector<Endpoint> &upstreams)
{
    return Fixture::service(ServiceKind::Datagram, ServiceClass::Feed, upstreams);
}

} // namespace

TEST_CASE("a datagram flow")
{
    const UdpSocket first;
    const UdpSocket second;
    const UdpSocket caller;
    Fixture fixture;
    const auto service = datagramService({first.address()});
    const auto address = fixture.serve(service);
    caller.send(address, "seam");
    const auto [from, payload] = first.receive();
    REQUIRE(payload == "seam");

    SUBCASE("is answered from the service's address")
    {
        first.send(from, "photo");
        const auto [source, response] = caller.receive();
        CHECK(response == "photo");
        CHECK(source == address);
    }
    SUBCASE("keeps its upstream when the catalogue replaces it, while new ones use the new upstream")
    {
        fixture.serve(datagramService({second.address()}));
        caller.send(address, "again");
        CHECK(first.receive().second == "again");
        const UdpSocket next;
        next.send(address, "new");
        CHECK(second.receive().second == "new");
    }
    SUBCASE("may be relayed by another host without a difference to the upstream")
    {
        fixture.engine().deliverRelayedDatagram(HostId{2}, RelayedDatagram{caller.address(), service.address, 1, "relayed"});
        const auto [sameSource, relayed] = first.receive();
        CHECK(relayed == "relayed");
        CHECK(sameSource == from);
    }
    SUBCASE("drops relayed datagrams that are too large")
    {
        fixture.engine().deliverRelayedDatagram(HostId{2}, RelayedDatagram{caller.address(), service.address, 1, std::string(1401, 'x')});
        caller.send(address, "after");
        CHECK(first.receive().second == "after");
    }
}

TEST_CASE("datagrams that arrive at a host that does not own their flow")
{
    const UdpSocket upstream;
    const View view{1, {Member{HostId{1}, {"a"}, HostState::Alive, 1}, Member{HostId{2}, {"a"}, HostState::Alive, 1}}};
    std::array<std::unique_ptr<Fixture>, 2> hosts;
    std::array<std::atomic<int>, 2> relayed{};
    for (std::size_t index = 0; index < hosts.size(); ++index) {
        const HostId self{index + 1};
        ProxyPorts ports;
        ports.sendFlowMessage = [&hosts, self](const std::string &service, HostId to, const FlowMessage &message) {
            hosts.at(to.value - 1)->engine().deliverFlowMessage(service, self, message);
        };
        ports.relayDatagram = [&hosts, &relayed, self, index](HostId to, const RelayedDatagram &datagram) {
            ++relayed.at(index);
            hosts.at(to.value - 1)->engine().deliverRelayedDatagram(self, datagram);
        };
        hosts.at(index) = std::make_unique<Fixture>(ports, [self](ProxyOptions &options) { options.self = self; });
    }
    std::array<Endpoint, 2> addresses;
    for (std::size_t index = 0; index < hosts.size(); ++index) {
        hosts.at(index)->engine().applyView(std::make_shared<const View>(view));
        addresses.at(index) = hosts.at(index)->serve(datagramService({upstream.address()}));
    }
    const std::vector<UdpSocket> callers(16);
    for (const auto &caller : callers) {
        caller.send(addresses[0], "one");
        const auto [source, payload] = upstream.receive();
        CHECK(payload == "one");
        caller.send(addresses[1], "two");
        const auto [sameSource, next] = upstream.receive();
        CHECK(next == "two");
        CHECK(sameSource == source);
    }
    CHECK(relayed[0] + relayed[1] == 16);
}
