#pragma once

namespace medlarway
{

/// The HTTP statuses of the hosts' pages and of the platform's store.
inline constexpr unsigned kStatusOk = 200;
inline constexpr unsigned kStatusNoContent = 204;
inline constexpr unsigned kStatusBadRequest = 400;
inline constexpr unsigned kStatusNotFound = 404;
inline constexpr unsigned kStatusUnavailable = 503;

} // namespace medlarway
