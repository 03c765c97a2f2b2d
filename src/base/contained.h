#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <exception>
#include <functional>
#include <string_view>
#include <utility>

namespace medlarway
{

/// Pause before a duty that ended with an exception starts again.
inline constexpr std::chrono::milliseconds kRestartPause{200};

/// Counts and logs an exception that escaped a duty, as ErrorKind::Internal.
void reportFault(std::string_view duty, const std::exception_ptr &exception) noexcept;

/// Calls a function. An exception is reported; the result is then false.
template<class Function>
bool contain(std::string_view duty, Function &&function) noexcept
{
    try {
        std::forward<Function>(function)();
        return true;
    } catch (...) {
        reportFault(duty, std::current_exception());
        return false;
    }
}

/// Awaits a coroutine. An exception is reported; the result is then false. The name must outlive it.
boost::asio::awaitable<bool> contained(std::string_view duty, boost::asio::awaitable<void> task);

/// Starts a coroutine. An exception is reported and ends it.
void spawnContained(boost::asio::io_context &context, std::string_view duty, boost::asio::awaitable<void> task);

/// Starts a coroutine, and again kRestartPause after it ended with an exception, which is reported.
void spawnDuty(boost::asio::io_context &context, std::string_view duty, std::function<boost::asio::awaitable<void>()> start);

/// Runs the context until it is stopped or out of work. An exception of a handler is reported. Handlers that wait for their next event only
/// after their work have to contain it themselves.
void runContained(boost::asio::io_context &context, std::string_view duty);

} // namespace medlarway
