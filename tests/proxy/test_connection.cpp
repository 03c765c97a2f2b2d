#include "proxy/test_connection.h"

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

constexpr int kTimeoutSeconds = 8;

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
    timeval timeout{kTimeoutSeconds, 0};
    setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    const int enable = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enable, sizeof(enable));
}

std::string toLower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

int listenOnFreePort()
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto any = addressOf(Endpoint{INADDR_LOOPBACK, 0});
    static_cast<void>(::bind(socket, reinterpret_cast<const sockaddr *>(&any), sizeof(any)));
    ::listen(socket, 1024);
    return socket;
}

Endpoint localEndpointOf(int socket)
{
    sockaddr_in local{};
    socklen_t size = sizeof(local);
    ::getsockname(socket, reinterpret_cast<sockaddr *>(&local), &size);
    return Endpoint{ntohl(local.sin_addr.s_addr), ntohs(local.sin_port)};
}

} // namespace

int HttpMessage::status() const
{
    return firstLine.size() > 12 ? std::stoi(firstLine.substr(9, 3)) : 0;
}

TestConnection::TestConnection(const Endpoint &to)
    : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    prepare(socket_);
    const auto address = addressOf(to);
    if (::connect(socket_, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        close();
    }
}

TestConnection::TestConnection(int socket)
    : socket_(socket)
{
    prepare(socket_);
}

TestConnection::TestConnection(TestConnection &&other) noexcept
    : socket_(std::exchange(other.socket_, -1))
    , buffer_(std::move(other.buffer_))
    , wasReset_(other.wasReset_)
{
}

TestConnection::~TestConnection()
{
    close();
}

bool TestConnection::send(std::string_view text)
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

bool TestConnection::receiveMore()
{
    std::string bytes(65536, '\0');
    const auto size = ::recv(socket_, bytes.data(), bytes.size(), 0);
    if (size <= 0) {
        wasReset_ = size < 0 && errno == ECONNRESET;
        eofReceived_ = size == 0;
        return false;
    }
    buffer_.append(bytes, 0, static_cast<std::size_t>(size));
    return true;
}

std::string TestConnection::receive(std::size_t size)
{
    while (buffer_.size() < size && receiveMore()) {
    }
    auto result = buffer_.substr(0, size);
    buffer_.erase(0, result.size());
    return result;
}

std::string TestConnection::receiveSome()
{
    if (buffer_.empty()) {
        receiveMore();
    }
    return std::exchange(buffer_, {});
}

HttpMessage TestConnection::readMessage(bool withBody)
{
    HttpMessage message;
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
        if (!receiveMore()) {
            return message;
        }
    }
    auto head = receive(end + 4);
    message.firstLine = head.substr(0, head.find("\r\n"));
    for (std::size_t at = head.find("\r\n") + 2; at + 2 < head.size();) {
        const auto lineEnd = head.find("\r\n", at);
        const auto colon = head.find(": ", at);
        message.fields[toLower(head.substr(at, colon - at))] = head.substr(colon + 2, lineEnd - colon - 2);
        at = lineEnd + 2;
    }
    if (message.fields.contains("transfer-encoding")) {
        readChunks(message);
    } else if (message.fields.contains("content-length") && withBody) {
        const auto length = std::stoull(message.fields["content-length"]);
        message.body = receive(length);
        message.complete = message.body.size() == length;
    } else {
        message.complete = true;
    }
    return message;
}

void TestConnection::readChunks(HttpMessage &message)
{
    while (true) {
        std::size_t end = 0;
        while ((end = buffer_.find("\r\n")) == std::string::npos) {
            if (!receiveMore()) {
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
            message.complete = true;
            return;
        }
    }
}

bool TestConnection::isReset()
{
    while (receiveMore()) {
    }
    return wasReset_;
}

bool TestConnection::isClosed()
{
    while (receiveMore()) {
    }
    return eofReceived_;
}

void TestConnection::shutdownSend()
{
    ::shutdown(socket_, SHUT_WR);
}

void TestConnection::reset()
{
    const linger now{1, 0};
    setsockopt(socket_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    close();
}

void TestConnection::close()
{
    if (socket_ >= 0) {
        ::close(std::exchange(socket_, -1));
    }
}

int TestConnection::socket() const
{
    return socket_;
}

TestUpstream::TestUpstream(Behaviour behaviour)
    : behaviour_(std::move(behaviour))
    , listener_(listenOnFreePort())
    , acceptor_([this] { acceptConnections(); })
{
}

TestUpstream::~TestUpstream()
{
    stopped_ = true;
    ::shutdown(listener_, SHUT_RDWR);
    acceptor_.join();
    ::close(listener_);
    {
        const std::lock_guard lock(mutex_);
        for (const int socket : openSockets_) {
            ::shutdown(socket, SHUT_RDWR);
        }
    }
    for (auto &thread : threads_) {
        thread.join();
    }
}

void TestUpstream::acceptConnections()
{
    while (!stopped_) {
        const int socket = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0) {
            continue;
        }
        ++connections_;
        const std::lock_guard lock(mutex_);
        openSockets_.push_back(socket);
        threads_.emplace_back([this, socket] {
            TestConnection connection(socket);
            behaviour_(connection);
            const std::lock_guard closing(mutex_);
            std::erase(openSockets_, socket);
            connection.close();
        });
    }
}

Endpoint TestUpstream::address() const
{
    return localEndpointOf(listener_);
}

int TestUpstream::connections() const
{
    return connections_;
}

void TestUpstream::record(const std::string &what)
{
    const std::lock_guard lock(mutex_);
    records_.push_back(what);
}

std::vector<std::string> TestUpstream::records() const
{
    const std::lock_guard lock(mutex_);
    return records_;
}

bool eventually(const std::function<bool()> &condition)
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds{kTimeoutSeconds};
    while (std::chrono::steady_clock::now() < end) {
        if (condition()) {
            return true;
        }
        std::this_thread::yield();
    }
    return condition();
}

bool refusesConnections(const Endpoint &to)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval timeout{0, 200'000};
    setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
    const auto address = addressOf(to);
    const bool refused = ::connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0 && errno == ECONNREFUSED;
    ::close(socket);
    return refused;
}

Endpoint closedEndpoint()
{
    const int socket = listenOnFreePort();
    const auto result = localEndpointOf(socket);
    ::close(socket);
    return result;
}

std::string responseText(std::string_view body, std::string_view moreFields)
{
    std::string result = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    result += moreFields;
    result += "\r\n";
    result += body;
    return result;
}

} // namespace medlarway
