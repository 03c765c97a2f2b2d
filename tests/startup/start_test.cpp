#include "daemon/caller.h"
#include "daemon/daemon_process.h"
#include "daemon/entry_process.h"
#include "startup/complete_text.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <csignal>
#include <doctest/doctest.h>
#include <filesystem>
#include <fmt/format.h>
#include <memory>
#include <sys/resource.h>
#include <thread>

using namespace medlarway;
using namespace std::chrono_literals;

namespace
{

using boost::asio::ip::tcp;
using boost::asio::ip::udp;

// Without a platform, since these hosts need not be ready.
std::string entryText(const std::string &address)
{
    return entrySettingsText(address, "z", Endpoint{0x7f000001, 1}, address);
}

std::string proxyText(const std::string &address)
{
    return fmt::format("host: {{address: {0}, zone: a}}\noperator: {{listen: \"{0}:9900\"}}\nplatform: {{catalogue-file: catalogue.yaml}}\n"
                       "graces: {{requests: 4s, feeds: 4s}}\n...\n",
                       address);
}

// Makes a process take long from its first log line until its settings have been parsed, as on a host with a small share of a processor.
std::string slowToParse(const std::string &settings)
{
    std::string text;
    while (text.size() < 900'000) {
        text += "# a comment that the parser has to skip\n";
    }
    return text + settings;
}

struct Kind {
    const char *name;
    std::string (*settings)(const std::string &address);
    bool (*serves)(const std::string &address);
};

bool entryServes(const std::string &address)
{
    return httpRequest(fmt::format("{}:{}", address, kControlPort), "/state").status == 200;
}

bool proxyServes(const std::string &address)
{
    return httpRequest(address + ":9900", "/healthz").status != 0;
}

const std::array kKinds{Kind{"entry host", entryText, entryServes}, Kind{"proxy", proxyText, proxyServes}};

bool hasLogged(const DaemonProcess &process, const std::string &event)
{
    return process.log().find(" " + event + " ") != std::string::npos;
}

std::shared_ptr<DaemonFolder> folderWithCatalogue()
{
    auto folder = std::make_shared<DaemonFolder>();
    folder->write("catalogue.yaml", "services: []\n");
    return folder;
}

} // namespace

TEST_CASE("signals to a process that starts or stops")
{
    const auto address = loopbackAddress(111);
    SUBCASE("do not end it before it serves")
    {
        for (const auto &kind : kKinds) {
            INFO(kind.name);
            DaemonProcess process(slowToParse(kind.settings(address)), "services: []\n");
            REQUIRE(waitUntil([&] { return hasLogged(process, "Starting"); }));
            process.signal(SIGHUP);
            CHECK(waitUntil([&] { return hasLogged(process, "SettingsReloaded") || process.waitExit(0s); }));
            CHECK_FALSE(process.waitExit(0s));
            CHECK(kind.serves(address));
        }
    }
    SUBCASE("lead to a planned stop if they ask for one before it serves")
    {
        for (const auto &kind : kKinds) {
            INFO(kind.name);
            DaemonProcess process(slowToParse(kind.settings(address)), "services: []\n");
            REQUIRE(waitUntil([&] { return hasLogged(process, "Starting"); }));
            process.signal(SIGTERM);
            CHECK(process.waitExit() == 0);
            CHECK(hasLogged(process, "Stopped"));
        }
    }
    SUBCASE("do not end it while it exits")
    {
        constexpr auto kPauseAfterSignal = 100us;
        for (const auto &kind : kKinds) {
            INFO(kind.name);
            DaemonProcess process(kind.settings(address), "services: []\n");
            REQUIRE(waitUntil([&] { return kind.serves(address); }));
            process.signal(SIGTERM);
            const auto end = std::chrono::steady_clock::now() + 10s;
            for (int number = 0; !process.waitExit(0s) && std::chrono::steady_clock::now() < end; ++number) {
                process.signal(number % 2 == 0 ? SIGHUP : SIGTERM);
                std::this_thread::sleep_for(kPauseAfterSignal); // leaves the process time of its own
            }
            INFO(process.logTail());
            CHECK(process.waitExit(0s).value_or(-1) == 0);
        }
    }
}

