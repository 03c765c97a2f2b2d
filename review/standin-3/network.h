#pragma once

#include "loop.h"
#include "packet.h"

#include <random>
#include <string>

namespace standin
{

/// The ways between machines: each datagram takes a while, and a few are lost.
class Network
{
public:
    Network(Loop &loop, double lost, unsigned seed)
        : loop_(loop)
        , lost_(lost)
        , random_(seed)
    {
    }

    /// Sends the datagram from the socket after the delay, unless it is lost.
    void send(int socket, const Address &to, std::string datagram, Span delay);

    double unit()
    {
        return std::uniform_real_distribution<double>(0, 1)(random_);
    }

    std::uint32_t number()
    {
        return random_();
    }

private:
    Loop &loop_;
    double lost_;
    std::mt19937 random_;
};

/// Calls take with each datagram that the socket has.
void receiveAll(int socket, const std::function<void(std::string_view datagram)> &take);

} // namespace standin
