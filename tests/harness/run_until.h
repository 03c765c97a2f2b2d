#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>

namespace medlarway
{

/// Runs the context until the condition holds. Returns false if it doesn't within ten seconds.
template<class Condition>
bool runUntil(boost::asio::io_context &context, Condition condition)
{
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds{10};
    while (!condition() && std::chrono::steady_clock::now() < deadline) {
        context.restart();
        context.run_one_for(std::chrono::milliseconds{20});
    }
    return condition();
}

} // namespace medlarway
