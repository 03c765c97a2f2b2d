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

/// An answer or request as a test reads it off a connection.
struct WireMessage {
    std::string firstLine;
    std::map<std::string, std::string> fields; ///< names in lower case
    std::string body;
    bool whole = false; ///< false where the connection ended before the body's end

    int status() const;
};

/// A blocking TCP connection; every wait ends after some seconds.
class Wire
{
public:
    explicit Wire(const Endpoint &to);
    explicit Wire(int socket);
    ~Wire();
    Wire(Wire &&other) noexcept;
    Wire(const Wire &) = delete;
    Wire &operator=(const Wire &) = delete;

    bool send(std::string_view text);
    std::string receive(std::size_t size); ///< fewer bytes where the connection ends
    std::string receiveSome();
    WireMessage readMessage(bool withBody = true);
    bool isReset(); ///< reads on; whether the end is a reset
    bool isClosed(); ///< reads on; whether the end is in order
    void endSending();
    void reset();
    void close();
    int socket() const;

private:
    bool fill();
    void readChunks(WireMessage &message);

    int socket_;
    std::string buffered_;
    bool wasReset_ = false;
    bool ended_ = false;
};

/// A listening stand-in for an upstream; each connection runs the behaviour on a thread of its own.
class StandIn
{
public:
    using Behaviour = std::function<void(Wire &wire)>;

    explicit StandIn(Behaviour behaviour);
    ~StandIn();
    StandIn(const StandIn &) = delete;
    StandIn &operator=(const StandIn &) = delete;

    Endpoint address() const;
    int connections() const;
    void note(const std::string &what); ///< what it ran
    std::vector<std::string> notes() const;

private:
    void acceptAll();

    Behaviour behaviour_;
    int listener_;
    std::atomic<int> connections_{0};
    std::atomic<bool> stopped_{false};
    mutable std::mutex mutex_;
    std::vector<std::string> notes_;
    std::vector<int> open_;
    std::vector<std::thread> threads_;
    std::thread acceptor_;
};

/// Waits for a condition, at most some seconds.
bool eventually(const std::function<bool()> &condition);

/// An address where nobody listens.
Endpoint deadEndpoint();

/// An HTTP answer with a length.
std::string answerText(std::string_view body, std::string_view moreFields = "");

} // namespace medlarway
