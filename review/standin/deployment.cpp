#include "deployment.h"

#include <algorithm>
#include <arpa/inet.h>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <random>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review
{

namespace
{

constexpr auto kDaemon = "target/src/daemon/medlarwayd";
constexpr auto kTemplate = "deploy/entry-settings.yaml";
constexpr Millis kProbeInterval{500};
constexpr Millis kProbeLimit{400};
constexpr std::uint32_t kLoopback = 0x7f000000;
constexpr std::uint32_t kFirstClient = 0x201; // within the network of the case

std::string fill(std::string text, const std::string &name, const std::string &value)
{
    const auto placeholder = "{{" + name + "}}";
    for (auto at = text.find(placeholder); at != std::string::npos; at = text.find(placeholder, at + value.size())) {
        text.replace(at, placeholder.size(), value);
    }
    return text;
}

std::uint64_t mix(std::uint64_t value)
{
    value ^= value >> 33U;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33U;
    value *= 0xc4ceb9fe1a85ec53ULL;
    return value ^ (value >> 33U);
}

} // namespace

Deployment::Deployment(const std::string &folder, const std::vector<std::string> &zones)
    : record(folder + "/record.txt")
    , network_(kLoopback + (20U + std::random_device{}() % 200U) * 0x10000U)
{
    if (::access(kDaemon, X_OK) != 0) {
        throw CannotRun(std::string(kDaemon) + " is not built");
    }
    std::string name = (std::filesystem::temp_directory_path() / "medlarway-review-XXXXXX").string();
    if (::mkdtemp(name.data()) == nullptr) {
        throw CannotRun("no temporary folder");
    }
    temporary_ = name;
    for (const auto &zone : zones) {
        hosts.emplace_back("edge-" + zone + "-" + std::to_string(hosts.size() + 1), zone,
                           network_ + 0x100U + static_cast<std::uint32_t>(hosts.size()) + 1U);
    }
    choosePorts();
    store = std::make_unique<Store>(loop, record, Address{network_ + 0x401U, 0});
    probeReady();
}

Deployment::~Deployment()
{
    for (auto &host : hosts) {
        if (host.process > 0) {
            ::kill(host.process, SIGCONT);
            ::kill(host.process, SIGKILL);
            ::waitpid(host.process, nullptr, 0);
        }
    }
    std::error_code ignored;
    if (std::getenv("KEEP_LOGS") != nullptr) {
        return;
    }
    std::filesystem::remove_all(temporary_, ignored);
}

// Four ports in a row that are free at every host: packets, ready, control, peers. Clients listen at the first.
void Deployment::choosePorts()
{
    std::random_device random;
    for (int attempt = 0; attempt < 200; ++attempt) {
        const auto base = static_cast<std::uint16_t>(20'000 + random() % 10'000);
        bool free = isFree({network_ + kFirstClient, base});
        for (const auto &host : hosts) {
            for (std::uint16_t row = 0; row < 4 && free; ++row) {
                free = isFree({host.ip, static_cast<std::uint16_t>(base + row)});
            }
        }
        if (free) {
            basePort_ = base;
            return;
        }
    }
    throw CannotRun("no free ports");
}

bool Deployment::trouble()
{
    const auto *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

Address Deployment::routeAddress(int number)
{
    return {0xc6120000U + static_cast<std::uint32_t>(number), 8443};
}

std::string Deployment::configValue(std::uint64_t version, const std::vector<std::pair<Address, std::string>> &routes,
                                    const std::vector<std::string> &services, int timeoutMillis)
{
    auto list = nlohmann::json::array();
    for (const auto &[address, service] : routes) {
        list.push_back({{"name", "r-" + ipText(address.ip)},
                        {"host", ipText(address.ip)},
                        {"prefix", "/" + std::to_string(address.port) + "/"},
                        {"type", "idempotent"},
                        {"timeout-ms", timeoutMillis},
                        {"target-latency-ms", 150},
                        {"priority", 2},
                        {"service", service},
                        {"attempts", 2}});
    }
    auto named = nlohmann::json::array();
    for (const auto &service : services) {
        named.push_back({{"name", service}, {"health-path", "/health"}, {"max-connections", 2000}, {"protocol", "h1"}, {"tls", false}});
    }
    return nlohmann::json{{"version", version}, {"routes", list}, {"services", named}, {"limits", {{"idle-timeout-ms", 15000}}}}.dump();
}

void Deployment::writeConfig(std::uint64_t version, const std::string &value)
{
    store->put("op/config", value);
    record.note("the store confirms configuration " + std::to_string(version) + ", " + std::to_string(value.size()) + " bytes");
}

std::unique_ptr<Endpoint> Deployment::startEndpoint(const std::string &id, const std::string &service, const Address &address,
                                                    const std::string &zone, std::int64_t born)
{
    EndpointOptions options;
    options.id = id;
    options.service = service;
    options.address = address;
    options.zone = zone;
    options.clientPort = basePort_;
    options.born = born;
    options.repeatsSynAck = true;
    auto endpoint = std::make_unique<Endpoint>(loop, record, options);
    store->put(endpoint->key(), endpoint->entry("ready"));
    return endpoint;
}

Address Deployment::newEndpointAddress()
{
    Address address{network_ + 0x301U + static_cast<std::uint32_t>(endpoints_++), 8080};
    while (!isFree(address)) {
        if (++address.port == 8280) {
            throw CannotRun(ipText(address.ip) + " has no free port");
        }
    }
    return address;
}

std::unique_ptr<Client> Deployment::newClient()
{
    return std::make_unique<Client>(loop, record, Address{network_ + kFirstClient + static_cast<std::uint32_t>(clients_++), basePort_},
                                    [this](const Address &client, const Address &destination) { return hostOf(client, destination); });
}

std::string Deployment::settingsOf(const Host &host) const
{
    std::ifstream file(kTemplate);
    std::stringstream content;
    content << file.rdbuf();
    auto seeds = nlohmann::json::array();
    for (const auto &seed : hosts) {
        seeds.push_back(toText({seed.ip, static_cast<std::uint16_t>(basePort_ + 2)}));
    }
    auto text = fill(content.str(), "node-name", host.name);
    text = fill(text, "zone", host.zone);
    text = fill(text, "ip", ipText(host.ip));
    text = fill(text, "listen.datagram-addr", toText({host.ip, basePort_}));
    text = fill(text, "listen.ready", toText({host.ip, static_cast<std::uint16_t>(basePort_ + 1)}));
    text = fill(text, "listen.control", toText({host.ip, static_cast<std::uint16_t>(basePort_ + 2)}));
    text = fill(text, "internal-ports.0", std::to_string(basePort_ + 3));
    text = fill(text, "platform.address", toText(store->address()));
    text = fill(text, "seeds|json", seeds.dump());
    text = fill(text, "bounds.grace-s", "6");
    text = fill(text, "bounds.drain-ms", "3000");
    return fill(text, "bounds.config-apply-ms", "3000");
}

void Deployment::start(Host &host)
{
    const auto settings = temporary_ + "/" + host.name + ".yaml";
    const auto log = temporary_ + "/" + host.name + ".log";
    std::ofstream(settings) << settingsOf(host);
    const auto process = ::fork();
    if (process < 0) {
        throw CannotRun("no process");
    }
    if (process == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL); // ends with the case, however that ends
        const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        ::execl(kDaemon, kDaemon, "--settings", settings.c_str(), nullptr);
        ::_exit(127);
    }
    host.process = process;
    host.misses = 0;
    record.line("host " + host.name + " starts at " + ipText(host.ip));
}

void Deployment::signal(Host &host, int number)
{
    record.note("host " + host.name + " gets signal " + std::to_string(number));
    ::kill(host.process, number);
}

void Deployment::awaitReady(Millis limit)
{
    const auto allReady = [this] { return std::all_of(hosts.begin(), hosts.end(), [](const Host &host) { return host.inRotation; }); };
    if (!loop.runUntil(allReady, limit)) {
        throw CannotRun("not every host is ready");
    }
}

// The routers ask each host twice a second.
void Deployment::probeReady()
{
    reap();
    for (std::size_t row = 0; row < hosts.size(); ++row) {
        checkReady(row);
    }
    loop.after(kProbeInterval, [this] { probeReady(); });
}

void Deployment::reap()
{
    for (auto &host : hosts) {
        int status = 0;
        if (host.process > 0 && ::waitpid(host.process, &status, WNOHANG) == host.process) {
            record.note("the process of " + host.name + " ended, status " + std::to_string(status));
            host.process = -1;
        }
    }
}

void Deployment::checkReady(std::size_t row)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(basePort_ + 1));
    address.sin_addr.s_addr = htonl(hosts[row].ip);
    ::connect(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof address);
    const std::string request = "GET /v1/ready HTTP/1.1\r\nHost: entry\r\nConnection: close\r\n\r\n";
    const auto sent = std::make_shared<bool>(false);
    const auto done = std::make_shared<bool>(false);
    const auto finish = [this, row, descriptor, done](bool ready) {
        if (std::exchange(*done, true)) {
            return;
        }
        loop.unwatch(descriptor);
        ::close(descriptor);
        auto &host = hosts[row];
        host.misses = ready ? 0 : host.misses + 1;
        const bool before = host.inRotation;
        host.inRotation = ready || (before && host.misses < 2);
        if (host.inRotation != before) {
            record.line("host " + host.name + (host.inRotation ? " is in rotation" : " is out of rotation"));
        }
    };
    loop.watch(descriptor, POLLOUT | POLLIN, [this, descriptor, request, sent, finish](short events) {
        if (!*sent && (events & POLLOUT) != 0) {
            *sent = true;
            if (::send(descriptor, request.data(), request.size(), MSG_NOSIGNAL) < 0) {
                finish(false);
            }
            return;
        }
        if ((events & (POLLIN | POLLERR | POLLHUP)) != 0) {
            char buffer[512];
            const auto size = ::recv(descriptor, buffer, sizeof buffer, MSG_DONTWAIT);
            finish(size > 12 && std::string(buffer, 12) == "HTTP/1.1 200");
        }
    });
    // Without the request to be sent, waiting for POLLOUT would spin.
    loop.after(Millis{20}, [this, descriptor, sent, done, finish] {
        if (!*done && *sent) {
            loop.watch(descriptor, POLLIN, [descriptor, finish](short) {
                char buffer[512];
                const auto size = ::recv(descriptor, buffer, sizeof buffer, MSG_DONTWAIT);
                finish(size > 12 && std::string(buffer, 12) == "HTTP/1.1 200");
            });
        }
    });
    loop.after(kProbeLimit, [finish] { finish(false); });
}

Address Deployment::hostOf(const Address &client, const Address &destination) const
{
    const Host *best = nullptr;
    std::uint64_t highest = 0;
    const bool any = std::any_of(hosts.begin(), hosts.end(), [](const Host &host) { return host.inRotation; });
    for (const auto &host : hosts) {
        if (any && !host.inRotation) {
            continue;
        }
        const auto rank = mix(mix(mix(client.ip) + client.port) + mix(destination.ip + destination.port) + host.ip);
        if (best == nullptr || rank > highest) {
            best = &host;
            highest = rank;
        }
    }
    return {best->ip, basePort_};
}

int runCase(int argumentCount, char **arguments, bool (*holds)(const std::string &folder))
{
    if (argumentCount != 2) {
        std::fprintf(stderr, "give the folder of the case\n");
        return 2;
    }
    try {
        return holds(arguments[1]) ? 0 : 1;
    } catch (const std::exception &error) {
        std::fprintf(stderr, "the case can't run: %s\n", error.what());
        return 2;
    }
}

} // namespace review
