#include "base/contained.h"

#include "base/errors.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>
#include <string>
#include <thread>

namespace medlarway
{

namespace
{

namespace asio = boost::asio;

// Limits the processor time of a handler that throws whenever it is called.
constexpr std::chrono::milliseconds kFaultPause{1};

std::string describe(const std::exception_ptr &exception)
{
    try {
        std::rethrow_exception(exception);
    } catch (const std::exception &known) {
        return known.what();
    } catch (...) {
        return "unknown exception";
    }
}

asio::awaitable<void> keepRunning(std::string_view duty, std::function<asio::awaitable<void>()> start)
{
    asio::steady_timer pause(co_await asio::this_coro::executor);
    while (!co_await contained(duty, start())) {
        pause.expires_after(kRestartPause);
        co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

} // namespace

void reportFault(std::string_view duty, const std::exception_ptr &exception) noexcept
{
    try {
        reportError(ErrorKind::Internal, fmt::format("{}: {}", duty, describe(exception)));
    } catch (...) {
        count(Counter::InternalFaults); // no memory for the line
    }
}

asio::awaitable<bool> contained(std::string_view duty, asio::awaitable<void> task)
{
    try {
        co_await std::move(task);
        co_return true;
    } catch (...) {
        reportFault(duty, std::current_exception());
    }
    co_return false;
}

void spawnContained(asio::io_context &context, std::string_view duty, asio::awaitable<void> task)
{
    asio::co_spawn(context, contained(duty, std::move(task)), asio::detached);
}

void spawnDuty(asio::io_context &context, std::string_view duty, std::function<asio::awaitable<void>()> start)
{
    asio::co_spawn(context, keepRunning(duty, std::move(start)), asio::detached);
}

void runContained(asio::io_context &context, std::string_view duty)
{
    while (!contain(duty, [&context] { context.run(); })) {
        std::this_thread::sleep_for(kFaultPause);
    }
}

} // namespace medlarway
