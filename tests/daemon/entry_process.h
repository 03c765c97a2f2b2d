#pragma once

#include "base/endpoint.h"

#include <cstdint>
#include <fmt/format.h>
#include <string>

namespace medlarway
{

/// Ports that an entry host of a test listens on.
inline constexpr std::uint16_t kPacketPort = 28172; ///< clients listen on the same port
inline constexpr std::uint16_t kReadyPort = 28167;
inline constexpr std::uint16_t kControlPort = 28166;
inline constexpr std::uint16_t kPeersPort = 28200;

/// Drain timeout of an entry host at a planned stop, in seconds.
inline constexpr int kEntryGraceSeconds = 4;

/// The settings of an entry host whose only seed is the host at the given address.
inline std::string entrySettingsText(const std::string &address, const std::string &zone, const Endpoint &store, const std::string &seed)
{
    return fmt::format("entry:\n  name: \"{0}\"\n  zone: {1}\n  packets: \"{0}:{2}\"\n  ready: \"{0}:{3}\"\n  control: \"{0}:{4}\"\n"
                       "  store: \"{5}\"\n  peers: \"{0}:{8}\"\n  seeds: [\"{6}:{4}\"]\n  grace-seconds: {7}\n...\n",
                       address, zone, kPacketPort, kReadyPort, kControlPort, endpointToString(store), seed, kEntryGraceSeconds, kPeersPort);
}

} // namespace medlarway
