#pragma once

#include "daemon/duty_thread.h"
#include "platform/source.h"
#include "settings/settings.h"

#include <memory>
#include <string>
#include <vector>

namespace medlarway
{

/// The platform watch: runs the source that the settings name on a thread of its own.
class PlatformDuty
{
public:
    PlatformDuty(const Settings &settings, PlatformSink sink);
    ~PlatformDuty();
    PlatformDuty(const PlatformDuty &) = delete;
    PlatformDuty &operator=(const PlatformDuty &) = delete;

    void start();

    /// Replaces the watched keys. Any thread may call it.
    void setWatchedKeys(std::vector<WatchedKey> keys);

    /// The state as one JSON object. Any thread may ask; waits up to a second.
    std::string stateAsJson();

    /// Ends the source and the thread.
    void stop();

private:
    DutyThread thread_;
    std::unique_ptr<PlatformSource> source_;
};

} // namespace medlarway
