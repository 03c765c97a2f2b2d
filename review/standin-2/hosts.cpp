#include "hosts.h"

#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <memory>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace lab
{

namespace
{

constexpr std::uint32_t kFirstHost = 0x0301; // 127.x.3.1
constexpr std::size_t kMostHosts = 8;
constexpr Milliseconds kProbeInterval{500};
constexpr Milliseconds kProbeLimit{450};
constexpr int kMisses = 2;

// Sends a GET request on a new connection. -1 if it can't be sent.
int sendGet(const Address &address, const std::string &path)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_addr.s_addr = htonl(address.ip);
    name.sin_port = htons(address.port);
    const auto request = "GET " + path + " HTTP/1.1\r\nHost: " + toText(address) + "\r\nConnection: close\r\n\r\n";
    if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&name), sizeof(name)) != 0
        || ::send(descriptor, request.data(), request.size(), MSG_NOSIGNAL) < 0) {
        ::close(descriptor);
        return -1;
    }
    ::fcntl(descriptor, F_SETFL, O_NONBLOCK);
    return descriptor;
}

} // namespace

Hosts::Hosts(Loop &loop, std::string program, std::string folder)
    : loop_(loop)
    , program_(std::move(program))
    , folder_(std::move(folder))
{
    std::vector<std::uint32_t> ips{loopback(0x0201)}; // the clients
    for (std::uint32_t host = 0; host < kMostHosts; ++host) {
        ips.push_back(loopback(kFirstHost) + host);
    }
    for (auto *port : {&packetPort_, &readyPort_, &controlPort_, &peersPort_}) {
        *port = findFreePort(ips);
    }
}

Hosts::~Hosts()
{
    for (std::size_t host = 0; host < hosts_.size(); ++host) {
        if (runs(host)) {
            ::kill(hosts_[host].process, SIGKILL);
            ::waitpid(hosts_[host].process, nullptr, 0);
        }
    }
}

std::size_t Hosts::add(const std::string &zone, const Address &store)
{
    Host host;
    host.name = "edge-" + std::to_string(hosts_.size() + 1);
    host.zone = zone;
    host.ip = loopback(kFirstHost) + static_cast<std::uint32_t>(hosts_.size());
    host.store = store;
    hosts_.push_back(host);
    return hosts_.size() - 1;
}

void Hosts::writeSettings(const Host &host) const
{
    std::string seeds;
    for (std::size_t seed = 0; seed < hosts_.size() && seed < 3; ++seed) {
        seeds += (seed == 0 ? "\"" : ",\"") + toText(control(seed)) + "\"";
    }
    std::ofstream file(folder_ + "/" + host.name + ".yaml");
    file << "entry:\n  name: \"" << host.name << "\"\n  zone: \"" << host.zone << "\"\n  packets: \"" << toText({host.ip, packetPort_})
         << "\"\n  ready: \"" << toText({host.ip, readyPort_}) << "\"\n  control: \"" << toText({host.ip, controlPort_})
         << "\"\n  store: \"" << toText(host.store) << "\"\n  peers: \"" << toText({host.ip, peersPort_}) << "\"\n  seeds: [" << seeds
         << "]\n  grace-seconds: 6\n  drain-bound-ms: \"3000\"\n  evacuation-bound-ms: \"\"\n  config-bound-ms: \"3000\"\n"
         << "  warm-up-overage: \"\"\n  warm-up-slack: \"\"\n...\n";
}

void Hosts::start(std::size_t host)
{
    auto &entry = hosts_[host];
    writeSettings(entry);
    const auto settings = folder_ + "/" + entry.name + ".yaml";
    const auto log = folder_ + "/" + entry.name + ".log";
    entry.ending.reset();
    entry.process = ::fork();
    if (entry.process == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL); // a case that is stopped leaves no host behind
        const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        ::execl(program_.c_str(), program_.c_str(), "--settings", settings.c_str(), static_cast<char *>(nullptr));
        ::_exit(127);
    }
}

