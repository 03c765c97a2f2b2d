#pragma once

#include "base/endpoint.h"
#include "base/host.h"
#include "base/log.h"
#include "base/time.h"
#include "yaml/fault.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace medlarway
{

/// The settings of an entry host, which forwards the packets of flows. Not modified after loading, except by a reload.
struct EntrySettings {
    std::string name; ///< name of the host in logs
    AvailabilityZone zone;
    LogLevel logLevel = LogLevel::Info;
    Endpoint packets; ///< receives the packets that the routers forward
    Endpoint ready; ///< answers the readiness checks of the routers
    Endpoint control; ///< serves the pages for operators
    Endpoint store; ///< address of the platform's store
    Endpoint peers; ///< receives the messages of the other entry hosts
    std::vector<Endpoint> seeds; ///< control addresses of some entry hosts; these hosts may have stopped since
    Duration gracePeriod = std::chrono::seconds{6}; ///< time from the signal that requests a stop to the one that kills the process
    std::optional<Duration> evacuationBound; ///< an evacuated zone gets no new flows after this; none: as drainBound
    Duration drainBound = std::chrono::seconds{3}; ///< an upstream that drains gets no new flows after this
    Duration configBound = std::chrono::seconds{3}; ///< a new configuration is in force after this
    std::optional<double> warmUpOverage; ///< by which factor the load of an upstream may exceed its limit while it warms up
    std::optional<double> warmUpSlack; ///< SYNs per second that may be added to that; without either there is no limit
    std::string keyFile; ///< key of the messages between entry hosts; empty: they are not authenticated
    std::string previousKeyFile; ///< also accepted, during a key rotation
    std::uint32_t flows = 100'000; ///< size of the flow table

    friend bool operator==(const EntrySettings &, const EntrySettings &) = default;
};

/// Returns whether a text contains the settings of an entry host rather than of a proxy; false if it is not valid YAML. Never throws.
bool hasEntrySettings(std::string_view text);

/// Parses the settings of an entry host. Reports all errors, not only the first. Never throws.
Parsed<EntrySettings> parseEntrySettings(std::string_view text);

/// Returns the settings of an entry host that a file contains. Throws Error(BadSettings) with all errors, one per line.
EntrySettings entrySettingsFrom(std::string_view text, const std::string &path);

/// Returns the keys of the settings that differ and can only be changed by a restart; empty if there are none.
std::vector<std::string> changesThatNeedRestart(const EntrySettings &running, const EntrySettings &wanted);

} // namespace medlarway
