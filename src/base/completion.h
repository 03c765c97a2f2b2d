#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace medlarway
{

/// Lets a coroutine wait for an operation, which returns its error instead of throwing it.
inline constexpr auto kWaitForCompletion = boost::asio::as_tuple(boost::asio::use_awaitable);

} // namespace medlarway
