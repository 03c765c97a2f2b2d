#pragma once

#include "base/endpoint.h"
#include "base/host.h"
#include "base/log.h"
#include "base/time.h"
#include "yaml/fault.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace medlarway
{

/// What an entry host is told of itself: one that forwards the packets of flows. Immutable by use; compare with ==.
struct EntrySettings {
    std::string name; ///< of the host, for logs
    AvailabilityZone zone;
    LogLevel logLevel = LogLevel::Info;
    Endpoint packets; ///< where the routers send the clients' packets
    Endpoint ready; ///< where the routers ask whether the host takes packets
    Endpoint control; ///< pages for operators
    Endpoint store; ///< the platform's
    Endpoint peers; ///< where the other entry hosts reach this one
    std::vector<Endpoint> seeds; ///< control addresses of a few entry hosts; they may be stale
    Duration grace = std::chrono::seconds{6}; ///< from the signal that asks for a stop to the one that ends the process
    std::uint32_t flows = 100'000; ///< flows remembered

    friend bool operator==(const EntrySettings &, const EntrySettings &) = default;
};

/// Whether a file holds the settings of an entry host rather than of a proxy; false where it can't be read.
bool isEntryFile(const std::string &path);

/// Reads the settings of an entry host. Every fault is listed. Never throws.
Parsed<EntrySettings> parseEntrySettings(std::string_view text);

/// Reads them from a file. Throws Error(BadSettings) with every fault, one a line.
EntrySettings loadEntrySettings(const std::string &path);

/// The names of the settings that differ and that a running process can't take over; empty where none do.
std::vector<std::string> changesThatNeedRestart(const EntrySettings &running, const EntrySettings &wanted);

} // namespace medlarway
