#include "entry/store_pace.h"

#include <algorithm>

namespace medlarway
{

StoreTimeouts storeTimeouts(const ReplicationTiming &timing)
{
    StoreTimeouts timeouts;
    timeouts.responseTimeout = timing.responseTimeout;
    timeouts.maxResponseTimeout = timing.maxResponseTimeout;
    timeouts.maxBackoff = timing.maxBackoff;
    timeouts.minBackoff = std::min(timeouts.minBackoff, timing.maxBackoff);
    return timeouts;
}

// A host that others may follow has to confirm their data in time. One that is alone in its zone may leave its watch for longer.
WatchPace storePace(const ReplicationTiming &timing, bool urgent, bool alone)
{
    WatchPace pace;
    pace.pauseAfterChanges = urgent ? timing.urgentPause : timing.pause;
    pace.wait = alone ? timing.soloWatchWait : timing.watchWait;
    return pace;
}

} // namespace medlarway
