#include "base/errors.h"
#include "harness/run_until.h"
#include "peering/byte_budget.h"
#include "peering/codec.h"
#include "peering/control_socket.h"
#include "peering/envelope.h"
#include "peering/relay_socket.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <condition_variable>
#include <doctest/doctest.h>
#include <mutex>
#include <rapidcheck.h>
#include <set>
#include <thread>

using namespace medlarway;

namespace
{

enum class Colour : std::uint8_t {
    Red,
    Green,
};

constexpr Colour highestOf(Colour /*type*/)
{
    return Colour::Green;
}

struct Inner {
    std::string text;
    std::optional<std::uint32_t> number;
    friend bool operator==(const Inner &, const Inner &) = default;
};

struct Sample {
    HostId host;
    Endpoint endpoint;
    Colour colour = Colour::Red;
    Duration left{};
    bool flag = false;
    std::int64_t amount = 0;
    std::vector<Inner> parts;
    friend bool operator==(const Sample &, const Sample &) = default;
};

struct LongerSample {
    HostId host;
    Endpoint endpoint;
    Colour colour = Colour::Red;
    Duration left{};
    bool flag = false;
    std::int64_t amount = 0;
    std::vector<Inner> parts;
    std::string added = "default";
};

Sample sample()
{
    return Sample{
        HostId{77}, Endpoint{0x7f000001, 80}, Colour::Green, std::chrono::seconds{3}, true, -5, {{"\xff\x01", 4}, {"", std::nullopt}}};
}

ErrorKind errorKindOf(const std::function<void()> &action)
{
    try {
        action();
    } catch (const Error &error) {
        return error.kind();
    }
    return ErrorKind::Count;
}

constexpr HostId kAlice{1};
constexpr HostId kBob{2};

PeerKey keyOf(unsigned char byte)
{
    PeerKey key{};
    key.fill(byte);
    return key;
}

Endpoint freeEndpoint()
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor(context, {boost::asio::ip::address_v4::loopback(), 0});
    return Endpoint{0x7f000001, acceptor.local_endpoint().port()};
}

} // namespace

TEST_CASE("a message")
{
    SUBCASE("is decoded as it was encoded")
    {
        CHECK(decodeMessage<Sample>(encodeMessage(sample())) == sample());
    }
    SUBCASE("of a newer sender is read by an older receiver, and the other way round")
    {
        LongerSample longer;
        longer.amount = 9;
        longer.added = "new";
        CHECK(decodeMessage<Sample>(encodeMessage(longer)).amount == 9);
        CHECK(decodeMessage<LongerSample>(encodeMessage(sample())).added == "default");
    }
    SUBCASE("with an enumeration out of range is refused")
    {
        auto value = toCborValue(sample());
        value[2] = 2;
        CHECK(errorKindOf([&] { decodeMessage<Sample>(writeCbor(value)); }) == ErrorKind::PeerMalformed);
    }
    SUBCASE("with an integer that the field can't hold is refused")
    {
        auto value = toCborValue(sample());
        value[6][0][1] = 1ULL << 32U;
        CHECK(errorKindOf([&] { decodeMessage<Sample>(writeCbor(value)); }) == ErrorKind::PeerMalformed);
    }
    SUBCASE("that is nested too deeply is refused and does not exhaust the stack")
    {
        const std::string nested(kMaxMessageBytes - 1, '\x81');
        CHECK(errorKindOf([&] { decodeMessage<Sample>(nested); }) == ErrorKind::PeerMalformed);
    }
    SUBCASE("of random bytes is either decoded or refused as malformed")
    {
        const bool passed = rc::check("random bytes", [](const std::string &bytes) {
            const auto kind = errorKindOf([&] { decodeMessage<Sample>(bytes); });
            RC_ASSERT(kind == ErrorKind::Count || kind == ErrorKind::PeerMalformed);
        });
        CHECK(passed);
    }
}

