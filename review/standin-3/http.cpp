#include "http.h"

#include <array>
#include <cerrno>
#include <cstdlib>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace standin
{

HttpConnection::HttpConnection(Loop &loop, int descriptor)
    : loop_(loop)
    , descriptor_(descriptor)
{
}

HttpConnection::~HttpConnection()
{
    close();
}

void HttpConnection::close()
{
    if (descriptor_ >= 0) {
        loop_.unwatch(descriptor_);
        ::close(descriptor_);
        descriptor_ = -1;
    }
}

void HttpConnection::answer(int status, const std::string &body)
{
    output_ += "HTTP/1.1 " + std::to_string(status)
               + " Answer\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    send();
}

// Responses are small and the readers quick, so what the socket does not take is sent by a timer.
void HttpConnection::send()
{
    while (isOpen() && !output_.empty()) {
        const auto sent = ::send(descriptor_, output_.data(), output_.size(), MSG_NOSIGNAL);
        if (sent < 0) {
            return;
        }
        output_.erase(0, static_cast<std::size_t>(sent));
    }
}

HttpServer::HttpServer(Loop &loop, const Address &address, Handler handler)
    : loop_(loop)
    , handler_(std::move(handler))
    , listener_(openListener(address))
{
    if (listener_ >= 0) {
        loop_.watch(listener_, false, [this] { accept(); });
    }
}

void HttpServer::accept()
{
    const int descriptor = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (descriptor >= 0) {
        const auto connection = std::make_shared<HttpConnection>(loop_, descriptor);
        loop_.watch(descriptor, false, [this, connection] { receive(connection); });
    }
}

void HttpServer::receive(const std::shared_ptr<HttpConnection> &connection)
{
    std::array<char, 8192> bytes{};
    const auto size = recv(connection->descriptor_, bytes.data(), bytes.size(), 0);
    if (size == 0 || (size < 0 && errno != EAGAIN)) {
        connection->close();
        return;
    }
    connection->input_.append(bytes.data(), static_cast<std::size_t>(std::max<ssize_t>(size, 0)));
    connection->send();
    for (auto end = connection->input_.find("\r\n\r\n"); end != std::string::npos; end = connection->input_.find("\r\n\r\n")) {
        const auto first = connection->input_.find(' ') + 1;
        const auto target = connection->input_.substr(first, connection->input_.find(' ', first) - first);
        connection->input_.erase(0, end + 4);
        handler_(target, connection);
    }
}

std::map<std::string, std::string> queryOf(const std::string &target)
{
    std::map<std::string, std::string> result;
    auto rest = target.find('?') == std::string::npos ? std::string() : target.substr(target.find('?') + 1);
    while (!rest.empty()) {
        const auto part = rest.substr(0, rest.find('&'));
        rest.erase(0, std::min(part.size() + 1, rest.size()));
        std::string value;
        for (std::size_t at = std::min(part.find('='), part.size()) + 1; at < part.size(); ++at) {
            const bool coded = part[at] == '%' && at + 2 < part.size();
            value += coded ? static_cast<char>(std::strtol(part.substr(at + 1, 2).c_str(), nullptr, 16)) : part[at];
            at += coded ? 2 : 0;
        }
        result[part.substr(0, part.find('='))] = value;
    }
    return result;
}

void fetchStatus(Loop &loop, const Address &address, const std::string &target, Span timeout, std::function<void(int status)> done)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const auto to = toSocketAddress(address);
    connect(descriptor, reinterpret_cast<const sockaddr *>(&to), sizeof(to));
    const auto ended = std::make_shared<bool>(false);
    const auto finish = [&loop, descriptor, ended, done](int status) {
        if (!std::exchange(*ended, true)) {
            loop.unwatch(descriptor);
            close(descriptor);
            done(status);
        }
    };
    loop.after(timeout, [finish] { finish(0); });
    loop.watch(descriptor, true, [&loop, descriptor, target, finish] {
        const auto request = "GET " + target + " HTTP/1.1\r\nHost: host\r\nConnection: close\r\n\r\n";
        if (send(descriptor, request.data(), request.size(), MSG_NOSIGNAL) < 0) {
            finish(0);
            return;
        }
        loop.watch(descriptor, false, [descriptor, finish] {
            std::array<char, 512> bytes{};
            const auto size = recv(descriptor, bytes.data(), bytes.size(), 0);
            finish(size > 12 ? std::atoi(bytes.data() + 9) : 0);
        });
    });
}

} // namespace standin
