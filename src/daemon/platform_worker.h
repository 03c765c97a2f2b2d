#pragma once

#include "daemon/worker_thread.h"
#include "platform/source.h"
#include "settings/settings.h"

#include <memory>
#include <string>
#include <vector>

namespace medlarway
{

/// Watches the platform: runs the source that the settings select, on its own thread.
class PlatformWorker
{
public:
    PlatformWorker(const Settings &settings, PlatformSink sink);
    ~PlatformWorker();
    PlatformWorker(const PlatformWorker &) = delete;
    PlatformWorker &operator=(const PlatformWorker &) = delete;

    void start();

    /// Replaces the watched keys. Thread-safe.
    void setWatchedKeys(std::vector<WatchedKey> keys);

    /// The state as one JSON object. Thread-safe; blocks for up to kCallTimeout.
    std::string stateAsJson();

    /// Stops the source and the thread.
    void stop();

private:
    WorkerThread thread_;
    std::unique_ptr<PlatformSource> source_;
};

} // namespace medlarway
