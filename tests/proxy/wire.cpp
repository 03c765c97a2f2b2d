#include "proxy/wire.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace medlarway
{

namespace
{

constexpr int kWaitSeconds = 8;

sockaddr_in addressOf(const Endpoint &endpoint)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_addr.s_addr = htonl(endpoint.address);
    result.sin_port = htons(endpoint.port);
    return result;
}

void prepare(int socket)
{
    timeval wait{kWaitSeconds, 0};
    setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
    const int yes = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
}

std::string lowered(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

int listenAnywhere()
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto any = addressOf(Endpoint{INADDR_LOOPBACK, 0});
    static_cast<void>(::bind(socket, reinterpret_cast<const sockaddr *>(&any), sizeof(any)));
    ::listen(socket, 1024);
    return socket;
}

Endpoint localOf(int socket)
{
    sockaddr_in local{};
    socklen_t size = sizeof(local);
    ::getsockname(socket, reinterpret_cast<sockaddr *>(&local), &size);
    return Endpoint{ntohl(local.sin_addr.s_addr), ntohs(local.sin_port)};
}

} // namespace

int WireMessage::status() const
{
    return firstLine.size() > 12 ? std::stoi(firstLine.substr(9, 3)) : 0;
}

Wire::Wire(const Endpoint &to)
    : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    prepare(socket_);
    const auto address = addressOf(to);
    if (::connect(socket_, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        close();
    }
}

Wire::Wire(int socket)
    : socket_(socket)
{
    prepare(socket_);
}

Wire::Wire(Wire &&other) noexcept
    : socket_(std::exchange(other.socket_, -1))
    , buffered_(std::move(other.buffered_))
    , wasReset_(other.wasReset_)
{
}

Wire::~Wire()
{
    close();
}

bool Wire::send(std::string_view text)
{
    while (!text.empty()) {
        const auto sent = ::send(socket_, text.data(), text.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        text.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

bool Wire::fill()
{
    std::string bytes(65536, '\0');
    const auto size = ::recv(socket_, bytes.data(), bytes.size(), 0);
    if (size <= 0) {
        wasReset_ = size < 0 && errno == ECONNRESET;
        ended_ = size == 0;
        return false;
    }
    buffered_.append(bytes, 0, static_cast<std::size_t>(size));
    return true;
}

std::string Wire::receive(std::size_t size)
{
    while (buffered_.size() < size && fill()) {
    }
    auto result = buffered_.substr(0, size);
    buffered_.erase(0, result.size());
    return result;
}

std::string Wire::receiveSome()
{
    if (buffered_.empty()) {
        fill();
    }
    return std::exchange(buffered_, {});
}

WireMessage Wire::readMessage(bool withBody)
{
    WireMessage message;
    std::size_t end = 0;
    while ((end = buffered_.find("\r\n\r\n")) == std::string::npos) {
        if (!fill()) {
            return message;
        }
    }
    auto head = receive(end + 4);
    message.firstLine = head.substr(0, head.find("\r\n"));
    for (std::size_t at = head.find("\r\n") + 2; at + 2 < head.size();) {
        const auto lineEnd = head.find("\r\n", at);
        const auto colon = head.find(": ", at);
        message.fields[lowered(head.substr(at, colon - at))] = head.substr(colon + 2, lineEnd - colon - 2);
        at = lineEnd + 2;
    }
    if (message.fields.contains("transfer-encoding")) {
        readChunks(message);
    } else if (message.fields.contains("content-length") && withBody) {
        const auto length = std::stoull(message.fields["content-length"]);
        message.body = receive(length);
        message.whole = message.body.size() == length;
    } else {
        message.whole = true;
    }
    return message;
}

void Wire::readChunks(WireMessage &message)
{
    while (true) {
        std::size_t end = 0;
        while ((end = buffered_.find("\r\n")) == std::string::npos) {
            if (!fill()) {
                return;
            }
        }
        const auto size = std::stoull(receive(end + 2), nullptr, 16);
        const auto chunk = receive(size + 2);
        if (chunk.size() < size + 2) {
            return;
        }
        message.body += chunk.substr(0, size);
        if (size == 0) {
            message.whole = true;
            return;
        }
    }
}

bool Wire::isReset()
{
    while (fill()) {
    }
    return wasReset_;
}

bool Wire::isClosed()
{
    while (fill()) {
    }
    return ended_;
}

void Wire::endSending()
{
    ::shutdown(socket_, SHUT_WR);
}

void Wire::reset()
{
    const linger now{1, 0};
    setsockopt(socket_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    close();
}

void Wire::close()
{
    if (socket_ >= 0) {
        ::close(std::exchange(socket_, -1));
    }
}

int Wire::socket() const
{
    return socket_;
}

StandIn::StandIn(Behaviour behaviour)
    : behaviour_(std::move(behaviour))
    , listener_(listenAnywhere())
    , acceptor_([this] { acceptAll(); })
{
}

StandIn::~StandIn()
{
    stopped_ = true;
    ::shutdown(listener_, SHUT_RDWR);
    acceptor_.join();
    ::close(listener_);
    {
        const std::lock_guard lock(mutex_);
        for (const int socket : open_) {
            ::shutdown(socket, SHUT_RDWR);
        }
    }
    for (auto &thread : threads_) {
        thread.join();
    }
}

void StandIn::acceptAll()
{
    while (!stopped_) {
        const int socket = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0) {
            continue;
        }
        ++connections_;
        const std::lock_guard lock(mutex_);
        open_.push_back(socket);
        threads_.emplace_back([this, socket] {
            Wire wire(socket);
            behaviour_(wire);
            const std::lock_guard closing(mutex_);
            std::erase(open_, socket);
            wire.close();
        });
    }
}

Endpoint StandIn::address() const
{
    return localOf(listener_);
}

int StandIn::connections() const
{
    return connections_;
}

void StandIn::note(const std::string &what)
{
    const std::lock_guard lock(mutex_);
    notes_.push_back(what);
}

std::vector<std::string> StandIn::notes() const
{
    const std::lock_guard lock(mutex_);
    return notes_;
}

bool eventually(const std::function<bool()> &condition)
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds{kWaitSeconds};
    while (std::chrono::steady_clock::now() < end) {
        if (condition()) {
            return true;
        }
        std::this_thread::yield();
    }
    return condition();
}

Endpoint deadEndpoint()
{
    const int socket = listenAnywhere();
    const auto result = localOf(socket);
    ::close(socket);
    return result;
}

std::string answerText(std::string_view body, std::string_view moreFields)
{
    std::string result = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    result += moreFields;
    result += "\r\n";
    result += body;
    return result;
}

} // namespace medlarway