void Hosts::signal(std::size_t host, int number)
{
    if (runs(host)) {
        ::kill(hosts_[host].process, number);
    }
}

bool Hosts::runs(std::size_t host)
{
    return hosts_[host].process > 0 && !ending(host);
}

std::optional<int> Hosts::ending(std::size_t host)
{
    auto &entry = hosts_[host];
    int status = 0;
    if (entry.process > 0 && !entry.ending && ::waitpid(entry.process, &status, WNOHANG) == entry.process) {
        entry.ending = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    }
    return entry.ending;
}

Address Hosts::packets(std::size_t host) const
{
    return {hosts_[host].ip, packetPort_};
}

Address Hosts::ready(std::size_t host) const
{
    return {hosts_[host].ip, readyPort_};
}

Address Hosts::control(std::size_t host) const
{
    return {hosts_[host].ip, controlPort_};
}

std::string Hosts::page(const Address &address, const std::string &path, Milliseconds limit)
{
    const int descriptor = sendGet(address, path);
    if (descriptor < 0) {
        return "";
    }
    std::string text;
    bool ended = false;
    loop_.onReadable(descriptor, [&] {
        char buffer[4096];
        const auto size = ::recv(descriptor, buffer, sizeof(buffer), 0);
        text.append(buffer, size > 0 ? static_cast<std::size_t>(size) : 0);
        ended = size == 0 || (size < 0 && errno != EAGAIN);
    });
    loop_.runUntil([&] { return ended; }, limit);
    loop_.forget(descriptor);
    ::close(descriptor);
    const auto body = text.find("\r\n\r\n");
    return text.starts_with("HTTP/1.1 200") && body != std::string::npos ? text.substr(body + 4) : "";
}

bool Hosts::awaitReady(std::size_t host, Milliseconds limit)
{
    const auto end = Clock::now() + limit;
    while (Clock::now() < end && runs(host)) {
        bool good = false;
        const int descriptor = sendGet(ready(host), "/v1/ready");
        if (descriptor >= 0) {
            loop_.runFor(Milliseconds{50});
            char buffer[64];
            const auto size = ::recv(descriptor, buffer, sizeof(buffer), 0);
            good = size > 0 && std::string(buffer, static_cast<std::size_t>(size)).starts_with("HTTP/1.1 200");
            ::close(descriptor);
        }
        if (good) {
            return true;
        }
        loop_.runFor(Milliseconds{50});
    }
    return false;
}

void Hosts::startProbes()
{
    for (std::size_t host = 0; host < hosts_.size(); ++host) {
        hosts_[host].inRotation = runs(host);
        probe(host);
    }
}

void Hosts::probe(std::size_t host)
{
    loop_.after(kProbeInterval, [this, host] { probe(host); });
    const int descriptor = sendGet(ready(host), "/v1/ready");
    if (descriptor < 0) {
        recordProbe(host, false);
        return;
    }
    auto done = std::make_shared<bool>(false);
    const auto end = [this, host, descriptor, done](bool good) {
        if (!std::exchange(*done, true)) {
            loop_.forget(descriptor);
            ::close(descriptor);
            recordProbe(host, good);
        }
    };
    loop_.onReadable(descriptor, [descriptor, end] {
        char buffer[512];
        const auto size = ::recv(descriptor, buffer, sizeof(buffer), 0);
        end(size > 0 && std::string(buffer, static_cast<std::size_t>(size)).starts_with("HTTP/1.1 200"));
    });
    loop_.after(kProbeLimit, [end] { end(false); });
}

void Hosts::recordProbe(std::size_t host, bool good)
{
    auto &entry = hosts_[host];
    entry.misses = good ? 0 : entry.misses + 1;
    entry.inRotation = good || (entry.inRotation && entry.misses < kMisses);
}

std::vector<std::size_t> Hosts::rotation() const
{
    std::vector<std::size_t> hosts;
    for (std::size_t host = 0; host < hosts_.size(); ++host) {
        if (hosts_[host].inRotation) {
            hosts.push_back(host);
        }
    }
    return hosts;
}

} // namespace lab