TEST_CASE("an envelope")
{
    Envelope alice(kAlice, 1, PeerKeys{keyOf(1), std::nullopt});
    Envelope bob(kBob, 1, PeerKeys{keyOf(1), std::nullopt});
    const auto sealed = alice.seal(kBob, 3, "hello");

    SUBCASE("is opened by its receiver")
    {
        const auto opened = bob.open(sealed);
        CHECK(opened.from == kAlice);
        CHECK(opened.kind == 3);
        CHECK(opened.body == "hello");

        SUBCASE("but only once")
        {
            CHECK(errorKindOf([&] { bob.open(sealed); }) == ErrorKind::PeerReplayed);
        }
    }
    SUBCASE("is refused by any other host")
    {
        Envelope carol(HostId{3}, 1, PeerKeys{keyOf(1), std::nullopt});
        CHECK(errorKindOf([&] { carol.open(sealed); }) == ErrorKind::PeerUnauthenticated);
    }
    SUBCASE("is refused with any bit changed")
    {
        for (std::size_t bit = 0; bit < sealed.size() * 8; ++bit) {
            auto changed = sealed;
            changed[bit / 8] = static_cast<char>(changed[bit / 8] ^ (1U << (bit % 8)));
            CAPTURE(bit);
            CHECK(errorKindOf([&] { bob.open(changed); }) != ErrorKind::Count);
        }
    }
    SUBCASE("that arrives out of order is accepted within the replay window")
    {
        const auto second = alice.seal(kBob, 3, "second");
        CHECK(bob.open(second).body == "second");
        CHECK(bob.open(sealed).body == "hello");
    }
    SUBCASE("from an earlier boot is distinguished from a replay, so that its sender can be notified")
    {
        Envelope restarted(kAlice, 2, PeerKeys{keyOf(1), std::nullopt});
        bob.open(restarted.seal(kBob, 3, "again"));
        CHECK(errorKindOf([&] { bob.open(sealed); }) == ErrorKind::PeerStaleBoot);
        CHECK(bob.lastSeenBoot(kAlice) == 2);

        SUBCASE("and a host whose clock was set back raises its boot number and is accepted again")
        {
            alice.raiseBoot(bob.lastSeenBoot(kAlice));
            CHECK(bob.open(alice.seal(kBob, 3, "heard")).body == "heard");
        }
    }
    SUBCASE("is accepted while the key is rotated host by host")
    {
        bob.setKeys(PeerKeys{keyOf(2), keyOf(1)});
        CHECK(bob.open(sealed).body == "hello");
        alice.setKeys(PeerKeys{keyOf(2), keyOf(1)});
        CHECK(alice.open(bob.seal(kAlice, 3, "back")).body == "back");
        bob.setKeys(PeerKeys{keyOf(2), std::nullopt});
        CHECK(bob.open(alice.seal(kBob, 3, "new")).body == "new");
    }
}

TEST_CASE("a replay window")
{
    SUBCASE("accepts the same numbers as a set of all received numbers, in any order")
    {
        const bool passed = rc::check("window against set", [](const std::vector<std::uint16_t> &numbers) {
            ReplayWindow window;
            std::set<std::uint64_t> seen;
            std::uint64_t newest = 0;
            for (const std::uint64_t number : numbers) {
                const bool tooOld = newest >= ReplayWindow::kWidth && number <= newest - ReplayWindow::kWidth;
                const bool expected = number != 0 && !tooOld && !seen.contains(number);
                RC_ASSERT(window.accept(1, number) == expected);
                if (expected) {
                    seen.insert(number);
                    newest = std::max(newest, number);
                }
            }
        });
        CHECK(passed);
    }
}

TEST_CASE("the byte budget")
{
    ByteBudget budget(100, 1000);
    Time now{};
    SUBCASE("drops the lowest priority first")
    {
        CHECK(budget.take(450, MessagePriority::Low, now));
        CHECK_FALSE(budget.take(100, MessagePriority::Low, now));
        CHECK(budget.take(200, MessagePriority::Normal, now));
        CHECK_FALSE(budget.take(150, MessagePriority::Normal, now));
        CHECK(budget.take(350, MessagePriority::High, now));
        CHECK_FALSE(budget.take(1, MessagePriority::High, now));
        CHECK(budget.take(0, MessagePriority::High, now));
    }
    SUBCASE("limits the average to its rate over a long time")
    {
        std::uint64_t sent = 0;
        for (int i = 0; i < 100000; ++i) {
            now += std::chrono::milliseconds{1};
            sent += budget.take(10, MessagePriority::High, now) ? 10 : 0;
        }
        CHECK(sent <= 100 * 100 + 1000);
        CHECK(sent >= 100 * 100);
    }
}

