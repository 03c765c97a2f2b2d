#include "fleet/fleet.h"

#include "daemon/caller.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <chrono>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <poll.h>

namespace medlarway
{

namespace
{

namespace asio = boost::asio;
using asio::ip::udp;

constexpr std::string_view kKey = "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f\n";
constexpr std::uint16_t kListenPort = 9701;
constexpr int kMaxDatagramAttempts = 3;
constexpr int kDatagramTimeoutMilliseconds = 1000;

std::string makeTempFolder()
{
    auto name = (std::filesystem::temp_directory_path() / "medlarway-fleet-XXXXXX").string();
    if (mkdtemp(name.data()) == nullptr) {
        throw std::runtime_error("can't create a temporary folder for a fleet: " + name);
    }
    return name;
}

// Replaces a file by a rename, so that a reader sees either the old content or the new one.
void replaceFile(const std::string &path, const std::string &text)
{
    std::ofstream(path + ".new") << text;
    std::filesystem::rename(path + ".new", path);
}

std::string zoneOf(int host)
{
    return fmt::format("zone{}", host % 3);
}

// The endpoint that the peers use for a host. The forwarder listens on it, and the host itself on kListenPort.
Endpoint advertisedEndpoint(int host)
{
    return parseEndpoint(loopbackAddress(host) + ":9700").value();
}

std::string hostListText()
{
    std::string text = "hosts:\n";
    for (int host = 1; host <= kFleetHosts; ++host) {
        text += fmt::format("  - {{address: \"{}:9700\", zone: {}}}\n", loopbackAddress(host), zoneOf(host));
    }
    return text;
}

} // namespace

Fleet::Fleet(FleetOptions options)
    : options_(std::move(options))
    , folder_(makeTempFolder())
    , upstreams_(makeUpstreams("upstream"))
    , extraUpstreams_(makeUpstreams("extra"))
{
    replaceFile(folder_ + "/key", std::string(kKey));
    for (int host = 1; host <= kFleetHosts; ++host) {
        forwarder_.forward(advertisedEndpoint(host), Endpoint{advertisedEndpoint(host).address, kListenPort});
        publish(host, options_.extraService);
    }
    for (int host = 1; host <= kFleetHosts; ++host) {
        start(host);
    }
}

Fleet::Upstreams Fleet::makeUpstreams(const std::string &prefix) const
{
    Upstreams upstreams;
    for (int number = 0; number < options_.upstreams; ++number) {
        StandinUpstreamOptions options;
        options.name = fmt::format("{}{}", prefix, number);
        options.slots = options_.slots;
        upstreams.push_back(std::make_unique<StandinUpstream>(options));
    }
    return upstreams;
}

Fleet::~Fleet()
{
    processes_.clear();
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
}

void Fleet::start(int host)
{
    const auto address = loopbackAddress(host);
    const auto settings = fmt::format("host: {{address: {0}, zone: {1}}}\n"
                                      "operator: {{listen: \"{0}:9900\"}}\n"
                                      "peers: {{listen: \"{0}:9701\", advertise: \"{0}:9700\", key-file: {2}/key}}\n"
                                      "platform: {{catalogue-file: {2}/catalogue{3}.yaml}}\n"
                                      "guard: {{window: 4s, list-give-up: 0s}}\n"
                                      "graces: {{requests: 10s, feeds: 2s}}\n{4}...\n",
                                      address, zoneOf(host), folder_, host, hostListText());
    processes_.erase(host);
    processes_.emplace(host, std::make_unique<DaemonProcess>(settings, ""));
}

std::string Fleet::catalogueText(const std::string &extraService) const
{
    const auto service = [](const std::string &name, const std::string &rest, const Upstreams &upstreams, const auto &addressOf) {
        auto text = fmt::format("- {{name: {}, owner: trust, {}, upstreams: [", name, rest);
        int zone = 0;
        for (const auto &upstream : upstreams) {
            text += fmt::format("{{address: \"{}\", zone: zone{}}},", endpointToString(addressOf(*upstream)), zone++);
        }
        return text + "]}\n";
    };
    const auto http = [](const StandinUpstream &upstream) { return upstream.httpAddress(); };
    const auto stream = [](const StandinUpstream &upstream) { return upstream.streamAddress(); };
    const auto datagram = [](const StandinUpstream &upstream) { return upstream.datagramAddress(); };
    const auto limits = fmt::format("limits: {{{}}}", options_.limits);
    auto text = "services:\n" + service("quotes", "class: protected, kind: http, address: \"0.0.0.0:8080\", " + limits, upstreams_, http);
    text += service("prices", "class: feed, kind: stream, address: \"0.0.0.0:8443\"", upstreams_, stream);
    text += service("sensors", "class: feed, kind: datagram, address: \"0.0.0.0:8600\"", upstreams_, datagram);
    if (!extraService.empty()) {
        text += service(extraService, "class: idempotent, kind: http, address: \"0.0.0.0:8081\", " + limits, extraUpstreams_, http);
    }
    return text;
}

void Fleet::publish(int host, const std::string &extraService)
{
    replaceFile(fmt::format("{}/catalogue{}.yaml", folder_, host), catalogueText(extraService));
}

std::string Fleet::operatorAddress(int host) const
{
    return loopbackAddress(host) + ":9900";
}

std::string Fleet::requestAddress(int host) const
{
    return loopbackAddress(host) + ":8080";
}

std::string Fleet::extraAddress(int host) const
{
    return loopbackAddress(host) + ":8081";
}

std::string Fleet::streamAddress(int host) const
{
    return loopbackAddress(host) + ":8443";
}

std::string Fleet::datagramAddress(int host) const
{
    return loopbackAddress(host) + ":8600";
}

void Fleet::isolate(int host)
{
    forwarder_.isolate(hostIdOf(advertisedEndpoint(host)));
}

void Fleet::heal(int host)
{
    forwarder_.heal(hostIdOf(advertisedEndpoint(host)));
}

std::vector<int> Fleet::running() const
{
    std::vector<int> hosts;
    for (const auto &[host, process] : processes_) {
        hosts.push_back(host);
    }
    return hosts;
}

nlohmann::json Fleet::state(int host) const
{
    const auto response = httpRequest(operatorAddress(host), "/state");
    return response.status == 200 ? nlohmann::json::parse(response.body, nullptr, false) : nlohmann::json();
}

long Fleet::counter(int host, const std::string &name) const
{
    const auto text = httpRequest(operatorAddress(host), "/counters").body;
    const auto line = fmt::format("\nmedlarway_{} ", name);
    const auto found = text.find(line);
    return found == std::string::npos ? -1 : std::stol(text.substr(found + line.size()));
}

std::size_t Fleet::viewSize(int host) const
{
    const auto page = state(host);
    return page.is_object() ? page["control"]["view"]["members"].size() : 0;
}

bool Fleet::waitForFullViews()
{
    return waitUntil(
        [this] {
            const auto hosts = running();
            return std::all_of(hosts.begin(), hosts.end(),
                               [&](int host) { return process(host).waitReady(operatorAddress(host)) && viewSize(host) == hosts.size(); });
        },
        std::chrono::seconds{30});
}

bool Fleet::waitForGuards()
{
    return waitUntil(
        [this] {
            const auto hosts = running();
            return std::all_of(hosts.begin(), hosts.end(), [&](int host) {
                const auto page = state(host);
                return page.is_object() && page["control"]["guard"]["fullMemory"] == true;
            });
        },
        std::chrono::seconds{30});
}

bool Fleet::serves(int host, const std::string &service) const
{
    const auto page = state(host);
    if (!page.is_object()) {
        return false;
    }
    const auto &services = page["dataPath"]["services"];
    return std::any_of(services.begin(), services.end(), [&](const nlohmann::json &entry) { return entry["name"] == service; });
}

std::vector<std::string> Fleet::requestsRun() const
{
    std::vector<std::string> requests;
    for (const auto *upstreams : {&upstreams_, &extraUpstreams_}) {
        for (const auto &upstream : *upstreams) {
            const auto ran = upstream->requestsRun();
            requests.insert(requests.end(), ran.begin(), ran.end());
        }
    }
    return requests;
}

std::size_t Fleet::requestsShed() const
{
    std::size_t times = 0;
    for (const auto *upstreams : {&upstreams_, &extraUpstreams_}) {
        for (const auto &upstream : *upstreams) {
            times += upstream->requestsShed();
        }
    }
    return times;
}

std::set<std::string> Fleet::duplicates() const
{
    std::set<std::string> seen;
    std::set<std::string> duplicates;
    for (const auto &request : requestsRun()) {
        const auto key = request.substr(request.rfind(' ') + 1);
        if (!key.empty() && !seen.insert(key).second) {
            duplicates.insert(key);
        }
    }
    return duplicates;
}

ScatteredCaller::ScatteredCaller(const Fleet &fleet)
    : fleet_(fleet)
    , socket_(context_, udp::endpoint(asio::ip::address_v4::loopback(), 0))
{
}

std::string ScatteredCaller::exchange(int host)
{
    const auto service = parseEndpoint(fleet_.datagramAddress(host)).value();
    const auto payload = fmt::format("datagram {}", ++sent_);
    for (int attempt = 0; attempt < kMaxDatagramAttempts; ++attempt) {
        boost::system::error_code error;
        socket_.send_to(asio::buffer(payload), {asio::ip::address_v4(service.address), service.port}, 0, error);
        pollfd waiting{socket_.native_handle(), POLLIN, 0};
        while (poll(&waiting, 1, kDatagramTimeoutMilliseconds) > 0) {
            std::array<char, 2048> buffer{};
            udp::endpoint sender;
            const auto size = socket_.receive_from(asio::buffer(buffer), sender, 0, error);
            const std::string response(buffer.data(), error ? 0 : size);
            auto name = response.substr(0, response.find(':'));
            if (response == fmt::format("{}: {}", name, payload)) {
                return name;
            }
        }
    }
    return "";
}

} // namespace medlarway