TEST_CASE("a process whose address is taken")
{
    const auto address = loopbackAddress(112);
    SUBCASE("serves once the process that is stopping has left it")
    {
        for (const auto &kind : kKinds) {
            INFO(kind.name);
            DaemonProcess before(kind.settings(address), "services: []\n");
            REQUIRE(waitUntil([&] { return kind.serves(address); }));
            before.signal(SIGTERM);
            DaemonProcess after(kind.settings(address), "services: []\n");
            CHECK(before.waitExit() == 0);
            CHECK(waitUntil([&] { return kind.serves(address); }));
            CHECK(hasLogged(after, "Started"));
            CHECK_FALSE(after.waitExit(0s));
        }
    }
    SUBCASE("serves once another socket has left it")
    {
        boost::asio::io_context context;
        auto other = std::make_unique<udp::socket>(context, udp::endpoint(boost::asio::ip::make_address(address), kPacketPort));
        DaemonProcess process(entryText(address), "");
        CHECK(waitUntil([&] { return hasLogged(process, "StartDelayed") || process.waitExit(0s); }));
        other.reset();
        CHECK(waitUntil([&] { return entryServes(address); }));
    }
    SUBCASE("ends after the time that the process before it may take to stop, and names the address")
    {
        DaemonProcess owner(entryText(address), "");
        REQUIRE(waitUntil([&] { return entryServes(address); }));
        DaemonProcess other(entryText(address), "");
        CHECK(other.waitExit() == 1);
        CHECK(other.log().find(fmt::format("can't listen for packets at {}:{}", address, kPacketPort)) != std::string::npos);
        CHECK(hasLogged(other, "ListenFailed"));
        CHECK(entryServes(address));
    }
    SUBCASE("ends after that time though datagrams of peers and signals keep coming")
    {
        boost::asio::io_context context;
        const tcp::acceptor other(context, tcp::endpoint(boost::asio::ip::make_address(address), kReadyPort));
        udp::socket peer(context, udp::endpoint(boost::asio::ip::make_address(address), 0));
        const udp::endpoint peers(boost::asio::ip::make_address(address), kPeersPort);
        DaemonProcess process(entryText(address), "");
        const auto ended = [&] {
            constexpr int kDatagramsBetweenChecks = 1000;
            boost::system::error_code ignored;
            for (int number = 0; number < kDatagramsBetweenChecks; ++number) {
                peer.send_to(boost::asio::buffer("datagram"), peers, 0, ignored);
            }
            if (hasLogged(process, "StartDelayed")) {
                process.signal(SIGHUP);
            }
            return process.waitExit(0s).has_value();
        };
        CHECK(waitUntil(ended));
        CHECK(process.waitExit(0s) == 1);
        CHECK(hasLogged(process, "ListenFailed"));
    }
    SUBCASE("stops as planned while it waits")
    {
        boost::asio::io_context context;
        const udp::socket other(context, udp::endpoint(boost::asio::ip::make_address(address), kPacketPort));
        DaemonProcess process(entryText(address), "");
        CHECK(waitUntil([&] { return hasLogged(process, "StartDelayed") || process.waitExit(0s); }));
        process.signal(SIGTERM);
        CHECK(process.waitExit() == 0);
    }
    SUBCASE("reads its settings again on SIGHUP while it waits")
    {
        const auto free = loopbackAddress(113);
        boost::asio::io_context context;
        const udp::socket other(context, udp::endpoint(boost::asio::ip::make_address(address), kPacketPort));
        DaemonProcess process(entryText(address), "");
        CHECK(waitUntil([&] { return hasLogged(process, "StartDelayed") || process.waitExit(0s); }));
        process.write("settings.yaml", entryText(free));
        process.signal(SIGHUP);
        CHECK(waitUntil([&] { return entryServes(free); }));
    }
}

