#pragma once

#include "base/endpoint.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace medlarway
{

/// An HTTP request or response as a test reads it from a connection.
struct HttpMessage {
    std::string firstLine;
    std::map<std::string, std::string> fields; ///< names in lower case
    std::string body;
    bool complete = false; ///< false if the connection closed before the end of the body

    int status() const;
};

/// A blocking TCP connection. Every read times out after some seconds.
class TestConnection
{
public:
    explicit TestConnection(const Endpoint &to);
    explicit TestConnection(int socket);
    ~TestConnection();
    TestConnection(TestConnection &&other) noexcept;
    TestConnection(const TestConnection &) = delete;
    TestConnection &operator=(const TestConnection &) = delete;

    bool send(std::string_view text);
    std::string receive(std::size_t size); ///< returns fewer bytes if the connection closes
    std::string receiveSome();
    HttpMessage readMessage(bool withBody = true);
    bool isReset(); ///< discards further bytes; whether the connection was reset
    bool isClosed(); ///< discards further bytes; whether the connection was closed gracefully
    void shutdownSend();
    void reset();
    void close();
    int socket() const;

private:
    bool receiveMore();
    void readChunks(HttpMessage &message);

    int socket_;
    std::string buffer_;
    bool wasReset_ = false;
    bool eofReceived_ = false;
};

/// A fake upstream that listens on loopback. Each connection runs the behaviour on its own thread.
class TestUpstream
{
public:
    using Behaviour = std::function<void(TestConnection &connection)>;

    explicit TestUpstream(Behaviour behaviour);
    ~TestUpstream();
    TestUpstream(const TestUpstream &) = delete;
    TestUpstream &operator=(const TestUpstream &) = delete;

    Endpoint address() const;
    int connections() const;
    void record(const std::string &what); ///< records an event of the behaviour for the test
    std::vector<std::string> records() const;

private:
    void acceptConnections();

    Behaviour behaviour_;
    int listener_;
    std::atomic<int> connections_{0};
    std::atomic<bool> stopped_{false};
    mutable std::mutex mutex_;
    std::vector<std::string> records_;
    std::vector<int> openSockets_;
    std::vector<std::thread> threads_;
    std::thread acceptor_;
};

/// Waits for a condition for some seconds and returns whether it became true.
bool eventually(const std::function<bool()> &condition);

/// Whether a connection attempt is refused within 200 ms. An attempt without an answer is not refused.
bool refusesConnections(const Endpoint &to);

/// An endpoint on loopback that nothing listens on.
Endpoint closedEndpoint();

/// An HTTP response with status 200 and Content-Length.
std::string responseText(std::string_view body, std::string_view moreFields = "");

} // namespace medlarway