TEST_CASE("a control socket")
{
    std::mutex mutex;
    std::condition_variable arrived;
    std::vector<std::string> messages;
    const auto endpoint = freeEndpoint();
    ControlSocket receiver(endpoint, [&](std::string_view bytes) {
        const std::lock_guard lock(mutex);
        messages.emplace_back(bytes);
        arrived.notify_all();
    });
    SUBCASE("sends a message to another socket")
    {
        ControlSocket sender(freeEndpoint(), [](std::string_view) {});
        CHECK(sender.send(hostIdOf(endpoint), "over"));
        std::unique_lock lock(mutex);
        CHECK(arrived.wait_for(lock, std::chrono::seconds{10}, [&] { return messages == std::vector<std::string>{"over"}; }));
    }
    SUBCASE("never blocks on an unreachable host, and limits the number of connections")
    {
        ControlSocket sender(freeEndpoint(), [](std::string_view) {});
        for (std::uint16_t port = 1; port < 2 * kMaxConnections; ++port) {
            sender.send(hostIdOf(Endpoint{0x7f000001, port}), "lost");
        }
        CHECK(sender.connectionCount() == kMaxConnections);
    }
    SUBCASE("delivers every message that the queue took, in order")
    {
        ControlSocket sender(freeEndpoint(), [](std::string_view) {});
        std::vector<std::string> sent;
        for (int number = 0; number < 40; ++number) {
            sent.push_back(std::string(static_cast<std::size_t>(number) * 1000, 'x') + std::to_string(number));
            REQUIRE(sender.send(hostIdOf(endpoint), sent.back()));
        }
        std::unique_lock lock(mutex);
        CHECK(arrived.wait_for(lock, std::chrono::seconds{10}, [&] { return messages == sent; }));
    }
    SUBCASE("drops messages once the queue of an unreachable host is full")
    {
        ControlSocket sender(freeEndpoint(), [](std::string_view) {});
        const auto unreachable = hostIdOf(Endpoint{0x7f000001, 1});
        int queued = 0;
        while (queued < 1000 && sender.send(unreachable, "lost")) {
            ++queued;
        }
        CHECK(queued == 64);
    }
    SUBCASE("reaches a host again that was restarted, while messages are sent to it")
    {
        ControlSocket sender(freeEndpoint(), [](std::string_view) {});
        const auto restarting = freeEndpoint();
        for (int round = 0; round < 20; ++round) {
            std::atomic<int> received{0};
            ControlSocket host(restarting, [&received](std::string_view) { ++received; });
            const auto end = std::chrono::steady_clock::now() + std::chrono::seconds{10};
            while (received == 0 && std::chrono::steady_clock::now() < end) {
                sender.send(hostIdOf(restarting), "again");
                std::this_thread::yield();
            }
            REQUIRE(received > 0);
        }
    }
    SUBCASE("goes on after an exception of its handler")
    {
        std::atomic<int> calls{0};
        const auto faulty = freeEndpoint();
        const ControlSocket host(faulty, [&calls](std::string_view) {
            if (++calls == 1) {
                throw std::runtime_error("fault of the handler");
            }
        });
        boost::asio::io_context context;
        boost::asio::ip::tcp::socket peer(context);
        peer.connect({boost::asio::ip::address_v4(faulty.address), faulty.port});
        const std::string message{"\0\0\0\0\0\0\0\3new", 11};
        boost::asio::write(peer, boost::asio::buffer(std::string("\0SP\0\0\x50\0\0", 8) + message + message));
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds{10};
        while (calls < 2 && std::chrono::steady_clock::now() < end) {
            std::this_thread::yield();
        }
        CHECK(calls == 2);
    }
    SUBCASE("speaks the framing of earlier releases")
    {
        boost::asio::io_context context;
        boost::asio::ip::tcp::socket earlier(context);
        earlier.connect({boost::asio::ip::address_v4(endpoint.address), endpoint.port});
        const std::string greeting{"\0SP\0\0\x50\0\0", 8};
        const std::string message{"\0\0\0\0\0\0\0\3old", 11};
        boost::asio::write(earlier, boost::asio::buffer(greeting + message));
        std::string answer(8, ' ');
        boost::asio::read(earlier, boost::asio::buffer(answer));
        CHECK(answer == std::string("\0SP\0\0\x51\0\0", 8));
        std::unique_lock lock(mutex);
        CHECK(arrived.wait_for(lock, std::chrono::seconds{10}, [&] { return messages == std::vector<std::string>{"old"}; }));
    }
    SUBCASE("closes a connection that announces too long a message")
    {
        boost::asio::io_context context;
        boost::asio::ip::tcp::socket liar(context);
        liar.connect({boost::asio::ip::address_v4(endpoint.address), endpoint.port});
        boost::asio::write(liar, boost::asio::buffer(std::string("\0SP\0\0\x50\0\0\0\0\1\0\0\0\0\0", 16)));
        std::string rest(64, ' ');
        boost::system::error_code error;
        boost::asio::read(liar, boost::asio::buffer(rest), error);
        CHECK(error);
        CHECK(messages.empty());
    }
    SUBCASE("refuses an address that is in use")
    {
        CHECK(errorKindOf([&] { ControlSocket(endpoint, [](std::string_view) {}); }) == ErrorKind::AddressTaken);
    }
}

TEST_CASE("a socket for datagrams of peers goes on after an exception of its handler")
{
    boost::asio::io_context context;
    const auto endpoint = freeEndpoint();
    int calls = 0;
    RelaySocket receiver(context, endpoint, [&calls](std::string_view) {
        if (++calls == 1) {
            throw std::runtime_error("fault of the handler");
        }
    });
    receiver.start();
    RelaySocket sender(context, freeEndpoint(), [](std::string_view) {});
    CHECK(sender.send(hostIdOf(endpoint), "first"));
    CHECK(runUntil(context, [&] { return calls == 1; }));
    CHECK(sender.send(hostIdOf(endpoint), "second"));
    CHECK(runUntil(context, [&] { return calls == 2; }));
}