TEST_CASE("settings that are rewritten in place")
{
    constexpr auto kPauseAfterLine = 20ms;
    const auto address = loopbackAddress(114);
    const auto folder = folderWithCatalogue();
    SUBCASE("are read once they are complete by a process that starts meanwhile")
    {
        for (const auto &kind : kKinds) {
            INFO(kind.name);
            // A writer that is held up for longer than a file takes to settle proves nothing.
            for (auto longestPause = kSettleTime; longestPause >= kSettleTime;) {
                folder->write("settings.yaml", "");
                DaemonProcess process(folder);
                REQUIRE(waitUntil([&] { return hasLogged(process, "Starting"); }));
                longestPause = folder->writeInPlace("settings.yaml", kind.settings(address), kPauseAfterLine);
                CHECK((longestPause >= kSettleTime || waitUntil([&] { return kind.serves(address); })));
            }
        }
    }
    SUBCASE("are awaited by a process that finds no file")
    {
        DaemonProcess process(folder);
        REQUIRE(waitUntil([&] { return hasLogged(process, "SettingsAwaited") || process.waitExit(0s); }));
        folder->write("settings.yaml", entryText(address));
        CHECK(waitUntil([&] { return entryServes(address); }));
    }
    SUBCASE("never take effect in part")
    {
        folder->write("settings.yaml", entryText(address));
        DaemonProcess process(folder);
        REQUIRE(waitUntil([&] { return entryServes(address); }));
        std::thread writer([&] { folder->writeInPlace("settings.yaml", entryText(address), kPauseAfterLine); });
        CHECK(waitUntil([&] { return std::filesystem::file_size(folder->path() + "/settings.yaml") < entryText(address).size(); }));
        process.signal(SIGHUP);
        writer.join();
        CHECK(waitUntil([&] { return hasLogged(process, "SettingsReloaded"); }));
        CHECK_FALSE(hasLogged(process, "SettingsRefused"));
        CHECK(process.log().find("needs-restart=nothing") != std::string::npos);
    }
    SUBCASE("take effect without a marker of the end too, however often the process is asked to read them")
    {
        const auto text = entryText(address);
        const auto unmarked = text.substr(0, text.find("..."));
        folder->write("settings.yaml", unmarked);
        DaemonProcess process(folder);
        REQUIRE(waitUntil([&] { return hasLogged(process, "Starting"); }));
        const auto askUntil = [&](const char *event) {
            return waitUntil(
                [&] {
                    process.signal(SIGHUP);
                    return hasLogged(process, event);
                },
                5s);
        };
        CHECK(askUntil("Started"));
        folder->write("settings.yaml", unmarked + "  log-level: debug\n");
        CHECK(askUntil("SettingsReloaded"));
    }
    SUBCASE("end the process if they are complete and wrong, at once with a marker of the end")
    {
        folder->write("settings.yaml", "entry: {colour: red}\n...\n");
        DaemonProcess process(folder);
        CHECK(process.waitExit() == 2);
        CHECK(process.log().find("key 'colour' is not known") != std::string::npos);
        CHECK_FALSE(hasLogged(process, "SettingsAwaited"));
    }
    SUBCASE("end the process if they stay blank, which the log says")
    {
        folder->write("settings.yaml", "\n");
        DaemonProcess process(folder);
        CHECK(process.waitExit() == 2);
        CHECK(process.log().find("can't be read, is blank") != std::string::npos);
    }
}

TEST_CASE("a process that lacks descriptors")
{
    SUBCASE("serves, or ends with a status and a line of its own, whatever it can't open")
    {
        const auto address = loopbackAddress(115);
        rlimit before{};
        REQUIRE(getrlimit(RLIMIT_NOFILE, &before) == 0);
        for (rlim_t limit = 7; limit <= 12; ++limit) { // below, the child can't open its log before the program runs
            INFO(limit, " descriptors");
            // The process inherits the limit. Set for the moment of its creation only, as the test needs more.
            const rlimit few{limit, before.rlim_max};
            const auto folder = folderWithCatalogue();
            folder->write("settings.yaml", entryText(address));
            REQUIRE(setrlimit(RLIMIT_NOFILE, &few) == 0);
            DaemonProcess process(folder);
            REQUIRE(setrlimit(RLIMIT_NOFILE, &before) == 0);
            REQUIRE(waitUntil([&] { return hasLogged(process, "Started") || process.waitExit(0s); }));
            if (const auto status = process.waitExit(0s)) {
                CHECK(*status > 0);
                CHECK(hasLogged(process, "error"));
            }
        }
    }
}
